//! Rules for links between sites.

use std::collections::{BTreeMap, BTreeSet};

use super::{Breach, Rule, RuleBounds};
use crate::recording::{RecordEntry, RecordedEvent};

pub(super) fn no_overlap(lines: &[RecordEntry], _: &RuleBounds) -> Vec<Breach> {
    let mut out = Vec::new();
    // For each request the token of the attempt that may still run.
    let mut open = BTreeMap::<&str, (u64, u64)>::new();
    let mut proven = BTreeSet::new();
    let mut crossed = BTreeSet::new();
    for line in lines {
        match &line.what {
            RecordedEvent::Proven { token } => _ = proven.insert(*token),
            RecordedEvent::Crossed { id, token: Some(token), .. } => {
                // It was proven not to run before its bytes arrived, from a connection that its sender has given up.
                let is_late = crossed.insert(*token) && proven.contains(token);
                if is_late {
                    continue;
                }
                let before = open.insert(id, *token).filter(|before| before != token);
                if let Some(before) = before.filter(|before| !proven.contains(before)) {
                    let what = format!(
                        "request {id} crossed the link again while its attempt {before:?} may still run"
                    );
                    out.push(Breach { at: line.at, rule: Rule::NoOverlap, what });
                }
            }
            _ => {}
        }
    }
    out
}

pub(super) fn no_return(lines: &[RecordEntry], _: &RuleBounds) -> Vec<Breach> {
    let mut out = Vec::new();
    for line in lines {
        if let RecordedEvent::Crossed { to, id, passed, .. } = &line.what {
            let mut met = BTreeSet::new();
            if passed.contains(to) || !passed.iter().all(|site| met.insert(site)) {
                let what = format!("request {id} was forwarded to {to} after passing {passed:?}");
                out.push(Breach { at: line.at, rule: Rule::NoReturn, what });
            }
        }
    }
    out
}
