//! The bytes of every frame between sites and between fellow routers' gateways: compared with a fixture that an earlier
//! build has written, read and written again.
//!
//! `LINNETHOOK_WRITE_GOLDEN=1` writes the fixture where it is missing, and never replaces it.

use std::fmt::Write;
use std::path::PathBuf;

use linnethook_gateway::codec::{encode, Begins, Decoder, Frame, Hello, Open, Turned, Word};
use linnethook_gateway::ledger::{Fate, Token};
use linnethook_gateway::site::{About, Fact, State};
use linnethook_gateway::transfer::Copy;

const LONGEST_FRAME: usize = 1 << 16;

fn fields() -> Vec<(String, String)> {
    vec![("id".to_string(), "9b1f".to_string()), ("class".to_string(), "booking".to_string())]
}

fn facts() -> Vec<(About, Fact)> {
    vec![
        (About::Cache("cache-1".to_string()), Fact::Cache { ready: false }),
        (About::Cache("cache-2".to_string()), Fact::Left),
        (About::Object("object-1".to_string()), Fact::Purged { stamp: 1_700_000_000_000.5 }),
        (About::Group(7), Fact::Purged { stamp: 3.0 }),
        (About::Site, Fact::Load { used: 0.25, caches: 300, origin: true }),
        (About::Operators, Fact::Drained(true)),
        (About::Fellow(vec![1, 2, 250]), Fact::Fellow(vec![3, 255])),
    ]
}

/// Every kind of frame, and every variant within them.
fn words() -> Vec<(String, Word)> {
    let token = Token { epoch: 1 << 40, number: 300 };
    let copy = Copy { tag: "v1".to_string(), dated: 1_700_000_000_000.5, length: 70_000 };
    let hello = Hello {
        versions: (1, 2),
        site: "north".to_string(),
        node: "r1".to_string(),
        epoch: 17,
        known: (300, 70_000),
        proof: vec![9],
    };
    let open = Open {
        token: Some(token),
        left_ms: 1_500,
        priority: 2,
        passed: vec!["south".to_string()],
        rest: Some((4_096, copy.clone())),
        head: fields(),
        body: vec![1, 2, 3].into(),
    };
    let begins = Begins { served: true, head: fields(), length: 70_000, from: 4_096, copy: Some(copy) };
    let mut words = vec![
        ("hello".to_string(), Word::Hello(hello)),
        ("open".to_string(), Word::Open(Box::new(open.clone()))),
        ("open.plain".to_string(), Word::Open(Box::new(Open { token: None, rest: None, ..open }))),
        ("answer".to_string(), Word::Answer(Box::new(begins.clone()))),
        ("answer.plain".to_string(), Word::Answer(Box::new(Begins { served: false, copy: None, ..begins }))),
        ("data".to_string(), Word::Data(vec![0, 1, 255].into())),
        ("end".to_string(), Word::End),
        ("cancel".to_string(), Word::Cancel),
        ("credit".to_string(), Word::Credit(70_000)),
        ("ping".to_string(), Word::Ping(1 << 40)),
        ("pong".to_string(), Word::Pong(1 << 40)),
        ("ask".to_string(), Word::Ask(token)),
        ("state".to_string(), Word::State(State { epoch: 17, since: 3, version: 300, facts: facts() })),
        ("behind".to_string(), Word::Behind(17, 300)),
        ("leave".to_string(), Word::Leave),
        ("direct".to_string(), Word::Direct(facts())),
    ];
    let reasons = [
        ("full", Turned::Full),
        ("barred", Turned::Barred),
        ("stale", Turned::Stale),
        ("drained", Turned::Drained),
        ("refused", Turned::Refused),
        ("passed", Turned::Passed),
        ("unusable", Turned::Unusable),
    ];
    for (name, why) in reasons {
        words.push((format!("never.{name}"), Word::Never { why, come_back: 300 }));
    }
    let fates = [
        ("ran", Fate::Ran(Some(vec![1, 255]))),
        ("ran.forgotten_answer", Fate::Ran(None)),
        ("running", Fate::Running),
        ("never", Fate::Never),
        ("forgotten", Fate::Forgotten),
    ];
    for (name, fate) in fates {
        words.push((format!("told.{name}"), Word::Told(token, fate)));
    }
    words
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
fn every_frame_keeps_its_bytes() {
    let mut lines = String::new();
    for (name, word) in words() {
        let _ = writeln!(lines, "{name}: {}", hex(&encode(&Frame { stream: 300, word })));
    }
    if !fixture().exists() && std::env::var_os("LINNETHOOK_WRITE_GOLDEN").is_some() {
        std::fs::write(fixture(), &lines).expect("written");
    }
    assert_eq!(lines, std::fs::read_to_string(fixture()).expect("the fixture"));
}

#[test]
fn frames_of_the_fixture_are_read_and_written_again_to_the_byte() {
    let fixture = std::fs::read_to_string(fixture()).expect("the fixture");
    let words = words();
    assert_eq!(fixture.lines().count(), words.len());
    for (line, (name, word)) in fixture.lines().zip(words) {
        let bytes = unhex(line.rsplit_once(": ").expect("a name and bytes").1);
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        let frame = decoder.next(LONGEST_FRAME).expect("a frame that can be read").expect("a complete frame");
        assert_eq!(frame, Frame { stream: 300, word }, "{name}");
        assert_eq!(encode(&frame), bytes, "{name}");
        assert_eq!(decoder.rest(), 0, "{name}");
    }
}
