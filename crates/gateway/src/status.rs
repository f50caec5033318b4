//! A gateway as commands show it. Where the JSON that commands print has another name, the field bears it as an
//! attribute.

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

/// Counters since the start. Commands print them under the names of the JSON.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayCounts {
    /// Requests that were handed to the own site.
    #[serde(rename = "home")]
    pub served_locally: u64,
    /// Attempts that were sent to other sites.
    #[serde(rename = "across")]
    pub attempts_sent: u64,
    /// Requests for which there was no site.
    #[serde(rename = "nowhere")]
    pub without_site: u64,
    /// Further attempts.
    #[serde(rename = "again")]
    pub retries: u64,
    /// Bodies that were resumed.
    #[serde(rename = "resumed")]
    pub resumed_bodies: u64,
    /// Requests that another site has served.
    pub answered: u64,
    /// Requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts whose outcome became uncertain.
    #[serde(rename = "uncertain")]
    pub became_uncertain: u64,
    /// Attempts that were proven not to have run.
    #[serde(rename = "freed")]
    pub proven_not_run: u64,
    /// Requests of other sites that were served.
    #[serde(rename = "served")]
    pub remote_served: u64,
    /// Requests of other sites that were rejected.
    #[serde(rename = "turned_away")]
    pub remote_rejected: u64,
    /// Those of them that were rejected since the state of the sender's site was too old.
    #[serde(rename = "stale")]
    pub remote_rejected_for_old_state: u64,
    /// Connections that came up.
    #[serde(rename = "ups")]
    pub connections_up: u64,
    /// Connections that went down.
    #[serde(rename = "downs")]
    pub connections_down: u64,
    /// Bytes of bodies that were received.
    #[serde(rename = "body_bytes")]
    pub received_body_bytes: u64,
    /// Bytes of bodies that were discarded and requested again.
    #[serde(rename = "bytes_again")]
    pub discarded_body_bytes: u64,
}

/// A connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConnLine {
    /// The name of its [`LinkHealth`](crate::heartbeat::LinkHealth).
    #[serde(rename = "feel")]
    pub health: String,
    /// How long an answer to a ping takes, in milliseconds.
    pub trip: Ms,
    /// The suspicion that the other side is silent.
    pub phi: f64,
    /// Requests to the other side.
    pub out: u64,
    /// Requests from the other side.
    pub serving: u64,
    /// Bytes that wait to be written.
    pub waiting: u64,
}

/// Another gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewayLine {
    /// Its site and its name.
    pub name: String,
    /// The connections with it.
    pub connections: Vec<ConnLine>,
    /// Tokens from there that are remembered.
    pub remembered: u64,
}

/// Another site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteLine {
    /// Its name.
    pub name: String,
    /// A connection is up, and the site's state is recent.
    pub reachable: bool,
    /// It has usable caches.
    pub caches: bool,
    /// Its path to the origin is open.
    pub origin: bool,
    /// Its utilization, from 0 to 1.
    pub used: f64,
    /// Its operators, or those of this site, have drained it.
    pub drained: bool,
    /// It is shut for its utilization or its failures.
    pub shut: bool,
    /// The link to it flaps.
    pub flapping: bool,
    /// The smoothed ratio of requests that failed or were late there.
    pub bad: f64,
    /// The share of the objects whose reads may go there.
    pub part: f64,
    /// The share of the objects whose writes may go there.
    pub part_writes: f64,
    /// Requests that may be in flight there.
    pub window: f64,
    /// Requests that are in flight there.
    pub out: u32,
    /// Its gateways.
    pub gateways: Vec<GatewayLine>,
}

/// Where reads, or writes, go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteLine {
    /// `reads` or `writes`.
    pub what: String,
    /// Whether the own site can serve them.
    pub home: bool,
    /// The other sites that can, each with the share that may go there.
    pub across: Vec<(String, f64)>,
}

/// A gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The own site.
    pub site: String,
    /// Its name within its site.
    pub node: String,
    /// When its process started, in Unix microseconds.
    pub epoch: u64,
    /// Caches of the own site that can be used.
    pub caches: u32,
    /// The own path to the origin is open.
    pub origin: bool,
    /// The own utilization, from 0 to 1.
    pub used: f64,
    /// The operators have drained this site.
    pub drained: bool,
    /// The other sites.
    pub sites: Vec<SiteLine>,
    /// Requests that are at other sites.
    pub out: u64,
    /// Those of them whose outcome is uncertain.
    pub uncertain: u64,
    /// Requests of other sites that are here.
    pub serving: u64,
    /// Counters since the start.
    pub counts: GatewayCounts,
}
