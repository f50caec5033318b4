//! The status of a gateway, as printed by commands. A field whose name in the JSON output differs has a
//! `rename` attribute.

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

/// Counters since the start of the process. Commands print them under their JSON names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayCounts {
    /// Requests that were routed to the local site.
    #[serde(rename = "home")]
    pub served_locally: u64,
    /// Attempts that were sent to other sites.
    #[serde(rename = "across")]
    pub attempts_sent: u64,
    /// Requests that no site could serve.
    #[serde(rename = "nowhere")]
    pub without_site: u64,
    /// Retries.
    #[serde(rename = "again")]
    pub retries: u64,
    /// Response bodies that were resumed.
    #[serde(rename = "resumed")]
    pub resumed_bodies: u64,
    /// Requests that another site served.
    pub answered: u64,
    /// Requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts that became uncertain, because their connection was lost.
    #[serde(rename = "uncertain")]
    pub became_uncertain: u64,
    /// Attempts that were proven not to have run.
    #[serde(rename = "freed")]
    pub proven_not_run: u64,
    /// Requests from other sites that were served.
    #[serde(rename = "served")]
    pub remote_served: u64,
    /// Requests from other sites that were rejected.
    #[serde(rename = "turned_away")]
    pub remote_rejected: u64,
    /// Requests from other sites that were rejected because the received state of the sender's site was too
    /// old.
    #[serde(rename = "stale")]
    pub remote_rejected_for_old_state: u64,
    /// Connections that were established.
    #[serde(rename = "ups")]
    pub connections_up: u64,
    /// Established connections that were lost or closed.
    #[serde(rename = "downs")]
    pub connections_down: u64,
    /// Received bytes of response bodies.
    #[serde(rename = "body_bytes")]
    pub received_body_bytes: u64,
    /// Received bytes of response bodies that were discarded and requested again.
    #[serde(rename = "bytes_again")]
    pub discarded_body_bytes: u64,
}

/// The status of a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConnectionView {
    /// The name of its [`LinkHealth`](crate::heartbeat::LinkHealth).
    #[serde(rename = "feel")]
    pub health: String,
    /// The smoothed round-trip time of pings, in milliseconds.
    #[serde(rename = "trip")]
    pub round_trip: Ms,
    /// The suspicion level of the phi accrual failure detector.
    pub phi: f64,
    /// Open requests to the peer.
    #[serde(rename = "out")]
    pub outgoing: u64,
    /// Open requests from the peer.
    #[serde(rename = "serving")]
    pub incoming: u64,
    /// Bytes that are queued for writing.
    #[serde(rename = "waiting")]
    pub queued_bytes: u64,
}

/// The status of a peer gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerGatewayView {
    /// The names of its site and of the gateway, as `site/node`.
    pub name: String,
    /// The connections to it.
    pub connections: Vec<ConnectionView>,
    /// The number of retained fencing tokens that it sent.
    #[serde(rename = "remembered")]
    pub remembered_tokens: u64,
}

/// The status of another site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RemoteSiteView {
    /// Its name.
    pub name: String,
    /// Whether a connection is up and the received state of the site is recent.
    #[serde(rename = "reachable")]
    pub is_reachable: bool,
    /// Whether it has usable caches.
    #[serde(rename = "caches")]
    pub has_caches: bool,
    /// Whether its path to the origin works.
    #[serde(rename = "origin")]
    pub has_origin: bool,
    /// Its utilization, from 0 to 1.
    #[serde(rename = "used")]
    pub utilization: f64,
    /// Whether its operators, or those of this site, have drained it.
    #[serde(rename = "drained")]
    pub is_drained: bool,
    /// Whether it is limited to the initial share because of its utilization or failures.
    #[serde(rename = "shut")]
    pub is_shut: bool,
    /// Whether the link to it is flapping.
    #[serde(rename = "flapping")]
    pub is_flapping: bool,
    /// The smoothed ratio of requests that failed there.
    #[serde(rename = "bad")]
    pub failure_ratio: f64,
    /// The share of objects whose reads are admitted there, from 0 to 1.
    #[serde(rename = "part")]
    pub read_share: f64,
    /// The share of objects whose writes are admitted there, from 0 to 1.
    #[serde(rename = "part_writes")]
    pub write_share: f64,
    /// The limit on requests in flight to it.
    #[serde(rename = "window")]
    pub concurrency_limit: f64,
    /// The number of requests in flight to it.
    #[serde(rename = "out")]
    pub in_flight: u32,
    /// Its gateways.
    pub gateways: Vec<PeerGatewayView>,
}

/// A site and the share of objects whose requests are admitted there. Its JSON form is a pair.
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

/// The routes of reads or of writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteView {
    /// `reads` or `writes`.
    #[serde(rename = "what")]
    pub request_kind: String,
    /// Whether the local site can serve them.
    #[serde(rename = "home")]
    pub is_served_locally: bool,
    /// The other sites that can serve them, with the admitted share of each.
    #[serde(rename = "across")]
    pub remote_sites: Vec<SiteShare>,
}

/// The status of a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewayStatusView {
    /// The name of the local site.
    pub site: String,
    /// The name of the gateway within its site.
    pub node: String,
    /// The start time of the process, in Unix microseconds.
    pub epoch: u64,
    /// The number of caches of the local site that can be used.
    #[serde(rename = "caches")]
    pub usable_caches: u32,
    /// Whether the local path to the origin works.
    #[serde(rename = "origin")]
    pub has_origin: bool,
    /// The utilization of the local site, from 0 to 1.
    #[serde(rename = "used")]
    pub utilization: f64,
    /// Whether the operators have drained this site.
    #[serde(rename = "drained")]
    pub is_drained: bool,
    /// The other sites.
    pub sites: Vec<RemoteSiteView>,
    /// Requests that were forwarded and have no reply yet.
    #[serde(rename = "out")]
    pub forwarded: u64,
    /// The forwarded requests whose outcome is uncertain.
    pub uncertain: u64,
    /// Requests from other sites that have no reply yet.
    #[serde(rename = "serving")]
    pub remote_requests: u64,
    /// Counters since the start of the process.
    pub counts: GatewayCounts,
}
