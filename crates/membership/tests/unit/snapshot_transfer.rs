use super::*;

fn request(peer: &str, request_id: u64) -> SnapshotRequest {
    SnapshotRequest { peer: peer.to_string(), request_id }
}

#[test]
fn snapshot_is_assembled_from_one_peer_and_requested_from_the_next_after_timeout() {
    let config = SnapshotTransferConfig { chunk_bytes: 4, ..SnapshotTransferConfig::default() };
    let mut transfer = SnapshotTransfer::new(config);
    let ahead = ["a", "b"];
    assert_eq!(transfer.next_request(0.0, &ahead), None, "entries may still arrive by gossip");
    assert_eq!(transfer.next_request(3_000.0, &ahead), Some(request("a", 1)));
    let complete: Vec<u8> = (0..10).collect();
    let first = split_snapshot(1, &complete, &config);
    assert_eq!(first.len(), 3);
    assert_eq!(transfer.receive_chunk(3_100.0, "a", &first[0]), None);
    assert_eq!(transfer.receive_chunk(3_100.0, "a", &first[2]), None, "a chunk is missing");
    assert_eq!(transfer.next_request(4_000.0, &ahead), None);
    // The first peer sends nothing more: the snapshot is requested from another one, and late chunks are
    // ignored.
    assert_eq!(transfer.next_request(6_100.0, &ahead), Some(request("b", 2)));
    assert_eq!(transfer.receive_chunk(6_200.0, "a", &first[1]), None);
    let second = split_snapshot(2, &complete, &config);
    let results: Vec<_> = second.iter().map(|chunk| transfer.receive_chunk(6_300.0, "b", chunk)).collect();
    assert_eq!(results, [None, None, Some(complete)]);
    assert!(!transfer.is_active());
}

#[test]
fn transfer_stops_without_peer_ahead_and_size_is_bounded() {
    let config = SnapshotTransferConfig {
        start_after: 0.0,
        max_bytes: 8,
        chunk_bytes: 4,
        ..SnapshotTransferConfig::default()
    };
    assert!(split_snapshot(1, &[0; 9], &config).is_empty());
    let mut transfer = SnapshotTransfer::new(config);
    assert!(transfer.next_request(0.0, &["a"]).is_some());
    for index in 0..3 {
        let chunk = SnapshotChunk { request_id: 1, index, total: 9, bytes: vec![0; 4] };
        assert_eq!(transfer.receive_chunk(1.0, "a", &chunk), None);
    }
    assert_eq!(transfer.active.as_ref().map(|active| active.bytes.len()), Some(8));
    assert_eq!(transfer.next_request(2.0, &[]), None);
    assert!(!transfer.is_active());
}
