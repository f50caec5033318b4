//! Injects the faults of a scale run, and measures when routers notice them.

use std::time::Instant;

use super::layout::name;
use super::{Failure, Fault, Form, Harness, POLLED_ROUTERS, POLL_INTERVAL, SLOW_LINK_RATE};
use crate::fault_proxy::{FaultProxy, LinkConditions, TO_ACCEPTOR, TO_DIALER};
use crate::harness::{alive, line};

impl<'a> Harness<'a> {
    /// The proxies of the links that a fault affects.
    pub(super) fn affected_proxies(&self, fault: Fault) -> impl Iterator<Item = &FaultProxy> {
        let those = move |(from, to): (usize, usize)| match fault {
            Fault::ZoneCut | Fault::RegionsApart => self.layout.crosses(from, to),
            Fault::SlowMember => from == 0 || to == 0,
            _ => false,
        };
        self.layout.proxies.iter().filter(move |(ends, _)| those(**ends)).map(|(_, proxy)| proxy)
    }

    pub(super) fn inject(&mut self, fault: Fault) -> Result<(), Failure> {
        let last = self.layout.processes.len() - 1;
        match fault {
            Fault::ControlKilled => self.journal.kill(true),
            Fault::Rack | Fault::ZoneStart => {
                self.processes.kill(last);
                self.disturbed.extend(&self.layout.isolated);
                if fault == Fault::ZoneStart {
                    self.start_process(last)?;
                }
            }
            Fault::ZoneCut | Fault::RegionsApart => {
                self.affected_proxies(fault).for_each(FaultProxy::cut);
                if fault == Fault::RegionsApart {
                    self.journal.silence(&self.layout.isolated, true);
                }
            }
            Fault::SlowMember => {
                let conditions = LinkConditions { rate: SLOW_LINK_RATE, ..LinkConditions::default() };
                self.affected_proxies(fault).for_each(|proxy| {
                    [TO_ACCEPTOR, TO_DIALER]
                        .into_iter()
                        .for_each(|direction| proxy.conditions(direction, conditions));
                });
            }
        }
        Ok(())
    }

    pub(super) fn clear(&self, fault: Fault) {
        match fault {
            Fault::ControlKilled => self.journal.kill(false),
            Fault::Rack | Fault::ZoneStart => {}
            Fault::ZoneCut | Fault::RegionsApart | Fault::SlowMember => {
                self.affected_proxies(fault).for_each(FaultProxy::clear_faults);
                self.journal.silence(&self.layout.isolated, false);
            }
        }
    }

    /// The routers whose views of the others are polled: [`POLLED_ROUTERS`] of each form that run all the
    /// time.
    pub(super) fn polled_routers(&self) -> Vec<usize> {
        let of = |form| {
            let those = (0..self.layout.forms.len()).filter(move |n| self.layout.forms[*n] == form);
            those
                .filter(|n| !self.layout.isolated.contains(n) && !self.disturbed.contains(n))
                .take(POLLED_ROUTERS)
        };
        of(Form::Real).chain(of(Form::Hollow)).collect()
    }

    /// Whether the polled routers have yet to notice the end of a fault, or a fault that does not end. A
    /// fault that was not noticed before it ended is not waited for.
    pub(super) fn awaits_notice(&self, fault: Fault, ended: bool) -> bool {
        match fault {
            Fault::Rack => self.noticed.is_empty(),
            Fault::ZoneStart => self.recovered.is_empty(),
            Fault::ZoneCut | Fault::RegionsApart => {
                self.recovered.is_empty() && !(ended && self.noticed.is_empty())
            }
            Fault::ControlKilled | Fault::SlowMember => false,
        }
    }

    /// Polls the routers: do they miss all routers that a fault has cut off, and do they see all again?
    pub(super) fn poll_views(
        &mut self,
        fault: Fault,
        began: Option<(Instant, f64)>,
        ended: Option<Instant>,
    ) -> Result<(), Failure> {
        let Some((began, stamp)) = began.filter(|_| self.awaits_notice(fault, ended.is_some())) else {
            return Ok(());
        };
        if self.polled_at.is_some_and(|at| at.elapsed() < POLL_INTERVAL) {
            return Ok(());
        }
        let (mut seen, mut all_restarted) = (Vec::new(), true);
        for n in self.polled_routers() {
            let at = Instant::now();
            let shown = self.command(n, &["fleet", "show"])?;
            // The others may never miss a zone that restarts: its routers are back once their new start times
            // are shown.
            let restarted = |n: &usize| {
                let start = line(&shown, &name(*n)).and_then(|line| line["start"].as_u64());
                start.is_some_and(|start| start as f64 / 1_000.0 >= stamp)
            };
            all_restarted &= self.layout.isolated.iter().all(restarted);
            seen.push((n, at, alive(&shown)));
        }
        self.polled_at = Some(Instant::now());
        let others = self.layout.forms.len() - 1;
        let here = others - self.layout.isolated.len();
        let since = |from: Instant| {
            move |(n, at, _): &(usize, Instant, usize)| (*n, at.saturating_duration_since(from).as_secs_f64())
        };
        if self.noticed.is_empty() && seen.iter().all(|(.., alive)| *alive <= here) {
            self.noticed = seen.iter().map(since(began)).collect();
        }
        let recovery_start = match fault {
            Fault::ZoneStart => Some(began).filter(|_| all_restarted),
            Fault::ZoneCut | Fault::RegionsApart => ended.filter(|_| !self.noticed.is_empty()),
            Fault::Rack | Fault::ControlKilled | Fault::SlowMember => None,
        };
        let sees_all = seen.iter().all(|(.., alive)| *alive == others);
        if let Some(start) = recovery_start.filter(|_| sees_all) {
            self.recovered = seen.iter().map(since(start)).collect();
        }
        Ok(())
    }
}
