//! Hosts the instances: one module each, with nothing in common but the numbered lists of the wire.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use linnethook::interface::{Event, Member, Ms};
use linnethook::Brain;
use linnethook_settings::{load, LoadField};

use crate::codec::{Input, Instance, Reply, LISTS};

#[derive(Default)]
pub struct Host {
    lists: [Vec<Member>; LISTS],
    instances: BTreeMap<Instance, Hosted>,
}

struct Hosted {
    brain: Brain,
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
                    let hosted = Hosted { brain: Brain::new(told.settings, seed), report: told.report };
                    self.instances.insert(instance, hosted);
                }
                Input::DefineList { list, rows } => self.lists[list] = rows,
                Input::Fleet { instance, kind, list } => {
                    let members = match kind {
                        linnethook::interface::ListKind::Failed => Vec::new(),
                        _ => self.lists.get(list).ok_or(format!("list number {list}"))?.clone(),
                    };
                    self.tell(now, instance, &Event::List { kind, members }, &mut reply);
                }
                Input::PowerOff { instance } => {
                    self.instances.remove(&instance);
                }
                Input::Datagram { .. } => {}
                Input::Event { instance, mut event } => {
                    if let Some(hosted) = self.instances.get(&instance) {
                        match &mut event {
                            Event::Outcome(outcome) => outcome.load = load(&report, &hosted.report),
                            Event::Probed { load: told, .. } => *told = load(&report, &hosted.report),
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
        match catch_unwind(AssertUnwindSafe(|| hosted.brain.handle(now, event))) {
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
