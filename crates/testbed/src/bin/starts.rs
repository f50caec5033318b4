//! Measures the requests at the origin when none, one or all of three routers are killed and restarted during
//! a change of the hierarchy, with and without the extended protocol, by which caches also query the old
//! parent.
//!
//! Usage: `starts [ROUTER_PROGRAM]`; the default program is `linnethook` in the folder of this binary. Takes
//! about three minutes.
//!
//! `starts ready [ROUTER_PROGRAM]` measures how long 30 routers that start at once take until each reports
//! ready, during an outage of discovery, with caches that hang or with busy cores. Takes under a minute.

use std::path::Path;
use std::thread;
use std::time::Duration;

use linnethook_testbed::cache_server::{CacheServerConfig, ServerRole};
use linnethook_testbed::checker::{judge, RuleBounds};
use linnethook_testbed::cold_restart::{peak_memory, restart_all, spread, Outage, StartScenario};
use linnethook_testbed::load::{Load, RunningLoad};
use linnethook_testbed::process_cluster::{operator_file, reroute, router_program, ProcessCluster};
use linnethook_testbed::recording::now;

type Failure = Box<dyn std::error::Error + Send + Sync>;

const ROUTERS: [&str; 3] = ["n0", "n1", "n2"];
const OBJECTS: u64 = 4_000;
/// Seconds before the change, from the change to the kill, and from the kill to the end.
const TIMES: [u64; 3] = [12, 4, 14];

fn server_config(kind: ServerRole) -> CacheServerConfig {
    let copies = match kind {
        ServerRole::Cache => OBJECTS / 40,
        ServerRole::Parent => OBJECTS * 2 / 5,
        ServerRole::Origin => 1,
    };
    CacheServerConfig { copies: copies as usize, ..CacheServerConfig::new(kind) }
}

fn run(program: &Path, extended: bool, killed: usize) -> Result<(), Failure> {
    let mut fleet = ProcessCluster::two_hubs(program, 3, server_config)?;
    let extended_status = if extended { "True" } else { "False" };
    let settings = format!("extended = {extended_status}, announce = 1, warm = 8, settle = 4");
    let operator = operator_file(3, "south", &settings);
    for router in ROUTERS {
        fleet.start_router(router, Some(&operator), |_| {})?;
    }
    let start = |fleet: &ProcessCluster, router: &str, seed: u64| -> std::io::Result<RunningLoad> {
        let load = Load { seed, rate: 100.0, objects: OBJECTS, skew: 0.7, ..Load::default() };
        fleet.load(router, &load)
    };
    let mut loads = Vec::new();
    for (router, seed) in ROUTERS.iter().zip(1..) {
        loads.push(start(&fleet, router, seed)?);
    }
    let since = now();
    thread::sleep(Duration::from_secs(TIMES[0]));
    let lists = ["cache-0", "cache-1", "cache-2"].map(|cache| (cache, &["centre", "origin"][..]));
    let batch = reroute(9, 1, 2, &[(1, 1)], &lists);
    for router in ROUTERS {
        fleet.publish_batch(router, &batch)?;
    }
    thread::sleep(Duration::from_secs(TIMES[1]));
    let rest = loads.split_off(killed);
    ROUTERS[..killed].iter().for_each(|router| fleet.kill_router(router));
    loads.into_iter().for_each(|load| drop(load.finish()));
    for router in &ROUTERS[..killed] {
        fleet.restart_router(router)?;
    }
    let mut back = Vec::new();
    for (router, seed) in ROUTERS[..killed].iter().zip(11..) {
        back.push(start(&fleet, router, seed)?);
    }
    thread::sleep(Duration::from_secs(TIMES[2]));
    let (mut asked, mut served) = (0, 0);
    for running in back.into_iter().chain(rest) {
        // Of routers that were not killed, only requests after the kill count.
        let old = running.since < since + 1_000.0;
        let from = if old { (TIMES[0] + TIMES[1]) as usize } else { 0 };
        let ends = running.finish();
        asked += ends.asked.iter().skip(from).sum::<u32>();
        served += ends.served.iter().skip(from).sum::<u32>();
    }
    let before = TIMES[0] as usize;
    let origin = fleet.record.by_second("origin", since, TIMES.iter().sum::<u64>() as usize);
    let steady = origin[before - 6..before].iter().sum::<u32>() / 6;
    let worst = origin[before + TIMES[1] as usize..].iter().max().copied().unwrap_or(0);
    let rules = RuleBounds { slack: 150.0, migration_grace: 70_000.0, ..RuleBounds::default() };
    println!(
        "extended: {extended}, killed: {killed} | origin per second: {steady} before, worst {worst} after | \
         served after {served} of {asked} | breaches {}",
        judge(&fleet.record.lines(), &rules).len()
    );
    Ok(())
}

/// Number of processes in each case of `ready`.
const AT_ONCE: usize = 30;

fn ready(program: &Path) -> Result<(), Failure> {
    let cores = thread::available_parallelism().map_or(4, usize::from);
    let silent = StartScenario::new(Outage::Silent, AT_ONCE);
    let cases = [
        ("discovery refuses connections", StartScenario::new(Outage::Refusing, AT_ONCE)),
        ("discovery is silent", silent),
        ("discovery trickles", StartScenario::new(Outage::Trickling, AT_ONCE)),
        ("silent, all caches hang", StartScenario { hung: true, ..silent }),
        (
            "silent, 1,000 caches and 5,000 purges known",
            StartScenario { listed: 1_000, purges: 5_000, ..silent },
        ),
        (
            "silent, 2,700 caches and 50,000 purges known",
            StartScenario { listed: 2_700, purges: 50_000, ..silent },
        ),
        (
            "the same, one router alone",
            StartScenario { listed: 2_700, purges: 50_000, processes: 1, ..silent },
        ),
        ("silent, two busy threads per core", StartScenario { busy: 2 * cores, ..silent }),
        (
            "silent, caches hang, 1,000 caches and 5,000 purges known, busy threads",
            StartScenario { hung: true, listed: 1_000, purges: 5_000, busy: 2 * cores, ..silent },
        ),
    ];
    println!(
        "| {AT_ONCE} routers start at once | ready | median | 95% | worst | peak memory of one, MB |\n\
         | --- | --- | --- | --- | --- | --- |"
    );
    for (name, case) in cases {
        let times: Vec<Duration> = restart_all(program, &case)?.into_iter().flatten().collect();
        let [median, most, worst] = spread(times.clone()).unwrap_or_default();
        let memory = peak_memory(program, &case)? as f64 / 1e6;
        println!("| {name} | {} | {median:.0?} | {most:.0?} | {worst:.0?} | {memory:.1} |", times.len());
    }
    Ok(())
}

fn main() -> Result<(), Failure> {
    let mut arguments = std::env::args().skip(1).peekable();
    let only_ready = arguments.next_if(|status| status == "ready").is_some();
    let program = router_program(arguments.next().as_deref().map(Path::new))?;
    if only_ready {
        return ready(&program);
    }
    for extended in [true, false] {
        for killed in [0, 1, 3] {
            run(&program, extended, killed)?;
        }
    }
    Ok(())
}
