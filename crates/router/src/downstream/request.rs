//! Parsing a client's request from the fields of its frame.

use crate::buffers::BufferChain;
use crate::config::Limits;
use crate::policy_adapter::{Ms, RequestSpec};
use crate::upstream::RequestMessage;

use super::codec::{field, Fields};
use super::ClientStream;

/// A valid request of a client.
#[derive(Debug)]
pub struct ClientRequest {
    pub stream: ClientStream,
    /// The earliest time at which it can have arrived, if it may have been left unread.
    pub arrived_at: Option<Ms>,
    pub spec: RequestSpec,
    pub message: RequestMessage,
}

impl ClientRequest {
    /// Subtracts the time since it arrived from the time that its client still waits: it may have been left unread
    /// in a long turn.
    pub fn deduct_unread_time(&mut self, now: Ms) {
        let unread_for = self.arrived_at.map_or(0.0, |arrived_at| (now - arrived_at).max(0.0));
        self.spec.budget = (self.spec.budget - unread_for).max(0.0);
    }
}

/// Parses a request; `None` if a field is missing or out of range.
///
/// Invalid requests are not forwarded: a cache would answer them with an error, which would count against the
/// cache.
pub fn parse_request(
    stream: ClientStream,
    fields: &Fields,
    body: BufferChain,
    limits: &Limits,
) -> Option<ClientRequest> {
    let class = fields.get(field::CLASS)?;
    let id = fields.get(field::ID).filter(|id| is_hex_id(id))?;
    let object = fields.get(field::OBJECT).filter(|object| is_hex_id(object))?;
    let wait = parse_decimal(fields.get(field::WAIT_MS)?)?;
    let client_copy = fields.get(field::CLIENT_COPY);
    let idempotency_key = fields.get(field::IDEMPOTENCY_KEY);
    let forwarded = [Some(class), client_copy, idempotency_key];
    let is_valid = (1.0..=limits.requests.max_wait_ms).contains(&wait)
        && forwarded.iter().flatten().all(|text| is_list_item(text))
        && body.len() <= limits.requests.max_body_bytes;
    if !is_valid {
        return None;
    }
    let part = parse_number(fields, field::PART, limits.requests.max_part)?;
    let group = parse_number(fields, field::GROUP, limits.requests.max_group)?;
    let spec = RequestSpec {
        class: class.to_string(),
        object: u64::from_str_radix(object, 16).ok()?,
        part,
        group,
        size_kb: parse_size_kb(fields, limits.requests.max_size_kb)?,
        repeat: parse_repeat(fields)?,
        budget: (wait - limits.requests.network_allowance_ms).max(0.0),
    };
    let message = RequestMessage {
        id: id.to_string(),
        class: class.to_string(),
        object: object.to_string(),
        part: fields.get(field::PART).unwrap_or("0").to_string(),
        group,
        client_copy: client_copy.map(str::to_string),
        idempotency_key: idempotency_key.map(str::to_string),
        body,
    };
    Some(ClientRequest { stream, arrived_at: None, spec, message })
}

/// An integer up to `max`; 0 if the field is missing.
fn parse_number(fields: &Fields, name: &str, max: u32) -> Option<u32> {
    match fields.get(name) {
        Some(text) => parse_digits(text).filter(|number| *number <= max),
        None => Some(0),
    }
}

/// The size of the object as stated by the client; 0 if the field is missing.
fn parse_size_kb(fields: &Fields, max: f64) -> Option<f64> {
    match fields.get(field::SIZE_KB) {
        Some(text) => parse_decimal(text).filter(|size| *size > 0.0 && *size <= max),
        None => Some(0.0),
    }
}

/// Whether the client has marked the request as a repetition.
fn parse_repeat(fields: &Fields) -> Option<bool> {
    match fields.get(field::REPEAT) {
        Some("1") => Some(true),
        None | Some("0" | "") => Some(false),
        Some(_) => None,
    }
}

/// Whether a text can be forwarded to caches unchanged: their field lists have no quoting.
fn is_list_item(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic() && !b",=+".contains(&byte))
}

/// Whether a text has the form of ids and objects: 16 hexadecimal digits.
fn is_hex_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn parse_digits(text: &str) -> Option<u32> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}

/// A finite number of at least 0, in decimal or exponent notation.
fn parse_decimal(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit() || b".eE-+".contains(&byte));
    text.parse().ok().filter(|number: &f64| plain && number.is_finite() && *number >= 0.0)
}
