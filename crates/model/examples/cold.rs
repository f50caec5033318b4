//! Measures the load of all routers together on servers that start cold, against what these servers can take,
//! over many seeds.
//!
//! `cold [SEEDS [THREADS [DEPLOYMENT]]]`: by default 200 seeds, 3 threads and all deployments, which takes
//! half an hour. Prints a row for each deployment, number of routers, demand and kind of server; bursts and
//! late endpoint updates run with a fifth of the seeds.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use linnethook_model::cold::{shapes, Demand, Heard, Shape, Sum, Trial, Who};

fn plays(trial: &Trial, seeds: u64, threads: u64) -> Vec<Sum> {
    let (next, sums) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
                    return;
                }
                let sum = Trial { seed: seed + 1, ..trial.clone() }.play();
                if let Ok(mut sums) = sums.lock() {
                    sums.push(sum);
                }
            });
        }
    });
    sums.into_inner().unwrap_or_default()
}

fn row(trial: &Trial, sums: &[Sum]) -> String {
    let count = |part: fn(&Sum) -> u32| f64::from(sums.iter().map(part).sum::<u32>());
    let windows = count(|sum| sum.windows).max(1.0);
    let worst = sums.iter().max_by(|a, b| a.worst.total_cmp(&b.worst)).copied().unwrap_or_default();
    let most = sums.iter().map(|sum| sum.worst_budget).fold(0.0, f64::max);
    let median = |time: fn(&Sum) -> Option<f64>| {
        let mut times: Vec<f64> = sums.iter().map(|sum| time(sum).unwrap_or(f64::INFINITY)).collect();
        times.sort_by(f64::total_cmp);
        match times.get(times.len() / 2) {
            Some(time) if time.is_finite() => format!("{:.1}", time / 1_000.0),
            _ => "not yet".to_string(),
        }
    };
    let broken = |part: fn(&Sum) -> bool| sums.iter().filter(|sum| part(sum)).count();
    format!(
        "| {} | {:?} | {} | {:?}, {:?} | {} | {:.3}% | {:.4}% | {}, {} | {:.2} | {:.2} | {:.0} | {}, {} | {}, {} |",
        trial.shape.name,
        trial.who,
        trial.routers,
        trial.demand,
        trial.heard,
        sums.len(),
        100.0 * count(|sum| sum.over_budget) / windows,
        100.0 * count(|sum| sum.over) / windows,
        broken(|sum| sum.broken),
        broken(|sum| sum.broken_by_then),
        worst.worst,
        most,
        worst.budget,
        median(|sum| sum.half),
        median(|sum| sum.ramp),
        median(|sum| Some(sum.half_knowing)),
        median(|sum| Some(sum.ramp_knowing)),
    )
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let number = |n: usize, default: u64| match words.get(n) {
        Some(word) => word.parse().map_err(|_| format!("a number of seeds or threads, not {word:?}")),
        None => Ok(default),
    };
    let (seeds, threads) = (number(0, 200)?, number(1, 3)?);
    let shapes = shapes().map_err(|wrong| format!("{}: {}", wrong.path, wrong.message))?;
    let only = words.get(2);
    let shapes: Vec<Shape> =
        shapes.into_iter().filter(|shape| only.is_none_or(|name| name == shape.name)).collect();
    println!(
        "| deployment | cold | routers | demand, list | seeds | windows over N | over the bound | broken, by then | \
         worst, of the bound | of N | N | half, 0.9 (s) | knowing all |"
    );
    println!("|{}", " --- |".repeat(13));
    let even = [(Demand::Even, Heard::Soon), (Demand::Skewed, Heard::Soon)];
    let rare = [(Demand::Burst, Heard::Soon), (Demand::Even, Heard::Late)];
    for (who, demands, part) in
        [(Who::Cache, even, 1), (Who::Parents, even, 1), (Who::Caches, rare, 5), (Who::Parent, rare, 5)]
    {
        for (shape, (demand, heard)) in shapes.iter().flat_map(|shape| demands.map(|demand| (shape, demand)))
        {
            table(shape, who, demand, heard, seeds.div_ceil(part), threads);
        }
    }
    Ok(())
}

fn table(shape: &Shape, who: Who, demand: Demand, heard: Heard, seeds: u64, threads: u64) {
    for routers in [2, 5, 10, 20, 30] {
        let trial = Trial { shape, routers, demand, who, heard, told_of: None, load: 1.0, seed: 1 };
        println!("{}", row(&trial, &plays(&trial, seeds, threads)));
    }
}
