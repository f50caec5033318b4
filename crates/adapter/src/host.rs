//! Hosts the instances: one module each, with nothing in common but the numbered lists of the wire.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use linnethook::interface::{Endpoint, Event, Ms};
use linnethook::Policy;
use linnethook_settings::{load, LoadField};

use crate::codec::{Input, Instance, Reply, LISTS};

#[derive(Default)]
pub struct Host {
    lists: [Vec<Endpoint>; LISTS],
    instances: BTreeMap<Instance, Hosted>,
}

struct Hosted {
    policy: Policy,
    report: Vec<LoadField>,
}

impl Host {
    /// Plays one batch; an error means that the batch can't be understood.
    pub fn play(&mut self, now: Ms, inputs: Vec<(Input, Vec<f64>)>) -> Result<Reply, String> {
        let mut reply = Reply::default();
        for (input, report) in inputs {
            match input {
                Input::Open { instance, seed, settings: text } => {
                    let told = linnethook_settings::decode(&text)
                        .map_err(|wrong| format!("settings of instance {instance}: {wrong}"))?;
                    let hosted = Hosted { policy: Policy::new(told.settings, seed), report: told.report };
                    self.instances.insert(instance, hosted);
                }
                Input::DefineList { list, rows } => self.lists[list] = rows,
                Input::Fleet { instance, kind, list } => {
                    let members = match kind {
                        linnethook::interface::EndpointUpdate::Unavailable => Vec::new(),
                        _ => self.lists.get(list).ok_or(format!("list number {list}"))?.clone(),
                    };
                    self.tell(
                        now,
                        instance,
                        &Event::Endpoints { update: kind, endpoints: members },
                        &mut reply,
                    );
                }
                Input::PowerOff { instance } => {
                    self.instances.remove(&instance);
                }
                Input::Datagram { .. } => {}
                Input::Event { instance, mut event } => {
                    if let Some(hosted) = self.instances.get(&instance) {
                        match &mut event {
                            Event::AttemptFinished(outcome) => {
                                outcome.load_report = load(&report, &hosted.report)
                            }
                            Event::HealthCheck { load_report: told, .. } => {
                                *told = load(&report, &hosted.report)
                            }
                            _ => {}
                        }
                    }
                    self.tell(now, instance, &event, &mut reply);
                }
            }
        }
        Ok(reply)
    }

    /// Hands an event to its instance; one that does not run is passed over.
    fn tell(&mut self, now: Ms, instance: Instance, event: &Event, reply: &mut Reply) {
        let Some(hosted) = self.instances.get_mut(&instance) else { return };
        match catch_unwind(AssertUnwindSafe(|| hosted.policy.handle(now, event))) {
            Ok(actions) => actions.iter().for_each(|action| reply.push(instance, action)),
            Err(cause) => {
                let line = cause
                    .downcast_ref::<String>()
                    .map(String::as_str)
                    .or_else(|| cause.downcast_ref::<&str>().copied())
                    .unwrap_or("the decision module failed");
                reply.fault(instance, line);
                self.instances.remove(&instance);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use linnethook::interface::{EndpointId, EndpointPhase, EndpointUpdate};

    use super::*;

    fn open(settings: &str) -> Result<Reply, String> {
        let settings = settings.as_bytes().to_vec();
        Host::default().play(0.0, vec![(Input::Open { instance: 3, seed: 7, settings }, Vec::new())])
    }

    #[test]
    fn wrong_settings_are_told_with_the_way_to_them_and_unknown_ones_passed_over() {
        let told = |settings: &str| open(settings).err().unwrap_or_default();
        assert!(told(r#"{"weight-source": "heavy"}"#)
            .starts_with("settings of instance 3: weight-source: unknown variant `heavy`"));
        assert!(told(r#"{"family-info": {"parent-floor": 7}}"#)
            .starts_with("settings of instance 3: family-info.parent-floor: 7, expected from 0 to 1"));
        assert!(told(r#"{"allowed": {"max-attempts": "six"}}"#)
            .starts_with("settings of instance 3: allowed.max-attempts: invalid type"));
        assert_eq!(told("{}") + &told(r#"{"colour": "red", "weight-source": "off"}"#), "");
    }

    /// A list whose weights are 0 or all 1, and messages of other instances, which nobody sends: neither does harm.
    #[test]
    fn lists_without_weights_and_messages_of_others_are_taken() {
        let mut host = Host::default();
        let settings = br#"{"weight-source": "off", "resolution": 2}"#.to_vec();
        let rows = |weight: f64| {
            let row = |id| Endpoint {
                id: EndpointId(id),
                cell: 0,
                zone: 0,
                role: 0,
                weight,
                started_at: 0.0,
                phase: EndpointPhase::Ready,
            };
            (1..4).map(row).collect()
        };
        let inputs = vec![
            Input::Open { instance: 3, seed: 7, settings },
            Input::DefineList { list: 0, rows: rows(0.0) },
            Input::Fleet { instance: 3, kind: EndpointUpdate::Snapshot, list: 0 },
            Input::DefineList { list: 1, rows: rows(1.0) },
            Input::Fleet { instance: 3, kind: EndpointUpdate::Snapshot, list: 1 },
            Input::Datagram { instance: 3 },
            Input::Datagram { instance: 4 },
        ];
        let played = host.play(1.0, inputs.into_iter().map(|input| (input, Vec::new())).collect());
        assert!(played.is_ok() && host.instances.len() == 1);
    }
}
