//! The fields of a reply, by their names in the protocol.

use crate::policy_adapter::{CacheResult, Ms};

use super::codec::FieldList;

/// Tells a copy from other copies of the same object.
#[derive(Debug, Clone, PartialEq)]
pub struct CopyVersion {
    pub tag: String,
    /// When the origin issued it, in Unix milliseconds.
    pub issued: Ms,
}

impl CopyVersion {
    /// The version that a reply names.
    pub(super) fn of_reply(fields: &FieldList) -> Option<Self> {
        let issued = fields.get("dated")?.parse().ok()?;
        Some(Self { tag: fields.get("digest")?.to_string(), issued })
    }
}

/// An edge of the hierarchy by which a fill came back to a node that it had passed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FillLoop {
    pub from: String,
    pub to: String,
    /// The version of the hierarchy by which the fill was sent.
    pub version: u64,
}

impl FillLoop {
    /// Reads `7:hub-a>hub-b`.
    fn parse(text: &str) -> Option<Self> {
        let (version, edge) = text.split_once(':')?;
        let (from, to) = edge.split_once('>')?;
        Some(Self { from: from.to_string(), to: to.to_string(), version: version.parse().ok()? })
    }
}

/// How long the cache waited for the source of its fill; 0 where it does not say.
pub(super) fn source_wait(fields: &FieldList) -> Ms {
    fields.get("first").and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

/// The loop that a fill ran into.
pub(super) fn fill_loop(fields: &FieldList) -> Option<FillLoop> {
    fields.get("round").and_then(FillLoop::parse)
}

/// Whether a reply names the copy that the client has.
pub(super) fn names_copy(fields: &FieldList, client_copy: Option<&str>) -> bool {
    client_copy.is_some() && client_copy == fields.get("digest")
}

/// How a cache came to its reply.
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

/// The values of a load report, as in `inflight:7;util:0.61`.
pub(super) fn load_report(fields: &FieldList) -> Vec<(String, f64)> {
    let pairs = fields.get("gauges").unwrap_or_default().split(';').filter_map(|pair| pair.split_once(':'));
    pairs.filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?))).collect()
}
