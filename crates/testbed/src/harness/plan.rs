//! The plan of a harness: its routers, links, caches and settings.

use std::collections::BTreeMap;
use std::path::PathBuf;

use crate::rules::AggregateBounds;

/// The routers, links, caches and settings of a harness.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of routers; they are named r0, r1, ...
    pub routers: usize,
    /// Pairs of routers, the dialer first; with `None` each router dials all those with lower numbers.
    pub links: Option<Vec<(usize, usize)>>,
    /// Number of caches; they are named cache-0, cache-1, ...
    pub caches: usize,
    /// The parameters inside `hierarchy(...)`.
    pub hierarchy: String,
    /// The parameters inside `gateway(...)`.
    pub gateway: String,
    /// The parameters inside `fellows(...)`.
    pub cluster_settings: String,
    /// The location of each router in the tree of the fleet; without any the fleet is flat.
    pub places: Vec<String>,
    /// The parameters inside `audit(...)`; `None` writes no such section.
    pub audit: Option<String>,
    /// The parameters inside `straggler(...)`; `None` writes no such section.
    pub straggler: Option<String>,
    /// Routers that run another program than the default one, such as an earlier build.
    pub programs: BTreeMap<usize, PathBuf>,
    /// Requests a second at each router.
    pub rate: f64,
    /// Number of objects that clients request.
    pub objects: u64,
    /// Harnesses of this process that may run concurrently; 0 means no limit. An overloaded machine breaks
    /// time bounds by itself.
    pub at_once: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            routers: 3,
            links: None,
            caches: 3,
            hierarchy: "extended = True, announce = 0.3, warm = 2, settle = 1, rest = 0.5, retire = 3, \
                        least = 20, held = 3"
                .to_string(),
            gateway: "retry_most = 0.2".to_string(),
            cluster_settings: "suspect = 0.5, frozen = 0.5, compare = 0.5, snapshot = 0.5".to_string(),
            places: Vec::new(),
            audit: Some("span = 0.5".to_string()),
            straggler: None,
            programs: BTreeMap::new(),
            rate: 30.0,
            objects: 400,
            at_once: 3,
        }
    }
}

impl Plan {
    /// How stale location summaries may be, from the settings of the cluster.
    pub fn aggregate_bounds(&self) -> AggregateBounds {
        let set = |name: &str| {
            let mut pairs = self.cluster_settings.split(',').filter_map(|pair| pair.split_once('='));
            let (_, value) = pairs.find(|(known, _)| known.trim() == name)?;
            Some(value.trim().parse::<f64>().ok()? * 1_000.0)
        };
        let bounds = AggregateBounds::default();
        AggregateBounds {
            suspect: set("suspect").unwrap_or(bounds.suspect),
            summary_lifetime: set("renew").map_or(bounds.summary_lifetime, |renew| renew * 3.0),
            // Facts are gathered for at most three times `gather`, and are sent with the next bundle, up to
            // 200 ms later.
            level_delay: set("gather").map_or(bounds.level_delay, |gather| gather * 3.0 + 200.0),
            moves: set("moves").unwrap_or(bounds.moves),
            ..bounds
        }
    }
}
