//! The functions that a file may call, and the values that their calls collect.

mod changes;
mod cluster;
mod gateway;
mod general;
mod hierarchy;

use linnethook_gateway::gateway::GatewayConfig as GatewayParameters;
use linnethook_hierarchy::change_spec::{ChangeSpec, NodeSpec};
use linnethook_hierarchy::HierarchyConfig;
use linnethook_membership::aggregation::location::Location;
use linnethook_membership::config::MembershipConfig;
use starlark::environment::{Globals, GlobalsBuilder};
use std::net::SocketAddr;

use crate::config::{
    AuditSection, LinkConfig, LogSection, ShadowPolicySection, SiteConfig, StragglerSection,
};
use crate::error::Position;
use crate::evaluation::FileKind;

/// A value with the position of the call that set it.
#[derive(Debug)]
pub(crate) struct Located<T> {
    pub(crate) position: Position,
    pub(crate) value: T,
}

/// The values that the calls of a file set, each checked separately.
#[derive(Debug, Default)]
pub(crate) struct CollectedCalls {
    pub(crate) control: Option<Located<String>>,
    pub(crate) log: Option<Located<LogSection>>,
    pub(crate) watch: Option<Located<ShadowPolicySection>>,
    pub(crate) hierarchy: Option<Located<HierarchyCall>>,
    pub(crate) nodes: Vec<Located<NodeSpec>>,
    pub(crate) gateway: Option<Located<GatewayCall>>,
    pub(crate) sites: Vec<Located<SiteConfig>>,
    pub(crate) links: Vec<Located<LinkConfig>>,
    pub(crate) cluster: Option<Located<ClusterCall>>,
    pub(crate) audit: Option<Located<AuditSection>>,
    pub(crate) straggler: Option<Located<StragglerSection>>,
    pub(crate) changes: Vec<ChangeSpec>,
}

#[derive(Debug)]
pub(crate) struct HierarchyCall {
    pub(crate) author: u16,
    pub(crate) extended: bool,
    pub(crate) parameters: HierarchyConfig,
}

#[derive(Debug)]
pub(crate) struct GatewayCall {
    pub(crate) site: String,
    pub(crate) listen: Option<SocketAddr>,
    pub(crate) parameters: GatewayParameters,
}

#[derive(Debug)]
pub(crate) struct ClusterCall {
    pub(crate) parameters: MembershipConfig,
    pub(crate) location: Option<Location>,
}

/// Stores the value of a function that may be called only once.
fn set_once<T>(
    slot: &mut Option<Located<T>>,
    position: Position,
    function: &str,
    value: T,
) -> anyhow::Result<()> {
    if let Some(Located { position: Position { line, .. }, .. }) = slot {
        return Err(anyhow::anyhow!("{function}: expected one call, already called in line {line}"));
    }
    *slot = Some(Located { position, value });
    Ok(())
}

/// The functions of a kind of file.
pub(crate) fn globals(kind: FileKind) -> Globals {
    let builder = GlobalsBuilder::standard();
    match kind {
        FileKind::OperatorConfig => builder
            .with(general::functions)
            .with(hierarchy::functions)
            .with(gateway::functions)
            .with(cluster::functions)
            .build(),
        FileKind::Changes => builder.with(changes::functions).build(),
    }
}
