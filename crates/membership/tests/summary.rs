//! Summaries against a plain count of the same routers: in any order and grouping, published or lost.

use std::collections::{BTreeMap, BTreeSet};

use linnethook_membership::aggregation::location::Location;
use linnethook_membership::aggregation::summary::{Summary, VersionGroup, MAX_GROUPS, MAX_NAMED_STRAGGLERS};
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
    standing: MemberState,
    leaving: bool,
    versions: ActiveVersions,
    straggler: bool,
}

fn routers() -> impl Strategy<Value = Vec<Router>> {
    let standing = prop_oneof![
        6 => Just(MemberState::Alive),
        1 => Just(MemberState::Suspect),
        1 => Just(MemberState::Dead),
        1 => Just(MemberState::Left),
    ];
    let one = (0usize..6, standing, any::<bool>(), 0u64..4, 0u64..3, 0u64..50, any::<bool>());
    proptest::collection::vec(one, 0..60).prop_map(|all| {
        let router = |(n, (site, standing, leaving, version, settings, journal, straggler))| Router {
            name: format!("r{n}"),
            site,
            standing,
            leaving,
            versions: ActiveVersions {
                settings_digest: settings,
                hierarchy: HierarchyVersion { version, digest: version << 40 },
                journal_position: journal,
                drains_applied: journal / 2,
                purges_applied: journal,
                ..ActiveVersions::default()
            },
            straggler,
        };
        all.into_iter().enumerate().map(router).collect()
    })
}

fn sum<'a>(routers: impl Iterator<Item = &'a Router>) -> Summary {
    let mut sum = Summary::default();
    for router in routers {
        sum.add_router(&router.name, router.standing, router.leaving, &router.versions, router.straggler);
    }
    sum
}

/// The count over all routers.
fn plain(routers: &[Router], sum: &Summary) -> Result<(), TestCaseError> {
    let alive = |r: &&Router| r.standing == MemberState::Alive;
    let count = |fits: &dyn Fn(&&Router) -> bool| routers.iter().filter(fits).count() as u64;
    prop_assert_eq!(sum.alive, count(&|r| alive(r) && !r.leaving));
    prop_assert_eq!(sum.leaving, count(&|r| r.standing == MemberState::Left || alive(r) && r.leaving));
    prop_assert_eq!(sum.suspect, count(&|r| r.standing == MemberState::Suspect));
    prop_assert_eq!(sum.dead, count(&|r| r.standing == MemberState::Dead));
    prop_assert_eq!(sum.routers(), routers.len() as u64);
    let journals: BTreeSet<u64> = routers.iter().filter(alive).map(|r| r.versions.journal_position).collect();
    let span = sum.progress.journal_position.map(|span| (span.min, span.max));
    prop_assert_eq!(span, journals.first().copied().zip(journals.last().copied()));
    prop_assert_eq!(
        sum.progress.purges_applied,
        routers.iter().filter(alive).map(|r| r.versions.purges_applied).sum::<u64>()
    );
    prop_assert_eq!(
        sum.progress.drains_applied,
        routers.iter().filter(alive).map(|r| r.versions.drains_applied).sum::<u64>()
    );
    prop_assert_eq!(
        sum.oldest_hierarchy(),
        routers.iter().filter(alive).map(|r| r.versions.hierarchy.version).min()
    );
    prop_assert_eq!(sum.groups.values().sum::<u64>() + sum.other_routers, count(&|r| alive(r)));
    let stragglers: BTreeSet<&String> = routers.iter().filter(|r| r.straggler).map(|r| &r.name).collect();
    prop_assert_eq!(sum.straggler_count, stragglers.len() as u64);
    prop_assert!(sum.stragglers.iter().eq(stragglers.iter().take(MAX_NAMED_STRAGGLERS).copied()));
    Ok(())
}

proptest! {
    /// Summaries merged in any order and any grouping equal the count over all routers.
    #[test]
    fn summaries_merge_in_any_order_to_the_plain_count(routers in routers()) {
        let part = |site: usize| sum(routers.iter().filter(move |r| r.site == site));
        let of = |sites: &[usize]| {
            let mut all = Summary::default();
            sites.iter().for_each(|site| all.merge(&part(*site)));
            all
        };
        let forth = of(&[0, 1, 2, 3, 4, 5]);
        prop_assert_eq!(&forth, &of(&[5, 3, 1, 0, 4, 2]));
        let mut grouped = of(&[4, 5]);
        let mut middle = of(&[2, 3]);
        middle.merge(&of(&[0, 1]));
        grouped.merge(&middle);
        prop_assert_eq!(&forth, &grouped);
        plain(&routers, &forth)?;
    }

    /// Published by part and then merged: bounded in size, and all totals equal the count over all routers.
    #[test]
    fn truncated_summary_keeps_bounds_and_totals(routers in routers()) {
        let mut all = Summary::default();
        for site in 0..6 {
            let published = sum(routers.iter().filter(|r| r.site == site)).truncated();
            prop_assert!(published.is_valid() && published.groups.len() <= MAX_GROUPS);
            prop_assert_eq!(published.clone().truncated(), published.clone());
            all.merge(&published);
        }
        plain(&routers, &all.truncated())?;
    }

    /// Summaries are lost, delayed or duplicated: the newest one of each part counts, once.
    #[test]
    fn location_counts_once_by_its_newest_report(
        messages in proptest::collection::vec((0usize..6, 1u64..9), 0..60),
    ) {
        let me = Location::parse("n/s0").expect("a place");
        let mut tree = SummaryTree::new(AggregationConfig::default(), "r9", me, 0.0);
        let mut newest = BTreeMap::<usize, u64>::new();
        let clock = Timestamp { ms: 10, counter: 0 };
        for (site, order) in messages {
            // The entry table accepts newer ones only.
            let known = newest.entry(site).or_default();
            if order > *known {
                *known = order;
                let summary = Summary { alive: order * 10 + site as u64, ..Summary::default() };
                let published = linnethook_membership::aggregation::summary::SummaryReport { reported_by: format!("r{site}"), summary };
                let place = Location::parse(&format!("n/s{site}")).expect("a place");
                tree.receive(5.0, place, published, Revision::new(order, 0));
            }
        }
        let north = Location::parse("n").expect("a place");
        let counted = tree.summarize(6.0, clock, &north).alive;
        prop_assert_eq!(counted, newest.iter().map(|(site, order)| order * 10 + *site as u64).sum::<u64>());
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
    let other = [
        ActiveVersions { build: "0.1.1".to_string(), ..versions.clone() },
        ActiveVersions { settings_digest: 2, ..versions.clone() },
        ActiveVersions { operator_digest: 3, ..versions.clone() },
        ActiveVersions { hierarchy: HierarchyVersion { version: 1, digest: 0 }, ..versions.clone() },
        ActiveVersions { hierarchy: HierarchyVersion { version: 0, digest: 1 << 40 }, ..versions.clone() },
    ];
    let groups: BTreeSet<VersionGroup> = other
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
    let place = |text: &str| Location::parse(text).expect("a place");
    assert_eq!(place("a/b/c").common_depth(&place("a/b/d")), 2);
    assert_eq!(place("ab/c").common_depth(&place("a/bc")), 0);
    assert!(place("a").contains(&place("a/b")) && !place("a/b").contains(&place("a")));
    assert!(!place("a").contains(&place("ab/c")));
    assert!(place("a/b").is_child_of(&place("a")) && !place("a/b/c").is_child_of(&place("a")));
    assert_eq!(place("a/b/c").ancestor(2), place("a/b"));
    for bad in ["", "/", "a/", "a//b", "a b", "1/2/3/4/5/6/7", &"x".repeat(65)] {
        assert!(Location::parse(bad).is_err(), "{bad}");
    }
}
