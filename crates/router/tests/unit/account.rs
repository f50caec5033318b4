//! Unit tests of `src/account.rs`, a part of its module: what accounts of two routers say to each other.

use linnethook_membership::versions::HierarchyVersion;

use super::*;
use crate::golden::assert_golden;
use crate::hex::hex;

const NOW: Ms = 1_700_000_000_000.0;

fn stamp(ms: u64) -> Timestamp {
    Timestamp { ms: 1_700_000_000_000 + ms, counter: 0 }
}

fn acts() -> ActiveVersions {
    ActiveVersions {
        build: "1.0.0".to_string(),
        settings_digest: 11,
        operator_digest: 12,
        hierarchy: HierarchyVersion { version: 3, digest: 99 },
        journal_position: 44,
        drains_applied: 1,
        purges_applied: 2,
    }
}

fn auditor(name: &str) -> Auditor {
    Auditor::new(NOW, stamp(0), AuditLogConfig::default(), None, (name, 17), acts())
}

fn line(words: &Words) -> String {
    let line = |(to, kind, bytes): &(String, u8, Vec<u8>)| format!("{to} {kind:02x} {}\n", hex(bytes));
    words.iter().map(line).collect()
}

#[test]
fn what_accounts_say_to_each_other_is_the_same_bytes() {
    let (mut owner, mut holder) = (auditor("r0"), auditor("r1"));
    let linked = BTreeSet::from(["r1".to_string()]);
    owner.name(7, "cache-7");
    owner.act(stamp(1), AuditedAction::Attempt { target: 7 });
    owner.act(stamp(2), AuditedAction::Refused);
    let mut out = line(&owner.tick(NOW + 1.0, stamp(3), &acts(), &linked));
    owner.booking(WriteAttempt { request_id: "9b1f".to_string(), attempt: 1, target: 7, at: stamp(4) });
    owner.booking_ended(WriteOutcome {
        request_id: "9b1f".to_string(),
        attempt: 1,
        outcome: "answered".to_string(),
        at: stamp(5),
    });
    let last = owner.end(NOW + 6.0, stamp(6), &linked);
    out += &line(&last);
    // Who has the last record only wants those before it.
    let (_, kind, bytes) = last.last().expect("records").clone();
    assert_eq!(kind, LINK);
    let wanted = holder.heard("r0", LINK, &bytes);
    out += &line(&wanted);
    for (_, kind, bytes) in &wanted {
        out += &line(&owner.heard("r1", *kind, bytes));
    }
    let begins = postcard::to_stdvec(&(17u64, 300u64)).expect("written");
    out += &line(&holder.heard("r0", BEGINS, &begins));
    assert_golden("account_frames.txt", &out);
}

#[test]
fn the_kinds_of_frames_stay() {
    assert_eq!((LINK, WANT, BEGINS), (0xf1, 0xf2, 0xf3));
}
