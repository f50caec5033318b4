//! Clients: they send requests, wait, request the next part, retry after a rejection, and give up.

use linnethook::interface::{Event as PolicyEvent, ObjectId, Request, RequestId};
use linnethook_gateway::gateway::Reply;
use rand::RngExt;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use super::{micros, ms, Client, Event, Number, Seen, World};
use crate::notes::Wish;
use crate::Micros;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum End {
    Served,
    Refused,
    Failed,
}

/// Codes of the final answers, as on the wire.
const SERVED: u8 = 1;
const REFUSED: u8 = 2;
const FAILED: u8 = 3;

/// The maximum number of retry tokens that clients can accumulate.
const SAVED: f64 = 100.0;

impl World {
    pub(super) fn arrive(&mut self, now: Micros) {
        if now >= micros(self.plan.seconds * 1_000.0) {
            return;
        }
        if let Ok(gap) = Exp::new((self.plan.rate * self.busy).max(1e-9) / 1e6) {
            let gap = gap.sample(&mut self.chance).max(1.0);
            self.queue.add(now + gap as Micros, Event::Arrive);
        }
        let router = self.chance.random_range(0..self.brains.len());
        let object = self.demand.object(now, &mut self.chance);
        let size = self.demand.size::<Pcg64Mcg>(object);
        let books = self.plan.bookings > 0.0 && self.chance.random::<f64>() < self.plan.bookings;
        self.repeats = (self.repeats + self.plan.repeats).min(SAVED);
        self.begin_asking(
            now,
            Client {
                router,
                object,
                part: 0,
                books,
                size,
                first: now,
                since: now,
                wait: self.plan.wait,
                tries: 0,
                attempts: 0,
                foreign: None,
                id: None,
            },
        );
    }

    fn begin_asking(&mut self, now: Micros, client: Client) {
        self.last += 1;
        self.clients.insert(self.last, client);
        Seen::count(&mut self.seen.asked, (now / 1_000_000) as usize);
        self.ask(now, self.last);
    }

    pub(super) fn ask(&mut self, now: Micros, number: Number) {
        let Some(client) = self.clients.get_mut(&number) else { return };
        client.since = now;
        if let Some(wish) = self.wish(number) {
            self.notes.requested(now, &wish);
        }
        if !self.asks_gateway(now, number) {
            self.ask_home(now, number);
        }
    }

    /// Passes a request to the decision module of the client's router.
    pub(super) fn ask_home(&mut self, now: Micros, number: Number) {
        let Some(client) = self.clients.get_mut(&number) else { return };
        client.attempts = 0;
        let request = Request {
            id: RequestId(number),
            object: ObjectId(linnethook::hash_ring::hash_pair(client.object, 1)),
            part: client.part,
            group: 0,
            class: u16::from(client.books),
            size_kb: client.size / 1_000.0,
            client_retry: client.tries > 0,
            is_write: client.books,
            time_limit: client.wait - ms(now - client.since),
        };
        let router = client.router;
        self.tell(now, router, &PolicyEvent::Request(request));
    }

    /// The properties of a request that are recorded.
    pub(super) fn wish(&self, number: Number) -> Option<Wish> {
        let client = self.clients.get(&number)?;
        let deadline = ms(client.since) + client.wait;
        let (object, router, harmful) = (client.object, client.router, client.books);
        Some(Wish { request: client.id.unwrap_or(number), object, router, deadline, harmful })
    }

    /// The decision module rejected a request; `retry_after` is in milliseconds.
    pub(super) fn refused(&mut self, now: Micros, number: Number, wait: f64) {
        let wait = wait.max(self.come_back.remove(&number).unwrap_or(0.0));
        if self.ended_at_home(now, number, false, true)
            || self.replies(now, number, |_| Reply::Rejected { retry_after: wait })
        {
            return;
        }
        self.client_refused(now, number, wait);
    }

    /// The decision module answered that a request failed, possibly after it was executed.
    pub(super) fn failed(&mut self, now: Micros, number: Number) {
        self.ended_at_home(now, number, false, false);
        if !self.replies(now, number, |_| Reply::Failed) {
            self.client_failed(now, number);
        }
    }

    /// An attempt served a request; `issued_at` is when its copy was made.
    pub(super) fn served(&mut self, now: Micros, number: Number, dated: Option<Micros>) {
        self.ended_at_home(now, number, true, false);
        if !self.replies(now, number, |client| Self::body(client, dated)) {
            self.client_served(now, number, dated);
        }
    }

    // ---- Final answers.

    pub(super) fn client_refused(&mut self, now: Micros, number: Number, wait: f64) {
        self.notes.answered(now, number, REFUSED, None);
        if !self.comes_again(now, number, wait) {
            self.finish(now, number, End::Refused);
        }
    }

    pub(super) fn client_failed(&mut self, now: Micros, number: Number) {
        self.notes.answered(now, number, FAILED, None);
        let may = self.plan.again_failed && self.clients.get(&number).is_some_and(|client| !client.books);
        if !(may && self.comes_again(now, number, 0.0)) {
            self.finish(now, number, End::Failed);
        }
    }

    pub(super) fn client_served(&mut self, now: Micros, number: Number, dated: Option<Micros>) {
        self.notes.answered(now, number, SERVED, dated);
        let next = self.clients.get(&number).filter(|c| !c.books && c.part + 1 < self.plan.parts).cloned();
        self.finish(now, number, End::Served);
        if let Some(before) = next {
            let (part, tries, attempts) = (before.part + 1, 0, 0);
            self.begin_asking(now, Client { part, tries, attempts, first: now, since: now, ..before });
        }
    }

    /// Schedules a retry, under a new request number. Returns whether the client retries.
    fn comes_again(&mut self, now: Micros, number: Number, wait: f64) -> bool {
        let (again, budget) = (self.plan.again, self.plan.repeats > 0.0);
        let Some(client) = self.clients.get(&number) else { return false };
        if client.tries >= again || budget && self.repeats < 1.0 {
            return false;
        }
        self.repeats -= 1.0;
        let mut client = client.clone();
        self.clients.remove(&number);
        let pause = self.plan.pause * self.plan.backoff.powi(client.tries as i32);
        let pause = if self.plan.heed { pause.max(wait) } else { pause };
        (client.tries, client.attempts) = (client.tries + 1, 0);
        self.last += 1;
        self.clients.insert(self.last, client);
        let pause = pause * self.chance.random_range(1.0..1.5);
        Seen::count(&mut self.seen.repeats, ((now + micros(pause)) / 1_000_000) as usize);
        self.queue.add(now + micros(pause), Event::Ask(self.last));
        true
    }

    fn finish(&mut self, now: Micros, number: Number, end: End) {
        let Some(client) = self.clients.remove(&number) else { return };
        let second = (client.first / 1_000_000) as usize;
        let took = ms(now - client.first);
        self.come_back.remove(&number);
        let aim = self.aim(client.size);
        let list = match end {
            End::Served if took <= aim => &mut self.seen.in_time,
            End::Served => &mut self.seen.late,
            End::Refused => &mut self.seen.refused,
            End::Failed => &mut self.seen.failed,
        };
        Seen::count(list, second);
        if end == End::Served {
            self.seen.took.push(took as f32);
        }
    }
}
