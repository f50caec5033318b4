//! What an account costs: nanoseconds an act, bytes a million acts, and how long it takes to find a booking among ten
//! million acts.

use std::time::Instant;

use linnethook_audit::audit_log::{AuditLog, AuditLogConfig};
use linnethook_audit::record::{AuditedAction, ChainLink, WriteAttempt, WriteOutcome};
use linnethook_audit::verification::VerifiedLogs;
use linnethook_membership::hybrid_clock::HybridClock;
use linnethook_membership::versions::ActiveVersions;

fn main() {
    let rules = AuditLogConfig { max_log_bytes: 1 << 30, ..AuditLogConfig::default() };
    let mut clock = HybridClock::default();
    let mut account =
        AuditLog::new(0.0, clock.next_timestamp(0.0), rules, "r0", 1, ActiveVersions::default());
    let names = |id: u64| Some(format!("cache-{id}"));
    let total: u64 = 10_000_000;
    // 2,000 acts a second, a twentieth of them bookings, over 40 caches; a span each 5 s.
    let begun = Instant::now();
    for n in 0..total {
        let now = n as f64 / 2.0;
        let at = clock.next_timestamp(now);
        if n % 20 == 0 {
            account.record_write_attempt(WriteAttempt {
                request_id: format!("{n:016x}"),
                attempt: 1,
                target: n % 40,
                at,
            });
            account.record_write_outcome(WriteOutcome {
                request_id: format!("{n:016x}"),
                attempt: 1,
                outcome: "answered".to_string(),
                at,
            });
        } else {
            account.record_action(at, AuditedAction::Attempt { target: n % 40 });
        }
        if now >= account.next_deadline() {
            account.tick(now, at, names);
        }
    }
    account.finish(total as f64 / 2.0, clock.next_timestamp(total as f64 / 2.0), names);
    let took = begun.elapsed();
    let links: Vec<ChainLink> = account.records_from(1).cloned().collect();
    let bytes: usize = links.iter().map(ChainLink::size_estimate).sum();
    println!("{:.0} ns an act, spans written and hashed", took.as_nanos() as f64 / total as f64);
    println!("{} records, {:.2} MB a million acts", links.len(), bytes as f64 / 1e6 / (total as f64 / 1e6));
    let begun = Instant::now();
    let accounts = VerifiedLogs::new(links);
    let put = begun.elapsed();
    let begun = Instant::now();
    let found = accounts.attempts_of_request(&format!("{:016x}", total / 2 / 20 * 20));
    println!(
        "{total} acts: put together and checked in {put:.2?}, one booking found in {:.2?} ({} attempts), {} findings",
        begun.elapsed(),
        found.len(),
        accounts.findings.len()
    );
}
