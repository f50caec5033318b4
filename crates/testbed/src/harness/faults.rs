//! Injects and clears faults of processes and links.

use std::io;
use std::time::Duration;

use nix::sys::signal::Signal;

use super::{alive, name, Harness};
use crate::fault_proxy::{Corruption, LinkConditions};
use crate::recording::{LinkState, RecordedEvent};

impl Harness {
    /// Kills a router's process (SIGKILL) and ends its load.
    pub fn kill(&mut self, n: usize) {
        self.fleet.kill_router(&name(n));
        self.fleet.record.note(RecordedEvent::Ceased { router: name(n) });
        self.clear_target(n);
        self.end_load(n);
    }

    /// Stops a router's process gracefully and ends its load.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn stop(&mut self, n: usize) -> io::Result<()> {
        self.fleet.stop_router(&name(n))?;
        self.fleet.record.note(RecordedEvent::Ceased { router: name(n) });
        self.clear_target(n);
        self.end_load(n);
        Ok(())
    }

    /// Restarts a router's process with the events of its own journal.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn restart_router(&mut self, n: usize) -> io::Result<()> {
        self.ran(n);
        self.fleet.restart_router(&name(n))?;
        self.ran(n);
        self.point_links_at(n)
    }

    /// Records that a router's process runs, before it starts or once it is up.
    pub(super) fn ran(&self, n: usize) {
        if let Some(place) = self.plan.places.get(n) {
            self.fleet.record.note(RecordedEvent::Ran { router: name(n), place: place.clone() });
        }
    }

    /// Records the state of both directions of a link: from `a` to `b`, and from `b` to `a`.
    pub(super) fn linked(&self, a: usize, b: usize, states: [LinkState; 2]) {
        for ((from, to), state) in [(a, b), (b, a)].into_iter().zip(states) {
            self.fleet.record.note(RecordedEvent::Linked { from: name(from), to: name(to), state });
        }
    }

    /// Suspends a router's process (SIGSTOP).
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn suspend(&self, n: usize) -> io::Result<()> {
        self.fleet.record.note(RecordedEvent::Paused { router: name(n) });
        self.fleet.signal(&name(n), Signal::SIGSTOP)
    }

    /// Resumes a suspended process (SIGCONT).
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn resume(&self, n: usize) -> io::Result<()> {
        self.fleet.signal(&name(n), Signal::SIGCONT)?;
        self.fleet.record.note(RecordedEvent::Woken { router: name(n) });
        Ok(())
    }

    /// Whether a router has a process, suspended or not.
    pub fn is_up(&self, n: usize) -> bool {
        self.fleet.process_id(&name(n)).is_some()
    }

    pub(super) fn conditions(&self, from: usize, to: usize, conditions: LinkConditions) {
        if let Some((proxy, direction)) = self.proxy(from, to) {
            proxy.conditions(direction, conditions);
            let state = if conditions.silent { LinkState::Closed } else { LinkState::Uneven };
            self.fleet.record.note(RecordedEvent::Linked { from: name(from), to: name(to), state });
        }
    }

    /// Blocks a link in one direction; the opposite direction still passes.
    pub fn block_direction(&self, from: usize, to: usize) {
        self.conditions(from, to, LinkConditions { silent: true, ..LinkConditions::default() });
    }

    /// Resets the connections of a link, also new ones.
    pub fn cut(&self, a: usize, b: usize) {
        if let Some((proxy, _)) = self.proxy(a, b) {
            proxy.cut();
            self.linked(a, b, [LinkState::Closed; 2]);
        }
    }

    /// Limits a link to a rate in bytes per second, in each direction.
    pub fn limit_rate(&self, a: usize, b: usize, rate: f64) {
        let conditions = LinkConditions { rate, ..LinkConditions::default() };
        self.conditions(a, b, conditions);
        self.conditions(b, a, conditions);
    }

    /// Delays what passes over a link, in each direction.
    pub fn delay(&self, a: usize, b: usize, delay: Duration) {
        let conditions = LinkConditions { delay, ..LinkConditions::default() };
        self.conditions(a, b, conditions);
        self.conditions(b, a, conditions);
    }

    /// Drops or repeats the next chunk in one direction, on a connection that stays up.
    pub fn corrupt(&self, from: usize, to: usize, corruption: Corruption) {
        self.conditions(
            from,
            to,
            LinkConditions { corruption: Some(corruption), ..LinkConditions::default() },
        );
    }

    /// Clears all faults of a link.
    pub fn clear_faults(&self, a: usize, b: usize) {
        if let Some((proxy, _)) = self.proxy(a, b) {
            proxy.clear_faults();
            self.linked(a, b, [LinkState::Open; 2]);
        }
    }

    /// Clears the faults of all links.
    pub fn clear_all_faults(&self) {
        self.links().into_iter().for_each(|(a, b)| self.clear_faults(a, b));
    }

    /// Cuts all links of a router.
    pub fn cut_all_links(&self, n: usize) {
        let of = self.links().into_iter().filter(|(a, b)| *a == n || *b == n);
        of.for_each(|(a, b)| self.cut(a, b));
    }

    /// Cuts all links of a router, and waits until it shows no peer alive.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn isolate(&self, n: usize) -> io::Result<()> {
        self.cut_all_links(n);
        self.until(n, "no peer is alive", |shown| alive(shown) == 0).map(drop)
    }

    /// Cuts all links between routers below `left` and the others.
    pub fn split(&self, left: usize) {
        let across = self.links().into_iter().filter(|(a, b)| (*a < left) != (*b < left));
        across.for_each(|(a, b)| self.cut(a, b));
    }
}
