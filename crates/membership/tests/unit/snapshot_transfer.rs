use super::*;

fn request(peer: &str, request_id: u64) -> SnapshotRequest {
    SnapshotRequest { peer: peer.to_string(), request_id }
}

#[test]
fn peers_are_asked_in_turn_and_chunks_of_one_answer_make_a_snapshot() {
    let rule = SnapshotTransferConfig { chunk_bytes: 4, ..SnapshotTransferConfig::default() };
    let mut fetch = SnapshotTransfer::new(rule);
    let ahead = ["a", "b"];
    assert_eq!(fetch.next_request(0.0, &ahead), None, "facts may still come");
    assert_eq!(fetch.next_request(3_000.0, &ahead), Some(request("a", 1)));
    let whole: Vec<u8> = (0..10).collect();
    let one = split_snapshot(1, &whole, &rule);
    assert_eq!(one.len(), 3);
    assert_eq!(fetch.receive_chunk(3_100.0, "a", &one[0]), None);
    assert_eq!(fetch.receive_chunk(3_100.0, "a", &one[2]), None, "one is missing");
    assert_eq!(fetch.next_request(4_000.0, &ahead), None);
    // It says nothing more: another one is asked, and what the first says late is none of it.
    assert_eq!(fetch.next_request(6_100.0, &ahead), Some(request("b", 2)));
    assert_eq!(fetch.receive_chunk(6_200.0, "a", &one[1]), None);
    let other = split_snapshot(2, &whole, &rule);
    let all: Vec<_> = other.iter().map(|piece| fetch.receive_chunk(6_300.0, "b", piece)).collect();
    assert_eq!(all, [None, None, Some(whole)]);
    assert!(!fetch.is_active());
}

#[test]
fn transfer_stops_without_peer_ahead_and_size_is_bounded() {
    let rule = SnapshotTransferConfig {
        start_after: 0.0,
        max_bytes: 8,
        chunk_bytes: 4,
        ..SnapshotTransferConfig::default()
    };
    assert!(split_snapshot(1, &[0; 9], &rule).is_empty());
    let mut fetch = SnapshotTransfer::new(rule);
    assert!(fetch.next_request(0.0, &["a"]).is_some());
    for number in 0..3 {
        let piece = SnapshotChunk { request_id: 1, index: number, total: 9, bytes: vec![0; 4] };
        assert_eq!(fetch.receive_chunk(1.0, "a", &piece), None);
    }
    assert_eq!(fetch.active.as_ref().map(|under| under.bytes.len()), Some(8));
    assert_eq!(fetch.next_request(2.0, &[]), None);
    assert!(!fetch.is_active());
}
