//! The configuration in a valid operator file, with a type for each function of the file.

use std::net::SocketAddr;

use linnethook_audit::audit_log::AuditLogConfig;
use linnethook_gateway::gateway::GatewayConfig as GatewayParameters;
use linnethook_hierarchy::change_spec::NodeSpec;
use linnethook_hierarchy::HierarchyConfig;
use linnethook_membership::aggregation::location::Location;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::straggler::StragglerConfig;
use serde::{Deserialize, Serialize};

use crate::error::ConfigError;
use crate::evaluation::{evaluate, EvaluationLimits, FileKind};
use crate::validation::validate;

/// The configuration in a valid operator file.
#[derive(Debug, Clone, Default)]
pub struct OperatorConfig {
    /// `control()`: the absolute path of the control socket.
    pub control_socket: Option<String>,
    /// `log()`.
    pub log: Option<LogSection>,
    /// `watch()`.
    pub shadow_policy: Option<ShadowPolicySection>,
    /// `hierarchy()` with every `node()`.
    pub hierarchy: Option<HierarchySection>,
    /// `gateway()` with every `site()` and `link()`, and with `fellows()`, `audit()` and `straggler()`.
    pub gateway: Option<GatewaySection>,
}

impl OperatorConfig {
    /// Evaluates and validates the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// The first error of the file, with its position.
    pub fn parse(file: &str, text: &str, limits: &EvaluationLimits) -> Result<Self, ConfigError> {
        let calls = evaluate(FileKind::OperatorConfig, file, text, limits)?;
        validate(file, calls)
    }
}

/// The format and rate limit of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSection {
    /// Whether each line is a JSON object; otherwise it is text.
    pub json: bool,
    /// Maximum rate; lines beyond it are dropped and counted.
    pub lines_per_second: u32,
}

/// Settings of the shadow policy, whose decisions are compared with those that are carried out. The fields
/// have the names of the platform's configuration; `None` keeps the platform's value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShadowPolicySection {
    /// The source of the weights of caches: `off`, `nominal`, `rough` or `live`.
    pub weight_source: Option<String>,
    /// Which answers report whether they were hits: `all`, `hit` or `off`.
    pub tells: Option<String>,
    /// From which siblings a cache may be filled: `off`, `location` or `any`.
    pub peers_fill: Option<String>,
    /// Whether a cache coalesces fills of the same object.
    pub merges_fills: Option<bool>,
    /// Whether requests may bypass the caches.
    pub bypass_allowed: Option<bool>,
    /// Maximum number of attempts of one request.
    pub max_attempts: Option<u32>,
    /// Time between two log lines with the counts.
    pub log_interval_seconds: f64,
}

/// The cache hierarchy.
#[derive(Debug, Clone)]
pub struct HierarchySection {
    /// The author number, which orders changes of this file among those of other authors.
    pub author: u16,
    /// Whether the nodes support fields beyond the platform's protocol, such as the fill path.
    pub extended: bool,
    /// The numeric parameters and flags.
    pub parameters: HierarchyConfig,
    /// The nodes; empty if the file does not define the hierarchy.
    pub nodes: Vec<NodeSpec>,
}

/// A gateway between sites.
#[derive(Debug, Clone)]
pub struct GatewaySection {
    /// The site of this router.
    pub site: String,
    /// The address on which connections of other gateways are accepted; `None` if it only opens connections.
    pub listen: Option<SocketAddr>,
    /// The numeric parameters.
    pub parameters: GatewayParameters,
    /// The other sites.
    pub sites: Vec<SiteConfig>,
    /// The connections that this gateway opens.
    pub links: Vec<LinkConfig>,
    /// Membership among the routers of this site.
    pub cluster: Option<ClusterSection>,
}

/// Another site.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// The name of the site.
    pub name: String,
    /// Classes of requests whose home site it is.
    pub classes: Vec<String>,
}

/// Connections that are held open to one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkConfig {
    /// The site of that gateway.
    pub to: String,
    /// The address of that gateway.
    pub connect: SocketAddr,
    /// The number of connections.
    pub connections: u32,
}

/// Membership among the routers of a site: `fellows()`, `audit()` and `straggler()`.
#[derive(Debug, Clone)]
pub struct ClusterSection {
    /// The numeric parameters.
    pub parameters: MembershipConfig,
    /// The location of this router in the tree of the fleet; `None` in a fleet without locations.
    pub location: Option<Location>,
    /// The audit log.
    pub audit: Option<AuditSection>,
    /// When routers that are behind the others stop serving.
    pub straggler: Option<StragglerSection>,
}

/// The audit log of this router.
#[derive(Debug, Clone, PartialEq)]
pub struct AuditSection {
    /// The absolute path of its directory; `None` stores the log in memory only.
    pub directory: Option<String>,
    /// The numeric parameters.
    pub parameters: AuditLogConfig,
}

/// When a router that is behind the others stops serving, and how it recovers.
#[derive(Debug, Clone, PartialEq)]
pub struct StragglerSection {
    /// The routers whose majority raises the version floor; if empty, only operators raise it.
    pub voters: Vec<String>,
    /// The numeric parameters.
    pub parameters: StragglerConfig,
}
