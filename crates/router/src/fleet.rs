//! Owns what the router tells its fellows and hears of them: the way between their terms and the router's.
//!
//! Drains, purges and batches that fellows know first count here too, by the journal's numbers. Must never take a
//! fellow's word over the own journal's where that is as new, nor make a cache usable that the own journal bars.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::path::Path;

use linnethook_audit::record::{AuditedAction, WriteAttempt, WriteOutcome};
use linnethook_audit::replicas::ReplicaSizes;
use linnethook_hierarchy::change_spec::BatchSpec;
use linnethook_membership::actions::{ClusterAction, ClusterEvent};
use linnethook_membership::aggregation::query::QueryTarget;
use linnethook_membership::cluster::Cluster;
use linnethook_membership::gossip::entry::{CacheStatus, EntryKey, Purge};
use linnethook_membership::membership::MemberChange;
use linnethook_membership::snapshot_transfer::{split_snapshot, SnapshotRequest, SnapshotTransfer};
use linnethook_membership::straggler::{
    ExclusionReason, StragglerDetector, StragglerObservation, StragglerState,
};
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion};
use linnethook_operator_config::config::ClusterSection;
use xxhash_rust::xxh3::xxh3_64;

use crate::account::{Auditor, Words};
use crate::control::{Answer, Detail, FleetShown};
use crate::discovery::event::{EndpointEntry, EndpointUpdate, PurgeEvent, WatchEvent};
use crate::log::log_line;
use crate::policy_adapter::{AttemptEnd, EndpointKey, FinalAnswer, Ms};
use crate::router::Router;
use crate::upstream::AttemptOrder;

/// How often it is looked at what this router acts on, and who is behind.
const LOOK: Ms = 200.0;

pub struct Fleet {
    core: Cluster,
    acts: ActiveVersions,
    looked: Ms,
    /// The caches of the own list, as the journal has them.
    targets: BTreeMap<String, EndpointEntry>,
    /// Those that fellows call drained, by the journal's numbers.
    barred: BTreeMap<String, u64>,
    drains: u64,
    purges: u64,
    batches: u64,
    audit: Option<Auditor>,
    straggler: Option<Behind>,
    /// Fellows that there is a link with.
    linked: BTreeSet<String>,
    fetch: SnapshotTransfer,
    /// Snapshots that were taken over.
    adopted: u64,
    /// What sites elsewhere answered to questions that were asked here, the newest last; nothing where none has yet.
    asked: VecDeque<(u64, Option<Detail>)>,
}

/// Questions whose answers are kept.
const ASKED: usize = 16;

/// Words between fellows beside those of accounts: a snapshot is wanted, and a piece of one.
const WANT_SHAPE: u8 = 0xf4;
const SHAPE: u8 = 0xf5;

/// Whether this router is behind.
struct Behind {
    voters: Vec<String>,
    core: StragglerDetector,
    /// Since when no fellow is within reach.
    alone: Option<Ms>,
    /// Requests and fills that were not done for it.
    shut_out: u64,
}

fn voters(fellows: &ClusterSection) -> &[String] {
    fellows.straggler.as_ref().map_or(&[], |part| &part.voters)
}

impl Fleet {
    pub fn new(now: Ms, name: &str, fellows: &ClusterSection, settings: u64, operator: u64) -> Self {
        let build = env!("CARGO_PKG_VERSION").to_string();
        let acts = ActiveVersions {
            build,
            settings_digest: settings,
            operator_digest: operator,
            ..ActiveVersions::default()
        };
        // The same start as the gateway's.
        let start = (now * 1_000.0) as u64;
        let core = Cluster::new(now, fellows.parameters, name, start, acts.clone());
        let mut core = core.with_location(now, fellows.place.clone());
        core.set_voters(voters(fellows));
        let audit = fellows.audit.as_ref().map(|part| {
            let folder = part.directory.as_deref().map(Path::new);
            Auditor::new(
                now,
                core.clock.next_timestamp(now),
                part.parameters,
                folder,
                (name, start),
                acts.clone(),
            )
        });
        let straggler = fellows.straggler.as_ref().map(|part| Behind {
            voters: part.voters.clone(),
            core: StragglerDetector::new(part.parameters),
            alone: Some(now),
            shut_out: 0,
        });
        Self {
            core,
            acts,
            looked: now - LOOK,
            targets: BTreeMap::new(),
            barred: BTreeMap::new(),
            drains: 0,
            purges: 0,
            batches: 0,
            audit,
            straggler,
            linked: BTreeSet::new(),
            fetch: SnapshotTransfer::new(fellows.parameters.snapshot_transfer),
            adopted: 0,
            asked: VecDeque::new(),
        }
    }

    /// The operator file was read again. What was not there at the start begins with the next one.
    pub fn set(&mut self, fellows: &ClusterSection, operator: u64) {
        self.acts.operator_digest = operator;
        self.core.set_config(fellows.parameters);
        self.core.set_voters(voters(fellows));
        if self.core.location() != fellows.place.as_ref() {
            log_line!(always "fellows: a place counts from the next start on");
        }
        self.fetch.set_config(fellows.parameters.snapshot_transfer);
        self.core.set_versions(&self.acts);
        if let (Some(audit), Some(part)) = (&mut self.audit, &fellows.audit) {
            audit.set(part.parameters);
        }
        if let (Some(behind), Some(part)) = (&mut self.straggler, &fellows.straggler) {
            behind.voters.clone_from(&part.voters);
            behind.core.set_config(part.parameters);
        }
    }

    pub fn next(&self, now: Ms) -> Ms {
        let audit = self.audit.as_ref().map(Auditor::next);
        let due = audit.unwrap_or(f64::INFINITY).min(self.core.next_deadline(now)).min(self.looked + LOOK);
        due.max(now)
    }

    // ---- The account.

    fn act(&mut self, now: Ms, act: AuditedAction) {
        if let Some(audit) = &mut self.audit {
            audit.act(self.core.clock.next_timestamp(now), act);
        }
    }

    /// An attempt was sent, with the request's id.
    pub fn sent(&mut self, now: Ms, ordered: &AttemptOrder, id: &str, write: bool) {
        let Some(audit) = &mut self.audit else { return };
        let at = self.core.clock.next_timestamp(now);
        let to = ordered.endpoint.number();
        match write {
            true => audit.booking(WriteAttempt {
                request_id: id.to_string(),
                attempt: ordered.attempt.number,
                target: to,
                at,
            }),
            false => audit.act(at, AuditedAction::Attempt { target: to }),
        }
        if let Some(source) = ordered.fill.source.filter(|_| !ordered.fill.only_if_cached) {
            audit.act(at, AuditedAction::Fill { child: to, source: source.number() });
        }
    }

    /// How an attempt of what must not run twice ended.
    pub fn write_ended(&mut self, now: Ms, id: &str, number: u8, end: AttemptEnd) {
        let Some(audit) = &mut self.audit else { return };
        let how = end.name().to_string();
        audit.booking_ended(WriteOutcome {
            request_id: id.to_string(),
            attempt: number,
            outcome: how,
            at: self.core.clock.next_timestamp(now),
        });
    }

    /// A client was answered so.
    pub fn answered(&mut self, now: Ms, answer: FinalAnswer) {
        match answer {
            FinalAnswer::Rejected { .. } => self.act(now, AuditedAction::Refused),
            FinalAnswer::Failed => self.act(now, AuditedAction::Failed),
            FinalAnswer::Served => {}
        }
    }

    fn account(&mut self, now: Ms, ends: bool) {
        let Some(audit) = &mut self.audit else { return };
        if !ends && !audit.is_due(now, &self.acts, &self.linked) {
            return;
        }
        let at = self.core.clock.next_timestamp(now);
        let words = match ends {
            true => audit.end(now, at, &self.linked),
            false => audit.tick(now, at, &self.acts, &self.linked),
        };
        self.send(words);
    }

    fn send(&mut self, words: Words) {
        for (to, kind, bytes) in words {
            self.core.send_message(&to, kind, bytes);
        }
    }

    // ---- Stragglers.

    /// Looks whether this router, or another one, is behind.
    fn look(&mut self, now: Ms, journal: Ms) {
        let Some(behind) = &mut self.straggler else { return };
        let floor = self.core.floor(&behind.voters);
        self.core.enforce_floor(now, floor, behind.core.config().grace_period);
        behind.alone = if self.core.has_reachable_peer() { None } else { Some(behind.alone.unwrap_or(now)) };
        let seen = StragglerObservation {
            own_version: self.acts.hierarchy.version,
            floor,
            isolated_since: behind.alone,
            journal_valid_until: journal,
        };
        if let Some(state) = behind.core.observe(now, &seen) {
            let (version, floor) = (seen.own_version, seen.floor);
            match state {
                StragglerState::UpToDate => {
                    log_line!(version, floor, "straggler: this router is level with the fleet")
                }
                StragglerState::Lagging(_) => {
                    log_line!(
                        version,
                        floor,
                        "straggler: this router is at version {version}, below {floor}"
                    );
                }
                StragglerState::Excluded(ExclusionReason::Behind) => {
                    log_line!(
                        version,
                        floor,
                        "straggler: THIS ROUTER IS SHUT OUT: it is at version {version}, below {floor}"
                    );
                }
                StragglerState::Excluded(ExclusionReason::Isolated) => {
                    log_line!(
                        version,
                        floor,
                        "straggler: THIS ROUTER IS SHUT OUT: it hears no fellow, and its journal is silent"
                    );
                }
                StragglerState::Recovering(_) => {
                    log_line!(version, floor, "straggler: this router comes back")
                }
            }
        }
    }

    /// When a client may come again whose request this router must not act on now; `None` where it may.
    pub fn shuts_out(&mut self, now: Ms, object: u64) -> Option<Ms> {
        let behind = self.straggler.as_mut()?;
        let part = behind.core.admitted_ratio(now);
        // The same objects all the while that it comes back.
        if part >= 1.0 || (xxh3_64(&object.to_le_bytes()) >> 11) as f64 / ((1u64 << 53) as f64) < part {
            return None;
        }
        behind.shut_out += 1;
        let wait = behind.core.config().retry_after;
        self.act(now, AuditedAction::RejectedAsStraggler);
        Some(wait)
    }

    /// Lines of the own journal at a number: what fellows know of a later one still holds, and what of them is news
    /// is passed on.
    pub fn hosts(&mut self, now: Ms, hosts: &mut EndpointUpdate, number: u64) {
        if hosts.all {
            let listed = |name: &String| hosts.targets.iter().any(|target| target.uid == *name);
            self.targets.retain(|name, _| listed(name));
        }
        for target in &mut hosts.targets {
            let name = target.uid.clone();
            let line =
                CacheStatus { ready: target.ready(), removed: target.gone(), started_at: target.started() };
            let before = self.targets.insert(name.clone(), target.clone());
            if target.gone() {
                self.targets.remove(&name);
            }
            let was_ready = before.is_none_or(|before| before.ready());
            self.acts.drains_applied += u64::from(was_ready && !line.ready);
            let cache = EndpointKey::of(&name).number();
            if let Some(audit) = &mut self.audit {
                audit.name(cache, &name);
            }
            if was_ready && !line.ready {
                self.act(now, AuditedAction::Drain { cache, journal_position: number, from_gossip: false });
            } else if !was_ready && line.ready {
                self.act(
                    now,
                    AuditedAction::CacheRestored { cache, journal_position: number, from_gossip: false },
                );
            }
            // A cache is worth a word once it takes no new work, and once it does again.
            if !line.ready || !was_ready {
                self.core.publish_cache(now, &name, line, number);
            }
            if self.barred.get(&name).is_some_and(|by| *by <= number) {
                self.barred.remove(&name);
            }
            if target.ready() && self.barred.contains_key(&name) {
                target.bar();
            }
        }
    }

    /// The own journal has come that far: up to there it alone counts. The lines of caches that were barred by what
    /// lies before come back.
    fn caught_up(&mut self, number: u64) -> Vec<EndpointEntry> {
        self.acts.journal_position = number;
        let past = self.barred.extract_if(.., |_, by| *by <= number);
        let names: Vec<String> = past.map(|(name, _)| name).collect();
        names.iter().filter_map(|name| self.targets.get(name).cloned()).collect()
    }

    /// What a fellow says of a cache by a number of the journal: its line from now on, where that is news here.
    fn line(&mut self, name: &str, line: CacheStatus, number: u64) -> Option<EndpointEntry> {
        if number <= self.acts.journal_position {
            return None;
        }
        let target = self.targets.get(name)?;
        if !line.ready {
            let new = self.barred.insert(name.to_string(), number).is_none();
            let mut target = target.clone();
            let counts = new && target.ready();
            self.drains += u64::from(counts);
            self.acts.drains_applied += u64::from(counts);
            target.bar();
            return counts.then_some(target);
        }
        // It is back. One that has started anew is cold, and that is for the own journal to tell.
        if line.started_at != target.started() {
            return None;
        }
        self.barred.remove(name).map(|_| target.clone())
    }
}

impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.core.counters;
        write!(
            f,
            "fellows={} fellow_said={} fellow_bytes={} fellow_heard={} fellow_repaired={} fellow_drains={} fellow_purges={} fellow_batches={}",
            self.core.members().iter().count(),
            counts.messages_sent,
            counts.bytes_sent,
            counts.messages_received,
            counts.entries_repaired,
            self.drains,
            self.purges,
            self.batches
        )
    }
}

fn purge_key(expire: &PurgeEvent) -> EntryKey {
    match &expire.object {
        Some(name) => EntryKey::Object(name.clone()),
        None => EntryKey::Group(expire.group),
    }
}

fn one(target: EndpointEntry) -> EndpointUpdate {
    EndpointUpdate { all: false, targets: vec![target] }
}

impl Router {
    /// An event of the own journal: fellows whose own is silent are to hear of it.
    pub fn fleet_hears(&mut self, entry: &WatchEvent) {
        let now = self.clock.now();
        let Some(fleet) = &mut self.fleet else { return };
        if let Some(expire) = &entry.expire {
            fleet.acts.purges_applied += 1;
            fleet.act(now, AuditedAction::Purge { journal_position: entry.pos, from_gossip: false });
            let purge = Purge { issued_at: expire.stamp, journal_position: entry.pos };
            fleet.core.publish_purge(now, &purge_key(expire), purge);
        }
    }

    /// A link with a fellow came up, or went down.
    pub fn fellow(&mut self, name: &str, start: u64, up: bool) {
        if let Some(fleet) = &mut self.fleet {
            fleet.core.set_link(name, start, up);
            fleet.linked = fleet.core.members().links().map(|(name, _)| name.clone()).collect();
        }
    }

    pub fn fellow_said(&mut self, name: &str, key: &[u8], entry: &[u8]) {
        let now = self.clock.now();
        if let Some(fleet) = &mut self.fleet {
            fleet.core.receive(now, name, key, entry);
        }
    }

    /// This router ends: fellows are told before the links go.
    pub fn leave_fleet(&mut self) {
        let now = self.clock.now();
        if let Some(fleet) = &mut self.fleet {
            fleet.core.leave(now);
        }
        self.carry_fleet();
    }

    /// All is answered: the account ends here, and those that keep copies are told.
    pub fn end_account(&mut self) {
        let now = self.clock.now();
        if let Some(fleet) = &mut self.fleet {
            fleet.account(now, true);
            fleet.core.leave(now);
        }
        self.carry_fleet();
    }

    /// All of the fleet that is due by now.
    pub fn tick_fleet(&mut self) {
        let now = self.clock.now();
        let Some(fleet) = &mut self.fleet else { return };
        let looks = now - fleet.looked >= LOOK;
        if let Some(upstream) = &mut self.hierarchy {
            for batch in upstream.news() {
                let body = postcard::to_stdvec(&batch).unwrap_or_default();
                if fleet.core.publish_batch(now, batch.author, batch.number, batch.stamp, body) {
                    let (author, number) = (batch.author, batch.number);
                    fleet.act(now, AuditedAction::Batch { author, number, from_gossip: false });
                }
            }
            for (to, stage) in upstream.entered() {
                fleet.act(now, AuditedAction::RolloutStage { target: to, stage });
            }
            if looks {
                fleet.acts.hierarchy = upstream.acts_on().into();
                fleet.core.set_versions(&fleet.acts);
                // Who is ahead though all facts are here has something that is passed on no more.
                if let Some(SnapshotRequest { peer: of, request_id: asking }) =
                    fleet.fetch.next_request(now, &fleet.core.peers_ahead())
                {
                    fleet.core.send_message(
                        &of,
                        WANT_SHAPE,
                        postcard::to_stdvec(&asking).unwrap_or_default(),
                    );
                }
            }
        }
        let back = fleet.caught_up(self.discovery.position());
        fleet.core.set_versions(&fleet.acts);
        if looks {
            fleet.looked = now;
            fleet.look(now, self.discovery.silence_allowed_until());
        }
        fleet.account(now, false);
        fleet.core.tick(now);
        for target in back {
            self.take_fellow_line(target);
        }
        self.carry_fleet();
    }

    /// A line of the list as it holds with what fellows know.
    fn take_fellow_line(&mut self, target: EndpointEntry) {
        let now = self.clock.now();
        let mut hosts = one(target);
        if let Some(beyond) = &mut self.remote_sites {
            let policy = &self.policy;
            beyond.on_endpoint_update(now, &mut hosts, |target| policy.is_local(&target.host()));
        }
        self.apply_endpoint_update(&hosts);
    }

    /// Does what the core wants done, until it wants nothing more.
    fn carry_fleet(&mut self) {
        loop {
            let now = self.clock.now();
            let (Some(fleet), Some(beyond)) = (&mut self.fleet, &mut self.remote_sites) else { return };
            let Some(action) = fleet.core.next_action() else { break };
            match action {
                ClusterAction::Broadcast(said) => beyond.gateway.tell_fellows(now, said),
                ClusterAction::Retract(key) => beyond.gateway.drop_fellows(key),
                ClusterAction::SendTo(name, said) => beyond.gateway.tell_fellow_alone(&name, said),
                ClusterAction::CloseLinks => beyond.gateway.leave_fellows(now),
                ClusterAction::CacheChanged { name, status: line, journal_position: number } => {
                    if let Some(target) = fleet.line(&name, line, number) {
                        let cache = EndpointKey::of(&name).number();
                        fleet.act(
                            now,
                            match line.ready {
                                true => AuditedAction::CacheRestored {
                                    cache,
                                    journal_position: number,
                                    from_gossip: true,
                                },
                                false => AuditedAction::Drain {
                                    cache,
                                    journal_position: number,
                                    from_gossip: true,
                                },
                            },
                        );
                        let how = if line.ready { "back" } else { "drained" };
                        log_line!(number, "fellows: {name} is {how}, by the journal as fellows have it");
                        self.take_fellow_line(target);
                    }
                }
                ClusterAction::Purged { key, purge } => {
                    if purge.journal_position > fleet.acts.journal_position {
                        fleet.purges += 1;
                        fleet.acts.purges_applied += 1;
                        fleet.act(
                            now,
                            AuditedAction::Purge {
                                journal_position: purge.journal_position,
                                from_gossip: true,
                            },
                        );
                        let (object, group) = match key {
                            EntryKey::Object(name) => (Some(name), 0),
                            EntryKey::Group(set) => (None, set),
                            _ => continue,
                        };
                        let expire = PurgeEvent { object, group, stamp: purge.issued_at };
                        log_line!(
                            number = purge.journal_position,
                            "fellows: a purge, by the journal as fellows have it"
                        );
                        beyond.announce_purge(now, &expire);
                        self.purged(&expire);
                    }
                }
                ClusterAction::BatchReceived(body) => self.fellow_batch(&body),
                ClusterAction::Message { from, kind: WANT_SHAPE, bytes } => {
                    let asking = postcard::from_bytes::<u64>(&bytes);
                    if let (Ok(asking), Some(upstream)) = (asking, &self.hierarchy) {
                        for piece in split_snapshot(asking, &upstream.snapshot(), fleet.fetch.config()) {
                            fleet.core.send_message(
                                &from,
                                SHAPE,
                                postcard::to_stdvec(&piece).unwrap_or_default(),
                            );
                        }
                    }
                }
                ClusterAction::Message { from, kind: SHAPE, bytes } => {
                    let piece = postcard::from_bytes(&bytes).ok();
                    let whole = piece.and_then(|piece| fleet.fetch.receive_chunk(now, &from, &piece));
                    if let Some(whole) = whole {
                        self.adopt(&from, &whole);
                    }
                }
                ClusterAction::Message { from, kind, bytes } => {
                    let words = fleet.audit.as_mut().map(|audit| audit.heard(&from, kind, &bytes));
                    fleet.send(words.unwrap_or_default());
                }
                ClusterAction::Answer { id, location: place, routers: lines } => {
                    if let Some((_, asked)) = fleet.asked.iter_mut().find(|(asked, _)| *asked == id) {
                        *asked = Some(Detail { place: place.to_string(), routers: lines });
                    }
                }
                ClusterAction::Event(note) => say(&note),
            }
        }
        self.run_remote_sites();
    }

    fn fellow_batch(&mut self, body: &[u8]) {
        let now = self.clock.now();
        let (Some(upstream), Some(fleet)) = (&mut self.hierarchy, &mut self.fleet) else { return };
        let Ok(batch) = postcard::from_bytes::<BatchSpec>(body) else { return };
        let before = upstream.acts_on();
        if let Err(why) = upstream.hear_of(now, &batch) {
            log_line!("fellows: batch {}/{}: {why}", batch.author, batch.number);
        }
        if upstream.acts_on() != before {
            fleet.batches += 1;
            let (author, number) = (batch.author, batch.number);
            fleet.act(now, AuditedAction::Batch { author, number, from_gossip: true });
            log_line!(
                author = batch.author,
                number = batch.number,
                "fellows: a batch was heard from fellows first"
            );
        }
        self.tell_feeds();
    }

    /// A fellow's whole shape is there: this router was too far behind for batches.
    fn adopt(&mut self, from: &str, whole: &[u8]) {
        let now = self.clock.now();
        let (Some(upstream), Some(fleet)) = (&mut self.hierarchy, &mut self.fleet) else { return };
        match upstream.adopt(now, whole) {
            Ok(()) => {
                fleet.adopted += 1;
                fleet.acts.hierarchy = upstream.acts_on().into();
                let HierarchyVersion { version, digest } = fleet.acts.hierarchy;
                log_line!(version, "fellows: the hierarchy was taken over whole from {from}: version {version}, {digest:016x}");
            }
            Err(why) => log_line!("fellows: the hierarchy of {from} was not taken over: {why}"),
        }
        self.tell_feeds();
    }

    pub fn reply_fleet(&mut self) -> Answer {
        let now = self.clock.now();
        let Some(fleet) = &self.fleet else {
            return Answer::No("there are no fellows: the operator file has no fellows()".to_string());
        };
        Answer::Fleet(Box::new(FleetShown {
            fellows: fleet.core.view(now),
            barred: fleet.barred.iter().map(|(name, number)| (name.clone(), *number)).collect(),
            drains: fleet.drains,
            purges: fleet.purges,
            batches: fleet.batches,
            adopted: fleet.adopted,
            whole: fleet.core.fleet_summary(now).map(|whole| whole.routers()),
            set_by: fleet.core.operator_floor().map(|floor| (floor.version, floor.set_by)),
            state: fleet.straggler.as_ref().map(|behind| behind.core.state()),
            shut_out: fleet.straggler.as_ref().map_or(0, |behind| behind.shut_out),
            account: fleet.audit.as_ref().map(|audit| {
                let (links, replicas) = audit.kept();
                let ReplicaSizes { logs, records, bytes } = replicas;
                (links, logs as u64, records as u64, bytes as u64, audit.unsaved)
            }),
        }))
    }

    /// People want the detail of a site elsewhere.
    pub fn ask_fleet(&mut self, asked: QueryTarget) -> Answer {
        let now = self.clock.now();
        let Some(fleet) = &mut self.fleet else {
            return Answer::No("there are no fellows: the operator file has no fellows()".to_string());
        };
        let answer = match fleet.core.start_query(now, asked) {
            Some(id) => {
                if fleet.asked.len() >= ASKED {
                    fleet.asked.pop_front();
                }
                fleet.asked.push_back((id, None));
                Answer::Asking(id)
            }
            None if fleet.core.location().is_none() => {
                Answer::No("no router has a place here: fleet show names all there are".to_string())
            }
            None => Answer::No("too much was asked within half a minute".to_string()),
        };
        self.tick_fleet();
        answer
    }

    /// What has come of a question.
    pub fn answered_by_fleet(&mut self, id: u64) -> Answer {
        let mut asked = self.fleet.iter().flat_map(|fleet| &fleet.asked);
        match asked.find(|(asked, _)| *asked == id) {
            Some((_, detail)) => Answer::Detail(detail.clone()),
            None => Answer::No("that was not asked here".to_string()),
        }
    }

    /// People set the floor of the fleet, or take it back with 0.
    pub fn set_floor(&mut self, version: u64) -> Answer {
        let now = self.clock.now();
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.straggler.is_some()) else {
            return Answer::No("nobody is shut out: the operator file has no straggler()".to_string());
        };
        fleet.core.set_floor(now, version);
        fleet.looked = now - LOOK;
        log_line!(version, "straggler: the floor was set to {version} by people");
        self.tick_fleet();
        match version {
            0 => Answer::Done("the floor is taken back".to_string()),
            _ => Answer::Done(format!("nobody is to act on a version below {version}")),
        }
    }

    /// All accounts that are kept here.
    pub fn accounts(&mut self) -> Answer {
        let now = self.clock.now();
        let kept = self.fleet.as_mut().and_then(|Fleet { core, audit, .. }| {
            let at = core.clock.next_timestamp(now);
            audit.as_mut().map(|audit| audit.all(now, at))
        });
        match kept {
            Some(links) => Answer::Accounts(links),
            None => Answer::No("there is no account: the operator file has no audit()".to_string()),
        }
    }
}

fn say(note: &ClusterEvent) {
    match note {
        ClusterEvent::Member { name, incarnation: start, change } => {
            let how = match change {
                MemberChange::Joined => "is there".to_string(),
                MemberChange::Restarted(before) => format!("has started again, after start {before}"),
                MemberChange::StateChanged(standing) => format!("is {}", standing.name()),
                MemberChange::Forgotten => "is forgotten".to_string(),
            };
            log_line!(fellow = name.as_str(), start = *start, "fellows: {name} {how}");
        }
        ClusterEvent::NameConflict { incarnation: start } => {
            log_line!(
                start = *start,
                "fellows: ANOTHER PROCESS HAS THIS ROUTER'S NAME; it started later, and is refused"
            );
        }
        ClusterEvent::Refused { holder } => {
            log_line!(
                holder = *holder,
                "fellows: THIS ROUTER'S NAME IS TAKEN by an earlier start; it takes no part"
            );
        }
        ClusterEvent::Yielded { holder } => {
            log_line!(
                holder = *holder,
                "fellows: this process was frozen, and a later start holds its name; it takes no part"
            );
        }
        ClusterEvent::Frozen(ms) => log_line!(ms = *ms, "fellows: this process did nothing for {ms} ms"),
    }
}

#[cfg(test)]
#[path = "../tests/unit/fleet.rs"]
mod tests;
