//! Unit tests of `src/audit_log/mod.rs`, as a submodule of it: the messages between an owner and a replica
//! holder.

use linnethook_membership::versions::HierarchyVersion;

use super::*;
use crate::golden::assert_golden;
use crate::hex::hex;

const NOW: Ms = 1_700_000_000_000.0;

fn timestamp(ms: u64) -> Timestamp {
    Timestamp { ms: 1_700_000_000_000 + ms, counter: 0 }
}

fn versions() -> ActiveVersions {
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

fn writer(name: &str) -> AuditLogWriter {
    let section = AuditSection { directory: None, parameters: AuditLogConfig::default() };
    AuditLogWriter::new(NOW, timestamp(0), &section, name, 17, versions())
}

fn lines(messages: &[PeerMessage]) -> String {
    let line = |message: &PeerMessage| {
        format!("{} {:02x} {}\n", message.to, message.kind.wire_tag(), hex(&message.body))
    };
    messages.iter().map(line).collect()
}

#[test]
fn the_messages_between_owner_and_replica_holder_have_a_stable_format() {
    let (mut owner, mut holder) = (writer("r0"), writer("r1"));
    let linked = BTreeSet::from(["r1".to_string()]);
    owner.add_node_name(7, "cache-7");
    owner.record_action(timestamp(1), AuditedAction::Attempt { target: 7 });
    owner.record_action(timestamp(2), AuditedAction::Refused);
    let mut out = lines(&owner.tick(NOW + 1.0, timestamp(3), &versions(), &linked));
    owner.record_write_attempt(WriteAttempt {
        request_id: "9b1f".to_string(),
        attempt: 1,
        target: 7,
        at: timestamp(4),
    });
    owner.record_write_outcome(WriteOutcome {
        request_id: "9b1f".to_string(),
        attempt: 1,
        outcome: "answered".to_string(),
        at: timestamp(5),
    });
    let last = owner.finish(NOW + 6.0, timestamp(6), &linked);
    out += &lines(&last);
    // A holder that has only the last record requests the earlier ones.
    let last = last.last().expect("at least one record").clone();
    assert_eq!(last.kind, PeerMessageKind::AuditRecord);
    let requests = holder.on_message("r0", PeerMessageKind::AuditRecord, &last.body);
    out += &lines(&requests);
    for request in &requests {
        out += &lines(&owner.on_message("r1", request.kind, &request.body));
    }
    let start = postcard::to_stdvec(&(17u64, 300u64)).expect("encoded");
    out += &lines(&holder.on_message("r0", PeerMessageKind::AuditLogStart, &start));
    assert_golden("account_frames.txt", &out);
}
