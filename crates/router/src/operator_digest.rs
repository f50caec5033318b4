//! A digest of the operator file, by which routers of a fleet tell whether they run with the same settings.
//!
//! Other builds compare it with theirs, so its input is a format: the names written here are those of the format
//! and stay as they are when a field of the program is renamed. Where a router listens and connects, and the
//! folder of its audit log, are left out: they differ from router to router.

use std::fmt::{self, Debug};

use linnethook_audit::account::Rules as AuditRules;
use linnethook_fellows::fellows::Rules as FellowRules;
use linnethook_fellows::straggler::StragglerRule;
use linnethook_gateway::gateway::Rules as GatewayRules;
use linnethook_gateway::pulse::PulseRule;
use linnethook_hierarchy::budget::BudgetRule;
use linnethook_hierarchy::named::{NodeSpec, SourceSpec};
use linnethook_hierarchy::shape::Role;
use linnethook_hierarchy::shield::ShieldRule;
use linnethook_hierarchy::stages::StageRule;
use linnethook_hierarchy::Rules as HierarchyRules;
use linnethook_operator_config::config::{
    HierarchyConfig, LogConfig, ShadowPolicyConfig, SiteConfig, StragglerConfig,
};
use linnethook_operator_config::OperatorConfig;
use xxhash_rust::xxh3::xxh3_64;

/// The digest of all settings that routers of a fleet have in common.
pub fn digest(operator: &OperatorConfig) -> u64 {
    xxh3_64(format!("{:?}", common_settings(operator)).as_bytes())
}

/// A value that is written as it stands.
struct Verbatim(String);

impl Debug for Verbatim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// `Name { field: value, ... }`.
fn record(name: &str, fields: &[(&str, &dyn Debug)]) -> Verbatim {
    let fields: Vec<String> = fields.iter().map(|(field, value)| format!("{field}: {value:?}")).collect();
    Verbatim(format!("{name} {{ {} }}", fields.join(", ")))
}

fn common_settings(operator: &OperatorConfig) -> impl Debug {
    let hierarchy = operator.hierarchy.as_ref().map(|hierarchy| {
        let nodes: Vec<Verbatim> = hierarchy.nodes.iter().map(node).collect();
        (hierarchy_part(hierarchy), nodes)
    });
    let gateway = operator.gateway.as_ref().map(|gateway| {
        let fellows = gateway.cluster.as_ref().map(|fellows| {
            let audit = fellows.audit.as_ref().map(|audit| audit_rules(&audit.parameters));
            (fellow_rules(&fellows.parameters), audit, fellows.straggler.as_ref().map(straggler_part))
        });
        let sites: Vec<Verbatim> = gateway.sites.iter().map(site).collect();
        (gateway.site.clone(), gateway_rules(&gateway.parameters), sites, fellows)
    });
    (hierarchy, gateway, operator.shadow_policy.as_ref().map(watch), operator.log.as_ref().map(log))
}

fn log(log: &LogConfig) -> Verbatim {
    record("Log", &[("json", &log.json), ("lines_per_second", &log.lines_per_second)])
}

fn watch(watch: &ShadowPolicyConfig) -> Verbatim {
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

fn node(node: &NodeSpec) -> Verbatim {
    let role = match node.role {
        Role::Cache => "Cache",
        Role::Parent => "Parent",
        Role::Origin => "Origin",
    };
    let sources: Vec<Verbatim> = node.sources.iter().map(source).collect();
    record(
        "NodeSpec",
        &[
            ("name", &node.name),
            ("role", &Verbatim(role.to_string())),
            ("site", &node.site),
            ("tier", &node.tier),
            ("capacity", &node.capacity),
            ("retiring", &node.retiring),
            ("sources", &sources),
        ],
    )
}

fn source(source: &SourceSpec) -> Verbatim {
    record("SourceSpec", &[("name", &source.name), ("rank", &source.rank)])
}

fn site(site: &SiteConfig) -> Verbatim {
    record("SiteSpec", &[("name", &site.name), ("classes", &site.classes)])
}

fn hierarchy_part(part: &HierarchyConfig) -> Verbatim {
    record(
        "HierarchyPart",
        &[
            ("author", &part.author),
            ("extended", &part.extended),
            ("rules", &hierarchy_rules(&part.parameters)),
        ],
    )
}

fn hierarchy_rules(rules: &HierarchyRules) -> Verbatim {
    let bounds = &rules.bounds;
    let bounds = record(
        "Bounds",
        &[
            ("changes", &bounds.changes),
            ("sources", &bounds.sources),
            ("nodes", &bounds.nodes),
            ("authors", &bounds.authors),
        ],
    );
    let kept = record("Kept", &[("batches", &rules.kept.batches), ("waiting", &rules.kept.waiting)]);
    let hold = &rules.hold;
    let hold = record(
        "HoldRule",
        &[("first", &hold.first), ("longer", &hold.longer), ("longest", &hold.longest), ("most", &hold.most)],
    );
    record(
        "Rules",
        &[
            ("bounds", &bounds),
            ("kept", &kept),
            ("hold", &hold),
            ("stages", &stage_rule(&rules.stages)),
            ("shield", &shield_rule(&rules.shield)),
            ("staged", &rules.staged),
            ("shielded", &rules.shielded),
            ("retire", &rules.retire),
            ("keys", &rules.keys),
            ("horizon", &rules.horizon),
            ("likely_seen", &rules.likely_seen),
            ("weight", &rules.weight),
            ("children", &rules.children),
            ("grain", &rules.grain),
            ("short", &rules.short),
        ],
    )
}

fn stage_rule(rule: &StageRule) -> Verbatim {
    let cold = &rule.cold;
    let cold = record(
        "ColdStart",
        &[
            ("from", &cold.initial_ratio),
            ("warm_in", &cold.duration),
            ("fall_multiple", &cold.overload_multiple),
            ("window", &cold.overload_window),
        ],
    );
    record(
        "StageRule",
        &[
            ("announce", &rule.announce),
            ("warm", &rule.warm),
            ("first", &rule.first),
            ("settle", &rule.settle),
            ("cold", &cold),
            ("cold_part", &rule.cold_part),
            ("weight", &rule.weight),
            ("seen", &rule.seen),
            ("harm", &rule.harm),
            ("worse", &rule.worse),
            ("rest", &rule.rest),
            ("longer", &rule.longer),
            ("tries", &rule.tries),
            ("held", &rule.held),
        ],
    )
}

fn shield_rule(rule: &ShieldRule) -> Verbatim {
    record(
        "ShieldRule",
        &[
            ("budget", &budget_rule(&rule.budget)),
            ("lease", &rule.lease),
            ("leases", &rule.leases),
            ("waiting", &rule.waiting),
            ("waiting_bytes", &rule.waiting_bytes),
            ("wait", &rule.wait),
            ("come_back", &rule.come_back),
            ("targets", &rule.targets),
        ],
    )
}

fn budget_rule(rule: &BudgetRule) -> Verbatim {
    record(
        "BudgetRule",
        &[
            ("span", &rule.span),
            ("weight", &rule.weight),
            ("bear", &rule.bear),
            ("cut", &rule.cut),
            ("gap", &rule.gap),
            ("grow", &rule.grow),
            ("open", &rule.open),
            ("headroom", &rule.headroom),
            ("burst", &rule.burst),
            ("least", &rule.least),
            ("learn", &rule.learn),
        ],
    )
}

fn gateway_rules(rules: &GatewayRules) -> Verbatim {
    record(
        "Rules",
        &[
            ("session", &session_rule(rules)),
            ("retry", &retry_rule(rules)),
            ("routes", &route_rule(rules)),
            ("window", &window_rule(rules)),
            ("home", &home_rule(rules)),
            ("across", &across_rule(rules)),
            ("horizon", &horizon(rules)),
            ("peers", &peer_rule(rules)),
        ],
    )
}

fn session_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.session;
    let streams = &rule.streams;
    let streams = record(
        "Bounds",
        &[
            ("streams", &streams.streams),
            ("stream_window", &streams.stream_window),
            ("link_window", &streams.link_window),
            ("turn", &streams.turn),
            ("patience", &streams.patience),
        ],
    );
    record(
        "SessionRule",
        &[
            ("streams", &streams),
            ("pulse", &pulse_rule(&rule.pulse)),
            ("frame", &rule.frame),
            ("crowded", &rule.crowded),
            ("backlog", &rule.backlog),
            ("greeting", &rule.greeting),
            ("called_off", &rule.called_off),
        ],
    )
}

fn pulse_rule(rule: &PulseRule) -> Verbatim {
    record(
        "PulseRule",
        &[
            ("every", &rule.every),
            ("gaps", &rule.gaps),
            ("least_spread", &rule.least_spread),
            ("phi", &rule.phi),
            ("least", &rule.least),
            ("most", &rule.most),
            ("slow", &rule.slow),
            ("flaps", &rule.flaps),
            ("flap_span", &rule.flap_span),
        ],
    )
}

fn retry_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.retry;
    record(
        "RetryRule",
        &[("first", &rule.first), ("longer", &rule.longer), ("longest", &rule.longest), ("well", &rule.well)],
    )
}

fn route_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.routes;
    record(
        "RouteRule",
        &[
            ("first", &rule.first),
            ("rise", &rule.rise),
            ("rise_writes", &rule.rise_writes),
            ("half", &rule.half),
            ("flapping", &rule.flapping),
            ("full", &rule.full),
            ("room", &rule.room),
            ("bad", &rule.bad),
            ("good", &rule.good),
            ("weight", &rule.weight),
            ("seen", &rule.seen),
            ("repeats", &rule.repeats),
            ("saved", &rule.saved),
            ("hops", &rule.hops),
        ],
    )
}

fn window_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.window;
    record(
        "WindowRule",
        &[
            ("first", &rule.first),
            ("least", &rule.least),
            ("most", &rule.most),
            ("bear", &rule.bear),
            ("weight", &rule.weight),
            ("cut", &rule.cut),
            ("pause", &rule.pause),
            ("shares", &rule.shares),
            ("bytes", &rule.bytes),
        ],
    )
}

fn home_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.home;
    record(
        "HomeRule",
        &[
            ("bad", &rule.bad),
            ("weight", &rule.weight),
            ("seen", &rule.seen),
            ("good", &rule.good),
            ("every", &rule.every),
            ("span", &rule.span),
        ],
    )
}

fn across_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.across;
    record(
        "AcrossRule",
        &[
            ("attempts", &rule.attempts),
            ("guests", &rule.guests),
            ("least", &rule.least),
            ("tries", &rule.tries),
            ("wait", &rule.wait),
            ("waiting", &rule.waiting),
            ("bytes", &rule.bytes),
            ("resumed", &rule.resumed),
            ("resumes", &rule.resumes),
            ("asks", &rule.asks),
            ("answer", &rule.answer),
            ("writing", &rule.writing),
            ("come_back", &rule.come_back),
        ],
    )
}

fn horizon(rules: &GatewayRules) -> Verbatim {
    let horizon = &rules.horizon;
    record("Horizon", &[("span", &horizon.span), ("tokens", &horizon.tokens), ("bytes", &horizon.bytes)])
}

fn peer_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.peers;
    record(
        "PeerRule",
        &[
            ("fresh", &rule.fresh),
            ("bound", &rule.bound),
            ("facts", &rule.facts),
            ("purges", &rule.purges),
            ("gateways", &rule.gateways),
            ("connections", &rule.connections),
            ("accepted", &rule.accepted),
        ],
    )
}

fn fellow_rules(rules: &FellowRules) -> Verbatim {
    let (members, fetch, kept, tree) = (&rules.members, &rules.fetch, &rules.kept, &rules.tree);
    let members = record(
        "MemberRule",
        &[("suspect", &members.suspect), ("gone", &members.gone), ("forget", &members.forget)],
    );
    let fetch = record(
        "FetchRule",
        &[("behind", &fetch.behind), ("quiet", &fetch.quiet), ("most", &fetch.most), ("piece", &fetch.piece)],
    );
    let pace = record("PaceRule", &[("rate", &rules.pace.rate), ("saved", &rules.pace.saved)]);
    let kept = record(
        "Kept",
        &[
            ("facts", &kept.facts),
            ("longest", &kept.longest),
            ("bytes", &kept.bytes),
            ("unknown", &kept.unknown),
        ],
    );
    let tree = record(
        "TreeRule",
        &[
            ("progress", &tree.progress),
            ("gather", &tree.gather),
            ("renew", &tree.renew),
            ("moves", &tree.moves),
        ],
    );
    let plumtree = &rules.plumtree;
    let plumtree = record(
        "PlumtreeRule",
        &[("prunes", &plumtree.prunes), ("announce", &plumtree.announce), ("graft", &plumtree.graft)],
    );
    record(
        "Rules",
        &[
            ("members", &members),
            ("fetch", &fetch),
            ("pace", &pace),
            ("kept", &kept),
            ("every", &rules.every),
            ("bundle", &rules.bundle),
            ("compare", &rules.compare),
            ("purges", &rules.purges),
            ("batches", &rules.batches),
            ("frozen", &rules.frozen),
            ("yields", &rules.yields),
            ("speaks", &rules.speaks),
            ("tree", &tree),
            ("plumtree", &plumtree),
        ],
    )
}

fn audit_rules(rules: &AuditRules) -> Verbatim {
    record(
        "Rules",
        &[
            ("span", &rules.span),
            ("kinds", &rules.kinds),
            ("bookings", &rules.bookings),
            ("bytes", &rules.bytes),
            ("copy_bytes", &rules.copy_bytes),
            ("copies", &rules.copies),
        ],
    )
}

fn straggler_part(part: &StragglerConfig) -> Verbatim {
    record("StragglerPart", &[("voters", &part.voters), ("rule", &straggler_rule(&part.parameters))])
}

fn straggler_rule(rule: &StragglerRule) -> Verbatim {
    record(
        "StragglerRule",
        &[
            ("bound", &rule.bound),
            ("alone", &rule.alone),
            ("back", &rule.back),
            ("come_back", &rule.come_back),
        ],
    )
}

#[cfg(test)]
#[path = "../tests/unit/operator_digest.rs"]
mod tests;
