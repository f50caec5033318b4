//! Experiment files in Starlark: a fleet, a load, faults, the variants to compare, a sweep, and seeds.
//!
//! Reading a file runs nothing: it returns a complete, validated experiment, or one error with its position.

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

use crate::faults::{RequiredArguments, FAULT_KINDS};
use crate::settings::{all, find, DEMAND, FLEET, HIERARCHY, SITES};

/// A plan with a name.
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
    /// Parameters that are scaled in the same proportion.
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

/// Faults drawn at random from the seed of each run: their number, and the seconds between which they begin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BadDays {
    pub troubles: usize,
    pub from: f64,
    pub to: f64,
}

/// A validated experiment.
#[derive(Debug, Clone, PartialEq)]
pub struct Experiment {
    pub title: String,
    pub plan: Plan,
    /// The first one is the baseline of comparisons.
    pub variants: Vec<Variant>,
    pub sweep: Option<Sweep>,
    pub bad_days: Option<BadDays>,
    /// Whether the record of each run is checked against the rules.
    pub judged: bool,
    /// The first seed, and the number of seeds.
    pub first: u64,
    pub seeds: u64,
}

/// One run of an experiment.
#[derive(Debug, Clone, PartialEq)]
pub struct Case {
    pub variant: String,
    /// The value of the swept parameter.
    pub point: Option<f64>,
    pub plan: Plan,
}

impl Experiment {
    /// All runs, ordered by point, then variant, then seed.
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

    /// A hash of all plans, which identifies the experiment.
    pub fn digest(&self) -> String {
        let of = (&self.variants, &self.sweep, &self.bad_days, self.judged);
        format!("{:016x}", xxh3_64(format!("{of:?}").as_bytes()))
    }
}

/// The routing policies under the names that files give them.
pub const ROUTING_POLICIES: &[(&str, RoutingPolicy)] = &[
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
        None => Err(anyhow::anyhow!("called outside of an experiment file")),
    })
}

type Given<'v> = SmallMap<String, Value<'v>>;

/// Checks that a function for all variants is called before the first of them is defined.
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
    /// The title of the experiment.
    fn title(text: &str) -> anyhow::Result<NoneType> {
        let text: String = text.chars().take(200).collect();
        collect(|experiment| {
            experiment.title = text;
            Ok(())
        })
    }

    /// The servers, routers and links of the fleet.
    fn fleet<'v>(#[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("fleet()", given);
        collect(|experiment| {
            common("fleet()", experiment)?;
            arguments.parameters(FLEET, &mut experiment.plan).and_then(|()| arguments.finish())
        })
    }

    /// The hierarchy configured on all routers.
    fn hierarchy<'v>(#[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("hierarchy()", given);
        collect(|experiment| {
            common("hierarchy()", experiment)?;
            experiment.plan.hierarchy.get_or_insert_default();
            arguments.parameters(HIERARCHY, &mut experiment.plan).and_then(|()| arguments.finish())
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

    /// The requests of clients.
    fn demand<'v>(#[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("demand()", given);
        collect(|experiment| {
            common("demand()", experiment)?;
            arguments.parameters(DEMAND, &mut experiment.plan).and_then(|()| arguments.finish())
        })
    }

    /// Between two seconds, a share of all requests is for one object.
    fn crowd<'v>(#[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("crowd()", given);
        let mut number = |name: &'static str, range, kind| {
            arguments.number(name, range, kind)?.ok_or_else(|| missing("crowd()", name))
        };
        let (from, to) = (
            number("from_second", 0.0..=1e5, NumberKind::Real)?,
            number("to_second", 0.0..=1e5, NumberKind::Real)?,
        );
        let (object, share) = (
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
                share,
            });
            Ok(())
        })
    }

    /// A fault at a second of the run.
    fn fault<'v>(#[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("fault()", given);
        let missing = |what: &str| missing("fault()", what);
        let at = arguments.number("at", 0.0..=1e5, NumberKind::Real)?.ok_or_else(|| missing("at"))?;
        let kinds: Vec<(&str, _)> = FAULT_KINDS.iter().map(|kind| (kind.name, *kind)).collect();
        let kind = arguments.one_of("kind", &kinds)?.ok_or_else(|| missing("kind"))?;
        let mut target = |name: &'static str| {
            let target =
                arguments.number(name, 0.0..=1e6, NumberKind::Integer)?.ok_or_else(|| missing(name))?;
            anyhow::Ok(target as usize)
        };
        let target = match kind.required {
            RequiredArguments::Server | RequiredArguments::ServerAnd(..) => target("server")?,
            RequiredArguments::Location => target("location")?,
            RequiredArguments::Parents => target("parent")?,
            RequiredArguments::Number(..) | RequiredArguments::Nothing => 0,
        };
        let number = match kind.required {
            RequiredArguments::Number(name, least, most)
            | RequiredArguments::ServerAnd(name, least, most) => {
                let range = f64::from(least)..=f64::from(most);
                arguments.number(name, range, NumberKind::Real)?.ok_or_else(|| missing(name))?
            }
            RequiredArguments::Parents => {
                arguments.number("to", 0.0..=1e6, NumberKind::Integer)?.ok_or_else(|| missing("to"))?
            }
            RequiredArguments::Server | RequiredArguments::Location | RequiredArguments::Nothing => 0.0,
        };
        arguments.finish()?;
        collect(|experiment| {
            common("fault()", experiment)?;
            experiment.plan.faults.push((at, (kind.construct)(target, number)));
            Ok(())
        })
    }

    /// Faults drawn at random from the seed of each run.
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

    /// A routing policy and the parameters that differ, under a name.
    fn variant<'v>(name: &str, #[starlark(kwargs)] given: Given<'v>) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("variant()", given);
        let bound = arguments.number("bound", 1.0..=100.0, NumberKind::Real)?;
        let policy = arguments.one_of("way", ROUTING_POLICIES)?.unwrap_or(RoutingPolicy::Shipped);
        let policy = match (policy, bound) {
            (RoutingPolicy::BoundedHash(_), Some(bound)) => RoutingPolicy::BoundedHash(bound),
            (_, Some(_)) => return Err(anyhow::anyhow!("variant(): bound is for \"bounded hash\" alone")),
            (policy, None) => policy,
        };
        let name = name.to_string();
        collect(|experiment| {
            if experiment.variants.iter().any(|known| known.name == name) {
                return Err(anyhow::anyhow!("variant(): {name:?} is a variant already"));
            }
            let mut plan = Plan { routing_policy: policy, ..experiment.plan.clone() };
            arguments.parameters(FLEET, &mut plan)?;
            arguments.parameters(HIERARCHY, &mut plan)?;
            arguments.parameters(SITES, &mut plan)?;
            arguments.parameters(DEMAND, &mut plan)?;
            arguments.finish()?;
            experiment.variants.push(Variant { name, plan });
            Ok(())
        })
    }

    /// Runs each variant with several values of a parameter; the parameters in `also` are scaled in
    /// proportion.
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

    /// The number of seeds of each variant, beginning with 1.
    fn seeds(count: i32) -> anyhow::Result<NoneType> {
        if !(1..=100_000).contains(&count) {
            return Err(anyhow::anyhow!("seeds(): expected a whole number from 1 to 100000, got {count}"));
        }
        collect(|experiment| {
            (experiment.first, experiment.seeds) = (1, count as u64);
            Ok(())
        })
    }

    /// A single seed.
    fn seed(number: i32) -> anyhow::Result<NoneType> {
        let number = u64::try_from(number).map_err(|_| anyhow::anyhow!("seed(): expected 0 or more"))?;
        collect(|experiment| {
            (experiment.first, experiment.seeds) = (number, 1);
            Ok(())
        })
    }

    /// Checks the record of each run against the rules.
    fn judge() -> anyhow::Result<NoneType> {
        collect(|experiment| {
            experiment.judged = true;
            Ok(())
        })
    }
}

/// Reads an experiment from the text of a file.
///
/// # Errors
/// The first error of the file, with its position where there is one.
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
    let error = |message: &str| ConfigError::of_file(file, message);
    let mut experiment = experiment.ok_or_else(|| error("nothing was collected"))?;
    if experiment.variants.is_empty() {
        let all = RoutingPolicy::ALL.into_iter();
        let variant = |policy: RoutingPolicy| Variant {
            name: policy.name().to_string(),
            plan: Plan { routing_policy: policy, ..experiment.plan.clone() },
        };
        experiment.variants = all.map(variant).collect();
    }
    for Case { plan, .. } in experiment.cases() {
        let servers = plan.servers();
        let server = |(_, fault): &(f64, Fault)| fault.server().filter(|n| *n >= servers);
        if let Some(n) = plan.faults.iter().find_map(server) {
            return Err(error(&format!("fault(): server: expected 0 to {}, got {n}", servers - 1)));
        }
        let location = |(_, fault): &(f64, Fault)| match fault {
            Fault::Partition(n, _) if *n >= plan.locations => Some(*n),
            _ => None,
        };
        if let Some(n) = plan.faults.iter().find_map(location) {
            let what = format!("fault(): location: expected 0 to {}, got {n}", plan.locations - 1);
            return Err(error(&what));
        }
        let parent = |(_, fault): &(f64, Fault)| match fault {
            Fault::Move(one, other) => Some(*one.max(other)).filter(|n| *n >= plan.parents),
            _ => None,
        };
        if let Some(n) = plan.faults.iter().find_map(parent) {
            return Err(error(&format!("fault(): parent: there are {}, got {n}", plan.parents)));
        }
        if plan.sites.is_some() && plan.locations < 2 {
            return Err(error("sites(): expected two locations or more"));
        }
        if plan.spare_caches >= plan.caches {
            return Err(error(&format!("fleet(): spare: expected less than caches, {}", plan.caches)));
        }
    }
    Ok(experiment)
}
