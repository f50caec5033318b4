//! The load that the decision modules of all routers together put on servers that start cold stays within
//! what the servers can take, although each router rounds its share up.
//!
//! These are a few fixed cases of `cargo run --release -p linnethook-model --example cold`.

use linnethook_model::cold::{deployments, ColdServers, Demand, Trial, TrialResult, UpdateDelay};

fn run_trial(
    deployment: usize,
    routers: usize,
    cold_servers: ColdServers,
    demand: Demand,
    update_delay: UpdateDelay,
    seed: u64,
) -> TrialResult {
    let deployments = deployments().expect("the settings of the deployments are valid");
    let deployment = &deployments[deployment];
    Trial {
        deployment,
        routers,
        demand,
        cold_servers,
        update_delay,
        configured_routers: None,
        load: 1.0,
        seed,
    }
    .run()
}

/// Deployments by index. With thirty routers, the share of each is a fifth of one large object.
const LARGE: usize = 4;
const SHORT: usize = 3;

#[test]
fn cold_caches_are_not_overloaded_by_up_to_thirty_routers() {
    for (routers, demand) in
        [(2, Demand::Even), (5, Demand::Burst), (10, Demand::Skewed), (20, Demand::Burst), (30, Demand::Even)]
    {
        let result =
            run_trial(LARGE, routers, ColdServers::Caches, demand, UpdateDelay::Soon, routers as u64);
        println!("{routers} {demand:?}: {result:?}");
        assert!(result.windows > 0, "requests reached the cold servers");
        assert_eq!(
            (result.over_bound, result.caused_by_notified_by_end),
            (0, false),
            "{routers} routers, {demand:?}"
        );
        assert!(result.max_of_budget < 1.0, "{routers} routers, {demand:?}: {}", result.max_of_budget);
    }
}

#[test]
fn cold_parents_are_not_overloaded_by_up_to_thirty_routers() {
    for (deployment, routers, demand) in
        [(LARGE, 5, Demand::Even), (LARGE, 30, Demand::Skewed), (SHORT, 10, Demand::Even)]
    {
        let result =
            run_trial(deployment, routers, ColdServers::Parents, demand, UpdateDelay::Soon, routers as u64);
        println!("{routers} {demand:?}: {result:?}");
        assert!(result.windows > 0, "requests reached the cold servers");
        assert_eq!(
            (result.over_bound, result.caused_by_notified_by_end),
            (0, false),
            "{routers} routers, {demand:?}"
        );
        assert!(result.max_of_budget < 1.0, "{routers} routers, {demand:?}: {}", result.max_of_budget);
    }
}

/// Routers that have not learned of the start may overload a server; those that have learned of it do not
/// cause the overload.
#[test]
fn overload_after_late_updates_is_caused_by_routers_without_the_update() {
    for (routers, seed) in [(2, 1), (10, 2), (20, 3)] {
        let result = run_trial(LARGE, routers, ColdServers::Caches, Demand::Even, UpdateDelay::Late, seed);
        println!("{routers}: {result:?}");
        assert!(result.windows > 0 && !result.caused_by_notified, "{routers} routers");
    }
}

/// Checks that the measurement detects an overload: routers that are each configured as the only one overload
/// the servers, and are identified as the cause.
#[test]
fn routers_configured_as_the_only_one_overload_cold_caches() {
    let deployments = deployments().expect("the settings of the deployments are valid");
    let (demand, cold_servers, update_delay) = (Demand::Burst, ColdServers::Caches, UpdateDelay::Soon);
    let trial = Trial {
        deployment: &deployments[LARGE],
        routers: 20,
        demand,
        cold_servers,
        update_delay,
        configured_routers: Some(1),
        load: 1.0,
        seed: 20,
    };
    let (uninformed, informed) = (trial.run(), Trial { configured_routers: None, ..trial }.run());
    println!("{uninformed:?}");
    assert!(
        uninformed.over_bound > 0 && uninformed.caused_by_notified && uninformed.max_of_bound > 1.2,
        "{uninformed:?}"
    );
    assert!(informed.over_bound == 0 && informed.max_of_bound < 1.0, "{informed:?}");
}

#[test]
fn same_seed_gives_the_same_result() {
    let run_trial = |seed| run_trial(LARGE, 5, ColdServers::Cache, Demand::Skewed, UpdateDelay::Late, seed);
    assert_eq!(run_trial(3), run_trial(3));
    assert_ne!(run_trial(3), run_trial(4));
}
