//! The JSON text, with the names of its keys in the protocol and in configuration files.
//!
//! The `expecting` attributes keep error messages independent of the names of the types.

use linnethook::interface::Ms;
use serde::Deserialize;

/// The settings of one router.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default, expecting = "struct Text")]
pub(crate) struct SettingsText {
    pub(crate) allowed: AttemptsText,
    pub(crate) balancers: u32,
    pub(crate) dcs: Vec<String>,
    pub(crate) discovery: Discovery,
    pub(crate) family_info: HierarchyText,
    pub(crate) grades: Vec<ClassText>,
    pub(crate) kinds: Vec<String>,
    pub(crate) locality: u16,
    pub(crate) report: ReportText,
    pub(crate) resolution: Ms,
    pub(crate) rules: LifecycleText,
    pub(crate) weight_source: WeightSource,
}

impl Default for SettingsText {
    fn default() -> Self {
        Self {
            allowed: AttemptsText::default(),
            balancers: 1,
            dcs: Vec::new(),
            discovery: Discovery::default(),
            family_info: HierarchyText::default(),
            grades: Vec::new(),
            kinds: Vec::new(),
            locality: 0,
            report: ReportText::default(),
            resolution: 1.0,
            rules: LifecycleText::default(),
            weight_source: WeightSource::default(),
        }
    }
}

/// Limits on attempts and connections.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default, expecting = "struct Allowed")]
pub(crate) struct AttemptsText {
    pub(crate) conn_idle: Ms,
    pub(crate) connect_timeout: Ms,
    pub(crate) max_attempts: u32,
    pub(crate) max_open: u32,
    pub(crate) may_cancel: bool,
    pub(crate) parallel_tries: bool,
    pub(crate) probes: bool,
    pub(crate) retry_after: bool,
    pub(crate) max_retry_after: Ms,
    pub(crate) streams_per_conn: u32,
}

impl Default for AttemptsText {
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

/// The meaning of the weights in the endpoint list.
#[derive(Deserialize, Default, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WeightSource {
    Off,
    #[default]
    Nominal,
    Rough,
    Live,
}

/// Whether endpoint lists are pushed, or sent on request.
#[derive(Deserialize, Default, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Discovery {
    #[default]
    Pushed,
    OnRequest,
}

/// The cache hierarchy, its links and the freshness rules of each class.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default, expecting = "struct Family")]
pub(crate) struct HierarchyText {
    pub(crate) bypass_allowed: bool,
    pub(crate) cleared_within: Ms,
    pub(crate) flow_kb_per_s: f64,
    pub(crate) grace_for: Vec<Ms>,
    pub(crate) inlet_kb_per_s: Vec<f64>,
    pub(crate) max_age: Vec<Ms>,
    pub(crate) merges_fills: bool,
    pub(crate) notice_time: Ms,
    pub(crate) old_copy_worth: Vec<f64>,
    pub(crate) parent_fall_multiple: f64,
    pub(crate) parent_floor: f64,
    pub(crate) parent_warms_in: Ms,
    pub(crate) pass_on: Vec<bool>,
    pub(crate) peers_fill: SiblingFillText,
    pub(crate) seats_by_zone: Vec<u32>,
    pub(crate) second_tier_kind: i32,
    pub(crate) store_kind: i32,
    pub(crate) tells: OutcomeDetailText,
}

impl Default for HierarchyText {
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
            peers_fill: SiblingFillText::default(),
            seats_by_zone: Vec::new(),
            second_tier_kind: -1,
            store_kind: -1,
            tells: OutcomeDetailText::default(),
        }
    }
}

/// From which siblings a cache may be filled.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum SiblingFillText {
    #[default]
    Off,
    Location,
    Any,
}

/// Which answers report whether they were hits.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OutcomeDetailText {
    All,
    Hit,
    #[default]
    Off,
}

/// One request class.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default, expecting = "struct Grade")]
pub(crate) struct ClassText {
    pub(crate) aim_stretch: f64,
    pub(crate) objective: Ms,
    pub(crate) deadline: Ms,
    pub(crate) effect: IdempotenceText,
    pub(crate) dedup_scope: ScopeText,
    pub(crate) late_worth: f64,
    pub(crate) name: String,
    pub(crate) streamed: bool,
    pub(crate) window: Ms,
    pub(crate) worth: f64,
}

impl Default for ClassText {
    fn default() -> Self {
        Self {
            aim_stretch: 0.0,
            objective: 0.0,
            deadline: 0.0,
            effect: IdempotenceText::default(),
            dedup_scope: ScopeText::default(),
            late_worth: 0.0,
            name: String::new(),
            streamed: false,
            window: 0.0,
            worth: 1.0,
        }
    }
}

/// Whether the requests of a class may be executed more than once.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum IdempotenceText {
    ReadLike,
    IdempotencyKey,
    #[default]
    NonIdempotent,
}

/// The endpoints among which requests with the same idempotency key are deduplicated.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ScopeText {
    All,
    Zone,
    #[default]
    Cell,
}

/// The names of the values in load reports, in their order.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default, expecting = "struct Report")]
pub(crate) struct ReportText {
    pub(crate) fields: Vec<String>,
}

/// Slow start and drain of caches.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default, expecting = "struct Rules")]
pub(crate) struct LifecycleText {
    pub(crate) cold: Ms,
    pub(crate) drain_grace: Ms,
    pub(crate) fall: Ms,
    pub(crate) fall_multiple: f64,
    pub(crate) start_capacity: f64,
}
