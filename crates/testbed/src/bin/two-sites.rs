//! Two sites on loopback, each with a gateway, caches, a parent and a store, and a link between them. Under
//! load the north loses its store and its caches, and the link is cut and goes silent. Prints a line of
//! statistics for each second.
//!
//! Usage: `two-sites [ROUTER_PROGRAM]`; the default program is `linnethook` in the folder of this binary.
//! Takes half a minute.

use std::path::Path;
use std::thread;
use std::time::Duration;

use linnethook_testbed::cache_server::CacheServerConfig;
use linnethook_testbed::checker::{judge, RuleBounds};
use linnethook_testbed::fault_proxy::{TwoSites, NORTH, SOUTH, TO_ACCEPTOR, TO_DIALER};
use linnethook_testbed::load::{Load, LoadResults};
use linnethook_testbed::process_cluster::router_program;
use linnethook_testbed::recording::Phase;

type Failure = Box<dyn std::error::Error>;

fn line(second: usize, ends: &LoadResults, crossed: u64, status: &serde_json::Value, what: &str) -> String {
    let at = |list: &[u32]| list.get(second).copied().unwrap_or(0);
    let south = &status["sites"][0];
    format!(
        "{second:>6} {:>6} {:>7} {:>8} {:>7} {crossed:>8} {:>9} {:>8} {:>9}  {what}",
        at(&ends.asked),
        at(&ends.served),
        at(&ends.refused),
        at(&ends.failed),
        if south["reachable"] == true { "yes" } else { "NO" },
        format!("{:.0}%", south["part"].as_f64().unwrap_or(0.0) * 100.0),
        status["uncertain"],
    )
}

/// Injects the fault of a second, if there is one, and returns its description.
fn step(sites: &mut TwoSites, second: usize) -> Result<&'static str, Failure> {
    Ok(match second {
        3 => {
            sites.north.node("north-origin").kill();
            for cache in ["north-cache-0", "north-cache-1"] {
                sites.north.publish_phase(cache, Phase::Removed)?;
            }
            "the north loses its store and its caches"
        }
        12 => {
            sites.proxy.cut();
            "the link is cut"
        }
        14 => {
            sites.proxy.clear_faults();
            "the link is back"
        }
        18 => {
            sites.proxy.silence(&[TO_ACCEPTOR, TO_DIALER]);
            "the link goes silent"
        }
        20 => {
            sites.proxy.clear_faults();
            "the link is back"
        }
        24 => {
            sites.north.restart_server("north-origin")?;
            for cache in ["north-cache-0", "north-cache-1"] {
                sites.north.publish_phase(cache, Phase::Ready)?;
            }
            "the north's store and caches recover"
        }
        _ => "",
    })
}

fn main() -> Result<(), Failure> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let program = router_program(arguments.first().map(Path::new))?;
    let mut sites = TwoSites::start(&program, "", CacheServerConfig::new)?;
    sites.until_up()?;
    let load = Load { rate: 150.0, bookings: 0.2, clients: 8, ..Load::default() };
    let running = sites.north.load(NORTH, &load)?;
    println!("second   sent  served rejected  failed  crossed reachable    share uncertain");
    let mut before = 0;
    for second in 0..32usize {
        let what = step(&mut sites, second)?;
        thread::sleep(Duration::from_millis(1_000));
        let crossed: u64 = sites.proxy.passed().opened.iter().sum();
        println!("{}", line(second, &running.ends(), crossed - before, &sites.status(NORTH)?, what));
        before = crossed;
    }
    let ends = running.finish();
    let breaches = judge(&sites.north.record.lines(), &RuleBounds { slack: 150.0, ..RuleBounds::default() });
    breaches.iter().take(5).for_each(|breach| println!("{breach}"));
    let sum = |list: &[u32]| list.iter().sum::<u32>();
    println!(
        "{} requests, {} served, {} rejected, {} failed; \
             {} breaches of any rule; bookings that ran twice: {}",
        sum(&ends.asked),
        sum(&ends.served),
        sum(&ends.refused),
        sum(&ends.failed),
        breaches.len(),
        sites.north.node("north-origin").ran_twice().len()
            + sites.south.node("south-origin").ran_twice().len()
    );
    for router in [NORTH, SOUTH] {
        println!("\n{}", sites.gateway(router, &["status"])?.1);
    }
    Ok(())
}
