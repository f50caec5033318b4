//! Faults of a scale run, and when routers notice them.

use std::time::Instant;

use super::places::name;
use super::{Failure, Fault, Form, Harness, ASKED, PAUSE, SLOW};
use crate::fault_proxy::{FaultProxy, LinkConditions, TO_ACCEPTOR, TO_DIALER};
use crate::harness::{alive, line};

impl<'a> Harness<'a> {
    /// The middles that a fault befalls.
    pub(super) fn befallen(&self, fault: Fault) -> impl Iterator<Item = &FaultProxy> {
        let those = move |(from, to): (usize, usize)| match fault {
            Fault::ZoneCut | Fault::RegionsApart => self.places.crosses(from, to),
            Fault::SlowMember => from == 0 || to == 0,
            _ => false,
        };
        self.places.proxies.iter().filter(move |(ends, _)| those(**ends)).map(|(_, proxy)| proxy)
    }

    pub(super) fn strike(&mut self, fault: Fault) -> Result<(), Failure> {
        let last = self.places.processes.len() - 1;
        match fault {
            Fault::ControlKilled => self.journal.kill(true),
            Fault::Rack | Fault::ZoneStart => {
                self.processes.kill(last);
                self.disturbed.extend(&self.places.apart);
                if fault == Fault::ZoneStart {
                    self.begin(last)?;
                }
            }
            Fault::ZoneCut | Fault::RegionsApart => {
                self.befallen(fault).for_each(FaultProxy::cut);
                if fault == Fault::RegionsApart {
                    self.journal.silence(&self.places.apart, true);
                }
            }
            Fault::SlowMember => {
                let conditions = LinkConditions { rate: SLOW, ..LinkConditions::default() };
                self.befallen(fault).for_each(|proxy| {
                    [TO_ACCEPTOR, TO_DIALER]
                        .into_iter()
                        .for_each(|direction| proxy.conditions(direction, conditions));
                });
            }
        }
        Ok(())
    }

    pub(super) fn mend(&self, fault: Fault) {
        match fault {
            Fault::ControlKilled => self.journal.kill(false),
            Fault::Rack | Fault::ZoneStart => {}
            Fault::ZoneCut | Fault::RegionsApart | Fault::SlowMember => {
                self.befallen(fault).for_each(FaultProxy::mend);
                self.journal.silence(&self.places.apart, false);
            }
        }
    }

    /// Who is asked for a view of the others: some of each form that run all the while.
    pub(super) fn asked(&self) -> Vec<usize> {
        let of = |form| {
            let those = (0..self.places.forms.len()).filter(move |n| self.places.forms[*n] == form);
            those.filter(|n| !self.places.apart.contains(n) && !self.disturbed.contains(n)).take(ASKED)
        };
        of(Form::Real).chain(of(Form::Hollow)).collect()
    }

    /// Whether somebody who is asked has yet to notice a fault's end, or a fault that does not end. What nobody has
    /// noticed by its end is not waited for.
    pub(super) fn notices(&self, fault: Fault, ended: bool) -> bool {
        match fault {
            Fault::Rack => self.noticed.is_empty(),
            Fault::ZoneStart => self.recovered.is_empty(),
            Fault::ZoneCut | Fault::RegionsApart => {
                self.recovered.is_empty() && !(ended && self.noticed.is_empty())
            }
            Fault::ControlKilled | Fault::SlowMember => false,
        }
    }

    /// Looks whether those that are asked miss all whom a fault has cut off, and whether they see all again.
    pub(super) fn notice(
        &mut self,
        fault: Fault,
        began: Option<(Instant, f64)>,
        ended: Option<Instant>,
    ) -> Result<(), Failure> {
        let Some((began, stamp)) = began.filter(|_| self.notices(fault, ended.is_some())) else {
            return Ok(());
        };
        if self.asked.is_some_and(|asked| asked.elapsed() < PAUSE) {
            return Ok(());
        }
        let (mut seen, mut starts_anew) = (Vec::new(), true);
        for n in self.asked() {
            let at = Instant::now();
            let shown = self.command(n, &["fleet", "show"])?;
            // A zone that starts again may never have been missed: its routers are there once these starts are.
            let anew = |n: &usize| {
                let start = line(&shown, &name(*n)).and_then(|line| line["start"].as_u64());
                start.is_some_and(|start| start as f64 / 1_000.0 >= stamp)
            };
            starts_anew &= self.places.apart.iter().all(anew);
            seen.push((n, at, alive(&shown)));
        }
        self.asked = Some(Instant::now());
        let others = self.places.forms.len() - 1;
        let here = others - self.places.apart.len();
        let since = |from: Instant| {
            move |(n, at, _): &(usize, Instant, usize)| (*n, at.saturating_duration_since(from).as_secs_f64())
        };
        if self.noticed.is_empty() && seen.iter().all(|(.., alive)| *alive <= here) {
            self.noticed = seen.iter().map(since(began)).collect();
        }
        let mended = match fault {
            Fault::ZoneStart => Some(began).filter(|_| starts_anew),
            Fault::ZoneCut | Fault::RegionsApart => ended.filter(|_| !self.noticed.is_empty()),
            Fault::Rack | Fault::ControlKilled | Fault::SlowMember => None,
        };
        let back = seen.iter().all(|(.., alive)| *alive == others);
        if let Some(mended) = mended.filter(|_| back) {
            self.recovered = seen.iter().map(since(mended)).collect();
        }
        Ok(())
    }
}
