//! The lab's small day on sockets, with the built router: no rule is broken, and requests end as in the model
//! of the same plan.

use std::path::Path;
use std::sync::atomic::AtomicBool;

use linnethook_lab::sockets;
use linnethook_model::demand::DemandRule;
use linnethook_model::plan::{Fault, Plan};
use linnethook_model::world::World;

#[test]
fn a_small_day_has_the_same_results_on_sockets_and_in_the_model() {
    let plan = Plan {
        locations: 1,
        caches: 4,
        routers: 2,
        cache_copies: 100,
        parent_copies: 400,
        origin_takes: 10.0,
        origin_easy: 100_000,
        near: 1.0,
        far: 1.0,
        flow: 5e7,
        cache_link: 1e10,
        location_link: 1e10,
        origin_link: 1e10,
        rate: 100.0,
        seconds: 6.0,
        bookings: 0.05,
        demand: DemandRule { objects: 1_000, size: 1_000.0, spread: 0.0, ..DemandRule::default() },
        faults: vec![(2.0, Fault::Die(1)), (3.0, Fault::Start(1)), (4.0, Fault::Drain(2))],
        ..Plan::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_linnethook"));
    let (sockets, breaches) =
        sockets::play(&plan, program, &AtomicBool::new(false)).expect("the day runs on sockets");
    assert!(breaches.is_empty(), "{:?}", breaches.first());
    let (model, breaches) = World::judged(plan).expect("the day runs in the model");
    assert!(breaches.is_empty(), "{:?}", breaches.first());
    let served_share = |seen: &linnethook_model::seen::Seen| {
        let sum = |list: &[u32]| f64::from(list.iter().sum::<u32>());
        (sum(&seen.in_time) + sum(&seen.late)) / sum(&seen.asked)
    };
    println!(
        "served {:.3} on sockets and {:.3} in the model, {} and {} fills from the origin",
        served_share(&sockets),
        served_share(&model),
        sockets.fills,
        model.fills
    );
    assert!(
        (served_share(&sockets) - served_share(&model)).abs() < 0.05,
        "{} {}",
        served_share(&sockets),
        served_share(&model)
    );
    let ratio = sockets.fills as f64 / model.fills as f64;
    assert!((0.7..1.4).contains(&ratio), "{} and {} fills from the origin", sockets.fills, model.fills);
}
