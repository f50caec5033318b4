//! Owns the words for faults: one table by which a file names them, and by which they are written down again.
//!
//! Must never know what a fault does.

use linnethook_model::plan::{Fault, LinkFault};

/// What a kind of fault needs beside its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Needs {
    Nothing,
    Server,
    Location,
    /// A parent, counted among the parents, and another.
    Parents,
    /// A number, under a name of its own.
    Number(&'static str, u32, u32),
    ServerAnd(&'static str, u32, u32),
}

/// A kind of fault.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub word: &'static str,
    pub needs: Needs,
    /// From a server or location and a number.
    pub make: fn(usize, f64) -> Fault,
}

impl PartialEq for Kind {
    fn eq(&self, other: &Self) -> bool {
        self.word == other.word
    }
}

const fn kind(word: &'static str, needs: Needs, make: fn(usize, f64) -> Fault) -> Kind {
    Kind { word, needs, make }
}

pub const KINDS: &[Kind] = &[
    kind("die", Needs::Server, |n, _| Fault::Crash(n)),
    kind("start", Needs::Server, |n, _| Fault::Start(n)),
    kind("silent", Needs::Server, |n, _| Fault::Silent(n, true)),
    kind("heard", Needs::Server, |n, _| Fault::Silent(n, false)),
    kind("stall", Needs::Server, |n, _| Fault::Stall(n, true)),
    kind("go on", Needs::Server, |n, _| Fault::Stall(n, false)),
    kind("fail", Needs::Server, |n, _| Fault::FailFast(n, true)),
    kind("work", Needs::Server, |n, _| Fault::FailFast(n, false)),
    kind("slow", Needs::ServerAnd("times", 0, 10_000), Fault::Slow),
    kind("age", Needs::ServerAnd("by", 0, 10_000), Fault::Degrade),
    kind("drain", Needs::Server, |n, _| Fault::Drain(n)),
    kind("cut", Needs::Location, |n, _| Fault::Partition(n, true)),
    kind("mend", Needs::Location, |n, _| Fault::Partition(n, false)),
    kind("link cut", Needs::Nothing, |_, _| Fault::Link(LinkFault::Cut)),
    kind("link silent", Needs::Nothing, |_, _| Fault::Link(LinkFault::Silent)),
    kind("link slow", Needs::Number("times", 0, 10_000), |_, times| Fault::Link(LinkFault::Slow(times))),
    kind("link mended", Needs::Nothing, |_, _| Fault::Link(LinkFault::Restore)),
    kind("list late", Needs::Number("late", 0, 1_000_000), |_, late| Fault::EndpointUpdateDelay(late)),
    kind("move", Needs::Parents, |n, to| Fault::Move(n, to as usize)),
    kind("reports late", Needs::Number("late", 1, 1_000_000), |_, late| Fault::LoadReportInterval(late)),
    kind("rate", Needs::Number("times", 0, 1_000), |_, times| Fault::Rate(times)),
    kind("purge", Needs::Number("count", 1, 10_000), |_, count| Fault::Purge(count as u32)),
];

/// An argument of a fault under its name.
pub type Argument<T> = Option<(&'static str, T)>;

/// A fault as a file names it: its kind, what it befalls, and its number.
pub fn parts(fault: &Fault) -> (&'static str, Argument<usize>, Argument<f64>) {
    let server = |n: &usize| Some(("server", *n));
    let location = |n: &usize| Some(("location", *n));
    match fault {
        Fault::Crash(n) => ("die", server(n), None),
        Fault::Start(n) => ("start", server(n), None),
        Fault::Silent(n, on) => (if *on { "silent" } else { "heard" }, server(n), None),
        Fault::Stall(n, on) => (if *on { "stall" } else { "go on" }, server(n), None),
        Fault::FailFast(n, on) => (if *on { "fail" } else { "work" }, server(n), None),
        Fault::Slow(n, times) => ("slow", server(n), Some(("times", *times))),
        Fault::Degrade(n, by) => ("age", server(n), Some(("by", *by))),
        Fault::Drain(n) => ("drain", server(n), None),
        Fault::Partition(n, on) => (if *on { "cut" } else { "mend" }, location(n), None),
        Fault::Link(LinkFault::Cut) => ("link cut", None, None),
        Fault::Link(LinkFault::Silent) => ("link silent", None, None),
        Fault::Link(LinkFault::Slow(times)) => ("link slow", None, Some(("times", *times))),
        Fault::Link(LinkFault::Restore) => ("link mended", None, None),
        Fault::EndpointUpdateDelay(late) => ("list late", None, Some(("late", *late))),
        Fault::Move(n, to) => ("move", Some(("parent", *n)), Some(("to", *to as f64))),
        Fault::LoadReportInterval(late) => ("reports late", None, Some(("late", *late))),
        Fault::Rate(times) => ("rate", None, Some(("times", *times))),
        Fault::Purge(count) => ("purge", None, Some(("count", f64::from(*count)))),
    }
}

/// For people: `die 3`, `slow 10 times 30`.
pub fn told(fault: &Fault) -> String {
    let (word, place, number) = parts(fault);
    let place = place.map_or(String::new(), |(_, n)| format!(" {n}"));
    let number = number.map_or(String::new(), |(name, value)| format!(", {name} {}", rounded(value)));
    format!("{word}{place}{number}")
}

/// A number with no more digits than it takes to say it again.
pub fn rounded(value: f64) -> String {
    let text = format!("{value:.4}");
    let text = if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.') } else { &text };
    text.to_string()
}
