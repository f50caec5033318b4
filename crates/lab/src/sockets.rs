//! Runs a plan on sockets: cache servers of the testbed and routers on loopback, the load of the plan, and
//! the faults that are supported on sockets.
//!
//! A plan with anything unsupported is rejected before anything starts, never replaced by something similar.

use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant};

use linnethook_model::plan::{Fault, Plan};
use linnethook_model::statistics::Statistics;
use linnethook_testbed::cache_server::{CacheServerConfig, ServerRole};
use linnethook_testbed::checker::{judge, Breach, RuleBounds};
use linnethook_testbed::faults::{Fault as ServerFault, When};
use linnethook_testbed::process_cluster::ProcessCluster;
use linnethook_testbed::recording::{now, Phase};
use serde_json::json;

use crate::faults::description;
use crate::load::Clients;

/// Client connections to each router.
const CONNECTIONS: usize = 8;

fn server_name(plan: &Plan, server: usize) -> String {
    match server {
        n if n == plan.origin() => "origin".to_string(),
        n if n >= plan.caches => format!("parent-{}", n - plan.caches),
        n => format!("cache-{n}"),
    }
}

/// The faults of servers, each with its start and end in seconds.
fn fault_windows(plan: &Plan) -> Result<Vec<(usize, f64, f64, ServerFault)>, String> {
    let mut all = Vec::new();
    for (n, (from, fault)) in plan.faults.iter().enumerate() {
        let later = plan.faults[n + 1..].iter();
        let until = |ends: &dyn Fn(&Fault) -> bool| {
            later.clone().find(|(_, other)| ends(other)).map_or(plan.seconds + 60.0, |(at, _)| *at)
        };
        let additional_latency = |times: f64| ServerFault::Slow((times - 1.0) * plan.origin_service_time);
        match fault {
            Fault::Silent(at, true) => {
                let to = until(&|other| *other == Fault::Silent(*at, false));
                all.push((*at, *from, to, ServerFault::Silent));
            }
            Fault::FailFast(at, true) => {
                let to = until(&|other| *other == Fault::FailFast(*at, false));
                all.push((*at, *from, to, ServerFault::Fail));
            }
            Fault::Slow(at, times) if *at == plan.origin() => {
                let to = until(&|other| matches!(other, Fault::Slow(n, _) if n == at));
                if *times > 1.0 {
                    all.push((*at, *from, to, additional_latency(*times)));
                }
            }
            Fault::Crash(_) | Fault::Start(_) | Fault::Drain(_) => {}
            Fault::Silent(_, false) | Fault::FailFast(_, false) => {}
            other => return Err(format!("not supported on sockets: {}", description(other))),
        }
    }
    Ok(all)
}

/// Checks that a plan can be run on sockets.
///
/// # Errors
/// The first feature of the plan that is not supported.
pub fn check(plan: &Plan) -> Result<(), String> {
    let defaults = Plan::default();
    for (what, fits) in [
        ("one location", plan.locations == 1),
        ("no spare caches", plan.spare_caches == 0),
        ("no hierarchy", plan.hierarchy.is_none()),
        ("one part", plan.parts == 1),
        ("one tier of parents", plan.top_parents == 0),
        ("an unlimited number of fills", plan.max_fills_per_cache == 0),
        ("one site", plan.sites.is_none()),
        ("the shipped routing policy", plan.routing_policy == defaults.routing_policy),
        ("no cold starts", plan.cache_throughput <= 0.0 && plan.parent_throughput <= 0.0),
    ] {
        if !fits {
            return Err(format!("on sockets: expected {what}"));
        }
    }
    fault_windows(plan).map(|_| ())
}

fn fleet(plan: &Plan, program: &Path) -> std::io::Result<ProcessCluster> {
    let mut fleet = ProcessCluster::new(program)?;
    let server_config = |kind: ServerRole, copies: usize, takes: f64| CacheServerConfig {
        copies,
        latency: Duration::from_secs_f64(takes / 1_000.0),
        size: plan.demand.median_size as usize,
        ..CacheServerConfig::new(kind)
    };
    fleet.add("origin", "hub", 20.0, server_config(ServerRole::Origin, 1, plan.origin_service_time))?;
    for n in 0..plan.parents {
        fleet.add(
            &format!("parent-{n}"),
            "hub",
            8.0,
            server_config(ServerRole::Parent, plan.parent_copies, plan.hub_delay),
        )?;
    }
    for n in 0..plan.caches {
        fleet.add(
            &format!("cache-{n}"),
            "shop",
            8.0,
            server_config(ServerRole::Cache, plan.cache_copies, plan.local_delay),
        )?;
    }
    for n in 0..plan.routers {
        fleet.start_router(&format!("n{n}"), None, |config| {
            config["seed"] = json!(format!("{:016x}", plan.seed ^ n as u64));
            let settings = &mut config["settings"];
            settings["balancers"] = json!(plan.routers);
            settings["family-info"]["seats-by-zone"] = json!([0, plan.routers]);
            settings["family-info"]["merges-fills"] = json!(true);
            settings["family-info"]["flow-kb-per-s"] = json!(plan.transfer_rate / 1_000.0);
            settings["family-info"]["peers-fill"] = json!("location");
            settings["grades"][0]["objective"] = json!(plan.latency_objective);
            settings["grades"][0]["aim-stretch"] = json!(1);
            settings["grades"][0]["deadline"] = json!(plan.client_timeout);
        })?;
    }
    Ok(fleet)
}

/// Runs the plan; returns its statistics, and the breaches found in its record.
pub fn play(plan: &Plan, program: &Path, stop: &AtomicBool) -> Result<(Statistics, Vec<Breach>), String> {
    check(plan)?;
    let text = |why: std::io::Error| why.to_string();
    let mut fleet = fleet(plan, program).map_err(text)?;
    let routers: Vec<_> =
        (0..plan.routers).filter_map(|n| Some((format!("n{n}"), fleet.address(&format!("n{n}"))?))).collect();
    let (since, begun) = (now(), Instant::now());
    for (server, from, to, fault) in fault_windows(plan)? {
        let when = When::Between(since + from * 1_000.0, since + to * 1_000.0);
        fleet.node(&server_name(plan, server)).script().add(fault, when);
    }
    let (record, numbers) = (fleet.record.clone(), fleet.numbers.clone());
    let clients = Clients { plan, routers: &routers, connections: CONNECTIONS, record, numbers };
    let statistics = thread::scope(|scope| {
        let driven = scope.spawn(|| clients.drive(stop));
        // The endpoint list reports changes with the delay of the plan.
        let mut steps: Vec<(f64, usize, Option<Phase>)> = Vec::new();
        for (at, fault) in &plan.faults {
            let reported_at = at + plan.endpoint_update_delay / 1_000.0;
            match fault {
                Fault::Crash(n) => steps.extend([(*at, *n, None), (reported_at, *n, Some(Phase::Removed))]),
                Fault::Start(n) => steps.push((reported_at, *n, Some(Phase::Ready))),
                Fault::Drain(n) => steps.push((reported_at, *n, Some(Phase::Draining))),
                _ => {}
            }
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, server, phase) in steps {
            while begun.elapsed().as_secs_f64() < at && !driven.is_finished() {
                thread::sleep(Duration::from_millis(2));
            }
            let node = server_name(plan, server);
            match phase {
                None => fleet.node(&node).kill(),
                Some(Phase::Ready) => fleet.restart_server(&node).map_err(text)?,
                Some(phase) => fleet.publish_phase(&node, phase).map_err(text)?,
            }
        }
        driven.join().unwrap_or_else(|_| Err("the load panicked".to_string()))
    })?;
    let origin = fleet.record.by_second("origin", since, plan.seconds.ceil() as usize + 5);
    let breaches = judge(&fleet.record.lines(), &RuleBounds { slack: 150.0, ..RuleBounds::default() });
    let fills = origin.iter().map(|n| u64::from(*n)).sum();
    Ok((Statistics { origin_requests: origin, origin_fills: fills, ..statistics }, breaches))
}
