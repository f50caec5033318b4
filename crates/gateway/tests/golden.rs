//! Compares the bytes of every frame between sites and between gateways of peer routers with a fixture
//! written by an earlier build, and decodes and encodes that fixture.
//!
//! `LINNETHOOK_WRITE_GOLDEN=1` writes the fixture if it is missing, and never replaces it.

use std::fmt::Write;
use std::path::PathBuf;

use linnethook_gateway::attempt_ledger::{AttemptOutcome, Token};
use linnethook_gateway::codec::{
    encode_frame, ForwardedRequest, Frame, FrameDecoder, Hello, Message, RejectReason, ResponseHead,
    ResumePoint, VersionRange,
};
use linnethook_gateway::site_state::{Fact, FactKey, FactValue, StatePosition, StateUpdate};
use linnethook_gateway::transfer::ObjectVersion;

const MAX_FRAME_BYTES: usize = 1 << 16;

fn fields() -> Vec<(String, String)> {
    vec![("id".to_string(), "9b1f".to_string()), ("class".to_string(), "booking".to_string())]
}

fn facts() -> Vec<Fact> {
    vec![
        Fact::new(FactKey::Cache("cache-1".to_string()), FactValue::Cache { ready: false }),
        Fact::new(FactKey::Cache("cache-2".to_string()), FactValue::CacheRemoved),
        Fact::new(FactKey::Object("object-1".to_string()), FactValue::Purged { stamp: 1_700_000_000_000.5 }),
        Fact::new(FactKey::Group(7), FactValue::Purged { stamp: 3.0 }),
        Fact::new(FactKey::Site, FactValue::Load { utilization: 0.25, caches: 300, origin_reachable: true }),
        Fact::new(FactKey::Operators, FactValue::Drained(true)),
        Fact::new(FactKey::PeerEntry(vec![1, 2, 250]), FactValue::PeerEntry(vec![3, 255])),
    ]
}

/// Every kind of frame, and every variant within them.
fn messages() -> Vec<(String, Message)> {
    let token = Token { epoch: 1 << 40, number: 300 };
    let version = ObjectVersion { tag: "v1".to_string(), issued_at: 1_700_000_000_000.5, length: 70_000 };
    let hello = Hello {
        versions: VersionRange { min: 1, max: 2 },
        site: "north".to_string(),
        node: "r1".to_string(),
        epoch: 17,
        known_state: StatePosition { epoch: 300, version: 70_000 },
        proof: vec![9],
    };
    let request = ForwardedRequest {
        token: Some(token),
        remaining_ms: 1_500,
        priority: 2,
        passed_sites: vec!["south".to_string()],
        resume_from: Some(ResumePoint { offset: 4_096, version: version.clone() }),
        fields: fields(),
        body: vec![1, 2, 3].into(),
    };
    let head = ResponseHead {
        served: true,
        fields: fields(),
        body_length: 70_000,
        offset: 4_096,
        version: Some(version),
    };
    let mut messages = vec![
        ("hello".to_string(), Message::Hello(hello)),
        ("open".to_string(), Message::Request(Box::new(request.clone()))),
        (
            "open.plain".to_string(),
            Message::Request(Box::new(ForwardedRequest { token: None, resume_from: None, ..request })),
        ),
        ("answer".to_string(), Message::Response(Box::new(head.clone()))),
        (
            "answer.plain".to_string(),
            Message::Response(Box::new(ResponseHead { served: false, version: None, ..head })),
        ),
        ("data".to_string(), Message::Data(vec![0, 1, 255].into())),
        ("end".to_string(), Message::End),
        ("cancel".to_string(), Message::Cancel),
        ("credit".to_string(), Message::Credit(70_000)),
        ("ping".to_string(), Message::Ping(1 << 40)),
        ("pong".to_string(), Message::Pong(1 << 40)),
        ("ask".to_string(), Message::OutcomeQuery(token)),
        (
            "state".to_string(),
            Message::StateUpdate(StateUpdate { epoch: 17, since: 3, version: 300, facts: facts() }),
        ),
        ("behind".to_string(), Message::StateRequest(StatePosition { epoch: 17, version: 300 })),
        ("leave".to_string(), Message::GoAway),
        ("direct".to_string(), Message::DirectFacts(facts())),
    ];
    let reasons = [
        ("full", RejectReason::AtCapacity),
        ("barred", RejectReason::TokenFenced),
        ("stale", RejectReason::StateTooOld),
        ("drained", RejectReason::Draining),
        ("refused", RejectReason::Refused),
        ("passed", RejectReason::HopLimit),
        ("unusable", RejectReason::Unusable),
    ];
    for (name, reason) in reasons {
        messages.push((format!("never.{name}"), Message::Reject { reason, retry_after_ms: 300 }));
    }
    let outcomes = [
        ("ran", AttemptOutcome::Completed(Some(vec![1, 255]))),
        ("ran.forgotten_answer", AttemptOutcome::Completed(None)),
        ("running", AttemptOutcome::Running),
        ("never", AttemptOutcome::NeverRan),
        ("forgotten", AttemptOutcome::Forgotten),
    ];
    for (name, outcome) in outcomes {
        messages.push((format!("told.{name}"), Message::OutcomeReport(token, outcome)));
    }
    messages.push(("cancel.token".to_string(), Message::CancelToken(token)));
    messages
}

fn fixture() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/frames.txt")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = (0..text.len()).step_by(2);
    digits.map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits")).collect()
}

#[test]
fn frames_are_encoded_as_in_the_fixture() {
    let mut lines = String::new();
    for (name, message) in messages() {
        let _ = writeln!(lines, "{name}: {}", hex(&encode_frame(&Frame { stream: 300, message })));
    }
    if !fixture().exists() && std::env::var_os("LINNETHOOK_WRITE_GOLDEN").is_some() {
        std::fs::write(fixture(), &lines).expect("the fixture can be written");
    }
    assert_eq!(lines, std::fs::read_to_string(fixture()).expect("the fixture"));
}

#[test]
fn fixture_is_decoded_and_encoded_unchanged() {
    let fixture = std::fs::read_to_string(fixture()).expect("the fixture");
    let messages = messages();
    assert_eq!(fixture.lines().count(), messages.len());
    for (line, (name, message)) in fixture.lines().zip(messages) {
        let bytes = unhex(line.rsplit_once(": ").expect("a name and bytes").1);
        let mut decoder = FrameDecoder::default();
        decoder.push_bytes(&bytes);
        let frame = decoder.next_frame(MAX_FRAME_BYTES).expect("a valid frame").expect("a complete frame");
        assert_eq!(frame, Frame { stream: 300, message }, "{name}");
        assert_eq!(encode_frame(&frame), bytes, "{name}");
        assert_eq!(decoder.buffered_bytes(), 0, "{name}");
    }
}
