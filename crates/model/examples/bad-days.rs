//! Runs random fault schedules, checks the recording of each, and prints violated rules and results.
//!
//! `bad-days FIRST LAST [FAULTS] [RATE]`: seeds from FIRST to LAST; number of faults per run; requests per
//! second.

use linnethook_model::world::{Plan, World};

fn main() {
    let words: Vec<f64> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let at = |n: usize, default: f64| words.get(n).copied().unwrap_or(default);
    let mut broken = 0;
    for seed in at(0, 1.0) as u64..=at(1, 20.0) as u64 {
        let plan = Plan {
            seed,
            rate: at(3, 200.0),
            bookings: 0.05,
            parts: 2,
            report_every: 250.0,
            cache_able: 120.0,
            parent_able: 400.0,
            origin_bears: 400,
            ..Plan::default()
        };
        let faults = plan.bad_day(seed, at(2, 6.0) as usize, 5.0..20.0);
        match World::judged(Plan { faults, ..plan.clone() }) {
            Ok((seen, breaches)) => {
                broken += usize::from(!breaches.is_empty());
                println!(
                    "{seed}: {:.3} in time, {} fell, {} breaches",
                    seen.share(),
                    seen.fell,
                    breaches.len()
                );
                breaches.iter().take(3).for_each(|breach| println!("   {breach}"));
                if !breaches.is_empty() {
                    plan.bad_day(seed, at(2, 6.0) as usize, 5.0..20.0)
                        .iter()
                        .for_each(|fault| println!("   {fault:?}"));
                }
            }
            Err(wrong) => println!("{seed}: {}", wrong.0),
        }
    }
    println!("{broken} days with a broken rule");
}
