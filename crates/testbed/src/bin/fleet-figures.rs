//! Measures peer routers as processes: the time until all know of a drain that one journal has published, and
//! until all suspect a killed router; the bytes per second while nothing changes; wrong suspicions while one
//! router is slow; and the requests that a full cut costs, compared with routers without peers.
//!
//! Usage: `fleet-figures [--cut] [ROUTER_PROGRAM]`; the default program is `linnethook` in the folder of this
//! binary. Takes about three minutes, or half a minute with `--cut`, which measures only the full cut.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use linnethook_testbed::cache_server::CacheServerConfig;
use linnethook_testbed::harness::{alive, line, name, Harness, Plan};
use linnethook_testbed::load::{Load, LoadResults};
use linnethook_testbed::process_cluster::{operator_file, router_program, ProcessCluster};
use linnethook_testbed::recording::Phase;

type Failure = Box<dyn std::error::Error + Send + Sync>;

fn quantiles(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let at = |part: usize| times.get(times.len().saturating_sub(1) * part / 100).copied().unwrap_or_default();
    format!("{:.0?} {:.0?} {:.0?}", at(50), at(99), at(100))
}

/// Time until the output of `fleet show` fulfils a condition at each of some routers, each polled by its own
/// thread.
fn times(
    harness: &Harness,
    program: &Path,
    routers: &[usize],
    fits: impl Fn(&serde_json::Value) -> bool + Sync,
) -> Result<Vec<Duration>, Failure> {
    let begun = Instant::now();
    let sockets: Vec<PathBuf> = routers.iter().map(|n| harness.fleet.socket(&name(*n))).collect();
    let until = |socket: &Path| -> Result<Duration, Failure> {
        while begun.elapsed() < Duration::from_secs(30) {
            let output = Command::new(program)
                .args(["fleet", "show", "--format", "json", "--socket"])
                .arg(socket)
                .output()?;
            // Taken after the response arrived, so it is an upper bound.
            let at = begun.elapsed();
            if fits(&serde_json::from_slice(&output.stdout)?) {
                return Ok(at);
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err("the condition was not fulfilled within 30 s".into())
    };
    let until = &until;
    thread::scope(|scope| {
        let waits: Vec<_> = sockets.iter().map(|socket| scope.spawn(move || until(socket))).collect();
        waits.into_iter().map(|wait| wait.join().map_err(|_| "a thread panicked")?).collect()
    })
}

fn bytes_sent(harness: &Harness, routers: usize) -> Result<u64, Failure> {
    let mut all = 0;
    for n in 0..routers {
        all += harness.shown(n)?["fellows"]["counts"]["said_bytes"].as_u64().unwrap_or(0);
    }
    Ok(all / routers as u64)
}

fn fleet(program: &PathBuf, routers: usize) -> Result<(), Failure> {
    // Up to 8 routers are all linked with each other; in larger fleets each is linked with the next one and
    // two others.
    let links = (routers > 8).then(|| {
        let mut links: Vec<(usize, usize)> = (0..routers)
            .flat_map(|a| [1, 3, 7].map(|by| (a.max((a + by) % routers), a.min((a + by) % routers))))
            .collect();
        links.sort_unstable();
        links.dedup();
        links
    });
    // Default settings of the cluster, except for the harness's own settings of the hierarchy and audit log.
    let plan = Plan { routers, links, cluster_settings: String::new(), rate: 10.0, ..Plan::default() };
    let mut harness = Harness::start(program, plan)?;
    harness.load_all()?;
    thread::sleep(Duration::from_secs(3));
    let (before, since) = (bytes_sent(&harness, routers)?, Instant::now());
    thread::sleep(Duration::from_secs(10));
    let quiet = (bytes_sent(&harness, routers)? - before) as f64 / since.elapsed().as_secs_f64();
    let all: Vec<usize> = (1..routers).collect();
    let mut drains = Vec::new();
    for n in 0..10u64 {
        let phase = if n % 2 == 0 { Phase::Draining } else { Phase::Ready };
        harness.publish_phase("cache-1", phase, &[0])?;
        drains.extend(times(&harness, program, &all, |shown| {
            shown["barred"].as_array().is_some_and(|barred| barred.is_empty() != (n % 2 == 0))
        })?);
    }
    let last = routers - 1;
    if routers > 2 {
        // Slows all links of one router, and counts the suspicions that this causes.
        for n in 0..last {
            harness.limit_rate(last, n, 4_000.0);
        }
        thread::sleep(Duration::from_secs(8));
    }
    let mut error = 0;
    for n in 0..routers {
        error += routers - 1 - alive(&harness.shown(n)?);
    }
    harness.clear_all_faults();
    thread::sleep(Duration::from_secs(1));
    harness.kill(last);
    let others: Vec<usize> = (0..last).collect();
    let seen = times(&harness, program, &others, |shown| {
        line(shown, &name(last)).is_some_and(|l| l["standing"] == "Suspected")
    })?;
    harness.end_loads();
    let breaches = harness.breaches(&[]).len();
    println!(
        "| {routers} | {} | {} | {quiet:.0} | {error} | {breaches} |",
        quantiles(drains),
        quantiles(seen)
    );
    Ok(())
}

fn share(ends: &[LoadResults]) -> String {
    let sum = |list: fn(&LoadResults) -> &Vec<u32>| ends.iter().flat_map(list).sum::<u32>();
    format!("{} of {}", sum(|ends| &ends.served), sum(|ends| &ends.asked))
}

/// Measures routers that are isolated for 10 s: once with peers that are cut off, and once without peers.
fn cut(program: &PathBuf) -> Result<(), Failure> {
    let plan = Plan { rate: 100.0, straggler: Some("alone = 2".to_string()), ..Plan::default() };
    let mut harness = Harness::start(program, plan.clone())?;
    harness.split(1);
    harness.split(2);
    harness.until(0, "no peer is alive", |shown| alive(shown) == 0)?;
    harness.load_all()?;
    thread::sleep(Duration::from_secs(10));
    harness.end_loads();
    let with = share(&harness.ends);
    drop(harness);
    let mut fleet = ProcessCluster::two_hubs(program, 3, CacheServerConfig::new)?;
    let operator = operator_file(3, "south", &plan.hierarchy);
    let mut loads = Vec::new();
    for n in 0..3 {
        fleet.start_router(&name(n), Some(&operator), |_| {})?;
    }
    for n in 0..3u64 {
        let load = Load { seed: n + 1, rate: 100.0, objects: 400, bookings: 0.1, ..Load::default() };
        loads.push(fleet.load(&name(n as usize), &load)?);
    }
    thread::sleep(Duration::from_secs(10));
    let ends: Vec<LoadResults> = loads.into_iter().map(|load| load.finish()).collect();
    println!(
        "a full cut for 10 s, three routers: {with} requests served with peers, {} without",
        share(&ends)
    );
    Ok(())
}

fn main() -> Result<(), Failure> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let given = arguments.iter().find(|status| !status.starts_with("--"));
    let program = router_program(given.map(Path::new))?;
    if arguments.iter().any(|status| status == "--cut") {
        return cut(&program);
    }
    println!(
        "| routers | drain of one journal known: median 99% last | killed router suspected | \
bytes per second without changes | wrong suspicions with a slow router | breaches |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for routers in [3, 8, 20] {
        fleet(&program, routers)?;
    }
    cut(&program)
}
