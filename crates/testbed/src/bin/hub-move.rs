//! Moves caches to another hub under load and prints the requests at the origin, second by second: once in
//! stages with the shield, and once as an immediate switch, each with a fleet and a router of its own on
//! loopback.
//!
//! Usage: `hub-move [--short] [ROUTER_PROGRAM]`; the default program is `linnethook` in the folder of this
//! binary. Takes about three minutes, and with `--short`, a smaller run for a quick impression, half a
//! minute.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::Duration;

use linnethook_testbed::cache_server::{CacheServerConfig, ServerRole};
use linnethook_testbed::checker::{judge, RuleBounds};
use linnethook_testbed::load::Load;
use linnethook_testbed::process_cluster::{operator_file, reroute, router_program, ProcessCluster};
use linnethook_testbed::recording::now;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Length of the phases in seconds, and size of the load.
#[derive(Debug, Clone, Copy)]
struct Scale {
    before: usize,
    after: usize,
    rate: f64,
    objects: u64,
    settings: &'static str,
}

const FULL_SCALE: Scale = Scale { before: 60, after: 120, rate: 600.0, objects: 20_000, settings: "" };
const SHORT: Scale = Scale {
    before: 15,
    after: 20,
    rate: 300.0,
    objects: 4_000,
    settings: "announce = 1, warm = 8, settle = 6",
};

/// Results of one variant.
struct Outcome {
    name: &'static str,
    origin: Vec<u32>,
    steady: f64,
    served_before: f64,
    served_after: f64,
    breaches: usize,
}

impl Outcome {
    /// Highest mean over this many consecutive seconds after the change, as a multiple of the steady rate.
    fn worst(&self, scale: Scale, seconds: usize) -> f64 {
        let after = &self.origin[scale.before..];
        let sums = after.windows(seconds).map(|window| window.iter().sum::<u32>());
        f64::from(sums.max().unwrap_or(0)) / seconds as f64 / self.steady.max(1e-9)
    }
}

/// Each cache stores a fortieth of the objects and each parent two fifths, so that some always come from the
/// origin.
fn server_config(scale: Scale) -> impl Fn(ServerRole) -> CacheServerConfig {
    move |kind| {
        let copies = match kind {
            ServerRole::Cache => scale.objects / 40,
            ServerRole::Parent => scale.objects * 2 / 5,
            ServerRole::Origin => 1,
        };
        CacheServerConfig { copies: copies as usize, ..CacheServerConfig::new(kind) }
    }
}

fn run(program: &Path, name: &'static str, switches: &str, scale: Scale) -> Result<Outcome, Failure> {
    let mut fleet = ProcessCluster::two_hubs(program, 3, server_config(scale))?;
    let settings = format!("extended = True, {switches}, {}", scale.settings);
    fleet.start_router("n0", Some(&operator_file(3, "south", &settings)), |_| {})?;
    let load = Load { rate: scale.rate, clients: 16, objects: scale.objects, skew: 0.7, ..Load::default() };
    let running = fleet.load("n0", &load)?;
    let since = running.since;
    thread::sleep(Duration::from_secs(scale.before as u64));
    let lists: BTreeMap<String, [&str; 2]> =
        (0..3).map(|n| (format!("cache-{n}"), ["centre", "origin"])).collect();
    let lists: Vec<(&str, &[&str])> = lists.iter().map(|(node, list)| (node.as_str(), &list[..])).collect();
    fleet.publish_batch("n0", &reroute(9, 1, 2, &[(1, 1)], &lists))?;
    thread::sleep(Duration::from_secs(scale.after as u64));
    let ends = running.finish();
    let origin = fleet.record.by_second("origin", since, scale.before + scale.after);
    let steady = f64::from(origin[scale.before - 10..scale.before].iter().sum::<u32>()) / 10.0;
    let breaches = judge(&fleet.record.lines(), &RuleBounds { slack: 150.0, ..RuleBounds::default() });
    breaches.iter().take(5).for_each(|breach| println!("{name}: {breach}"));
    Ok(Outcome {
        name,
        origin,
        steady,
        served_before: ends.served_share(scale.before - 10..scale.before),
        served_after: ends.served_share(scale.before..scale.before + scale.after),
        breaches: breaches.len(),
    })
}

fn main() -> Result<(), Failure> {
    let mut arguments: Vec<String> = std::env::args().skip(1).collect();
    let short =
        arguments.iter().position(|status| status == "--short").map(|n| arguments.remove(n)).is_some();
    let scale = if short { SHORT } else { FULL_SCALE };
    let program = router_program(arguments.first().map(Path::new))?;
    let variants =
        [("in stages", "staged = True, shielded = True"), ("immediate", "staged = False, shielded = False")];
    println!("{scale:?}, begun at {:.0}", now());
    let threads: Vec<_> = variants
        .into_iter()
        .map(|(name, switches)| {
            let program = program.clone();
            thread::spawn(move || run(&program, name, switches, scale))
        })
        .collect();
    let mut outcomes = Vec::new();
    for thread in threads {
        outcomes.push(thread.join().map_err(|_| "the thread of a variant panicked")??);
    }
    println!("requests at the origin by second; the caches move at 0");
    println!("{:>6} {:>10} {:>10}", "second", outcomes[0].name, outcomes[1].name);
    for second in scale.before.saturating_sub(10)..scale.before + scale.after {
        let at = second as i64 - scale.before as i64;
        println!("{at:>6} {:>10} {:>10}", outcomes[0].origin[second], outcomes[1].origin[second]);
    }
    for outcome in &outcomes {
        println!(
            "{}: steady {:.1} per second; worst second {:.2} times that, worst three {:.2}, worst ten {:.2}; \
             served {:.4} \
             before and {:.4} after; {} breaches",
            outcome.name,
            outcome.steady,
            outcome.worst(scale, 1),
            outcome.worst(scale, 3),
            outcome.worst(scale, 10),
            outcome.served_before,
            outcome.served_after,
            outcome.breaches
        );
    }
    Ok(())
}
