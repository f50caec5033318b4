//! Decoding and encoding of each record of the simulator's protocol, field by field.

use linnethook::interface::{
    Action, AttemptId, AttemptOutcome, AttemptStatus, CacheStatus, Endpoint, EndpointId, EndpointPhase,
    EndpointUpdate, Event, FillInstruction, LoadReport, ObjectId, RejectReason, Request, RequestId,
    RetryScope,
};

use crate::codec::{decode_batch, BatchHeader, Record, Reply, Result};

/// Builds the fields of a record.
#[derive(Default)]
struct Bytes(Vec<u8>);

impl Bytes {
    fn u8(mut self, value: u8) -> Self {
        self.0.push(value);
        self
    }

    fn u16(mut self, value: u16) -> Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn u32(mut self, value: u32) -> Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn u64(mut self, value: u64) -> Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn f32(mut self, value: f32) -> Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn f64(mut self, value: f64) -> Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn cache(mut self) -> Self {
        self.0.extend([10, 1, 2, 3, 0x28, 0x23]);
        self
    }

    fn text(mut self, text: &[u8]) -> Self {
        self.0.extend(text);
        self
    }
}

const CACHE: EndpointId = EndpointId(0x0a01_0203_2823);

fn empty() -> Bytes {
    Bytes::default()
}

fn record(code: u16, fields: Bytes) -> Vec<u8> {
    empty().u16(code).u32(fields.0.len() as u32).text(&fields.0).0
}

fn batch(records: &[Vec<u8>]) -> Result<Vec<Record>> {
    let body = records.concat();
    decode_batch(BatchHeader { records: records.len() as u32, length: body.len(), now: 5.0 }, &body)
}

fn one(code: u16, fields: Bytes) -> Result<Record> {
    batch(&[record(code, fields)]).map(|mut records| records.remove(0))
}

fn event(code: u16, fields: Bytes) -> Event {
    match one(code, fields) {
        Ok(Record::Event { instance: 9, event, .. }) => event,
        other => panic!("{other:?}"),
    }
}

fn entry(phase: u8) -> Bytes {
    empty().u16(4).cache().f32(1.5).u8(2).u16(1).f64(750.0).u8(phase)
}

fn endpoint(phase: EndpointPhase) -> Endpoint {
    Endpoint { id: CACHE, cell: 4, zone: 2, role: 1, weight: 1.5, started_at: 750.0, phase }
}

#[test]
fn batch_headers() {
    let bytes = empty().u32(2).u32(40).f64(12.5).0;
    let header = BatchHeader::decode(&bytes.try_into().expect("16 bytes"));
    assert_eq!(header, Ok(BatchHeader { records: 2, length: 40, now: 12.5 }));
    let impossible = empty().u32(100).u32(40).f64(12.5).0;
    assert!(BatchHeader::decode(&impossible.try_into().expect("16 bytes")).is_err());
    let no_clock = empty().u32(0).u32(0).f64(f64::NAN).0;
    assert_eq!(
        BatchHeader::decode(&no_clock.try_into().expect("16 bytes")).map_err(|error| error.offset),
        Err(8)
    );
}

#[test]
fn instances_start_and_stop() {
    let opened = one(1070, empty().u16(9).u64(77).u32(2).text(b"{}")).expect("a start");
    assert_eq!(opened, Record::StartInstance { instance: 9, seed: 77, settings: b"{}".to_vec() });
    assert_eq!(one(1110, empty().u16(9)).expect("a stop"), Record::StopInstance { instance: 9 });
}

#[test]
fn endpoint_lists_and_updates() {
    let rows = empty().u32(3).u32(3).text(&[entry(0).0, entry(1).0, entry(2).0].concat());
    let phases = [EndpointPhase::Removed, EndpointPhase::Ready, EndpointPhase::Draining];
    let expected = Record::DefineList { list: 3, endpoints: phases.map(endpoint).to_vec() };
    assert_eq!(one(1100, rows).expect("a list"), expected);
    let updates = [
        EndpointUpdate::Incremental,
        EndpointUpdate::Snapshot,
        EndpointUpdate::Snapshot,
        EndpointUpdate::Unavailable,
    ];
    for (n, update) in updates.into_iter().enumerate() {
        let decoded = one(1040, empty().u16(9).u64(1).u8(n as u8).u32(3)).expect("a list");
        assert_eq!(decoded, Record::UpdateEndpoints { instance: 9, update, list: 3 });
    }
}

#[test]
fn requests_and_their_events() {
    let fields = empty().u16(9).u64(42).f32(3.0).u8(6).u16(1).f32(12.0).f32(11.0).u32(0).u64(99).f64(240.0);
    let request = Request {
        id: RequestId(42),
        object: ObjectId(99),
        part: 3,
        group: 11,
        class: 1,
        size_kb: 12.0,
        client_retry: true,
        is_write: true,
        time_limit: 240.0,
    };
    assert_eq!(event(1090, fields), Event::Request(request));
    let attempt = AttemptId { request: RequestId(42), number: 2 };
    assert_eq!(event(1010, empty().u16(9).u64(42).cache().u8(2).f64(1.0)), Event::ResponseStarted(attempt));
    assert_eq!(event(1020, empty().u16(9).u64(42)), Event::ClientDisconnected(RequestId(42)));
    assert_eq!(event(1030, empty().u16(9).u32(77)), Event::Timer(77));
}

#[test]
fn purges_of_objects_and_groups() {
    let purge = |object| event(1060, empty().u16(9).u64(object).u16(11).f64(85.0));
    assert_eq!(purge(5), Event::Purge { object: Some(ObjectId(5)), group: 11, age: 85.0 });
    assert_eq!(purge(0), Event::Purge { object: None, group: 11, age: 85.0 });
}

#[test]
fn every_attempt_status_and_cache_status_is_decoded() {
    use AttemptStatus::*;
    let codes = [200, 500, 503, 504, 502, 598, 499, 410, 404];
    let statuses = [Ok, Error, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotExecuted, CacheMiss];
    let reported = {
        use CacheStatus::*;
        let with_source = [
            Hit,
            FilledByParent,
            FilledByOrigin,
            Coalesced,
            Stale,
            SourceRejected,
            SourceUnreachable,
            SourceMiss,
        ];
        with_source.into_iter().chain([NoCapacity, OriginFailed])
    };
    let cache_statuses: Vec<Option<CacheStatus>> = std::iter::once(None).chain(reported.map(Some)).collect();
    for (code, status) in codes.into_iter().zip(statuses) {
        for (n, cache_status) in cache_statuses.iter().enumerate() {
            let fields =
                empty().u16(9).u64(42).u8(1).u16(code).cache().f64(9.5).f64(18.5).u32(n as u32).u8(1);
            let fields = fields.u8(2).f32(0.5).f32(3.0);
            let record = one(1080, fields).expect("an outcome");
            let outcome = AttemptOutcome {
                attempt: AttemptId { request: RequestId(42), number: 1 },
                endpoint: CACHE,
                status,
                request_finished: true,
                elapsed: 18.5,
                source_wait: 9.5,
                cache_status: *cache_status,
                load_report: LoadReport::default(),
            };
            let event = Event::AttemptFinished(outcome);
            assert_eq!(record, Record::Event { instance: 9, event, report: vec![0.5, 3.0] });
        }
    }
}

#[test]
fn health_checks_load_reports_and_peer_messages() {
    let fields = empty().u16(9).f64(2.0).u16(200).cache().u8(1).f32(4.0);
    let record = one(1000, fields).expect("a health check's result");
    let event = Event::HealthCheck { endpoint: CACHE, healthy: true, load_report: LoadReport::default() };
    assert_eq!(record, Record::Event { instance: 9, event, report: vec![4.0] });
    let message = one(1050, empty().u16(9).u32(1).u16(3).text(b"abc")).expect("a message");
    assert_eq!(message, Record::PeerMessage { instance: 9 });
}

#[test]
fn malformed_records_are_errors_with_an_offset() {
    let error = |result: Result<Record>| result.expect_err("malformed").to_string();
    assert_eq!(error(one(7, empty())), "unknown record code 7 at byte 16 of the batch");
    assert_eq!(
        error(one(1030, empty().u16(9).u16(1))),
        "field of 4 bytes exceeds the record, 2 bytes left at byte 24 of the batch"
    );
    assert_eq!(
        error(one(1030, empty().u16(9).u32(1).u8(1))),
        "1 bytes after the last field of a record, expected none at byte 28 of the batch"
    );
    assert!(
        error(one(1100, empty().u32(16).u32(0))).starts_with("endpoint list 16, expected a number below 16")
    );
    assert!(error(one(1100, empty().u32(1).u32(2).text(&entry(1).0)))
        .starts_with("2 endpoints of 24 bytes in 24 bytes"));
    assert!(error(one(1100, empty().u32(1).u32(1).text(&entry(3).0))).starts_with("unknown endpoint phase 3"));
    assert!(
        error(one(1040, empty().u16(9).u64(1).u8(4).u32(3))).starts_with("unknown kind 4 of endpoint update")
    );
    let outcome = empty().u16(9).u64(42).u8(1).u16(201).cache();
    assert!(error(one(1080, outcome)).starts_with("unknown attempt status 201"));
    let reported = empty().u16(9).u64(42).u8(1).u16(200).cache().f64(0.0).f64(1.0).u32(11).u8(1).u8(0);
    assert!(error(one(1080, reported)).starts_with("unknown cache status 11"));
    assert!(error(one(1060, empty().u16(9).u64(1).u16(1).f64(f64::NAN)))
        .starts_with("expected a finite number, got NaN"));
    let too_long = empty().u16(1030).u32(50).u16(9).0;
    assert!(batch(&[too_long]).is_err());
    let header = BatchHeader { records: 1, length: 13, now: 0.0 };
    let body = [record(1030, empty().u16(9).u32(1)), vec![0]].concat();
    assert!(decode_batch(header, &body).is_err(), "bytes after the last record");
}

/// The code and the fields, without the instance, of the record that encodes an action.
fn fields_of(action: &Action) -> (u16, Vec<u8>) {
    let mut reply = Reply::default();
    reply.push(9, action);
    let frame = reply.frame();
    let length = frame.len();
    assert_eq!(frame[..8], empty().u32(1).u32(length as u32 - 8).0);
    assert_eq!(frame[10..16], empty().u32(length as u32 - 14).u16(9).0);
    (u16::from_le_bytes([frame[8], frame[9]]), frame[16..].to_vec())
}

#[test]
fn every_action_is_encoded() {
    let request = RequestId(42);
    let forward = Action::Forward { request, endpoint: CACHE, timeout: 80.0, send_by: None };
    assert_eq!(fields_of(&forward), (1000, empty().u64(42).f64(80.0).cache().0));
    let (max_age, max_stale_age) = (360.0, 0.0);
    let fill = FillInstruction {
        source: CACHE,
        retention: 2,
        max_age,
        max_stale_age,
        coalesce: true,
        only_if_cached: false,
        revalidate: true,
    };
    let with_fill =
        |fill| Action::ForwardWithFill { request, endpoint: CACHE, timeout: 80.0, send_by: None, fill };
    let fields = |bits| empty().u64(42).cache().f64(80.0).cache().u8(2).f64(360.0).u8(bits).0;
    assert_eq!(fields_of(&with_fill(fill)), (1120, fields(9)));
    let cached = FillInstruction { coalesce: false, only_if_cached: true, revalidate: false, ..fill };
    assert_eq!(fields_of(&with_fill(cached)), (1120, fields(2)));
    let cancel = Action::CancelAttempt(AttemptId { request, number: 3 });
    assert_eq!(fields_of(&cancel), (1030, empty().u64(42).u8(3).0));
    let reject = Action::Reject {
        request,
        retry_after: 250.0,
        retry_scope: RetryScope::Anywhere,
        reason: RejectReason::OriginOverloaded,
    };
    assert_eq!(fields_of(&reject), (1010, empty().u64(42).f64(250.0).0));
    assert_eq!(
        fields_of(&Action::Fail { request, reason: RejectReason::RepeatNotAllowed }),
        (1020, empty().u64(42).0)
    );
    let timer = Action::SetTimer { at: 1000.5, token: 7 };
    assert_eq!(fields_of(&timer), (1040, empty().f64(1000.5).u32(7).0));
    assert_eq!(fields_of(&Action::HealthCheck(CACHE)), (1050, empty().cache().0));
    assert_eq!(fields_of(&Action::SubscribeEndpoints), (1100, empty().u8(1).0));
    assert_eq!(fields_of(&Action::Log("so".into())), (1080, empty().u16(2).text(b"so").0));
}

#[test]
fn panic_report_and_empty_reply() {
    let mut reply = Reply::default();
    assert_eq!(reply.frame(), [0; 8]);
    reply.push_fault(9, "panicked");
    assert_eq!(reply.frame()[8..], record(1090, empty().u16(9).u16(8).text(b"panicked")));
}
