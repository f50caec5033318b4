//! Owns questions for the detail of another place: passed on from link to link, answered by the router that speaks for
//! the site, and answered back the way that the question came.
//!
//! Must never pass a question on twice, nor further than its hops, nor keep more of them than its bound.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::aggregation::location::Location;
use crate::Ms;

/// What is asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryTarget {
    /// The site that knows a router by name.
    Router(String),
    /// A site.
    Site(Location),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    pub id: u64,
    /// Links that it may pass yet.
    pub hops_left: u8,
    pub target: QueryTarget,
}

/// Links that a question may pass, questions that are remembered, and for how long.
pub const MAX_HOPS: u8 = 64;
const MAX_REMEMBERED: usize = 256;
const RETENTION_MS: Ms = 30_000.0;

#[derive(Debug, Clone, Default)]
pub struct QueryRoutes {
    /// Who asked first here; nobody for the own ones.
    routes: BTreeMap<u64, (Option<String>, Ms)>,
}

impl QueryRoutes {
    /// Whether a question is new and there is room for it; from then on it is remembered.
    pub fn register(&mut self, now: Ms, id: u64, from: Option<&str>) -> bool {
        self.routes.retain(|_, (_, at)| now - *at < RETENTION_MS);
        let fits = self.routes.len() < MAX_REMEMBERED && !self.routes.contains_key(&id);
        if fits {
            self.routes.insert(id, (from.map(str::to_string), now));
        }
        fits
    }

    /// The way back: a fellow, or nobody where it was asked here.
    pub fn return_link(&self, id: u64) -> Option<Option<&str>> {
        self.routes.get(&id).map(|(from, _)| from.as_deref())
    }
}
