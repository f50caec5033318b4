//! Runs scripts of overlapping faults on peer routers of the built program, each script from its seed:
//! processes are killed, suspended, cut off, slowed down and restarted under load.
//!
//! Usage: `process-faults FROM..TO [--jobs K] [--steps N] [ROUTER_PROGRAM]` prints each seed that fails, with
//! its script, and a summary. `process-faults SEED` runs one seed and prints its script. The exit code is 1
//! if any seed fails.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;

use linnethook_testbed::harness::{script, Harness, HarnessError, Plan, Played, Script};
use linnethook_testbed::process_cluster::router_program;

type Failure = Box<dyn std::error::Error + Send + Sync>;

struct Wanted {
    seeds: std::ops::Range<u64>,
    jobs: usize,
    steps: usize,
    program: Option<PathBuf>,
}

fn wanted() -> Result<Wanted, Failure> {
    let mut wanted = Wanted { seeds: 0..20, jobs: 4, steps: 14, program: None };
    let mut arguments = std::env::args().skip(1);
    let mut seen = false;
    while let Some(status) = arguments.next() {
        let mut number = || {
            arguments
                .next()
                .ok_or("--jobs and --steps need a number")?
                .parse::<usize>()
                .map_err(Failure::from)
        };
        match status.as_str() {
            "--jobs" => wanted.jobs = number()?.max(1),
            "--steps" => wanted.steps = number()?,
            status if !seen => {
                seen = true;
                wanted.seeds = match status.split_once("..") {
                    Some((from, to)) => from.parse()?..to.parse()?,
                    None => {
                        let seed: u64 = status.parse()?;
                        seed..seed + 1
                    }
                };
            }
            path => wanted.program = Some(PathBuf::from(path)),
        }
    }
    Ok(wanted)
}

fn run(program: &PathBuf, seed: u64, steps: usize) -> (Script, Result<Played, HarnessError>) {
    let routers = 3 + seed as usize % 5;
    let plan = Plan { routers, at_once: 0, ..Plan::default() };
    let script = script(seed, routers, plan.caches, steps);
    let results = Harness::start(program, plan)
        .map_err(HarnessError::from)
        .and_then(|mut harness| harness.run_script(&script));
    (script, results)
}

fn main() -> Result<ExitCode, Failure> {
    let Wanted { seeds, jobs, steps, program } = wanted()?;
    let program = router_program(program.as_deref())?;
    let alone = seeds.end - seeds.start == 1;
    let next = AtomicU64::new(seeds.start);
    let all = Mutex::new(Vec::new());
    let failed = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let (script, results) = run(&program, seed, steps);
                match results {
                    Ok(results) => {
                        if alone {
                            println!("{script:#?}\n{results:?}");
                        }
                        if let Ok(mut all) = all.lock() {
                            all.push(results);
                        }
                    }
                    Err(why) => {
                        failed.fetch_add(1, Ordering::Relaxed);
                        println!("seed {seed}: {why}\n{script:?}");
                    }
                }
            });
        }
    });
    let all = all.into_inner().unwrap_or_default();
    let sum = |what: fn(&Played) -> u64| all.iter().map(what).sum::<u64>();
    let mut times: Vec<_> = all.iter().map(|results| results.settled_in).collect();
    times.sort_unstable();
    let at = |part: usize| times.get(times.len().saturating_sub(1) * part / 100).copied().unwrap_or_default();
    let failed = failed.into_inner();
    println!(
        "{} scripts, {failed} failed; {} requests, {} served, {} rejected, {} failed; \
             {} drains and {} batches received by \
         gossip first; converged after the last fault: median {:.2?}, 99% {:.2?}, last {:.2?}",
        all.len() as u64 + failed,
        sum(|results| u64::from(results.asked)),
        sum(|results| u64::from(results.served)),
        sum(|results| u64::from(results.refused)),
        sum(|results| u64::from(results.failed)),
        sum(|results| results.drains),
        sum(|results| results.batches),
        at(50),
        at(99),
        at(100)
    );
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
