//! Requests of clients, how a site serves them, and how they end.

use bytes::Bytes;
use linnethook_gateway::attempt_ledger::Ticket;
use linnethook_gateway::flow_control::Priority;
use linnethook_gateway::forwarding::ForwardRequest;
use linnethook_gateway::gateway::{Action, Reply, FIRST_REMOTE_TICKET};
use linnethook_gateway::local_capacity::RequestKind;
use linnethook_gateway::transfer::ObjectVersion;
use rand::RngExt;

use super::{count, PendingRequest, Simulation, SimulationEvent, Tally, NAMES};
use crate::recording::{Asked, Ms, RecordedEvent};

/// Start of the gateway's log lines on connections.
const CONNECTION: &str = "gateway: connection with ";
/// End of the log line of the first connection with a gateway.
const CONNECTION_UP: &str = " up";
/// End of the log line of a closed connection, if it was the last one of a site.
const LAST_CONNECTION_DOWN: &str = "; no connection left";

impl Simulation {
    pub(super) fn arrive(&mut self, n: usize, booking: bool) {
        self.next_id += 1;
        let (now, id) = (self.now, self.next_id);
        let (least, most) = self.scenario.sizes;
        let size = if booking { 400 } else { self.random.random_range(least..=most) };
        let (object, deadline) = (self.random.random::<u64>(), now + self.scenario.wait);
        let pending = PendingRequest {
            id,
            object,
            booking,
            size,
            since: now,
            deadline,
            passed: Vec::new(),
            from_local_client: true,
            served_locally: false,
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
        let forward_request = forward_request(&pending, self.scenario.aim);
        side.pending_requests.insert(ticket, pending);
        side.gateway.submit_request(now, ticket, forward_request);
        self.run_actions(n);
    }

    pub(super) fn tally(&mut self, booking: bool) -> &mut Tally {
        if booking {
            &mut self.out.bookings
        } else {
            &mut self.out.reads
        }
    }

    pub(super) fn run_actions(&mut self, n: usize) {
        while let Some(action) = self.sides[n].gateway.next_action() {
            match action {
                Action::Dial(dialer) => self.dial(n, dialer),
                Action::Close(conn, _) => self.close_connection(n, conn),
                Action::Write(conn) => self.write(n, conn),
                Action::ServeLocally(ticket) => self.serve(n, ticket),
                Action::Answer(ticket, reply) => self.answer(n, ticket, reply),
                Action::ServeRemote(remote) => {
                    let text = |name: &str| {
                        remote
                            .fields
                            .iter()
                            .find(|(known, _)| known == name)
                            .map(|(_, v)| v.clone())
                            .unwrap_or_default()
                    };
                    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
                    let pending = PendingRequest {
                        id: number("i"),
                        object: number("o"),
                        booking: text("c") == "booking",
                        size: number("m") as usize,
                        since: self.now,
                        deadline: self.now + remote.remaining,
                        passed: remote.passed_sites,
                        from_local_client: false,
                        served_locally: false,
                    };
                    let forward_request = forward_request(&pending, self.scenario.aim);
                    self.sides[n].pending_requests.insert(remote.ticket, pending);
                    self.sides[n].gateway.submit_request(self.now, remote.ticket, forward_request);
                }
                Action::CancelServe(ticket) => {
                    // The only attempt of a booking is out: its outcome is reported when it is known.
                    self.sides[n]
                        .pending_requests
                        .retain(|other, pending| *other != ticket || pending.booking);
                }
                // A request has only one attempt here.
                Action::SuspendServe(_) | Action::StopRetries(_) => {}
                Action::RemoteFact(..) | Action::PeerLink { .. } | Action::PeerEntry { .. } => {}
                Action::Log(text) => {
                    self.out.notes += 1;
                    if text.ends_with(LAST_CONNECTION_DOWN) {
                        self.out.downs.push(self.now);
                    } else if text.starts_with(CONNECTION) && text.ends_with(CONNECTION_UP) {
                        self.out.ups.push(self.now);
                    }
                }
            }
        }
    }

    /// Starts to serve a request locally: the caches serve a read, the store runs a booking.
    pub(super) fn serve(&mut self, n: usize, ticket: Ticket) {
        let Some(pending) = self.sides[n].pending_requests.get_mut(&ticket) else { return };
        pending.served_locally = true;
        let pending = pending.clone();
        let available = if pending.booking { self.sides[n].store } else { self.sides[n].caches };
        self.attempts += 1;
        let attempt = self.attempts;
        let took = match (available, pending.booking) {
            (true, true) => self.random.random_range(20.0..120.0),
            (true, false) => self.random.random_range(5.0..60.0),
            // The server is unreachable, which the site notices after 30 ms.
            (false, _) => 30.0,
        };
        if available && pending.booking {
            let asked = Asked {
                at: format!("store-{}", NAMES[n]),
                id: pending.id.to_string(),
                class: "booking".to_string(),
                router: Some(NAMES[n].to_string()),
                ..Asked::default()
            };
            self.record.note_at(self.now, RecordedEvent::Asked { attempt, asked });
            *self.runs.entry(pending.id).or_default() += 1;
        }
        let epoch = self.sides[n].epoch;
        self.schedule(
            self.now + took,
            SimulationEvent::Done(n, epoch, ticket, if available { attempt } else { 0 }),
        );
    }

    pub(super) fn complete(&mut self, n: usize, epoch: u64, ticket: Ticket, attempt: u64) {
        if attempt > 0 {
            let (status, res) = ("data".to_string(), String::new());
            self.record.note_at(self.now, RecordedEvent::Ended { attempt, status, res, ran: true });
        }
        if self.sides[n].epoch != epoch {
            return;
        }
        let Some(pending) = self.sides[n].pending_requests.get(&ticket).cloned() else { return };
        let need = if pending.booking { RequestKind::Write } else { RequestKind::Read };
        let now = self.now;
        let gateway = &mut self.sides[n].gateway;
        if pending.from_local_client {
            gateway.record_local_outcome(now, need, attempt == 0);
        }
        let reply = match attempt {
            0 => Reply::Rejected { retry_after: 100.0 },
            _ => {
                let copy = (!pending.booking).then(|| ObjectVersion {
                    tag: pending.object.to_string(),
                    issued_at: 1.0,
                    length: pending.size as u64,
                });
                Reply::Served { fields: Vec::new(), body: Bytes::from(vec![7; pending.size]), version: copy }
            }
        };
        if now > pending.deadline {
            return self.answer(n, ticket, Reply::Failed);
        }
        if attempt == 0 && pending.from_local_client && gateway.is_locally_unavailable(need) {
            let forward_request = forward_request(&pending, self.scenario.aim);
            if gateway.forward_rejected_request(now, ticket, forward_request) {
                if let Some(pending) = self.sides[n].pending_requests.get_mut(&ticket) {
                    pending.served_locally = false;
                }
                return self.run_actions(n);
            }
        }
        self.answer(n, ticket, reply);
    }

    pub(super) fn answer(&mut self, n: usize, ticket: Ticket, reply: Reply) {
        let Some(pending) = self.sides[n].pending_requests.remove(&ticket) else { return };
        if ticket >= FIRST_REMOTE_TICKET {
            self.sides[n].gateway.complete_remote_request(self.now, ticket, reply);
            return self.run_actions(n);
        }
        let code = match reply {
            Reply::Served { body, .. } => {
                assert_eq!(body.len(), pending.size, "length of the body");
                if !pending.served_locally {
                    self.useful += pending.size as u64;
                }
                1
            }
            Reply::Rejected { .. } => 2,
            Reply::Failed => 3,
        };
        self.record.note_at(self.now, RecordedEvent::Final { request: pending.id, code, dated: None });
        let tally = self.tally(pending.booking);
        *match code {
            1 => &mut tally.served,
            2 => &mut tally.refused,
            _ => &mut tally.failed,
        } += 1;
        if code == 1 {
            count(&mut self.out.served, pending.since);
        }
    }
}

pub(super) fn forward_request(pending: &PendingRequest, aim: Ms) -> ForwardRequest {
    let class = if pending.booking { "booking" } else { "video" };
    let head = [
        ("c", class.to_string()),
        ("i", pending.id.to_string()),
        ("o", pending.object.to_string()),
        ("m", pending.size.to_string()),
    ];
    ForwardRequest {
        object: pending.object,
        write: pending.booking,
        not_idempotent: pending.booking,
        parallel_attempts: false,
        home_site: None,
        priority: if pending.booking { Priority::Booking } else { Priority::LaterPart },
        latency_objective: aim,
        deadline: pending.deadline - 30.0,
        passed_sites: pending.passed.clone(),
        fields: head.into_iter().map(|(name, value)| (name.to_string(), value)).collect(),
        body: Bytes::from_static(b"a booking"),
    }
}
