//! A fleet of routers in virtual time: one cluster per router, and links that deliver messages in order,
//! delay those that are lost by a retransmission, can be cut, and are closed once they have been silent for
//! the dead-link timeout.
//!
//! Simulated are the links, their heartbeats, and the published entries that a router sends to each newly
//! connected peer. Runs with the same seed are identical.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::{BTreeMap, BTreeSet};

use linnethook_membership::actions::{ClusterAction, ClusterEvent, EncodedEntry};
use linnethook_membership::aggregation::location::Location;
use linnethook_membership::cluster::Cluster;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::versions::ActiveVersions;
use linnethook_membership::Ms;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// How long a router takes to connect to a peer.
const CONNECT_DELAY_MS: Ms = 50.0;
/// How long the peers of a crashed router take to detect that its connections are closed.
const CLOSE_DELAY_MS: Ms = 1.0;
/// Bytes that a link adds to each message.
const MESSAGE_OVERHEAD_BYTES: u64 = 20;
/// Bytes that a link adds to each entry of a message.
const ENTRY_OVERHEAD_BYTES: usize = 4;
/// Times of events are ordered in microseconds.
const MICROS_PER_MS: f64 = 1_000.0;

/// A router of the fleet.
pub struct Node {
    /// `None` while the process does not run.
    pub cluster: Option<Cluster>,
    pub name: String,
    pub incarnation: u64,
    pub is_frozen: bool,
    /// The entries that are sent to each newly connected peer.
    published_entries: BTreeMap<Vec<u8>, Vec<u8>>,
    pub events: Vec<(Ms, ClusterEvent)>,
    /// Actions other than sending messages and logging events.
    pub actions: Vec<(Ms, ClusterAction)>,
    pub bytes_sent: u64,
    pub bytes_received: u64,
    /// `None` for a router without a location.
    pub location: Option<Location>,
    /// The settings of this router, if they differ from those of the fleet.
    config: Option<MembershipConfig>,
    deadline: Ms,
}

#[derive(Debug, Clone)]
enum Event {
    Deliver {
        from: usize,
        to: usize,
        /// The incarnations of the sender and the receiver when the message was sent.
        incarnations: (u64, u64),
        entries: Vec<EncodedEntry>,
    },
    LinkUp(usize, usize),
    /// A router detects that its link with a peer is down.
    LinkDown {
        router: usize,
        peer: usize,
        peer_incarnation: u64,
    },
}

/// The properties of all links.
#[derive(Debug, Clone, Copy)]
pub struct LinkConfig {
    pub delay: Ms,
    /// The probability that a message, or its retransmission, is lost.
    pub loss: f64,
    /// How much later a lost message is retransmitted.
    pub retransmit_delay: Ms,
    /// How long a link is silent before it counts as down.
    pub dead_link_timeout: Ms,
}

impl Default for LinkConfig {
    fn default() -> Self {
        Self { delay: 2.0, loss: 0.0, retransmit_delay: 200.0, dead_link_timeout: 500.0 }
    }
}

/// A delivered entry or message.
#[derive(Debug, Clone)]
pub struct Delivery {
    pub at: Ms,
    pub from: usize,
    pub to: usize,
    pub key: Vec<u8>,
    pub value: Vec<u8>,
}

/// A fleet and its links.
pub struct Network {
    pub now: Ms,
    pub nodes: Vec<Node>,
    pub link_config: LinkConfig,
    config: MembershipConfig,
    rng: Pcg64Mcg,
    links: BTreeSet<(usize, usize)>,
    /// The peers with which each router has links.
    neighbors: Vec<Vec<usize>>,
    /// The deadlines of all running routers, as bits of the time.
    deadlines: BTreeSet<(u64, usize)>,
    /// The links that are up, with the incarnations at both ends.
    links_up: BTreeMap<(usize, usize), (u64, u64)>,
    cut_links: BTreeSet<(usize, usize)>,
    /// The additional delay of all links of a router.
    extra_delays: BTreeMap<usize, Ms>,
    /// Routers to which all messages are lost while their links stay up.
    not_receiving: BTreeSet<usize>,
    /// When the last message over each link, by direction, is delivered.
    last_deliveries: BTreeMap<(usize, usize), Ms>,
    /// All deliveries, if they are recorded.
    pub deliveries: Option<Vec<Delivery>>,
    /// By time in microseconds and then in the order of scheduling.
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
}

/// The key of a link: the smaller number first.
fn link(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

/// The bytes of a message as counted on a link.
fn message_bytes(entries: &[EncodedEntry]) -> u64 {
    let bytes: usize = entries.iter().map(|entry| entry.byte_count() + ENTRY_OVERHEAD_BYTES).sum();
    bytes as u64 + MESSAGE_OVERHEAD_BYTES
}

impl Network {
    /// A fleet without locations. Each router has links with the next one, which connects the fleet, and with
    /// randomly chosen others, so that it opens `links_per_router` links in total.
    pub fn new(
        seed: u64,
        routers: usize,
        links_per_router: usize,
        config: MembershipConfig,
        link_config: LinkConfig,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut links = BTreeSet::new();
        for n in 0..routers {
            links.insert(link(n, (n + 1) % routers));
            for _ in 1..links_per_router {
                let other = rng.random_range(0..routers);
                if other != n {
                    links.insert(link(n, other));
                }
            }
        }
        links.retain(|(a, b)| a != b);
        Self::with(rng, vec![None; routers], links, config, link_config)
    }

    /// A fleet in a tree of locations, each of which is connected by links of its own.
    pub fn tree(seed: u64, shape: &TreeShape, config: MembershipConfig, link_config: LinkConfig) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let locations = shape.locations();
        let links = shape.links(&mut rng);
        Self::with(rng, locations, links, config, link_config)
    }

    /// Routers at these locations with these links.
    pub fn with(
        rng: Pcg64Mcg,
        locations: Vec<Option<Location>>,
        links: BTreeSet<(usize, usize)>,
        config: MembershipConfig,
        link_config: LinkConfig,
    ) -> Self {
        let routers = locations.len();
        let mut neighbors = vec![Vec::new(); routers];
        for (a, b) in &links {
            neighbors[*a].push(*b);
            neighbors[*b].push(*a);
        }
        neighbors.iter_mut().for_each(|peers| peers.sort_unstable());
        let mut net = Self {
            now: 0.0,
            nodes: Vec::new(),
            link_config,
            config,
            rng,
            links,
            neighbors,
            deadlines: BTreeSet::new(),
            links_up: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            extra_delays: BTreeMap::new(),
            not_receiving: BTreeSet::new(),
            last_deliveries: BTreeMap::new(),
            deliveries: None,
            events: BTreeMap::new(),
            event_count: 0,
        };
        for (n, location) in locations.into_iter().enumerate() {
            net.nodes.push(Node {
                cluster: None,
                name: format!("r{n}"),
                incarnation: 0,
                is_frozen: false,
                published_entries: BTreeMap::new(),
                events: Vec::new(),
                actions: Vec::new(),
                bytes_sent: 0,
                bytes_received: 0,
                location,
                config: None,
                deadline: 0.0,
            });
        }
        (0..routers).for_each(|n| net.start(n));
        net
    }

    fn schedule(&mut self, at: Ms, event: Event) {
        self.event_count += 1;
        self.events.insert(((at * MICROS_PER_MS) as u64, self.event_count), event);
    }

    /// The peers with which a router has links, whether these are up or not.
    pub fn neighbors(&self, n: usize) -> Vec<usize> {
        self.neighbors[n].clone()
    }

    fn set_deadline(&mut self, n: usize, deadline: Ms) {
        let before = std::mem::replace(&mut self.nodes[n].deadline, deadline);
        // Times are not negative: the order of their bits is the order of the times.
        self.deadlines.remove(&(before.to_bits(), n));
        if self.is_running(n) {
            self.deadlines.insert((deadline.to_bits(), n));
        }
    }

    /// Starts a router, in a later incarnation than all earlier ones of the node.
    pub fn start(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let config = node.config.unwrap_or(self.config);
        node.incarnation += (now * MICROS_PER_MS) as u64 + 1;
        let cluster = Cluster::new(now, config, &node.name, node.incarnation, ActiveVersions::default());
        node.cluster = Some(cluster.with_location(now, node.location.clone()));
        node.published_entries.clear();
        node.is_frozen = false;
        self.set_deadline(n, now);
        for peer in self.neighbors(n) {
            self.schedule(now + CONNECT_DELAY_MS, Event::LinkUp(n, peer));
        }
    }

    /// Starts a router with settings of its own, which also apply to its later starts.
    pub fn start_with_config(&mut self, n: usize, config: MembershipConfig) {
        self.nodes[n].config = Some(config);
        self.start(n);
    }

    pub fn crash(&mut self, n: usize) {
        self.nodes[n].cluster = None;
        self.set_deadline(n, f64::INFINITY);
        self.close_links(n, CLOSE_DELAY_MS);
    }

    pub fn freeze(&mut self, n: usize) {
        self.nodes[n].is_frozen = true;
        self.set_deadline(n, f64::INFINITY);
        self.close_links(n, self.link_config.dead_link_timeout);
    }

    /// Resumes a frozen router.
    pub fn resume(&mut self, n: usize) {
        self.nodes[n].is_frozen = false;
        self.set_deadline(n, self.now);
        for peer in self.neighbors(n) {
            // Its peers have closed the connections meanwhile.
            if !self.links_up.contains_key(&link(n, peer)) {
                let peer_incarnation = self.nodes[peer].incarnation;
                self.schedule(self.now, Event::LinkDown { router: n, peer, peer_incarnation });
                self.schedule(self.now + CONNECT_DELAY_MS, Event::LinkUp(n, peer));
            }
        }
    }

    fn close_links(&mut self, n: usize, detected_after: Ms) {
        for peer in self.neighbors(n) {
            self.close_link(n, peer, detected_after);
        }
    }

    fn close_link(&mut self, a: usize, b: usize, detected_after: Ms) {
        let (low, high) = link(a, b);
        if let Some((incarnation_low, incarnation_high)) = self.links_up.remove(&(low, high)) {
            let at = self.now + detected_after;
            self.schedule(
                at,
                Event::LinkDown { router: low, peer: high, peer_incarnation: incarnation_high },
            );
            self.schedule(at, Event::LinkDown { router: high, peer: low, peer_incarnation: incarnation_low });
        }
    }

    /// Cuts the link between two routers. A cut in one direction only has the same effect: the session ends.
    pub fn cut_link(&mut self, a: usize, b: usize) {
        self.cut_links.insert(link(a, b));
        self.close_link(a, b, self.link_config.dead_link_timeout);
    }

    pub fn restore_link(&mut self, a: usize, b: usize) {
        if self.cut_links.remove(&link(a, b)) {
            self.schedule(self.now + CONNECT_DELAY_MS, Event::LinkUp(a, b));
        }
    }

    pub fn restore_all_links(&mut self) {
        let cut_links: Vec<(usize, usize)> = self.cut_links.iter().copied().collect();
        cut_links.into_iter().for_each(|(a, b)| self.restore_link(a, b));
    }

    /// Delays all messages from and to a router by this much more.
    pub fn set_extra_delay(&mut self, n: usize, delay: Ms) {
        self.extra_delays.insert(n, delay);
    }

    /// Sets whether a router receives messages. If not, they are lost while its links stay up.
    pub fn set_receiving(&mut self, n: usize, is_receiving: bool) {
        if is_receiving {
            self.not_receiving.remove(&n);
        } else {
            self.not_receiving.insert(n);
        }
    }

    pub fn links(&self) -> Vec<(usize, usize)> {
        self.links.iter().copied().collect()
    }

    /// The cluster of a running router. The router is ticked afterwards.
    pub fn cluster(&mut self, n: usize) -> &mut Cluster {
        self.set_deadline(n, self.now);
        self.nodes[n].cluster.as_mut().expect("the router runs")
    }

    fn send(&mut self, from: usize, to: usize, entries: Vec<EncodedEntry>) {
        let Some((low, high)) = self.links_up.get(&link(from, to)).copied() else { return };
        let incarnations = if from < to { (low, high) } else { (high, low) };
        self.nodes[from].bytes_sent += message_bytes(&entries);
        let extra_delay = |n: usize| self.extra_delays.get(&n).copied().unwrap_or(0.0);
        let mut at = self.now + self.link_config.delay + (extra_delay(from) + extra_delay(to));
        while self.rng.random::<f64>() < self.link_config.loss {
            at += self.link_config.retransmit_delay;
        }
        // A connection delivers messages in order.
        let last_delivery = self.last_deliveries.entry((from, to)).or_default();
        at = at.max(*last_delivery);
        *last_delivery = at;
        self.schedule(at, Event::Deliver { from, to, incarnations, entries });
    }

    fn carry_out_actions(&mut self, n: usize) {
        let now = self.now;
        while let Some(action) = self.nodes[n].cluster.as_mut().and_then(Cluster::next_action) {
            match action {
                ClusterAction::Broadcast(entries) => {
                    let published = entries.iter().cloned().map(|entry| (entry.key, entry.value));
                    self.nodes[n].published_entries.extend(published);
                    for peer in self.neighbors(n) {
                        self.send(n, peer, entries.clone());
                    }
                }
                ClusterAction::Retract(key) => _ = self.nodes[n].published_entries.remove(&key),
                ClusterAction::SendTo(name, entries) => {
                    // Of two processes with one name the one with which there is a link.
                    let has_name = |to: &&usize| self.nodes[**to].name == name;
                    let is_linked = |to: &&usize| self.links_up.contains_key(&link(n, **to));
                    if let Some(to) = self.neighbors[n].iter().filter(has_name).find(is_linked).copied() {
                        self.send(n, to, entries);
                    }
                }
                ClusterAction::CloseLinks => self.close_links(n, CLOSE_DELAY_MS),
                ClusterAction::Event(event) => self.nodes[n].events.push((now, event)),
                other => self.nodes[n].actions.push((now, other)),
            }
        }
        let deadline =
            self.nodes[n].cluster.as_ref().map_or(f64::INFINITY, |cluster| cluster.next_deadline(now));
        self.set_deadline(n, deadline.max(now + 1.0 / MICROS_PER_MS));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::LinkUp(a, b) => self.handle_link_up(a, b),
            Event::LinkDown { router, peer, peer_incarnation } => {
                let name = self.nodes[peer].name.clone();
                if self.is_running(router) {
                    self.cluster(router).set_link(&name, peer_incarnation, false);
                }
            }
            Event::Deliver { from, to, incarnations, entries } => {
                let is_same = (self.nodes[from].incarnation, self.nodes[to].incarnation) == incarnations;
                let is_up = self.links_up.contains_key(&link(from, to)) && !self.not_receiving.contains(&to);
                if is_same && is_up && self.is_running(to) {
                    self.deliver(from, to, entries);
                }
            }
        }
    }

    fn handle_link_up(&mut self, a: usize, b: usize) {
        let key = link(a, b);
        let is_unavailable = self.cut_links.contains(&key) || self.links_up.contains_key(&key);
        if !self.is_running(a) || !self.is_running(b) || is_unavailable {
            return;
        }
        let (low, high) = key;
        self.links_up.insert(key, (self.nodes[low].incarnation, self.nodes[high].incarnation));
        for (router, peer) in [(a, b), (b, a)] {
            let (name, incarnation) = (self.nodes[peer].name.clone(), self.nodes[peer].incarnation);
            self.cluster(router).set_link(&name, incarnation, true);
            let entries = self.nodes[router].published_entries.clone().into_iter();
            let entries = entries.map(|(key, value)| EncodedEntry::new(key, value)).collect();
            self.send(router, peer, entries);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, entries: Vec<EncodedEntry>) {
        let now = self.now;
        let name = self.nodes[from].name.clone();
        self.nodes[to].bytes_received += message_bytes(&entries);
        if let Some(deliveries) = &mut self.deliveries {
            let delivery =
                |EncodedEntry { key, value }: EncodedEntry| Delivery { at: now, from, to, key, value };
            deliveries.extend(entries.iter().cloned().map(delivery));
        }
        for EncodedEntry { key, value } in entries {
            self.cluster(to).receive(now, &name, &key, &value);
        }
    }

    /// Advances the time to `end`.
    pub fn run_until(&mut self, end: Ms) {
        loop {
            let event_at =
                self.events.first_key_value().map_or(f64::INFINITY, |((at, _), _)| *at as Ms / MICROS_PER_MS);
            let tick = self.deadlines.first().map(|(deadline, n)| (*n, f64::from_bits(*deadline)));
            let tick_at = tick.map_or(f64::INFINITY, |(_, deadline)| deadline);
            if event_at.min(tick_at) > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(event_at.min(tick_at));
            if event_at <= tick_at {
                if let Some((_, event)) = self.events.pop_first() {
                    self.handle_event(event);
                }
            } else if let Some((n, _)) = tick {
                let now = self.now;
                self.cluster(n).tick(now);
                self.carry_out_actions(n);
            }
        }
    }

    /// Advances the time until a condition holds, which is checked every 10 ms, for at most `timeout`.
    /// Returns the time at which it held; `None` if it did not.
    pub fn wait_for(&mut self, timeout: Ms, condition: impl Fn(&Self) -> bool) -> Option<Ms> {
        let end = self.now + timeout;
        while self.now < end {
            if condition(self) {
                return Some(self.now);
            }
            self.run_until(self.now + 10.0);
        }
        None
    }

    /// Whether a router runs and is not frozen.
    pub fn is_running(&self, n: usize) -> bool {
        self.nodes[n].cluster.is_some() && !self.nodes[n].is_frozen
    }
}

/// The shape of a tree of locations.
pub struct TreeShape {
    /// The number of child locations at each level, the outermost first.
    pub children: Vec<usize>,
    /// The number of routers of each site.
    pub routers: usize,
}

impl TreeShape {
    pub fn new(children: &[usize], routers: usize) -> Self {
        Self { children: children.to_vec(), routers }
    }

    /// The number of sites.
    pub fn sites(&self) -> usize {
        self.children.iter().product()
    }

    /// The number of routers of all sites.
    pub fn all(&self) -> usize {
        self.sites() * self.routers
    }

    /// The location of a site.
    pub fn location(&self, mut site: usize) -> Location {
        let mut names = Vec::new();
        for children in self.children.iter().rev() {
            names.push(format!("p{:02}", site % children));
            site /= children;
        }
        names.reverse();
        Location::parse(&names.join("/")).expect("a location")
    }

    fn locations(&self) -> Vec<Option<Location>> {
        (0..self.all()).map(|n| Some(self.location(n / self.routers))).collect()
    }

    /// Within a site each router has a link with the next one, and every second router one with the opposite
    /// one. At each level some routers of a site have links with other sites: with one of the next location
    /// of the level, cyclically, and with one of a random site within the enclosing location.
    fn links(&self, rng: &mut Pcg64Mcg) -> BTreeSet<(usize, usize)> {
        let (size, sites) = (self.routers, self.sites());
        let mut links = BTreeSet::new();
        for site in 0..sites {
            for n in 0..size {
                links.insert(link(site * size + n, site * size + (n + 1) % size));
                if n % 2 == 0 {
                    links.insert(link(site * size + n, site * size + (n + size / 2) % size));
                }
            }
            // The ends of links between sites are spread over the routers of both sites.
            let mut link_count = 0;
            let mut remote_link = |site: usize, other: usize| {
                link_count += 1;
                link(site * size + link_count % size, other * size + (link_count + size / 2) % size)
            };
            // The sites of a location are numbered consecutively.
            let mut sites_of_child = 1;
            for (level, children) in self.children.iter().enumerate().rev() {
                let total = sites_of_child * children;
                let first = site / total * total;
                let next = first + (site - first + sites_of_child) % total;
                // Sites of the innermost level have two links, so that one router of a site may be down.
                let count = if level + 1 == self.children.len() { 2 } else { 1 };
                for _ in 0..count {
                    links.insert(remote_link(site, next));
                }
                links.insert(remote_link(site, first + rng.random_range(0..total)));
                sites_of_child = total;
            }
        }
        links.retain(|(a, b)| a != b);
        links
    }
}
