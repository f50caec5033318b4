//! Events of the journal service, in its responses and in the configuration.
//!
//! The field names of the service are mapped to the router's terms here.

use std::fmt;
use std::net::SocketAddr;

use linnethook_hierarchy::change_spec::BatchSpec;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::Value;

use crate::log::log_line;
use crate::policy_adapter::{EndpointInfo, ListedState, Ms, PolicyInput};

/// A page of events, up to a position of the journal.
#[derive(Debug, Clone, Deserialize)]
pub struct EventPage {
    /// The position of the last event.
    #[serde(rename = "pos")]
    pub position: u64,
    /// The events in the order of the journal, without those that can't be decoded.
    #[serde(rename = "entries", deserialize_with = "readable_events")]
    pub events: Vec<WatchEvent>,
}

/// Skips single events that can't be decoded: failing the poll would block all later events.
///
/// Events are decoded one by one, since a list of JSON values takes about twenty times the memory of its
/// text.
fn readable_events<'a, D: Deserializer<'a>>(from: D) -> Result<Vec<WatchEvent>, D::Error> {
    from.deserialize_seq(EventVisitor)
}

/// At most this many characters of an event that can't be decoded are logged.
const MAX_LOGGED_EVENT_CHARS: usize = 120;

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
                Err(error) => log_line!(
                    "journal: skipping an event that can't be decoded: {error}, got {:?}",
                    event.get().chars().take(MAX_LOGGED_EVENT_CHARS).collect::<String>()
                ),
            }
        }
        Ok(decoded)
    }
}

/// Decodes an event. If a field occurs twice, its last value is used; only decoding through a JSON value
/// supports this.
fn decode_event(event: &RawValue) -> serde_json::Result<WatchEvent> {
    serde_json::from_str(event.get())
        .or_else(|_| serde_json::from_str::<Value>(event.get()).and_then(serde_json::from_value))
}

/// A change of the endpoint list, a purge, or a change of the hierarchy.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchEvent {
    /// The position of the event in the journal.
    #[serde(rename = "pos")]
    pub position: u64,
    /// An update of the endpoint list.
    #[serde(default, rename = "hosts")]
    pub endpoints: Option<EndpointUpdate>,
    /// A purge.
    #[serde(default, rename = "expire")]
    pub purge: Option<PurgeEvent>,
    /// A batch of hierarchy changes. Only an extended journal service publishes these.
    #[serde(default, rename = "shape")]
    pub hierarchy_batch: Option<BatchSpec>,
}

/// A snapshot of the endpoint list, or changes to it.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointUpdate {
    /// Whether this is a snapshot: endpoints without an entry are removed.
    #[serde(default, rename = "all")]
    pub is_complete: bool,
    /// The endpoints of the snapshot, or those that have changed.
    #[serde(default, rename = "targets")]
    pub entries: Vec<EndpointEntry>,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointEntry {
    /// The name of the endpoint, identical at all routers.
    pub uid: String,
    /// The address at which it accepts connections, if the list has it.
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

/// A purge: cached copies of an object, or of a group of objects, from before a time are out of date.
#[derive(Debug, Clone, Deserialize)]
pub struct PurgeEvent {
    /// The object in hexadecimal; `None` for all objects of the group.
    #[serde(default, rename = "name")]
    pub object: Option<String>,
    /// The group of objects, if no object is named.
    #[serde(default, rename = "set")]
    pub group: u32,
    /// In Unix milliseconds.
    #[serde(rename = "stamp")]
    pub issued_at: Ms,
}

impl EndpointUpdate {
    /// The update as an input of the policy.
    pub fn policy_input(&self) -> PolicyInput {
        PolicyInput::Endpoints {
            complete: self.is_complete,
            endpoints: self.entries.iter().map(EndpointEntry::endpoint_info).collect(),
        }
    }
}

impl EndpointEntry {
    /// Whether the endpoint accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Whether the endpoint was removed from the list.
    pub fn is_removed(&self) -> bool {
        self.state == EndpointState::Removed
    }

    /// Marks the endpoint as draining, regardless of its state in the list.
    pub fn mark_draining(&mut self) {
        self.state = EndpointState::Draining;
    }

    /// When the endpoint started, in Unix milliseconds.
    pub fn started_at(&self) -> Ms {
        self.started_at
    }

    /// The entry in the policy's terms.
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
    /// The purge as an input of the policy; `None` if the object is not hexadecimal.
    pub fn policy_input(&self) -> Option<PolicyInput> {
        let object = match &self.object {
            Some(name) => Some(u64::from_str_radix(name, 16).ok()?),
            None => None,
        };
        Some(PolicyInput::Purged { object, group: self.group, stamp: self.issued_at })
    }
}
