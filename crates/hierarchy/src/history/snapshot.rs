//! The current topology as one router transfers it to another.

use serde::{Deserialize, Serialize};

use super::{AuthorProgress, History};
use crate::batch::BatchRejection;
use crate::node::{id_as_number, Node, NodeId, Source};
use crate::topology::{NodeRecord, Topology};
use crate::version::{AuthorId, BatchPosition};

/// The current topology with its position in the history, for a router that has just started. The order of
/// fields defines the wire format between routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    records: Vec<SnapshotRecord>,
    #[serde(rename = "known")]
    authors: Vec<SnapshotAuthor>,
    #[serde(rename = "last")]
    last_position: BatchPosition,
}

impl Snapshot {
    /// The timestamp of the newest batch in it.
    pub fn version(&self) -> u64 {
        self.authors.iter().map(|author| author.stamp).max().unwrap_or(0)
    }
}

/// The newest batch of an author, as a tuple of author, number and timestamp.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "(AuthorId, u64, u64)", into = "(AuthorId, u64, u64)")]
struct SnapshotAuthor {
    author: AuthorId,
    number: u64,
    stamp: u64,
}

impl From<(AuthorId, u64, u64)> for SnapshotAuthor {
    fn from((author, number, stamp): (AuthorId, u64, u64)) -> Self {
        Self { author, number, stamp }
    }
}

impl From<SnapshotAuthor> for (AuthorId, u64, u64) {
    fn from(author: SnapshotAuthor) -> Self {
        (author.author, author.number, author.stamp)
    }
}

/// A node with its sources.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct SnapshotRecord {
    node: Node,
    #[serde(rename = "node_by")]
    node_written_by: BatchPosition,
    sources: Vec<Source>,
    /// The sources whose edges are in use.
    #[serde(rename = "used")]
    used_sources: Vec<SerializedNodeId>,
    #[serde(rename = "edges_by")]
    edges_written_by: BatchPosition,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct SerializedNodeId(#[serde(with = "id_as_number")] NodeId);

impl From<&NodeRecord> for SnapshotRecord {
    fn from(record: &NodeRecord) -> Self {
        let used_edges = record.edges.iter().filter(|edge| edge.in_use);
        Self {
            node: record.node,
            node_written_by: record.node_written_by,
            sources: record.listed_sources(),
            used_sources: used_edges.map(|edge| SerializedNodeId(edge.source.node)).collect(),
            edges_written_by: record.edges_written_by,
        }
    }
}

impl History {
    /// A snapshot of the current topology for a router that has just started.
    pub fn snapshot(&self) -> Snapshot {
        let authors = self.authors.iter().map(|(author, newest)| SnapshotAuthor {
            author: *author,
            number: newest.number,
            stamp: newest.stamp,
        });
        Snapshot {
            records: self.topology.records().into_iter().map(SnapshotRecord::from).collect(),
            authors: authors.collect(),
            last_position: self.entries.last().map_or(self.truncated_at, |entry| entry.batch.position()),
        }
    }

    /// Replaces the topology by that of another router. Batches that the other router had not received are
    /// lost unless they are received again; batches that are older than its last one can no longer be
    /// inserted.
    ///
    /// # Errors
    ///
    /// A rejection if the snapshot has too many nodes or lists an unknown source. The history is then
    /// unchanged.
    pub fn restore_snapshot(&mut self, snapshot: Snapshot) -> Result<(), BatchRejection> {
        let max_nodes = self.batch_limits.max_nodes;
        if snapshot.records.len() > max_nodes {
            let got = snapshot.records.len();
            return Err(BatchRejection::LimitExceeded { items: "nodes", got, limit: max_nodes });
        }
        self.topology = topology_of(&snapshot.records)?;
        self.entries.clear();
        self.truncated_at = snapshot.last_position;
        self.authors = snapshot
            .authors
            .into_iter()
            .map(|author| {
                let newest = AuthorProgress { number: author.number, stamp: author.stamp };
                (author.author, newest)
            })
            .collect();
        let authors = &self.authors;
        self.pending.retain(|id, _| authors.get(&id.author).is_none_or(|newest| id.number > newest.number));
        Ok(())
    }
}

fn topology_of(records: &[SnapshotRecord]) -> Result<Topology, BatchRejection> {
    let mut topology = Topology::default();
    for record in records {
        topology.write_node(record.node, record.node_written_by, &mut Default::default());
    }
    for record in records {
        let unknown = record.sources.iter().find(|source| topology.record(source.node).is_none());
        if let Some(source) = unknown {
            return Err(BatchRejection::UnknownNode(source.node));
        }
        topology.restore_sources(record.node.id, &record.sources, record.edges_written_by, |id| {
            record.used_sources.contains(&SerializedNodeId(id))
        });
    }
    Ok(topology)
}
