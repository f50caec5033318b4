//! Hosts one decision module for each instance. Instances share only the endpoint lists of the protocol.

use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use linnethook::interface::{Endpoint, EndpointUpdate, Event, Ms};
use linnethook::Policy;
use linnethook_settings::{load_report, LoadReportField, SettingsError};

use crate::codec::{Instance, Record, Reply, ENDPOINT_LISTS};

/// Why a batch cannot be executed.
#[derive(Debug)]
pub enum HostError {
    InvalidSettings {
        instance: Instance,
        source: SettingsError,
    },
    /// An update refers to a list beyond [`ENDPOINT_LISTS`].
    UnknownList(usize),
}

impl std::fmt::Display for HostError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::InvalidSettings { instance, source } => {
                write!(formatter, "settings of instance {instance}: {source}")
            }
            Self::UnknownList(list) => {
                write!(formatter, "endpoint list {list}, expected a number below {ENDPOINT_LISTS}")
            }
        }
    }
}

impl std::error::Error for HostError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::InvalidSettings { source, .. } => Some(source),
            Self::UnknownList(_) => None,
        }
    }
}

/// All running instances.
#[derive(Default)]
pub struct Host {
    lists: [Vec<Endpoint>; ENDPOINT_LISTS],
    instances: BTreeMap<Instance, RunningInstance>,
}

struct RunningInstance {
    policy: Policy,
    report_fields: Vec<LoadReportField>,
}

impl Host {
    /// Executes the records of one batch in order.
    ///
    /// # Errors
    ///
    /// The first record that cannot be executed.
    pub fn execute(&mut self, now: Ms, records: Vec<Record>) -> Result<Reply, HostError> {
        let mut reply = Reply::default();
        for record in records {
            match record {
                Record::StartInstance { instance, seed, settings } => {
                    self.start_instance(instance, seed, &settings)?;
                }
                Record::StopInstance { instance } => {
                    self.instances.remove(&instance);
                }
                Record::DefineList { list, endpoints } => self.lists[list] = endpoints,
                Record::UpdateEndpoints { instance, update, list } => {
                    let endpoints = self.endpoints_of_update(update, list)?;
                    self.handle_event(now, instance, &Event::Endpoints { update, endpoints }, &mut reply);
                }
                Record::Event { instance, event, report } => {
                    let event = self.with_load_report(instance, event, &report);
                    self.handle_event(now, instance, &event, &mut reply);
                }
                Record::PeerMessage { .. } => {}
            }
        }
        Ok(reply)
    }

    fn start_instance(&mut self, instance: Instance, seed: u64, text: &[u8]) -> Result<(), HostError> {
        let decoded = linnethook_settings::decode(text)
            .map_err(|source| HostError::InvalidSettings { instance, source })?;
        let policy = Policy::new(decoded.settings, seed);
        let running = RunningInstance { policy, report_fields: decoded.report_fields };
        self.instances.insert(instance, running);
        Ok(())
    }

    fn endpoints_of_update(&self, update: EndpointUpdate, list: usize) -> Result<Vec<Endpoint>, HostError> {
        match update {
            EndpointUpdate::Unavailable => Ok(Vec::new()),
            EndpointUpdate::Incremental | EndpointUpdate::Snapshot => {
                self.lists.get(list).cloned().ok_or(HostError::UnknownList(list))
            }
        }
    }

    /// Adds the load report to an event; the settings of the instance define the fields of its values.
    fn with_load_report(&self, instance: Instance, mut event: Event, values: &[f64]) -> Event {
        let Some(running) = self.instances.get(&instance) else { return event };
        match &mut event {
            Event::AttemptFinished(outcome) => {
                outcome.load_report = load_report(values, &running.report_fields);
            }
            Event::HealthCheck { load_report: report, .. } => {
                *report = load_report(values, &running.report_fields);
            }
            _ => {}
        }
        event
    }

    /// Passes an event to its instance and adds the actions to the reply. Events for an unknown instance are
    /// ignored. A panic of an instance is reported, and the instance is removed.
    fn handle_event(&mut self, now: Ms, instance: Instance, event: &Event, reply: &mut Reply) {
        let Some(running) = self.instances.get_mut(&instance) else { return };
        match catch_unwind(AssertUnwindSafe(|| running.policy.handle(now, event))) {
            Ok(actions) => {
                for action in &actions {
                    reply.push(instance, action);
                }
            }
            Err(cause) => {
                reply.push_fault(instance, panic_message(cause.as_ref()));
                self.instances.remove(&instance);
            }
        }
    }
}

fn panic_message(cause: &(dyn Any + Send)) -> &str {
    let owned = cause.downcast_ref::<String>().map(String::as_str);
    let message = owned.or_else(|| cause.downcast_ref::<&str>().copied());
    message.unwrap_or("decision module panicked without a message")
}

#[cfg(test)]
#[path = "../tests/unit/host.rs"]
mod tests;
