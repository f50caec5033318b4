//! Owns the router's account: what it does is counted, copied to fellows, kept on disk where a folder is set, and given
//! out whole to whoever asks.
//!
//! Must never hold the loop up: files are written by a thread with a bounded hand-over, and what does not fit is said.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::path::Path;
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::thread::{self, JoinHandle};

use linnethook_audit::audit_log::{AuditLog, AuditLogConfig};
use linnethook_audit::record::{AuditedAction, ChainLink, WriteAttempt, WriteOutcome};
use linnethook_audit::replicas::{LogReplicas, ReplicaOutcome, ReplicaSizes};
use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::versions::ActiveVersions;
use linnethook_persistence::file_store::LockedDirectory;
use linnethook_persistence::record_log::{OpenedLog, RecordLog, RecordLogError, RecordLogLimits};
use xxhash_rust::xxh3::xxh3_64;

use crate::log::log_line;
use crate::policy_adapter::Ms;

/// Words between the accounts of fellows: a link, and links that are wanted from a number on.
pub const LINK: u8 = 0xf1;
pub const WANT: u8 = 0xf2;
/// Nothing before that number is kept by the owner any more.
pub const BEGINS: u8 = 0xf3;

/// Links that are sent for one word that wants some, and that may wait for the disk.
const SENT: usize = 64;
const UNSAVED: usize = 256;
/// Names of nodes that are remembered.
const NAMES: usize = 65_536;

/// The thread that writes, and the hand-over to it.
type Disk = (SyncSender<Vec<u8>>, JoinHandle<()>);

/// Words that are to go to fellows.
pub type Words = Vec<(String, u8, Vec<u8>)>;

pub struct Auditor {
    account: AuditLog,
    rules: AuditLogConfig,
    copies: LogReplicas,
    names: HashMap<u64, String>,
    /// Fellows that there is a link with; those of them that keep a copy, and up to which record they were told.
    fellows: BTreeSet<String>,
    holders: BTreeMap<String, u64>,
    disk: Option<Disk>,
    saved: u64,
    /// Links that did not fit into the hand-over to the disk.
    pub unsaved: u64,
}

impl Auditor {
    pub fn new(
        now: Ms,
        at: Timestamp,
        rules: AuditLogConfig,
        folder: Option<&Path>,
        me: (&str, u64),
        acts: ActiveVersions,
    ) -> Self {
        let (name, start) = me;
        let mut copies = LogReplicas::new(rules.max_replica_bytes);
        let disk = folder.and_then(|folder| match open(folder, &mut copies) {
            Ok(disk) => Some(disk),
            Err(why) => {
                log_line!(always "audit: {}: {why}; the account is kept in memory alone", folder.display());
                None
            }
        });
        Self {
            account: AuditLog::new(now, at, rules, name, start, acts),
            rules,
            copies,
            names: HashMap::new(),
            fellows: BTreeSet::new(),
            holders: BTreeMap::new(),
            disk,
            saved: 0,
            unsaved: 0,
        }
    }

    pub fn set(&mut self, rules: AuditLogConfig) {
        self.rules = rules;
        self.account.set_config(rules);
        self.copies.set_max_bytes(rules.max_replica_bytes);
    }

    pub fn name(&mut self, id: u64, name: &str) {
        if self.names.len() < NAMES {
            self.names.entry(id).or_insert_with(|| name.to_string());
        }
    }

    pub fn act(&mut self, at: Timestamp, act: AuditedAction) {
        self.account.record_action(at, act);
    }

    pub fn booking(&mut self, booking: WriteAttempt) {
        self.account.record_write_attempt(booking);
    }

    pub fn booking_ended(&mut self, end: WriteOutcome) {
        self.account.record_write_outcome(end);
    }

    pub fn next(&self) -> Ms {
        self.account.next_deadline()
    }

    /// Whether a span is to be written down, or others are to keep copies.
    pub fn is_due(&self, now: Ms, acts: &ActiveVersions, fellows: &BTreeSet<String>) -> bool {
        self.account.is_due(now, acts) || self.fellows != *fellows
    }

    /// Lets time pass: spans that are due are written down, and go to the disk and to those that keep copies.
    pub fn tick(
        &mut self,
        now: Ms,
        at: Timestamp,
        acts: &ActiveVersions,
        fellows: &BTreeSet<String>,
    ) -> Words {
        let names = |id: u64| self.names.get(&id).cloned();
        self.account.set_versions(now, at, acts, names);
        self.account.tick(now, at, names);
        self.hand_on(fellows)
    }

    /// The router ends: nothing follows.
    pub fn end(&mut self, now: Ms, at: Timestamp, fellows: &BTreeSet<String>) -> Words {
        let names = |id: u64| self.names.get(&id).cloned();
        self.account.finish(now, at, names);
        let words = self.hand_on(fellows);
        if let Some((disk, writer)) = self.disk.take() {
            // It writes what it has, and ends.
            drop(disk);
            let _ = writer.join();
        }
        words
    }

    fn hand_on(&mut self, fellows: &BTreeSet<String>) -> Words {
        self.fellows.clone_from(fellows);
        let (head, _) = self.account.head();
        if head > self.saved {
            for link in self.account.records_from(self.saved + 1) {
                let sent = self.disk.as_ref().map(|(disk, _)| disk.try_send(link.encode()));
                self.unsaved += u64::from(matches!(sent, Some(Err(TrySendError::Full(_)))));
            }
            self.saved = head;
        }
        // Those that keep copies are always the same ones, as long as there is a link with them.
        let me = self.account.name();
        let mut all: Vec<&str> = fellows.iter().map(String::as_str).collect();
        all.sort_by_key(|name| xxh3_64(format!("{me} {name}").as_bytes()));
        all.truncate(self.rules.replica_count);
        self.holders.retain(|name, _| all.contains(&name.as_str()));
        let mut words = Words::new();
        for name in all {
            let told = self.holders.get(name).copied();
            if told.is_some_and(|told| told >= head) {
                continue;
            }
            // Who is new is told the newest, and says from where on the others are wanted.
            let from = told.map_or(head, |told| told + 1);
            let links = self.account.records_from(from).take(SENT);
            words.extend(links.map(|link| (name.to_string(), LINK, link.encode())));
            self.holders.insert(name.to_string(), head);
        }
        words
    }

    /// A word of a fellow's account, or one that wants links of this one.
    pub fn heard(&mut self, from: &str, kind: u8, bytes: &[u8]) -> Words {
        match kind {
            LINK => {
                // An account comes from its own router alone.
                let Some(link) = ChainLink::decode(bytes).filter(|link| link.name == from) else {
                    return Words::new();
                };
                let (name, start, number) = (link.name.clone(), link.incarnation, link.number);
                let wanted = match self.copies.insert(link) {
                    ReplicaOutcome::Missing(number) => Some(number),
                    ReplicaOutcome::Forked => {
                        log_line!(start, number, "audit: {name} tells its account in two ways");
                        None
                    }
                    ReplicaOutcome::New | ReplicaOutcome::Known => None,
                };
                let want = |number| postcard::to_stdvec(&(start, number)).unwrap_or_default();
                wanted.map(|number: u64| (from.to_string(), WANT, want(number))).into_iter().collect()
            }
            WANT => {
                let Ok((start, number)) = postcard::from_bytes::<(u64, u64)>(bytes) else {
                    return Words::new();
                };
                if start != self.account.incarnation() {
                    return Words::new();
                }
                let mut links = self.account.records_from(number).peekable();
                let first = links.peek().map_or(number, |link| link.number);
                let mut words = Words::new();
                if first > number {
                    let begins = postcard::to_stdvec(&(start, first)).unwrap_or_default();
                    words.push((from.to_string(), BEGINS, begins));
                }
                words.extend(links.take(SENT).map(|link| (from.to_string(), LINK, link.encode())));
                words
            }
            BEGINS => {
                if let Ok((start, number)) = postcard::from_bytes::<(u64, u64)>(bytes) {
                    self.copies.set_first_number(from, start, number);
                }
                Words::new()
            }
            _ => Words::new(),
        }
    }

    /// All that is kept here up to now: the own account, also of earlier starts, and those of fellows.
    pub fn all(&mut self, now: Ms, at: Timestamp) -> Vec<ChainLink> {
        self.account.close_span(now, at, |id| self.names.get(&id).cloned());
        self.account.records_from(1).chain(self.copies.iter()).cloned().collect()
    }

    /// Links of the own account, and accounts, links and bytes of others.
    pub fn kept(&self) -> (u64, ReplicaSizes) {
        (self.account.head().0, self.copies.sizes())
    }
}

/// Opens the account on disk: earlier starts are read, and a thread writes what follows.
fn open(folder: &Path, copies: &mut LogReplicas) -> Result<Disk, String> {
    let mut files = LockedDirectory::open(folder).map_err(|why| why.to_string())?;
    let opened = RecordLog::open(&mut files, RecordLogLimits::default()).map_err(|why| why.to_string())?;
    let OpenedLog { mut log, records, truncated_bytes } = opened;
    let read = records.iter().filter_map(|record| ChainLink::decode(record));
    let mut take = |link: ChainLink| {
        if copies.next_number(&link.name, link.incarnation) == 1 {
            copies.set_first_number(&link.name, link.incarnation, link.number);
        }
        copies.insert(link)
    };
    let count = read.map(&mut take).count();
    log_line!(always "audit: {}: {count} records were read, {truncated_bytes} bytes at the end were torn", folder.display());
    let (sender, receiver) = sync_channel::<Vec<u8>>(UNSAVED);
    let mut kept: VecDeque<Vec<u8>> = records.into();
    let write = move || {
        while let Ok(first) = receiver.recv() {
            // What came meanwhile goes with it, by one sync.
            let group: Vec<Vec<u8>> = std::iter::once(first).chain(receiver.try_iter()).collect();
            for record in &group {
                kept.push_back(record.clone());
                if let Err(RecordLogError::Full) = log.add(record) {
                    // The older half makes room.
                    kept.drain(..kept.len() / 2);
                    let left: Vec<Vec<u8>> = kept.iter().cloned().collect();
                    if let Err(why) = log.compact(&mut files, &left) {
                        return log_line!(always "audit: the account on disk ends here: {why}");
                    }
                }
            }
            if let Err(why) = log.commit(&mut files) {
                return log_line!(always "audit: the account on disk ends here: {why}");
            }
        }
    };
    let writer =
        thread::Builder::new().name("audit".to_string()).spawn(write).map_err(|why| why.to_string())?;
    Ok((sender, writer))
}

#[cfg(test)]
#[path = "../tests/unit/account.rs"]
mod tests;
