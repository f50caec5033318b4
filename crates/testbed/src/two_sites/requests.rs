//! Requests of clients, how a site serves them, and how they end.

use bytes::Bytes;
use linnethook_gateway::attempt_ledger::Ticket;
use linnethook_gateway::flow_control::Priority;
use linnethook_gateway::forwarding::ForwardRequest;
use linnethook_gateway::gateway::{Action, Reply, FIRST_REMOTE_TICKET};
use linnethook_gateway::local_capacity::RequestKind;
use linnethook_gateway::transfer::ObjectVersion;
use rand::RngExt;

use super::{count, Asker, Simulation, SimulationEvent, Tally, NAMES};
use crate::recording::{Asked, Ms, RecordedEvent};

impl Simulation {
    pub(super) fn arrive(&mut self, n: usize, booking: bool) {
        self.next_id += 1;
        let (now, id) = (self.now, self.next_id);
        let (least, most) = self.play.sizes;
        let size = if booking { 400 } else { self.chance.random_range(least..=most) };
        let (object, deadline) = (self.chance.random::<u64>(), now + self.play.wait);
        let asker = Asker {
            id,
            object,
            booking,
            size,
            since: now,
            deadline,
            passed: Vec::new(),
            own: true,
            home: false,
        };
        self.record.note_at(
            now,
            RecordedEvent::Requested {
                request: id,
                id: id.to_string(),
                object: object.to_string(),
                group: 0,
                deadline,
                harmful: booking,
                router: NAMES[n].to_string(),
            },
        );
        self.tally(booking).asked += 1;
        count(&mut self.out.asked, now);
        let side = &mut self.sides[n];
        side.last += 1;
        let ticket = side.last;
        let wanted = wanted(&asker, self.play.aim);
        side.askers.insert(ticket, asker);
        side.gateway.submit_request(now, ticket, wanted);
        self.carry_out(n);
    }

    pub(super) fn tally(&mut self, booking: bool) -> &mut Tally {
        if booking {
            &mut self.out.bookings
        } else {
            &mut self.out.reads
        }
    }

    pub(super) fn carry_out(&mut self, n: usize) {
        while let Some(action) = self.sides[n].gateway.next_action() {
            match action {
                Action::Dial(dialer) => self.dial(n, dialer),
                Action::Close(conn, _) => self.hang_up(n, conn),
                Action::Write(conn) => self.write(n, conn),
                Action::ServeLocally(ticket) => self.serve(n, ticket),
                Action::Answer(ticket, reply) => self.answer(n, ticket, reply),
                Action::ServeRemote(arrivals) => {
                    let text = |name: &str| {
                        arrivals
                            .fields
                            .iter()
                            .find(|(known, _)| known == name)
                            .map(|(_, v)| v.clone())
                            .unwrap_or_default()
                    };
                    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
                    let asker = Asker {
                        id: number("i"),
                        object: number("o"),
                        booking: text("c") == "booking",
                        size: number("m") as usize,
                        since: self.now,
                        deadline: self.now + arrivals.remaining,
                        passed: arrivals.passed_sites,
                        own: false,
                        home: false,
                    };
                    let wanted = wanted(&asker, self.play.aim);
                    self.sides[n].askers.insert(arrivals.ticket, asker);
                    self.sides[n].gateway.submit_request(self.now, arrivals.ticket, wanted);
                }
                Action::CancelServe(ticket) => {
                    self.sides[n].askers.remove(&ticket);
                }
                Action::RemoteFact(..) | Action::PeerLink { .. } | Action::PeerEntry { .. } => {}
                Action::Log(text) => {
                    self.out.notes += 1;
                    if text.contains("it was the last one") {
                        self.out.downs.push(self.now);
                    } else if text.ends_with("is up") {
                        self.out.ups.push(self.now);
                    }
                }
            }
        }
    }

    /// Starts to serve a request locally: the caches serve a read, the store runs a booking.
    pub(super) fn serve(&mut self, n: usize, ticket: Ticket) {
        let Some(asker) = self.sides[n].askers.get_mut(&ticket) else { return };
        asker.home = true;
        let asker = asker.clone();
        let capacity_at = if asker.booking { self.sides[n].store } else { self.sides[n].caches };
        self.attempts += 1;
        let attempt = self.attempts;
        let took = match (capacity_at, asker.booking) {
            (true, true) => self.chance.random_range(20.0..120.0),
            (true, false) => self.chance.random_range(5.0..60.0),
            // The server is unreachable, which the site notices after 30 ms.
            (false, _) => 30.0,
        };
        if capacity_at && asker.booking {
            let asked = Asked {
                at: format!("store-{}", NAMES[n]),
                id: asker.id.to_string(),
                class: "booking".to_string(),
                router: Some(NAMES[n].to_string()),
                ..Asked::default()
            };
            self.record.note_at(self.now, RecordedEvent::Asked { attempt, asked });
            *self.runs.entry(asker.id).or_default() += 1;
        }
        let epoch = self.sides[n].epoch;
        self.plan(
            self.now + took,
            SimulationEvent::Done(n, epoch, ticket, if capacity_at { attempt } else { 0 }),
        );
    }

    pub(super) fn done(&mut self, n: usize, epoch: u64, ticket: Ticket, attempt: u64) {
        if attempt > 0 {
            let (status, res) = ("data".to_string(), String::new());
            self.record.note_at(self.now, RecordedEvent::Ended { attempt, status, res, ran: true });
        }
        if self.sides[n].epoch != epoch {
            return;
        }
        let Some(asker) = self.sides[n].askers.get(&ticket).cloned() else { return };
        let need = if asker.booking { RequestKind::Write } else { RequestKind::Read };
        let now = self.now;
        let gateway = &mut self.sides[n].gateway;
        if asker.own {
            gateway.record_local_outcome(now, need, attempt == 0);
        }
        let reply = match attempt {
            0 => Reply::Rejected { retry_after: 100.0 },
            _ => {
                let copy = (!asker.booking).then(|| ObjectVersion {
                    tag: asker.object.to_string(),
                    issued_at: 1.0,
                    length: asker.size as u64,
                });
                Reply::Served { fields: Vec::new(), body: Bytes::from(vec![7; asker.size]), version: copy }
            }
        };
        if now > asker.deadline {
            return self.answer(n, ticket, Reply::Failed);
        }
        if attempt == 0 && asker.own && gateway.is_locally_unavailable(need) {
            let wanted = wanted(&asker, self.play.aim);
            if gateway.forward_rejected_request(now, ticket, wanted) {
                if let Some(asker) = self.sides[n].askers.get_mut(&ticket) {
                    asker.home = false;
                }
                return self.carry_out(n);
            }
        }
        self.answer(n, ticket, reply);
    }

    pub(super) fn answer(&mut self, n: usize, ticket: Ticket, reply: Reply) {
        let Some(asker) = self.sides[n].askers.remove(&ticket) else { return };
        if ticket >= FIRST_REMOTE_TICKET {
            self.sides[n].gateway.complete_remote_request(self.now, ticket, reply);
            return self.carry_out(n);
        }
        let code = match reply {
            Reply::Served { body, .. } => {
                assert_eq!(body.len(), asker.size, "length of the body");
                if !asker.home {
                    self.useful += asker.size as u64;
                }
                1
            }
            Reply::Rejected { .. } => 2,
            Reply::Failed => 3,
        };
        self.record.note_at(self.now, RecordedEvent::Final { request: asker.id, code, dated: None });
        let tally = self.tally(asker.booking);
        *match code {
            1 => &mut tally.served,
            2 => &mut tally.refused,
            _ => &mut tally.failed,
        } += 1;
        if code == 1 {
            count(&mut self.out.served, asker.since);
        }
    }
}

pub(super) fn wanted(asker: &Asker, aim: Ms) -> ForwardRequest {
    let class = if asker.booking { "booking" } else { "video" };
    let head = [
        ("c", class.to_string()),
        ("i", asker.id.to_string()),
        ("o", asker.object.to_string()),
        ("m", asker.size.to_string()),
    ];
    ForwardRequest {
        object: asker.object,
        write: asker.booking,
        not_idempotent: asker.booking,
        home_site: None,
        priority: if asker.booking { Priority::Booking } else { Priority::LaterPart },
        latency_objective: aim,
        deadline: asker.deadline - 30.0,
        passed_sites: asker.passed.clone(),
        fields: head.into_iter().map(|(name, value)| (name.to_string(), value)).collect(),
        body: Bytes::from_static(b"a booking"),
    }
}
