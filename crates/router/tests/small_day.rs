//! The lab's small day on sockets, with the built router: no rule is broken, and requests end as in the model
//! of the same plan.

use std::path::Path;
use std::sync::atomic::AtomicBool;

use linnethook_lab::sockets;
use linnethook_model::demand::DemandConfig;
use linnethook_model::plan::{Fault, Plan};
use linnethook_model::simulation::Simulation;

#[test]
fn a_small_day_has_the_same_results_on_sockets_and_in_the_model() {
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
    let (sockets, breaches) =
        sockets::play(&plan, program, &AtomicBool::new(false)).expect("the day runs on sockets");
    assert!(breaches.is_empty(), "{:?}", breaches.first());
    let (model, breaches) = Simulation::run_checked(plan).expect("the day runs in the model");
    assert!(breaches.is_empty(), "{:?}", breaches.first());
    let served_share = |statistics: &linnethook_model::statistics::Statistics| {
        let sum = |list: &[u32]| f64::from(list.iter().sum::<u32>());
        (sum(&statistics.in_time) + sum(&statistics.late)) / sum(&statistics.requests)
    };
    println!(
        "served {:.3} on sockets and {:.3} in the model, {} and {} fills from the origin",
        served_share(&sockets),
        served_share(&model),
        sockets.origin_fills,
        model.origin_fills
    );
    assert!(
        (served_share(&sockets) - served_share(&model)).abs() < 0.05,
        "{} {}",
        served_share(&sockets),
        served_share(&model)
    );
    let ratio = sockets.origin_fills as f64 / model.origin_fills as f64;
    assert!(
        (0.7..1.4).contains(&ratio),
        "{} and {} fills from the origin",
        sockets.origin_fills,
        model.origin_fills
    );
}
