//! A topological order of the edges in use, maintained as edges are inserted and removed (Pearce and Kelly
//! 2006).
//!
//! An edge leads from a node to one that it may fill from. [`TopologicalOrder::insert_edge`] rejects an edge
//! that would close a cycle. Its cost depends on the number of nodes between the two ends in the order, not
//! on the size of the graph.

/// The index of a node, returned by [`TopologicalOrder::add_node`].
pub type NodeIndex = u32;

/// The edges in use, and an order of the nodes in which every edge leads to a higher position.
#[derive(Debug, Clone, Default)]
pub struct TopologicalOrder {
    /// The position in the order, by node.
    positions: Vec<u32>,
    successors: Vec<Vec<NodeIndex>>,
    predecessors: Vec<Vec<NodeIndex>>,
    /// The last search that visited a node, by node. Avoids clearing a visited set for each search.
    visited_by: Vec<u32>,
    last_search: u32,
}

/// The cycle that an edge would close: the nodes from the edge's end to its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cycle(pub Vec<NodeIndex>);

impl TopologicalOrder {
    /// Number of nodes that were added.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no node was added.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Adds a node without edges at the end of the order.
    pub fn add_node(&mut self) -> NodeIndex {
        let index = self.positions.len() as NodeIndex;
        self.positions.push(index);
        self.successors.push(Vec::new());
        self.predecessors.push(Vec::new());
        self.visited_by.push(0);
        index
    }

    /// The nodes that a node's edges lead to.
    pub fn successors(&self, node: NodeIndex) -> &[NodeIndex] {
        &self.successors[node as usize]
    }

    /// The nodes whose edges lead to a node.
    pub fn predecessors(&self, node: NodeIndex) -> &[NodeIndex] {
        &self.predecessors[node as usize]
    }

    /// Whether a node has no edges.
    pub fn is_isolated(&self, node: NodeIndex) -> bool {
        self.successors(node).is_empty() && self.predecessors(node).is_empty()
    }

    /// Inserts an edge. An edge that exists already is left unchanged.
    ///
    /// # Errors
    ///
    /// The cycle that the edge would close; the order is unchanged.
    pub fn insert_edge(&mut self, from: NodeIndex, to: NodeIndex) -> Result<(), Cycle> {
        if from == to {
            return Err(Cycle(vec![from]));
        }
        if self.successors[from as usize].contains(&to) {
            return Ok(());
        }
        let (lower, upper) = (self.positions[to as usize], self.positions[from as usize]);
        if lower < upper {
            // Only nodes between the two ends can be part of a cycle or need a new position.
            let above = self.find_successors(to, from, upper)?;
            let below = self.find_predecessors(from, lower);
            self.reorder(below, above);
        }
        self.successors[from as usize].push(to);
        self.predecessors[to as usize].push(from);
        Ok(())
    }

    /// Removes an edge. The order remains valid.
    pub fn remove_edge(&mut self, from: NodeIndex, to: NodeIndex) {
        self.successors[from as usize].retain(|node| *node != to);
        self.predecessors[to as usize].retain(|node| *node != from);
    }

    /// Whether a path along the edges leads from one node to the other.
    pub fn reaches(&mut self, from: NodeIndex, to: NodeIndex) -> bool {
        let upper = self.positions[to as usize];
        from == to
            || (self.positions[from as usize] < upper && self.find_successors(from, to, upper).is_err())
    }

    fn begin_search(&mut self) -> u32 {
        self.last_search = self.last_search.wrapping_add(1);
        if self.last_search == 0 {
            self.visited_by.fill(0);
            self.last_search = 1;
        }
        self.last_search
    }

    /// All nodes below the position `upper` that are reachable from `start`, by depth-first search; the path
    /// to `target` as an error if it is reachable.
    fn find_successors(
        &mut self,
        start: NodeIndex,
        target: NodeIndex,
        upper: u32,
    ) -> Result<Vec<NodeIndex>, Cycle> {
        let search = self.begin_search();
        let mut found = Vec::new();
        // Nodes on the current path, each with the index of the edge to follow next.
        let mut path = vec![(start, 0)];
        self.visited_by[start as usize] = search;
        while let Some((node, next_edge)) = path.last_mut() {
            let (node, edge) = (*node, *next_edge);
            *next_edge += 1;
            let Some(&successor) = self.successors[node as usize].get(edge) else {
                found.push(node);
                path.pop();
                continue;
            };
            if successor == target {
                return Err(Cycle(path.iter().map(|(node, _)| *node).chain([target]).collect()));
            }
            let is_below = self.positions[successor as usize] < upper;
            if is_below && self.visited_by[successor as usize] != search {
                self.visited_by[successor as usize] = search;
                path.push((successor, 0));
            }
        }
        Ok(found)
    }

    /// All nodes above the position `lower` that reach `start`, by breadth-first search.
    fn find_predecessors(&mut self, start: NodeIndex, lower: u32) -> Vec<NodeIndex> {
        let search = self.begin_search();
        let mut found = vec![start];
        self.visited_by[start as usize] = search;
        let mut next = 0;
        while let Some(&node) = found.get(next) {
            next += 1;
            for &predecessor in &self.predecessors[node as usize] {
                let is_above = self.positions[predecessor as usize] > lower;
                if is_above && self.visited_by[predecessor as usize] != search {
                    self.visited_by[predecessor as usize] = search;
                    found.push(predecessor);
                }
            }
        }
        found
    }

    /// Redistributes the positions of both sets: the lower ones to the nodes in `below`, the higher ones to
    /// those in `above`.
    fn reorder(&mut self, mut below: Vec<NodeIndex>, mut above: Vec<NodeIndex>) {
        below.sort_unstable_by_key(|node| self.positions[*node as usize]);
        above.sort_unstable_by_key(|node| self.positions[*node as usize]);
        below.append(&mut above);
        let mut positions: Vec<u32> = below.iter().map(|node| self.positions[*node as usize]).collect();
        positions.sort_unstable();
        for (node, position) in below.into_iter().zip(positions) {
            self.positions[node as usize] = position;
        }
    }
}
