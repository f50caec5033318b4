//! Unit tests of `src/downstream/codec.rs`, included there as the module `tests`.

use super::*;

const MAX_FRAME: usize = 262_144;

fn request(stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.as_bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.as_bytes());
    }
    payload.extend(body);
    let mut out = ((HEAD_BYTES + payload.len()) as u32).to_be_bytes().to_vec();
    out.push(frame_type::REQUEST);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

#[test]
fn a_request_is_decoded_from_any_split_of_its_bytes() {
    let pool = BufferPool::new(7, 4, 100);
    let sent = request(9, &[("c", "video"), ("chunk", "3")], b"some bytes");
    let mut input = BufferChain::new(&pool);
    for (n, byte) in sent.iter().enumerate() {
        assert!(decode(&mut input, MAX_FRAME).expect("well formed").is_none(), "after {n} bytes");
        input.push(&[*byte]);
    }
    let Some(ClientMessage::Request { stream, fields, body }) =
        decode(&mut input, MAX_FRAME).expect("complete")
    else {
        panic!("no request")
    };
    assert_eq!((stream, fields.get("c"), fields.get("chunk")), (9, Some("video"), Some("3")));
    assert_eq!((fields.get("r"), body.to_vec()), (None, b"some bytes".to_vec()));
    assert!(input.is_empty());
}

#[test]
fn malformed_frames_are_errors() {
    let pool = BufferPool::new(64, 4, 100);
    let cases: [&[u8]; 6] = [
        &[0, 0, 0, 4, 65],
        &[0xff, 0, 0, 0],
        &[0, 0, 0, 5, 99, 0, 0, 0, 1],
        &[0, 0, 0, 6, 65, 0, 0, 0, 0, 0],
        &[0, 0, 0, 8, 65, 0, 0, 0, 1, 1, 9, b'c'],
        &[0, 0, 0, 10, 65, 0, 0, 0, 1, 1, 1, 0xff, 0, 0],
    ];
    for bytes in cases {
        assert!(decode(&mut BufferChain::from_bytes(&pool, bytes), MAX_FRAME).is_err(), "{bytes:?}");
    }
}

/// No input of a client may end the router, or leave buffers in use after it was decoded.
#[test]
fn random_bytes_decode_to_messages_or_errors() {
    let pool = BufferPool::new(64, 4, 100);
    let mut seed = 7u64;
    let mut next = move || {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) as u8
    };
    for round in 0..2000 {
        let mut input = BufferChain::new(&pool);
        // Every other input begins like a request with a valid length.
        if round % 2 == 0 {
            input.push(&[0, 0, 0, 20 + next() % 60, frame_type::REQUEST, 0, 0, 0, 1, next() % 4]);
        }
        let bytes: Vec<u8> = (0..200).map(|_| next()).collect();
        input.push(&bytes);
        while let Ok(Some(_)) = decode(&mut input, MAX_FRAME) {}
        drop(input);
        assert_eq!(pool.in_use(), 0);
    }
}

#[test]
fn answers_are_encoded_according_to_the_protocol() {
    let pool = BufferPool::new(64, 4, 100);
    let body = BufferChain::from_bytes(&pool, b"xy");
    let out = encode_answer(&pool, 5, AnswerCode::Rejected, &[("w", "50")], body).to_vec();
    assert_eq!(out, [0, 0, 0, 15, 66, 0, 0, 0, 5, 2, 1, 1, b'w', 0, 2, b'5', b'0', b'x', b'y']);
    assert_eq!(encode_go_away(&pool).to_vec(), [0, 0, 0, 5, 90, 0, 0, 0, 0]);
    assert_eq!(encode_readiness(&pool, 2, true).to_vec(), [0, 0, 0, 7, 81, 0, 0, 0, 2, 1, 0]);
}

#[test]
fn frames_have_the_golden_bytes() {
    let pool = BufferPool::new(64, 4, 100);
    let body = |bytes: &[u8]| BufferChain::from_bytes(&pool, bytes);
    let frames = [
        ("request", body(&request(9, &[("c", "video"), ("i", "9b1f")], b"some bytes"))),
        ("served", encode_answer(&pool, 5, AnswerCode::Served, &[], body(b"xy"))),
        ("valid", encode_answer(&pool, 5, AnswerCode::Served, &[("valid", "1")], body(b""))),
        ("refused", encode_answer(&pool, 70_000, AnswerCode::Rejected, &[("w", "250")], body(b""))),
        ("failed", encode_answer(&pool, 0, AnswerCode::Failed, &[], body(b"a frame of such a type"))),
        ("ready", encode_readiness(&pool, 2, true)),
        ("not ready", encode_readiness(&pool, 2, false)),
        ("no more", encode_go_away(&pool)),
    ];
    let lines = frames.iter().map(|(name, frame)| format!("{name}: {}\n", crate::hex::hex(&frame.to_vec())));
    crate::golden::assert_golden("client_frames.txt", &lines.collect::<String>());
}

/// Guards against heads of very many short fields that take time and memory for each of them.
#[test]
fn fields_that_no_request_has_are_checked_but_not_stored() {
    let pool = BufferPool::new(64, 4, 1_000);
    let names: Vec<String> = (0..200).map(|n| format!("x{n}")).collect();
    let mut fields: Vec<(&str, &str)> = names.iter().map(|name| (&**name, "1")).collect();
    fields.push(("c", "video"));
    let mut input = BufferChain::from_bytes(&pool, &request(9, &fields, b"body"));
    let Ok(Some(ClientMessage::Request { fields, body, .. })) = decode(&mut input, MAX_FRAME) else {
        panic!("no request")
    };
    assert_eq!(fields, Fields::from(vec![("c".to_string(), "video".to_string())]));
    assert_eq!(body.to_vec(), b"body");
    let mut input = BufferChain::from_bytes(&pool, &[0, 0, 0, 11, 65, 0, 0, 0, 1, 1, 1, b'x', 0, 1, 0xff]);
    assert!(matches!(decode(&mut input, MAX_FRAME), Err(FrameError::FieldNotText)));
}
