//! Accounts that are cut short, rewritten, told twice and put together in any order.

use linnethook_audit::account::{Account, Rules};
use linnethook_audit::copies::{Copies, Taken};
use linnethook_audit::judge::{Accounts, Finding};
use linnethook_audit::record::{Act, Booking, BookingEnd, Link, Record};
use linnethook_fellows::fact::Acts;
use linnethook_fellows::hlc::{Hlc, Stamp};
use proptest::prelude::*;

fn names(id: u64) -> Option<String> {
    Some(format!("node-{id}"))
}

fn on(version: u64) -> Acts {
    Acts { shape: (version, version * 7), journal: version, ..Acts::default() }
}

/// An account of so many spans on one version after another; ended or not.
fn account(name: &str, start: u64, spans: u64, end: bool) -> Account {
    let mut clock = Hlc::default();
    let begin = start as f64;
    let mut account = Account::new(begin, clock.stamp(begin), Rules::default(), name, start, on(1));
    for n in 1..=spans {
        let now = begin + n as f64 * 100.0;
        account.act(clock.stamp(now), Act::Attempt { to: 3 });
        account.act(clock.stamp(now), Act::Attempt { to: 3 });
        account.act(clock.stamp(now), Act::Fill { child: 3, source: n });
        let (id, at) = (format!("{name}-{n}"), clock.stamp(now));
        account.booking(Booking { id: id.clone(), number: 1, to: 3, at });
        account.booking_ended(BookingEnd {
            id,
            number: 1,
            how: "answered".to_string(),
            at: clock.stamp(now),
        });
        account.acts_on(now + 50.0, clock.stamp(now + 50.0), &on(n + 1), names);
    }
    if end {
        account.end(begin + 10_000.0, clock.stamp(begin + 10_000.0), names);
    }
    account
}

fn links(account: &Account) -> Vec<Link> {
    account.from(1).cloned().collect()
}

#[test]
fn an_account_tells_who_did_what_on_which_version_and_when_it_was_settled() {
    let all = [links(&account("a", 1_000, 3, true)), links(&account("b", 1_020, 3, true))].concat();
    let accounts = Accounts::new(all);
    assert!(accounts.findings.is_empty(), "{:?}", accounts.findings);
    let who: Vec<_> = accounts.who("2").collect();
    assert_eq!(who.iter().map(|line| line.name.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    let attempts = who[0].span.counts.iter().find(|(act, _)| *act == Act::Attempt { to: 3 });
    assert_eq!(attempts.map(|(_, tally)| tally.count), Some(2));
    assert_eq!(accounts.at(1_175.0).count(), 2);
    assert_eq!(accounts.at(1_175.0).next().map(|line| line.span.acts_on.shape.0), Some(2));
    let settled = accounts.settled("2");
    assert_eq!(settled.iter().map(|(name, ..)| name.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    let trace = accounts.request("b-2");
    assert_eq!((trace.len(), trace[0].name.as_str(), trace[0].shape), (1, "b", 2));
    assert_eq!(trace[0].end.as_ref().map(|end| end.how.as_str()), Some("answered"));
    assert_eq!(trace[0].to.as_deref(), Some("node-3"));
    // For 20 ms each time one had gone on and the other had not.
    assert_eq!(accounts.two_shapes().len(), 1);
    assert!(!accounts.behind(14, Stamp { ms: 1_200, count: 0 }).is_empty());
}

#[test]
fn what_is_missing_is_a_gap_with_its_bounds_and_nothing_is_guessed() {
    let killed = links(&account("a", 1_000, 3, false));
    let next = links(&account("a", 9_000, 1, true));
    let accounts = Accounts::new(killed.iter().chain(&next).cloned());
    let last = killed[3].record().map(|record| record.until());
    let began = next[0].record().map(|record| record.until());
    let gap = Finding::Gap { name: "a".to_string(), start: 1_000, after: 4, from: last, to: began };
    assert_eq!(accounts.findings, [gap]);
    // One in the middle.
    let accounts = Accounts::new(next.iter().filter(|link| link.number != 2).cloned());
    assert!(
        matches!(&accounts.findings[..], [Finding::Gap { after: 1, from: Some(_), to: Some(_), .. }]),
        "{:?}",
        accounts.findings
    );
}

#[test]
fn a_rewritten_span_and_two_accounts_for_one_start_are_found() {
    let good = links(&account("a", 1_000, 3, true));
    let mut bad = good.clone();
    let Some(Record::Span(mut span)) = bad[2].record() else { panic!("a span") };
    span.bookings.clear();
    bad[2] = Link::new("a", 1_000, 3, bad[2].before, &Record::Span(span));
    // Alone: what follows does not hang on it.
    let alone = Accounts::new(bad.clone());
    assert!(alone.findings.contains(&Finding::Broken { name: "a".to_string(), start: 1_000, number: 4 }));
    // Beside a copy: two for one place, and the copy on which the rest hangs is the one that counts.
    let both = Accounts::new(bad.into_iter().chain(good.clone()));
    assert_eq!(both.findings, [Finding::Fork { name: "a".to_string(), start: 1_000, number: 3 }]);
    assert_eq!(both.request("a-2").len(), 1);
    let other = links(&account("a", 1_000, 2, true));
    assert!(Accounts::new(good.into_iter().chain(other))
        .findings
        .iter()
        .any(|f| matches!(f, Finding::Fork { .. })));
}

#[test]
fn a_copy_takes_links_in_their_order_and_says_what_is_missing() {
    let all = links(&account("a", 1_000, 4, true));
    let mut copies = Copies::new(1 << 20);
    assert_eq!(copies.take(all[0].clone()), Taken::New);
    assert_eq!(copies.take(all[3].clone()), Taken::Missing(2));
    for link in &all[1..] {
        assert_eq!(copies.take(link.clone()), Taken::New);
    }
    assert_eq!(copies.take(all[2].clone()), Taken::Known);
    assert_eq!(copies.next("a", 1_000), 8);
    let mut forged = all[2].clone();
    forged.body.push(0);
    assert_eq!(copies.take(forged), Taken::Forked);
    let accounts = Accounts::new(copies.iter().cloned());
    assert_eq!(accounts.findings.len(), 1, "{:?}", accounts.findings);
    // Room is made for the newest by the oldest.
    let mut small = Copies::new(all[1].bytes() * 2);
    all.iter().for_each(|link| _ = small.take(link.clone()));
    assert!(small.kept().1 < all.len());
    let found = Accounts::new(small.iter().cloned()).findings;
    assert!(matches!(&found[..], [Finding::Gap { after: 0, .. }]), "{found:?}");
}

#[test]
fn a_span_tells_apart_no_more_than_its_bounds_and_counts_the_rest() {
    let rules = Rules { kinds: 10, bookings: 5, ..Rules::default() };
    let mut clock = Hlc::default();
    let mut account = Account::new(0.0, clock.stamp(0.0), rules, "a", 1, on(1));
    for n in 0..100 {
        account.act(clock.stamp(1.0), Act::Attempt { to: n });
        account.booking(Booking { id: n.to_string(), number: 1, to: 1, at: clock.stamp(1.0) });
    }
    account.end(2.0, clock.stamp(2.0), names);
    let accounts = Accounts::new(links(&account));
    let span = accounts.spans().next().expect("a span").3;
    assert_eq!((span.bookings.len(), span.unnamed), (5, 95));
    let told: u64 = span.counts.iter().map(|(_, tally)| tally.count).sum();
    assert_eq!(told + span.untold, 200);
}

proptest! {
    /// Links lost, told twice and in any order: what is there is read, what is not is a gap, and no act is counted that
    /// no link tells.
    #[test]
    fn any_part_of_an_account_is_read_as_what_it_is(
        spans in 1u64..8,
        end in any::<bool>(),
        keep in proptest::collection::vec(any::<bool>(), 10),
        turns in proptest::collection::vec(any::<prop::sample::Index>(), 0..10),
    ) {
        let all = links(&account("a", 1_000, spans, end));
        let kept: Vec<Link> = all.iter().zip(keep.iter().cycle()).filter(|(_, keep)| **keep).map(|(l, _)| l.clone()).collect();
        let mut told = kept.clone();
        for turn in turns {
            if !told.is_empty() {
                let at = turn.index(told.len());
                let link = told.remove(at);
                told.push(link.clone());
                told.push(link);
            }
        }
        let accounts = Accounts::new(told);
        let whole = kept.len() == all.len() && end;
        prop_assert_eq!(accounts.findings.is_empty(), whole || kept.is_empty());
        let gaps = accounts.findings.iter().all(|finding| matches!(finding, Finding::Gap { .. }));
        prop_assert!(gaps);
        prop_assert_eq!(accounts.spans().count(), kept.iter().filter(|l| matches!(l.record(), Some(Record::Span(_)))).count());
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Some(link) = Link::decode(&bytes) {
            let _ = Accounts::new([link]);
        }
    }
}
