//! Queries for the routers of another site, flooded over the links and answered along the reverse route.
//!
//! A router forwards each query once, and only while the query has hops left. The remembered routes are
//! bounded in number and age.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::aggregation::location::Location;
use crate::Ms;

/// The site whose routers a query requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryTarget {
    /// The site that knows a router of this name.
    Router(String),
    /// The site at this location.
    Site(Location),
}

/// A query in the form in which it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Identifies the query, and its answer on the reverse route.
    pub id: u64,
    /// How many more links the query may cross.
    pub hops_left: u8,
    /// The queried site.
    pub target: QueryTarget,
}

/// How many links a new query may cross.
pub const MAX_HOPS: u8 = 64;
/// The largest number of queries that are remembered at a time.
const MAX_REMEMBERED: usize = 256;
/// How long a query is remembered, in milliseconds.
const RETENTION_MS: Ms = 30_000.0;

/// The reverse route of a query.
#[derive(Debug, Clone)]
struct Route {
    /// The peer that sent the query first; `None` for a query of this router.
    previous_hop: Option<String>,
    received_at: Ms,
}

/// The routes of recent queries.
#[derive(Debug, Clone, Default)]
pub struct QueryRoutes {
    routes: BTreeMap<u64, Route>,
}

impl QueryRoutes {
    /// Records a query and its previous hop. Returns false if the query is known already or too many are
    /// remembered.
    pub fn register(&mut self, now: Ms, id: u64, from: Option<&str>) -> bool {
        self.routes.retain(|_, route| now - route.received_at < RETENTION_MS);
        let is_accepted = self.routes.len() < MAX_REMEMBERED && !self.routes.contains_key(&id);
        if is_accepted {
            let route = Route { previous_hop: from.map(str::to_string), received_at: now };
            self.routes.insert(id, route);
        }
        is_accepted
    }

    /// The next hop of the answer to a query: a peer, or `Some(None)` for a query that this router started.
    /// `None` for a query that is not remembered.
    pub fn return_link(&self, id: u64) -> Option<Option<&str>> {
        self.routes.get(&id).map(|route| route.previous_hop.as_deref())
    }
}
