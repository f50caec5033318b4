//! Simulates a fleet once, and prints results and run time.
//!
//! `day LOCATIONS ROUTERS CACHES RATE SECONDS [SEED]`: routers and caches per location, requests per second
//! in total. `day compare ...` runs each routing policy, and restarts half of the caches half-way.

use std::time::Instant;

use linnethook_model::baselines::RoutingPolicy;
use linnethook_model::simulation::{Fault, Plan, Simulation};

fn main() {
    let compare = std::env::args().nth(1).is_some_and(|argument| argument == "compare");
    let arguments: Vec<f64> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let argument = |n: usize, default: f64| arguments.get(n).copied().unwrap_or(default);
    let plan = Plan {
        locations: argument(0, 2.0) as usize,
        routers: argument(1, 2.0) as usize,
        caches: argument(2, 4.0) as usize,
        rate: argument(3, 200.0),
        seconds: argument(4, 30.0),
        seed: argument(5, 1.0) as u64,
        parents: (argument(0, 2.0) / 2.0).ceil().max(2.0) as usize,
        origin_link: 2e5 * argument(3, 200.0),
        origin_concurrency: (argument(3, 200.0) / 3.0) as usize,
        ..Plan::default()
    };
    if compare {
        return compare_policies(&plan);
    }
    let started = Instant::now();
    let simulation = match Simulation::new(plan.clone()) {
        Ok(simulation) => simulation,
        Err(error) => return println!("{}", error.0),
    };
    let built = started.elapsed().as_secs_f64();
    let statistics = simulation.run();
    let elapsed = started.elapsed().as_secs_f64();
    let requests: u32 = statistics.requests.iter().sum();
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = text.lines().find(|line| line.starts_with("VmHWM")).unwrap_or_default().to_string();
    println!(
        "{} caches, {} routers, {:.0} requests/s for {:.0} s: {requests} requests, {:.4} in time, \
         {:.1} fills/s from the origin",
        plan.locations * plan.caches,
        plan.locations * plan.routers,
        plan.rate,
        plan.seconds,
        statistics.in_time_share(),
        statistics.origin_fills as f64 / plan.seconds,
    );
    println!(
        "{elapsed:.2} s ({built:.2} s to build), {} events: {:.0} events/s and {:.0} requests/s; {}",
        statistics.events,
        statistics.events as f64 / elapsed,
        f64::from(requests) / elapsed,
        peak.split_whitespace().collect::<Vec<_>>().join(" "),
    );
}

/// Runs the same plan with each routing policy; half of the caches restart at once half-way.
fn compare_policies(plan: &Plan) {
    let caches = plan.locations * plan.caches;
    let middle = plan.seconds / 2.0;
    let restarts =
        (0..caches).step_by(2).flat_map(|n| [(middle, Fault::Crash(n)), (middle + 0.05, Fault::Start(n))]);
    let cache_throughput = plan.rate / caches as f64 * 2.0;
    let parent_throughput = plan.rate / plan.parents as f64 * 2.0;
    let plan = Plan { faults: restarts.collect(), cache_throughput, parent_throughput, ..plan.clone() };
    println!(
        "{:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>12} {:>7}",
        "", "in time", "before", "after", "rejected", "failed", "from origin", "crashes"
    );
    for policy in RoutingPolicy::ALL {
        let Ok(simulation) = Simulation::new(Plan { routing_policy: policy, ..plan.clone() }) else {
            continue;
        };
        let statistics = simulation.run();
        let sum = |list: &[u32]| f64::from(list.iter().sum::<u32>());
        let share_between = |from: f64, to: f64| {
            let sum_between = |list: &[u32]| -> f64 {
                list.iter().skip(from as usize).take((to - from) as usize).map(|n| f64::from(*n)).sum()
            };
            sum_between(&statistics.in_time) / sum_between(&statistics.requests).max(1.0)
        };
        let requests = sum(&statistics.requests).max(1.0);
        println!(
            "{:<16} {:>8.4} {:>8.4} {:>8.4} {:>8.4} {:>8.4} {:>12} {:>7}",
            policy.name(),
            statistics.in_time_share(),
            share_between(5.0, middle),
            share_between(middle, middle + 10.0),
            sum(&statistics.rejected) / requests,
            sum(&statistics.failed) / requests,
            statistics.origin_fills,
            statistics.crashes
        );
    }
}
