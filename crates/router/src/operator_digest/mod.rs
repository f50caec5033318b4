//! A digest of the operator file, by which the routers of a fleet detect whether they run with the same
//! settings.
//!
//! - [`hierarchy`], [`gateway`], [`cluster`]: the sections of the file.
//!
//! Other builds compare the digest with theirs, so its input is a stable format: the names in these files
//! belong to the format, and do not change when a field in the source is renamed. The addresses on which a
//! router listens and to which it connects, and the directory of its audit log, are not included, as they
//! differ from router to router.

mod cluster;
mod gateway;
mod hierarchy;

use std::fmt::{self, Debug};

use linnethook_operator_config::config::{LogSection, ShadowPolicySection};
use linnethook_operator_config::OperatorConfig;
use xxhash_rust::xxh3::xxh3_64;

use cluster::{audit_config, membership_config, straggler_section};
use gateway::{gateway_config, site_config};
use hierarchy::{hierarchy_section, node_spec};

/// The digest of all settings that the routers of a fleet share.
pub fn digest(operator: &OperatorConfig) -> u64 {
    xxh3_64(format!("{:?}", common_settings(operator)).as_bytes())
}

/// A text whose `Debug` output is the text itself, without quotes or escapes.
struct Verbatim(String);

impl Debug for Verbatim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Formats `Name { field: value, ... }`, with the `Debug` output of the values.
fn record(name: &str, fields: &[(&str, &dyn Debug)]) -> Verbatim {
    let fields: Vec<String> = fields.iter().map(|(field, value)| format!("{field}: {value:?}")).collect();
    Verbatim(format!("{name} {{ {} }}", fields.join(", ")))
}

fn common_settings(operator: &OperatorConfig) -> impl Debug {
    let hierarchy = operator.hierarchy.as_ref().map(|hierarchy| {
        let nodes: Vec<Verbatim> = hierarchy.nodes.iter().map(node_spec).collect();
        (hierarchy_section(hierarchy), nodes)
    });
    let gateway = operator.gateway.as_ref().map(|gateway| {
        let cluster = gateway.cluster.as_ref().map(|cluster| {
            let audit = cluster.audit.as_ref().map(|audit| audit_config(&audit.parameters));
            (membership_config(&cluster.parameters), audit, cluster.straggler.as_ref().map(straggler_section))
        });
        let sites: Vec<Verbatim> = gateway.sites.iter().map(site_config).collect();
        (gateway.site.clone(), gateway_config(&gateway.parameters), sites, cluster)
    });
    (
        hierarchy,
        gateway,
        operator.shadow_policy.as_ref().map(shadow_policy_section),
        operator.log.as_ref().map(log_section),
    )
}

fn log_section(log: &LogSection) -> Verbatim {
    record("Log", &[("json", &log.json), ("lines_per_second", &log.lines_per_second)])
}

fn shadow_policy_section(watch: &ShadowPolicySection) -> Verbatim {
    record(
        "WatchPart",
        &[
            ("weight_source", &watch.weight_source),
            ("tells", &watch.tells),
            ("peers_fill", &watch.peers_fill),
            ("merges_fills", &watch.merges_fills),
            ("bypass_allowed", &watch.bypass_allowed),
            ("max_attempts", &watch.max_attempts),
            ("every", &watch.log_interval_seconds),
        ],
    )
}

#[cfg(test)]
#[path = "../../tests/unit/operator_digest.rs"]
mod tests;
