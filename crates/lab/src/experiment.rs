//! Owns the file of an experiment, in Starlark: a fleet, a load, faults, the variants that are compared, a sweep, seeds.
//!
//! Must never run anything: it gives a whole, checked experiment or one error with its place.

use std::cell::RefCell;

use linnethook_model::baselines::RoutingPolicy;
use linnethook_model::plan::{Fault, Plan};
use linnethook_operator_config::arguments::{Arguments, NumberKind};
use linnethook_operator_config::evaluation::run_script;
use linnethook_operator_config::{ConfigError, EvaluationLimits};
use starlark::collections::SmallMap;
use starlark::environment::GlobalsBuilder;
use starlark::starlark_module;
use starlark::values::list::ListRef;
use starlark::values::none::NoneType;
use starlark::values::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::faults::{Needs, KINDS};
use crate::settings::{all, find, FLEET, LOAD, SITES, TIERS};

/// A plan under a name.
#[derive(Debug, Clone, PartialEq)]
pub struct Variant {
    pub name: String,
    pub plan: Plan,
}

/// One setting at several values.
#[derive(Debug, Clone, PartialEq)]
pub struct Sweep {
    pub setting: String,
    pub values: Vec<f64>,
    /// Settings that grow with it, in the same proportion.
    pub with: Vec<String>,
}

impl Sweep {
    fn set(&self, plan: &mut Plan, value: f64) {
        let Some(parameter) = find(&self.setting) else { return };
        let times = value / (parameter.get)(plan);
        for other in self.with.iter().filter_map(|name| find(name)) {
            let grown = ((other.get)(plan) * times).clamp(other.min, other.max);
            let is_integer = other.kind == NumberKind::Integer;
            (other.set)(plan, if is_integer { grown.round() } else { grown });
        }
        (parameter.set)(plan, value);
    }
}

/// Troubles drawn from each run's seed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BadDays {
    pub troubles: usize,
    pub from: f64,
    pub to: f64,
}

/// What is played.
#[derive(Debug, Clone, PartialEq)]
pub struct Experiment {
    pub title: String,
    pub plan: Plan,
    /// The first is what the others are compared with.
    pub variants: Vec<Variant>,
    pub sweep: Option<Sweep>,
    pub bad_days: Option<BadDays>,
    /// Whether the record of each run is judged.
    pub judged: bool,
    /// The first seed, and how many.
    pub first: u64,
    pub seeds: u64,
}

/// One run of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Case {
    pub variant: String,
    /// The value of the setting that is swept.
    pub point: Option<f64>,
    pub plan: Plan,
}

impl Experiment {
    /// All runs: by point, within one by variant, within that by seed.
    pub fn cases(&self) -> Vec<Case> {
        let points: Vec<Option<f64>> = match &self.sweep {
            Some(sweep) => sweep.values.iter().copied().map(Some).collect(),
            None => vec![None],
        };
        let mut cases = Vec::new();
        for point in points {
            for variant in &self.variants {
                for seed in self.first..self.first + self.seeds {
                    let mut plan = Plan { seed, ..variant.plan.clone() };
                    if let (Some(sweep), Some(value)) = (&self.sweep, point) {
                        sweep.set(&mut plan, value);
                    }
                    if let Some(days) = self.bad_days {
                        plan.faults.extend(plan.random_faults(seed, days.troubles, days.from..days.to));
                    }
                    cases.push(Case { variant: variant.name.clone(), point, plan });
                }
            }
        }
        cases
    }

    /// What tells this experiment from another: all its plans.
    pub fn mark(&self) -> String {
        let of = (&self.variants, &self.sweep, &self.bad_days, self.judged);
        format!("{:016x}", xxh3_64(format!("{of:?}").as_bytes()))
    }
}

pub const WAYS: &[(&str, RoutingPolicy)] = &[
    ("shipped", RoutingPolicy::Shipped),
    ("random", RoutingPolicy::Random),
    ("least in flight", RoutingPolicy::LeastInFlight),
    ("hash", RoutingPolicy::Hash),
    ("bounded hash", RoutingPolicy::BoundedHash(1.25)),
];

thread_local! {
    static COLLECTED: RefCell<Option<Experiment>> = const { RefCell::new(None) };
}

fn collect(put: impl FnOnce(&mut Experiment) -> anyhow::Result<()>) -> anyhow::Result<NoneType> {
    COLLECTED.with_borrow_mut(|experiment| match experiment {
        Some(experiment) => put(experiment).map(|()| NoneType),
        None => Err(anyhow::anyhow!("a call outside of a file")),
    })
}

type Given<'v> = SmallMap<String, Value<'v>>;

/// What all variants have in common is said before the first of them.
fn common(function: &'static str, experiment: &Experiment) -> anyhow::Result<()> {
    match experiment.variants.is_empty() {
        true => Ok(()),
        false => Err(anyhow::anyhow!("{function}: expected before the first variant()")),
    }
}

fn missing(function: &str, what: &str) -> anyhow::Error {
    anyhow::anyhow!("{function}: {what} is missing")
}

#[starlark_module]
fn functions(builder: &mut GlobalsBuilder) {
    /// What the experiment is called.
    fn title(text: &str) -> anyhow::Result<NoneType> {
        let text: String = text.chars().take(200).collect();
        collect(|experiment| {
            experiment.title = text;
            Ok(())
        })
    }

    /// The fleet.
    fn fleet<'v>(#[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("fleet()", given);
        collect(|experiment| {
            common("fleet()", experiment)?;
            arguments.parameters(FLEET, &mut experiment.plan).and_then(|()| arguments.finish())
        })
    }

    /// The hierarchy that all routers have.
    fn hierarchy<'v>(#[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("hierarchy()", given);
        collect(|experiment| {
            common("hierarchy()", experiment)?;
            experiment.plan.hierarchy.get_or_insert_default();
            arguments.parameters(TIERS, &mut experiment.plan).and_then(|()| arguments.finish())
        })
    }

    /// Two sites, whose routers are gateways to each other.
    fn sites<'v>(#[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("sites()", given);
        collect(|experiment| {
            common("sites()", experiment)?;
            experiment.plan.sites.get_or_insert_default();
            arguments.parameters(SITES, &mut experiment.plan).and_then(|()| arguments.finish())
        })
    }

    /// What is asked for.
    fn demand<'v>(#[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("demand()", given);
        collect(|experiment| {
            common("demand()", experiment)?;
            arguments.parameters(LOAD, &mut experiment.plan).and_then(|()| arguments.finish())
        })
    }

    /// From one second to another so large a part of all asks for one object.
    fn crowd<'v>(#[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("crowd()", given);
        let mut number = |name: &'static str, range, kind| {
            arguments.number(name, range, kind)?.ok_or_else(|| missing("crowd()", name))
        };
        let (from, to) = (
            number("from_second", 0.0..=1e5, NumberKind::Real)?,
            number("to_second", 0.0..=1e5, NumberKind::Real)?,
        );
        let (object, part) = (
            number("object", 0.0..=1e12, NumberKind::Integer)? as u64,
            number("part", 0.0..=1.0, NumberKind::Real)?,
        );
        arguments.finish()?;
        let (from, to) = ((from * 1e6) as u64, (to * 1e6) as u64);
        collect(|experiment| {
            common("crowd()", experiment)?;
            experiment.plan.flash_crowds.push(linnethook_model::demand::FlashCrowd {
                from,
                to,
                object,
                share: part,
            });
            Ok(())
        })
    }

    /// What befalls the fleet at a second.
    fn fault<'v>(#[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("fault()", given);
        let missing = |what: &str| missing("fault()", what);
        let at = arguments.number("at", 0.0..=1e5, NumberKind::Real)?.ok_or_else(|| missing("at"))?;
        let kinds: Vec<(&str, _)> = KINDS.iter().map(|kind| (kind.word, *kind)).collect();
        let kind = arguments.one_of("kind", &kinds)?.ok_or_else(|| missing("kind"))?;
        let mut place = |name: &'static str| {
            let place =
                arguments.number(name, 0.0..=1e6, NumberKind::Integer)?.ok_or_else(|| missing(name))?;
            anyhow::Ok(place as usize)
        };
        let place = match kind.needs {
            Needs::Server | Needs::ServerAnd(..) => place("server")?,
            Needs::Location => place("location")?,
            Needs::Parents => place("parent")?,
            Needs::Number(..) | Needs::Nothing => 0,
        };
        let number = match kind.needs {
            Needs::Number(name, least, most) | Needs::ServerAnd(name, least, most) => {
                let range = f64::from(least)..=f64::from(most);
                arguments.number(name, range, NumberKind::Real)?.ok_or_else(|| missing(name))?
            }
            Needs::Parents => {
                arguments.number("to", 0.0..=1e6, NumberKind::Integer)?.ok_or_else(|| missing("to"))?
            }
            Needs::Server | Needs::Location | Needs::Nothing => 0.0,
        };
        arguments.finish()?;
        collect(|experiment| {
            common("fault()", experiment)?;
            experiment.plan.faults.push((at, (kind.make)(place, number)));
            Ok(())
        })
    }

    /// Troubles drawn from each run's seed.
    fn bad_day<'v>(#[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("bad_day()", given);
        let troubles =
            arguments.number("troubles", 1.0..=1_000.0, NumberKind::Integer)?.unwrap_or(6.0) as usize;
        let from = arguments.number("from_second", 0.0..=1e5, NumberKind::Real)?.unwrap_or(5.0);
        let to = arguments.number("to_second", 0.0..=1e5, NumberKind::Real)?.unwrap_or(20.0);
        arguments.finish()?;
        if to <= from {
            return Err(anyhow::anyhow!("bad_day(): to_second: expected more than from_second, got {to}"));
        }
        collect(|experiment| {
            experiment.bad_days = Some(BadDays { troubles, from, to });
            Ok(())
        })
    }

    /// A way to decide, and what else differs, under a name.
    fn variant<'v>(name: &str, #[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("variant()", given);
        let bound = arguments.number("bound", 1.0..=100.0, NumberKind::Real)?;
        let way = arguments.one_of("way", WAYS)?.unwrap_or(RoutingPolicy::Shipped);
        let way = match (way, bound) {
            (RoutingPolicy::BoundedHash(_), Some(bound)) => RoutingPolicy::BoundedHash(bound),
            (_, Some(_)) => return Err(anyhow::anyhow!("variant(): bound is for \"bounded hash\" alone")),
            (way, None) => way,
        };
        let name = name.to_string();
        collect(|experiment| {
            if experiment.variants.iter().any(|known| known.name == name) {
                return Err(anyhow::anyhow!("variant(): {name:?} is a variant already"));
            }
            let mut plan = Plan { routing_policy: way, ..experiment.plan.clone() };
            arguments.parameters(FLEET, &mut plan)?;
            arguments.parameters(TIERS, &mut plan)?;
            arguments.parameters(SITES, &mut plan)?;
            arguments.parameters(LOAD, &mut plan)?;
            arguments.finish()?;
            experiment.variants.push(Variant { name, plan });
            Ok(())
        })
    }

    /// One setting at several values, `also` with others that grow in proportion: each variant is played with each.
    fn sweep<'v>(
        setting: &str,
        values: Value<'v>,
        #[starlark(kwargs)] given: Given<'v>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("sweep()", given);
        let with = arguments.names("also")?;
        let unknown = |name: &str| {
            let mut all: Vec<&str> = all().map(|parameter| parameter.name).collect();
            all.sort_unstable();
            anyhow::anyhow!("sweep(): there is no setting {name:?}; expected one of {}", all.join(", "))
        };
        let parameter = find(setting).ok_or_else(|| unknown(setting))?;
        if let Some(name) = with.iter().find(|name| find(name).is_none()) {
            return Err(unknown(name));
        }
        let list = ListRef::from_value(values).filter(|list| (1..=100).contains(&list.len()));
        let list = list
            .ok_or_else(|| arguments.invalid_value(parameter.name, "a list of 1 to 100 numbers", values))?;
        let number = |value| {
            let expected = parameter.expected();
            arguments.number_value(parameter.name, value, parameter.range(), parameter.kind, &expected)
        };
        let values: anyhow::Result<Vec<f64>> = list.iter().map(number).collect();
        let (setting, values) = (setting.to_string(), values?);
        arguments.finish()?;
        collect(|experiment| {
            if experiment.sweep.is_some() {
                return Err(anyhow::anyhow!("sweep(): there is one already"));
            }
            experiment.sweep = Some(Sweep { setting, values, with });
            Ok(())
        })
    }

    /// How many seeds each variant is played with, from 1 on.
    fn seeds(count: i32) -> anyhow::Result<NoneType> {
        if !(1..=100_000).contains(&count) {
            return Err(anyhow::anyhow!("seeds(): expected a whole number from 1 to 100000, got {count}"));
        }
        collect(|experiment| {
            (experiment.first, experiment.seeds) = (1, count as u64);
            Ok(())
        })
    }

    /// One seed and no other.
    fn seed(number: i32) -> anyhow::Result<NoneType> {
        let number = u64::try_from(number).map_err(|_| anyhow::anyhow!("seed(): expected 0 or more"))?;
        collect(|experiment| {
            (experiment.first, experiment.seeds) = (number, 1);
            Ok(())
        })
    }

    /// The record of each run is judged by the rules.
    fn judge() -> anyhow::Result<NoneType> {
        collect(|experiment| {
            experiment.judged = true;
            Ok(())
        })
    }
}

/// Reads a file's text.
pub fn read(file: &str, text: &str) -> Result<Experiment, ConfigError> {
    let globals = GlobalsBuilder::standard().with(functions).build();
    let title = file.rsplit('/').next().unwrap_or(file).trim_end_matches(".star").to_string();
    COLLECTED.set(Some(Experiment {
        title,
        plan: Plan::default(),
        variants: Vec::new(),
        sweep: None,
        bad_days: None,
        judged: false,
        first: 1,
        seeds: 5,
    }));
    let outcome = run_script(&globals, file, text, &EvaluationLimits::default());
    let experiment = COLLECTED.take();
    outcome?;
    let wrong = |message: &str| ConfigError::of_file(file, message);
    let mut experiment = experiment.ok_or_else(|| wrong("nothing was collected"))?;
    if experiment.variants.is_empty() {
        let all = RoutingPolicy::ALL.into_iter();
        let variant = |way: RoutingPolicy| Variant {
            name: way.name().to_string(),
            plan: Plan { routing_policy: way, ..experiment.plan.clone() },
        };
        experiment.variants = all.map(variant).collect();
    }
    for Case { plan, .. } in experiment.cases() {
        let servers = plan.servers();
        let server = |(_, fault): &(f64, Fault)| fault.server().filter(|n| *n >= servers);
        if let Some(n) = plan.faults.iter().find_map(server) {
            return Err(wrong(&format!("fault(): server: expected 0 to {}, got {n}", servers - 1)));
        }
        let location = |(_, fault): &(f64, Fault)| match fault {
            Fault::Partition(n, _) if *n >= plan.locations => Some(*n),
            _ => None,
        };
        if let Some(n) = plan.faults.iter().find_map(location) {
            let what = format!("fault(): location: expected 0 to {}, got {n}", plan.locations - 1);
            return Err(wrong(&what));
        }
        let parent = |(_, fault): &(f64, Fault)| match fault {
            Fault::Move(one, other) => Some(*one.max(other)).filter(|n| *n >= plan.parents),
            _ => None,
        };
        if let Some(n) = plan.faults.iter().find_map(parent) {
            return Err(wrong(&format!("fault(): parent: there are {}, got {n}", plan.parents)));
        }
        if plan.sites.is_some() && plan.locations < 2 {
            return Err(wrong("sites(): expected two locations or more"));
        }
        if plan.spare_caches >= plan.caches {
            return Err(wrong(&format!("fleet(): spare: expected less than caches, {}", plan.caches)));
        }
    }
    Ok(experiment)
}
