//! Consistency checks between the calls of an operator file.

use linnethook_hierarchy::change_spec::{self, NodeSpec};

use crate::config::{
    AuditSection, ClusterSection, GatewaySection, HierarchySection, LinkConfig, OperatorConfig, SiteConfig,
    StragglerSection,
};
use crate::error::{ConfigError, Position};
use crate::functions::{ClusterCall, CollectedCalls, GatewayCall, HierarchyCall, Located};
use crate::parameters::MILLISECONDS_PER_SECOND;

/// What is invalid, and the position of the call.
struct Invalid {
    position: Position,
    message: String,
}

fn invalid(position: Position, message: impl Into<String>) -> Invalid {
    Invalid { position, message: message.into() }
}

/// The error for a call that requires a call of another function.
fn requires(position: Position, function: &str, required: &str) -> Invalid {
    invalid(position, format!("{function}: expected {required} in the same file"))
}

/// Checks the calls of a file and returns the configuration that they define together.
pub(crate) fn validate(file: &str, calls: CollectedCalls) -> Result<OperatorConfig, ConfigError> {
    assemble(calls).map_err(|Invalid { position, message }| ConfigError::at(file, position, message))
}

fn assemble(calls: CollectedCalls) -> Result<OperatorConfig, Invalid> {
    let hierarchy = hierarchy(calls.hierarchy, calls.nodes)?;
    let cluster = cluster(calls.cluster, calls.audit, calls.straggler)?;
    let gateway = gateway(calls.gateway, calls.sites, calls.links, cluster)?;
    Ok(OperatorConfig {
        control_socket: calls.control.map(|control| control.value),
        log: calls.log.map(|log| log.value),
        shadow_policy: calls.watch.map(|watch| watch.value),
        hierarchy,
        gateway,
    })
}

fn hierarchy(
    call: Option<Located<HierarchyCall>>,
    nodes: Vec<Located<NodeSpec>>,
) -> Result<Option<HierarchySection>, Invalid> {
    let Some(Located { position, value: call }) = call else {
        return match nodes.first() {
            Some(node) => Err(requires(node.position, "node()", "a hierarchy()")),
            None => Ok(None),
        };
    };
    let max_nodes = call.parameters.batch_limits.max_nodes;
    if nodes.len() > max_nodes {
        let message = format!("hierarchy(): expected at most {max_nodes} nodes, got {}", nodes.len());
        return Err(invalid(position, message));
    }
    let positions: Vec<Position> = nodes.iter().map(|node| node.position).collect();
    let nodes: Vec<NodeSpec> = nodes.into_iter().map(|node| node.value).collect();
    // Without nodes, the file does not define the hierarchy.
    if !nodes.is_empty() {
        change_spec::validate(&nodes).map_err(|error| {
            let index = error.node().and_then(|name| nodes.iter().rposition(|node| node.name == name));
            invalid(index.map_or(position, |index| positions[index]), error.to_string())
        })?;
    }
    let HierarchyCall { author, extended, parameters } = call;
    Ok(Some(HierarchySection { author, extended, parameters, nodes }))
}

fn cluster(
    call: Option<Located<ClusterCall>>,
    audit: Option<Located<AuditSection>>,
    straggler: Option<Located<StragglerSection>>,
) -> Result<Option<Located<ClusterSection>>, Invalid> {
    let Some(Located { position, value: ClusterCall { parameters, location } }) = call else {
        return match (audit, straggler) {
            (Some(audit), _) => Err(requires(audit.position, "audit()", "fellows()")),
            (None, Some(straggler)) => Err(requires(straggler.position, "straggler()", "fellows()")),
            (None, None) => Ok(None),
        };
    };
    let audit = audit.map(|audit| audit.value);
    let straggler = straggler.map(|straggler| straggler.value);
    Ok(Some(Located { position, value: ClusterSection { parameters, location, audit, straggler } }))
}

fn gateway(
    call: Option<Located<GatewayCall>>,
    sites: Vec<Located<SiteConfig>>,
    links: Vec<Located<LinkConfig>>,
    cluster: Option<Located<ClusterSection>>,
) -> Result<Option<GatewaySection>, Invalid> {
    let Some(Located { position, value: call }) = call else {
        return match call_without_gateway(&sites, &links, cluster.as_ref()) {
            Some((position, function)) => Err(requires(position, function, "a gateway()")),
            None => Ok(None),
        };
    };
    if sites.is_empty() && cluster.is_none() {
        return Err(invalid(position, "gateway(): expected at least one other site(), or fellows()"));
    }
    check_sites(&call.site, &sites)?;
    check_links(&call.site, &sites, &links, cluster.is_some())?;
    if call.listen.is_none() && links.is_empty() {
        return Err(invalid(position, "gateway(): expected listen, or at least one link()"));
    }
    let heartbeat = &call.parameters.session.heartbeat;
    if heartbeat.min_silence > heartbeat.max_silence {
        let min_seconds = heartbeat.min_silence / MILLISECONDS_PER_SECOND;
        let max_seconds = heartbeat.max_silence / MILLISECONDS_PER_SECOND;
        let message = format!(
            "gateway(): silent_least: expected at most silent_most, {max_seconds} seconds, got {min_seconds}"
        );
        return Err(invalid(position, message));
    }
    let GatewayCall { site, listen, parameters } = call;
    Ok(Some(GatewaySection {
        site,
        listen,
        parameters,
        sites: sites.into_iter().map(|site| site.value).collect(),
        links: links.into_iter().map(|link| link.value).collect(),
        cluster: cluster.map(|cluster| cluster.value),
    }))
}

/// The first call that requires a gateway.
fn call_without_gateway(
    sites: &[Located<SiteConfig>],
    links: &[Located<LinkConfig>],
    cluster: Option<&Located<ClusterSection>>,
) -> Option<(Position, &'static str)> {
    let site = sites.first().map(|site| (site.position, "site()"));
    let link = links.first().map(|link| (link.position, "link()"));
    let cluster = cluster.map(|cluster| (cluster.position, "fellows()"));
    site.or(link).or(cluster)
}

/// Checks that the names of sites, including the own site, are unique, and that a class has one home site.
fn check_sites(own_site: &str, sites: &[Located<SiteConfig>]) -> Result<(), Invalid> {
    let mut names = vec![own_site];
    let mut classes: Vec<&str> = Vec::new();
    for Located { position, value: site } in sites {
        let name = site.name.as_str();
        if names.contains(&name) {
            return Err(invalid(
                *position,
                format!("site(): name: expected a new name, {name:?} is already a site"),
            ));
        }
        names.push(name);
        for class in &site.classes {
            if classes.contains(&class.as_str()) {
                let message = format!("site(): classes: {class:?} already has another home site");
                return Err(invalid(*position, message));
            }
            classes.push(class);
        }
    }
    Ok(())
}

/// Checks that each link leads to a known site, and to the own site only if its routers form a cluster.
fn check_links(
    own_site: &str,
    sites: &[Located<SiteConfig>],
    links: &[Located<LinkConfig>],
    has_cluster: bool,
) -> Result<(), Invalid> {
    let is_known = |to: &str| to == own_site || sites.iter().any(|site| site.value.name == to);
    if let Some(link) = links.iter().find(|link| !is_known(&link.value.to)) {
        return Err(invalid(
            link.position,
            format!("link(): to: expected a known site, got {:?}", link.value.to),
        ));
    }
    if let Some(link) = links.iter().find(|link| link.value.to == own_site && !has_cluster) {
        return Err(invalid(
            link.position,
            "link(): a link to the own site requires fellows() in the same file",
        ));
    }
    Ok(())
}
