//! The log: one macro over `tracing`, limited to a rate, as text or as JSON lines on standard error.
//!
//! The log takes no part in decisions, and a router goes on when nobody reads it.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Which lines may be written.
#[derive(Debug, Clone, Copy)]
struct LineBudget {
    /// When the present second began.
    window_start: Instant,
    lines_per_second: u32,
    /// Lines that may still be written in the present second.
    remaining: u32,
    /// Lines that were suppressed since the last one that was written.
    suppressed: u32,
}

thread_local! {
    static BUDGET: Cell<Option<LineBudget>> = const { Cell::new(None) };
}

/// Limits the rate of this thread's lines; without a call all lines are written.
pub fn limit_rate(lines_per_second: u32) {
    let window_start = Instant::now();
    let budget = LineBudget { window_start, lines_per_second, remaining: lines_per_second, suppressed: 0 };
    BUDGET.set(Some(budget));
}

/// Asks to write a line: `None` if it is suppressed, else how many were suppressed before it.
pub fn admit_line() -> Option<u32> {
    let Some(mut budget) = BUDGET.get() else { return Some(0) };
    if budget.window_start.elapsed() >= Duration::from_secs(1) {
        budget.window_start = Instant::now();
        budget.remaining = budget.lines_per_second;
    }
    let suppressed = if budget.remaining > 0 {
        budget.remaining -= 1;
        Some(std::mem::take(&mut budget.suppressed))
    } else {
        budget.suppressed += 1;
        None
    };
    BUDGET.set(Some(budget));
    suppressed
}

/// `linnethook: message name=value ...`, with the thread's name before the message where routers share a process.
struct PlainFormat {
    shows_thread_name: bool,
}

impl<S, N> FormatEvent<S, N> for PlainFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut text = EventText::default();
        event.record(&mut text);
        let thread = std::thread::current();
        match thread.name().filter(|_| self.shows_thread_name) {
            Some(name) => writeln!(writer, "linnethook: {name}: {}{}", text.message, text.fields),
            None => writeln!(writer, "linnethook: {}{}", text.message, text.fields),
        }
    }
}

/// The message of an event, and its fields in their order.
#[derive(Default)]
struct EventText {
    message: String,
    fields: String,
}

impl Visit for EventText {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => self.message = format!("{value:?}"),
            name => self.fields += &format!(" {name}={value:?}"),
        }
    }
}

/// Starts the log. A line that can't be written is dropped: the end of the process that reads the log must not end the
/// router.
pub fn start(json: bool) {
    install(json, false);
}

/// Starts the log of a process of several routers: each line has the name of its thread.
pub fn start_with_thread_names(json: bool) {
    install(json, true);
}

fn install(json: bool, shows_thread_name: bool) {
    let builder = tracing_subscriber::fmt().with_writer(std::io::stderr).log_internal_errors(false);
    // Only the first call counts.
    let _ = match json {
        true => {
            let builder = builder.json().flatten_event(true).with_thread_names(shows_thread_name);
            tracing::subscriber::set_global_default(builder.finish())
        }
        false => {
            let builder = builder.event_format(PlainFormat { shows_thread_name });
            tracing::subscriber::set_global_default(builder.finish())
        }
    };
}

/// Writes a line to the log, with fields before the message where there are any. A line that begins with `always` is
/// not limited to the rate.
macro_rules! log_line {
    (always $($part:tt)*) => {
        tracing::info!($($part)*)
    };
    ($($part:tt)*) => {
        if let Some(suppressed) = $crate::log::admit_line() {
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
