//! The routers: events of their decision modules, and the actions that these return.

use linnethook::interface::{
    Action, AttemptId, AttemptStatus, EndpointId, Event as PolicyEvent, FillInstruction, Ms, RequestId,
};

use super::fleet::{Attempt, Event, Fleet, HUB_DELAY, LOCAL_DELAY};

impl Fleet<'_> {
    pub(super) fn notify_policy(&mut self, router: usize, event: &PolicyEvent) {
        for action in self.policies[router].handle(self.now, event) {
            match action {
                Action::Forward { request, endpoint: cache, timeout, .. } => {
                    self.send(router, request, cache, timeout, None)
                }
                Action::ForwardWithFill { request, endpoint: cache, timeout, fill, .. } => {
                    self.send(router, request, cache, timeout, Some(fill));
                }
                Action::CancelAttempt(id) => {
                    if let Some(number) = self.attempts_by_id.get(&id).copied() {
                        if let Some(attempt) = self.attempts.get_mut(&number) {
                            (attempt.status, attempt.cache_status) = (AttemptStatus::Cancelled, None);
                            self.add(self.now, Event::ResponseArrival(number));
                        }
                    }
                }
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    self.retry_rejected(request.0)
                }
                Action::SetTimer { at, token } => self.add(at, Event::Timer(router, token)),
                Action::HealthCheck(cache) => {
                    if let Some(n) = self.server_index(cache) {
                        self.record_arrival(n, router, self.trial.deployment.work());
                    }
                }
                Action::SubscribeEndpoints | Action::Log(_) => {}
            }
        }
    }

    pub(super) fn server_index(&self, id: EndpointId) -> Option<usize> {
        self.servers.iter().position(|server| server.endpoint.id == id)
    }

    pub(super) fn send(
        &mut self,
        router: usize,
        request: RequestId,
        cache: EndpointId,
        timeout: Ms,
        fill: Option<FillInstruction>,
    ) {
        let Some(server) = self.server_index(cache) else { return };
        let number = self.attempt_counts.entry(request.0).or_default();
        let id = AttemptId { request, number: *number };
        *number += 1;
        self.last_number += 1;
        let (status, cache_status) = (AttemptStatus::Ok, None);
        let attempt =
            Attempt { router, id, server, fill, sent_at: self.now, status, cache_status, source_wait: 0.0 };
        self.attempts.insert(self.last_number, attempt);
        self.attempts_by_id.insert(id, self.last_number);
        let (delay, last_number) = (self.network_delay(server), self.last_number);
        self.add(self.now + delay, Event::AttemptArrival(last_number));
        if timeout > 0.0 {
            self.add(self.now + timeout, Event::Timeout(last_number));
        }
    }

    pub(super) fn network_delay(&self, server: usize) -> Ms {
        if self.servers[server].endpoint.role == 0 {
            LOCAL_DELAY
        } else {
            HUB_DELAY
        }
    }
}
