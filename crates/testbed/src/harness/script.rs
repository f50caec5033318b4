//! Generates scripts of overlapping faults from seeds, and runs them.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use linnethook_audit::verification::Finding;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use super::{name, Harness, HarnessError};
use crate::checker::Rule;
use crate::fault_proxy::Corruption;
use crate::recording::{Phase, RecordedEvent};

/// One fault, the end of one, or an event that is published meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// A router's process is killed.
    Kill(usize),
    /// A router's process is restarted, with load.
    StartAgain(usize),
    /// A router's process is suspended.
    Freeze(usize),
    /// A suspended process is resumed.
    Wake(usize),
    /// A link is reset.
    Cut(usize, usize),
    /// Nothing passes from the first router to the second.
    BlockDirection(usize, usize),
    /// A link passes 2,000 bytes a second.
    Slow(usize, usize),
    /// A link delays by 150 ms.
    Delay(usize, usize),
    /// A chunk from the first router to the second is lost.
    Lose(usize, usize),
    /// A chunk from the first router to the second is delivered twice.
    Repeat(usize, usize),
    /// All faults of a link are cleared.
    Mend(usize, usize),
    /// A batch applied at a router (the first number) makes a cache (the second) fill from the parent
    /// `centre`.
    Batch(usize, usize),
    /// The journals of the lower half (`false`) or the higher half (`true`) of the routers publish that a
    /// cache drains.
    Drain(usize, bool),
    /// All journals publish that a cache is ready again.
    Back(usize),
}

/// A script: pauses in milliseconds, each with the step that follows it.
pub type Script = Vec<(u64, Step)>;

/// The script of a seed. Each seed leaves out some kinds of faults, so that rare combinations occur.
pub fn script(seed: u64, routers: usize, caches: usize, steps: usize) -> Script {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let kinds: Vec<usize> = (0..11).filter(|_| random.random::<f64>() < 0.6).collect();
    let mut down = vec![false; routers];
    let mut frozen = vec![false; routers];
    let mut drained = None;
    let mut script = Script::new();
    for _ in 0..steps {
        let pause = random.random_range(30..400);
        let (a, mut b) = (random.random_range(0..routers), random.random_range(0..routers));
        if a == b {
            b = (a + 1) % routers;
        }
        let kind = if kinds.is_empty() { 4 } else { kinds[random.random_range(0..kinds.len())] };
        let step = match kind {
            0 if down[a] => Step::StartAgain(a),
            0 if !frozen[a] && down.iter().filter(|down| **down).count() + 1 < routers => Step::Kill(a),
            1 if frozen[a] => Step::Wake(a),
            1 if !down[a] => Step::Freeze(a),
            2 => Step::Cut(a, b),
            3 => Step::BlockDirection(a, b),
            4 => Step::Mend(a, b),
            5 => Step::Slow(a, b),
            6 => Step::Delay(a, b),
            7 => Step::Lose(a, b),
            8 => Step::Repeat(a, b),
            9 if !down[a] && !frozen[a] => Step::Batch(a, random.random_range(0..caches)),
            10 => match drained.take() {
                Some(cache) => Step::Back(cache),
                None => {
                    let cache = random.random_range(0..caches);
                    drained = Some(cache);
                    Step::Drain(cache, random.random())
                }
            },
            _ => continue,
        };
        match step {
            Step::Kill(n) => down[n] = true,
            Step::StartAgain(n) => down[n] = false,
            Step::Freeze(n) => frozen[n] = true,
            Step::Wake(n) => frozen[n] = false,
            _ => {}
        }
        script.push((pause, step));
    }
    script
}

/// Results of a script.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Played {
    /// Requests of clients.
    pub asked: u32,
    /// Requests that were served.
    pub served: u32,
    /// Requests that were rejected.
    pub refused: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Drains that arrived by gossip before the journal published them, summed over all routers.
    pub drains: u64,
    /// Batches that arrived by gossip first, summed over all routers.
    pub batches: u64,
    /// Time from the end of the faults until all routers had the same hierarchy and saw each other alive.
    pub settled_in: Duration,
}

impl Harness {
    pub(super) fn step(&mut self, step: Step, drained: &mut Option<usize>) -> io::Result<()> {
        match step {
            Step::Kill(n) => self.kill(n),
            Step::StartAgain(n) => {
                self.restart_router(n)?;
                self.load(n)?;
            }
            Step::Freeze(n) => self.suspend(n)?,
            Step::Wake(n) => self.resume(n)?,
            Step::Cut(a, b) => self.cut(a, b),
            Step::BlockDirection(a, b) => self.block_direction(a, b),
            Step::Slow(a, b) => self.limit_rate(a, b, 2_000.0),
            Step::Delay(a, b) => self.delay(a, b, Duration::from_millis(150)),
            Step::Lose(a, b) => self.corrupt(a, b, Corruption::Lost),
            Step::Repeat(a, b) => self.corrupt(a, b, Corruption::Repeated),
            Step::Mend(a, b) => self.clear_faults(a, b),
            // The hierarchy may reject a batch that overtakes another; that is allowed.
            Step::Batch(n, cache) => _ = self.move_cache(n, cache),
            Step::Drain(cache, high) => {
                let half = self.plan.routers / 2;
                let notified: Vec<usize> = (0..self.plan.routers).filter(|n| (*n >= half) == high).collect();
                self.publish_phase(&format!("cache-{cache}"), Phase::Draining, &notified)?;
                *drained = Some(cache);
            }
            Step::Back(cache) => {
                let all: Vec<usize> = (0..self.plan.routers).collect();
                self.publish_phase(&format!("cache-{cache}"), Phase::Ready, &all)?;
                *drained = None;
            }
        }
        Ok(())
    }

    /// Runs a script under load, clears all its faults, and waits until the routers agree. A cache that only
    /// some journals have drained by then must not be used by any router.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, a wait that times out, or a finding of the checks of
    /// the run.
    pub fn run_script(&mut self, script: &Script) -> Result<Played, HarnessError> {
        self.load_all()?;
        let mut drained = None;
        for (pause, step) in script {
            thread::sleep(Duration::from_millis(*pause));
            self.step(*step, &mut drained).map_err(|source| HarnessError::Step { step: *step, source })?;
        }
        self.clear_all_faults();
        for n in 0..self.plan.routers {
            match self.is_up(n) {
                true => self.resume(n)?,
                false => {
                    self.restart_router(n)?;
                    self.load(n)?;
                }
            }
        }
        let begun = Instant::now();
        self.settle()?;
        let settled_in = begun.elapsed();
        if let Some(cache) = drained {
            let cache = format!("cache-{cache}");
            let silent: Vec<usize> =
                (0..self.plan.routers).filter(|n| self.events_delivered[*n] < self.events.len()).collect();
            for n in silent {
                let by_gossip = |shown: &Value| {
                    let barred = shown["barred"].as_array();
                    barred.is_some_and(|all| all.iter().any(|line| line[0] == cache.as_str()))
                };
                self.until(n, "the drain arrives from a peer by gossip", by_gossip)?;
                // From now on the router counts as notified.
                let (router, node, phase) = (name(n), cache.clone(), Phase::Draining);
                self.fleet.record.note(RecordedEvent::Listed { router, node, phase });
            }
        }
        thread::sleep(Duration::from_millis(700));
        let mut results = Played { settled_in, ..Played::default() };
        for n in 0..self.plan.routers {
            let shown = self.shown(n)?;
            results.drains += shown["drains"].as_u64().unwrap_or(0);
            results.batches += shown["batches"].as_u64().unwrap_or(0);
        }
        self.end_loads();
        for ends in &self.ends {
            let sum = |list: &[u32]| list.iter().sum::<u32>();
            results.asked += sum(&ends.asked);
            results.served += sum(&ends.served);
            results.refused += sum(&ends.refused);
            results.failed += sum(&ends.failed);
        }
        let logs = self.audit_logs()?;
        self.check_audit_logs(&logs)?;
        let mut findings = logs.findings.iter();
        if let Some(finding) = findings.find(|finding| !matches!(finding, Finding::Gap { .. })) {
            return Err(HarnessError::AuditLogs(Box::new(finding.clone())));
        }
        // Two partitions that change the hierarchy independently can use the same version number for
        // different hierarchies, which the recording can't distinguish.
        self.check(&[Rule::NoStrangeEdge])?;
        Ok(results)
    }
}
