//! The types that a valid operator file becomes. Each function of the file fills one of them.

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

/// A valid operator file.
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
    /// `gateway()` with every `site()` and `link()`, and `fellows()` with what depends on it.
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

/// How the log is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSection {
    /// One JSON object a line in place of text.
    pub json: bool,
    /// Lines beyond this rate are dropped and counted.
    pub lines_per_second: u32,
}

/// Settings of the platform whose decisions are counted beside those that take effect. The fields are named as in the
/// platform's configuration; `None` leaves a setting as the platform has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShadowPolicySection {
    /// Where weights of caches come from: `off`, `nominal`, `rough` or `live`.
    pub weight_source: Option<String>,
    /// Which answers say whether they were hits: `all`, `hit` or `off`.
    pub tells: Option<String>,
    /// Which siblings a cache may be filled from: `off`, `location` or `any`.
    pub peers_fill: Option<String>,
    /// Whether a cache merges fills of the same object.
    pub merges_fills: Option<bool>,
    /// Whether clients may be served past the caches.
    pub bypass_allowed: Option<bool>,
    /// Attempts for one request.
    pub max_attempts: Option<u32>,
    /// Seconds between two log lines with the counts.
    pub log_interval_seconds: f64,
}

/// The cache hierarchy as the file gives it.
#[derive(Debug, Clone)]
pub struct HierarchySection {
    /// The number under which changes of the file are ordered among those of other authors.
    pub author: u16,
    /// Whether nodes beyond those of the platform's list may be used.
    pub extended: bool,
    /// What the numeric parameters and switches set.
    pub parameters: HierarchyConfig,
    /// The nodes; none if the hierarchy comes from elsewhere.
    pub nodes: Vec<NodeSpec>,
}

/// A gateway between sites.
#[derive(Debug, Clone)]
pub struct GatewaySection {
    /// The router's own site.
    pub site: String,
    /// Where other gateways connect; `None` if this one only connects to them.
    pub listen: Option<SocketAddr>,
    /// What the numeric parameters set.
    pub parameters: GatewayParameters,
    /// The other sites.
    pub sites: Vec<SiteConfig>,
    /// The connections that this gateway opens.
    pub links: Vec<LinkConfig>,
    /// Membership among the routers of the own site.
    pub cluster: Option<ClusterSection>,
}

/// Another site.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// The name of the site.
    pub name: String,
    /// Classes of requests whose home is that site.
    pub classes: Vec<String>,
}

/// Connections that are kept open to one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkConfig {
    /// The site of that gateway.
    pub to: String,
    /// Its address.
    pub connect: SocketAddr,
    /// How many connections.
    pub connections: u32,
}

/// Membership among the routers of a site: `fellows()`, `audit()` and `straggler()`.
#[derive(Debug, Clone)]
pub struct ClusterSection {
    /// What the numeric parameters set.
    pub parameters: MembershipConfig,
    /// The router's place in the tree of the fleet; `None` in a fleet without places.
    pub place: Option<Location>,
    /// The audit log.
    pub audit: Option<AuditSection>,
    /// What happens to routers that are behind the others.
    pub straggler: Option<StragglerSection>,
}

/// The audit log of what a router does.
#[derive(Debug, Clone, PartialEq)]
pub struct AuditSection {
    /// The absolute path of its directory; `None` keeps it in memory only.
    pub directory: Option<String>,
    /// What the numeric parameters set.
    pub parameters: AuditLogConfig,
}

/// When a router that is behind the others stops serving.
#[derive(Debug, Clone, PartialEq)]
pub struct StragglerSection {
    /// The routers whose majority settles a version; if empty, only operators set the version that is required.
    pub voters: Vec<String>,
    /// What the numeric parameters set.
    pub parameters: StragglerConfig,
}
