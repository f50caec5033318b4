//! Measures the load that many router processes together put on a cache that restarts cold, from the
//! recording. The demand exceeds the capacity of all caches, a few routers get several times the mean rate,
//! and all are notified of the start at once.
//!
//! Usage: `cold-start [ROUTERS [ROUTER_PROGRAM]]`, with 20 routers by default and at most 30. Takes about 45
//! seconds.

use std::path::Path;
use std::thread;
use std::time::Duration;

use linnethook_testbed::cache_server::{CacheServerConfig, ServerRole};
use linnethook_testbed::checker::{judge, Rule, RuleBounds};
use linnethook_testbed::cold_start::{bound, loads_after_starts};
use linnethook_testbed::load::Load;
use linnethook_testbed::process_cluster::{router_program, ProcessCluster};
use linnethook_testbed::recording::{Phase, WarmUpCapacity};
use serde_json::json;

type Failure = Box<dyn std::error::Error + Send + Sync>;

const CACHES: usize = 4;
/// Transfers that a cache sends concurrently. With these settings each takes 0.4 s, which gives ten requests
/// per second; by [`COLD`] it can take 22 in the first three seconds.
const CAPACITY: f64 = 4.0;
const COLD: WarmUpCapacity =
    WarmUpCapacity { capacity: 10.0, from: 0.25, warm_in: 15_000.0, fall_multiple: 3.0, window: 3_000.0 };
/// Requests per second of all routers together.
const RATE: f64 = 60.0;

/// Starts the servers, and routers with these names.
fn start_fleet(program: &Path, names: &[String]) -> Result<ProcessCluster, Failure> {
    let mut fleet = ProcessCluster::new(program)?;
    fleet.add("origin", "hub", 20.0, CacheServerConfig::new(ServerRole::Origin))?;
    fleet.add("south", "hub", 30.0, CacheServerConfig::new(ServerRole::Parent))?;
    for n in 0..CACHES {
        let cold = if n == 0 { COLD } else { WarmUpCapacity::default() };
        fleet.add(
            &format!("cache-{n}"),
            "shop",
            CAPACITY,
            CacheServerConfig { cold, ..CacheServerConfig::new(ServerRole::Cache) },
        )?;
    }
    for (n, name) in names.iter().enumerate() {
        fleet.start_router(name, None, |config| {
            config["seed"] = json!(format!("{:x}", 0x8c1f_30d2 + n * 7919));
            config["settings"]["balancers"] = json!(names.len());
            let family = &mut config["settings"]["family-info"];
            family["seats-by-zone"] = json!([0, names.len()]);
            family["flow-kb-per-s"] = json!(50);
        })?;
    }
    Ok(fleet)
}

fn run(program: &Path, routers: usize) -> Result<bool, Failure> {
    let names: Vec<String> = (0..routers).map(|n| format!("n{n}")).collect();
    let mut fleet = start_fleet(program, &names)?;
    // Every fifth router gets five times the rate of each other one.
    let shares: Vec<f64> = (0..routers).map(|n| if n.is_multiple_of(5) { 5.0 } else { 1.0 }).collect();
    let all: f64 = shares.iter().sum();
    // Routers are not notified of the initial starts, so the caches first warm up without load.
    thread::sleep(Duration::from_millis(COLD.warm_in as u64));
    let mut loads = Vec::new();
    for ((name, share), seed) in names.iter().zip(&shares).zip(1..) {
        let rate = RATE * share / all;
        loads.push(fleet.load(name, &Load { seed, rate, clients: 1, ..Load::default() })?);
    }
    thread::sleep(Duration::from_secs(6));
    fleet.node("cache-0").kill();
    fleet.publish_phase("cache-0", Phase::Removed)?;
    thread::sleep(Duration::from_secs(1));
    fleet.restart_server("cache-0")?;
    thread::sleep(Duration::from_millis(14_000));
    let ends: Vec<_> = loads.into_iter().map(|load| load.finish()).collect();
    let lines = fleet.record.lines();
    let sum = loads_after_starts(&lines, 7_000.0)
        .into_iter()
        .next_back()
        .ok_or("the recording has no start of the cache")?;
    let in_windows =
        |from: f64| sum.arrivals.iter().filter(|at| (from..from + COLD.window).contains(*at)).count();
    let count = |list: fn(&linnethook_testbed::load::LoadResults) -> &Vec<u32>| {
        ends.iter().flat_map(list).map(|n| u64::from(*n)).sum::<u64>()
    };
    println!("{routers} routers, {} requests, {} served", count(|e| &e.asked), count(|e| &e.served));
    println!(
        "requests after the start, by 3 s: {} {} {} {}",
        in_windows(0.0),
        in_windows(3e3),
        in_windows(6e3),
        in_windows(9e3)
    );
    println!(
        "{} windows, {} over N, {} over N + 2 root N + 2, rule broken: {}; \
             worst {:.2} of the bound {:.0} at N {:.0}, \
         {:.2} of N; cache failed by overload: {}",
        sum.windows,
        sum.over_budget,
        sum.over,
        sum.broken,
        sum.worst,
        bound(sum.budget),
        sum.budget,
        sum.worst_budget,
        fleet.node("cache-0").has_fallen(),
    );
    let breaches = judge(&lines, &RuleBounds { slack: 150.0, ..RuleBounds::default() });
    let pushed = breaches.iter().filter(|breach| breach.rule == Rule::NoPush).count();
    println!("breaches: {} in total, {pushed} of the rule on cold starts", breaches.len());
    breaches.iter().take(5).for_each(|breach| println!("  {breach}"));
    Ok(!sum.broken)
}

fn main() -> Result<(), Failure> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let routers = arguments.first().map_or(Ok(20), |text| text.parse::<usize>())?.clamp(1, 30);
    let program = router_program(arguments.get(1).map(Path::new))?;
    if run(&program, routers)? {
        Ok(())
    } else {
        Err("routers that were notified of the cold cache's start overloaded it".into())
    }
}
