//! Measures the load of all routers together on servers that start cold, against what these servers can take,
//! over many seeds.
//!
//! `cold [SEEDS [THREADS [DEPLOYMENT]]]`: by default 200 seeds, 3 threads and all deployments, which takes
//! half an hour. Prints a row for each deployment, number of routers, demand and kind of server; bursts and
//! late endpoint updates run with a fifth of the seeds.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use linnethook_model::cold::{deployments, ColdServers, Demand, Deployment, Trial, TrialResult, UpdateDelay};

fn run_trials(trial: &Trial, seeds: u64, threads: u64) -> Vec<TrialResult> {
    let (next, results) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
                    return;
                }
                let result = Trial { seed: seed + 1, ..trial.clone() }.run();
                if let Ok(mut results) = results.lock() {
                    results.push(result);
                }
            });
        }
    });
    results.into_inner().unwrap_or_default()
}

fn row(trial: &Trial, results: &[TrialResult]) -> String {
    let count = |field: fn(&TrialResult) -> u32| f64::from(results.iter().map(field).sum::<u32>());
    let windows = count(|result| result.windows).max(1.0);
    let worst =
        results.iter().max_by(|a, b| a.max_of_bound.total_cmp(&b.max_of_bound)).copied().unwrap_or_default();
    let max_of_budget = results.iter().map(|result| result.max_of_budget).fold(0.0, f64::max);
    let median = |time: fn(&TrialResult) -> Option<f64>| {
        let mut times: Vec<f64> =
            results.iter().map(|result| time(result).unwrap_or(f64::INFINITY)).collect();
        times.sort_by(f64::total_cmp);
        match times.get(times.len() / 2) {
            Some(time) if time.is_finite() => format!("{:.1}", time / 1_000.0),
            _ => "not yet".to_string(),
        }
    };
    let overloads = |field: fn(&TrialResult) -> bool| results.iter().filter(|result| field(result)).count();
    format!(
        "| {} | {:?} | {} | {:?}, {:?} | {} | {:.3}% | {:.4}% | {}, {} | {:.2} | {:.2} | {:.0} | {}, {} | {}, {} |",
        trial.deployment.name,
        trial.cold_servers,
        trial.routers,
        trial.demand,
        trial.update_delay,
        results.len(),
        100.0 * count(|result| result.over_budget) / windows,
        100.0 * count(|result| result.over_bound) / windows,
        overloads(|result| result.caused_by_notified),
        overloads(|result| result.caused_by_notified_by_end),
        worst.max_of_bound,
        max_of_budget,
        worst.budget,
        median(|result| result.time_to_half),
        median(|result| result.time_to_nine_tenths),
        median(|result| Some(result.ideal_time_to_half)),
        median(|result| Some(result.ideal_time_to_nine_tenths)),
    )
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |n: usize, default: u64| match arguments.get(n) {
        Some(argument) => {
            argument.parse().map_err(|_| format!("a number of seeds or threads, not {argument:?}"))
        }
        None => Ok(default),
    };
    let (seeds, threads) = (number(0, 200)?, number(1, 3)?);
    let deployments = deployments().map_err(|error| format!("{}: {}", error.path, error.message))?;
    let only = arguments.get(2);
    let deployments: Vec<Deployment> = deployments
        .into_iter()
        .filter(|deployment| only.is_none_or(|name| name == deployment.name))
        .collect();
    println!(
        "| deployment | cold | routers | demand, list | seeds | windows over N | over the bound | caused by notified routers, by the end | \
         largest window, of the bound | of N | N | time to half, 0.9 (s) | ideal |"
    );
    println!("|{}", " --- |".repeat(13));
    let even = [(Demand::Even, UpdateDelay::Soon), (Demand::Skewed, UpdateDelay::Soon)];
    let rare = [(Demand::Burst, UpdateDelay::Soon), (Demand::Even, UpdateDelay::Late)];
    for (cold_servers, demands, field) in [
        (ColdServers::Cache, even, 1),
        (ColdServers::Parents, even, 1),
        (ColdServers::Caches, rare, 5),
        (ColdServers::Parent, rare, 5),
    ] {
        for (deployment, (demand, update_delay)) in
            deployments.iter().flat_map(|deployment| demands.map(|demand| (deployment, demand)))
        {
            table(deployment, cold_servers, demand, update_delay, seeds.div_ceil(field), threads);
        }
    }
    Ok(())
}

fn table(
    deployment: &Deployment,
    cold_servers: ColdServers,
    demand: Demand,
    update_delay: UpdateDelay,
    seeds: u64,
    threads: u64,
) {
    for routers in [2, 5, 10, 20, 30] {
        let trial = Trial {
            deployment,
            routers,
            demand,
            cold_servers,
            update_delay,
            configured_routers: None,
            load: 1.0,
            seed: 1,
        };
        println!("{}", row(&trial, &run_trials(&trial, seeds, threads)));
    }
}
