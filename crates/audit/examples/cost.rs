//! Measures what an audit log costs: nanoseconds per action, bytes per million actions, and the time to
//! verify a log and to find one write among ten million actions.

use std::time::Instant;

use linnethook_audit::audit_log::{AuditLog, AuditLogConfig};
use linnethook_audit::record::{AuditedAction, ChainLink, WriteAttempt, WriteOutcome};
use linnethook_audit::verification::VerifiedLogs;
use linnethook_membership::hybrid_clock::HybridClock;
use linnethook_membership::versions::ActiveVersions;

fn main() {
    let config = AuditLogConfig { max_log_bytes: 1 << 30, ..AuditLogConfig::default() };
    let mut clock = HybridClock::default();
    let mut log = AuditLog::new(0.0, clock.next_timestamp(0.0), config, "r0", 1, ActiveVersions::default());
    let node_name = |id: u64| Some(format!("cache-{id}"));
    let total: u64 = 10_000_000;
    // 2,000 actions a second, a twentieth of them writes, over 40 caches; a span every 5 s.
    let started = Instant::now();
    for n in 0..total {
        let now = n as f64 / 2.0;
        let at = clock.next_timestamp(now);
        if n % 20 == 0 {
            log.record_write_attempt(WriteAttempt {
                request_id: format!("{n:016x}"),
                attempt: 1,
                target: n % 40,
                at,
            });
            log.record_write_outcome(WriteOutcome {
                request_id: format!("{n:016x}"),
                attempt: 1,
                outcome: "answered".to_string(),
                at,
            });
        } else {
            log.record_action(at, AuditedAction::Attempt { target: n % 40 });
        }
        if now >= log.next_deadline() {
            log.tick(now, at, node_name);
        }
    }
    log.finish(total as f64 / 2.0, clock.next_timestamp(total as f64 / 2.0), node_name);
    let elapsed = started.elapsed();
    let links: Vec<ChainLink> = log.records_from(1).cloned().collect();
    let bytes: usize = links.iter().map(ChainLink::size_estimate).sum();
    println!(
        "{:.0} ns per action, including the encoding and hashing of spans",
        elapsed.as_nanos() as f64 / total as f64
    );
    println!(
        "{} records, {:.2} MB per million actions",
        links.len(),
        bytes as f64 / 1e6 / (total as f64 / 1e6)
    );
    let started = Instant::now();
    let logs = VerifiedLogs::new(links);
    let verification_time = started.elapsed();
    let started = Instant::now();
    let found = logs.attempts_of_request(&format!("{:016x}", total / 2 / 20 * 20));
    println!(
        "{total} actions: verified in {verification_time:.2?}, one write found in {:.2?} ({} attempts), \
         {} findings",
        started.elapsed(),
        found.len(),
        logs.findings.len()
    );
}
