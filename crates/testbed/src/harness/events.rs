//! What the journal publishes, and what routers show.

use std::cell::Cell;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{alive, name, shown_place, Harness, JournalEvent};
use crate::recording::{now, LocationSummary, Ms, Phase, RecordedEvent};

impl Harness {
    /// The journal tells of a node. It is silent for all but these routers; who hears of it hears first of all that
    /// was silent before.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn tell(&mut self, node: &str, phase: Phase, routers: &[usize]) -> io::Result<()> {
        self.events.push(JournalEvent::Node(node.to_string(), phase));
        self.catch_up(routers)
    }

    /// The same with a purge; nodes drop their copies at once.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn purge(&mut self, object: &str, routers: &[usize]) -> io::Result<()> {
        let stamp = crate::recording::now().floor();
        self.events.push(JournalEvent::Purge(object.to_string(), stamp));
        self.catch_up(routers)?;
        self.fleet.drop_copies(object, stamp);
        Ok(())
    }

    /// The journal tells one router that a cache drains, and others are to heed it within so long: from then on the
    /// record has it as if their own journals had told them.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn tell_for(&mut self, node: &str, by: usize, others: &[usize], within: Duration) -> io::Result<()> {
        self.tell(node, Phase::Draining, &[by])?;
        let due = now() + within.as_secs_f64() * 1_000.0;
        for n in others {
            let (router, node, phase) = (name(*n), node.to_string(), Phase::Draining);
            self.fleet.record.note_at(due, RecordedEvent::Listed { router, node, phase });
        }
        Ok(())
    }

    /// The same with a purge; nodes keep their old copies.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn purge_for(
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

    /// Nobody is to act on a version below this one, says a router; 0 takes that back.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn raise(&self, n: usize, version: u64, bound: Duration) -> io::Result<()> {
        match version {
            0 => self.fleet.asked(&name(n), &["fleet", "floor", "clear"])?,
            _ => self.fleet.asked(&name(n), &["fleet", "floor", "set", &version.to_string()])?,
        };
        let bound = bound.as_secs_f64() * 1_000.0;
        self.fleet.record.note(RecordedEvent::Raised { version, bound });
        Ok(())
    }

    /// Bytes that have crossed the links between those below `left` and the others, both ways.
    pub fn bytes_across(&self, left: usize) -> u64 {
        let across = self.proxies.iter().filter(|((a, b), _)| (*a < left) != (*b < left));
        across.map(|(_, proxy)| proxy.passed().bytes.iter().sum::<u64>()).sum()
    }

    /// The journals of these routers tell all that they were silent about.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn catch_up(&mut self, routers: &[usize]) -> io::Result<()> {
        let all = self.events.len();
        routers.iter().try_for_each(|n| self.deliver_events(*n, all))
    }

    /// A router's journal tells it what it was silent about, up to so many events of all.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn deliver_events(&mut self, n: usize, upto: usize) -> io::Result<()> {
        for event in &self.events[self.events_delivered[n].min(upto)..upto] {
            match event {
                JournalEvent::Node(node, phase) => self.fleet.tell_one(&name(n), node, *phase)?,
                JournalEvent::Purge(object, stamp) => self.fleet.tell_purge(&name(n), object, *stamp),
            }
        }
        self.events_delivered[n] = self.events_delivered[n].max(upto);
        Ok(())
    }

    /// How a router sees the fleet.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn shown(&self, n: usize) -> io::Result<Value> {
        let since = now();
        let shown = self.fleet.asked(&name(n), &["fleet", "show"])?;
        self.note_shown(n, since, &shown);
        Ok(shown)
    }

    /// Waits until `fleet show` of a router is as wanted; each answer is recorded.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn until(&self, n: usize, what: &str, fits: impl Fn(&Value) -> bool) -> io::Result<Value> {
        let since = Cell::new(now());
        let noted = |shown: &Value| {
            self.note_shown(n, since.get(), shown);
            since.set(now());
            fits(shown)
        };
        let seen = self.fleet.until(&name(n), &["fleet", "show"], &format!("r{n}: {what}"), noted);
        // What the record has to say of it.
        seen.map_err(|error| match self.check(&[]) {
            Ok(()) => error,
            Err(broken) => io::Error::new(error.kind(), format!("{error}\n{broken}")),
        })
    }

    /// For the record: what a router shows of places.
    pub(super) fn note_shown(&self, n: usize, since: Ms, shown: &Value) {
        let places: Vec<LocationSummary> =
            shown["fellows"]["places"].as_array().into_iter().flatten().map(shown_place).collect();
        if !places.is_empty() {
            let (router, fleet_size) = (name(n), shown["whole"].as_u64());
            self.fleet.record.note(RecordedEvent::Shown { router, since, fleet_size, places });
        }
    }

    /// All routers that run.
    pub fn up(&self) -> Vec<usize> {
        (0..self.plan.routers).filter(|n| self.is_up(*n)).collect()
    }

    /// Waits until all that run see each other alive, and then until their hierarchies have the same digest.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn settle(&self) -> io::Result<()> {
        let up = self.up();
        for n in &up {
            let others = self.known(*n, &up) - 1;
            self.until(*n, "all are alive", |shown| alive(shown) == others)?;
        }
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let mut digests = Vec::new();
            for n in &up {
                digests.push(self.fleet.asked(&name(*n), &["hierarchy", "show"])?["digest"].clone());
            }
            if digests.windows(2).all(|pair| pair[0] == pair[1]) {
                return Ok(());
            }
            if Instant::now() > end {
                let why = format!("hierarchies differ: {digests:?}");
                return Err(io::Error::new(io::ErrorKind::TimedOut, why));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Has changes of the hierarchy take effect at a router, as an operator does.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn apply(&self, n: usize, changes: &str) -> io::Result<Value> {
        let file = self.fleet.write_file(&format!("changes-{n}.star"), changes)?;
        self.fleet.asked(&name(n), &["hierarchy", "apply", &file.display().to_string()])
    }

    /// A router's operator has a cache fill by the other parent.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn move_cache(&mut self, n: usize, cache: usize) -> io::Result<()> {
        let cache = format!("cache-{cache}");
        let batch =
            self.apply(n, &format!("rerank(\"{cache}\", sources = [(\"centre\", 0), (\"origin\", 9)])\n"))?;
        let version = batch["stamp"].as_u64().ok_or(io::ErrorKind::InvalidData)?;
        self.fleet.note_shape(version, &[(&cache, &["centre", "origin"])]);
        Ok(())
    }

    /// The journal of a router can't be reached, or can again.
    pub fn silence_journal(&self, n: usize, silent: bool) {
        if let Some(proxy) = self.journals.get(&n) {
            match silent {
                true => proxy.cut(),
                false => proxy.mend(),
            }
        }
    }
}
