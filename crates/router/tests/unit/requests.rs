//! Unit tests of `src/requests.rs`, included there as the module `tests`.

use super::*;
use crate::buffers::{BufferChain, BufferPool};

fn message(id: &str, object: &str) -> RequestMessage {
    RequestMessage {
        id: id.to_string(),
        class: "video".to_string(),
        object: object.to_string(),
        part: "0".to_string(),
        group: 0,
        client_copy: None,
        idempotency_key: None,
        body: BufferChain::new(&BufferPool::new(64, 1, 8)),
    }
}

fn request(id: &str, object: &str) -> OpenRequest {
    let profile = RequestProfile {
        object: 7,
        part: 0,
        group: 0,
        is_write: false,
        size_bytes: 0.0,
        latency_objective: 100.0,
        received_at: 0.0,
    };
    let stream = ClientStream { client: 1, stream: 1 };
    OpenRequest {
        stream,
        message: message(id, object),
        profile,
        is_idempotent: true,
        may_have_run: false,
        has_lost_sender: false,
        cross_site: None,
    }
}

#[test]
fn an_id_conflicts_while_it_is_in_use_for_another_object() {
    let mut requests = OpenRequests::new(8);
    requests.insert(1, request("id", "a"));
    requests.insert(2, request("id", "a"));
    assert!(requests.id_conflicts(&message("id", "b")));
    assert!(!requests.id_conflicts(&message("id", "a")));
    assert!(!requests.id_conflicts(&message("other", "b")));
    assert!(requests.remove(1).is_some());
    assert!(requests.id_conflicts(&message("id", "b")), "the second request still uses the id");
    assert!(requests.remove(2).is_some());
    assert!(!requests.id_conflicts(&message("id", "b")));
    assert!(requests.remove(2).is_none());
}

#[test]
fn the_table_is_full_at_the_maximum() {
    let mut requests = OpenRequests::new(2);
    requests.insert(1, request("a", "a"));
    assert!(!requests.is_full());
    assert_eq!(requests.open_ratio(), 0.5);
    requests.insert(2, request("b", "b"));
    assert!(requests.is_full());
    assert_eq!(requests.open_ratio(), 1.0);
    assert_eq!(OpenRequests::new(0).open_ratio(), 0.0);
}
