//! Events of the journal, and waiting for what routers show.

use std::cell::Cell;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{alive, name, shown_place, Harness, JournalEvent};
use crate::recording::{now, LocationSummary, Ms, Phase, RecordedEvent};

impl Harness {
    /// Publishes a node's phase to these routers only. They first get all earlier events that were withheld
    /// from them.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn publish_phase(&mut self, node: &str, phase: Phase, routers: &[usize]) -> io::Result<()> {
        self.events.push(JournalEvent::Node(node.to_string(), phase));
        self.catch_up(routers)
    }

    /// Publishes a purge to these routers only; servers drop their copies at once.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn purge(&mut self, object: &str, routers: &[usize]) -> io::Result<()> {
        let stamp = crate::recording::now().floor();
        self.events.push(JournalEvent::Purge(object.to_string(), stamp));
        self.catch_up(routers)?;
        self.fleet.drop_copies(object, stamp);
        Ok(())
    }

    /// Publishes to router `by` only that a cache drains. The others have to learn of it by gossip `within`
    /// that time: the recording has the event for them at that time, as if their own journals had published
    /// it.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn publish_drain_to_one(
        &mut self,
        node: &str,
        by: usize,
        others: &[usize],
        within: Duration,
    ) -> io::Result<()> {
        self.publish_phase(node, Phase::Draining, &[by])?;
        let due = now() + within.as_secs_f64() * 1_000.0;
        for n in others {
            let (router, node, phase) = (name(*n), node.to_string(), Phase::Draining);
            self.fleet.record.note_at(due, RecordedEvent::Listed { router, node, phase });
        }
        Ok(())
    }

    /// Publishes a purge to router `by` only, with the same bound for the others; servers keep their old
    /// copies.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn publish_purge_to_one(
        &mut self,
        object: &str,
        by: usize,
        others: &[usize],
        within: Duration,
    ) -> io::Result<()> {
        let stamp = now().floor();
        self.events.push(JournalEvent::Purge(object.to_string(), stamp));
        self.catch_up(&[by])?;
        let due = now() + within.as_secs_f64() * 1_000.0;
        for n in others {
            let (router, object) = (name(*n), Some(object.to_string()));
            self.fleet.record.note_at(due, RecordedEvent::Purged { router, object, group: None, stamp });
        }
        Ok(())
    }

    /// Sets the floor at a router to a version; version 0 clears it. `bound` is how long a router may stay
    /// below it.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn set_floor(&self, n: usize, version: u64, bound: Duration) -> io::Result<()> {
        match version {
            0 => self.fleet.query(&name(n), &["fleet", "floor", "clear"])?,
            _ => self.fleet.query(&name(n), &["fleet", "floor", "set", &version.to_string()])?,
        };
        let bound = bound.as_secs_f64() * 1_000.0;
        self.fleet.record.note(RecordedEvent::Raised { version, bound });
        Ok(())
    }

    /// Bytes that crossed the links between routers below `left` and the others, in both directions.
    pub fn bytes_across(&self, left: usize) -> u64 {
        let across = self.proxies.iter().filter(|((a, b), _)| (*a < left) != (*b < left));
        across.map(|(_, proxy)| proxy.passed().bytes.iter().sum::<u64>()).sum()
    }

    /// Delivers to these routers all events that were withheld from them.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn catch_up(&mut self, routers: &[usize]) -> io::Result<()> {
        let all = self.events.len();
        routers.iter().try_for_each(|n| self.deliver_events(*n, all))
    }

    /// Delivers to a router the events that were withheld from it, up to the first `upto` events of the
    /// journal.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn deliver_events(&mut self, n: usize, upto: usize) -> io::Result<()> {
        for event in &self.events[self.events_delivered[n].min(upto)..upto] {
            match event {
                JournalEvent::Node(node, phase) => self.fleet.publish_phase_to(&name(n), node, *phase)?,
                JournalEvent::Purge(object, stamp) => self.fleet.publish_purge_to(&name(n), object, *stamp),
            }
        }
        self.events_delivered[n] = self.events_delivered[n].max(upto);
        Ok(())
    }

    /// Returns and records the output of `fleet show` at a router.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn shown(&self, n: usize) -> io::Result<Value> {
        let since = now();
        let shown = self.fleet.query(&name(n), &["fleet", "show"])?;
        self.note_shown(n, since, &shown);
        Ok(shown)
    }

    /// Waits until the output of `fleet show` at a router fulfils a condition; each output is recorded.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn until(&self, n: usize, what: &str, fits: impl Fn(&Value) -> bool) -> io::Result<Value> {
        let since = Cell::new(now());
        let noted = |shown: &Value| {
            self.note_shown(n, since.get(), shown);
            since.set(now());
            fits(shown)
        };
        let seen = self.fleet.until(&name(n), &["fleet", "show"], &format!("r{n}: {what}"), noted);
        // Broken rules in the recording often explain the time-out.
        seen.map_err(|error| match self.check(&[]) {
            Ok(()) => error,
            Err(broken) => io::Error::new(error.kind(), format!("{error}\n{broken}")),
        })
    }

    /// Records the location summaries that a router shows.
    pub(super) fn note_shown(&self, n: usize, since: Ms, shown: &Value) {
        let places: Vec<LocationSummary> =
            shown["fellows"]["places"].as_array().into_iter().flatten().map(shown_place).collect();
        if !places.is_empty() {
            let (router, fleet_size) = (name(n), shown["whole"].as_u64());
            self.fleet.record.note(RecordedEvent::Shown { router, since, fleet_size, places });
        }
    }

    /// Routers with a running process.
    pub fn up(&self) -> Vec<usize> {
        (0..self.plan.routers).filter(|n| self.is_up(*n)).collect()
    }

    /// Waits until all running routers see each other alive, and then until their hierarchies have the same
    /// digest.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn settle(&self) -> io::Result<()> {
        let up = self.up();
        for n in &up {
            let others = self.known(*n, &up) - 1;
            self.until(*n, "all known peers are alive", |shown| alive(shown) == others)?;
        }
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let mut digests = Vec::new();
            for n in &up {
                digests.push(self.fleet.query(&name(*n), &["hierarchy", "show"])?["digest"].clone());
            }
            if digests.windows(2).all(|pair| pair[0] == pair[1]) {
                return Ok(());
            }
            if Instant::now() > end {
                let why = format!("hierarchy digests still differ after 20 s: {digests:?}");
                return Err(io::Error::new(io::ErrorKind::TimedOut, why));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Applies changes of the hierarchy at a router with the operator's command; returns the batch.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn apply(&self, n: usize, changes: &str) -> io::Result<Value> {
        let file = self.fleet.write_file(&format!("changes-{n}.star"), changes)?;
        self.fleet.query(&name(n), &["hierarchy", "apply", &file.display().to_string()])
    }

    /// Applies a change at a router that makes a cache fill from the parent `centre`.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn move_cache(&mut self, n: usize, cache: usize) -> io::Result<()> {
        let cache = format!("cache-{cache}");
        let batch =
            self.apply(n, &format!("rerank(\"{cache}\", sources = [(\"centre\", 0), (\"origin\", 9)])\n"))?;
        let version = batch["stamp"].as_u64().ok_or(io::ErrorKind::InvalidData)?;
        self.fleet.record_hierarchy(version, &[(&cache, &["centre", "origin"])]);
        Ok(())
    }

    /// Makes the journal of a router unreachable, or reachable again.
    pub fn silence_journal(&self, n: usize, silent: bool) {
        if let Some(proxy) = self.journals.get(&n) {
            match silent {
                true => proxy.cut(),
                false => proxy.clear_faults(),
            }
        }
    }
}
