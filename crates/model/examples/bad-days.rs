//! Runs random fault schedules, checks the recording of each, and prints violated rules and results.
//!
//! `bad-days FIRST LAST [FAULTS] [RATE]`: seeds from FIRST to LAST; number of faults per run; requests per
//! second.

use linnethook_model::simulation::{Plan, Simulation};

fn main() {
    let arguments: Vec<f64> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let argument = |n: usize, default: f64| arguments.get(n).copied().unwrap_or(default);
    let mut failed_runs = 0;
    for seed in argument(0, 1.0) as u64..=argument(1, 20.0) as u64 {
        let plan = Plan {
            seed,
            rate: argument(3, 200.0),
            booking_share: 0.05,
            parts: 2,
            load_report_interval: 250.0,
            cache_throughput: 120.0,
            parent_throughput: 400.0,
            origin_crash_limit: 400,
            ..Plan::default()
        };
        let faults = plan.random_faults(seed, argument(2, 6.0) as usize, 5.0..20.0);
        match Simulation::run_checked(Plan { faults, ..plan.clone() }) {
            Ok((statistics, breaches)) => {
                failed_runs += usize::from(!breaches.is_empty());
                println!(
                    "{seed}: {:.3} in time, {} crashes, {} breaches",
                    statistics.in_time_share(),
                    statistics.crashes,
                    breaches.len()
                );
                breaches.iter().take(3).for_each(|breach| println!("   {breach}"));
                if !breaches.is_empty() {
                    plan.random_faults(seed, argument(2, 6.0) as usize, 5.0..20.0)
                        .iter()
                        .for_each(|fault| println!("   {fault:?}"));
                }
            }
            Err(error) => println!("{seed}: {}", error.0),
        }
    }
    println!("{failed_runs} runs violated a rule");
}
