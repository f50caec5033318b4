//! Owns a topological order of the edges in use, kept while edges come and go (Pearce and Kelly 2006).
//!
//! An edge goes from a node to one that it may fill from. [`TopologicalOrder::link`] refuses an edge that would close a
//! loop, at a cost that follows the nodes between its ends in the order and not the size of the graph.
//! Must never hold an edge that is part of a loop.

/// A node's place in the arena of its shape.
pub type NodeIndex = u32;

/// The edges in use, and an order in which every edge runs upwards.
#[derive(Debug, Clone, Default)]
pub struct TopologicalOrder {
    place: Vec<u32>,
    up: Vec<Vec<NodeIndex>>,
    down: Vec<Vec<NodeIndex>>,
    /// The last search that came by a node; saves clearing a set for each.
    seen: Vec<u32>,
    search: u32,
}

/// What a new edge would have closed: the nodes from its upper end back to its lower end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cycle(pub Vec<NodeIndex>);

impl TopologicalOrder {
    /// Nodes that were ever added.
    pub fn len(&self) -> usize {
        self.place.len()
    }

    pub fn is_empty(&self) -> bool {
        self.place.is_empty()
    }

    /// Adds a node without edges, at the end of the order.
    pub fn add(&mut self) -> NodeIndex {
        let index = self.place.len() as NodeIndex;
        self.place.push(index);
        self.up.push(Vec::new());
        self.down.push(Vec::new());
        self.seen.push(0);
        index
    }

    /// The nodes that a node's edges in use lead to.
    pub fn above(&self, node: NodeIndex) -> &[NodeIndex] {
        &self.up[node as usize]
    }

    /// The nodes whose edges in use lead to it.
    pub fn below(&self, node: NodeIndex) -> &[NodeIndex] {
        &self.down[node as usize]
    }

    /// Whether no edge in use leads to it or from it.
    pub fn is_apart(&self, node: NodeIndex) -> bool {
        self.above(node).is_empty() && self.below(node).is_empty()
    }

    /// Takes the edge into use, unless it would close a loop. An edge that is in use already stays.
    pub fn link(&mut self, from: NodeIndex, to: NodeIndex) -> Result<(), Cycle> {
        if from == to {
            return Err(Cycle(vec![from]));
        }
        if self.up[from as usize].contains(&to) {
            return Ok(());
        }
        let (low, high) = (self.place[to as usize], self.place[from as usize]);
        if low < high {
            // Only nodes placed between the two ends can be on a loop, or have to move.
            let above = self.reach(to, from, high)?;
            let below = self.reach_down(from, low);
            self.reorder(below, above);
        }
        self.up[from as usize].push(to);
        self.down[to as usize].push(from);
        Ok(())
    }

    /// Takes an edge out of use. The order stays right.
    pub fn unlink(&mut self, from: NodeIndex, to: NodeIndex) {
        self.up[from as usize].retain(|node| *node != to);
        self.down[to as usize].retain(|node| *node != from);
    }

    /// Whether a fill that starts at `from` may come by `to`.
    pub fn reaches(&mut self, from: NodeIndex, to: NodeIndex) -> bool {
        let high = self.place[to as usize];
        from == to || (self.place[from as usize] < high && self.reach(from, to, high).is_err())
    }

    fn begin(&mut self) -> u32 {
        self.search = self.search.wrapping_add(1);
        if self.search == 0 {
            self.seen.fill(0);
            self.search = 1;
        }
        self.search
    }

    /// All nodes above `start` up to that place; the way to `target` where it is among them.
    fn reach(&mut self, start: NodeIndex, target: NodeIndex, high: u32) -> Result<Vec<NodeIndex>, Cycle> {
        let search = self.begin();
        let (mut found, mut way) = (Vec::new(), vec![(start, 0)]);
        self.seen[start as usize] = search;
        while let Some((node, next)) = way.last_mut() {
            let (node, edge) = (*node, *next);
            *next += 1;
            let Some(&above) = self.up[node as usize].get(edge) else {
                found.push(node);
                way.pop();
                continue;
            };
            if above == target {
                return Err(Cycle(way.iter().map(|(node, _)| *node).chain([target]).collect()));
            }
            if self.place[above as usize] < high && self.seen[above as usize] != search {
                self.seen[above as usize] = search;
                way.push((above, 0));
            }
        }
        Ok(found)
    }

    /// All nodes below `start` down to that place.
    fn reach_down(&mut self, start: NodeIndex, low: u32) -> Vec<NodeIndex> {
        let search = self.begin();
        let mut found = vec![start];
        self.seen[start as usize] = search;
        let mut next = 0;
        while let Some(&node) = found.get(next) {
            next += 1;
            for &below in &self.down[node as usize] {
                if self.place[below as usize] > low && self.seen[below as usize] != search {
                    self.seen[below as usize] = search;
                    found.push(below);
                }
            }
        }
        found
    }

    /// Deals the places that both sets hold out anew: first to those below, then to those above.
    fn reorder(&mut self, mut below: Vec<NodeIndex>, mut above: Vec<NodeIndex>) {
        let by_place = |order: &Self, nodes: &mut Vec<NodeIndex>| {
            nodes.sort_unstable_by_key(|node| order.place[*node as usize]);
        };
        by_place(self, &mut below);
        by_place(self, &mut above);
        below.append(&mut above);
        let mut places: Vec<u32> = below.iter().map(|node| self.place[*node as usize]).collect();
        places.sort_unstable();
        for (node, place) in below.into_iter().zip(places) {
            self.place[node as usize] = place;
        }
    }
}
