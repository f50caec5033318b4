//! Checks a recording against the rules: five for routers, three for the hierarchy, two for links between
//! sites, and the rule of aggregates, which is in [`crate::aggregates`].
//!
//! Reads only the recorded traffic. Each rule is a separate pass over the entries.

mod hierarchy;
mod links;

use std::collections::{BTreeMap, BTreeSet};

use crate::aggregates::aggregates;
use crate::recording::{Ms, Phase, RecordEntry, RecordedEvent, WarmUpCapacity};
use hierarchy::{no_loop, no_old_version, no_strange_edge};
use links::{no_overlap, no_return};

pub use crate::rules::{Breach, Rule, RuleBounds};

/// Checks a recording; returns the breaches by time. Requests that are open at its end and within their
/// deadlines are not breaches.
pub fn judge(lines: &[RecordEntry], rules: &RuleBounds) -> Vec<Breach> {
    let passes = [
        one_answer,
        no_second_effect,
        drains,
        no_push,
        purges,
        no_loop,
        no_strange_edge,
        no_overlap,
        no_return,
        no_old_version,
        aggregates,
    ];
    let mut breaches: Vec<Breach> = passes.iter().flat_map(|pass| pass(lines, rules)).collect();
    breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    breaches
}

/// Requests whose clients disconnected while waiting, and attempts that were sent too late after that.
#[derive(Debug, Default)]
pub struct DisconnectedClients {
    /// Requests whose clients disconnected before an answer.
    pub cases: usize,
    /// Attempts that were sent later than `DISCONNECT_NOTICE` after the disconnect.
    pub late_attempts: Vec<Breach>,
    /// Those of them that were also sent later than `EARLIER_DISCONNECT_NOTICE`.
    pub late_by_earlier_bound: Vec<Breach>,
}

/// How long a router may take to notice that a client has disconnected, in milliseconds.
const DISCONNECT_NOTICE: Ms = 100.0;
/// The bound that applied before [`DISCONNECT_NOTICE`], in milliseconds: recordings are checked against both.
const EARLIER_DISCONNECT_NOTICE: Ms = 300.0;

/// Attempts for requests whose clients disconnected. Not a pass of [`judge`]: the target is a share of such
/// requests, not that there are none.
pub fn disconnected_clients(lines: &[RecordEntry], rules: &RuleBounds) -> DisconnectedClients {
    let mut out = DisconnectedClients::default();
    let mut waiting = BTreeMap::<u64, (&str, &str)>::new();
    let mut left = BTreeMap::<(&str, &str), Ms>::new();
    for line in lines {
        match &line.what {
            RecordedEvent::Requested { request, id, router, .. } => {
                _ = waiting.insert(*request, (router, id))
            }
            RecordedEvent::Final { request, .. } => _ = waiting.remove(request),
            RecordedEvent::Released { request } => {
                if let Some(who) = waiting.remove(request) {
                    out.cases += 1;
                    left.insert(who, line.at);
                }
            }
            RecordedEvent::Asked { asked, .. } => {
                let Some(router) = asked.router.as_deref() else { continue };
                let Some(since) = left.get(&(router, asked.id.as_str())) else { continue };
                let late = line.at - since;
                if late > DISCONNECT_NOTICE + rules.slack {
                    let what = format!(
                        "request {} was sent to {} {late:.0} ms after its client disconnected",
                        asked.id, asked.at
                    );
                    let breach = Breach { at: line.at, rule: Rule::NoneLeft, what };
                    out.late_by_earlier_bound
                        .extend((late > EARLIER_DISCONNECT_NOTICE + rules.slack).then(|| breach.clone()));
                    out.late_attempts.push(breach);
                }
            }
            _ => {}
        }
    }
    out
}

/// Adjusts a recording for suspended processes: an event that was published to a router meanwhile counts from
/// when it was resumed, and an answer that was due by then, or within `grace` after, has `grace` more time.
pub fn adjust_for_pauses(lines: &[RecordEntry], grace: Ms) -> Vec<RecordEntry> {
    let mut spans = Vec::<(&str, Ms, Ms)>::new();
    for line in lines {
        match &line.what {
            RecordedEvent::Paused { router } => spans.push((router, line.at, f64::INFINITY)),
            RecordedEvent::Woken { router } => {
                let open = spans.iter_mut().find(|(paused, _, to)| paused == router && to.is_infinite());
                open.into_iter().for_each(|(.., to)| *to = line.at);
            }
            _ => {}
        }
    }
    let until = |router: &str, at: Ms| {
        let inside = |(paused, from, to): &&(&str, Ms, Ms)| *paused == router && (*from..=*to).contains(&at);
        spans.iter().find(inside).map_or(at, |(.., to)| *to)
    };
    let moved = |line: &RecordEntry| {
        let mut line = line.clone();
        match &mut line.what {
            RecordedEvent::Listed { router, .. } | RecordedEvent::Purged { router, .. } => {
                line.at = until(router, line.at)
            }
            RecordedEvent::Requested { router, deadline, .. } => {
                let at = until(router, *deadline);
                let late = spans.iter().any(|(paused, from, to)| {
                    paused == router && line.at <= *to && *deadline >= *from && *deadline < *to + grace
                });
                *deadline = if late { at.max(*deadline) + grace } else { *deadline };
            }
            _ => {}
        }
        line
    };
    let mut moved: Vec<RecordEntry> = lines.iter().map(moved).collect();
    moved.sort_by(|a, b| a.at.total_cmp(&b.at));
    moved
}

const SERVED: u8 = 1;
const REFUSED: u8 = 2;

fn one_answer(lines: &[RecordEntry], rules: &RuleBounds) -> Vec<Breach> {
    let mut out = Vec::new();
    let mut open = BTreeMap::<u64, Ms>::new();
    let mut known = BTreeSet::new();
    let mut breach = |at, what| out.push(Breach { at, rule: Rule::OneAnswer, what });
    let end = lines.last().map_or(0.0, |line| line.at);
    for line in lines {
        match &line.what {
            RecordedEvent::Requested { request, deadline, .. } => {
                open.insert(*request, *deadline);
                known.insert(*request);
            }
            RecordedEvent::Final { request, .. } => match open.remove(request) {
                Some(deadline) if line.at > deadline + rules.slack => {
                    breach(
                        line.at,
                        format!("request {request} was answered {:.0} ms late", line.at - deadline),
                    );
                }
                Some(_) => {}
                None if known.contains(request) => {
                    breach(
                        line.at,
                        format!("request {request} got a second answer, or one that no client waited for"),
                    );
                }
                None => breach(line.at, format!("answer to request {request}, which was never sent")),
            },
            RecordedEvent::Released { request } => {
                open.remove(request);
            }
            _ => {}
        }
    }
    for (request, deadline) in open {
        if deadline + rules.slack < end {
            breach(deadline, format!("request {request} was never answered"));
        }
    }
    out
}

/// An attempt of a request that is not idempotent: its start and end, and whether it ran.
#[derive(Debug, Clone)]
struct Attempt {
    from: Ms,
    to: Ms,
    ran: bool,
}

fn no_second_effect(lines: &[RecordEntry], _: &RuleBounds) -> Vec<Breach> {
    let mut out = Vec::new();
    let mut harmful = BTreeMap::<&str, u64>::new();
    let mut names = BTreeMap::<u64, &str>::new();
    let mut attempts = BTreeMap::<&str, Vec<Attempt>>::new();
    let mut of = BTreeMap::<u64, (&str, usize)>::new();
    let mut refused = BTreeSet::<&str>::new();
    let mut breach = |at, what| out.push(Breach { at, rule: Rule::NoSecondEffect, what });
    for line in lines {
        match &line.what {
            RecordedEvent::Requested { request, id, harmful: true, .. } => {
                harmful.insert(id, *request);
                names.insert(*request, id);
            }
            // Only attempts of routers count; nodes on the path to the origin forward the same attempt.
            RecordedEvent::Asked { attempt, asked }
                if asked.router.is_some() && harmful.contains_key(asked.id.as_str()) =>
            {
                if refused.contains(asked.id.as_str()) {
                    breach(line.at, format!("request {} had an attempt after it was rejected", asked.id));
                }
                let all = attempts.entry(asked.id.as_str()).or_default();
                if let Some(before) = all.iter().find(|before| before.to > line.at || before.ran) {
                    let how = if before.ran { "after one that ran" } else { "while one was open" };
                    breach(line.at, format!("request {} had another attempt {how}", asked.id));
                }
                of.insert(*attempt, (asked.id.as_str(), all.len()));
                all.push(Attempt { from: line.at, to: f64::INFINITY, ran: false });
            }
            RecordedEvent::Ended { attempt, ran, .. } => {
                let Some((id, n)) = of.get(attempt) else { continue };
                if let Some(known) = attempts.get_mut(id).and_then(|all| all.get_mut(*n)) {
                    (known.to, known.ran) = (line.at, *ran);
                }
            }
            RecordedEvent::Final { request, code: REFUSED, .. } => {
                let Some(id) = names.get(request) else { continue };
                refused.insert(id);
                let may_have_run = |a: &Attempt| a.ran || (a.to > line.at && a.from <= line.at);
                if attempts.get(id).is_some_and(|all| all.iter().any(may_have_run)) {
                    breach(line.at, format!("request {id} was rejected, but may have run"));
                }
            }
            _ => {}
        }
    }
    out
}

fn drains(lines: &[RecordEntry], rules: &RuleBounds) -> Vec<Breach> {
    let mut out = Vec::new();
    // By router and node: since when the router is notified not to use it.
    let mut barred = BTreeMap::<(&str, &str), Ms>::new();
    for line in lines {
        match &line.what {
            RecordedEvent::Listed { router, node, phase: Phase::Ready } => {
                barred.remove(&(router, node));
            }
            RecordedEvent::Listed { router, node, .. } => {
                barred.entry((router, node)).or_insert(line.at);
            }
            RecordedEvent::Asked { asked, .. } => {
                let Some(router) = asked.router.as_deref() else { continue };
                let via = asked.via.iter().map(|hop| hop.trim_end_matches(":h"));
                let named = std::iter::once(asked.at.as_str()).chain(asked.source.as_deref()).chain(via);
                for node in named {
                    let Some(since) = barred.get(&(router, node)) else { continue };
                    let late = line.at - since - rules.drain_grace - rules.slack;
                    if late > 0.0 {
                        let what = format!(
                            "{router} used {node} {late:.0} ms too late, in a request to {}",
                            asked.at
                        );
                        out.push(Breach { at: line.at, rule: Rule::Drains, what });
                    }
                }
            }
            _ => {}
        }
    }
    out
}

fn no_push(lines: &[RecordEntry], rules: &RuleBounds) -> Vec<Breach> {
    let mut out = Vec::new();
    let mut started = BTreeMap::<&str, (Ms, WarmUpCapacity)>::new();
    let mut arrivals = BTreeMap::<&str, Vec<Ms>>::new();
    for line in lines {
        match &line.what {
            RecordedEvent::Started { node, cold } => {
                started.insert(node, (line.at, *cold));
                arrivals.remove(node.as_str());
            }
            RecordedEvent::Asked { asked, .. } => {
                let Some((since, cold)) = started.get(asked.at.as_str()) else { continue };
                let age = line.at - since;
                if age > cold.warm_in || cold.fall_multiple <= 0.0 {
                    continue;
                }
                let all = arrivals.entry(asked.at.as_str()).or_default();
                all.push(line.at);
                all.retain(|at| line.at - at < cold.window);
                let bears = cold.capacity_at(age) * cold.fall_multiple * cold.window / 1000.0
                    * rules.overload_tolerance;
                if all.len() as f64 > bears {
                    let what = format!(
                        "{} got {} requests in {:.0} ms; expected at most {bears:.0}",
                        asked.at,
                        all.len(),
                        cold.window
                    );
                    out.push(Breach { at: line.at, rule: Rule::NoPush, what });
                    all.clear();
                }
            }
            RecordedEvent::Fell { node } => {
                let what = format!("{node} failed by overload");
                out.push(Breach { at: line.at, rule: Rule::NoPush, what });
            }
            _ => {}
        }
    }
    out
}

fn purges(lines: &[RecordEntry], rules: &RuleBounds) -> Vec<Breach> {
    let mut out = Vec::new();
    let mut asked = BTreeMap::<u64, (&str, u32, &str, Ms)>::new();
    let mut notices = Vec::<(&str, Option<&str>, Option<u32>, Ms, Ms)>::new();
    for line in lines {
        match &line.what {
            RecordedEvent::Purged { router, object, group, stamp } => {
                notices.push((router, object.as_deref(), *group, *stamp, line.at));
            }
            RecordedEvent::Requested { request, object, group, router, .. } => {
                asked.insert(*request, (object, *group, router, line.at));
            }
            RecordedEvent::Final { request, code: SERVED, dated: Some(dated) } => {
                let Some((object, group, router, since)) = asked.get(request) else { continue };
                let meant = |(by, o, g, ..): &&(&str, Option<&str>, Option<u32>, Ms, Ms)| {
                    by == router && (o.is_some_and(|o| o == *object) || g.is_some_and(|g| g == *group))
                };
                // An attempt that was sent within the grace period may still return the old copy.
                for (_, _, _, stamp, at) in notices.iter().filter(meant) {
                    let bound = at + rules.purge_grace + rules.slack;
                    if *since > bound && dated < stamp {
                        let what = format!(
                            "request {request} got {object} from {dated:.0}, which was purged at {stamp:.0}"
                        );
                        out.push(Breach { at: line.at, rule: Rule::Purges, what });
                    }
                }
            }
            _ => {}
        }
    }
    out
}
