//! Range checks of the numbers in the text.

use std::ops::RangeInclusive;

use crate::error::SettingsError;
use crate::text::{ClassText, HierarchyText, SettingsText};

const NOT_NEGATIVE: RangeInclusive<f64> = 0.0..=f64::MAX;
const RATIO: RangeInclusive<f64> = 0.0..=1.0;

/// A number with its path in the text and its range.
struct Bounded {
    path: String,
    value: f64,
    range: RangeInclusive<f64>,
}

impl Bounded {
    fn new(path: impl Into<String>, value: f64, range: RangeInclusive<f64>) -> Self {
        Self { path: path.into(), value, range }
    }

    fn check(self) -> Result<(), SettingsError> {
        if self.range.contains(&self.value) {
            return Ok(());
        }
        let (min, max) = self.range.into_inner();
        let expected = if max < f64::MAX { format!("from {min} to {max}") } else { format!("{min} or more") };
        Err(SettingsError { path: self.path, message: format!("{}, expected {expected}", self.value) })
    }
}

/// Checks the ranges of all numbers, and that the roles exist.
///
/// # Errors
///
/// The first value that is out of range.
pub(crate) fn check(text: &SettingsText) -> Result<(), SettingsError> {
    let mut numbers = scalars(text);
    for (n, class) in text.grades.iter().enumerate() {
        numbers.extend(class_numbers(n, class));
    }
    numbers.extend(list_numbers(&text.family_info));
    for number in numbers {
        number.check()?;
    }
    check_roles(text)
}

fn scalars(text: &SettingsText) -> Vec<Bounded> {
    let (hierarchy, lifecycle, attempts) = (&text.family_info, &text.rules, &text.allowed);
    vec![
        Bounded::new("resolution", text.resolution, NOT_NEGATIVE),
        Bounded::new("allowed.conn-idle", attempts.conn_idle, NOT_NEGATIVE),
        Bounded::new("allowed.connect-timeout", attempts.connect_timeout, NOT_NEGATIVE),
        Bounded::new("allowed.max-retry-after", attempts.max_retry_after, NOT_NEGATIVE),
        Bounded::new("family-info.cleared-within", hierarchy.cleared_within, NOT_NEGATIVE),
        Bounded::new("family-info.flow-kb-per-s", hierarchy.flow_kb_per_s, NOT_NEGATIVE),
        Bounded::new("family-info.notice-time", hierarchy.notice_time, NOT_NEGATIVE),
        Bounded::new("family-info.parent-fall-multiple", hierarchy.parent_fall_multiple, NOT_NEGATIVE),
        Bounded::new("family-info.parent-floor", hierarchy.parent_floor, RATIO),
        Bounded::new("family-info.parent-warms-in", hierarchy.parent_warms_in, NOT_NEGATIVE),
        Bounded::new("rules.cold", lifecycle.cold, NOT_NEGATIVE),
        Bounded::new("rules.drain-grace", lifecycle.drain_grace, NOT_NEGATIVE),
        Bounded::new("rules.fall", lifecycle.fall, NOT_NEGATIVE),
        Bounded::new("rules.fall-multiple", lifecycle.fall_multiple, NOT_NEGATIVE),
        Bounded::new("rules.start-capacity", lifecycle.start_capacity, RATIO),
    ]
}

fn class_numbers(n: usize, class: &ClassText) -> Vec<Bounded> {
    let number = |name: &str, value: f64, range: RangeInclusive<f64>| {
        Bounded::new(format!("grades[{n}].{name}"), value, range)
    };
    vec![
        number("aim-stretch", class.aim_stretch, NOT_NEGATIVE),
        number("objective", class.objective, NOT_NEGATIVE),
        number("deadline", class.deadline, NOT_NEGATIVE),
        number("late-worth", class.late_worth, RATIO),
        number("window", class.window, NOT_NEGATIVE),
        number("worth", class.worth, NOT_NEGATIVE),
    ]
}

fn list_numbers(hierarchy: &HierarchyText) -> Vec<Bounded> {
    let lists = [
        ("grace-for", &hierarchy.grace_for, NOT_NEGATIVE),
        ("inlet-kb-per-s", &hierarchy.inlet_kb_per_s, NOT_NEGATIVE),
        ("max-age", &hierarchy.max_age, NOT_NEGATIVE),
        ("old-copy-worth", &hierarchy.old_copy_worth, RATIO),
    ];
    let mut numbers = Vec::new();
    for (name, list, range) in lists {
        for (n, value) in list.iter().enumerate() {
            numbers.push(Bounded::new(format!("family-info.{name}[{n}]"), *value, range.clone()));
        }
    }
    numbers
}

/// Checks that a role is -1, which means none, or an index into the list of roles, unless that list is empty.
fn check_roles(text: &SettingsText) -> Result<(), SettingsError> {
    let count = text.kinds.len();
    let exists = |role: i32| role == -1 || usize::try_from(role).is_ok_and(|role| count == 0 || role < count);
    let hierarchy = &text.family_info;
    for (name, role) in
        [("second-tier-kind", hierarchy.second_tier_kind), ("store-kind", hierarchy.store_kind)]
    {
        if count > 0 && !exists(role) {
            let message = format!("{role}, expected -1 or an index into the {count} kinds");
            return Err(SettingsError { path: format!("family-info.{name}"), message });
        }
    }
    Ok(())
}
