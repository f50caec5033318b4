//! Decodes the batches that the simulator sends.

use linnethook::interface::{
    AttemptId, AttemptOutcome, AttemptStatus, EndpointUpdate, Event, LoadReport, Ms, ObjectId, Request,
    RequestId,
};

use super::fields::FieldReader;
use super::{MalformedFrame, Record, Result, ENDPOINT_LISTS};

/// Length of the header of a batch.
pub const BATCH_HEADER_BYTES: usize = 16;
/// Length of the header of a record: its code and the length of its fields.
const RECORD_HEADER_BYTES: usize = 6;
/// Length of one entry of an endpoint list.
const ENDPOINT_BYTES: usize = 24;
/// Maximum length of the body of a batch; a longer one is malformed and not read.
const MAX_BATCH_BYTES: usize = 1 << 30;

/// Codes of records in the protocol.
mod code {
    pub const HEALTH_CHECK: u16 = 1000;
    pub const RESPONSE_STARTED: u16 = 1010;
    pub const CLIENT_DISCONNECTED: u16 = 1020;
    pub const TIMER: u16 = 1030;
    pub const UPDATE_ENDPOINTS: u16 = 1040;
    pub const PEER_MESSAGE: u16 = 1050;
    pub const PURGE: u16 = 1060;
    pub const START_INSTANCE: u16 = 1070;
    pub const ATTEMPT_FINISHED: u16 = 1080;
    pub const REQUEST: u16 = 1090;
    pub const DEFINE_LIST: u16 = 1100;
    pub const STOP_INSTANCE: u16 = 1110;
}

/// Flag bits of a request.
mod request_bit {
    pub const CLIENT_RETRY: u8 = 2;
    pub const WRITE: u8 = 4;
}

/// The header of a batch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchHeader {
    /// Number of records in the body.
    pub records: u32,
    /// Length of the body in bytes.
    pub length: usize,
    /// The time of the batch.
    pub now: Ms,
}

impl BatchHeader {
    /// Decodes a header.
    ///
    /// # Errors
    ///
    /// The length is too large, or too small for the number of records.
    pub fn decode(bytes: &[u8; BATCH_HEADER_BYTES]) -> Result<Self> {
        let mut fields = FieldReader::new(bytes, 0);
        let (records, length, now) = (fields.u32()?, fields.u32()? as usize, fields.f64()?);
        let min_length = (records as usize).saturating_mul(RECORD_HEADER_BYTES);
        if length > MAX_BATCH_BYTES || min_length > length {
            return Err(MalformedFrame {
                message: format!(
                    "batch of {records} records: expected {min_length} to {MAX_BATCH_BYTES} bytes, got {length}"
                ),
                offset: 0,
            });
        }
        Ok(Self { records, length, now })
    }
}

/// Decodes all records in the body of a batch.
///
/// # Errors
///
/// The first record that is malformed.
pub fn decode_batch(header: BatchHeader, body: &[u8]) -> Result<Vec<Record>> {
    let mut position = 0;
    let mut records = Vec::with_capacity(header.records as usize);
    for _ in 0..header.records {
        let offset = BATCH_HEADER_BYTES + position;
        let mut head = FieldReader::new(&body[position..], offset);
        let (code, length) = (head.u16()?, head.u32()? as usize);
        let start = position + RECORD_HEADER_BYTES;
        let Some(end) = start.checked_add(length).filter(|&end| end <= body.len()) else {
            let message =
                format!("record of {length} bytes exceeds the batch, {} bytes left", head.remaining());
            return Err(MalformedFrame { message, offset });
        };
        let mut fields = FieldReader::new(&body[start..end], BATCH_HEADER_BYTES + start);
        records.push(decode_record(code, &mut fields, offset)?);
        fields.finish()?;
        position = end;
    }
    if position != body.len() {
        let message = format!("{} bytes after the last record, expected none", body.len() - position);
        return Err(MalformedFrame { message, offset: BATCH_HEADER_BYTES + position });
    }
    Ok(records)
}

fn decode_record(code: u16, fields: &mut FieldReader, offset: usize) -> Result<Record> {
    match code {
        code::START_INSTANCE => Ok(Record::StartInstance {
            instance: fields.u16()?,
            seed: fields.u64()?,
            settings: fields.long_bytes()?.to_vec(),
        }),
        code::STOP_INSTANCE => Ok(Record::StopInstance { instance: fields.u16()? }),
        code::DEFINE_LIST => decode_list(fields),
        code::UPDATE_ENDPOINTS => decode_update(fields),
        code::PEER_MESSAGE => decode_peer_message(fields),
        code::REQUEST => decode_event(fields, decode_request),
        code::RESPONSE_STARTED => decode_event(fields, decode_response_started),
        code::CLIENT_DISCONNECTED => {
            decode_event(fields, |fields| Ok(Event::ClientDisconnected(RequestId(fields.u64()?))))
        }
        code::TIMER => decode_event(fields, |fields| Ok(Event::Timer(fields.u32()?))),
        code::PURGE => decode_event(fields, decode_purge),
        code::ATTEMPT_FINISHED => decode_reporting_event(fields, decode_outcome),
        code::HEALTH_CHECK => decode_reporting_event(fields, decode_health_check),
        other => Err(MalformedFrame { message: format!("unknown record code {other}"), offset }),
    }
}

fn decode_list(fields: &mut FieldReader) -> Result<Record> {
    let (list, count) = (fields.u32()? as usize, fields.u32()? as usize);
    if list >= ENDPOINT_LISTS {
        return Err(fields.error(format!("endpoint list {list}, expected a number below {ENDPOINT_LISTS}")));
    }
    if count.checked_mul(ENDPOINT_BYTES) != Some(fields.remaining()) {
        return Err(fields
            .error(format!("{count} endpoints of {ENDPOINT_BYTES} bytes in {} bytes", fields.remaining())));
    }
    let endpoints = (0..count).map(|_| fields.endpoint()).collect::<Result<_>>()?;
    Ok(Record::DefineList { list, endpoints })
}

fn decode_update(fields: &mut FieldReader) -> Result<Record> {
    let instance = fields.u16()?;
    let _version = fields.u64()?;
    let update = match fields.u8()? {
        0 => EndpointUpdate::Incremental,
        1 | 2 => EndpointUpdate::Snapshot,
        3 => EndpointUpdate::Unavailable,
        other => {
            return Err(fields.error(format!("unknown kind {other} of endpoint update, expected 0 to 3")))
        }
    };
    let list = fields.u32()? as usize;
    Ok(Record::UpdateEndpoints { instance, update, list })
}

fn decode_peer_message(fields: &mut FieldReader) -> Result<Record> {
    let instance = fields.u16()?;
    let _sender = fields.u32()?;
    let _message = fields.short_bytes()?;
    Ok(Record::PeerMessage { instance })
}

fn decode_event(
    fields: &mut FieldReader,
    decode: impl FnOnce(&mut FieldReader) -> Result<Event>,
) -> Result<Record> {
    let instance = fields.u16()?;
    let event = decode(fields)?;
    Ok(Record::Event { instance, event, report: Vec::new() })
}

/// Decodes an event that is followed by a load report.
fn decode_reporting_event(
    fields: &mut FieldReader,
    decode: impl FnOnce(&mut FieldReader) -> Result<Event>,
) -> Result<Record> {
    let instance = fields.u16()?;
    let event = decode(fields)?;
    let report = fields.load_report()?;
    Ok(Record::Event { instance, event, report })
}

fn decode_request(fields: &mut FieldReader) -> Result<Event> {
    let id = RequestId(fields.u64()?);
    let part = fields.f32()? as u32;
    let bits = fields.u8()?;
    let class = fields.u16()?;
    let size_kb = fields.f32()?;
    let group = fields.f32()? as u32;
    let _tenant = fields.u32()?;
    let object = ObjectId(fields.u64()?);
    let time_limit = fields.f64()?;
    Ok(Event::Request(Request {
        id,
        object,
        part,
        group,
        class,
        size_kb,
        client_retry: bits & request_bit::CLIENT_RETRY != 0,
        is_write: bits & request_bit::WRITE != 0,
        time_limit,
    }))
}

fn decode_response_started(fields: &mut FieldReader) -> Result<Event> {
    let request = RequestId(fields.u64()?);
    let _endpoint = fields.endpoint_id()?;
    let number = fields.u8()?;
    let _elapsed = fields.f64()?;
    Ok(Event::ResponseStarted(AttemptId { request, number }))
}

fn decode_purge(fields: &mut FieldReader) -> Result<Event> {
    let object = Some(fields.u64()?).filter(|&object| object != 0).map(ObjectId);
    Ok(Event::Purge { object, group: u32::from(fields.u16()?), age: fields.f64()? })
}

fn decode_outcome(fields: &mut FieldReader) -> Result<Event> {
    let request = RequestId(fields.u64()?);
    let number = fields.u8()?;
    let status = fields.attempt_status()?;
    let endpoint = fields.endpoint_id()?;
    let source_wait = fields.f64()?;
    let elapsed = fields.f64()?;
    let cache_status = fields.cache_status()?;
    let request_finished = fields.u8()? != 0;
    Ok(Event::AttemptFinished(AttemptOutcome {
        attempt: AttemptId { request, number },
        endpoint,
        status,
        request_finished,
        elapsed,
        source_wait,
        cache_status,
        load_report: LoadReport::default(),
    }))
}

fn decode_health_check(fields: &mut FieldReader) -> Result<Event> {
    let _elapsed = fields.f64()?;
    let healthy = fields.attempt_status()? == AttemptStatus::Ok;
    let endpoint = fields.endpoint_id()?;
    Ok(Event::HealthCheck { endpoint, healthy, load_report: LoadReport::default() })
}

#[cfg(test)]
#[path = "../../tests/unit/codec.rs"]
mod tests;
