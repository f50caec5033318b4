//! Text output of the commands that show the fleet. Capitals mark differences from the called router.

use linnethook_membership::actions::Participation;
use linnethook_membership::aggregation::summary::VersionGroup;
use linnethook_membership::straggler::StragglerState;
use linnethook_membership::view::{LocationView, RouterView};

use super::output::counters_text;
use crate::control::{AuditStorageView, DrainedCache, FleetView};

/// The fleet: the called router with its state, the other routers, and summaries of other sites.
pub fn fleet_text(view: &FleetView) -> String {
    let cluster = &view.cluster;
    let mut out = router_line(&cluster.me, &cluster.me);
    out += &participation_text(&cluster.participation);
    out += &straggler_text(view);
    out += &floor_text(view);
    for router in &cluster.others {
        out += &router_line(router, &cluster.me);
    }
    for (name, location) in &cluster.remote_peers {
        out += &format!("{name} of {location}: linked peer\n");
    }
    for location in &cluster.locations {
        out += &location_line(location, &cluster.me);
    }
    if let Some(routers) = view.fleet_size {
        let location = cluster.location.as_deref().unwrap_or_default();
        out += &format!("{routers} routers in the fleet; this one is at {location}\n");
    }
    for DrainedCache { name, journal_position } in &view.drained_by_gossip {
        out += &format!("{name} is drained by journal event {journal_position}, reported by peers\n");
    }
    out += &audit_storage_text(view.audit_storage.as_ref());
    out + &gossip_line(view)
}

fn participation_text(participation: &Participation) -> String {
    match participation {
        Participation::Active => String::new(),
        Participation::Refused(holder) => {
            format!("NOT PARTICIPATING: incarnation {holder} holds the name\n")
        }
        Participation::Yielded(holder) => {
            format!("NOT PARTICIPATING: the process was frozen, and incarnation {holder} holds the name\n")
        }
    }
}

fn straggler_text(view: &FleetView) -> String {
    match view.straggler_state {
        None | Some(StragglerState::UpToDate) => String::new(),
        Some(StragglerState::Lagging(_)) => {
            "LAGGING: below the version floor, with time left to catch up\n".to_string()
        }
        Some(StragglerState::Excluded(reason)) => {
            format!("EXCLUDED ({}): {} actions not executed\n", reason.name(), view.rejected_as_straggler)
        }
        Some(StragglerState::Recovering(_)) => "recovering\n".to_string(),
    }
}

fn floor_text(view: &FleetView) -> String {
    let version = view.cluster.floor;
    if version == 0 {
        return String::new();
    }
    let origin = match view.operator_floor.as_ref().filter(|floor| floor.version == version) {
        Some(floor) => format!("set by an operator at {}", floor.set_by),
        None => "set by the voters".to_string(),
    };
    format!("version floor: no router may act on a hierarchy below {version}, {origin}\n")
}

fn audit_storage_text(storage: Option<&AuditStorageView>) -> String {
    let Some(storage) = storage else { return String::new() };
    format!(
        "audit log: {} records; replicas of {} logs, {} records, {} bytes; {} records not written to disk\n",
        storage.records,
        storage.replica_logs,
        storage.replica_records,
        storage.replica_bytes,
        storage.unsaved_records
    )
}

fn gossip_line(view: &FleetView) -> String {
    format!(
        "{} facts, {} bytes, {} pending; received from peers first: \
         {} drains, {} purges, {} batches, {} snapshots; {}\n",
        view.cluster.entries,
        view.cluster.bytes,
        view.cluster.pending,
        view.drains_from_gossip,
        view.purges_from_gossip,
        view.batches_from_gossip,
        view.snapshots_adopted,
        counters_text(&view.cluster.counters)
    )
}

/// Routers of one location, one line each.
pub fn site_text(location: &str, routers: &[&RouterView], me: &RouterView) -> String {
    let lines: String = routers.iter().map(|router| router_line(router, me)).collect();
    format!("{location}\n{lines}")
}

fn router_line(router: &RouterView, me: &RouterView) -> String {
    let versions = &router.versions;
    let straggler = if router.straggler { ", A STRAGGLER: its messages are ignored" } else { "" };
    let differences = version_differences(router, me);
    let differences = match differences.is_empty() {
        true => String::new(),
        false => format!("; differs: {}", differences.join(", ")),
    };
    format!(
        "{} {}, {} links, build {}, hierarchy {} ({:08x}), \
         journal {}, {} drains, {} purges, incarnation {}{straggler}{differences}\n",
        router.name,
        router.state.name(),
        router.links,
        versions.build,
        versions.hierarchy.version,
        versions.hierarchy.digest >> 32,
        versions.journal_position,
        versions.drains_applied,
        versions.purges_applied,
        router.incarnation
    )
}

fn version_differences(router: &RouterView, me: &RouterView) -> Vec<&'static str> {
    let (versions, own) = (&router.versions, &me.versions);
    let checks = [
        ("BUILD", versions.build == own.build),
        ("SETTINGS", versions.settings_digest == own.settings_digest),
        ("OPERATOR FILE", versions.operator_digest == own.operator_digest),
        ("HIERARCHY", versions.hierarchy == own.hierarchy),
        ("JOURNAL", versions.journal_position == own.journal_position),
    ];
    checks.into_iter().filter(|(_, is_equal)| !is_equal).map(|(part, _)| part).collect()
}

/// The summary of a location's routers.
fn location_line(location: &LocationView, me: &RouterView) -> String {
    let own = VersionGroup::from_versions(&me.versions);
    let equal = location.groups.iter().filter(|(group, _)| *group == own);
    let equal: u64 = equal.map(|(_, routers)| routers).sum();
    let mut out = format!("{}: {} alive, {equal} on the same versions", location.location, location.alive);
    for (routers, state) in [
        (location.suspect, "suspected"),
        (location.dead, "dead"),
        (location.leaving, "leaving or left"),
        (location.unreachable, "UNREACHABLE"),
    ] {
        if routers > 0 {
            out += &format!(", {routers} {state}");
        }
    }
    let differences = group_differences(location, &own);
    if !differences.is_empty() {
        out += &format!("; differs: {}", differences.join("; "));
    }
    out += &stragglers_text(location);
    if let Some((least, most)) = location.journal_range {
        out += &format!(
            "; journal {least} to {most}, {} drains, {} purges",
            location.drains_applied, location.purges_applied
        );
    }
    let stale = if location.fresh { "" } else { ", STALE" };
    let age_seconds = location.age / MS_PER_SECOND;
    out + &format!("; reported by {}, {age_seconds:.0} s ago{stale}\n", location.reported_by)
}

const MS_PER_SECOND: f64 = 1_000.0;

/// The groups of a location's routers that act on other versions, with their sizes.
fn group_differences(location: &LocationView, own: &VersionGroup) -> Vec<String> {
    let others = location.groups.iter().filter(|(group, _)| group != own);
    let mut differences: Vec<String> =
        others.map(|(group, routers)| format!("{routers} in {}", group_difference(group, own))).collect();
    if location.other_routers > 0 {
        differences.push(format!("{} of unlisted groups", location.other_routers));
    }
    differences
}

fn group_difference(group: &VersionGroup, own: &VersionGroup) -> String {
    let mut parts = Vec::new();
    if group.build_digest != own.build_digest {
        parts.push("BUILD, SETTINGS OR OPERATOR FILE".to_string());
    }
    let hierarchy = (group.hierarchy_version, group.hierarchy_digest);
    if hierarchy != (own.hierarchy_version, own.hierarchy_digest) {
        parts.push(format!("HIERARCHY {} ({:08x})", group.hierarchy_version, group.hierarchy_digest));
    }
    parts.join(", ")
}

fn stragglers_text(location: &LocationView) -> String {
    if location.straggler_count == 0 {
        return String::new();
    }
    let unnamed = location.straggler_count.saturating_sub(location.stragglers.len() as u64);
    let unnamed = if unnamed > 0 { format!(" and {unnamed} more") } else { String::new() };
    format!("; STRAGGLERS: {}{unnamed}", location.stragglers.join(", "))
}
