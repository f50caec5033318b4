//! The configuration of a gateway. Each module defines the settings of its own concern.

use linnethook::interface::Ms;

use crate::attempt_ledger::AttemptLedgerConfig;
use crate::concurrency_window::ConcurrencyWindowConfig;
use crate::forwarding::ForwardingConfig;
use crate::local_capacity::LocalCapacityConfig;
use crate::reconnect::ReconnectConfig;
use crate::routing::RoutingConfig;
use crate::session::SessionConfig;

/// All settings of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct GatewayConfig {
    /// Limits of a single connection.
    pub session: SessionConfig,
    /// Backoff between connection attempts.
    pub reconnect: ReconnectConfig,
    /// The choice of the site that serves a request.
    pub routing: RoutingConfig,
    /// The limit on requests in flight to a site.
    pub concurrency_window: ConcurrencyWindowConfig,
    /// When the local site counts as unavailable.
    pub local_capacity: LocalCapacityConfig,
    /// Limits of requests that are forwarded to other sites.
    pub forwarding: ForwardingConfig,
    /// How long the outcome of an attempt is retained.
    pub attempt_ledger: AttemptLedgerConfig,
    /// Retention of the state of other sites, and limits on connections.
    pub peers: PeerConfig,
}

/// Retention of the state of other sites, and limits on connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerConfig {
    /// Maximum age of the received state of another site for requests from that site to be admitted, in
    /// milliseconds: a request must not be served without the drains that its sender already knew of. 0
    /// admits all requests.
    pub max_state_delay: Ms,
    /// How long the reported load and drain of a site are valid after its last message, in milliseconds.
    pub state_lifetime: Ms,
    /// Maximum number of retained facts about the local site; twice as many are accepted from another
    /// gateway.
    pub max_facts: usize,
    /// How long purges are retained for sites that reconnect, in milliseconds.
    pub purge_retention: Ms,
    /// Maximum number of known peer gateways.
    pub max_gateways: usize,
    /// Maximum number of connections with one peer gateway.
    pub max_connections: usize,
    /// Maximum number of accepted connections, over all peer gateways.
    pub max_accepted: usize,
}

impl Default for PeerConfig {
    fn default() -> Self {
        Self {
            max_state_delay: 200.0,
            state_lifetime: 3_000.0,
            max_facts: 8_192,
            purge_retention: 600_000.0,
            max_gateways: 64,
            max_connections: 4,
            max_accepted: 32,
        }
    }
}

/// The identity and configuration that a gateway is created with.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySetup {
    /// The name of the local site.
    pub site: String,
    /// The names of the other sites.
    pub other_sites: Vec<String>,
    /// The gateway's name within its site.
    pub node: String,
    /// The start time of the process, in Unix microseconds: greater with each start.
    pub epoch: u64,
    /// Seed of the jitter between connection attempts.
    pub seed: u64,
    /// The sites to dial, one entry per connection.
    pub dial_sites: Vec<String>,
    /// Whether the routers of the local site form a cluster and may connect to this gateway.
    pub accepts_cluster_peers: bool,
    /// All settings.
    pub config: GatewayConfig,
}
