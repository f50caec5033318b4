//! Unit tests of `src/upstream/codec.rs`, included there as the module `tests`.

use super::*;

const LIMITS: StringLimits = StringLimits { max_bytes: 100, max_body_bytes: 100 };

fn received(body: ReplyBody) -> Vec<u8> {
    match body {
        ReplyBody::Received(body) => body.to_vec(),
        ReplyBody::Discarded => panic!("the body is kept"),
    }
}

#[test]
fn a_reply_is_decoded_from_any_split_of_its_bytes() {
    let pool = BufferPool::new(5, 4, 100);
    let sent = b"*4\r\n$4\r\n9b1f\r\n$4\r\ndata\r\n$21\r\nres=HIT,digest=4be0c1\r\n$6\r\n\r\nbody\r\n";
    let (mut input, mut decoder) = (BufferChain::new(&pool), ReplyDecoder::default());
    for (n, byte) in sent.iter().enumerate() {
        assert!(decoder.decode(&mut input, LIMITS).expect("well formed").is_none(), "after {n} bytes");
        input.push(&[*byte]);
    }
    let reply = decoder.decode(&mut input, LIMITS).expect("well formed").expect("complete");
    assert_eq!((reply.id.as_str(), reply.status), ("9b1f", ReplyStatus::Data));
    assert_eq!((reply.fields.get("res"), reply.fields.get("first")), (Some("HIT"), None));
    assert_eq!(received(reply.body), b"\r\nbody");
    input.push(b"*4\r\n$1\r\na\r\n$6\r\nabsent\r\n$1\r\n-\r\n$0\r\n\r\n");
    let reply = decoder.decode(&mut input, LIMITS).expect("well formed").expect("complete");
    assert_eq!(
        (reply.status, reply.fields, received(reply.body).len()),
        (ReplyStatus::CacheMiss, FieldList::default(), 0)
    );
}

/// A body that is discarded takes no buffers, whenever that begins, and the next reply is not affected.
#[test]
fn a_discarded_body_takes_no_buffers() {
    let few = StringLimits { max_body_bytes: 10, ..LIMITS };
    let pool = BufferPool::new(5, 4, 100);
    let first = b"*4\r\n$4\r\n9b1f\r\n$4\r\ndata\r\n$7\r\nres=HIT\r\n$60\r\n";
    let next = b"*4\r\n$1\r\na\r\n$4\r\ndata\r\n$7\r\nres=HIT\r\n$10\r\nabcdefghij\r\n";
    for arrived in [0, 1, 59, 60] {
        let (mut input, mut decoder) = (BufferChain::from_bytes(&pool, first), ReplyDecoder::default());
        input.push(&vec![b'x'; arrived]);
        assert!(decoder.decode(&mut input, LIMITS).expect("well formed").is_none());
        assert_eq!(input.len(), arrived);
        assert!(decoder.decode(&mut input, few).expect("well formed").is_none());
        assert_eq!(input.len(), 0);
        // Once begun, it is discarded to its end.
        for _ in arrived..60 {
            input.push(b"x");
            assert!(decoder.decode(&mut input, LIMITS).expect("well formed").is_none());
            assert_eq!(input.len(), 0);
        }
        input.push(b"\r\n");
        let reply = decoder.decode(&mut input, LIMITS).expect("well formed").expect("complete");
        assert!(matches!(reply.body, ReplyBody::Discarded));
        assert_eq!((reply.id.as_str(), reply.status), ("9b1f", ReplyStatus::Data));
        input.push(next);
        let reply = decoder.decode(&mut input, few).expect("well formed").expect("complete");
        assert_eq!(received(reply.body), b"abcdefghij");
    }
}

#[test]
fn malformed_replies_are_errors() {
    let pool = BufferPool::new(64, 4, 100);
    for bytes in [
        &b"+OK\r\n"[..],
        b"*9\r\n",
        b"*x\r\n",
        b"*4\r\n$900\r\n",
        b"*4\r\n$1\r\naXX",
        b"*4\r\n$-1\r\n",
        b"*4\r\n$1\r\na\r\n$4\r\ndada\r\n$1\r\n-\r\n$0\r\n\r\n",
        b"*11111111111111111111111111",
    ] {
        let mut input = BufferChain::from_bytes(&pool, bytes);
        assert!(
            ReplyDecoder::default().decode(&mut input, LIMITS).is_err(),
            "{:?}",
            String::from_utf8_lossy(bytes)
        );
    }
}

/// No reply of a cache may end the router, or leave buffers in use after it was decoded.
#[test]
fn random_bytes_decode_to_replies_or_errors() {
    let pool = BufferPool::new(64, 4, 100);
    let mut seed = 7u64;
    let mut next = move || {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) as u8
    };
    let good = b"*4\r\n$1\r\na\r\n$4\r\ndata\r\n$7\r\nres=HIT\r\n$6\r\nabcdef\r\n";
    for _ in 0..2000 {
        let mut bytes = good.to_vec();
        for _ in 0..1 + next() % 3 {
            let at = usize::from(next()) % bytes.len();
            bytes[at] = next();
        }
        let (mut input, mut decoder) = (BufferChain::from_bytes(&pool, &bytes), ReplyDecoder::default());
        while let Ok(Some(_)) = decoder.decode(&mut input, LIMITS) {}
        drop((input, decoder));
        assert_eq!(pool.in_use(), 0);
    }
}

#[test]
fn requests_are_encoded_according_to_the_protocol() {
    let pool = BufferPool::new(8, 4, 100);
    let mut fields = FieldList::default();
    fields.push("kind", "video");
    fields.push("seg", 3);
    let out = encode_request(&pool, "9b1f", &fields, BufferChain::from_bytes(&pool, b"xy"));
    let text = "*4\r\n$3\r\nASK\r\n$4\r\n9b1f\r\n$16\r\nkind=video,seg=3\r\n$2\r\nxy\r\n";
    assert_eq!(String::from_utf8_lossy(&out.to_vec()), text);
    assert_eq!(encode_cancellation(&pool, "a").to_vec(), b"*2\r\n$4\r\nQUIT\r\n$1\r\na\r\n");
    assert_eq!(FieldList::default().to_string(), "-");
}

#[test]
fn messages_have_the_golden_bytes() {
    let pool = BufferPool::new(64, 4, 100);
    let mut fields = FieldList::default();
    fields.push("kind", "video");
    fields.push("ms", 250.0);
    let messages = [
        encode_request(&pool, "9b1f", &fields, BufferChain::from_bytes(&pool, b"body\r\n")),
        encode_request(&pool, "9b1f", &FieldList::default(), BufferChain::new(&pool)),
        encode_cancellation(&pool, "9b1f"),
        encode_health_check(&pool, "probe-1"),
    ];
    let lines = messages.iter().map(|message| format!("{}\n", message.to_vec().escape_ascii()));
    crate::golden::assert_golden("cache_messages.txt", &lines.collect::<String>());
}
