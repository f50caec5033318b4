//! Owns one router's view of its fellows, wired together: what it says, what it hears and passes on, what of that
//! counts here, and who holds its name.
//!
//! Links, bytes and times come in by calls; what is to be done comes out as [`ClusterAction`]s in their order. Must never say
//! more than its pace, pass on what is older than what is known, or dispute a name that it has left alone for a while.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::actions::{ClusterAction, ClusterEvent, EncodedEntry, Participation};
use crate::aggregation::location::{Location, MAX_DEPTH};
use crate::aggregation::query::{Query, QueryRoutes, QueryTarget, MAX_HOPS};
use crate::aggregation::scope::{is_scoped, LinkHandshake, ScopedLinks};
use crate::aggregation::summary::{Summary, SummaryReport};
use crate::aggregation::tree::SummaryTree;
use crate::config::MembershipConfig;
use crate::gossip::entry::{micros, CacheStatus, EntryKey, GossipEntry, Purge, Revision};
use crate::gossip::entry_table::{EntryTable, InsertOutcome, PartitionDigests, PARTITIONS};
use crate::gossip::plumtree::{self, uses_lazy_links, Plumtree};
use crate::gossip::rate_limit::TokenBucket;
use crate::hybrid_clock::{HybridClock, Timestamp};
use crate::membership::{MemberChange, MemberList, MemberState};
use crate::name_conflict::NameHolder;
use crate::straggler::majority_version;
use crate::versions::{ActiveVersions, RouterStatus, VersionFloor, VersionUpdate};
use crate::view::{ClusterCounters, ClusterView, LocationView, RouterView};
use crate::Ms;

/// Two digests of a fellow's table and of the own one, as they were compared last.
type ComparedDigests = (PartitionDigests, PartitionDigests);

/// What a router with a place in the tree keeps beside.
struct TopologyState {
    links: ScopedLinks,
    summaries: SummaryTree,
    plumtree: Plumtree,
    /// The pace holds back what goes link by link, until bundles leave the next time.
    links_deferred: bool,
    queries: QueryRoutes,
    /// Routers whose statements go to all.
    voters: BTreeSet<String>,
    /// The own statement as it was told last, and whether it is to be told again as it is.
    last_status: Option<RouterStatus>,
    republish_status: bool,
    /// When the own step was told last, and what it was.
    last_update_at: Ms,
    last_update: VersionUpdate,
}

pub struct Cluster {
    config: MembershipConfig,
    name: String,
    incarnation: u64,
    table: EntryTable,
    members: MemberList,
    rate_limiter: TokenBucket,
    /// What is to be said: by urgency, then by key.
    pending: BTreeSet<(u8, Vec<u8>)>,
    /// And to whom alone.
    direct: VecDeque<(String, EncodedEntry)>,
    versions: ActiveVersions,
    leaving: bool,
    /// The number of the own statement, and whether it is out of date.
    status_number: u64,
    status_changed: bool,
    last_comparisons: BTreeMap<String, ComparedDigests>,
    /// Starts that do not count, by name.
    rejected_incarnations: BTreeSet<(String, u64)>,
    /// The floor that holds, and since when fellows have been below it.
    floor_in_force: u64,
    grace_period: Ms,
    behind_since: BTreeMap<String, Ms>,
    participation: Participation,
    woke_at: Option<Ms>,
    last_tick: Ms,
    last_flush: Ms,
    next_comparison: Ms,
    /// The time of all that is said and done here.
    pub clock: HybridClock,
    actions: VecDeque<ClusterAction>,
    topology: Option<Box<TopologyState>>,
    pub counters: ClusterCounters,
}

/// Starts that are remembered as void.
const MAX_REJECTED_INCARNATIONS: usize = 256;
/// Facts that wait for one fellow.
const MAX_DIRECT_ENTRIES: usize = 16_384;
/// Facts for all that wait, up to which it is looked at how many bytes they are.
const MAX_PENDING_FOR_EARLY_FLUSH: usize = 256;
/// Bytes of an entry around its body, at the most.
const MAX_ENTRY_OVERHEAD_BYTES: usize = 26;
/// Keys that are none of a fact: the time of whoever speaks, and from the second on words of other parts.
const TIMESTAMP_TAG: u8 = 0xff;
const FIRST_MESSAGE_TAG: u8 = 0xf0;
/// Words of routers with a place: where one stands, a question for detail, and the answer.
const HANDSHAKE_TAG: u8 = 0xf8;
const QUERY_TAG: u8 = 0xf9;
const ANSWER_TAG: u8 = 0xfa;
/// Digests of keys, and of facts, between ends that both know of lazy links.
const PRUNE_TAG: u8 = 0xfb;
const IHAVE_TAG: u8 = 0xfc;
const GRAFT_TAG: u8 = 0xfd;

fn urgency(key: &[u8]) -> u8 {
    match EntryKey::decode(key) {
        Some(EntryKey::NameConflict(_) | EntryKey::Floor) => 0,
        Some(EntryKey::Cache(_) | EntryKey::Object(_) | EntryKey::Group(_)) => 1,
        Some(EntryKey::Router(_) | EntryKey::VersionUpdate(_) | EntryKey::Summary(_)) => 2,
        Some(EntryKey::Batch(..)) => 3,
        None => 4,
    }
}

impl Cluster {
    pub fn new(now: Ms, rules: MembershipConfig, name: &str, start: u64, acts: ActiveVersions) -> Self {
        Self {
            name: name.to_string(),
            incarnation: start,
            table: EntryTable::new(rules.table_limits),
            members: MemberList::new(rules.timeouts, name, start),
            rate_limiter: TokenBucket::new(now, rules.rate_limit),
            pending: BTreeSet::new(),
            direct: VecDeque::new(),
            versions: acts,
            leaving: false,
            status_number: 0,
            status_changed: true,
            last_comparisons: BTreeMap::new(),
            rejected_incarnations: BTreeSet::new(),
            floor_in_force: 0,
            grace_period: f64::INFINITY,
            behind_since: BTreeMap::new(),
            participation: Participation::Active,
            woke_at: None,
            last_tick: now,
            last_flush: now - rules.flush_interval,
            next_comparison: now + rules.comparison_interval,
            clock: HybridClock::default(),
            actions: VecDeque::new(),
            topology: None,
            counters: ClusterCounters::default(),
            config: rules,
        }
    }

    /// The same router at a place in the tree: what it says of itself goes within its site alone, and beyond that
    /// summaries.
    pub fn with_location(mut self, now: Ms, place: Option<Location>) -> Self {
        self.topology = place.map(|place| {
            let from = now + self.config.timeouts.suspect_after;
            Box::new(TopologyState {
                summaries: SummaryTree::new(self.config.aggregation, &self.name, place.clone(), from),
                links: ScopedLinks::new(place),
                plumtree: Plumtree::new(self.config.plumtree),
                links_deferred: false,
                queries: QueryRoutes::default(),
                voters: BTreeSet::new(),
                last_status: None,
                republish_status: false,
                last_update_at: now,
                last_update: VersionUpdate::from_versions(&self.versions),
            })
        });
        self
    }

    pub fn location(&self) -> Option<&Location> {
        self.topology.as_ref().map(|placed| placed.links.location())
    }

    /// Whose statements go to all, whatever their places: a roll of voters.
    pub fn set_voters(&mut self, names: &[String]) {
        if let Some(placed) = &mut self.topology {
            let roll: BTreeSet<String> = names.iter().cloned().collect();
            placed.republish_status |= placed.voters != roll;
            self.status_changed |= placed.voters != roll;
            placed.voters = roll;
        }
    }

    pub fn next_action(&mut self) -> Option<ClusterAction> {
        self.actions.pop_front()
    }

    pub fn participation(&self) -> Participation {
        self.participation
    }

    pub fn members(&self) -> &MemberList {
        &self.members
    }

    pub fn table(&self) -> &EntryTable {
        &self.table
    }

    fn emit(&mut self, note: ClusterEvent) {
        self.actions.push_back(ClusterAction::Event(note));
    }

    // ---- The own side.

    /// What this router acts on from now on.
    pub fn set_versions(&mut self, acts: &ActiveVersions) {
        if self.versions == *acts {
            return;
        }
        let ActiveVersions { build, settings_digest: settings, operator_digest: operator, .. } =
            &self.versions;
        let same = (build, settings, operator) == (&acts.build, &acts.settings_digest, &acts.operator_digest);
        self.versions.clone_from(acts);
        self.status_changed |= self.topology.is_none() || !same;
    }

    /// Whether the own step is due, where it is told alone: at once with the hierarchy, else in its time.
    fn version_update_is_due(&self, now: Ms) -> bool {
        now >= self.version_update_deadline()
    }

    fn version_update_deadline(&self) -> Ms {
        let Some(placed) = &self.topology else { return f64::INFINITY };
        let step = VersionUpdate::from_versions(&self.versions);
        match step == placed.last_update {
            true => f64::INFINITY,
            false if step.hierarchy != placed.last_update.hierarchy => {
                placed.last_update_at + self.config.flush_interval
            }
            false => placed.last_update_at + self.config.aggregation.progress_interval,
        }
    }

    /// It ends what it has, and nothing new.
    pub fn leave(&mut self, now: Ms) {
        self.leaving = true;
        self.status_changed = true;
        self.last_flush = now - self.config.flush_interval;
        self.tick(now);
    }

    /// A link with a fellow came up, or its last connection went down.
    pub fn set_link(&mut self, name: &str, start: u64, up: bool) {
        self.members.set_link(name, start, up);
        if !up {
            self.last_comparisons.remove(name);
            self.direct.retain(|(to, _)| to != name);
        }
        self.status_changed = true;
        if let Some(placed) = &mut self.topology {
            match up {
                true => {
                    placed.links.add_link(name);
                    placed.plumtree.add_link(name);
                }
                false => {
                    placed.links.remove_link(name);
                    placed.plumtree.remove_link(name);
                }
            }
        }
        if up {
            self.send_handshake(name);
        }
    }

    /// Tells a fellow where this router stands.
    fn send_handshake(&mut self, name: &str) {
        let Some(placed) = &self.topology else { return };
        let (place, prunes) = (placed.links.location().clone(), placed.plumtree.uses_lazy_links());
        let greeting = LinkHandshake {
            location: place,
            hierarchy: self.versions.hierarchy,
            supports_lazy_links: prunes,
        };
        self.direct.push_back((name.to_string(), (vec![HANDSHAKE_TAG], greeting.encode())));
    }

    fn handle_handshake(&mut self, from: &str, greeting: LinkHandshake) {
        let Some(placed) = &mut self.topology else { return };
        if !greeting.location.is_valid() {
            self.counters.unreadable += 1;
            return;
        }
        placed.plumtree.set_lazy_support(from, greeting.supports_lazy_links);
        if placed.links.record_handshake(from, greeting) {
            self.enqueue_known_entries(from);
        }
    }

    /// It is known where a fellow stands: it is told what is for it.
    fn enqueue_known_entries(&mut self, name: &str) {
        self.status_changed = true;
        let Some(placed) = &mut self.topology else { return };
        let Some(common) = placed.links.common_depth(name) else { return };
        for key in self.table.keys_within(common) {
            if EntryKey::decode(key).is_some_and(|key| is_scoped(&key)) {
                placed.links.enqueue(name, urgency(key), key, self.table.depth(key));
            }
        }
    }

    /// A fact is new here: it goes on to all that it is for, over lazy links as a digest.
    fn propagate(&mut self, now: Ms, key: Vec<u8>, order: Revision, depth: usize, from: Option<&str>) {
        let kind = EntryKey::decode(&key).filter(is_scoped);
        let (Some(kind), Some(placed)) = (kind, &mut self.topology) else {
            self.pending.insert((urgency(&key), key));
            return;
        };
        let pruned = uses_lazy_links(&kind);
        if pruned {
            placed.plumtree.record_new(now, &key, order, from);
        }
        for name in placed.links.recipients(depth, from) {
            match pruned && placed.plumtree.is_lazy(&name, &key) {
                true => placed.plumtree.queue_ihave(&name, &key, order),
                false => placed.links.enqueue(&name, urgency(&key), &key, depth),
            }
        }
    }

    /// Something that is known here by itself: by the own journal or by people. Whether it is new.
    pub fn publish(&mut self, now: Ms, key: &EntryKey, entry: GossipEntry) -> bool {
        self.publish_within(now, key, entry, 0)
    }

    fn publish_within(&mut self, now: Ms, key: &EntryKey, entry: GossipEntry, depth: usize) -> bool {
        let (key, order) = (key.encode(), entry.revision);
        let taken = self.table.insert_within(now, &key, entry, depth);
        match taken {
            InsertOutcome::Inserted => self.propagate(now, key, order, depth, None),
            InsertOutcome::Stale => {}
            InsertOutcome::Rejected => self.counters.entries_rejected += 1,
        }
        taken == InsertOutcome::Inserted
    }

    /// A line of the list of caches, by the own journal.
    pub fn publish_cache(&mut self, now: Ms, name: &str, line: CacheStatus, number: u64) {
        self.publish(now, &EntryKey::Cache(name.to_string()), GossipEntry::new((number, 0), 1, &line));
    }

    /// A purge, by the own journal.
    pub fn publish_purge(&mut self, now: Ms, key: &EntryKey, purge: Purge) {
        self.publish(
            now,
            key,
            GossipEntry::new((micros(purge.issued_at), purge.journal_position), 1, &purge),
        );
    }

    pub fn publish_batch(&mut self, now: Ms, author: u16, number: u64, stamp: u64, body: Vec<u8>) -> bool {
        let entry = GossipEntry { revision: (stamp, 0), body_version: 1, body };
        self.publish(now, &EntryKey::Batch(author, number), entry)
    }

    // ---- What is settled.

    /// People set the floor, or take it back with 0.
    pub fn set_floor(&mut self, now: Ms, version: u64) {
        let at = self.clock.next_timestamp(now);
        let floor = VersionFloor { version, set_by: self.name.clone() };
        self.publish(now, &EntryKey::Floor, GossipEntry::new((at.ms, u64::from(at.counter)), 1, &floor));
    }

    /// The floor that people have set.
    pub fn operator_floor(&self) -> Option<VersionFloor> {
        self.table.get(&EntryKey::Floor.encode())?.decode_body()
    }

    /// The version below which nobody is to act: by people, or by a majority of the roll of voters, if there is one.
    pub fn floor(&self, voters: &[String]) -> u64 {
        let version = |name: &String| match *name == self.name {
            true => Some(self.versions.hierarchy.0),
            false => Some(self.versions_of(name)?.hierarchy.0),
        };
        let versions: Vec<Option<u64>> = voters.iter().map(version).collect();
        majority_version(&versions).max(self.operator_floor().map_or(0, |floor| floor.version))
    }

    /// What a router acts on; one of the roll may stand elsewhere.
    fn versions_of(&self, name: &str) -> Option<ActiveVersions> {
        if let Some(member) = self.members.get(name) {
            return Some(member.status.versions.clone());
        }
        self.topology.as_ref().filter(|placed| placed.voters.contains(name))?;
        let said = self.table.get(&EntryKey::Router(name.to_string()).encode())?;
        let mut acts = RouterStatus::decode(said)?.versions;
        let step = self.table.get(&EntryKey::VersionUpdate(name.to_string()).encode());
        let step = step.filter(|step| step.revision > said.revision && step.revision.0 == said.revision.0);
        if let Some(step) = step.and_then(GossipEntry::decode_body::<VersionUpdate>) {
            step.apply_to(&mut acts);
        }
        Some(acts)
    }

    /// The floor that holds is so high; those that stay below it for longer than that are stragglers.
    pub fn enforce_floor(&mut self, now: Ms, floor: u64, bound: Ms) {
        self.grace_period = bound;
        if self.floor_in_force != floor {
            self.floor_in_force = floor;
            self.behind_since.clear();
        }
        let behind = self.members.iter().filter(|(_, member)| member.status.versions.hierarchy.0 < floor);
        let mut behind: BTreeSet<String> = behind.map(|(name, _)| name.clone()).collect();
        // Whoever speaks for a site names itself too: nobody else names it elsewhere.
        if self.versions.hierarchy.0 < floor {
            behind.insert(self.name.clone());
        }
        if let Some(placed) = &mut self.topology {
            let across = placed.links.remote_peers().filter(|(_, greeting)| greeting.hierarchy.0 < floor);
            behind.extend(across.map(|(name, _)| name.clone()));
            // Somebody may be one from now on, or not any more.
            if !behind.is_empty() || !self.behind_since.is_empty() {
                placed.summaries.mark_changed(now);
            }
        }
        self.behind_since.retain(|name, _| behind.contains(name));
        behind.into_iter().for_each(|name| _ = self.behind_since.entry(name).or_insert(now));
    }

    pub fn is_straggler(&self, now: Ms, name: &str) -> bool {
        self.behind_since.get(name).is_some_and(|since| now - since >= self.grace_period)
    }

    /// Fellows with a link that act on a newer hierarchy than this router.
    pub fn peers_ahead(&self) -> Vec<&str> {
        let (version, _) = self.versions.hierarchy;
        let linked =
            self.members.links().filter_map(|(name, start)| Some((name, start, self.members.get(name)?)));
        let ahead = linked.filter(|(_, start, member)| {
            let theirs = member.status.versions.hierarchy;
            **start == member.incarnation && theirs.0 > version
        });
        let across = self.topology.iter().flat_map(|placed| placed.links.remote_peers());
        let across = across.filter(|(_, greeting)| greeting.hierarchy.0 > version);
        ahead.map(|(name, ..)| name.as_str()).chain(across.map(|(name, _)| name.as_str())).collect()
    }

    /// Whether any fellow is within reach.
    pub fn has_reachable_peer(&self) -> bool {
        let across =
            self.topology.as_ref().is_some_and(|placed| placed.links.remote_peers().next().is_some());
        across || self.members.iter().any(|(_, member)| member.state == MemberState::Alive)
    }

    /// What there is to be known of something, whoever told it.
    pub fn cache_status(&self, name: &str) -> Option<(CacheStatus, u64)> {
        let entry = self.table.get(&EntryKey::Cache(name.to_string()).encode())?;
        Some((entry.decode_body()?, entry.revision.0))
    }

    /// A word of another part to one fellow, as far as the pace goes; false where too much waits.
    pub fn send_message(&mut self, to: &str, kind: u8, bytes: Vec<u8>) -> bool {
        let room = self.participation == Participation::Active && self.direct.len() < MAX_DIRECT_ENTRIES;
        if room {
            self.direct.push_back((to.to_string(), (vec![kind.max(FIRST_MESSAGE_TAG)], bytes)));
        }
        room
    }

    fn with_timestamp(&mut self, now: Ms, mut said: Vec<EncodedEntry>) -> Vec<EncodedEntry> {
        let stamp = postcard::to_stdvec(&self.clock.next_timestamp(now)).unwrap_or_default();
        said.insert(0, (vec![TIMESTAMP_TAG], stamp));
        said
    }

    // ---- What fellows say.

    /// A fellow says something: a fact, or, without a key, the digests of its table.
    pub fn receive(&mut self, now: Ms, from: &str, key: &[u8], bytes: &[u8]) {
        if self.participation != Participation::Active {
            return;
        }
        self.counters.messages_received += 1;
        if key.is_empty() {
            return match postcard::from_bytes::<PartitionDigests>(bytes) {
                Ok(digests) => self.handle_digests(now, from, digests),
                Err(_) => self.counters.unreadable += 1,
            };
        }
        match key {
            [TIMESTAMP_TAG] => {
                return match postcard::from_bytes::<Timestamp>(bytes) {
                    Ok(stamp) => self.clock.observe(now, stamp),
                    Err(_) => self.counters.unreadable += 1,
                };
            }
            [kind @ (HANDSHAKE_TAG | QUERY_TAG | ANSWER_TAG | PRUNE_TAG | IHAVE_TAG | GRAFT_TAG)]
                if self.topology.is_some() =>
            {
                return self.handle_topology_message(now, from, *kind, bytes);
            }
            [kind] if *kind >= FIRST_MESSAGE_TAG => {
                let (from, kind, bytes) = (from.to_string(), *kind, bytes.to_vec());
                return self.actions.push_back(ClusterAction::Message { from, kind, bytes });
            }
            _ => {}
        }
        let Some(entry) = GossipEntry::decode(bytes) else {
            self.counters.unreadable += 1;
            return;
        };
        match EntryKey::decode(key) {
            Some(EntryKey::Router(name)) => self.handle_status(now, from, key, &name, entry),
            Some(EntryKey::NameConflict(name)) => self.handle_name_conflict(now, from, key, &name, entry),
            Some(EntryKey::VersionUpdate(name)) => self.handle_version_update(now, from, key, &name, entry),
            Some(EntryKey::Summary(place)) => self.handle_summary(now, from, key, place, entry),
            // What a straggler says of the world does not count, until it has caught up; then it is told again.
            Some(kind) if kind != EntryKey::Floor && self.is_straggler(now, from) => {
                self.counters.straggler_entries_ignored += 1
            }
            Some(kind) => {
                if self.accept_entry(now, from, key, entry.clone(), 0) {
                    self.apply_entry(kind, &entry);
                }
            }
            None => _ = self.accept_entry(now, from, key, entry, 0),
        }
    }

    /// Takes a fact in and passes it on, where it is new, to all with so many names of their places in common.
    fn accept_entry(&mut self, now: Ms, from: &str, key: &[u8], entry: GossipEntry, depth: usize) -> bool {
        let order = entry.revision;
        let taken = self.table.insert_within(now, key, entry, depth);
        match taken {
            InsertOutcome::Inserted => {
                self.counters.entries_new += 1;
                self.propagate(now, key.to_vec(), order, depth, Some(from));
            }
            InsertOutcome::Stale => {
                self.counters.entries_stale += 1;
                if let Some(placed) = self.topology.as_mut() {
                    placed.plumtree.record_duplicate(from, key, order);
                }
            }
            InsertOutcome::Rejected => self.counters.entries_rejected += 1,
        }
        let known = self.table.get(key).map(|known| known.revision);
        // Who tells it need not be told it.
        if let Some(placed) = self.topology.as_mut().filter(|_| known == Some(order)) {
            placed.links.dequeue(from, urgency(key), key);
        }
        taken == InsertOutcome::Inserted
    }

    /// News of the journal or of the hierarchy: whoever knows the own journal says whether it is news here.
    fn apply_entry(&mut self, key: EntryKey, entry: &GossipEntry) {
        let action = match key {
            EntryKey::Cache(name) => entry.decode_body().map(|line| ClusterAction::CacheChanged {
                name,
                status: line,
                journal_position: entry.revision.0,
            }),
            EntryKey::Object(_) | EntryKey::Group(_) => {
                entry.decode_body().map(|purge| ClusterAction::Purged { key, purge })
            }
            EntryKey::Batch(..) => Some(ClusterAction::BatchReceived(entry.body.clone())),
            EntryKey::Floor => return,
            EntryKey::Router(_)
            | EntryKey::NameConflict(_)
            | EntryKey::VersionUpdate(_)
            | EntryKey::Summary(_) => None,
        };
        match action {
            Some(action) => self.actions.push_back(action),
            None => self.counters.unreadable += 1,
        }
    }

    /// Whether a statement is of this site. One of a build without places is, if whoever tells it is.
    fn is_same_site(&self, from: &str, place: Option<&Location>) -> bool {
        self.topology.as_ref().is_none_or(|placed| match place {
            Some(place) => place == placed.links.location(),
            None => placed.links.is_same_site(from),
        })
    }

    /// How far a router's statement goes from here; nothing where it is for another place.
    fn status_depth(&self, name: &str, here: bool) -> Option<usize> {
        let Some(placed) = &self.topology else { return Some(0) };
        match placed.voters.contains(name) {
            true => Some(0),
            false => here.then_some(placed.links.location().depth()),
        }
    }

    fn handle_status(&mut self, now: Ms, from: &str, key: &[u8], name: &str, entry: GossipEntry) {
        let start = entry.revision.0;
        if name == self.name {
            // An earlier start, and what comes back of what was said here, count for nothing.
            if start > self.incarnation && !self.rejected_incarnations.contains(&(name.to_string(), start)) {
                self.handle_later_incarnation(now, start);
            }
            return;
        }
        if self.rejected_incarnations.contains(&(name.to_string(), start)) {
            self.counters.entries_stale += 1;
            return;
        }
        let statement = RouterStatus::decode(&entry);
        if self.topology.as_mut().is_some_and(|placed| placed.links.mark_without_location(from)) {
            self.enqueue_known_entries(from);
        }
        let place = statement.as_ref().and_then(|statement| statement.location.as_ref());
        let here = self.is_same_site(from, place);
        let readable = statement.is_some() || self.topology.is_none();
        let Some(depth) = self.status_depth(name, here).filter(|_| readable) else {
            self.counters.out_of_scope += 1;
            return;
        };
        if self.accept_entry(now, from, key, entry, depth) {
            let Some(statement) = statement else {
                self.counters.unreadable += 1;
                return;
            };
            if !here {
                return;
            }
            if let Some(change) = self.members.update_status(now, name, start, statement) {
                self.emit(ClusterEvent::Member { name: name.to_string(), incarnation: start, change });
            }
            self.apply_version_update(name);
            self.site_changed(now);
        }
    }

    fn site_changed(&mut self, now: Ms) {
        if let Some(placed) = &mut self.topology {
            placed.summaries.mark_changed(now);
        }
    }

    /// A step counts where it is newer than the statement that it belongs to.
    fn apply_version_update(&mut self, name: &str) {
        let Some(step) = self.table.get(&EntryKey::VersionUpdate(name.to_string()).encode()) else { return };
        let said = self.table.get(&EntryKey::Router(name.to_string()).encode());
        let newer =
            said.is_some_and(|said| said.revision < step.revision && said.revision.0 == step.revision.0);
        if let Some(read) = step.decode_body::<VersionUpdate>().filter(|_| newer) {
            self.members.apply_version_update(name, step.revision.0, &read);
        }
    }

    fn handle_version_update(&mut self, now: Ms, from: &str, key: &[u8], name: &str, entry: GossipEntry) {
        let known = self.table.get(&EntryKey::Router(name.to_string()).encode());
        // Whose statement is for another place, or is not here yet, has no step here.
        let known = known.is_some_and(|known| known.revision.0 == entry.revision.0);
        if name == self.name || !known && self.topology.is_some() {
            return;
        }
        let depth = self.table.depth(&EntryKey::Router(name.to_string()).encode());
        if self.accept_entry(now, from, key, entry, depth) {
            self.apply_version_update(name);
            self.site_changed(now);
        }
    }

    /// What is said of a place as a whole: for all within the place around it.
    fn handle_summary(&mut self, now: Ms, from: &str, key: &[u8], place: Location, entry: GossipEntry) {
        let Some(placed) = &self.topology else {
            self.accept_entry(now, from, key, entry, 0);
            return;
        };
        let depth = place.depth().saturating_sub(1);
        let told =
            entry.decode_body::<SummaryReport>().filter(|told| place.is_valid() && told.summary.is_valid());
        let Some(told) = told else {
            self.counters.unreadable += 1;
            return;
        };
        let age = self.clock.last().ms.saturating_sub(entry.revision.0);
        let old = age as f64 >= self.config.timeouts.forget_after + placed.summaries.validity();
        if placed.links.location().common_depth(&place) < depth || old {
            self.counters.out_of_scope += 1;
            return;
        }
        let order = entry.revision;
        if self.accept_entry(now, from, key, entry, depth) {
            if let Some(placed) = &mut self.topology {
                placed.summaries.receive(now, place, told, order);
            }
        }
    }

    // ---- Places.

    /// The own site, router by router.
    fn site_view(&self, now: Ms) -> Vec<RouterView> {
        let shown = self.view(now);
        std::iter::once(shown.me).chain(shown.others).collect()
    }

    /// The own site as a whole, and whether this router is the first by name to speak for it.
    fn site_summary(&self, now: Ms) -> (Summary, bool) {
        let mut sum = Summary::default();
        let straggler = self.is_straggler(now, &self.name);
        sum.add_router(&self.name, MemberState::Alive, self.leaving, &self.versions, straggler);
        let mut first = (self.leaving, &self.name);
        for (name, member) in self.members.iter() {
            let RouterStatus { versions: acts, leaving, .. } = &member.status;
            sum.add_router(name, member.state, *leaving, acts, self.is_straggler(now, name));
            if member.state == MemberState::Alive {
                first = first.min((*leaving, name));
            }
        }
        let mine = *first.1 == self.name;
        (sum, mine)
    }

    fn publish_summaries(&mut self, now: Ms) {
        if self.topology.as_ref().is_none_or(|placed| now < placed.summaries.next_deadline()) {
            return;
        }
        let (site, first) = self.site_summary(now);
        let clock = self.clock.next_timestamp(now);
        let Some(placed) = &mut self.topology else { return };
        for (place, told, order) in placed.summaries.due_reports(now, clock, &site, first) {
            self.counters.summaries_published += 1;
            let depth = place.depth() - 1;
            self.publish_within(now, &EntryKey::Summary(place), GossipEntry::new(order, 1, &told), depth);
        }
    }

    /// Asks for the detail of a site elsewhere; the number under which the answer comes, or nothing where there is no
    /// place, or too much was asked.
    pub fn start_query(&mut self, now: Ms, asked: QueryTarget) -> Option<u64> {
        let at = self.clock.next_timestamp(now);
        let id = xxhash_rust::xxh3::xxh3_64(format!("{}/{}/{at}", self.name, self.incarnation).as_bytes());
        self.topology.as_mut()?.queries.register(now, id, None).then_some(())?;
        self.handle_query(now, None, &Query { id, hops_left: MAX_HOPS, target: asked });
        Some(id)
    }

    fn handle_topology_message(&mut self, now: Ms, from: &str, kind: u8, bytes: &[u8]) {
        match kind {
            HANDSHAKE_TAG => match LinkHandshake::decode(bytes) {
                Some(greeting) => self.handle_handshake(from, greeting),
                None => self.counters.unreadable += 1,
            },
            PRUNE_TAG | IHAVE_TAG | GRAFT_TAG => match plumtree::decode_digests(bytes) {
                Some(digests) => self.handle_plumtree_message(now, from, kind, &digests),
                None => self.counters.unreadable += 1,
            },
            QUERY_TAG => match postcard::from_bytes::<Query>(bytes) {
                Ok(query) => {
                    let placed = self.topology.as_mut();
                    if placed.is_some_and(|placed| placed.queries.register(now, query.id, Some(from))) {
                        self.handle_query(now, Some(from), &query);
                    }
                }
                Err(_) => self.counters.unreadable += 1,
            },
            _ => match postcard::from_bytes::<(u64, Location, Vec<RouterView>)>(bytes) {
                Ok((id, place, lines)) => self.route_answer(id, place, lines, bytes.to_vec()),
                Err(_) => self.counters.unreadable += 1,
            },
        }
    }

    /// A word of what goes over which link.
    fn handle_plumtree_message(&mut self, now: Ms, from: &str, kind: u8, digests: &[plumtree::Digest]) {
        let Some(placed) = &mut self.topology else { return };
        match kind {
            PRUNE_TAG => placed.plumtree.handle_prune(from, digests),
            IHAVE_TAG => placed.plumtree.handle_ihave(now, from, digests),
            _ => {
                for key in placed.plumtree.handle_graft(from, digests) {
                    let depth = self.table.depth(&key);
                    placed.links.enqueue(from, urgency(&key), &key, depth);
                }
            }
        }
    }

    /// A question: answered by the one that speaks for the site that it is for, else passed on.
    fn handle_query(&mut self, now: Ms, from: Option<&str>, query: &Query) {
        let Some(placed) = &self.topology else { return };
        let own = placed.links.location().clone();
        let about_here = match &query.target {
            QueryTarget::Site(place) => *place == own,
            QueryTarget::Router(name) => *name == self.name || self.members.get(name).is_some(),
        };
        if about_here && self.site_summary(now).1 {
            let lines = self.site_view(now);
            let bytes = postcard::to_stdvec(&(query.id, &own, &lines)).unwrap_or_default();
            return self.route_answer(query.id, own, lines, bytes);
        }
        let Some(hops) = query.hops_left.checked_sub(1) else { return };
        let bytes = postcard::to_stdvec(&Query { hops_left: hops, ..query.clone() }).unwrap_or_default();
        let on = placed.links.peers_with_location().filter(|name| from != Some(name.as_str()));
        let on: Vec<String> = on.cloned().collect();
        for name in on {
            self.send_message(&name, QUERY_TAG, bytes.clone());
        }
    }

    /// An answer goes back the way that its question came.
    fn route_answer(&mut self, id: u64, place: Location, lines: Vec<RouterView>, bytes: Vec<u8>) {
        let way = self.topology.as_ref().and_then(|placed| placed.queries.return_link(id));
        match way.map(|way| way.map(str::to_string)) {
            Some(None) => {
                self.actions.push_back(ClusterAction::Answer { id, location: place, routers: lines })
            }
            Some(Some(to)) => _ = self.send_message(&to, ANSWER_TAG, bytes),
            None => {}
        }
    }

    /// A process under this name that started after this one. Who was frozen, or ends, leaves the name to it; else the
    /// later one is refused.
    fn handle_later_incarnation(&mut self, now: Ms, start: u64) {
        if self.leaving {
            return;
        }
        if self.woke_at.is_some_and(|woke| now - woke < self.config.yield_window) {
            return self
                .stop_participating(Participation::Yielded(start), ClusterEvent::Yielded { holder: start });
        }
        self.counters.name_conflicts += 1;
        self.emit(ClusterEvent::NameConflict { incarnation: start });
        self.reject_incarnation(self.name.clone(), start);
        let entry = GossipEntry::new((start, 0), 1, &NameHolder { incarnation: self.incarnation });
        self.publish(now, &EntryKey::NameConflict(self.name.clone()), entry);
        // Whoever dropped what the other one said has to hear of this one again.
        self.status_changed = true;
        if let Some(placed) = &mut self.topology {
            placed.republish_status = true;
        }
    }

    fn reject_incarnation(&mut self, name: String, start: u64) {
        if self.rejected_incarnations.len() >= MAX_REJECTED_INCARNATIONS {
            self.rejected_incarnations.pop_first();
        }
        self.rejected_incarnations.insert((name, start));
    }

    fn handle_name_conflict(&mut self, now: Ms, from: &str, key: &[u8], name: &str, entry: GossipEntry) {
        let start = entry.revision.0;
        let Some(NameHolder { incarnation: holder }) = entry.decode_body() else {
            self.counters.unreadable += 1;
            return;
        };
        if !self.accept_entry(now, from, key, entry, 0) {
            return;
        }
        if name == self.name {
            if start == self.incarnation {
                self.stop_participating(Participation::Refused(holder), ClusterEvent::Refused { holder });
            }
            return;
        }
        self.reject_incarnation(name.to_string(), start);
        let said = EntryKey::Router(name.to_string()).encode();
        if self.table.get(&said).is_some_and(|known| known.revision.0 == start) {
            self.table.remove(&said);
            self.table.remove(&EntryKey::VersionUpdate(name.to_string()).encode());
            self.members.remove_incarnation(name, start);
            self.site_changed(now);
        }
    }

    fn stop_participating(&mut self, part: Participation, note: ClusterEvent) {
        self.participation = part;
        self.pending.clear();
        self.direct.clear();
        self.emit(note);
        self.actions.push_back(ClusterAction::CloseLinks);
    }

    /// What lacks elsewhere is said to whom it lacks, once neither table has changed between two comparisons: what is
    /// on its way is no gap.
    fn handle_digests(&mut self, now: Ms, from: &str, theirs: PartitionDigests) {
        let common = match &self.topology {
            Some(placed) => placed.links.common_depth(from),
            None => Some(MAX_DEPTH),
        };
        // What is for whom is not known yet.
        let Some(common) = common else { return };
        let mine = self.table.digests_within(common);
        let before = self.last_comparisons.insert(from.to_string(), (theirs, mine));
        let Some((their_last, my_last)) = before else { return };
        // A part that stood still on both sides, and differs.
        let mut asked = mine;
        for n in 0..PARTITIONS {
            if their_last[n] == theirs[n] && my_last[n] == mine[n] {
                asked[n] = theirs[n];
            }
        }
        let gap = self.table.differing_within(&asked, common);
        if self.direct.len() + gap.len() > MAX_DIRECT_ENTRIES {
            self.counters.entries_rejected += 1;
            return;
        }
        self.counters.entries_repaired += gap.len() as u64;
        self.direct.extend(gap.into_iter().map(|(key, entry)| (from.to_string(), (key, entry.encode()))));
        self.flush(now);
    }

    // ---- Time.

    /// All that is due by now.
    pub fn tick(&mut self, now: Ms) {
        let gap = now - self.last_tick;
        self.last_tick = now;
        if gap >= self.config.freeze_threshold {
            self.woke_at = Some(now);
            self.counters.freezes += 1;
            self.emit(ClusterEvent::Frozen(gap as u64));
            if let Some(placed) = &mut self.topology {
                placed.summaries.stay_silent_until(now + self.config.timeouts.suspect_after);
            }
        }
        if self.participation != Participation::Active {
            return;
        }
        for (name, start, change) in self.members.tick(now) {
            if change == MemberChange::Forgotten {
                for key in [EntryKey::Router(name.clone()), EntryKey::VersionUpdate(name.clone())] {
                    self.remove_entry(&key.encode());
                }
            }
            self.site_changed(now);
            self.emit(ClusterEvent::Member { name, incarnation: start, change });
        }
        if now - self.last_flush >= self.config.flush_interval {
            self.last_flush = now;
            self.publish_status(now);
            self.publish_version_update(now);
            self.publish_summaries(now);
            self.flush(now);
        } else if self.links_are_due(now) {
            // What is for some goes on over a link as soon as that has been quiet for so long.
            match self.has_room_for_links(now) {
                true => self.flush_links(now),
                false => self.defer_links(),
            }
        }
        if now >= self.next_comparison {
            self.next_comparison = now + self.config.comparison_interval;
            self.expire(now);
            let fellows: BTreeSet<String> = self.members.links().map(|(name, _)| name.clone()).collect();
            for name in fellows {
                let common = match &self.topology {
                    Some(placed) => placed.links.common_depth(&name),
                    None => Some(MAX_DEPTH),
                };
                let Some(common) = common else { continue };
                let digests = postcard::to_stdvec(&self.table.digests_within(common)).unwrap_or_default();
                self.count_sent(digests.len());
                self.actions.push_back(ClusterAction::SendTo(name, vec![(Vec::new(), digests.clone())]));
            }
        }
    }

    fn publish_status(&mut self, now: Ms) {
        if !std::mem::take(&mut self.status_changed) {
            return;
        }
        let place = self.location().cloned();
        let here = |(name, _): &&(String, u64)| {
            self.topology.as_ref().is_none_or(|placed| placed.links.is_same_site(name))
        };
        let links = self.members.links().filter(here).cloned().collect();
        let statement =
            RouterStatus { versions: self.versions.clone(), links, leaving: self.leaving, location: place };
        let mut depth = 0;
        if let Some(placed) = &mut self.topology {
            let told = |said: &RouterStatus| {
                let steady = |of: &RouterStatus| {
                    let ActiveVersions {
                        build, settings_digest: settings, operator_digest: operator, ..
                    } = &of.versions;
                    (build.clone(), *settings, *operator, of.links.clone(), of.leaving)
                };
                steady(said) == steady(&statement)
            };
            // A link with another place came up or went down: that is not for fellows.
            if !std::mem::take(&mut placed.republish_status) && placed.last_status.as_ref().is_some_and(told)
            {
                return;
            }
            placed.last_status = Some(statement.clone());
            (placed.last_update_at, placed.last_update) = (now, VersionUpdate::from_versions(&self.versions));
            placed.summaries.mark_changed(now);
            if !placed.voters.contains(&self.name) {
                depth = placed.links.location().depth();
            }
        }
        self.status_number += 1;
        let entry = statement.encode((self.incarnation, self.status_number), self.config.status_version);
        self.publish_within(now, &EntryKey::Router(self.name.clone()), entry, depth);
    }

    /// How far this router has come, where that is told alone.
    fn publish_version_update(&mut self, now: Ms) {
        if !self.version_update_is_due(now) {
            return;
        }
        let step = VersionUpdate::from_versions(&self.versions);
        let Some(placed) = &mut self.topology else { return };
        let shape = placed.last_update.hierarchy != step.hierarchy;
        (placed.last_update_at, placed.last_update) = (now, step);
        placed.summaries.mark_changed(now);
        let depth = if placed.voters.contains(&self.name) { 0 } else { placed.links.location().depth() };
        let across: Vec<String> = placed.links.remote_peers().map(|(name, _)| name.clone()).collect();
        self.status_number += 1;
        let entry = GossipEntry::new((self.incarnation, self.status_number), 1, &step);
        self.publish_within(now, &EntryKey::VersionUpdate(self.name.clone()), entry, depth);
        if shape {
            across.iter().for_each(|name| self.send_handshake(name));
        }
    }

    fn count_sent(&mut self, bytes: usize) {
        self.counters.messages_sent += 1;
        self.counters.bytes_sent += bytes as u64;
    }

    /// Says what waits, as far as its pace goes: what is urgent first, what lacks elsewhere last.
    fn flush(&mut self, now: Ms) {
        let lines = self.members.links().count().max(1);
        let mut bundle = Vec::new();
        let mut bytes = 0;
        while let Some((_, key)) = self.pending.first() {
            let Some(entry) = self.table.get(key) else {
                self.pending.pop_first();
                continue;
            };
            let encoded = entry.encode();
            let length = key.len() + encoded.len();
            if bytes + length > self.config.bundle_bytes && bytes > 0
                || !self.rate_limiter.try_consume(now, length * lines)
            {
                break;
            }
            bytes += length;
            if let Some((_, key)) = self.pending.pop_first() {
                bundle.push((key, encoded));
            }
        }
        if !bundle.is_empty() {
            self.count_sent(bytes * lines);
            let bundle = self.with_timestamp(now, bundle);
            self.actions.push_back(ClusterAction::Broadcast(bundle));
        }
        self.flush_links(now);
        let mut alone = BTreeMap::<String, Vec<EncodedEntry>>::new();
        let mut bytes = 0;
        while let Some((_, (key, entry))) = self.direct.front() {
            let length = key.len() + entry.len();
            if bytes + length > self.config.bundle_bytes && bytes > 0
                || !self.rate_limiter.try_consume(now, length)
            {
                break;
            }
            bytes += length;
            if let Some((to, said)) = self.direct.pop_front() {
                alone.entry(to).or_default().push(said);
            }
        }
        for (to, said) in alone {
            self.count_sent(said.iter().map(|(key, entry)| key.len() + entry.len()).sum());
            let said = self.with_timestamp(now, said);
            self.actions.push_back(ClusterAction::SendTo(to, said));
        }
    }

    /// Whether something waits for a link that has been quiet, and is not held back.
    fn links_are_due(&self, now: Ms) -> bool {
        let placed = self.topology.as_ref().filter(|placed| !placed.links_deferred);
        placed
            .and_then(|placed| placed.links.oldest_send())
            .is_some_and(|told| now >= told + self.config.flush_interval)
    }

    /// Whether what goes link by link may go before bundles leave the next time: what is for all comes no later for it,
    /// since the pace has ample room for both.
    fn has_room_for_links(&mut self, now: Ms) -> bool {
        let length = |(_, key): &(u8, Vec<u8>)| {
            key.len() + self.table.get(key).map_or(0, |entry| entry.body.len() + MAX_ENTRY_OVERHEAD_BYTES)
        };
        let bytes = self.pending.iter().take(MAX_PENDING_FOR_EARLY_FLUSH).map(length).sum::<usize>();
        let lines = self.members.links().count().max(1);
        self.pending.len() < MAX_PENDING_FOR_EARLY_FLUSH
            && self.rate_limiter.has_ample_tokens(now, bytes * lines)
    }

    fn defer_links(&mut self) {
        if let Some(placed) = &mut self.topology {
            placed.links_deferred = true;
        }
    }

    /// Says link by link what is not for all, and what of it is here.
    fn flush_links(&mut self, now: Ms) {
        let Some(placed) = &mut self.topology else { return };
        placed.plumtree.tick(now);
        placed.links_deferred = false;
        let mut names = placed.links.links_ready_to_send(now, self.config.flush_interval);
        let words = placed.plumtree.links_with_messages(now);
        names.extend(words.into_iter().filter(|name| !names.contains(name)).collect::<Vec<_>>());
        for name in names {
            let mut bundle = Vec::new();
            let mut bytes = 0;
            while let Some(placed) = &mut self.topology {
                let Some((_, key)) = placed.links.first_pending(&name) else { break };
                let Some(entry) = self.table.get(key) else {
                    placed.links.pop_pending(&name);
                    continue;
                };
                let encoded = entry.encode();
                let length = key.len() + encoded.len();
                if bytes + length > self.config.bundle_bytes && bytes > 0
                    || !self.rate_limiter.try_consume(now, length)
                {
                    placed.links_deferred = true;
                    break;
                }
                bytes += length;
                bundle.push((key.clone(), encoded));
                placed.links.pop_pending(&name);
            }
            if !bundle.is_empty() {
                bundle = self.with_timestamp(now, bundle);
            }
            let words = self.take_plumtree_messages(now, &name);
            bytes += words.iter().map(|(key, digests)| key.len() + digests.len()).sum::<usize>();
            bundle.extend(words);
            if !bundle.is_empty() {
                if let Some(placed) = &mut self.topology {
                    placed.links.mark_sent(now, &name);
                }
                self.count_sent(bytes);
                self.actions.push_back(ClusterAction::SendTo(name, bundle));
            }
        }
        if let Some(placed) = &mut self.topology {
            placed.plumtree.finish_round(now);
        }
    }

    /// What is told over a link of what goes over which, as far as the pace goes.
    fn take_plumtree_messages(&mut self, now: Ms, name: &str) -> Vec<EncodedEntry> {
        let Some(placed) = &mut self.topology else { return Vec::new() };
        let (words, bytes) = placed.plumtree.pending_messages(name);
        if words.is_empty() || !self.rate_limiter.try_consume(now, bytes) {
            return Vec::new();
        }
        placed.plumtree.mark_sent(name);
        let kinds = [(PRUNE_TAG, words.prune), (IHAVE_TAG, words.ihave), (GRAFT_TAG, words.graft)];
        let said = kinds.into_iter().filter(|(_, digests)| !digests.is_empty());
        said.map(|(kind, digests)| (vec![kind], plumtree::encode_digests(&digests))).collect()
    }

    /// Purges, and caches that are back or gone, need not be passed on for ever.
    fn expire(&mut self, now: Ms) {
        let ends = |key: &EntryKey| matches!(key, EntryKey::Object(_) | EntryKey::Group(_));
        let mut old = self.table.keys_older_than(now - self.config.purge_retention, ends);
        let lines = self
            .table
            .keys_older_than(now - self.config.purge_retention, |key| matches!(key, EntryKey::Cache(_)));
        let drained = |key: &Vec<u8>| {
            let line = self.table.get(key).and_then(GossipEntry::decode_body::<CacheStatus>);
            line.is_some_and(|line| !line.ready && !line.removed)
        };
        old.extend(lines.into_iter().filter(|key| !drained(key)));
        let batch = |(key, entry): (&Vec<u8>, &GossipEntry)| match EntryKey::decode(key) {
            Some(EntryKey::Batch(..)) => Some((entry.revision, key.clone())),
            _ => None,
        };
        let mut batches: Vec<_> = self.table.iter().filter_map(batch).collect();
        let over = batches.len().saturating_sub(self.config.max_batches);
        batches.sort_unstable();
        old.extend(batches.into_iter().take(over).map(|(_, key)| key));
        old.into_iter().for_each(|key| self.remove_entry(&key));
        self.expire_places(now);
    }

    /// Nor what was said of places, and of routers whose statements are for others, where nobody says it again.
    fn expire_places(&mut self, now: Ms) {
        let clock = self.clock.next_timestamp(now).ms;
        let forget = self.config.timeouts.forget_after;
        // By the time that all share, so that nobody is told of it again.
        let Some(placed) = &mut self.topology else {
            let of_places = |key: &EntryKey| matches!(key, EntryKey::VersionUpdate(_) | EntryKey::Summary(_));
            let old = self.table.keys_older_than(now - self.config.purge_retention, of_places);
            old.into_iter().for_each(|key| self.remove_entry(&key));
            return;
        };
        let forget = forget + placed.summaries.validity();
        let ends = |order: &u64| clock.saturating_sub(*order) as f64 >= forget;
        let heard = placed.summaries.received().iter().filter(|(_, heard)| ends(&heard.revision.0));
        let old: Vec<Location> = heard.map(|(place, _)| place.clone()).collect();
        for place in old {
            placed.summaries.forget(&place);
            let key = EntryKey::Summary(place).encode();
            placed.plumtree.forget(&key);
            self.table.remove(&key);
        }
    }

    fn remove_entry(&mut self, key: &[u8]) {
        if let Some(placed) = &mut self.topology {
            placed.plumtree.forget(key);
        }
        if self.table.remove(key) {
            self.actions.push_back(ClusterAction::Retract(key.to_vec()));
        }
    }

    /// When `tick` is due.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        if self.participation != Participation::Active {
            return now + 1_000.0;
        }
        let slot = self.last_flush + self.config.flush_interval;
        let scoped = self.topology.as_ref().and_then(|placed| placed.links.oldest_send());
        let held_back = self.topology.as_ref().is_some_and(|placed| placed.links_deferred);
        let scoped =
            scoped.map(|told| if held_back { slot } else { slot.min(told + self.config.flush_interval) });
        let waits = self.status_changed || !self.pending.is_empty() || !self.direct.is_empty();
        let bundle = waits.then_some(slot);
        let of_places = self
            .topology
            .as_ref()
            .map(|placed| placed.summaries.next_deadline().min(placed.plumtree.next_deadline()));
        let of_places = of_places.map(|due| due.min(self.version_update_deadline()).max(slot));
        let bundle = bundle.into_iter().chain(scoped).chain(of_places).reduce(f64::min);
        let due =
            bundle.unwrap_or(f64::INFINITY).min(self.members.next_deadline(now)).min(self.next_comparison);
        // So often at the least, to know whether it was frozen.
        due.clamp(now, now + self.config.freeze_threshold / 4.0)
    }

    /// Settings that were read again.
    pub fn set_config(&mut self, rules: MembershipConfig) {
        self.members.set_timeouts(rules.timeouts);
        self.rate_limiter.set_config(rules.rate_limit);
        self.table.set_limits(rules.table_limits);
        self.status_changed |= rules.status_version != self.config.status_version;
        if let Some(placed) = &mut self.topology {
            placed.republish_status |= rules.status_version != self.config.status_version;
            placed.summaries.set_config(rules.aggregation);
            placed.plumtree.set_config(rules.plumtree);
        }
        self.config = rules;
    }

    // ---- For people.

    pub fn view(&self, now: Ms) -> ClusterView {
        let line = |name: &String,
                    start: u64,
                    standing: MemberState,
                    since: Ms,
                    acts: &ActiveVersions,
                    links: usize| {
            let (name, acts, straggler) = (name.clone(), acts.clone(), false);
            RouterView {
                name,
                incarnation: start,
                state: standing,
                state_age: since,
                versions: acts,
                links,
                straggler,
            }
        };
        let others = self.members.iter().map(|(name, member)| {
            let RouterStatus { versions: acts, links, .. } = &member.status;
            let shown =
                line(name, member.incarnation, member.state, now - member.state_since, acts, links.len());
            RouterView { straggler: self.is_straggler(now, name), ..shown }
        });
        let links = self.members.links().count();
        let me = line(&self.name, self.incarnation, MemberState::Alive, 0.0, &self.versions, links);
        ClusterView {
            me: RouterView { straggler: self.is_straggler(now, &self.name), ..me },
            participation: self.participation,
            others: others.collect(),
            entries: self.table.len(),
            bytes: self.table.bytes(),
            pending: self.pending.len()
                + self.direct.len()
                + self.topology.as_ref().map_or(0, |placed| placed.links.pending_count()),
            floor: self.floor_in_force,
            counters: self.counters,
            location: self.location().map(Location::to_string),
            remote_peers: self
                .topology
                .iter()
                .flat_map(|placed| placed.links.remote_peers())
                .map(across)
                .collect(),
            locations: self.location_views(now),
        }
    }

    /// What is known of places as a whole, from the widest inwards.
    fn location_views(&self, now: Ms) -> Vec<LocationView> {
        let Some(placed) = &self.topology else { return Vec::new() };
        let clock = self.clock.last();
        let line = |(place, heard): (&Location, &crate::aggregation::tree::ReceivedSummary)| {
            let SummaryReport { reported_by: by, summary } = heard.report.clone();
            let fresh = placed.summaries.is_fresh(now, clock, heard);
            LocationView::new(place, by, fresh, now - heard.received_at, summary)
        };
        let mut lines: Vec<LocationView> = placed.summaries.received().iter().map(line).collect();
        lines.sort_by_key(|line| line.location.matches('/').count());
        lines
    }

    /// The whole fleet, as far as its parts are heard of; nothing where this router has no place.
    pub fn fleet_summary(&self, now: Ms) -> Option<Summary> {
        let placed = self.topology.as_ref()?;
        Some(placed.summaries.summarize(now, self.clock.last(), &Location::default()))
    }
}

fn across((name, greeting): (&String, &LinkHandshake)) -> (String, String) {
    (name.clone(), greeting.location.to_string())
}
