//! All settings of a gateway. Each concern has its settings in its own module.

use linnethook::interface::Ms;

use crate::attempt_ledger::AttemptLedgerConfig;
use crate::concurrency_window::ConcurrencyWindowConfig;
use crate::forwarding::ForwardingConfig;
use crate::local_capacity::LocalCapacityConfig;
use crate::reconnect::ReconnectConfig;
use crate::routing::RoutingConfig;
use crate::session::SessionConfig;

/// All that can be set of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct GatewayConfig {
    /// Limits of one connection.
    pub session: SessionConfig,
    /// Pauses between attempts to connect.
    pub reconnect: ReconnectConfig,
    /// Which site serves a request.
    pub routing: RoutingConfig,
    /// How many requests may be in flight to a site.
    pub concurrency_window: ConcurrencyWindowConfig,
    /// When the own site counts as unable to serve.
    pub local_capacity: LocalCapacityConfig,
    /// Limits of requests that other sites serve.
    pub forwarding: ForwardingConfig,
    /// How long the outcome of an attempt is remembered.
    pub attempt_ledger: AttemptLedgerConfig,
    /// What is known of other sites, and limits of connections.
    pub peers: PeerConfig,
}

/// What is known of other sites, and limits of connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerConfig {
    /// Requests from another site are admitted only while all that was known there so long ago, in milliseconds, is
    /// known here, too: its drains. 0 admits all.
    pub max_state_delay: Ms,
    /// The load that a site has reported longer ago than that, in milliseconds, counts for nothing.
    pub state_lifetime: Ms,
    /// Facts of the own site that are retained.
    pub max_facts: usize,
    /// How long purges are sent to sites that reconnect, in milliseconds.
    pub purge_retention: Ms,
    /// Gateways that are known at a time.
    pub max_gateways: usize,
    /// Connections with one gateway.
    pub max_connections: usize,
    /// Connections that were accepted, of all gateways.
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

/// What a gateway is started with.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySetup {
    /// The name of the own site.
    pub site: String,
    /// The names of the other sites.
    pub other_sites: Vec<String>,
    /// The gateway's name within its site.
    pub node: String,
    /// When its process started, in Unix microseconds: greater with each start.
    pub epoch: u64,
    /// Seed of the jitter between attempts to connect.
    pub seed: u64,
    /// The sites to dial, one entry for each connection.
    pub dial_sites: Vec<String>,
    /// Whether routers of the own site form a cluster, and may connect.
    pub accepts_cluster_peers: bool,
    /// All settings.
    pub config: GatewayConfig,
}
