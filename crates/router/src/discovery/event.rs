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

/// Events up to a position of the journal.
#[derive(Debug, Clone, Deserialize)]
pub struct EventPage {
    /// The position of the last event.
    #[serde(rename = "pos")]
    pub position: u64,
    /// The events in their order, without those that can't be decoded.
    #[serde(rename = "entries", deserialize_with = "readable_events")]
    pub events: Vec<WatchEvent>,
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
    /// Its position in the journal.
    #[serde(rename = "pos")]
    pub position: u64,
    /// A change of the endpoint list.
    #[serde(default, rename = "hosts")]
    pub endpoints: Option<EndpointUpdate>,
    /// A purge.
    #[serde(default, rename = "expire")]
    pub purge: Option<PurgeEvent>,
    /// A change of the hierarchy. Only an extended journal service publishes these.
    #[serde(default, rename = "shape")]
    pub hierarchy_batch: Option<BatchSpec>,
}

/// The endpoint list, or changes of it.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointUpdate {
    /// Whether endpoints that are not listed were removed.
    #[serde(default, rename = "all")]
    pub is_complete: bool,
    /// The endpoints that are listed, or that have changed.
    #[serde(default, rename = "targets")]
    pub entries: Vec<EndpointEntry>,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointEntry {
    /// The name of the endpoint, the same at all routers.
    pub uid: String,
    /// Where it accepts connections, if the list says so.
    #[serde(default, rename = "endpoint")]
    pub address: Option<SocketAddr>,
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
    started_at: Ms,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
enum EndpointState {
    Ready,
    #[serde(rename = "Terminating")]
    Draining,
    #[serde(rename = "Gone")]
    Removed,
}

/// Copies of an object, or of a group of objects, that were made before a time are out of date.
#[derive(Debug, Clone, Deserialize)]
pub struct PurgeEvent {
    /// In hexadecimal; `None` for all objects of the group.
    #[serde(default, rename = "name")]
    pub object: Option<String>,
    /// The group of objects, where no object is named.
    #[serde(default, rename = "set")]
    pub group: u32,
    /// In Unix milliseconds.
    #[serde(rename = "stamp")]
    pub issued_at: Ms,
}

impl EndpointUpdate {
    /// The update as it is reported to the policy.
    pub fn policy_input(&self) -> PolicyInput {
        PolicyInput::Endpoints {
            complete: self.is_complete,
            endpoints: self.entries.iter().map(EndpointEntry::endpoint_info).collect(),
        }
    }
}

impl EndpointEntry {
    /// Whether it takes new requests.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Whether it is no longer in use.
    pub fn is_removed(&self) -> bool {
        self.state == EndpointState::Removed
    }

    /// Marks it as draining, whatever the list has.
    pub fn mark_draining(&mut self) {
        self.state = EndpointState::Draining;
    }

    /// When it started, in Unix milliseconds.
    pub fn started_at(&self) -> Ms {
        self.started_at
    }

    /// The entry as it is reported to the policy.
    pub fn endpoint_info(&self) -> EndpointInfo {
        EndpointInfo {
            uid: self.uid.clone(),
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            weight: self.weight,
            started: self.started_at,
            state: match self.state {
                EndpointState::Ready => ListedState::Ready,
                EndpointState::Draining => ListedState::Draining,
                EndpointState::Removed => ListedState::Removed,
            },
        }
    }
}

impl PurgeEvent {
    /// The purge as it is reported to the policy; `None` if the object's name is not hexadecimal.
    pub fn policy_input(&self) -> Option<PolicyInput> {
        let object = match &self.object {
            Some(name) => Some(u64::from_str_radix(name, 16).ok()?),
            None => None,
        };
        Some(PolicyInput::Purged { object, group: self.group, stamp: self.issued_at })
    }
}
