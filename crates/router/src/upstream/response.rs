//! The fields of a reply, with their names on the wire.

use crate::policy_adapter::{CacheResult, Ms};

use super::codec::FieldList;

/// Identifies one version of an object's copies.
#[derive(Debug, Clone, PartialEq)]
pub struct CopyVersion {
    pub tag: String,
    /// When the origin issued it, in Unix milliseconds.
    pub issued: Ms,
}

impl CopyVersion {
    /// The version that a reply names; `None` if a field is missing or malformed.
    pub(super) fn of_reply(fields: &FieldList) -> Option<Self> {
        let issued = fields.get("dated")?.parse().ok()?;
        Some(Self { tag: fields.get("digest")?.to_string(), issued })
    }
}

/// An edge of the hierarchy by which a fill returned to a node that it had already passed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FillLoop {
    pub from: String,
    pub to: String,
    /// The version of the hierarchy with which the fill was sent.
    pub version: u64,
}

impl FillLoop {
    /// Parses `version:from>to`, for example `7:hub-a>hub-b`.
    fn parse(text: &str) -> Option<Self> {
        let (version, edge) = text.split_once(':')?;
        let (from, to) = edge.split_once('>')?;
        Some(Self { from: from.to_string(), to: to.to_string(), version: version.parse().ok()? })
    }
}

/// How long the cache waited for the source of its fill, in milliseconds; 0 if not reported.
pub(super) fn source_wait(fields: &FieldList) -> Ms {
    fields.get("first").and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

/// The fill loop that a reply reports.
pub(super) fn fill_loop(fields: &FieldList) -> Option<FillLoop> {
    fields.get("round").and_then(FillLoop::parse)
}

/// Whether a reply names the copy that the client has.
pub(super) fn confirms_client_copy(fields: &FieldList, client_copy: Option<&str>) -> bool {
    client_copy.is_some() && client_copy == fields.get("digest")
}

/// How a cache produced its reply; `None` if it is not reported or unknown.
pub(super) fn cache_result(fields: &FieldList) -> Option<CacheResult> {
    Some(match fields.get("res")? {
        "HIT" => CacheResult::Hit,
        "MISS" => CacheResult::FilledByParent,
        "MISS_ORIGIN" => CacheResult::FilledByOrigin,
        "COLLAPSED" => CacheResult::Coalesced,
        "STALE" => CacheResult::Stale,
        "UP_BUSY" => CacheResult::SourceRejected,
        "UP_DOWN" => CacheResult::SourceUnreachable,
        "UP_MISS" => CacheResult::SourceMiss,
        "NO_FILL" => CacheResult::NoCapacity,
        "ORIGIN_ERR" => CacheResult::OriginFailed,
        "LOOP" => CacheResult::FillLoop,
        _ => return None,
    })
}

/// The values of a load report, written as in `inflight:7;util:0.61`. Malformed values are skipped.
pub(super) fn load_report(fields: &FieldList) -> Vec<(String, f64)> {
    let pairs = fields.get("gauges").unwrap_or_default().split(';').filter_map(|pair| pair.split_once(':'));
    pairs.filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?))).collect()
}
