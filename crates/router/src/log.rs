//! Logging: a rate-limited macro over `tracing` that writes text or JSON lines to standard error.
//!
//! Write errors of the log never affect the router, and no decision depends on what was logged.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The rate limit of a thread's log lines.
#[derive(Debug, Clone, Copy)]
struct Budget {
    /// The start of the current one-second window.
    since: Instant,
    per_second: u32,
    left: u32,
    /// The number of lines suppressed since the last one that was written.
    suppressed: u32,
}

thread_local! {
    static BUDGET: Cell<Option<Budget>> = const { Cell::new(None) };
}

/// Limits the rate of this thread's log lines, which is unlimited before.
pub fn limit_rate(per_second: u32) {
    let since = Instant::now();
    BUDGET.set(Some(Budget { since, per_second, left: per_second, suppressed: 0 }));
}

/// Admits a line within the rate limit: returns the number of lines suppressed before it, or `None` if this
/// line is suppressed too.
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
    /// Whether the thread's name precedes the message, for processes with several routers.
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

/// The message and fields of a `tracing` event.
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

/// Starts writing log lines. A line that can't be written is skipped, so that a closed log does not end the
/// router.
pub fn start(json: bool) {
    write(json, false);
}

/// Like [`start`], for a process with several routers: each line has the name of its thread.
pub fn start_with_thread_names(json: bool) {
    write(json, true);
}

fn write(json: bool, has_thread_name: bool) {
    let builder = tracing_subscriber::fmt().with_writer(std::io::stderr).log_internal_errors(false);
    // The error of a second call is ignored: the first call remains in force.
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

/// Writes a log line, with optional fields before the message. A line that begins with `always` is not
/// subject to the rate limit.
macro_rules! log_line {
    (always $($part:tt)*) => {
        tracing::info!($($part)*)
    };
    ($($part:tt)*) => {
        if let Some(suppressed) = $crate::log::admit() {
            if suppressed > 0 {
                tracing::info!("{suppressed} lines suppressed");
            }
            tracing::info!($($part)*);
        }
    };
}
pub(crate) use log_line;

#[cfg(test)]
#[path = "../tests/unit/log.rs"]
mod tests;
