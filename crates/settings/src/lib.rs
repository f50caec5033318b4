//! The settings of one router, as their JSON text tells them, on the simulator's wire and in a real
//! router's configuration alike.
//!
//! Keys that are not known are passed over. An absent key takes the value that stands for "not told".

use std::fmt;

use linnethook::interface::{
    DeduplicationScope, Idempotence, LoadReport, Ms, OutcomeDetail, RequestClass, Settings, SiblingFill,
    SlowStart,
};
use serde::Deserialize;
use serde_json::Value;

/// What the values of a load report are, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    InFlight,
    Busy,
    HitShare,
    Link,
    Other,
}

/// Puts a report's values in their places.
pub fn load(values: &[f64], names: &[LoadField]) -> LoadReport {
    let mut load = LoadReport::default();
    for (&value, name) in values.iter().zip(names) {
        match name {
            LoadField::InFlight => load.in_flight = Some(value),
            LoadField::Busy => load.utilization = Some(value),
            LoadField::HitShare => load.hit_ratio = Some(value),
            LoadField::Link => load.link_utilization = Some(value),
            LoadField::Other => {}
        }
    }
    load
}

/// All that the text tells.
#[derive(Debug, Clone)]
pub struct Told {
    pub settings: Settings,
    /// The order of the values in load reports.
    pub report: Vec<LoadField>,
    /// What the text calls the values of a load report, in the same order.
    pub report_names: Vec<String>,
    /// The names behind the numbers that the settings go by.
    pub names: Names,
    pub transport: Transport,
}

/// Names by number.
#[derive(Debug, Clone, Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// What concerns connections only.
#[derive(Debug, Clone, Copy)]
pub struct Transport {
    pub connect_timeout: Ms,
    pub idle: Ms,
    pub streams: u32,
    pub max_open: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Text {
    allowed: Allowed,
    balancers: u32,
    dcs: Vec<String>,
    discovery: Discovery,
    family_info: Family,
    grades: Vec<Grade>,
    kinds: Vec<String>,
    locality: u16,
    report: Report,
    resolution: Ms,
    rules: Rules,
    weight_source: WeightSource,
}

impl Default for Text {
    fn default() -> Self {
        Self {
            allowed: Allowed::default(),
            balancers: 1,
            dcs: Vec::new(),
            discovery: Discovery::default(),
            family_info: Family::default(),
            grades: Vec::new(),
            kinds: Vec::new(),
            locality: 0,
            report: Report::default(),
            resolution: 1.0,
            rules: Rules::default(),
            weight_source: WeightSource::default(),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Allowed {
    conn_idle: Ms,
    connect_timeout: Ms,
    max_attempts: u32,
    max_open: u32,
    may_cancel: bool,
    parallel_tries: bool,
    probes: bool,
    retry_after: bool,
    max_retry_after: Ms,
    streams_per_conn: u32,
}

impl Default for Allowed {
    fn default() -> Self {
        Self {
            conn_idle: 15_000.0,
            connect_timeout: 400.0,
            max_attempts: 0,
            max_open: 20_000,
            may_cancel: false,
            parallel_tries: false,
            probes: false,
            retry_after: false,
            max_retry_after: 0.0,
            streams_per_conn: 1,
        }
    }
}

/// What the list's weights are.
#[derive(Deserialize, Default, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
enum WeightSource {
    Off,
    #[default]
    Nominal,
    Rough,
    Live,
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
    name: String,
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
            name: String::new(),
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

/// What is wrong with the settings, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wrong {
    /// The way to the value, as in `family-info.tells`.
    pub at: String,
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.at, self.what)
    }
}

impl std::error::Error for Wrong {}

/// A value that is out of its range.
fn out_of_range(told: &Text) -> Result<(), Wrong> {
    let (family, rules, allowed) = (&told.family_info, &told.rules, &told.allowed);
    let (any, part) = ((0.0, f64::MAX), (0.0, 1.0));
    let mut values = vec![
        ("resolution".to_string(), told.resolution, any),
        ("allowed.conn-idle".to_string(), allowed.conn_idle, any),
        ("allowed.connect-timeout".to_string(), allowed.connect_timeout, any),
        ("allowed.max-retry-after".to_string(), allowed.max_retry_after, any),
        ("family-info.cleared-within".to_string(), family.cleared_within, any),
        ("family-info.flow-kb-per-s".to_string(), family.flow_kb_per_s, any),
        ("family-info.notice-time".to_string(), family.notice_time, any),
        ("family-info.parent-fall-multiple".to_string(), family.parent_fall_multiple, any),
        ("family-info.parent-floor".to_string(), family.parent_floor, part),
        ("family-info.parent-warms-in".to_string(), family.parent_warms_in, any),
        ("rules.cold".to_string(), rules.cold, any),
        ("rules.drain-grace".to_string(), rules.drain_grace, any),
        ("rules.fall".to_string(), rules.fall, any),
        ("rules.fall-multiple".to_string(), rules.fall_multiple, any),
        ("rules.start-capacity".to_string(), rules.start_capacity, part),
    ];
    for (n, grade) in told.grades.iter().enumerate() {
        let at = |name: &str| format!("grades[{n}].{name}");
        values.extend([
            (at("aim-stretch"), grade.aim_stretch, any),
            (at("objective"), grade.objective, any),
            (at("deadline"), grade.deadline, any),
            (at("late-worth"), grade.late_worth, part),
            (at("window"), grade.window, any),
            (at("worth"), grade.worth, any),
        ]);
    }
    let lists = [
        ("grace-for", &family.grace_for, any),
        ("inlet-kb-per-s", &family.inlet_kb_per_s, any),
        ("max-age", &family.max_age, any),
        ("old-copy-worth", &family.old_copy_worth, part),
    ];
    for (name, list, range) in lists {
        let at = |n: usize| format!("family-info.{name}[{n}]");
        values.extend(list.iter().enumerate().map(|(n, value)| (at(n), *value, range)));
    }
    let bad = values.into_iter().find(|(_, value, (least, most))| !(least..=most).contains(&value));
    if let Some((at, value, (least, most))) = bad {
        let most =
            if most < f64::MAX { format!("from {least} to {most}") } else { format!("{least} or more") };
        return Err(Wrong { at, what: format!("{value}, expected {most}") });
    }
    let kinds = [("second-tier-kind", family.second_tier_kind), ("store-kind", family.store_kind)];
    let stray = |kind: i32| kind < -1 || usize::try_from(kind).is_ok_and(|kind| kind >= told.kinds.len());
    if let Some((name, kind)) = kinds.into_iter().find(|(_, kind)| !told.kinds.is_empty() && stray(*kind)) {
        let what = format!("{kind}, expected -1 or the place of one of {} kinds", told.kinds.len());
        return Err(Wrong { at: format!("family-info.{name}"), what });
    }
    Ok(())
}

/// The settings with some of them changed: objects are merged, all else takes the other's place.
pub fn changed(settings: &Value, changes: &Value) -> Value {
    let (Value::Object(old), Value::Object(new)) = (settings, changes) else { return changes.clone() };
    let mut all = old.clone();
    for (key, value) in new {
        let merged = old.get(key).map_or_else(|| value.clone(), |old| changed(old, value));
        all.insert(key.clone(), merged);
    }
    Value::Object(all)
}

/// Reads the text.
pub fn decode(text: &[u8]) -> Result<Told, Wrong> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let told: Text = serde_path_to_error::deserialize(&mut json)
        .map_err(|wrong| Wrong { at: wrong.path().to_string(), what: wrong.inner().to_string() })?;
    json.end().map_err(|wrong| Wrong { at: ".".to_string(), what: wrong.to_string() })?;
    out_of_range(&told)?;
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
        clock_resolution: told.resolution,
        weights_unknown: told.weight_source == WeightSource::Off,
        subscribe_to_endpoints: told.discovery == Discovery::OnRequest,
        max_attempts: allowed.max_attempts,
        parallel_attempts: allowed.parallel_tries,
        may_cancel: allowed.may_cancel,
        may_health_check: allowed.probes,
        supports_retry_after: allowed.retry_after,
        max_retry_after: allowed.max_retry_after,
        drain_grace: rules.drain_grace,
        cache_slow_start: SlowStart {
            initial_ratio: rules.start_capacity,
            duration: rules.cold,
            overload_multiple: rules.fall_multiple,
            overload_window: rules.fall,
        },
        parent_slow_start: SlowStart {
            initial_ratio: family.parent_floor,
            duration: family.parent_warms_in,
            overload_multiple: family.parent_fall_multiple,
            overload_window: rules.fall,
        },
        parent_role: u16::try_from(family.second_tier_kind).ok(),
        origin_role: u16::try_from(family.store_kind).ok(),
        flow_kb_per_s: family.flow_kb_per_s,
        fill_link_kb_per_s: nth(&family.inlet_kb_per_s, usize::from(told.locality), 0.0),
        sibling_fill: match family.peers_fill {
            PeersFill::Off => SiblingFill::Disabled,
            PeersFill::Location => SiblingFill::SameLocation,
            PeersFill::Any => SiblingFill::AnyLocation,
        },
        coalesces_fills: family.merges_fills,
        may_bypass_caches: family.bypass_allowed,
        outcome_detail: match family.tells {
            ToldNotes::All => OutcomeDetail::Full,
            ToldNotes::Hit => OutcomeDetail::HitsOnly,
            ToldNotes::Off => OutcomeDetail::None,
        },
        purge_grace: family.notice_time,
        purge_completion: family.cleared_within,
    };
    let report = fields.collect();
    let transport = Transport {
        connect_timeout: allowed.connect_timeout,
        idle: allowed.conn_idle,
        streams: allowed.streams_per_conn.max(1),
        max_open: allowed.max_open,
    };
    let classes = told.grades.into_iter().map(|grade| grade.name).collect();
    let names = Names { classes, zones: told.dcs, kinds: told.kinds };
    Ok(Told { settings, report, report_names: told.report.fields, names, transport })
}

fn nth<T: Copy>(values: &[T], n: usize, absent: T) -> T {
    values.get(n).copied().unwrap_or(absent)
}

fn class(n: usize, grade: &Grade, family: &Family) -> RequestClass {
    RequestClass {
        idempotence: match grade.effect {
            ToldEffect::ReadLike => Idempotence::Idempotent,
            ToldEffect::IdempotencyKey => Idempotence::WithKey {
                scope: match grade.dedup_scope {
                    Scope::All => DeduplicationScope::All,
                    Scope::Zone => DeduplicationScope::Zone,
                    Scope::Cell => DeduplicationScope::Cell,
                },
                window: grade.window,
            },
            ToldEffect::NonIdempotent => Idempotence::NotIdempotent,
        },
        is_write: nth(&family.pass_on, n, false),
        is_streamed: grade.streamed,
        latency_objective: grade.objective,
        objective_stretch_ratio: grade.aim_stretch,
        deadline: grade.deadline,
        priority_weight: grade.worth,
        late_weight_ratio: grade.late_worth,
        freshness_lifetime: nth(&family.max_age, n, 0.0),
        stale_grace: nth(&family.grace_for, n, 0.0),
        stale_weight_ratio: nth(&family.old_copy_worth, n, 1.0),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn absent_keys_are_defaulted_and_unknown_ones_passed_over() {
        let told = decode(br#"{"colour": "red", "allowed": {"magic": 1}}"#).expect("settings");
        let (settings, fields) = (told.settings, told.report);
        assert!(fields.is_empty() && settings.classes.is_empty());
        assert_eq!((settings.parent_role, settings.origin_role), (None, None));
        assert!(
            !settings.weights_unknown
                && !settings.subscribe_to_endpoints
                && settings.outcome_detail == OutcomeDetail::None
        );
        assert_eq!(settings.class(3).idempotence, Idempotence::NotIdempotent);
    }

    #[test]
    fn every_setting_finds_its_place() {
        let text = br#"{
            "allowed": {"max-attempts": 6, "may-cancel": true, "parallel-tries": true, "probes": true,
                        "retry-after": true, "max-retry-after": 900.0, "conn-idle": 9000, "streams-per-conn": 50},
            "balancers": 5, "dcs": ["north", "south"], "kinds": ["box", "hub", "store"], "discovery": "on_request", "locality": 1, "resolution": 2.0,
            "family-info": {"bypass-allowed": true, "cleared-within": 6000, "flow-kb-per-s": 7000,
                "grace-for": [0, 20000], "inlet-kb-per-s": [0, 800], "max-age": [0, 12000],
                "merges-fills": true, "notice-time": 1000, "old-copy-worth": [1, 0.7],
                "parent-fall-multiple": 2, "parent-floor": 0.1, "parent-warms-in": 20000,
                "pass-on": [true, false], "peers-fill": "any", "seats-by-zone": [0, 3],
                "second-tier-kind": 1, "store-kind": 2, "tells": "hit"},
            "grades": [
                {"name": "video", "objective": 400, "deadline": 5000, "effect": "idempotency_key", "dedup-scope": "zone",
                 "window": 3000, "worth": 3, "late-worth": 0.2, "aim-stretch": 1.5, "streamed": true},
                {"objective": 300, "deadline": 2500, "effect": "read_like", "worth": 1}],
            "report": {"fields": ["outstanding", "utilization", "x1", "x0", "backlog"]},
            "weight-source": "off",
            "rules": {"cold": 15000, "drain-grace": 250, "fall": 3000, "fall-multiple": 3,
                      "start-capacity": 0.25}}"#;
        let told = decode(text).expect("settings");
        assert_eq!(told.names.zones, ["north", "south"]);
        assert_eq!(told.names.kinds, ["box", "hub", "store"]);
        assert_eq!(told.names.classes, ["video", ""]);
        assert_eq!((told.transport.idle, told.transport.streams), (9000.0, 50));
        let (settings, fields) = (told.settings, told.report);
        use LoadField::*;
        assert_eq!(fields, [InFlight, Busy, Link, HitShare, Other]);
        let keyed = RequestClass {
            idempotence: Idempotence::WithKey { scope: DeduplicationScope::Zone, window: 3000.0 },
            is_write: true,
            is_streamed: true,
            latency_objective: 400.0,
            objective_stretch_ratio: 1.5,
            deadline: 5000.0,
            priority_weight: 3.0,
            late_weight_ratio: 0.2,
            ..RequestClass::default()
        };
        assert_eq!(settings.class(0), keyed);
        let class = settings.class(1);
        assert_eq!((class.idempotence, class.is_write), (Idempotence::Idempotent, false));
        assert_eq!(
            (class.freshness_lifetime, class.stale_grace, class.stale_weight_ratio),
            (12_000.0, 20_000.0, 0.7)
        );
        assert!(
            settings.subscribe_to_endpoints
                && settings.may_cancel
                && settings.may_health_check
                && settings.supports_retry_after
        );
        assert!(settings.weights_unknown);
        assert!(settings.parallel_attempts && settings.may_bypass_caches && settings.coalesces_fills);
        assert_eq!((settings.routers, settings.zone, settings.max_attempts), (5, 1, 6));
        assert_eq!(
            (settings.clock_resolution, settings.max_retry_after, settings.drain_grace),
            (2.0, 900.0, 250.0)
        );
        assert_eq!((settings.parent_role, settings.origin_role), (Some(1), Some(2)));
        assert_eq!(
            (settings.sibling_fill, settings.outcome_detail),
            (SiblingFill::AnyLocation, OutcomeDetail::HitsOnly)
        );
        assert_eq!((settings.flow_kb_per_s, settings.fill_link_kb_per_s), (7000.0, 800.0));
        assert_eq!((settings.purge_grace, settings.purge_completion), (1000.0, 6000.0));
        assert_eq!(settings.routers_by_zone, [0, 3]);
        let cold = SlowStart {
            initial_ratio: 0.25,
            duration: 15_000.0,
            overload_multiple: 3.0,
            overload_window: 3000.0,
        };
        assert_eq!(settings.cache_slow_start, cold);
        let cold = SlowStart {
            initial_ratio: 0.1,
            duration: 20_000.0,
            overload_multiple: 2.0,
            overload_window: 3000.0,
        };
        assert_eq!(settings.parent_slow_start, cold);
    }

    #[test]
    fn an_error_says_where_and_what() {
        let said = |text: &str| decode(text.as_bytes()).expect_err(text).to_string();
        let cases = [
            (r#"{"weight-source": "heavy"}"#, "weight-source: unknown variant `heavy`, expected one of"),
            (r#"{"weight-source": 3}"#, "weight-source: expected value"),
            (r#"{"family-info": {"tells": "maybe"}}"#, "family-info.tells: unknown variant `maybe`"),
            (r#"{"family-info": {"merges-fills": "yes"}}"#, "family-info.merges-fills: invalid type"),
            (
                r#"{"family-info": {"parent-floor": 1.5}}"#,
                "family-info.parent-floor: 1.5, expected from 0 to 1",
            ),
            (r#"{"family-info": {"max-age": [0, -1]}}"#, "family-info.max-age[1]: -1, expected 0 or more"),
            (r#"{"grades": [{"objective": -4}]}"#, "grades[0].objective: -4, expected 0 or more"),
            (r#"{"grades": [{"effect": "none"}]}"#, "grades[0].effect: unknown variant `none`"),
            (r#"{"rules": {"start-capacity": -0.1}}"#, "rules.start-capacity: -0.1, expected from 0 to 1"),
            (
                r#"{"kinds": ["box"], "family-info": {"store-kind": 1}}"#,
                "family-info.store-kind: 1, expected -1",
            ),
        ];
        for (text, start) in cases {
            assert!(said(text).starts_with(start), "{}", said(text));
        }
    }

    #[test]
    fn changes_are_merged_into_settings() {
        let all = serde_json::json!({"weight-source": "nominal", "family-info": {"tells": "all", "max-age": [0, 5]}});
        let changes = serde_json::json!({"weight-source": "off", "family-info": {"tells": "hit"}});
        let expected =
            serde_json::json!({"weight-source": "off", "family-info": {"tells": "hit", "max-age": [0, 5]}});
        assert_eq!(changed(&all, &changes), expected);
        let told = decode(expected.to_string().as_bytes()).expect("settings").settings;
        assert!(told.weights_unknown && told.outcome_detail == OutcomeDetail::HitsOnly);
    }

    #[test]
    fn what_is_not_valid_is_an_error() {
        for text in ["", "[", "{\"grades\": 3}", "{\"discovery\": \"by pigeon\"}"] {
            assert!(decode(text.as_bytes()).is_err(), "{text}");
        }
    }

    #[test]
    fn the_values_of_a_report_find_their_places() {
        let names =
            [LoadField::Busy, LoadField::Other, LoadField::Link, LoadField::HitShare, LoadField::InFlight];
        let told = load(&[0.25, 9.0, 1.5, 0.75], &names);
        let expected = LoadReport {
            utilization: Some(0.25),
            link_utilization: Some(1.5),
            hit_ratio: Some(0.75),
            in_flight: None,
        };
        assert_eq!(told, expected);
    }
}
