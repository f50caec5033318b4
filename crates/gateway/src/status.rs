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
pub struct ConnectionView {
    /// The name of its [`LinkHealth`](crate::heartbeat::LinkHealth).
    #[serde(rename = "feel")]
    pub health: String,
    /// How long an answer to a ping takes, in milliseconds.
    #[serde(rename = "trip")]
    pub round_trip: Ms,
    /// The suspicion that the other side is silent.
    pub phi: f64,
    /// Requests to the other side.
    #[serde(rename = "out")]
    pub outgoing: u64,
    /// Requests from the other side.
    #[serde(rename = "serving")]
    pub incoming: u64,
    /// Bytes that wait to be written.
    #[serde(rename = "waiting")]
    pub queued_bytes: u64,
}

/// Another gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerGatewayView {
    /// Its site and its name.
    pub name: String,
    /// The connections with it.
    pub connections: Vec<ConnectionView>,
    /// Tokens from there that are remembered.
    #[serde(rename = "remembered")]
    pub remembered_tokens: u64,
}

/// Another site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RemoteSiteView {
    /// Its name.
    pub name: String,
    /// A connection is up, and the site's state is recent.
    #[serde(rename = "reachable")]
    pub is_reachable: bool,
    /// It has usable caches.
    #[serde(rename = "caches")]
    pub has_caches: bool,
    /// Its path to the origin is open.
    #[serde(rename = "origin")]
    pub has_origin: bool,
    /// Its utilization, from 0 to 1.
    #[serde(rename = "used")]
    pub utilization: f64,
    /// Its operators, or those of this site, have drained it.
    #[serde(rename = "drained")]
    pub is_drained: bool,
    /// It is shut for its utilization or its failures.
    #[serde(rename = "shut")]
    pub is_shut: bool,
    /// The link to it flaps.
    #[serde(rename = "flapping")]
    pub is_flapping: bool,
    /// The smoothed ratio of requests that failed or were late there.
    #[serde(rename = "bad")]
    pub failure_ratio: f64,
    /// The share of the objects whose reads may go there.
    #[serde(rename = "part")]
    pub read_share: f64,
    /// The share of the objects whose writes may go there.
    #[serde(rename = "part_writes")]
    pub write_share: f64,
    /// Requests that may be in flight there.
    #[serde(rename = "window")]
    pub concurrency_limit: f64,
    /// Requests that are in flight there.
    #[serde(rename = "out")]
    pub in_flight: u32,
    /// Its gateways.
    pub gateways: Vec<PeerGatewayView>,
}

/// A site, and the share of the objects whose requests may go there. Its JSON is a pair.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, f64)", into = "(String, f64)")]
pub struct SiteShare {
    /// The name of the site.
    pub site: String,
    /// The share, from 0 to 1.
    pub share: f64,
}

impl From<(String, f64)> for SiteShare {
    fn from((site, share): (String, f64)) -> Self {
        Self { site, share }
    }
}

impl From<SiteShare> for (String, f64) {
    fn from(entry: SiteShare) -> Self {
        (entry.site, entry.share)
    }
}

/// Where reads, or writes, go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteView {
    /// `reads` or `writes`.
    #[serde(rename = "what")]
    pub request_kind: String,
    /// Whether the own site can serve them.
    #[serde(rename = "home")]
    pub is_served_locally: bool,
    /// The other sites that can, each with the share that may go there.
    #[serde(rename = "across")]
    pub remote_sites: Vec<SiteShare>,
}

/// A gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewayStatusView {
    /// The own site.
    pub site: String,
    /// Its name within its site.
    pub node: String,
    /// When its process started, in Unix microseconds.
    pub epoch: u64,
    /// Caches of the own site that can be used.
    #[serde(rename = "caches")]
    pub usable_caches: u32,
    /// The own path to the origin is open.
    #[serde(rename = "origin")]
    pub has_origin: bool,
    /// The own utilization, from 0 to 1.
    #[serde(rename = "used")]
    pub utilization: f64,
    /// The operators have drained this site.
    #[serde(rename = "drained")]
    pub is_drained: bool,
    /// The other sites.
    pub sites: Vec<RemoteSiteView>,
    /// Requests that are at other sites.
    #[serde(rename = "out")]
    pub forwarded: u64,
    /// Those of them whose outcome is uncertain.
    pub uncertain: u64,
    /// Requests of other sites that are here.
    #[serde(rename = "serving")]
    pub remote_requests: u64,
    /// Counters since the start.
    pub counts: GatewayCounts,
}
