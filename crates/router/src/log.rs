//! Log lines: one macro over `tracing`, with a limited rate, as text or as JSON lines on standard error.
//!
//! A log that nobody reads never ends the router, and no decision depends on what was logged.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// How many lines may be written in each second.
#[derive(Debug, Clone, Copy)]
struct Budget {
    /// The start of the current second.
    since: Instant,
    per_second: u32,
    left: u32,
    /// Lines that were not written since the last one.
    suppressed: u32,
}

thread_local! {
    static BUDGET: Cell<Option<Budget>> = const { Cell::new(None) };
}

/// Sets the rate of this thread; before that every line is written.
pub fn limit_rate(per_second: u32) {
    let since = Instant::now();
    BUDGET.set(Some(Budget { since, per_second, left: per_second, suppressed: 0 }));
}

/// Whether a line may be written now: how many were suppressed before it, or `None`.
pub fn admit() -> Option<u32> {
    let Some(mut budget) = BUDGET.get() else { return Some(0) };
    if budget.since.elapsed() >= Duration::from_secs(1) {
        budget.since = Instant::now();
        budget.left = budget.per_second;
    }
    let admitted = budget.left > 0;
    let suppressed = if admitted { std::mem::take(&mut budget.suppressed) } else { 0 };
    match admitted {
        true => budget.left -= 1,
        false => budget.suppressed += 1,
    }
    BUDGET.set(Some(budget));
    admitted.then_some(suppressed)
}

/// Writes `linnethook: message name=value ...`.
struct PlainFormat {
    /// The thread's name stands before the message: routers share the process.
    has_thread_name: bool,
}

impl<S, N> FormatEvent<S, N> for PlainFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut line = RecordedLine::default();
        event.record(&mut line);
        let thread = std::thread::current();
        match thread.name().filter(|_| self.has_thread_name) {
            Some(name) => writeln!(to, "linnethook: {name}: {}{}", line.message, line.fields),
            None => writeln!(to, "linnethook: {}{}", line.message, line.fields),
        }
    }
}

/// The parts of a line as `tracing` hands them over.
#[derive(Default)]
struct RecordedLine {
    message: String,
    fields: String,
}

impl Visit for RecordedLine {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => self.message = format!("{value:?}"),
            name => self.fields += &format!(" {name}={value:?}"),
        }
    }
}

/// Has lines written from here on. A line that can't be written is skipped, so that the router outlives the reader of its
/// log.
pub fn start(json: bool) {
    write(json, false);
}

/// The same for a process of several routers: each line has the name of its thread.
pub fn start_with_thread_names(json: bool) {
    write(json, true);
}

fn write(json: bool, has_thread_name: bool) {
    let builder = tracing_subscriber::fmt().with_writer(std::io::stderr).log_internal_errors(false);
    // A second call changes nothing: the first one stands.
    let _ = match json {
        true => {
            let builder = builder.json().flatten_event(true).with_thread_names(has_thread_name);
            tracing::subscriber::set_global_default(builder.finish())
        }
        false => tracing::subscriber::set_global_default(
            builder.event_format(PlainFormat { has_thread_name }).finish(),
        ),
    };
}

/// Writes a line to the log, with fields before the message where there are any; one that begins with `always` is
/// not subject to the rate.
macro_rules! log_line {
    (always $($part:tt)*) => {
        tracing::info!($($part)*)
    };
    ($($part:tt)*) => {
        if let Some(suppressed) = $crate::log::admit() {
            if suppressed > 0 {
                tracing::info!("{suppressed} lines held back");
            }
            tracing::info!($($part)*);
        }
    };
}
pub(crate) use log_line;

#[cfg(test)]
#[path = "../tests/unit/log.rs"]
mod tests;
