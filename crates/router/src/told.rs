//! Owns what the journal service says: its events as they stand in an answer and in the configuration.
//!
//! Must never hold a connection, nor what comes of an event.

use std::fmt;
use std::net::SocketAddr;

use linnethook_hierarchy::change_spec::BatchSpec;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::Value;

use crate::decider::{Host, HostState, Ms, News};
use crate::log::log_line;

/// Events up to a number.
#[derive(Debug, Clone, Deserialize)]
pub struct Page {
    pub pos: u64,
    #[serde(deserialize_with = "readable")]
    pub entries: Vec<Entry>,
}

/// Passes over single events that can't be read: with a poll lost for each of them, none would be heard of again.
///
/// Guards against a long list that is held as trees of values before any of it is understood: that takes some twenty
/// times the memory of its text, at the start of every router.
fn readable<'a, D: Deserializer<'a>>(from: D) -> Result<Vec<Entry>, D::Error> {
    from.deserialize_seq(Events)
}

/// Understands one event after the other.
struct Events;

impl<'a> Visitor<'a> for Events {
    type Value = Vec<Entry>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a list of events")
    }

    fn visit_seq<A: SeqAccess<'a>>(self, mut events: A) -> Result<Self::Value, A::Error> {
        let mut read = Vec::new();
        while let Some(event) = events.next_element::<&RawValue>()? {
            match understood(event) {
                Ok(entry) => read.push(entry),
                Err(wrong) => log_line!("journal: an event: {wrong}"),
            }
        }
        Ok(read)
    }
}

/// A name that stands twice in an event counts where it stands last, which only a tree of values can tell.
fn understood(event: &RawValue) -> serde_json::Result<Entry> {
    serde_json::from_str(event.get())
        .or_else(|_| serde_json::from_str::<Value>(event.get()).and_then(serde_json::from_value))
}

#[derive(Debug, Clone, Deserialize)]
pub struct Entry {
    pub pos: u64,
    #[serde(default)]
    pub hosts: Option<Hosts>,
    #[serde(default)]
    pub expire: Option<Expire>,
    /// A change of the hierarchy; only an extended journal service tells of these.
    #[serde(default)]
    pub shape: Option<BatchSpec>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Hosts {
    #[serde(default)]
    pub all: bool,
    #[serde(default)]
    pub targets: Vec<Target>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Target {
    pub uid: String,
    #[serde(default)]
    pub endpoint: Option<SocketAddr>,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u16,
    state: State,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: Ms,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
enum State {
    Ready,
    Terminating,
    Gone,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Expire {
    #[serde(default)]
    pub name: Option<String>,
    #[serde(default)]
    pub set: u32,
    pub stamp: Ms,
}

impl Hosts {
    pub fn news(&self) -> News {
        News::Hosts { complete: self.all, hosts: self.targets.iter().map(Target::host).collect() }
    }
}

impl Target {
    pub fn ready(&self) -> bool {
        self.state == State::Ready
    }

    /// It takes no new work, whatever its line says.
    pub fn bar(&mut self) {
        self.state = State::Terminating;
    }

    pub fn gone(&self) -> bool {
        self.state == State::Gone
    }

    pub fn started(&self) -> Ms {
        self.boot_ms
    }

    pub fn host(&self) -> Host {
        Host {
            uid: self.uid.clone(),
            zone: self.az.clone(),
            kind: self.model.clone(),
            cell: self.pod_group,
            weight: self.capacity_hint,
            started: self.boot_ms,
            state: match self.state {
                State::Ready => HostState::Ready,
                State::Terminating => HostState::Draining,
                State::Gone => HostState::Gone,
            },
        }
    }
}

impl Expire {
    /// `None` where the object's name can't be read.
    pub fn news(&self) -> Option<News> {
        let object = match &self.name {
            Some(name) => Some(u64::from_str_radix(name, 16).ok()?),
            None => None,
        };
        Some(News::Expired { object, group: self.set, stamp: self.stamp })
    }
}
