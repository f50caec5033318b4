//! The clients: they send requests, and retry rejected ones.

use linnethook::interface::{Event as PolicyEvent, Ms, ObjectId, Request, RequestId};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, StandardNormal};
use rand_pcg::Pcg64Mcg;

use super::fleet::{ClientRequest, Event, Fleet, RESTART_TIME};
use super::trial::Demand;

const BURST_TIME: Ms = RESTART_TIME + 3_500.0;
/// Share of the requests that are for an object that has not been requested before.
const NEW_OBJECT_SHARE: f64 = 0.25;
const SIZE_SIGMA: f64 = 0.7;
const MAX_RETRIES: u32 = 2;

impl Fleet<'_> {
    /// The current request rate, per millisecond.
    fn rate(&self) -> f64 {
        let deployment = self.trial.deployment;
        let capacity: f64 = deployment.caches.iter().sum::<f64>() * deployment.locations as f64;
        let factor = match self.trial.demand {
            Demand::Even | Demand::Skewed => 1.0,
            Demand::Burst if self.now < BURST_TIME => 0.25,
            Demand::Burst => 1.5,
        };
        capacity / deployment.work() * self.trial.load * factor
    }

    pub(super) fn on_client_arrival(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.add(self.now + gap / self.rate(), Event::ClientArrival);
        let deployment = self.trial.deployment;
        let heavy = |n: usize| self.trial.demand == Demand::Skewed && n.is_multiple_of(5);
        let weights: Vec<f64> = (0..self.trial.routers).map(|n| if heavy(n) { 5.0 } else { 1.0 }).collect();
        let router = weighted_index(self.rng.random(), &weights);
        let shares: Vec<f64> = deployment.read_classes.iter().map(|read_class| read_class.share).collect();
        let read_class = weighted_index(self.rng.random(), &shares);
        let object = if self.rng.random::<f64>() < NEW_OBJECT_SHARE {
            self.new_objects += 1;
            self.new_objects
        } else {
            // Half of the requests are for a quarter of the objects.
            let uniform: f64 = self.rng.random();
            (uniform * uniform * deployment.objects as f64) as u64
        };
        let object = object * 8 + read_class as u64;
        // Sizes are lognormal with a mean of one; the size of an object is the same for all requests.
        let deviation: f64 = StandardNormal.sample(&mut Pcg64Mcg::seed_from_u64(object));
        let size = (SIZE_SIGMA * deviation - SIZE_SIGMA * SIZE_SIGMA / 2.0).exp();
        let work = (deployment.read_classes[read_class].work * size).max(1.0);
        self.last_number += 1;
        let client_request =
            ClientRequest { router, read_class, object, work, retries: 0, first_sent_at: self.now };
        self.requests.insert(self.last_number, client_request);
        self.send_request(self.last_number);
    }

    pub(super) fn send_request(&mut self, id: u64) {
        let Some(client_request) = self.requests.get(&id).copied() else { return };
        let deployment = self.trial.deployment;
        let class = deployment.read_classes[client_request.read_class].class;
        let flow = deployment.settings.flow_kb_per_s;
        let size_kb = if deployment.sizes_known { client_request.work * flow / 1_000.0 } else { 0.0 };
        let budget = deployment.settings.class(class).deadline + client_request.first_sent_at - self.now;
        if budget <= 0.0 {
            self.requests.remove(&id);
            return;
        }
        let request = Request {
            id: RequestId(id),
            object: ObjectId(client_request.object),
            part: 0,
            group: 0,
            class,
            size_kb,
            client_retry: client_request.retries > 0,
            is_write: false,
            time_limit: budget,
        };
        self.notify_policy(client_request.router, &PolicyEvent::Request(request));
    }

    /// A rejected client retries after a pause, under a new request number.
    pub(super) fn retry_rejected(&mut self, id: u64) {
        let Some(client_request) =
            self.requests.remove(&id).filter(|client_request| client_request.retries < MAX_RETRIES)
        else {
            return;
        };
        self.last_number += 1;
        self.requests.insert(
            self.last_number,
            ClientRequest { retries: client_request.retries + 1, ..client_request },
        );
        let pause = self.rng.random_range(50.0..200.0);
        self.add(self.now + pause, Event::Retry(self.last_number));
    }
}

/// The index that a number from 0 up to 1 selects, by weight.
fn weighted_index(at: f64, weights: &[f64]) -> usize {
    let mut remaining = at * weights.iter().sum::<f64>();
    let is_selected = |weight: &f64| {
        remaining -= weight;
        remaining < 0.0
    };
    weights.iter().position(is_selected).unwrap_or(0)
}
