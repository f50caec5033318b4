//! Rules of the hierarchy: versions, edges and loops.

use std::collections::{BTreeMap, BTreeSet};

use super::{Breach, Rule, RuleBounds};
use crate::recording::{Ms, RecordEntry, RecordedEvent};

pub(super) fn no_old_version(lines: &[RecordEntry], rules: &RuleBounds) -> Vec<Breach> {
    let mut out = Vec::new();
    let mut floors = BTreeMap::<&str, (u64, Ms)>::new();
    for line in lines {
        match &line.what {
            RecordedEvent::Floored { router, version } => _ = floors.insert(router, (*version, line.at)),
            RecordedEvent::Asked { asked, .. } if asked.source.is_some() && !asked.cached_only => {
                let Some(router) = asked.router.as_deref() else { continue };
                let Some((floor, since)) = floors.get(router) else { continue };
                let version = asked.version.unwrap_or(*floor);
                if version < *floor && line.at > since + rules.slack {
                    let what = format!(
                        "{router} requested a fill at {} on version {version}, below the floor {floor}",
                        asked.at
                    );
                    out.push(Breach { at: line.at, rule: Rule::NoOldVersion, what });
                }
            }
            _ => {}
        }
    }
    out
}

pub(super) fn no_loop(lines: &[RecordEntry], _: &RuleBounds) -> Vec<Breach> {
    let mut out = Vec::new();
    let mut round = BTreeSet::new();
    for line in lines {
        match &line.what {
            RecordedEvent::Asked { attempt, asked } => {
                let mut met = BTreeSet::new();
                let twice = asked.passed.iter().find(|node| !met.insert(node.as_str()));
                if let Some(node) = twice {
                    let what = format!("a fill of {} passed through {node} twice", asked.object);
                    out.push(Breach { at: line.at, rule: Rule::NoLoop, what });
                } else if asked.passed.contains(&asked.at) {
                    round.insert(*attempt);
                }
            }
            // The fill returned to a node that it had passed. Only that node can detect this, and must reject
            // it.
            RecordedEvent::Ended { attempt, res, .. } if round.remove(attempt) && res != "LOOP" => {
                let what = format!(
                    "attempt {attempt} returned to a node that it had passed; expected LOOP, got {res:?}"
                );
                out.push(Breach { at: line.at, rule: Rule::NoLoop, what });
            }
            _ => {}
        }
    }
    out
}

pub(super) fn no_strange_edge(lines: &[RecordEntry], rules: &RuleBounds) -> Vec<Breach> {
    let mut out = Vec::new();
    // A recording may have a later hierarchy first, so edges are looked up by version, not by time.
    let mut shapes = BTreeMap::<u64, BTreeSet<(&str, &str)>>::new();
    // When an edge was last part of the newest published hierarchy.
    let mut last = BTreeMap::<(&str, &str), Ms>::new();
    let mut present = BTreeSet::new();
    for line in lines {
        if let RecordedEvent::Shape { version, edges } = &line.what {
            let edges: BTreeSet<(&str, &str)> = edges.iter().map(|(a, b)| (a.as_str(), b.as_str())).collect();
            present.difference(&edges).for_each(|edge| _ = last.insert(*edge, line.at));
            present.clone_from(&edges);
            shapes.insert(*version, edges);
        }
    }
    present.iter().for_each(|edge| _ = last.insert(*edge, f64::INFINITY));
    for line in lines {
        let RecordedEvent::Asked { asked, .. } = &line.what else { continue };
        let Some(version) = asked.version else { continue };
        let Some((_, edges)) = shapes.range(..=version).next_back() else { continue };
        let mut edge = |from: &str, to: &str| {
            let migrating = last.get(&(from, to)).is_some_and(|last| line.at <= last + rules.migration_grace);
            // A source that only serves a cached copy makes no fill, and may be outside the hierarchy.
            if !edges.contains(&(from, to)) && !migrating && !asked.cached_only {
                let what = format!(
                    "a fill of {} used the edge {from} to {to}, which is not in version {version}",
                    asked.object
                );
                out.push(Breach { at: line.at, rule: Rule::NoStrangeEdge, what });
            }
        };
        if let Some(last) = asked.passed.last().filter(|_| asked.router.is_none()) {
            edge(last, &asked.at);
        }
        if let Some(source) = &asked.source {
            edge(&asked.at, source);
        }
    }
    out
}
