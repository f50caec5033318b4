//! The settings of an instance, as the wire's JSON text tells them.
//!
//! Keys that are not known are passed over. An absent key takes the value that stands for "not told".

use linnethook::interface::{Class, ColdStart, Effect, Group, Ms, Settings, Siblings, Tells};
use serde::Deserialize;

use crate::codec::LoadField;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Told {
    allowed: Allowed,
    balancers: u32,
    discovery: Discovery,
    family_info: Family,
    grades: Vec<Grade>,
    locality: u16,
    report: Report,
    resolution: Ms,
    rules: Rules,
}

impl Default for Told {
    fn default() -> Self {
        Self {
            allowed: Allowed::default(),
            balancers: 1,
            discovery: Discovery::default(),
            family_info: Family::default(),
            grades: Vec::new(),
            locality: 0,
            report: Report::default(),
            resolution: 1.0,
            rules: Rules::default(),
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Allowed {
    max_attempts: u32,
    may_cancel: bool,
    parallel_tries: bool,
    probes: bool,
    retry_after: bool,
    max_retry_after: Ms,
}

#[derive(Deserialize, Default, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    #[default]
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Family {
    bypass_allowed: bool,
    cleared_within: Ms,
    flow_kb_per_s: f64,
    grace_for: Vec<Ms>,
    inlet_kb_per_s: Vec<f64>,
    max_age: Vec<Ms>,
    merges_fills: bool,
    notice_time: Ms,
    old_copy_worth: Vec<f64>,
    parent_fall_multiple: f64,
    parent_floor: f64,
    parent_warms_in: Ms,
    pass_on: Vec<bool>,
    peers_fill: PeersFill,
    seats_by_zone: Vec<u32>,
    second_tier_kind: i32,
    store_kind: i32,
    tells: ToldNotes,
}

impl Default for Family {
    fn default() -> Self {
        Self {
            bypass_allowed: false,
            cleared_within: 0.0,
            flow_kb_per_s: 0.0,
            grace_for: Vec::new(),
            inlet_kb_per_s: Vec::new(),
            max_age: Vec::new(),
            merges_fills: false,
            notice_time: 0.0,
            old_copy_worth: Vec::new(),
            parent_fall_multiple: 0.0,
            parent_floor: 0.0,
            parent_warms_in: 0.0,
            pass_on: Vec::new(),
            peers_fill: PeersFill::default(),
            seats_by_zone: Vec::new(),
            second_tier_kind: -1,
            store_kind: -1,
            tells: ToldNotes::default(),
        }
    }
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum PeersFill {
    #[default]
    Off,
    Location,
    Any,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum ToldNotes {
    All,
    Hit,
    #[default]
    Off,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Grade {
    aim_stretch: f64,
    objective: Ms,
    deadline: Ms,
    effect: ToldEffect,
    dedup_scope: Scope,
    late_worth: f64,
    streamed: bool,
    window: Ms,
    worth: f64,
}

impl Default for Grade {
    fn default() -> Self {
        Self {
            aim_stretch: 0.0,
            objective: 0.0,
            deadline: 0.0,
            effect: ToldEffect::default(),
            dedup_scope: Scope::default(),
            late_worth: 0.0,
            streamed: false,
            window: 0.0,
            worth: 1.0,
        }
    }
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum ToldEffect {
    ReadLike,
    IdempotencyKey,
    #[default]
    NonIdempotent,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Scope {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Report {
    fields: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Rules {
    cold: Ms,
    drain_grace: Ms,
    fall: Ms,
    fall_multiple: f64,
    start_capacity: f64,
}

/// The settings and the order of the values in load reports.
pub fn decode(text: &[u8]) -> Result<(Settings, Vec<LoadField>), serde_json::Error> {
    let told: Told = serde_json::from_slice(text)?;
    let (family, rules, allowed) = (&told.family_info, &told.rules, &told.allowed);
    let classes = told.grades.iter().enumerate().map(|(n, grade)| class(n, grade, family)).collect();
    let fields = told.report.fields.iter().map(|name| match name.as_str() {
        "outstanding" => LoadField::InFlight,
        "utilization" => LoadField::Busy,
        "x0" => LoadField::HitShare,
        "x1" => LoadField::Link,
        _ => LoadField::Other,
    });
    let settings = Settings {
        routers: told.balancers,
        routers_by_zone: family.seats_by_zone.clone(),
        zone: told.locality,
        classes,
        tick: told.resolution,
        ask_for_list: told.discovery == Discovery::OnRequest,
        max_attempts: allowed.max_attempts,
        parallel_attempts: allowed.parallel_tries,
        may_cancel: allowed.may_cancel,
        may_probe: allowed.probes,
        retry_after: allowed.retry_after,
        max_retry_after: allowed.max_retry_after,
        drain_grace: rules.drain_grace,
        cache_cold: ColdStart {
            from: rules.start_capacity,
            warm_in: rules.cold,
            fall_multiple: rules.fall_multiple,
            window: rules.fall,
        },
        parent_cold: ColdStart {
            from: family.parent_floor,
            warm_in: family.parent_warms_in,
            fall_multiple: family.parent_fall_multiple,
            window: rules.fall,
        },
        parent_kind: u16::try_from(family.second_tier_kind).ok(),
        origin_kind: u16::try_from(family.store_kind).ok(),
        flow_kb_per_s: family.flow_kb_per_s,
        link_kb_per_s: nth(&family.inlet_kb_per_s, usize::from(told.locality), 0.0),
        siblings: match family.peers_fill {
            PeersFill::Off => Siblings::Off,
            PeersFill::Location => Siblings::Location,
            PeersFill::Any => Siblings::Any,
        },
        joins: family.merges_fills,
        direct: family.bypass_allowed,
        tells: match family.tells {
            ToldNotes::All => Tells::All,
            ToldNotes::Hit => Tells::Hit,
            ToldNotes::Off => Tells::Nothing,
        },
        purge_grace: family.notice_time,
        purge_done: family.cleared_within,
    };
    Ok((settings, fields.collect()))
}

fn nth<T: Copy>(values: &[T], n: usize, absent: T) -> T {
    values.get(n).copied().unwrap_or(absent)
}

fn class(n: usize, grade: &Grade, family: &Family) -> Class {
    Class {
        effect: match grade.effect {
            ToldEffect::ReadLike => Effect::Safe,
            ToldEffect::IdempotencyKey => Effect::Keyed {
                group: match grade.dedup_scope {
                    Scope::All => Group::All,
                    Scope::Zone => Group::Zone,
                    Scope::Cell => Group::Cell,
                },
                window: grade.window,
            },
            ToldEffect::NonIdempotent => Effect::Unsafe,
        },
        write: nth(&family.pass_on, n, false),
        stream: grade.streamed,
        aim: grade.objective,
        aim_stretch: grade.aim_stretch,
        deadline: grade.deadline,
        worth: grade.worth,
        late_worth: grade.late_worth,
        fresh: nth(&family.max_age, n, 0.0),
        grace: nth(&family.grace_for, n, 0.0),
        stale_worth: nth(&family.old_copy_worth, n, 1.0),
    }
}
