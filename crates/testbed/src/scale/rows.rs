//! The rows of a scale run, from the counters before and after its load.

use std::time::Instant;

use super::journal::Meter;
use super::{count, CounterSnapshot, Failure, Fault, Form, Harness, Sample, Window};

/// The program's counters of bytes on links, sent and received.
const LINK_BYTES: [&str; 2] = ["link_bytes_out", "link_bytes_in"];
/// The program's counters of bytes on polls of discovery, sent and received.
const JOURNAL_BYTES: [&str; 2] = ["journal_bytes_out", "journal_bytes_in"];

impl CounterSnapshot {
    /// The sum of some counters of a router.
    fn sum(&self, n: usize, names: &[&str]) -> f64 {
        self.counters.get(&n).map_or(0.0, |all| names.iter().map(|name| count(all, name) as f64).sum())
    }
}

impl Harness<'_> {
    /// The rows of a run.
    pub(super) fn rows(&mut self, window: &Window) -> Result<Vec<Sample>, Failure> {
        let last = self.snapshot()?;
        let [changes, missing] = self.changes(&window.changes)?;
        let [before, after] = &window.snapshots;
        let seconds = (after.at - before.at).as_secs_f64();
        let mut rows = Rows { forms: &self.layout.forms, rows: Vec::new() };
        let steady: Vec<usize> = (0..rows.forms.len()).filter(|n| !self.disturbed.contains(n)).collect();
        let rate = |names: &[&str]| -> Vec<(usize, f64)> {
            steady.iter().map(|n| (*n, (after.sum(*n, names) - before.sum(*n, names)) / seconds)).collect()
        };
        rows.add("link said", "B/s", &rate(&LINK_BYTES[..1]));
        rows.add("link heard", "B/s", &rate(&LINK_BYTES[1..]));
        rows.add("journal said", "B/s", &rate(&JOURNAL_BYTES[..1]));
        rows.add("journal heard", "B/s", &rate(&JOURNAL_BYTES[1..]));
        rows.add("control", "B/s", &rate(&[LINK_BYTES, JOURNAL_BYTES].concat()));
        rows.add("facts said", "1/s", &rate(&["fellow_said"]));
        rows.add("facts heard", "1/s", &rate(&["fellow_heard"]));
        rows.add("fact bytes", "B/s", &rate(&["fellow_bytes"]));
        let polled = steady.iter().map(|n| (*n, (after.meters[*n].polls - before.meters[*n].polls) as f64));
        rows.add("polls", "1/s", &polled.map(|(n, polls)| (n, polls / seconds)).collect::<Vec<_>>());
        let processor_time = |n: &usize| Some((*n, after.processor.get(n)? - before.processor.get(n)?));
        let processor_time = steady
            .iter()
            .filter_map(processor_time)
            .map(|(n, processor_time)| (n, processor_time / seconds * 100.0));
        rows.add("processor", "% of a core", &processor_time.collect::<Vec<_>>());
        let memory = window.memory.iter().map(|(n, bytes)| (*n, bytes / 1e6));
        rows.add("memory", "MB", &memory.collect::<Vec<_>>());
        self.add_journal_delays(&mut rows, &last, &steady, window);
        let number = self.journal.number() as f64;
        let running = self.processes.routers();
        let behind = running.iter().map(|n| (*n, number - last.sum(*n, &["journal_number"])));
        rows.add("behind", "events", &behind.collect::<Vec<_>>());
        rows.add("statement age", "s", &window.ages);
        rows.add("change delay", "ms", &changes);
        rows.add("changes missing", "changes", &missing);
        rows.add("joined", "s", &[(0, self.joined)]);
        self.add_starts(&mut rows, &last);
        rows.add("noticed", "s", &self.noticed);
        rows.add("whole", "s", &self.recovered);
        self.add_counted_outside(&mut rows, &last, &steady);
        Ok(rows.rows)
    }

    fn add_journal_delays(&self, rows: &mut Rows, last: &CounterSnapshot, steady: &[usize], window: &Window) {
        let delays = last.meters.iter().enumerate();
        let delays = delays.flat_map(|(n, meter)| meter.delays.iter().map(move |delay| (n, *delay)));
        rows.add("journal delay", "ms", &delays.collect::<Vec<_>>());
        // Routers that ran all the time have a delay for every event.
        let event_count = window.events.1 - window.events.0;
        for form in [Form::Real, Form::Hollow] {
            let meters = steady.iter().filter(|n| self.layout.forms[**n] == form).map(|n| &last.meters[*n]);
            let meters: Vec<&Meter> = meters.filter(|meter| meter.delays.len() == event_count).collect();
            let of_all = |n| meters.iter().map(|meter: &&Meter| meter.delays[n]).fold(0.0, f64::max);
            if !meters.is_empty() {
                rows.put(form, "journal delay, all", "ms", (0..event_count).map(of_all).collect());
            }
        }
    }

    fn add_starts(&self, rows: &mut Rows, last: &CounterSnapshot) {
        let ready = |(n, begun): &(usize, Instant)| {
            let first = last.meters[*n].first.filter(|first| first >= begun)?;
            Some((*n, (first - *begun).as_secs_f64() * 1_000.0))
        };
        // Starts during the load, of a zone or of single routers, take precedence over the initial ones.
        let later = self.starts.get(self.layout.forms.len()..).unwrap_or_default();
        let starts = if later.is_empty() { &self.starts[..] } else { later };
        rows.add("ready", "ms", &starts.iter().filter_map(ready).collect::<Vec<_>>());
    }

    /// Ratios of the program's byte counts to those of the proxies and of the simulated discovery service.
    fn add_counted_outside(&self, rows: &mut Rows, last: &CounterSnapshot, steady: &[usize]) {
        let through = |n: &usize| {
            let (before, after) = last.passed.get(n).filter(|(before, _)| *before > 0)?;
            let counted = last.sum(*n, &LINK_BYTES);
            Some((*n, counted / counted.clamp(*before as f64, *after as f64)))
        };
        let cut = matches!(self.plan.fault, Some(Fault::ZoneCut | Fault::RegionsApart | Fault::SlowMember));
        let watched = self.layout.watched.iter().filter(|n| !cut && steady.contains(n));
        rows.add("links by middle", "ratio", &watched.filter_map(through).collect::<Vec<_>>());
        let ratio = |n: &usize| {
            let Meter { bytes_sent, bytes_received, .. } = last.meters[*n];
            (*n, last.sum(*n, &JOURNAL_BYTES) / (bytes_sent + bytes_received) as f64)
        };
        let undisturbed = self.plan.fault != Some(Fault::ControlKilled) && !cut;
        let counted = steady.iter().filter(|_| undisturbed).map(ratio);
        rows.add("journal by stand-in", "ratio", &counted.collect::<Vec<_>>());
    }
}

/// Collects rows.
pub(super) struct Rows<'a> {
    forms: &'a [Form],
    rows: Vec<Sample>,
}

impl Rows<'_> {
    /// Adds a row for each form that has values.
    pub(super) fn add(&mut self, measure: &str, unit: &str, values: &[(usize, f64)]) {
        for form in [Form::Real, Form::Hollow] {
            let own = values.iter().filter(|(n, _)| self.forms[*n] == form);
            self.put(form, measure, unit, own.map(|(_, value)| *value).collect());
        }
    }

    pub(super) fn put(&mut self, form: Form, measure: &str, unit: &str, mut values: Vec<f64>) {
        values.sort_by(f64::total_cmp);
        let Some(worst) = values.last().copied() else { return };
        let at = |part: f64| values[((values.len() - 1) as f64 * part).round() as usize];
        let (measure, unit) = (measure.to_string(), unit.to_string());
        let (median, p99) = (at(0.5), at(0.99));
        self.rows.push(Sample { form, routers: self.forms.len(), measure, unit, median, p99, worst });
    }
}
