//! Owns the tables of what a file may set of a fleet and its load, and the writing of a plan as a file.
//!
//! Must never hold a default: those are the model's.

use linnethook_model::plan::{Plan, Sites, Tiers};
use linnethook_operator::knobs::Knob;

use crate::experiment::WAYS;
use crate::faults;

/// A setting in the package's own unit.
const fn plain(
    name: &'static str,
    about: &'static str,
    unit: &'static str,
    (least, most): (f64, f64),
    whole: bool,
    get: fn(&Plan) -> f64,
    set: fn(&mut Plan, f64),
) -> Knob<Plan> {
    Knob { name, about, unit, least, most, whole, scale: 1.0, get, set }
}

macro_rules! knob {
    ($name:literal, $unit:literal, $least:expr, $most:expr, $($place:ident).+, $about:literal) => {
        plain($name, $about, $unit, ($least, $most), false, |plan: &Plan| plan.$($place).+, |plan: &mut Plan, value| plan.$($place).+ = value)
    };
    (whole $name:literal, $kind:ty, $least:expr, $most:expr, $($place:ident).+, $about:literal) => {
        plain($name, $about, "", ($least, $most), true, |plan: &Plan| plan.$($place).+ as f64, |plan: &mut Plan, value| plan.$($place).+ = value as $kind)
    };
    (flag $name:literal, $place:ident, $about:literal) => {
        plain($name, $about, "", (0.0, 1.0), true, |plan: &Plan| f64::from(u8::from(plan.$place)), |plan: &mut Plan, value| plan.$place = value > 0.5)
    };
}

fn tiers(plan: &Plan) -> Tiers {
    plan.tiers.unwrap_or_default()
}

macro_rules! tier {
    ($name:literal, $unit:literal, $whole:literal, $most:expr, $get:expr, $set:expr, $about:literal) => {
        plain(
            $name,
            $about,
            $unit,
            (0.0, $most),
            $whole,
            |plan: &Plan| ($get)(tiers(plan)),
            |plan: &mut Plan, value| ($set)(plan.tiers.get_or_insert_default(), value),
        )
    };
}

/// What `hierarchy(...)` sets: routers then have the shipped one.
pub const TIERS: &[Knob<Plan>] = &[
    Knob {
        name: "hierarchy",
        about: "whether routers have one, 0 or 1",
        unit: "",
        least: 0.0,
        most: 1.0,
        whole: true,
        scale: 1.0,
        get: |plan: &Plan| f64::from(u8::from(plan.tiers.is_some())),
        set: |plan: &mut Plan, value| plan.tiers = (value > 0.5).then(|| tiers(plan)),
    },
    tier!(
        "staged",
        "",
        true,
        1.0,
        |t: Tiers| f64::from(u8::from(t.staged)),
        |t: &mut Tiers, v| t.staged = v > 0.5,
        "whether children go over by stages, 0 or 1"
    ),
    tier!(
        "shielded",
        "",
        true,
        1.0,
        |t: Tiers| f64::from(u8::from(t.shielded)),
        |t: &mut Tiers, v| t.shielded = v > 0.5,
        "whether fills pass the shield, 0 or 1"
    ),
    tier!(
        "announce",
        "milliseconds",
        false,
        1e7,
        |t: Tiers| t.announce,
        |t: &mut Tiers, v| t.announce = v,
        "how long a change is told before it begins"
    ),
    tier!(
        "warm",
        "milliseconds",
        false,
        1e7,
        |t: Tiers| t.warm,
        |t: &mut Tiers, v| t.warm = v,
        "from the first objects to all of them"
    ),
    tier!(
        "settle",
        "milliseconds",
        false,
        1e7,
        |t: Tiers| t.settle,
        |t: &mut Tiers, v| t.settle = v,
        "how long the old source is still asked for what it holds"
    ),
    tier!(
        "homes",
        "",
        true,
        1_000.0,
        |t: Tiers| t.homes as f64,
        |t: &mut Tiers, v| t.homes = (v as usize).max(1),
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
            false,
            |plan: &Plan| plan.sites.unwrap_or_default().$place,
            |plan: &mut Plan, value| plan.sites.get_or_insert_default().$place = value,
        )
    };
}

/// What `sites(...)` sets: the locations are two sites, and their routers gateways.
pub const SITES: &[Knob<Plan>] = &[
    Knob {
        name: "sites",
        about: "whether there are two, 0 or 1",
        unit: "",
        least: 0.0,
        most: 1.0,
        whole: true,
        scale: 1.0,
        get: |plan: &Plan| f64::from(u8::from(plan.sites.is_some())),
        set: |plan: &mut Plan, value| {
            plan.sites = (value > 0.5).then(|| -> Sites { plan.sites.unwrap_or_default() });
        },
    },
    site!("link_delay", "milliseconds", 0.0, 1e4, delay, "one way between the sites"),
    site!(
        "link_carries",
        "bytes a second",
        1e3,
        1e12,
        carries,
        "in each direction, for all gateways together"
    ),
    site!("fresh", "milliseconds", 0.0, 1e6, fresh, "how new what is known of the other side must be"),
];

/// What `fleet(...)` sets.
pub const FLEET: &[Knob<Plan>] = &[
    knob!(whole "locations", usize, 1.0, 1_000.0, locations, "locations"),
    knob!(whole "routers", usize, 1.0, 1_000.0, routers, "routers of each"),
    knob!(whole "caches", usize, 1.0, 1_000.0, caches, "caches of each"),
    knob!(whole "parents", usize, 0.0, 1_000.0, parents, "parents that all share"),
    knob!(whole "tops", usize, 0.0, 1_000.0, tops, "parents of the parents"),
    knob!(whole "spare", usize, 0.0, 1_000.0, spare, "caches of each that only a fault starts"),
    knob!(whole "cache_copies", usize, 0.0, 1e8, cache_copies, "copies that a cache keeps"),
    knob!(whole "parent_copies", usize, 0.0, 1e8, parent_copies, "copies that a parent keeps"),
    knob!(whole "slots", usize, 1.0, 1e6, slots, "requests that a server takes at a time"),
    knob!(whole "fills", usize, 0.0, 1e6, fills, "fills that a cache takes at a time; 0 = any number"),
    knob!(flag "filled", filled, "whether parents begin with what is asked for most, 0 or 1"),
    knob!("flow", "bytes a second", 1e3, 1e12, flow, "what one transfer may have"),
    knob!("cache_link", "bytes a second", 1e3, 1e12, cache_link, "a cache's link to its clients"),
    knob!("location_link", "bytes a second", 1e3, 1e12, location_link, "a location's link for fills"),
    knob!("origin_link", "bytes a second", 1e3, 1e12, origin_link, "the link of parents and the origin"),
    knob!("near", "milliseconds", 0.0, 1e4, near, "one way within a location"),
    knob!("far", "milliseconds", 0.0, 1e4, far, "one way to the hub"),
    knob!("origin_takes", "milliseconds", 0.0, 1e5, origin_takes, "how long the origin takes for one"),
    knob!(whole "origin_easy", usize, 1.0, 1e6, origin_easy, "how many it has in hand before that grows"),
    knob!(whole "origin_bears", usize, 0.0, 1e6, origin_bears, "with more in hand it falls over; 0 = never"),
    knob!("origin_away", "seconds", 0.0, 1e4, origin_away, "for how long then"),
    knob!("list_late", "milliseconds", 0.0, 1e6, list_late, "how late routers hear of a change"),
    knob!(
        "report_every",
        "milliseconds",
        0.0,
        1e6,
        report_every,
        "how often servers take stock of their load; 0 = never"
    ),
    knob!("fresh", "milliseconds", 0.0, 1e9, fresh, "how long a copy is fresh; 0 = until it is purged"),
    knob!("stale", "milliseconds", 0.0, 1e9, stale, "how long past that it may be served"),
    knob!(flag "siblings", siblings, "whether caches may fill from each other, 0 or 1"),
    knob!(flag "joins", joins, "whether requests join a fill that is under way, 0 or 1"),
    knob!(flag "direct", direct, "whether routers may go past the caches, 0 or 1"),
    knob!(flag "told", told, "whether routers are told how answers came about, 0 or 1"),
    knob!(whole "attempts", u32, 1.0, 16.0, attempts, "attempts that a request may have"),
    knob!(
        "cache_able",
        "requests a second",
        0.0,
        1e7,
        cache_able,
        "what a warm cache can do; 0 = a cold one never falls"
    ),
    knob!("parent_able", "requests a second", 0.0, 1e7, parent_able, "the same of a parent"),
    knob!("away", "seconds", 0.0, 1e4, away, "how long one that fell over is away"),
];

/// What `demand(...)` sets.
pub const LOAD: &[Knob<Plan>] = &[
    knob!("rate", "requests a second", 0.001, 1e7, rate, "clients' first ones, in all"),
    knob!("seconds", "seconds", 1.0, 1e5, seconds, "for how long"),
    knob!(whole "parts", u32, 1.0, 10_000.0, parts, "parts that a client asks for, one after the other"),
    knob!("bookings", "", 0.0, 1.0, bookings, "the part of clients that book instead"),
    knob!("wait", "milliseconds", 1.0, 1e6, wait, "how long clients wait"),
    knob!("aim", "milliseconds", 1.0, 1e6, aim, "within what they want their answer"),
    knob!(whole "again", u32, 0.0, 1_000.0, again, "how often they come again when refused"),
    knob!(flag "again_failed", again_failed, "whether they do after a failure too, 0 or 1"),
    knob!("pause", "milliseconds", 1.0, 1e6, pause, "how long they pause at the least"),
    knob!("backoff", "", 1.0, 10.0, backoff, "so many times as long each time"),
    knob!(flag "heed", heed, "whether they wait for as long as they are told, 0 or 1"),
    knob!(
        "repeats",
        "",
        0.0,
        100.0,
        repeats,
        "repeats that clients may ask for by first request; 0 = any number"
    ),
    knob!(whole "objects", u64, 1.0, 1e12, demand.objects, "objects"),
    knob!("skew", "", 0.0, 10.0, demand.skew, "Zipf's exponent"),
    knob!(whole "drift", u64, 0.0, 1e13, demand.drift, "microseconds in which the order of popularity goes round; 0 = never"),
    knob!("size", "bytes", 1.0, 1e9, demand.size, "of an object's part at the median"),
    knob!("spread", "", 0.0, 4.0, demand.spread, "of the logarithm of the sizes"),
];

/// Settings of all tables.
pub fn all() -> impl Iterator<Item = &'static Knob<Plan>> {
    FLEET.iter().chain(TIERS).chain(SITES).chain(LOAD)
}

/// A setting by its name, of any table.
pub fn find(name: &str) -> Option<&'static Knob<Plan>> {
    all().find(|knob| knob.name == name)
}

/// A plan as a file: what differs from the defaults, and the faults.
pub fn written(plan: &Plan, about: &str) -> String {
    let plain = Plan::default();
    let mut text: String = about.lines().map(|line| format!("# {line}\n")).collect();
    for (function, knobs) in [("fleet", FLEET), ("hierarchy", TIERS), ("sites", SITES), ("demand", LOAD)] {
        let differs = |knob: &&Knob<Plan>| (knob.get)(plan) != (knob.get)(&plain);
        let given: Vec<String> = knobs
            .iter()
            .filter(differs)
            .map(|knob| format!("{} = {}", knob.name, faults::rounded((knob.get)(plan))))
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
    let way = WAYS.iter().find(|(_, way)| *way == plan.way).map_or(plan.way.name(), |(word, _)| word);
    text += &format!("variant({way:?}, way = {way:?})\nseed({})\njudge()\n", plan.seed);
    text
}
