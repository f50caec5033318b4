//! A client's request, as it is read from the fields of its frame.

use crate::buffers::BufferChain;
use crate::config::Limits;
use crate::policy_adapter::RequestSpec;
use crate::upstream::RequestMessage;

use super::codec::Fields;
use super::ClientStream;

/// A request that was received.
#[derive(Debug)]
pub struct ClientRequest {
    pub stream: ClientStream,
    pub spec: RequestSpec,
    pub message: RequestMessage,
}

/// Reads a request; `None` where a field is missing or out of range.
///
/// Caches answer requests that they can't use with an error, which would count against them.
pub fn parse_request(
    stream: ClientStream,
    fields: &Fields,
    body: BufferChain,
    limits: &Limits,
) -> Option<ClientRequest> {
    let class = fields.get("c")?;
    let id = fields.get("i").filter(|id| is_hex_id(id))?;
    let object = fields.get("o").filter(|object| is_hex_id(object))?;
    let wait = fields
        .get("d")
        .and_then(parse_decimal)
        .filter(|wait| (1.0..=limits.requests.max_wait_ms).contains(wait))?;
    let forwarded = [Some(class), fields.get("known"), fields.get("k")];
    if !forwarded.iter().flatten().all(|text| is_list_item(text)) {
        return None;
    }
    let number = |name: &str, most: u32| match fields.get(name) {
        Some(text) => parse_digits(text).filter(|number| *number <= most),
        None => Some(0),
    };
    let size_kb = match fields.get("m") {
        Some(text) => {
            parse_decimal(text).filter(|size| *size > 0.0 && *size <= limits.requests.max_size_kb)?
        }
        None => 0.0,
    };
    let repeat = match fields.get("r") {
        Some("1") => true,
        None | Some("0" | "") => false,
        Some(_) => return None,
    };
    if body.len() > limits.requests.max_body_bytes {
        return None;
    }
    let part = number("chunk", limits.requests.max_part)?;
    let group = number("tag", limits.requests.max_group)?;
    let spec = RequestSpec {
        class: class.to_string(),
        object: u64::from_str_radix(object, 16).ok()?,
        part,
        group,
        size_kb,
        repeat,
        budget: (wait - limits.requests.network_allowance_ms).max(0.0),
    };
    let message = RequestMessage {
        id: id.to_string(),
        class: class.to_string(),
        object: object.to_string(),
        part: fields.get("chunk").unwrap_or("0").to_string(),
        group,
        client_copy: fields.get("known").map(str::to_string),
        idempotency_key: fields.get("k").map(str::to_string),
        body,
    };
    Some(ClientRequest { stream, spec, message })
}

/// Whether a text can be forwarded to caches as it is, in a list that knows no quotes.
fn is_list_item(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic() && !b",=+".contains(&byte))
}

/// 16 hexadecimal digits, as ids and objects are.
fn is_hex_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn parse_digits(text: &str) -> Option<u32> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}

/// A plain number without a sign.
fn parse_decimal(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit() || b".eE-+".contains(&byte));
    text.parse().ok().filter(|number: &f64| plain && number.is_finite() && *number >= 0.0)
}
