//! Queries to other sites, and their answers.

use std::collections::VecDeque;

use crate::control::SiteDetail;

/// Queries that are remembered.
const MAX_QUERIES: usize = 16;

/// A query to another site, with its answer once there is one.
#[derive(Debug)]
pub(super) struct SiteQuery {
    id: u64,
    pub answer: Option<SiteDetail>,
}

/// The last queries; the newest comes last.
#[derive(Debug, Default)]
pub(super) struct SiteQueries(VecDeque<SiteQuery>);

impl SiteQueries {
    /// Adds a query; the oldest one makes room.
    pub fn add(&mut self, id: u64) {
        if self.0.len() >= MAX_QUERIES {
            self.0.pop_front();
        }
        self.0.push_back(SiteQuery { id, answer: None });
    }

    /// The query of that id, if it is remembered.
    pub fn get(&self, id: u64) -> Option<&SiteQuery> {
        self.0.iter().find(|query| query.id == id)
    }

    /// Stores an answer; that of a query that is no longer remembered is dropped.
    pub fn set_answer(&mut self, id: u64, answer: SiteDetail) {
        if let Some(query) = self.0.iter_mut().find(|query| query.id == id) {
            query.answer = Some(answer);
        }
    }
}
