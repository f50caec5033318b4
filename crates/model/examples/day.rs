//! Simulates a fleet once, and prints results and run time.
//!
//! `day LOCATIONS ROUTERS CACHES RATE SECONDS [SEED]`: routers and caches per location, requests per second
//! in total. `day compare ...` runs each routing policy, and restarts half of the caches half-way.

use std::time::Instant;

use linnethook_model::plain::Way;
use linnethook_model::world::{Fault, Plan, World};

fn main() {
    let compare = std::env::args().nth(1).is_some_and(|word| word == "compare");
    let words: Vec<f64> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let at = |n: usize, default: f64| words.get(n).copied().unwrap_or(default);
    let plan = Plan {
        locations: at(0, 2.0) as usize,
        routers: at(1, 2.0) as usize,
        caches: at(2, 4.0) as usize,
        rate: at(3, 200.0),
        seconds: at(4, 30.0),
        seed: at(5, 1.0) as u64,
        parents: (at(0, 2.0) / 2.0).ceil().max(2.0) as usize,
        origin_link: 2e5 * at(3, 200.0),
        origin_easy: (at(3, 200.0) / 3.0) as usize,
        ..Plan::default()
    };
    if compare {
        return each_way(&plan);
    }
    let begun = Instant::now();
    let world = match World::new(plan.clone()) {
        Ok(world) => world,
        Err(wrong) => return println!("{}", wrong.0),
    };
    let built = begun.elapsed().as_secs_f64();
    let seen = world.run();
    let took = begun.elapsed().as_secs_f64();
    let asked: u32 = seen.asked.iter().sum();
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = text.lines().find(|line| line.starts_with("VmHWM")).unwrap_or_default().to_string();
    println!(
        "{} caches, {} routers, {:.0} requests a second for {:.0} s: {asked} asked, {:.4} in time, {:.1} fills a second from the origin",
        plan.locations * plan.caches,
        plan.locations * plan.routers,
        plan.rate,
        plan.seconds,
        seen.share(),
        seen.fills as f64 / plan.seconds,
    );
    println!(
        "{took:.2} s ({built:.2} s to build), {} events: {:.0} events and {:.0} requests a second; {}",
        seen.events,
        seen.events as f64 / took,
        f64::from(asked) / took,
        peak.split_whitespace().collect::<Vec<_>>().join(" "),
    );
}

/// Runs the same plan with each routing policy; half of the caches restart at once half-way.
fn each_way(plan: &Plan) {
    let caches = plan.locations * plan.caches;
    let middle = plan.seconds / 2.0;
    let restarts =
        (0..caches).step_by(2).flat_map(|n| [(middle, Fault::Die(n)), (middle + 0.05, Fault::Start(n))]);
    let able = plan.rate / caches as f64 * 2.0;
    let parent_able = plan.rate / plan.parents as f64 * 2.0;
    let plan = Plan { faults: restarts.collect(), cache_able: able, parent_able, ..plan.clone() };
    println!(
        "{:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>12} {:>6}",
        "", "in time", "before", "after", "refused", "failed", "from origin", "fell"
    );
    for way in Way::ALL {
        let Ok(world) = World::new(Plan { way, ..plan.clone() }) else { continue };
        let seen = world.run();
        let sum = |list: &[u32]| f64::from(list.iter().sum::<u32>());
        let share = |from: f64, to: f64| {
            let part = |list: &[u32]| -> f64 {
                list.iter().skip(from as usize).take((to - from) as usize).map(|n| f64::from(*n)).sum()
            };
            part(&seen.in_time) / part(&seen.asked).max(1.0)
        };
        let asked = sum(&seen.asked).max(1.0);
        println!(
            "{:<16} {:>8.4} {:>8.4} {:>8.4} {:>8.4} {:>8.4} {:>12} {:>6}",
            way.name(),
            seen.share(),
            share(5.0, middle),
            share(middle, middle + 10.0),
            sum(&seen.refused) / asked,
            sum(&seen.failed) / asked,
            seen.fills,
            seen.fell
        );
    }
}
