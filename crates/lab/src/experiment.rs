//! Owns the file of an experiment, in Starlark: a fleet, a load, faults, the variants that are compared, the seeds.
//!
//! Must never run anything: it gives a whole, checked experiment or one error with its place.

use std::cell::RefCell;

use linnethook_model::plain::Way;
use linnethook_model::world::{Fault, Plan};
use linnethook_operator::arguments::Arguments;
use linnethook_operator::knobs::Knob;
use linnethook_operator::script::run;
use linnethook_operator::{Bounds, Wrong};
use starlark::collections::SmallMap;
use starlark::environment::GlobalsBuilder;
use starlark::starlark_module;
use starlark::values::none::NoneType;
use starlark::values::Value;

/// What is played.
#[derive(Debug, Clone, PartialEq)]
pub struct Experiment {
    pub plan: Plan,
    /// The first is what the others are compared with.
    pub variants: Vec<(String, Way)>,
    pub seeds: u64,
}

thread_local! {
    static COLLECTED: RefCell<Option<Experiment>> = const { RefCell::new(None) };
}

macro_rules! knob {
    ($name:literal, $unit:literal, $least:expr, $most:expr, $($place:ident).+, $about:literal) => {
        Knob {
            name: $name,
            about: $about,
            unit: $unit,
            least: $least,
            most: $most,
            whole: false,
            scale: 1.0,
            get: |plan: &Plan| plan.$($place).+,
            set: |plan: &mut Plan, value| plan.$($place).+ = value,
        }
    };
    (whole $name:literal, $kind:ty, $least:expr, $most:expr, $($place:ident).+, $about:literal) => {
        Knob {
            name: $name,
            about: $about,
            unit: "",
            least: $least,
            most: $most,
            whole: true,
            scale: 1.0,
            get: |plan: &Plan| plan.$($place).+ as f64,
            set: |plan: &mut Plan, value| plan.$($place).+ = value as $kind,
        }
    };
}

/// What `fleet(...)` sets.
const FLEET: &[Knob<Plan>] = &[
    knob!(whole "locations", usize, 1.0, 1_000.0, locations, "locations"),
    knob!(whole "routers", usize, 1.0, 1_000.0, routers, "routers of each"),
    knob!(whole "caches", usize, 1.0, 1_000.0, caches, "caches of each"),
    knob!(whole "parents", usize, 0.0, 1_000.0, parents, "parents that all share"),
    knob!(whole "cache_copies", usize, 0.0, 1e8, cache_copies, "copies that a cache keeps"),
    knob!(whole "parent_copies", usize, 0.0, 1e8, parent_copies, "copies that a parent keeps"),
    knob!(whole "slots", usize, 1.0, 1e6, slots, "requests that a server takes at a time"),
    knob!("flow", "bytes a second", 1e3, 1e12, flow, "what one transfer may have"),
    knob!("cache_link", "bytes a second", 1e3, 1e12, cache_link, "a cache's link to its clients"),
    knob!("location_link", "bytes a second", 1e3, 1e12, location_link, "a location's link for fills"),
    knob!("origin_link", "bytes a second", 1e3, 1e12, origin_link, "the link of parents and the origin"),
    knob!("near", "milliseconds", 0.0, 1e4, near, "one way within a location"),
    knob!("far", "milliseconds", 0.0, 1e4, far, "one way to the hub"),
    knob!("origin_takes", "milliseconds", 0.0, 1e5, origin_takes, "how long the origin takes for one"),
    knob!(whole "origin_easy", usize, 1.0, 1e6, origin_easy, "how many it has in hand before that grows"),
    knob!("list_late", "milliseconds", 0.0, 1e6, list_late, "how late routers hear of a change"),
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
const LOAD: &[Knob<Plan>] = &[
    knob!("rate", "requests a second", 0.001, 1e7, rate, "in all"),
    knob!("seconds", "seconds", 1.0, 1e5, seconds, "for how long"),
    knob!("wait", "milliseconds", 1.0, 1e6, wait, "how long clients wait"),
    knob!("aim", "milliseconds", 1.0, 1e6, aim, "within what they want their answer"),
    knob!(whole "again", u32, 0.0, 100.0, again, "how often they come again when refused"),
    knob!(whole "objects", u64, 1.0, 1e12, demand.objects, "objects"),
    knob!("skew", "", 0.0, 10.0, demand.skew, "Zipf's exponent"),
    knob!("size", "bytes", 1.0, 1e9, demand.size, "of an object's part at the median"),
    knob!("spread", "", 0.0, 4.0, demand.spread, "of the logarithm of the sizes"),
];

fn collect(put: impl FnOnce(&mut Experiment) -> anyhow::Result<()>) -> anyhow::Result<NoneType> {
    COLLECTED.with_borrow_mut(|experiment| match experiment {
        Some(experiment) => put(experiment).map(|()| NoneType),
        None => Err(anyhow::anyhow!("a call outside of a file")),
    })
}

#[starlark_module]
fn functions(builder: &mut GlobalsBuilder) {
    /// The fleet.
    fn fleet<'v>(#[starlark(kwargs)] given: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("fleet()", given);
        collect(|experiment| arguments.knobs(FLEET, &mut experiment.plan).and_then(|()| arguments.end()))
    }

    /// What is asked for.
    fn demand<'v>(#[starlark(kwargs)] given: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("demand()", given);
        collect(|experiment| arguments.knobs(LOAD, &mut experiment.plan).and_then(|()| arguments.end()))
    }

    /// What befalls a server at a time: `at` in seconds, `server` counted from the caches on, `times` for slow.
    fn fault<'v>(#[starlark(kwargs)] given: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("fault()", given);
        let missing = |what: &str| anyhow::anyhow!("fault(): {what} is missing");
        let at = arguments.number("at", (0.0, 1e5), false)?.ok_or_else(|| missing("at"))?;
        let server = arguments.number("server", (0.0, 1e6), true)?.ok_or_else(|| missing("server"))? as usize;
        let times = arguments.number("times", (0.01, 1e4), false)?.unwrap_or(10.0);
        let kinds = [
            ("die", Fault::Die(server)),
            ("start", Fault::Start(server)),
            ("silent", Fault::Silent(server, true)),
            ("heard", Fault::Silent(server, false)),
            ("slow", Fault::Slow(server, times)),
            ("drain", Fault::Drain(server)),
        ];
        let kind = arguments.one_of("kind", &kinds)?.ok_or_else(|| missing("kind"))?;
        arguments.end()?;
        collect(|experiment| {
            experiment.plan.faults.push((at, kind));
            Ok(())
        })
    }

    /// A way to decide under a name.
    fn variant<'v>(
        name: &str,
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("variant()", given);
        let bound = arguments.number("bound", (1.0, 100.0), false)?.unwrap_or(1.25);
        let ways = [
            ("shipped", Way::Shipped),
            ("random", Way::Random),
            ("least in flight", Way::LeastInFlight),
            ("hash", Way::Hash),
            ("bounded hash", Way::BoundedHash(bound)),
        ];
        let way = arguments.one_of("way", &ways)?.unwrap_or(Way::Shipped);
        arguments.end()?;
        let name = name.to_string();
        collect(|experiment| {
            if experiment.variants.iter().any(|(known, _)| *known == name) {
                return Err(anyhow::anyhow!("variant(): {name:?} is a variant already"));
            }
            experiment.variants.push((name, way));
            Ok(())
        })
    }

    /// How many seeds each variant is played with.
    fn seeds(count: i32) -> anyhow::Result<NoneType> {
        if !(1..=100_000).contains(&count) {
            return Err(anyhow::anyhow!("seeds(): expected a whole number from 1 to 100000, got {count}"));
        }
        collect(|experiment| {
            experiment.seeds = count as u64;
            Ok(())
        })
    }
}

/// Reads a file's text.
pub fn read(file: &str, text: &str) -> Result<Experiment, Wrong> {
    let globals = GlobalsBuilder::standard().with(functions).build();
    COLLECTED.set(Some(Experiment { plan: Plan::default(), variants: Vec::new(), seeds: 5 }));
    let outcome = run(&globals, file, text, &Bounds::default());
    let experiment = COLLECTED.take();
    outcome?;
    let wrong = |what: &str| Wrong { file: file.to_string(), at: None, what: what.to_string() };
    let mut experiment = experiment.ok_or_else(|| wrong("nothing was collected"))?;
    if experiment.variants.is_empty() {
        experiment.variants = Way::ALL.into_iter().map(|way| (way.name().to_string(), way)).collect();
    }
    let servers = experiment.plan.locations * experiment.plan.caches + experiment.plan.parents + 1;
    let server = |fault: &Fault| match fault {
        Fault::Die(n) | Fault::Start(n) | Fault::Silent(n, _) | Fault::Slow(n, _) | Fault::Drain(n) => *n,
    };
    if let Some((_, fault)) = experiment.plan.faults.iter().find(|(_, fault)| server(fault) >= servers) {
        let what = format!("fault(): server: expected 0 to {}, got {}", servers - 1, server(fault));
        return Err(wrong(&what));
    }
    Ok(experiment)
}
