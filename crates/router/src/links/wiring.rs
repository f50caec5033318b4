//! Owns what the gateway has the router do, and what the router tells it.
//!
//! Must never answer a request twice: what is answered here was taken out of those that are open first.

use bytes::Bytes;
use calloop::Readiness;
use linnethook_gateway::codec::Fields as Head;
use linnethook_gateway::gateway::{Action as Errand, Came, Conn, Reply, FOREIGN};
use linnethook_gateway::site::{About, Fact};
use linnethook_gateway::transfer::Copy;

use crate::buffers::BufferChain;
use crate::decider::{Final, News, Ticket};
use crate::discovery::event::PurgeEvent;
use crate::downstream::codec::Fields;
use crate::downstream::{parse_request, ClientStream};
use crate::hierarchy_adapter::Asked;
use crate::links::beyond::Traveller;
use crate::log::log_line;
use crate::requests::OpenRequest;
use crate::router::Router;
use crate::upstream::{CopyVersion, ResponsePayload};

/// Requests from other sites have no connection of a client.
const NOBODY: ClientStream = ClientStream { client: 0, stream: 0 };

pub fn is_foreign(ticket: Ticket) -> bool {
    ticket >= FOREIGN
}

impl Router {
    /// A request that is open goes wherever the gateway says.
    pub fn ask_gateway(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        let (Some(beyond), Some(held)) = (&mut self.beyond, self.requests.get(ticket)) else { return };
        let Some(traveller) = &held.traveller else { return };
        let wanted = beyond.wanted(traveller, &held.message);
        beyond.gateway.ask(now, ticket, wanted);
        self.carry_beyond();
    }

    /// The home has refused a request: whether it goes to another site instead.
    pub fn goes_beyond(&mut self, ticket: Ticket) -> bool {
        let now = self.clock.now();
        let (Some(beyond), Some(held)) = (&mut self.beyond, self.requests.get(ticket)) else {
            return false;
        };
        let Some(traveller) = held.traveller.as_ref().filter(|_| !is_foreign(ticket)) else { return false };
        if !beyond.gateway.home_is_unable(traveller.need()) {
            return false;
        }
        let wanted = beyond.wanted(traveller, &held.message);
        beyond.gateway.ask_beyond_home(now, ticket, wanted)
    }

    /// How a request ended at home, for the gateway to learn from.
    pub fn ended_here(&mut self, ticket: Ticket, answer: Final) {
        let now = self.clock.now();
        let (Some(beyond), Some(held)) = (&mut self.beyond, self.requests.get(ticket)) else { return };
        let Some(traveller) = &held.traveller else { return };
        let refused = matches!(answer, Final::Refused { .. });
        beyond.ended(now, traveller, is_foreign(ticket), refused, answer != Final::Served);
    }

    /// The answer to a request from another site goes back there.
    pub fn answer_beyond(&mut self, ticket: Ticket, answer: Final, brought: ResponsePayload) {
        let now = self.clock.now();
        let reply = match (answer, brought) {
            (Final::Served, ResponsePayload::Body(body, version)) => {
                let body = Bytes::from(body.to_vec());
                let length = body.len() as u64;
                let copy = version.map(|CopyVersion { tag, issued }| Copy { tag, dated: issued, length });
                Reply::Served { head: Vec::new(), body, copy }
            }
            (Final::Served, ResponsePayload::NotModified) => {
                let head = vec![("valid".to_string(), "1".to_string())];
                Reply::Served { head, body: Bytes::new(), copy: None }
            }
            (Final::Refused { wait }, _) => Reply::Refused { wait },
            (Final::Served | Final::Failed, _) => Reply::Failed,
        };
        if let Some(beyond) = &mut self.beyond {
            beyond.gateway.reply(now, ticket, reply);
        }
    }

    /// Does what the gateway wants done, until it wants nothing more.
    pub fn carry_beyond(&mut self) {
        loop {
            let now = self.clock.now();
            let Some(beyond) = &mut self.beyond else { return };
            let Some(action) = beyond.gateway.next_action() else { return };
            match action {
                Errand::Dial(n) => {
                    if let Some(address) = beyond.addresses.get(n).copied() {
                        beyond.links.dial(now, n, address, &mut beyond.gateway);
                    }
                }
                Errand::Close(conn, _) => beyond.links.close(conn),
                Errand::Write(conn) => beyond.links.write(now, conn, &mut beyond.gateway),
                Errand::Home(ticket) => self.pick_at_home(ticket),
                Errand::Answer(ticket, reply) => self.answer_from_beyond(ticket, reply),
                Errand::Serve(came) => self.serve(came),
                Errand::CallOff(ticket) => {
                    beyond.gateway.gone(now, ticket);
                    self.counters.given_up += 1;
                    self.requests.remove(ticket);
                    self.hierarchy.as_mut().and_then(|upstream| upstream.come_back(ticket));
                    let orders = self.decider.report(now, News::Left(ticket));
                    self.execute(orders, ResponsePayload::Empty);
                }
                Errand::Heard(about, fact) => self.heard_of(about, fact),
                Errand::Fellow { name, start, up } => self.fellow(&name, start, up),
                Errand::Said { name, key, entry } => self.fellow_said(&name, &key, &entry),
                Errand::Note(line) => log_line!("{line}"),
            }
        }
    }

    fn pick_at_home(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        let Some(traveller) = self.requests.get(ticket).and_then(|held| held.traveller.as_ref()) else {
            return;
        };
        let mut wish = traveller.wish.clone();
        wish.budget = (traveller.deadline - now).max(0.0);
        let orders = self.decider.pick(now, ticket, &wish);
        self.execute(orders, ResponsePayload::Empty);
    }

    /// The final answer that the gateway has for a request.
    fn answer_from_beyond(&mut self, ticket: Ticket, reply: Reply) {
        if is_foreign(ticket) {
            // It had gone on to a third site.
            self.requests.remove(ticket);
            let now = self.clock.now();
            if let Some(beyond) = &mut self.beyond {
                beyond.gateway.reply(now, ticket, reply);
            }
            return;
        }
        let holds = self.requests.get(ticket).is_some_and(|held| held.message.client_copy.is_some());
        let (answer, brought) = match reply {
            Reply::Served { head, .. } if valid(&head) && holds => {
                (Final::Served, ResponsePayload::NotModified)
            }
            Reply::Served { head, .. } if valid(&head) => (Final::Failed, ResponsePayload::Empty),
            Reply::Served { body, .. } => {
                (Final::Served, ResponsePayload::Body(BufferChain::from_bytes(&self.buffers, &body), None))
            }
            Reply::Refused { wait } => {
                (Final::Refused { wait: wait.min(self.decider.longest_wait()) }, ResponsePayload::Empty)
            }
            Reply::Failed => (Final::Failed, ResponsePayload::Empty),
        };
        self.finish(ticket, answer, brought);
    }

    /// A request from another site: it is served by this site's decisions, or by another one that it has not passed.
    fn serve(&mut self, came: Came) {
        let now = self.clock.now();
        let Came { ticket, head, body, left, passed } = came;
        let mut fields = Fields::from(head);
        fields.put("d", &format!("{}", (left + self.limits.way).min(self.limits.wait)));
        let body = BufferChain::from_bytes(&self.buffers, &body);
        let taken = parse_request(NOBODY, &fields, body, &self.limits);
        let taken = taken.filter(|t| self.decider.knows(&t.wish) && !self.requests.id_conflicts(&t.message));
        let crowded = self.requests.len() >= self.limits.open || self.buffers.is_exhausted();
        let Some(taken) = taken.filter(|_| !crowded) else {
            self.counters.unusable += u64::from(!crowded);
            if let Some(beyond) = &mut self.beyond {
                beyond.gateway.reply(now, ticket, Reply::Refused { wait: 0.0 });
            }
            return;
        };
        if let Some(wait) = self.barred_for_now(now, &taken.wish) {
            if let Some(beyond) = &mut self.beyond {
                beyond.gateway.reply(now, ticket, Reply::Refused { wait });
            }
            return;
        }
        self.counters.taken_in += 1;
        self.counters.taken_in_bytes += taken.message.body.len() as u64;
        let held = self.held(now, NOBODY, taken.wish, taken.message, passed);
        self.requests.insert(ticket, held);
        self.ask_gateway(ticket);
    }

    /// A request as it is kept while it is open.
    pub(crate) fn held(
        &self,
        now: f64,
        asker: ClientStream,
        wish: crate::decider::Wish,
        parcel: crate::upstream::RequestMessage,
        passed: Vec<String>,
    ) -> OpenRequest {
        let (aim, write) = self.decider.wanted(&wish);
        let bytes = wish.size_kb * 1000.0;
        let asked = Asked { object: wish.object, part: wish.part, write, bytes, aim, since: now };
        let crosses = self.crosses();
        let harmful = crosses && self.decider.does_harm(&wish);
        let traveller = crosses.then(|| {
            let deadline = now + wish.budget;
            Box::new(Traveller { wish, harmful, write, aim, deadline, passed })
        });
        OpenRequest { stream: asker, message: parcel, asked, traveller }
    }

    /// Another site was told of a drain or a purge.
    fn heard_of(&mut self, about: About, fact: Fact) {
        let now = self.clock.now();
        match (about, fact) {
            (About::Cache(name), Fact::Cache { .. } | Fact::Left) => {
                let hosts = self.beyond.as_ref().and_then(|beyond| beyond.barred(&name));
                if let Some(hosts) = hosts {
                    log_line!(
                        "gateway: another site says that {name} is {}",
                        if hosts.targets[0].ready() { "back" } else { "drained" }
                    );
                    self.apply_endpoint_update(&hosts);
                }
                let open = self.requests.len() as f64 / self.limits.open.max(1) as f64;
                if let Some(beyond) = &mut self.beyond {
                    beyond.tell(now, open);
                }
            }
            (About::Object(name), Fact::Purged { stamp }) => {
                self.purged(PurgeEvent { object: Some(name), group: 0, stamp })
            }
            (About::Group(set), Fact::Purged { stamp }) => {
                self.purged(PurgeEvent { object: None, group: set, stamp })
            }
            _ => {}
        }
    }

    /// Whether requests can go to other sites.
    pub(crate) fn crosses(&self) -> bool {
        self.beyond.as_ref().is_some_and(|beyond| beyond.crosses())
    }

    pub(crate) fn purged(&mut self, expire: PurgeEvent) {
        if let Some(news) = expire.news() {
            let orders = self.decider.report(self.clock.now(), news);
            self.execute(orders, ResponsePayload::Empty);
        }
    }

    /// All of the gateway that is due by now.
    pub fn tick_beyond(&mut self) {
        let now = self.clock.now();
        let open = self.requests.len() as f64 / self.limits.open.max(1) as f64;
        let Some(beyond) = &mut self.beyond else { return };
        beyond.links.tick(now, &mut beyond.gateway);
        beyond.links.read_held(now, &mut beyond.gateway);
        if beyond.gateway.next(now) <= now {
            beyond.tell(now, open);
            beyond.gateway.tick(now);
        }
        self.carry_beyond();
        self.tick_fleet();
    }

    pub fn link_is_ready(&mut self, conn: Conn, readiness: Readiness) {
        let now = self.clock.now();
        if let Some(beyond) = &mut self.beyond {
            beyond.links.ready(now, conn, readiness, &mut beyond.gateway);
        }
        self.carry_beyond();
    }
}

/// Whether the copy that the client holds is the one.
fn valid(head: &Head) -> bool {
    head.iter().any(|(name, value)| name == "valid" && value == "1")
}
