//! Two sites with a gateway each and one store: bookings of clients of the north are made by the south.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use linnethook_quickstart::{Answer, Client, Journal};
use linnethook_testbed::fault_proxy::{FaultProxy, ProxyEnds};
use linnethook_testbed::recording::{now, Ms, Recording};

use super::busy_store::{Arrival, BusyStore, StoreBehavior};
use super::pending_connections::{disconnect, Disconnect};
use super::{cache, free_address, ready_endpoints, wait_until, Router, SERVED};

/// No attempt begins later than this after its client has gone, in milliseconds: 0.1 s, and 50 ms on sockets.
pub const MAX_ATTEMPT_DELAY_MS: Ms = 150.0;
const DEADLINE_MS: &str = "3000";

/// A site without the store, which both sites list.
struct Site {
    router: Router,
    _journal: Journal,
}

impl Site {
    /// Starts a site; if its router exits before it listens, its log lines.
    fn try_start(store: &BusyStore, operator: &str) -> Result<Self, Vec<String>> {
        let [a, b, parent] = std::array::from_fn(|_| cache(|_, _, _| Some(Answer::with_status("absent"))));
        let targets = ready_endpoints(a.address, b.address, parent.address, store.address);
        let events = vec![serde_json::json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
        let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
        let router = Router::try_start(&journal, |_| {}, Some(operator), None)?;
        Ok(Self { router, _journal: journal })
    }

    fn start(store: &BusyStore, operator: &str) -> Self {
        Self::try_start(store, operator).unwrap_or_else(|log_lines| panic!("{log_lines:?}"))
    }

    /// Starts a site that listens for links, with the operator file for an address; returns it with the address.
    /// Another test may take a free address first.
    fn start_listening(store: &BusyStore, operator: impl Fn(SocketAddr) -> String) -> (Self, SocketAddr) {
        loop {
            let address = free_address();
            let operator = operator(address);
            match Self::try_start(store, &operator) {
                Ok(site) => return (site, address),
                Err(log_lines) if log_lines.iter().any(|line| line.contains("Address already in use")) => {}
                Err(log_lines) => panic!("{log_lines:?}"),
            }
        }
    }
}

/// The most sites that a booking may pass with one in the middle.
const MAX_SITES: usize = 3;

fn south_operator(address: SocketAddr) -> String {
    format!(
        "gateway(site = \"south\", listen = \"{address}\", hops = {MAX_SITES})\n\
         site(\"north\")\nsite(\"middle\")\n"
    )
}

/// A site that passes all bookings of the north on to the south.
fn middle_operator(address: SocketAddr, south: SocketAddr) -> String {
    format!(
        "gateway(site = \"middle\", listen = \"{address}\", first = 1.0, hops = {MAX_SITES})\n\
         site(\"north\")\nsite(\"south\", classes = [\"booking\"])\nlink(\"south\", connect = \"{south}\")\n"
    )
}

/// A site that sends all bookings to `target`, which listens at `address`.
fn north_operator(target: &str, address: SocketAddr) -> String {
    format!(
        "gateway(site = \"north\", first = 1.0, retry_most = 0.1, flapping = 1.0, hops = {MAX_SITES})\n\
         site(\"{target}\", classes = [\"booking\"])\n\
         link(\"{target}\", connect = \"{address}\", connections = 2)\n"
    )
}

/// The two sites, and the proxy on the link of the north.
pub struct BookingSites {
    pub store: BusyStore,
    pub proxy: FaultProxy,
    north: Site,
    /// A site between the two, if there is one.
    middle: Option<Site>,
    south: Site,
    bookings: u64,
}

/// A booking whose client waits for it.
pub struct Booking {
    pub id: String,
    client: Client,
}

impl Booking {
    /// Waits for the answer, and returns its code.
    pub fn answer(&mut self) -> u8 {
        self.client.read().expect("an answer").code
    }

    /// Waits until the store has rejected it.
    pub fn wait_until_rejected(&self, store: &BusyStore) {
        wait_until("the booking reaches the store", || !store.arrivals_of(&self.id).is_empty());
    }

    /// Has its client leave.
    pub fn leave(self, how: Disconnect) -> DepartedBooking {
        let Self { id, client } = self;
        let at = now();
        let client = disconnect(client, how, &[1]);
        DepartedBooking { id, at, _client: client }
    }
}

/// A booking whose client has gone.
pub struct DepartedBooking {
    pub id: String,
    /// When the client went, in Unix milliseconds.
    pub at: Ms,
    /// The connection of a client that has cancelled the booking and stays connected.
    _client: Option<Client>,
}

impl DepartedBooking {
    /// The attempts that began later than `delay` milliseconds after the client had gone.
    pub fn attempts_after(&self, store: &BusyStore, delay: Ms) -> Vec<Arrival> {
        let arrivals = store.arrivals_of(&self.id).into_iter();
        arrivals.filter(|arrival| arrival.at - self.at > delay).collect()
    }
}

impl BookingSites {
    /// Starts both sites, and waits until a booking crosses the link.
    pub fn start(behavior: StoreBehavior) -> Self {
        let store = BusyStore::start(behavior);
        let (south, address) = Site::start_listening(&store, south_operator);
        Self::start_north(store, south, None, address)
    }

    /// Starts both sites with one in the middle, which passes the bookings on.
    pub fn start_with_middle(behavior: StoreBehavior) -> Self {
        let store = BusyStore::start(behavior);
        let (south, south_address) = Site::start_listening(&store, south_operator);
        let (middle, address) =
            Site::start_listening(&store, |address| middle_operator(address, south_address));
        Self::start_north(store, south, Some(middle), address)
    }

    /// Starts the north, whose bookings go to the site that listens at `target`.
    fn start_north(store: BusyStore, south: Site, middle: Option<Site>, target: SocketAddr) -> Self {
        let target_name = if middle.is_some() { "middle" } else { "south" };
        let sites = ["north".to_string(), target_name.to_string()];
        let proxy = FaultProxy::start(ProxyEnds { sites, record: Recording::default() }).expect("a proxy");
        proxy.set_target(target);
        let north = Site::start(&store, &north_operator(target_name, proxy.address));
        let mut sites = Self { store, proxy, north, middle, south, bookings: 0 };
        sites.wait_until_linked();
        sites
    }

    /// Waits until a booking is served.
    pub fn wait_until_linked(&mut self) {
        let end = Instant::now() + Duration::from_secs(20);
        while self.book().answer() != SERVED {
            assert!(Instant::now() < end, "no booking crosses the link");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// A client of the north sends a booking.
    pub fn book(&mut self) -> Booking {
        self.bookings += 1;
        let id = format!("{:016x}", 0xb000 + self.bookings);
        let object = format!("{:016x}", 0x7700 + self.bookings);
        let mut client = self.north.router.client();
        let fields = [("c", "booking"), ("i", &*id), ("o", &*object), ("d", DEADLINE_MS), ("tag", "1")];
        client.ask(1, &fields, b"slot").expect("sent");
        Booking { id, client }
    }

    /// Several bookings that the store has rejected once.
    pub fn book_several(&mut self, count: usize) -> Vec<Booking> {
        let bookings: Vec<Booking> = (0..count).map(|_| self.book()).collect();
        bookings.iter().for_each(|booking| booking.wait_until_rejected(&self.store));
        bookings
    }

    /// The router of the north, which dials the link.
    pub fn north(&self) -> &Router {
        &self.north.router
    }

    /// The router of the south, which serves the bookings.
    pub fn south(&self) -> &Router {
        &self.south.router
    }

    /// Kills the router of the north.
    pub fn kill_north(&mut self) {
        self.north.router.kill();
    }

    /// The bookings of clients that stay are served, and each is executed once.
    pub fn assert_served_once(&self, bookings: Vec<Booking>) {
        for mut booking in bookings {
            assert_eq!(booking.answer(), SERVED, "booking {}", booking.id);
            let arrivals = self.store.arrivals_of(&booking.id);
            let executed = arrivals.iter().filter(|arrival| arrival.is_executed).count();
            assert_eq!(executed, 1, "booking {}: {arrivals:?}", booking.id);
        }
    }

    /// No attempt has begun for clients that had gone.
    pub fn assert_not_tried_after_departure(&self, departed: &[DepartedBooking]) {
        for booking in departed {
            let late = booking.attempts_after(&self.store, MAX_ATTEMPT_DELAY_MS);
            assert!(late.is_empty(), "booking {}, gone at {}: {late:?}", booking.id, booking.at);
        }
    }

    /// Waits until no site has an open request or an attempt in flight.
    pub fn wait_until_idle(&self) {
        let routers = [self.north(), self.south()].into_iter();
        routers.chain(self.middle.as_ref().map(|middle| &middle.router)).for_each(wait_until_idle);
    }

    /// The same for the south alone.
    pub fn wait_until_south_is_idle(&self) {
        wait_until_idle(self.south());
    }
}

fn wait_until_idle(router: &Router) {
    wait_until("all places are given back", || {
        let (counters, _) = router.counters();
        counters["open"] == 0 && counters["out"] == 0
    });
}
