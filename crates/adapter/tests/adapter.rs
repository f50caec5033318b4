//! The adapter as a process: frames on standard input and output, error messages and exit codes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linnethook-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read all of a malformed input.
    let _ = child.stdin.take().expect("a pipe").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(now: f64, records: &[(u16, Vec<u8>)]) -> Vec<u8> {
    let mut body = Vec::new();
    for (code, fields) in records {
        body.extend(code.to_le_bytes());
        body.extend((fields.len() as u32).to_le_bytes());
        body.extend(fields);
    }
    let mut frame = Vec::new();
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(now.to_le_bytes());
    frame.extend(body);
    frame
}

/// Length of the header of a batch.
const HEADER_BYTES: usize = 16;
const SETTINGS: &str = r#"{"balancers": 2, "locality": 0, "resolution": 2.0, "allowed": {"max-attempts": 3},
    "grades": [{"effect": "read_like", "objective": 400, "deadline": 4000}]}"#;

fn start(instance: u16, settings: &str) -> (u16, Vec<u8>) {
    let mut fields = instance.to_le_bytes().to_vec();
    fields.extend(7u64.to_le_bytes());
    fields.extend((settings.len() as u32).to_le_bytes());
    fields.extend(settings.as_bytes());
    (1070, fields)
}

/// Defines a list with one ready cache at that address.
fn define(list: u32, address: u8) -> (u16, Vec<u8>) {
    let mut fields = list.to_le_bytes().to_vec();
    fields.extend(1u32.to_le_bytes());
    fields.extend(0u16.to_le_bytes());
    fields.extend([10, 0, 0, address, 1, 0]);
    fields.extend(5f32.to_le_bytes());
    fields.push(0);
    fields.extend(0u16.to_le_bytes());
    fields.extend(0f64.to_le_bytes());
    fields.push(1);
    (1100, fields)
}

fn update(instance: u16, list: u32) -> (u16, Vec<u8>) {
    let mut fields = instance.to_le_bytes().to_vec();
    fields.extend(1u64.to_le_bytes());
    fields.push(2);
    fields.extend(list.to_le_bytes());
    (1040, fields)
}

fn request(instance: u16, id: u64) -> (u16, Vec<u8>) {
    let mut fields = instance.to_le_bytes().to_vec();
    fields.extend(id.to_le_bytes());
    fields.extend(0f32.to_le_bytes());
    fields.push(0);
    fields.extend(0u16.to_le_bytes());
    fields.extend([0; 12]);
    fields.extend(99u64.to_le_bytes());
    fields.extend(2000f64.to_le_bytes());
    (1090, fields)
}

/// Code, instance and remaining fields of each record of each reply.
fn replies(mut output: &[u8]) -> Vec<Vec<(u16, u16, Vec<u8>)>> {
    let number = |bytes: &[u8]| bytes.iter().rev().fold(0usize, |sum, &byte| sum << 8 | usize::from(byte));
    let mut replies = Vec::new();
    while !output.is_empty() {
        let (count, length) = (number(&output[..4]), number(&output[4..8]));
        let mut body = &output[8..8 + length];
        output = &output[8 + length..];
        let mut records = Vec::new();
        for _ in 0..count {
            let size = number(&body[2..6]);
            let fields = &body[6..6 + size];
            records.push((number(&body[..2]) as u16, number(&fields[..2]) as u16, fields[2..].to_vec()));
            body = &body[6 + size..];
        }
        assert!(body.is_empty());
        replies.push(records);
    }
    replies
}

#[test]
fn adapter_exits_with_success_at_the_end_of_its_input() {
    let output = run(&[batch(1.0, &[]), batch(2.0, &[])].concat());
    assert!(output.status.success() && output.stderr.is_empty());
    assert_eq!(output.stdout, [0; 16]);
}

#[test]
fn lists_are_resolved_in_record_order_and_instances_are_independent() {
    let records = [
        start(3, SETTINGS),
        define(0, 1),
        update(3, 0),
        start(4, SETTINGS),
        define(0, 2),
        update(4, 0),
        request(3, 50),
        request(4, 51),
    ];
    let output = run(&batch(1.0, &records));
    assert!(output.status.success(), "{output:?}");
    let replies = replies(&output.stdout);
    let sent: Vec<_> = replies[0].iter().filter(|record| record.0 == 1120).collect();
    assert_eq!(sent.len(), 2);
    assert_eq!((sent[0].1, &sent[0].2[8..12]), (3, &[10, 0, 0, 1][..]));
    assert_eq!((sent[1].1, &sent[1].2[8..12]), (4, &[10, 0, 0, 2][..]));
}

#[test]
fn a_restart_within_a_batch_drops_open_requests() {
    let stop = (1110, 3u16.to_le_bytes().to_vec());
    let first = batch(1.0, &[start(3, SETTINGS), define(0, 1), update(3, 0), request(3, 50)]);
    let again = batch(9.0, &[stop, start(3, SETTINGS), define(1, 1), update(3, 1)]);
    let late = batch(5000.0, &[(1030, [&3u16.to_le_bytes()[..], &0u32.to_le_bytes()].concat())]);
    let output = run(&[first, again, late].concat());
    assert!(output.status.success(), "{output:?}");
    let replies = replies(&output.stdout);
    assert!(replies[0].iter().any(|record| record.0 == 1120));
    assert!(replies[1..].concat().iter().all(|record| record.0 == 1040), "only timers: {replies:?}");
}

#[test]
fn events_for_unknown_instances_are_ignored() {
    let output = run(&batch(1.0, &[request(8, 50)]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0; 8]);
}

#[test]
fn malformed_input_is_reported_in_one_line() {
    let valid = batch(1.0, &[]);
    let start_record = batch(2.0, &[start(3, SETTINGS)]);
    let body_bytes = start_record.len() - HEADER_BYTES;
    let truncated_body = format!("batch 2: input ends within a body: expected {body_bytes} bytes, got 14");
    let cases: [(Vec<u8>, &str); 6] = [
        (vec![0; 5], "batch 2: input ends within a header: expected 16 bytes, got 5"),
        (batch(2.0, &[(7, vec![])]), "batch 2: unknown record code 7 at byte 16 of the batch"),
        (
            batch(2.0, &[(1030, vec![1])]),
            "batch 2: field of 2 bytes exceeds the record, 1 bytes left at byte 22 of the batch",
        ),
        (batch(2.0, &[start(3, "{]")]), "batch 2: settings of instance 3: "),
        (batch(2.0, &[start(3, r#"{"grades": 1}"#)]), "batch 2: settings of instance 3: "),
        (start_record[..30].to_vec(), &truncated_body),
    ];
    for (malformed, message) in cases {
        let output = run(&[valid.clone(), malformed].concat());
        let stderr = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        assert!(stderr.starts_with(&format!("linnethook-adapter: {message}")), "{stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert_eq!(output.stdout, [0; 8], "only the reply to the valid batch");
    }
}
