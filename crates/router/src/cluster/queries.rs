//! Queries to other sites, and their answers.

use std::collections::VecDeque;

use crate::control::SiteDetail;

/// The number of queries that are stored.
const MAX_QUERIES: usize = 16;

/// A query to another site, with its answer once it has been received.
#[derive(Debug)]
pub(super) struct SiteQuery {
    id: u64,
    pub answer: Option<SiteDetail>,
}

/// The latest queries, the newest one last.
#[derive(Debug, Default)]
pub(super) struct SiteQueries(VecDeque<SiteQuery>);

impl SiteQueries {
    /// Adds a query. The oldest one is discarded if there are too many.
    pub fn add(&mut self, id: u64) {
        if self.0.len() >= MAX_QUERIES {
            self.0.pop_front();
        }
        self.0.push_back(SiteQuery { id, answer: None });
    }

    /// The query with that id; `None` if it is not stored.
    pub fn get(&self, id: u64) -> Option<&SiteQuery> {
        self.0.iter().find(|query| query.id == id)
    }

    /// Stores an answer. It is dropped if its query is no longer stored.
    pub fn set_answer(&mut self, id: u64, answer: SiteDetail) {
        if let Some(query) = self.0.iter_mut().find(|query| query.id == id) {
            query.answer = Some(answer);
        }
    }
}
