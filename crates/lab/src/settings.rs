//! Owns the tables of what a file may set of a fleet and its load, and the writing of a plan as a file.
//!
//! Must never hold a default: those are the model's.

use linnethook_model::plan::{HierarchyPlan, Plan, SitesPlan};
use linnethook_operator_config::arguments::NumberKind;
use linnethook_operator_config::parameters::{Parameter, Unit};

use crate::experiment::WAYS;
use crate::faults;

/// A setting in the package's own unit.
const fn plain(
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
    ($name:literal, $unit:literal, $least:expr, $most:expr, $($place:ident).+, $about:literal) => {
        plain($name, $about, $unit, ($least, $most), NumberKind::Real, |plan: &Plan| plan.$($place).+, |plan: &mut Plan, value| plan.$($place).+ = value)
    };
    (whole $name:literal, $kind:ty, $least:expr, $most:expr, $($place:ident).+, $about:literal) => {
        plain($name, $about, "", ($least, $most), NumberKind::Integer, |plan: &Plan| plan.$($place).+ as f64, |plan: &mut Plan, value| plan.$($place).+ = value as $kind)
    };
    (flag $name:literal, $place:ident, $about:literal) => {
        plain($name, $about, "", (0.0, 1.0), NumberKind::Integer, |plan: &Plan| f64::from(u8::from(plan.$place)), |plan: &mut Plan, value| plan.$place = value > 0.5)
    };
}

fn tiers(plan: &Plan) -> HierarchyPlan {
    plan.hierarchy.unwrap_or_default()
}

macro_rules! tier {
    ($name:literal, $unit:literal, $kind:ident, $most:expr, $get:expr, $set:expr, $about:literal) => {
        plain(
            $name,
            $about,
            $unit,
            (0.0, $most),
            NumberKind::$kind,
            |plan: &Plan| ($get)(tiers(plan)),
            |plan: &mut Plan, value| ($set)(plan.hierarchy.get_or_insert_default(), value),
        )
    };
}

/// What `hierarchy(...)` sets: routers then have the shipped one.
pub const TIERS: &[Parameter<Plan>] = &[
    Parameter {
        name: "hierarchy",
        description: "whether routers have one, 0 or 1",
        unit: Unit { name: "", scale: 1.0 },
        min: 0.0,
        max: 1.0,
        kind: NumberKind::Integer,
        get: |plan: &Plan| f64::from(u8::from(plan.hierarchy.is_some())),
        set: |plan: &mut Plan, value| plan.hierarchy = (value > 0.5).then(|| tiers(plan)),
    },
    tier!(
        "staged",
        "",
        Integer,
        1.0,
        |t: HierarchyPlan| f64::from(u8::from(t.staged)),
        |t: &mut HierarchyPlan, v| t.staged = v > 0.5,
        "whether children go over by stages, 0 or 1"
    ),
    tier!(
        "shielded",
        "",
        Integer,
        1.0,
        |t: HierarchyPlan| f64::from(u8::from(t.shielded)),
        |t: &mut HierarchyPlan, v| t.shielded = v > 0.5,
        "whether fills pass the shield, 0 or 1"
    ),
    tier!(
        "announce",
        "milliseconds",
        Real,
        1e7,
        |t: HierarchyPlan| t.announcement,
        |t: &mut HierarchyPlan, v| t.announcement = v,
        "how long a change is told before it begins"
    ),
    tier!(
        "warm",
        "milliseconds",
        Real,
        1e7,
        |t: HierarchyPlan| t.ramp_duration,
        |t: &mut HierarchyPlan, v| t.ramp_duration = v,
        "from the first objects to all of them"
    ),
    tier!(
        "settle",
        "milliseconds",
        Real,
        1e7,
        |t: HierarchyPlan| t.settling_time,
        |t: &mut HierarchyPlan, v| t.settling_time = v,
        "how long the old source is still asked for what it holds"
    ),
    tier!(
        "homes",
        "",
        Integer,
        1_000.0,
        |t: HierarchyPlan| t.home_parents as f64,
        |t: &mut HierarchyPlan, v| t.home_parents = (v as usize).max(1),
        "the first so many parents are homes of locations in turn"
    ),
];

macro_rules! site {
    ($name:literal, $unit:literal, $least:expr, $most:expr, $place:ident, $about:literal) => {
        plain(
            $name,
            $about,
            $unit,
            ($least, $most),
            NumberKind::Real,
            |plan: &Plan| plan.sites.unwrap_or_default().$place,
            |plan: &mut Plan, value| plan.sites.get_or_insert_default().$place = value,
        )
    };
}

/// What `sites(...)` sets: the locations are two sites, and their routers gateways.
pub const SITES: &[Parameter<Plan>] = &[
    Parameter {
        name: "sites",
        description: "whether there are two, 0 or 1",
        unit: Unit { name: "", scale: 1.0 },
        min: 0.0,
        max: 1.0,
        kind: NumberKind::Integer,
        get: |plan: &Plan| f64::from(u8::from(plan.sites.is_some())),
        set: |plan: &mut Plan, value| {
            plan.sites = (value > 0.5).then(|| -> SitesPlan { plan.sites.unwrap_or_default() });
        },
    },
    site!("link_delay", "milliseconds", 0.0, 1e4, delay, "one way between the sites"),
    site!(
        "link_carries",
        "bytes a second",
        1e3,
        1e12,
        bandwidth,
        "in each direction, for all gateways together"
    ),
    site!(
        "fresh",
        "milliseconds",
        0.0,
        1e6,
        max_state_delay,
        "how new what is known of the other side must be"
    ),
];

/// What `fleet(...)` sets.
pub const FLEET: &[Parameter<Plan>] = &[
    parameter!(whole "locations", usize, 1.0, 1_000.0, locations, "locations"),
    parameter!(whole "routers", usize, 1.0, 1_000.0, routers, "routers of each"),
    parameter!(whole "caches", usize, 1.0, 1_000.0, caches, "caches of each"),
    parameter!(whole "parents", usize, 0.0, 1_000.0, parents, "parents that all share"),
    parameter!(whole "tops", usize, 0.0, 1_000.0, top_parents, "parents of the parents"),
    parameter!(whole "spare", usize, 0.0, 1_000.0, spare_caches, "caches of each that only a fault starts"),
    parameter!(whole "cache_copies", usize, 0.0, 1e8, cache_copies, "copies that a cache keeps"),
    parameter!(whole "parent_copies", usize, 0.0, 1e8, parent_copies, "copies that a parent keeps"),
    parameter!(
        whole "slots", usize, 1.0, 1e6, max_requests_per_server,
        "requests that a server takes at a time"
    ),
    parameter!(
        whole "fills", usize, 0.0, 1e6, max_fills_per_cache,
        "fills that a cache takes at a time; 0 = any number"
    ),
    parameter!(
        flag "filled", home_parents_prefilled,
        "whether parents begin with what is asked for most, 0 or 1"
    ),
    parameter!("flow", "bytes a second", 1e3, 1e12, transfer_rate, "what one transfer may have"),
    parameter!("cache_link", "bytes a second", 1e3, 1e12, cache_link, "a cache's link to its clients"),
    parameter!("location_link", "bytes a second", 1e3, 1e12, location_link, "a location's link for fills"),
    parameter!("origin_link", "bytes a second", 1e3, 1e12, origin_link, "the link of parents and the origin"),
    parameter!("near", "milliseconds", 0.0, 1e4, local_delay, "one way within a location"),
    parameter!("far", "milliseconds", 0.0, 1e4, hub_delay, "one way to the hub"),
    parameter!(
        "origin_takes",
        "milliseconds",
        0.0,
        1e5,
        origin_service_time,
        "how long the origin takes for one"
    ),
    parameter!(
        whole "origin_easy", usize, 1.0, 1e6, origin_concurrency,
        "how many it has in hand before that grows"
    ),
    parameter!(
        whole "origin_bears", usize, 0.0, 1e6, origin_crash_limit,
        "with more in hand it falls over; 0 = never"
    ),
    parameter!("origin_away", "seconds", 0.0, 1e4, origin_restart_delay, "for how long then"),
    parameter!(
        "list_late",
        "milliseconds",
        0.0,
        1e6,
        endpoint_update_delay,
        "how late routers hear of a change"
    ),
    parameter!(
        "report_every",
        "milliseconds",
        0.0,
        1e6,
        load_report_interval,
        "how often servers take stock of their load; 0 = never"
    ),
    parameter!(
        "fresh",
        "milliseconds",
        0.0,
        1e9,
        freshness_lifetime,
        "how long a copy is fresh; 0 = until it is purged"
    ),
    parameter!("stale", "milliseconds", 0.0, 1e9, stale_grace, "how long past that it may be served"),
    parameter!(flag "siblings", sibling_fill, "whether caches may fill from each other, 0 or 1"),
    parameter!(flag "joins", coalesce_fills, "whether requests join a fill that is under way, 0 or 1"),
    parameter!(flag "direct", bypass_caches, "whether routers may go past the caches, 0 or 1"),
    parameter!(flag "told", report_outcome_detail, "whether routers are told how answers came about, 0 or 1"),
    parameter!(whole "attempts", u32, 1.0, 16.0, max_attempts, "attempts that a request may have"),
    parameter!(
        "cache_able",
        "requests a second",
        0.0,
        1e7,
        cache_throughput,
        "what a warm cache can do; 0 = a cold one never falls"
    ),
    parameter!("parent_able", "requests a second", 0.0, 1e7, parent_throughput, "the same of a parent"),
    parameter!("away", "seconds", 0.0, 1e4, restart_delay, "how long one that fell over is away"),
];

/// What `demand(...)` sets.
pub const LOAD: &[Parameter<Plan>] = &[
    parameter!("rate", "requests a second", 0.001, 1e7, rate, "clients' first ones, in all"),
    parameter!("seconds", "seconds", 1.0, 1e5, seconds, "for how long"),
    parameter!(whole "parts", u32, 1.0, 10_000.0, parts, "parts that a client asks for, one after the other"),
    parameter!("bookings", "", 0.0, 1.0, booking_share, "the part of clients that book instead"),
    parameter!("wait", "milliseconds", 1.0, 1e6, client_timeout, "how long clients wait"),
    parameter!("aim", "milliseconds", 1.0, 1e6, latency_objective, "within what they want their answer"),
    parameter!(
        whole "again", u32, 0.0, 1_000.0, max_client_retries,
        "how often they come again when refused"
    ),
    parameter!(flag "again_failed", retry_failed_requests, "whether they do after a failure too, 0 or 1"),
    parameter!("pause", "milliseconds", 1.0, 1e6, retry_pause, "how long they pause at the least"),
    parameter!("backoff", "", 1.0, 10.0, retry_backoff, "so many times as long each time"),
    parameter!(flag "heed", respect_retry_after, "whether they wait for as long as they are told, 0 or 1"),
    parameter!(
        "repeats",
        "",
        0.0,
        100.0,
        retry_budget,
        "repeats that clients may ask for by first request; 0 = any number"
    ),
    parameter!(whole "objects", u64, 1.0, 1e12, demand.objects, "objects"),
    parameter!("skew", "", 0.0, 10.0, demand.skew, "Zipf's exponent"),
    parameter!(
        whole "drift", u64, 0.0, 1e13, demand.drift_period,
        "microseconds in which the order of popularity goes round; 0 = never"
    ),
    parameter!("size", "bytes", 1.0, 1e9, demand.median_size, "of an object's part at the median"),
    parameter!("spread", "", 0.0, 4.0, demand.size_sigma, "of the logarithm of the sizes"),
];

/// Settings of all tables.
pub fn all() -> impl Iterator<Item = &'static Parameter<Plan>> {
    FLEET.iter().chain(TIERS).chain(SITES).chain(LOAD)
}

/// A setting by its name, of any table.
pub fn find(name: &str) -> Option<&'static Parameter<Plan>> {
    all().find(|parameter| parameter.name == name)
}

/// A plan as a file: what differs from the defaults, and the faults.
pub fn written(plan: &Plan, about: &str) -> String {
    let plain = Plan::default();
    let mut text: String = about.lines().map(|line| format!("# {line}\n")).collect();
    for (function, parameters) in [("fleet", FLEET), ("hierarchy", TIERS), ("sites", SITES), ("demand", LOAD)]
    {
        let differs = |parameter: &&Parameter<Plan>| (parameter.get)(plan) != (parameter.get)(&plain);
        let given: Vec<String> = parameters
            .iter()
            .filter(differs)
            .map(|parameter| format!("{} = {}", parameter.name, faults::rounded((parameter.get)(plan))))
            .collect();
        if !given.is_empty() {
            text += &format!("{function}({})\n", given.join(", "));
        }
    }
    for (at, fault) in &plan.faults {
        let (word, place, number) = faults::parts(fault);
        let place = place.map_or(String::new(), |(name, n)| format!(", {name} = {n}"));
        let number = number.map_or(String::new(), |(name, v)| format!(", {name} = {}", faults::rounded(v)));
        text += &format!("fault(at = {}, kind = {word:?}{place}{number})\n", faults::rounded(*at));
    }
    let way = WAYS
        .iter()
        .find(|(_, way)| *way == plan.routing_policy)
        .map_or(plan.routing_policy.name(), |(word, _)| word);
    text += &format!("variant({way:?}, way = {way:?})\nseed({})\njudge()\n", plan.seed);
    text
}
