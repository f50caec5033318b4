//! The load that the decision modules of all routers together put on servers that start cold stays within
//! what the servers can take, although each router rounds its share up.
//!
//! These are a few fixed cases of `cargo run --release -p linnethook-model --example cold`.

use linnethook_model::cold::{shapes, Demand, Heard, Sum, Trial, Who};

fn play(shape: usize, routers: usize, who: Who, demand: Demand, heard: Heard, seed: u64) -> Sum {
    let shapes = shapes().expect("the example's settings");
    let shape = &shapes[shape];
    Trial { shape, routers, demand, who, heard, told_of: None, load: 1.0, seed }.play()
}

/// Deployments by index. With thirty routers, the share of each is a fifth of one large object.
const LARGE: usize = 4;
const SHORT: usize = 3;

#[test]
fn cold_caches_bear_the_sum_of_up_to_thirty_modules() {
    for (routers, demand) in
        [(2, Demand::Even), (5, Demand::Burst), (10, Demand::Skewed), (20, Demand::Burst), (30, Demand::Even)]
    {
        let sum = play(LARGE, routers, Who::Caches, demand, Heard::Soon, routers as u64);
        println!("{routers} {demand:?}: {sum:?}");
        assert!(sum.windows > 0, "they are not left out");
        assert_eq!((sum.over, sum.broken_by_then), (0, false), "{routers} routers, {demand:?}");
        assert!(sum.worst_budget < 1.0, "{routers} routers, {demand:?}: {}", sum.worst_budget);
    }
}

#[test]
fn cold_parents_bear_the_sum_of_up_to_thirty_modules() {
    for (shape, routers, demand) in
        [(LARGE, 5, Demand::Even), (LARGE, 30, Demand::Skewed), (SHORT, 10, Demand::Even)]
    {
        let sum = play(shape, routers, Who::Parents, demand, Heard::Soon, routers as u64);
        println!("{routers} {demand:?}: {sum:?}");
        assert!(sum.windows > 0, "they are not left out");
        assert_eq!((sum.over, sum.broken_by_then), (0, false), "{routers} routers, {demand:?}");
        assert!(sum.worst_budget < 1.0, "{routers} routers, {demand:?}: {}", sum.worst_budget);
    }
}

/// Routers that have not learned of the start may overload a server; those that have learned of it do not
/// cause the overload.
#[test]
fn what_breaks_by_a_late_list_came_from_routers_that_were_not_told() {
    for (routers, seed) in [(2, 1), (10, 2), (20, 3)] {
        let sum = play(LARGE, routers, Who::Caches, Demand::Even, Heard::Late, seed);
        println!("{routers}: {sum:?}");
        assert!(sum.windows > 0 && !sum.broken, "{routers} routers");
    }
}

/// Checks that the measurement detects an overload: routers that are each configured as the only one overload
/// the servers, and are identified as the cause.
#[test]
fn routers_that_know_nothing_of_each_other_push_over_what_twenty_share() {
    let shapes = shapes().expect("the example's settings");
    let (demand, who, heard) = (Demand::Burst, Who::Caches, Heard::Soon);
    let trial = Trial {
        shape: &shapes[LARGE],
        routers: 20,
        demand,
        who,
        heard,
        told_of: Some(1),
        load: 1.0,
        seed: 20,
    };
    let (alone, knowing) = (trial.play(), Trial { told_of: None, ..trial }.play());
    println!("{alone:?}");
    assert!(alone.over > 0 && alone.broken && alone.worst > 1.2, "{alone:?}");
    assert!(knowing.over == 0 && knowing.worst < 1.0, "{knowing:?}");
}

#[test]
fn one_seed_is_one_run() {
    let play = |seed| play(LARGE, 5, Who::Cache, Demand::Skewed, Heard::Late, seed);
    assert_eq!(play(3), play(3));
    assert_ne!(play(3), play(4));
}
