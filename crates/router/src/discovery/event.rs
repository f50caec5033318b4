//! Events of the journal service, as they are written in its responses and in the configuration.
//!
//! The names of the service's fields are mapped to the router's terms here.

use std::fmt;
use std::net::SocketAddr;

use linnethook_hierarchy::change_spec::BatchSpec;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::Value;

use crate::log::log_line;
use crate::policy_adapter::{EndpointInfo, ListedState, Ms, PolicyInput};

/// Events up to a position.
#[derive(Debug, Clone, Deserialize)]
pub struct EventPage {
    pub pos: u64,
    #[serde(deserialize_with = "readable_events")]
    pub entries: Vec<WatchEvent>,
}

/// Skips single events that can't be read: failing the poll would block all later events.
///
/// Events are decoded one by one, since a list of JSON values takes some twenty times the memory of its text.
fn readable_events<'a, D: Deserializer<'a>>(from: D) -> Result<Vec<WatchEvent>, D::Error> {
    from.deserialize_seq(EventVisitor)
}

struct EventVisitor;

impl<'a> Visitor<'a> for EventVisitor {
    type Value = Vec<WatchEvent>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a list of events")
    }

    fn visit_seq<A: SeqAccess<'a>>(self, mut events: A) -> Result<Self::Value, A::Error> {
        let mut decoded = Vec::new();
        while let Some(event) = events.next_element::<&RawValue>()? {
            match decode_event(event) {
                Ok(event) => decoded.push(event),
                Err(error) => log_line!("journal: an event: {error}"),
            }
        }
        Ok(decoded)
    }
}

/// Decodes an event. Of a name that occurs twice the last one counts, which only the decoding by way of a JSON value
/// supports.
fn decode_event(event: &RawValue) -> serde_json::Result<WatchEvent> {
    serde_json::from_str(event.get())
        .or_else(|_| serde_json::from_str::<Value>(event.get()).and_then(serde_json::from_value))
}

/// A change of the endpoint list, a purge, or a change of the hierarchy.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchEvent {
    pub pos: u64,
    #[serde(default)]
    pub hosts: Option<EndpointUpdate>,
    #[serde(default)]
    pub expire: Option<PurgeEvent>,
    /// A change of the hierarchy; only an extended journal service publishes these.
    #[serde(default)]
    pub shape: Option<BatchSpec>,
}

/// The endpoint list, or changes of it.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointUpdate {
    /// Whether endpoints that are not listed are gone.
    #[serde(default)]
    pub all: bool,
    #[serde(default)]
    pub targets: Vec<EndpointEntry>,
}

/// A line of the endpoint list.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointEntry {
    pub uid: String,
    #[serde(default)]
    pub endpoint: Option<SocketAddr>,
    #[serde(default, rename = "az")]
    zone: String,
    #[serde(default, rename = "model")]
    kind: String,
    #[serde(default, rename = "pod_group")]
    cell: u16,
    state: EndpointState,
    #[serde(default, rename = "capacity_hint")]
    weight: f64,
    /// In Unix milliseconds.
    #[serde(default, rename = "boot_ms")]
    started: Ms,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
enum EndpointState {
    Ready,
    #[serde(rename = "Terminating")]
    Draining,
    Gone,
}

/// Copies of an object, or of a group of objects, from before a time are out of date.
#[derive(Debug, Clone, Deserialize)]
pub struct PurgeEvent {
    #[serde(default, rename = "name")]
    pub object: Option<String>,
    #[serde(default, rename = "set")]
    pub group: u32,
    /// In Unix milliseconds.
    pub stamp: Ms,
}

impl EndpointUpdate {
    pub fn news(&self) -> PolicyInput {
        PolicyInput::Endpoints {
            complete: self.all,
            endpoints: self.targets.iter().map(EndpointEntry::host).collect(),
        }
    }
}

impl EndpointEntry {
    pub fn ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Marks it as draining, whatever the list says.
    pub fn bar(&mut self) {
        self.state = EndpointState::Draining;
    }

    pub fn gone(&self) -> bool {
        self.state == EndpointState::Gone
    }

    pub fn started(&self) -> Ms {
        self.started
    }

    pub fn host(&self) -> EndpointInfo {
        EndpointInfo {
            uid: self.uid.clone(),
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            weight: self.weight,
            started: self.started,
            state: match self.state {
                EndpointState::Ready => ListedState::Ready,
                EndpointState::Draining => ListedState::Draining,
                EndpointState::Gone => ListedState::Removed,
            },
        }
    }
}

impl PurgeEvent {
    /// `None` where the object's name can't be read.
    pub fn news(&self) -> Option<PolicyInput> {
        let object = match &self.object {
            Some(name) => Some(u64::from_str_radix(name, 16).ok()?),
            None => None,
        };
        Some(PolicyInput::Purged { object, group: self.group, stamp: self.stamp })
    }
}
