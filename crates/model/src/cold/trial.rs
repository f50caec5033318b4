//! A trial: its parameters, and its run.

use linnethook::interface::Ms;

use super::deployments::Deployment;
use super::fleet::{Fleet, RESTART_TIME};
use super::result::TrialResult;

/// The distribution of requests over routers and time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Demand {
    Even,
    /// Every fifth router gets five times as many as each of the others.
    Skewed,
    /// A quarter of the load until some seconds after the start, then six times as much: the load is low at
    /// first so that the token buckets of the routers' slow-start limits are full when it rises.
    Burst,
}

/// Which servers start cold, all at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdServers {
    Cache,
    /// All caches of a location but one.
    Caches,
    Parent,
    /// All parents but one.
    Parents,
}

/// The delay after which routers learn of the crash and of the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateDelay {
    /// Up to half a second, drawn for each router.
    Soon,
    /// Up to 4.5 s, drawn for each router; the server is back before some routers have learned of its crash.
    Late,
}

/// A trial: a deployment under load, of which some servers crash and start cold.
#[derive(Debug, Clone)]
pub struct Trial<'a> {
    /// The simulated deployment.
    pub deployment: &'a Deployment,
    /// Number of routers.
    pub routers: usize,
    /// Distribution of the requests.
    pub demand: Demand,
    /// The servers that crash and start cold.
    pub cold_servers: ColdServers,
    /// Delay of endpoint updates.
    pub update_delay: UpdateDelay,
    /// The number of routers in the settings of each router; `None` = the actual number.
    pub configured_routers: Option<u32>,
    /// The load, as a multiple of the capacity of all caches.
    pub load: f64,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl Trial<'_> {
    /// The servers that start cold. Servers are numbered: caches by location, then parents, then the origin.
    pub(super) fn cold_server_indices(&self) -> Vec<usize> {
        let caches = self.deployment.caches.len();
        let parents = self.deployment.locations * caches;
        match self.cold_servers {
            ColdServers::Cache => vec![0],
            ColdServers::Caches => (0..caches - 1).collect(),
            ColdServers::Parent => vec![parents],
            ColdServers::Parents => (parents..parents + self.deployment.parents.len() - 1).collect(),
        }
    }

    /// When the trial ends.
    pub(super) fn end(&self) -> Ms {
        let slow_start = match self.cold_servers {
            ColdServers::Cache | ColdServers::Caches => self.deployment.settings.cache_slow_start,
            ColdServers::Parent | ColdServers::Parents => self.deployment.settings.parent_slow_start,
        };
        RESTART_TIME + slow_start.duration.min(12_000.0)
    }

    /// Runs the trial; the result combines all servers that start cold.
    pub fn run(&self) -> TrialResult {
        let mut fleet = Fleet::new(self);
        fleet.run();
        let results: Vec<TrialResult> =
            self.cold_server_indices().into_iter().map(|n| fleet.result(n)).collect();
        let mut combined =
            TrialResult { time_to_half: Some(0.0), time_to_nine_tenths: Some(0.0), ..TrialResult::default() };
        for result in &results {
            combined.windows += result.windows;
            combined.over_budget += result.over_budget;
            combined.over_bound += result.over_bound;
            combined.caused_by_notified |= result.caused_by_notified;
            combined.caused_by_notified_by_end |= result.caused_by_notified_by_end;
            if result.max_of_bound > combined.max_of_bound {
                (combined.max_of_bound, combined.budget) = (result.max_of_bound, result.budget);
            }
            combined.max_of_budget = combined.max_of_budget.max(result.max_of_budget);
            let later = |a: Option<Ms>, b: Option<Ms>| a.and_then(|a| b.map(|b| a.max(b)));
            (combined.time_to_half, combined.time_to_nine_tenths) = (
                later(combined.time_to_half, result.time_to_half),
                later(combined.time_to_nine_tenths, result.time_to_nine_tenths),
            );
            combined.ideal_time_to_half = combined.ideal_time_to_half.max(result.ideal_time_to_half);
            combined.ideal_time_to_nine_tenths =
                combined.ideal_time_to_nine_tenths.max(result.ideal_time_to_nine_tenths);
        }
        combined
    }
}
