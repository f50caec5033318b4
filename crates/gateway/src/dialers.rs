//! The connections that this gateway opens: when each is dialled, and the backoff after a failure.

use linnethook::interface::Ms;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::reconnect::ReconnectBackoff;

#[derive(Debug)]
struct Dialer {
    site: String,
    backoff: ReconnectBackoff,
    state: DialState,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum DialState {
    /// Waiting for the time of the next attempt.
    Waiting(Ms),
    Connecting,
    Connected,
}

/// All connections that this gateway opens, by the index of their entry in the setup.
#[derive(Debug)]
pub(crate) struct Dialers {
    dialers: Vec<Dialer>,
    random: Pcg64Mcg,
}

impl Dialers {
    /// Creates one dialer for each entry of `sites`; all are due at once.
    pub fn new(now: Ms, sites: Vec<String>, backoff: &ReconnectBackoff, seed: u64) -> Self {
        let dialer = |site| Dialer { site, backoff: backoff.clone(), state: DialState::Waiting(now) };
        Self { dialers: sites.into_iter().map(dialer).collect(), random: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// The name of the site that an entry dials.
    pub fn site(&self, entry: usize) -> Option<&str> {
        self.dialers.get(entry).map(|dialer| dialer.site.as_str())
    }

    pub fn record_connected(&mut self, entry: usize) {
        if let Some(dialer) = self.dialers.get_mut(entry) {
            dialer.state = DialState::Connected;
        }
    }

    /// Records that the hello of the peer was received.
    pub fn record_up(&mut self, now: Ms, entry: usize) {
        if let Some(dialer) = self.dialers.get_mut(entry) {
            dialer.backoff.record_up(now);
        }
    }

    /// Records that a connection was lost or could not be established. No further attempt follows for
    /// `abandoned_site`.
    pub fn record_down(&mut self, now: Ms, entry: usize, abandoned_site: Option<&str>) {
        let draw = self.random.random::<f64>();
        let Some(dialer) = self.dialers.get_mut(entry) else { return };
        let next_attempt = dialer.backoff.record_down(now, draw);
        let is_abandoned = abandoned_site == Some(dialer.site.as_str());
        dialer.state = DialState::Waiting(if is_abandoned { f64::INFINITY } else { next_attempt });
    }

    /// Stops dialling a site. Attempts in progress are not affected.
    pub fn abandon_site(&mut self, site: &str) {
        for dialer in self.dialers.iter_mut().filter(|dialer| dialer.site == site) {
            if matches!(dialer.state, DialState::Waiting(_)) {
                dialer.state = DialState::Waiting(f64::INFINITY);
            }
        }
    }

    /// Whether a link to a site is flapping.
    pub fn is_flapping(&self, now: Ms, site: &str) -> bool {
        self.dialers.iter().any(|dialer| dialer.site == site && dialer.backoff.is_flapping(now))
    }

    /// Takes the entries to dial now and marks them as connecting.
    pub fn take_due(&mut self, now: Ms) -> Vec<usize> {
        let mut due = Vec::new();
        for (entry, dialer) in self.dialers.iter_mut().enumerate() {
            if matches!(dialer.state, DialState::Waiting(at) if at <= now) {
                dialer.state = DialState::Connecting;
                due.push(entry);
            }
        }
        due
    }

    /// The time of the next dial attempt.
    pub fn next_deadline(&self) -> Option<Ms> {
        let waiting = self.dialers.iter().filter_map(|dialer| match dialer.state {
            DialState::Waiting(at) => Some(at),
            DialState::Connecting | DialState::Connected => None,
        });
        waiting.reduce(f64::min)
    }
}
