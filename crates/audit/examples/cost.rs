//! What an account costs: nanoseconds an act, bytes a million acts, and how long it takes to find a booking among ten
//! million acts.

use std::time::Instant;

use linnethook_audit::account::{Account, Rules};
use linnethook_audit::judge::Accounts;
use linnethook_audit::record::{Act, Booking, BookingEnd, Link};
use linnethook_fellows::fact::Acts;
use linnethook_fellows::hlc::Hlc;

fn main() {
    let rules = Rules { bytes: 1 << 30, ..Rules::default() };
    let mut clock = Hlc::default();
    let mut account = Account::new(0.0, clock.stamp(0.0), rules, "r0", 1, Acts::default());
    let names = |id: u64| Some(format!("cache-{id}"));
    let total: u64 = 10_000_000;
    // 2,000 acts a second, a twentieth of them bookings, over 40 caches; a span each 5 s.
    let begun = Instant::now();
    for n in 0..total {
        let now = n as f64 / 2.0;
        let at = clock.stamp(now);
        if n % 20 == 0 {
            account.booking(Booking { id: format!("{n:016x}"), number: 1, to: n % 40, at });
            account.booking_ended(BookingEnd {
                id: format!("{n:016x}"),
                number: 1,
                how: "answered".to_string(),
                at,
            });
        } else {
            account.act(at, Act::Attempt { to: n % 40 });
        }
        if now >= account.next() {
            account.tick(now, at, names);
        }
    }
    account.end(total as f64 / 2.0, clock.stamp(total as f64 / 2.0), names);
    let took = begun.elapsed();
    let links: Vec<Link> = account.from(1).cloned().collect();
    let bytes: usize = links.iter().map(Link::bytes).sum();
    println!("{:.0} ns an act, spans written and hashed", took.as_nanos() as f64 / total as f64);
    println!("{} records, {:.2} MB a million acts", links.len(), bytes as f64 / 1e6 / (total as f64 / 1e6));
    let begun = Instant::now();
    let accounts = Accounts::new(links);
    let put = begun.elapsed();
    let begun = Instant::now();
    let found = accounts.request(&format!("{:016x}", total / 2 / 20 * 20));
    println!(
        "{total} acts: put together and checked in {put:.2?}, one booking found in {:.2?} ({} attempts), {} findings",
        begun.elapsed(),
        found.len(),
        accounts.findings.len()
    );
}
