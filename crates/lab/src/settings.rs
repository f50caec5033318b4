//! The parameters of fleet and load that an experiment file may set, and the writing of a plan as such a
//! file.
//!
//! Defaults are defined by the model alone.

use linnethook_model::plan::{HierarchyPlan, Plan, SitesPlan};
use linnethook_operator_config::arguments::NumberKind;
use linnethook_operator_config::parameters::{Parameter, Unit};

use crate::experiment::ROUTING_POLICIES;
use crate::faults;

/// A parameter whose unit in files is the unit of the model.
const fn model_unit_parameter(
    name: &'static str,
    description: &'static str,
    unit: &'static str,
    (min, max): (f64, f64),
    kind: NumberKind,
    get: fn(&Plan) -> f64,
    set: fn(&mut Plan, f64),
) -> Parameter<Plan> {
    Parameter { name, description, unit: Unit { name: unit, scale: 1.0 }, min, max, kind, get, set }
}

macro_rules! parameter {
    ($name:literal, $unit:literal, $min:expr, $max:expr, $($field:ident).+, $description:literal) => {
        model_unit_parameter($name, $description, $unit, ($min, $max), NumberKind::Real,
            |plan: &Plan| plan.$($field).+,
            |plan: &mut Plan, value| plan.$($field).+ = value)
    };
    (integer $name:literal, $kind:ty, $min:expr, $max:expr, $($field:ident).+, $description:literal) => {
        model_unit_parameter($name, $description, "", ($min, $max), NumberKind::Integer,
            |plan: &Plan| plan.$($field).+ as f64,
            |plan: &mut Plan, value| plan.$($field).+ = value as $kind)
    };
    (flag $name:literal, $field:ident, $description:literal) => {
        model_unit_parameter($name, $description, "", (0.0, 1.0), NumberKind::Integer,
            |plan: &Plan| f64::from(u8::from(plan.$field)),
            |plan: &mut Plan, value| plan.$field = value > 0.5)
    };
}

fn hierarchy_plan(plan: &Plan) -> HierarchyPlan {
    plan.hierarchy.unwrap_or_default()
}

macro_rules! tier {
    ($name:literal, $unit:literal, $kind:ident, $max:expr, $get:expr, $set:expr, $description:literal) => {
        model_unit_parameter(
            $name,
            $description,
            $unit,
            (0.0, $max),
            NumberKind::$kind,
            |plan: &Plan| ($get)(hierarchy_plan(plan)),
            |plan: &mut Plan, value| ($set)(plan.hierarchy.get_or_insert_default(), value),
        )
    };
}

/// Parameters of `hierarchy(...)`, which gives routers the shipped hierarchy.
pub const HIERARCHY: &[Parameter<Plan>] = &[
    Parameter {
        name: "hierarchy",
        description: "whether routers have a hierarchy, 0 or 1",
        unit: Unit { name: "", scale: 1.0 },
        min: 0.0,
        max: 1.0,
        kind: NumberKind::Integer,
        get: |plan: &Plan| f64::from(u8::from(plan.hierarchy.is_some())),
        set: |plan: &mut Plan, value| plan.hierarchy = (value > 0.5).then(|| hierarchy_plan(plan)),
    },
    tier!(
        "staged",
        "",
        Integer,
        1.0,
        |t: HierarchyPlan| f64::from(u8::from(t.staged)),
        |t: &mut HierarchyPlan, v| t.staged = v > 0.5,
        "whether children migrate in stages, 0 or 1"
    ),
    tier!(
        "shielded",
        "",
        Integer,
        1.0,
        |t: HierarchyPlan| f64::from(u8::from(t.shielded)),
        |t: &mut HierarchyPlan, v| t.shielded = v > 0.5,
        "whether fills go through the shield, 0 or 1"
    ),
    tier!(
        "announce",
        "milliseconds",
        Real,
        1e7,
        |t: HierarchyPlan| t.announcement,
        |t: &mut HierarchyPlan, v| t.announcement = v,
        "how long a change is announced before it begins"
    ),
    tier!(
        "warm",
        "milliseconds",
        Real,
        1e7,
        |t: HierarchyPlan| t.ramp_duration,
        |t: &mut HierarchyPlan, v| t.ramp_duration = v,
        "time from the first migrated objects to all of them"
    ),
    tier!(
        "settle",
        "milliseconds",
        Real,
        1e7,
        |t: HierarchyPlan| t.settling_time,
        |t: &mut HierarchyPlan, v| t.settling_time = v,
        "how long the old source is still queried for cached objects"
    ),
    tier!(
        "homes",
        "",
        Integer,
        1_000.0,
        |t: HierarchyPlan| t.home_parents as f64,
        |t: &mut HierarchyPlan, v| t.home_parents = (v as usize).max(1),
        "number of parents that are home parents, assigned to locations in turn"
    ),
];

macro_rules! site {
    ($name:literal, $unit:literal, $min:expr, $max:expr, $field:ident, $description:literal) => {
        model_unit_parameter(
            $name,
            $description,
            $unit,
            ($min, $max),
            NumberKind::Real,
            |plan: &Plan| plan.sites.unwrap_or_default().$field,
            |plan: &mut Plan, value| plan.sites.get_or_insert_default().$field = value,
        )
    };
}

/// Parameters of `sites(...)`: the locations form two sites, and their routers are gateways.
pub const SITES: &[Parameter<Plan>] = &[
    Parameter {
        name: "sites",
        description: "whether there are two sites, 0 or 1",
        unit: Unit { name: "", scale: 1.0 },
        min: 0.0,
        max: 1.0,
        kind: NumberKind::Integer,
        get: |plan: &Plan| f64::from(u8::from(plan.sites.is_some())),
        set: |plan: &mut Plan, value| {
            plan.sites = (value > 0.5).then(|| -> SitesPlan { plan.sites.unwrap_or_default() });
        },
    },
    site!("link_delay", "milliseconds", 0.0, 1e4, delay, "one-way delay between the sites"),
    site!(
        "link_carries",
        "bytes a second",
        1e3,
        1e12,
        bandwidth,
        "bandwidth in each direction, shared by all gateways"
    ),
    site!("fresh", "milliseconds", 0.0, 1e6, max_state_delay, "maximum age of the state of the other site"),
];

/// Parameters of `fleet(...)`.
pub const FLEET: &[Parameter<Plan>] = &[
    parameter!(integer "locations", usize, 1.0, 1_000.0, locations, "number of locations"),
    parameter!(integer "routers", usize, 1.0, 1_000.0, routers, "routers of each location"),
    parameter!(integer "caches", usize, 1.0, 1_000.0, caches, "caches of each location"),
    parameter!(integer "parents", usize, 0.0, 1_000.0, parents, "parents shared by all locations"),
    parameter!(integer "tops", usize, 0.0, 1_000.0, top_parents, "parents of the parents"),
    parameter!(
        integer "spare", usize, 0.0, 1_000.0, spare_caches,
        "caches of each location that are started only by a fault"
    ),
    parameter!(integer "cache_copies", usize, 0.0, 1e8, cache_copies, "copies that a cache stores"),
    parameter!(integer "parent_copies", usize, 0.0, 1e8, parent_copies, "copies that a parent stores"),
    parameter!(
        integer "slots", usize, 1.0, 1e6, max_requests_per_server,
        "concurrent requests of a server"
    ),
    parameter!(
        integer "fills", usize, 0.0, 1e6, max_fills_per_cache,
        "concurrent fills of a cache; 0 = unlimited"
    ),
    parameter!(
        flag "filled", home_parents_prefilled,
        "whether parents start with the most popular objects, 0 or 1"
    ),
    parameter!("flow", "bytes a second", 1e3, 1e12, transfer_rate, "maximum rate of one transfer"),
    parameter!("cache_link", "bytes a second", 1e3, 1e12, cache_link, "a cache's link to its clients"),
    parameter!("location_link", "bytes a second", 1e3, 1e12, location_link, "a location's link for fills"),
    parameter!(
        "origin_link",
        "bytes a second",
        1e3,
        1e12,
        origin_link,
        "the shared link of parents and the origin"
    ),
    parameter!("near", "milliseconds", 0.0, 1e4, local_delay, "one-way delay within a location"),
    parameter!("far", "milliseconds", 0.0, 1e4, hub_delay, "one-way delay to the hub"),
    parameter!(
        "origin_takes",
        "milliseconds",
        0.0,
        1e5,
        origin_service_time,
        "service time of the origin for one request"
    ),
    parameter!(
        integer "origin_easy", usize, 1.0, 1e6, origin_concurrency,
        "concurrent requests of the origin above which its service time grows"
    ),
    parameter!(
        integer "origin_bears", usize, 0.0, 1e6, origin_crash_limit,
        "concurrent requests above which the origin crashes; 0 = never"
    ),
    parameter!(
        "origin_away",
        "seconds",
        0.0,
        1e4,
        origin_restart_delay,
        "time until a crashed origin restarts"
    ),
    parameter!(
        "list_late",
        "milliseconds",
        0.0,
        1e6,
        endpoint_update_delay,
        "delay until routers learn of a change of the endpoint list"
    ),
    parameter!(
        "report_every",
        "milliseconds",
        0.0,
        1e6,
        load_report_interval,
        "interval at which servers measure their load; 0 = never"
    ),
    parameter!(
        "fresh",
        "milliseconds",
        0.0,
        1e9,
        freshness_lifetime,
        "how long a copy is fresh; 0 = until it is purged"
    ),
    parameter!("stale", "milliseconds", 0.0, 1e9, stale_grace, "how long a stale copy may still be served"),
    parameter!(flag "siblings", sibling_fill, "whether caches may fill from each other, 0 or 1"),
    parameter!(flag "joins", coalesce_fills, "whether requests join a fill in progress, 0 or 1"),
    parameter!(flag "direct", bypass_caches, "whether routers may bypass the caches, 0 or 1"),
    parameter!(
        flag "told", report_outcome_detail,
        "whether responses report to routers how they were produced, 0 or 1"
    ),
    parameter!(integer "attempts", u32, 1.0, 16.0, max_attempts, "maximum number of attempts of a request"),
    parameter!(
        "cache_able",
        "requests a second",
        0.0,
        1e7,
        cache_throughput,
        "throughput of a warm cache; 0 = a cold cache never crashes"
    ),
    parameter!(
        "parent_able",
        "requests a second",
        0.0,
        1e7,
        parent_throughput,
        "throughput of a warm parent; 0 = a cold parent never crashes"
    ),
    parameter!("away", "seconds", 0.0, 1e4, restart_delay, "time until a crashed cache or parent restarts"),
];

/// Parameters of `demand(...)`.
pub const DEMAND: &[Parameter<Plan>] = &[
    parameter!("rate", "requests a second", 0.001, 1e7, rate, "first requests of all clients"),
    parameter!("seconds", "seconds", 1.0, 1e5, seconds, "duration of the load"),
    parameter!(
        integer "parts", u32, 1.0, 10_000.0, parts,
        "parts that a client requests, one after the other"
    ),
    parameter!("bookings", "", 0.0, 1.0, booking_share, "share of clients that make a booking instead"),
    parameter!("wait", "milliseconds", 1.0, 1e6, client_timeout, "how long clients wait"),
    parameter!("aim", "milliseconds", 1.0, 1e6, latency_objective, "latency objective of clients"),
    parameter!(
        integer "again", u32, 0.0, 1_000.0, max_client_retries,
        "maximum number of client retries after a rejection"
    ),
    parameter!(
        flag "again_failed", retry_failed_requests,
        "whether clients also retry after a failure, 0 or 1"
    ),
    parameter!("pause", "milliseconds", 1.0, 1e6, retry_pause, "minimum pause before a client retry"),
    parameter!("backoff", "", 1.0, 10.0, retry_backoff, "factor by which each further pause is longer"),
    parameter!(
        flag "heed", respect_retry_after,
        "whether clients respect the retry-after of a rejection, 0 or 1"
    ),
    parameter!(
        "repeats",
        "",
        0.0,
        100.0,
        retry_budget,
        "client retries allowed per first request; 0 = unlimited"
    ),
    parameter!(integer "objects", u64, 1.0, 1e12, demand.objects, "number of objects"),
    parameter!("skew", "", 0.0, 10.0, demand.skew, "exponent of the Zipf distribution"),
    parameter!(
        integer "drift", u64, 0.0, 1e13, demand.drift_period,
        "microseconds until the popularity ranking has rotated once; 0 = never"
    ),
    parameter!("size", "bytes", 1.0, 1e9, demand.median_size, "median size of an object's part"),
    parameter!("spread", "", 0.0, 4.0, demand.size_sigma, "standard deviation of the logarithm of the sizes"),
];

/// The parameters of all tables.
pub fn all() -> impl Iterator<Item = &'static Parameter<Plan>> {
    FLEET.iter().chain(HIERARCHY).chain(SITES).chain(DEMAND)
}

/// Finds a parameter by its name in any table.
pub fn find(name: &str) -> Option<&'static Parameter<Plan>> {
    all().find(|parameter| parameter.name == name)
}

/// Writes a plan as an experiment file: all values that differ from the defaults, and the faults.
pub fn write_plan(plan: &Plan, description: &str) -> String {
    let defaults = Plan::default();
    let mut text: String = description.lines().map(|line| format!("# {line}\n")).collect();
    for (function, parameters) in
        [("fleet", FLEET), ("hierarchy", HIERARCHY), ("sites", SITES), ("demand", DEMAND)]
    {
        let differs = |parameter: &&Parameter<Plan>| (parameter.get)(plan) != (parameter.get)(&defaults);
        let arguments: Vec<String> = parameters
            .iter()
            .filter(differs)
            .map(|parameter| format!("{} = {}", parameter.name, faults::format_number((parameter.get)(plan))))
            .collect();
        if !arguments.is_empty() {
            text += &format!("{function}({})\n", arguments.join(", "));
        }
    }
    for (at, fault) in &plan.faults {
        let (kind, target, number) = faults::arguments(fault);
        let target = target.map_or(String::new(), |(name, n)| format!(", {name} = {n}"));
        let number =
            number.map_or(String::new(), |(name, v)| format!(", {name} = {}", faults::format_number(v)));
        text += &format!("fault(at = {}, kind = {kind:?}{target}{number})\n", faults::format_number(*at));
    }
    let policy = ROUTING_POLICIES
        .iter()
        .find(|(_, policy)| *policy == plan.routing_policy)
        .map_or(plan.routing_policy.name(), |(name, _)| name);
    text += &format!("variant({policy:?}, way = {policy:?})\nseed({})\njudge()\n", plan.seed);
    text
}
