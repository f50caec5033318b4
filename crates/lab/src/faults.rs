//! The names of faults: one table, used to read faults from experiment files and to write them back.
//!
//! The effects of a fault are implemented by the model.

use linnethook_model::plan::{Fault, LinkFault};

/// The arguments that a kind of fault requires in addition to its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequiredArguments {
    Nothing,
    Server,
    Location,
    /// A parent, by its index among the parents, and another parent.
    Parents,
    /// A number: the name of its argument, its minimum and its maximum.
    Number(&'static str, u32, u32),
    /// A server and a number.
    ServerAnd(&'static str, u32, u32),
}

/// A kind of fault under its name in experiment files.
#[derive(Debug, Clone, Copy)]
pub struct FaultKind {
    pub name: &'static str,
    pub required: RequiredArguments,
    /// Constructs the fault from the index of a server, location or parent, and a number.
    pub construct: fn(usize, f64) -> Fault,
}

impl PartialEq for FaultKind {
    fn eq(&self, other: &Self) -> bool {
        self.name == other.name
    }
}

const fn kind(
    name: &'static str,
    required: RequiredArguments,
    construct: fn(usize, f64) -> Fault,
) -> FaultKind {
    FaultKind { name, required, construct }
}

/// All kinds of faults.
pub const FAULT_KINDS: &[FaultKind] = &[
    kind("die", RequiredArguments::Server, |n, _| Fault::Crash(n)),
    kind("start", RequiredArguments::Server, |n, _| Fault::Start(n)),
    kind("silent", RequiredArguments::Server, |n, _| Fault::Silent(n, true)),
    kind("heard", RequiredArguments::Server, |n, _| Fault::Silent(n, false)),
    kind("stall", RequiredArguments::Server, |n, _| Fault::Stall(n, true)),
    kind("go on", RequiredArguments::Server, |n, _| Fault::Stall(n, false)),
    kind("fail", RequiredArguments::Server, |n, _| Fault::FailFast(n, true)),
    kind("work", RequiredArguments::Server, |n, _| Fault::FailFast(n, false)),
    kind("slow", RequiredArguments::ServerAnd("times", 0, 10_000), Fault::Slow),
    kind("age", RequiredArguments::ServerAnd("by", 0, 10_000), Fault::Degrade),
    kind("drain", RequiredArguments::Server, |n, _| Fault::Drain(n)),
    kind("cut", RequiredArguments::Location, |n, _| Fault::Partition(n, true)),
    kind("mend", RequiredArguments::Location, |n, _| Fault::Partition(n, false)),
    kind("link cut", RequiredArguments::Nothing, |_, _| Fault::Link(LinkFault::Cut)),
    kind("link silent", RequiredArguments::Nothing, |_, _| Fault::Link(LinkFault::Silent)),
    kind("link slow", RequiredArguments::Number("times", 0, 10_000), |_, times| {
        Fault::Link(LinkFault::Slow(times))
    }),
    kind("link mended", RequiredArguments::Nothing, |_, _| Fault::Link(LinkFault::Restore)),
    kind("list late", RequiredArguments::Number("late", 0, 1_000_000), |_, late| {
        Fault::EndpointUpdateDelay(late)
    }),
    kind("move", RequiredArguments::Parents, |n, to| Fault::Move(n, to as usize)),
    kind("reports late", RequiredArguments::Number("late", 1, 1_000_000), |_, late| {
        Fault::LoadReportInterval(late)
    }),
    kind("rate", RequiredArguments::Number("times", 0, 1_000), |_, times| Fault::Rate(times)),
    kind("purge", RequiredArguments::Number("count", 1, 10_000), |_, count| Fault::Purge(count as u32)),
];

/// An argument of a fault, with its name.
pub type NamedArgument<T> = Option<(&'static str, T)>;

/// A fault as written in a file: the name of its kind, the index of its target, and its number.
pub fn arguments(fault: &Fault) -> (&'static str, NamedArgument<usize>, NamedArgument<f64>) {
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

/// A readable description, such as `die 3` or `slow 10, times 30`.
pub fn description(fault: &Fault) -> String {
    let (kind, target, number) = arguments(fault);
    let target = target.map_or(String::new(), |(_, n)| format!(" {n}"));
    let number = number.map_or(String::new(), |(name, value)| format!(", {name} {}", format_number(value)));
    format!("{kind}{target}{number}")
}

/// Formats a number with at most four decimal places, without trailing zeros.
pub fn format_number(value: f64) -> String {
    let text = format!("{value:.4}");
    let text = if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.') } else { &text };
    text.to_string()
}
