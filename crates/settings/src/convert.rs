//! Converts the names and units of the text to those of the decision module.

use linnethook::interface::{
    DeduplicationScope, Idempotence, Ms, OutcomeDetail, RequestClass, Settings, SiblingFill, SlowStart,
};

use crate::load_report::LoadReportField;
use crate::text::{
    AttemptsText, ClassText, Discovery, HierarchyText, IdempotenceText, LifecycleText, OutcomeDetailText,
    ScopeText, SettingsText, SiblingFillText, WeightSource,
};
use crate::{ConnectionSettings, DecodedSettings, SettingNames};

/// Converts a text whose values have passed [`crate::ranges::check`].
pub(crate) fn decoded(text: SettingsText) -> DecodedSettings {
    let settings = settings(&text);
    let connections = connections(&text.allowed);
    let report_fields = text.report.fields.iter().map(|name| LoadReportField::from_name(name)).collect();
    let classes = text.grades.into_iter().map(|class| class.name).collect();
    let names = SettingNames { classes, zones: text.dcs, roles: text.kinds };
    DecodedSettings { settings, report_fields, report_names: text.report.fields, names, connections }
}

fn settings(text: &SettingsText) -> Settings {
    let (hierarchy, lifecycle, attempts) = (&text.family_info, &text.rules, &text.allowed);
    let classes = text.grades.iter().enumerate().map(|(n, class)| request_class(n, class, hierarchy));
    Settings {
        routers: text.balancers,
        routers_by_zone: hierarchy.seats_by_zone.clone(),
        zone: text.locality,
        classes: classes.collect(),
        clock_resolution: text.resolution,
        weights_unknown: text.weight_source == WeightSource::Off,
        subscribe_to_endpoints: text.discovery == Discovery::OnRequest,
        max_attempts: attempts.max_attempts,
        parallel_attempts: attempts.parallel_tries,
        may_cancel: attempts.may_cancel,
        may_health_check: attempts.probes,
        supports_retry_after: attempts.retry_after,
        max_retry_after: attempts.max_retry_after,
        drain_grace: lifecycle.drain_grace,
        cache_slow_start: cache_slow_start(lifecycle),
        parent_slow_start: parent_slow_start(hierarchy, lifecycle.fall),
        parent_role: u16::try_from(hierarchy.second_tier_kind).ok(),
        origin_role: u16::try_from(hierarchy.store_kind).ok(),
        flow_kb_per_s: hierarchy.flow_kb_per_s,
        fill_link_kb_per_s: nth_or(&hierarchy.inlet_kb_per_s, usize::from(text.locality), 0.0),
        sibling_fill: sibling_fill(hierarchy.peers_fill),
        coalesces_fills: hierarchy.merges_fills,
        may_bypass_caches: hierarchy.bypass_allowed,
        outcome_detail: outcome_detail(hierarchy.tells),
        purge_grace: hierarchy.notice_time,
        purge_completion: hierarchy.cleared_within,
    }
}

fn connections(attempts: &AttemptsText) -> ConnectionSettings {
    ConnectionSettings {
        connect_timeout: attempts.connect_timeout,
        idle_timeout: attempts.conn_idle,
        streams_per_connection: attempts.streams_per_conn.max(1),
        max_open: attempts.max_open,
    }
}

fn cache_slow_start(lifecycle: &LifecycleText) -> SlowStart {
    SlowStart {
        initial_ratio: lifecycle.start_capacity,
        duration: lifecycle.cold,
        overload_multiple: lifecycle.fall_multiple,
        overload_window: lifecycle.fall,
    }
}

fn parent_slow_start(hierarchy: &HierarchyText, overload_window: Ms) -> SlowStart {
    SlowStart {
        initial_ratio: hierarchy.parent_floor,
        duration: hierarchy.parent_warms_in,
        overload_multiple: hierarchy.parent_fall_multiple,
        overload_window,
    }
}

fn sibling_fill(text: SiblingFillText) -> SiblingFill {
    match text {
        SiblingFillText::Off => SiblingFill::Disabled,
        SiblingFillText::Location => SiblingFill::SameLocation,
        SiblingFillText::Any => SiblingFill::AnyLocation,
    }
}

fn outcome_detail(text: OutcomeDetailText) -> OutcomeDetail {
    match text {
        OutcomeDetailText::All => OutcomeDetail::Full,
        OutcomeDetailText::Hit => OutcomeDetail::HitsOnly,
        OutcomeDetailText::Off => OutcomeDetail::None,
    }
}

fn request_class(n: usize, class: &ClassText, hierarchy: &HierarchyText) -> RequestClass {
    RequestClass {
        idempotence: idempotence(class),
        is_write: nth_or(&hierarchy.pass_on, n, false),
        is_streamed: class.streamed,
        latency_objective: class.objective,
        objective_stretch_ratio: class.aim_stretch,
        deadline: class.deadline,
        priority_weight: class.worth,
        late_weight_ratio: class.late_worth,
        freshness_lifetime: nth_or(&hierarchy.max_age, n, 0.0),
        stale_grace: nth_or(&hierarchy.grace_for, n, 0.0),
        stale_weight_ratio: nth_or(&hierarchy.old_copy_worth, n, 1.0),
    }
}

fn idempotence(class: &ClassText) -> Idempotence {
    let scope = match class.dedup_scope {
        ScopeText::All => DeduplicationScope::All,
        ScopeText::Zone => DeduplicationScope::Zone,
        ScopeText::Cell => DeduplicationScope::Cell,
    };
    match class.effect {
        IdempotenceText::ReadLike => Idempotence::Idempotent,
        IdempotenceText::IdempotencyKey => Idempotence::WithKey { scope, window: class.window },
        IdempotenceText::NonIdempotent => Idempotence::NotIdempotent,
    }
}

/// The value of a list that may be shorter than the classes or zones that it describes.
fn nth_or<T: Copy>(values: &[T], n: usize, default: T) -> T {
    values.get(n).copied().unwrap_or(default)
}
