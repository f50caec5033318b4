//! The fields of load reports, whose values are positional in the protocol.

use linnethook::interface::LoadReport;

/// A field of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReportField {
    /// Requests in flight.
    InFlight,
    /// Utilization of the endpoint.
    Utilization,
    /// Ratio of hits among recent requests.
    HitRatio,
    /// Utilization of the fill link.
    LinkUtilization,
    /// A field that no decision uses.
    Unused,
}

impl LoadReportField {
    /// The field with the given name in the settings.
    pub(crate) fn from_name(name: &str) -> Self {
        match name {
            "outstanding" => Self::InFlight,
            "utilization" => Self::Utilization,
            "x0" => Self::HitRatio,
            "x1" => Self::LinkUtilization,
            _ => Self::Unused,
        }
    }
}

/// Builds a load report from its values and their fields, in the same order.
pub fn load_report(values: &[f64], fields: &[LoadReportField]) -> LoadReport {
    let mut report = LoadReport::default();
    for (&value, field) in values.iter().zip(fields) {
        match field {
            LoadReportField::InFlight => report.in_flight = Some(value),
            LoadReportField::Utilization => report.utilization = Some(value),
            LoadReportField::HitRatio => report.hit_ratio = Some(value),
            LoadReportField::LinkUtilization => report.link_utilization = Some(value),
            LoadReportField::Unused => {}
        }
    }
    report
}
