//! Compares summaries with a direct count of the same routers, merged in any order and grouping, truncated or
//! lost.

use std::collections::{BTreeMap, BTreeSet};

use linnethook_membership::aggregation::location::Location;
use linnethook_membership::aggregation::summary::{
    Summary, SummaryReport, VersionGroup, MAX_GROUPS, MAX_NAMED_STRAGGLERS,
};
use linnethook_membership::aggregation::tree::{AggregationConfig, SummaryTree};
use linnethook_membership::gossip::entry::Revision;
use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::membership::MemberState;
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion};
use proptest::prelude::*;

#[derive(Debug, Clone)]
struct Router {
    name: String,
    site: usize,
    state: MemberState,
    leaving: bool,
    versions: ActiveVersions,
    straggler: bool,
}

fn routers() -> impl Strategy<Value = Vec<Router>> {
    let state = prop_oneof![
        6 => Just(MemberState::Alive),
        1 => Just(MemberState::Suspect),
        1 => Just(MemberState::Dead),
        1 => Just(MemberState::Left),
    ];
    let router = (0usize..6, state, any::<bool>(), 0u64..4, 0u64..3, 0u64..50, any::<bool>());
    proptest::collection::vec(router, 0..60).prop_map(|all| {
        let router =
            |(n, (site, state, leaving, version, settings_digest, journal_position, straggler))| Router {
                name: format!("r{n}"),
                site,
                state,
                leaving,
                versions: ActiveVersions {
                    settings_digest,
                    hierarchy: HierarchyVersion { version, digest: version << 40 },
                    journal_position,
                    drains_applied: journal_position / 2,
                    purges_applied: journal_position,
                    ..ActiveVersions::default()
                },
                straggler,
            };
        all.into_iter().enumerate().map(router).collect()
    })
}

fn summarize<'a>(routers: impl Iterator<Item = &'a Router>) -> Summary {
    let mut summary = Summary::default();
    for router in routers {
        summary.add_router(&router.name, router.state, router.leaving, &router.versions, router.straggler);
    }
    summary
}

/// Checks a summary against the count over all routers.
fn check_against_count(routers: &[Router], summary: &Summary) -> Result<(), TestCaseError> {
    let alive = |r: &&Router| r.state == MemberState::Alive;
    let count = |matches: &dyn Fn(&&Router) -> bool| routers.iter().filter(matches).count() as u64;
    prop_assert_eq!(summary.alive, count(&|r| alive(r) && !r.leaving));
    prop_assert_eq!(summary.leaving, count(&|r| r.state == MemberState::Left || alive(r) && r.leaving));
    prop_assert_eq!(summary.suspect, count(&|r| r.state == MemberState::Suspect));
    prop_assert_eq!(summary.dead, count(&|r| r.state == MemberState::Dead));
    prop_assert_eq!(summary.routers(), routers.len() as u64);
    let positions: BTreeSet<u64> =
        routers.iter().filter(alive).map(|r| r.versions.journal_position).collect();
    let range = summary.progress.journal_position.map(|range| (range.min, range.max));
    prop_assert_eq!(range, positions.first().copied().zip(positions.last().copied()));
    prop_assert_eq!(
        summary.progress.purges_applied,
        routers.iter().filter(alive).map(|r| r.versions.purges_applied).sum::<u64>()
    );
    prop_assert_eq!(
        summary.progress.drains_applied,
        routers.iter().filter(alive).map(|r| r.versions.drains_applied).sum::<u64>()
    );
    prop_assert_eq!(
        summary.oldest_hierarchy(),
        routers.iter().filter(alive).map(|r| r.versions.hierarchy.version).min()
    );
    prop_assert_eq!(summary.groups.values().sum::<u64>() + summary.other_routers, count(&|r| alive(r)));
    let stragglers: BTreeSet<&String> = routers.iter().filter(|r| r.straggler).map(|r| &r.name).collect();
    prop_assert_eq!(summary.straggler_count, stragglers.len() as u64);
    prop_assert!(summary.stragglers.iter().eq(stragglers.iter().take(MAX_NAMED_STRAGGLERS).copied()));
    Ok(())
}

proptest! {
    /// Summaries merged in any order and grouping equal the count over all routers.
    #[test]
    fn summaries_merged_in_any_order_equal_count_of_routers(routers in routers()) {
        let site_summary = |site: usize| summarize(routers.iter().filter(move |r| r.site == site));
        let merged = |sites: &[usize]| {
            let mut all = Summary::default();
            sites.iter().for_each(|site| all.merge(&site_summary(*site)));
            all
        };
        let ascending = merged(&[0, 1, 2, 3, 4, 5]);
        prop_assert_eq!(&ascending, &merged(&[5, 3, 1, 0, 4, 2]));
        let mut grouped = merged(&[4, 5]);
        let mut middle = merged(&[2, 3]);
        middle.merge(&merged(&[0, 1]));
        grouped.merge(&middle);
        prop_assert_eq!(&ascending, &grouped);
        check_against_count(&routers, &ascending)?;
    }

    /// Summaries that are truncated by site and then merged are bounded in size, and their totals equal the
    /// count over all routers.
    #[test]
    fn truncated_summary_keeps_bounds_and_totals(routers in routers()) {
        let mut all = Summary::default();
        for site in 0..6 {
            let published = summarize(routers.iter().filter(|r| r.site == site)).truncated();
            prop_assert!(published.is_valid() && published.groups.len() <= MAX_GROUPS);
            prop_assert_eq!(published.clone().truncated(), published.clone());
            all.merge(&published);
        }
        check_against_count(&routers, &all.truncated())?;
    }

    /// When reports are lost, delayed or duplicated, the newest one of each location counts, once.
    #[test]
    fn location_counts_once_by_its_newest_report(
        messages in proptest::collection::vec((0usize..6, 1u64..9), 0..60),
    ) {
        let own_site = Location::parse("n/s0").expect("a location");
        let mut tree = SummaryTree::new(AggregationConfig::default(), "r9", own_site, 0.0);
        let mut newest = BTreeMap::<usize, u64>::new();
        let clock = Timestamp { ms: 10, counter: 0 };
        for (site, epoch) in messages {
            // The entry table accepts newer entries only.
            let known = newest.entry(site).or_default();
            if epoch > *known {
                *known = epoch;
                let summary = Summary { alive: epoch * 10 + site as u64, ..Summary::default() };
                let report = SummaryReport { reported_by: format!("r{site}"), summary };
                let location = Location::parse(&format!("n/s{site}")).expect("a location");
                tree.receive(5.0, location, report, Revision::new(epoch, 0));
            }
        }
        let north = Location::parse("n").expect("a location");
        let counted = tree.summarize(6.0, clock, &north).alive;
        prop_assert_eq!(counted, newest.iter().map(|(site, epoch)| epoch * 10 + *site as u64).sum::<u64>());
        // All summaries are stale: all routers count as unreachable.
        let later = tree.summarize(6.0 + tree.validity(), clock, &north);
        prop_assert_eq!((later.alive, later.unreachable), (0, counted));
    }
}

#[test]
fn groups_differ_by_every_active_version() {
    let versions = ActiveVersions {
        build: "0.1.0".to_string(),
        settings_digest: 1,
        operator_digest: 2,
        ..ActiveVersions::default()
    };
    let changed = [
        ActiveVersions { build: "0.1.1".to_string(), ..versions.clone() },
        ActiveVersions { settings_digest: 2, ..versions.clone() },
        ActiveVersions { operator_digest: 3, ..versions.clone() },
        ActiveVersions { hierarchy: HierarchyVersion { version: 1, digest: 0 }, ..versions.clone() },
        ActiveVersions { hierarchy: HierarchyVersion { version: 0, digest: 1 << 40 }, ..versions.clone() },
    ];
    let groups: BTreeSet<VersionGroup> = changed
        .iter()
        .map(VersionGroup::from_versions)
        .chain([VersionGroup::from_versions(&versions)])
        .collect();
    assert_eq!(groups.len(), 6);
    assert_eq!(
        VersionGroup::from_versions(&ActiveVersions {
            journal_position: 9,
            purges_applied: 9,
            ..versions.clone()
        }),
        VersionGroup::from_versions(&versions)
    );
}

#[test]
fn locations_are_parsed_and_invalid_ones_rejected() {
    let location = |text: &str| Location::parse(text).expect("a location");
    assert_eq!(location("a/b/c").common_depth(&location("a/b/d")), 2);
    assert_eq!(location("ab/c").common_depth(&location("a/bc")), 0);
    assert!(location("a").contains(&location("a/b")) && !location("a/b").contains(&location("a")));
    assert!(!location("a").contains(&location("ab/c")));
    assert!(location("a/b").is_child_of(&location("a")) && !location("a/b/c").is_child_of(&location("a")));
    assert_eq!(location("a/b/c").ancestor(2), location("a/b"));
    for bad in ["", "/", "a/", "a//b", "a b", "1/2/3/4/5/6/7", &"x".repeat(65)] {
        assert!(Location::parse(bad).is_err(), "{bad}");
    }
}
