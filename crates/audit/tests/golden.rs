//! The bytes of audit logs, on links and in files, and the names that commands print: compared with fixtures that an
//! earlier build has written, read by this build and written again.

#[path = "../../fellows/tests/support/mod.rs"]
mod support;

use std::path::{Path, PathBuf};

use linnethook_audit::account::{Account, Rules};
use linnethook_audit::judge::{Accounts, Finding};
use linnethook_audit::record::{of_file, to_file, Act, Booking, BookingEnd, Link, Record, Span, Tally};
use linnethook_fellows::fact::Acts;
use linnethook_fellows::hlc::{Hlc, Stamp};
use support::{hex, unhex, Fixtures};

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn stamp(ms: u64) -> Stamp {
    Stamp { ms, count: 300 }
}

fn acts_on() -> Acts {
    Acts {
        build: "0.1.0".to_string(),
        settings: 0x0102_0304_0506_0708,
        operator: 0x1112_1314_1516_1718,
        shape: (300, 0x2122_2324_2526_2728),
        journal: 70_000,
        drains: 3,
        purges: 200,
    }
}

fn acts() -> Vec<Act> {
    vec![
        Act::Attempt { to: 1 << 40 },
        Act::Fill { child: 1, source: 2 },
        Act::Booking { to: 3 },
        Act::Refused,
        Act::Failed,
        Act::Stage { to: 4, stage: 5 },
        Act::Drain { cache: 6, number: 70_000, fellows: true },
        Act::Back { cache: 6, number: 70_001, fellows: false },
        Act::Purge { number: 70_002, fellows: true },
        Act::Batch { author: 500, number: 70_003, fellows: false },
        Act::ShutOut,
    ]
}

fn span() -> Span {
    let tally = |n: u64| Tally { count: n, first: stamp(n), last: stamp(n * 2) };
    Span {
        from: stamp(1_000),
        to: stamp(6_000),
        clock: (1_000.5, 6_000.5),
        acts_on: acts_on(),
        counts: acts().into_iter().zip(1..).map(|(act, n)| (act, tally(n))).collect(),
        bookings: vec![Booking { id: "request-1".to_string(), number: 2, to: 3, at: stamp(2_000) }],
        ends: vec![BookingEnd {
            id: "request-1".to_string(),
            number: 2,
            how: "answered".to_string(),
            at: stamp(3_000),
        }],
        unnamed: 4,
        untold: 5,
        names: vec![(3, "node-3".to_string())],
    }
}

fn records() -> Vec<(&'static str, Record)> {
    vec![
        ("began", Record::Began { at: stamp(1_000), clock: 1_000.5 }),
        ("span", Record::Span(Box::new(span()))),
        ("ended", Record::Ended { at: stamp(9_000) }),
    ]
}

fn links() -> Vec<Link> {
    let mut before = [0; 32];
    let link = |(number, (_, record)): (u64, (_, Record))| {
        let link = Link::new("r1", 1 << 40, number, before, &record);
        before = link.hash();
        link
    };
    (1..).zip(records()).map(link).collect()
}

/// A log as a router writes it, with an end.
fn written() -> Account {
    let names = |id: u64| Some(format!("node-{id}"));
    let mut clock = Hlc::default();
    let rules = Rules { kinds: 9, bookings: 2, ..Rules::default() };
    let mut account = Account::new(0.0, clock.stamp(0.0), rules, "r1", 1_000, acts_on());
    for n in 0..40u64 {
        let now = n as f64 * 700.0;
        let all = acts();
        account.act(clock.stamp(now), all[n as usize % all.len()]);
        let id = format!("request-{n}");
        account.booking(Booking { id: id.clone(), number: 1, to: n % 3, at: clock.stamp(now) });
        let (how, at) = ("answered".to_string(), clock.stamp(now + 1.0));
        account.booking_ended(BookingEnd { id, number: 1, how, at });
        let journal = 70_000 + n / 10;
        account.acts_on(now + 2.0, clock.stamp(now + 2.0), &Acts { journal, ..acts_on() }, names);
        account.tick(now + 3.0, clock.stamp(now + 3.0), names);
    }
    account.end(30_000.0, clock.stamp(30_000.0), names);
    account
}

#[test]
fn links_and_files_keep_their_bytes() {
    let mut fixtures = Fixtures::new();
    for ((name, record), link) in records().into_iter().zip(links()) {
        assert_eq!(link.record(), Some(record));
        fixtures.insert(format!("link.{name}"), hex(&link.encode()));
        fixtures.insert(format!("hash.{name}"), hex(&link.hash()));
    }
    fixtures.insert("file".to_string(), hex(&to_file(&links())));
    let written: Vec<Link> = written().from(1).cloned().collect();
    fixtures.insert("written".to_string(), hex(&to_file(&written)));
    support::compare(&file("links.txt"), &fixtures);
}

/// What an earlier build has written is read, and written again to the same bytes.
#[test]
fn fixtures_are_read_and_written_again_to_the_same_bytes() {
    let fixtures = support::read(&file("links.txt"));
    for ((name, record), link) in records().into_iter().zip(links()) {
        let bytes = unhex(&fixtures[&format!("link.{name}")]);
        let read = Link::decode(&bytes).expect("a link");
        assert_eq!((&read, read.record()), (&link, Some(record)), "{name}");
        assert_eq!(read.encode(), bytes, "{name}");
    }
    for name in ["file", "written"] {
        let bytes = unhex(&fixtures[name]);
        let links = of_file(&bytes).expect("a file");
        assert_eq!(to_file(&links), bytes, "{name}");
        assert!(Accounts::new(links).findings.iter().all(|f| matches!(f, Finding::Gap { .. })), "{name}");
    }
}

#[test]
fn printed_json_keeps_its_names() {
    let mut fixtures = Fixtures::new();
    let mut add = |name: &str, text: String| fixtures.insert(name.to_string(), text);
    let (name, start) = ("r1".to_string(), 7);
    let (from, to) = (Some(stamp(1)), None);
    let findings = [
        Finding::Gap { name: name.clone(), start, after: 3, from, to },
        Finding::Fork { name: name.clone(), start, number: 3 },
        Finding::Broken { name: name.clone(), start, number: 3 },
        Finding::Unreadable { name, start, number: 3 },
    ];
    add("findings", support::json::to_string(&findings));
    add("span", support::json::to_string(&span()));
    let accounts = Accounts::new(links());
    add("who", support::json::to_string(&accounts.who("300").collect::<Vec<_>>()));
    add("request", support::json::to_string(&accounts.request("request-1")));
    add("settled", support::json::to_string(&accounts.settled("300")));
    add("drained", support::json::to_string(&accounts.heeded(70_000)));
    support::compare(&file("json.txt"), &fixtures);
}
