//! The lab's small day on sockets, with the router as it is built here: its rules are kept, and the model of the same day
//! says the same of how requests ended.

use std::path::Path;
use std::sync::atomic::AtomicBool;

use linnethook_lab::sockets;
use linnethook_model::demand::DemandConfig;
use linnethook_model::plan::{Fault, Plan};
use linnethook_model::simulation::Simulation;

#[test]
fn a_small_day_ends_alike_on_sockets_and_in_the_model() {
    let plan = Plan {
        locations: 1,
        caches: 4,
        routers: 2,
        cache_copies: 100,
        parent_copies: 400,
        origin_service_time: 10.0,
        origin_concurrency: 100_000,
        local_delay: 1.0,
        hub_delay: 1.0,
        transfer_rate: 5e7,
        cache_link: 1e10,
        location_link: 1e10,
        origin_link: 1e10,
        rate: 100.0,
        seconds: 6.0,
        booking_share: 0.05,
        demand: DemandConfig {
            objects: 1_000,
            median_size: 1_000.0,
            size_sigma: 0.0,
            ..DemandConfig::default()
        },
        faults: vec![(2.0, Fault::Crash(1)), (3.0, Fault::Start(1)), (4.0, Fault::Drain(2))],
        ..Plan::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_linnethook"));
    let (sockets, breaches) = sockets::play(&plan, program, &AtomicBool::new(false)).expect("played");
    assert!(breaches.is_empty(), "{:?}", breaches.first());
    let (model, breaches) = Simulation::run_checked(plan).expect("a plan");
    assert!(breaches.is_empty(), "{:?}", breaches.first());
    let served = |seen: &linnethook_model::statistics::Statistics| {
        let sum = |list: &[u32]| f64::from(list.iter().sum::<u32>());
        (sum(&seen.in_time) + sum(&seen.late)) / sum(&seen.requests)
    };
    println!(
        "served {:.3} and {:.3}, {} and {} to the origin",
        served(&sockets),
        served(&model),
        sockets.origin_fills,
        model.origin_fills
    );
    assert!((served(&sockets) - served(&model)).abs() < 0.05, "{} {}", served(&sockets), served(&model));
    let ratio = sockets.origin_fills as f64 / model.origin_fills as f64;
    assert!((0.7..1.4).contains(&ratio), "{} and {} to the origin", sockets.origin_fills, model.origin_fills);
}
