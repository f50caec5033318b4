//! Encodes the replies to the simulator.

use linnethook::interface::{Action, EndpointId, FillInstruction};

use super::Instance;

/// Codes of records in the protocol.
mod code {
    pub const FORWARD: u16 = 1000;
    pub const REJECT: u16 = 1010;
    pub const FAIL: u16 = 1020;
    pub const CANCEL_ATTEMPT: u16 = 1030;
    pub const SET_TIMER: u16 = 1040;
    pub const HEALTH_CHECK: u16 = 1050;
    pub const LOG: u16 = 1080;
    pub const FAULT: u16 = 1090;
    pub const SUBSCRIBE_ENDPOINTS: u16 = 1100;
    pub const FORWARD_WITH_FILL: u16 = 1120;
}

/// Positions of the flag bits of a fill instruction.
mod fill_bit {
    pub const COALESCE: u8 = 0;
    pub const ONLY_IF_CACHED: u8 = 1;
    pub const REVALIDATE: u8 = 3;
}

/// The records of one reply.
#[derive(Debug, Default)]
pub struct Reply {
    records: u32,
    body: Vec<u8>,
}

impl Reply {
    /// Adds an action of an instance. The protocol has no field for the reason of a rejection or failure.
    pub fn push(&mut self, instance: Instance, action: &Action) {
        match action {
            Action::Forward { request, endpoint, timeout, .. } => {
                self.record(code::FORWARD, instance, |out| {
                    out.extend(request.0.to_le_bytes());
                    out.extend(timeout.to_le_bytes());
                    out.extend(address(*endpoint));
                });
            }
            Action::ForwardWithFill { request, endpoint, timeout, fill, .. } => {
                self.record(code::FORWARD_WITH_FILL, instance, |out| {
                    out.extend(request.0.to_le_bytes());
                    out.extend(address(*endpoint));
                    out.extend(timeout.to_le_bytes());
                    encode_fill(out, fill);
                });
            }
            Action::CancelAttempt(attempt) => self.record(code::CANCEL_ATTEMPT, instance, |out| {
                out.extend(attempt.request.0.to_le_bytes());
                out.push(attempt.number);
            }),
            Action::Reject { request, retry_after, retry_scope: _, reason: _ } => {
                self.record(code::REJECT, instance, |out| {
                    out.extend(request.0.to_le_bytes());
                    out.extend(retry_after.to_le_bytes());
                });
            }
            Action::Fail { request, reason: _ } => {
                self.record(code::FAIL, instance, |out| out.extend(request.0.to_le_bytes()));
            }
            Action::SetTimer { at, token } => self.record(code::SET_TIMER, instance, |out| {
                out.extend(at.to_le_bytes());
                out.extend(token.to_le_bytes());
            }),
            Action::HealthCheck(endpoint) => {
                self.record(code::HEALTH_CHECK, instance, |out| out.extend(address(*endpoint)));
            }
            Action::SubscribeEndpoints => {
                self.record(code::SUBSCRIBE_ENDPOINTS, instance, |out| out.push(1));
            }
            Action::Log(line) => self.record(code::LOG, instance, |out| encode_text(out, line)),
        }
    }

    /// Adds the report that an instance has panicked.
    pub fn push_fault(&mut self, instance: Instance, message: &str) {
        self.record(code::FAULT, instance, |out| encode_text(out, message));
    }

    fn record(&mut self, code: u16, instance: Instance, encode_fields: impl FnOnce(&mut Vec<u8>)) {
        self.body.extend(code.to_le_bytes());
        let length_at = self.body.len();
        self.body.extend([0; 4]);
        self.body.extend(instance.to_le_bytes());
        encode_fields(&mut self.body);
        let length = (self.body.len() - length_at - 4) as u32;
        self.body[length_at..length_at + 4].copy_from_slice(&length.to_le_bytes());
        self.records += 1;
    }

    /// The reply as a frame: the number of records, the length of the body, and the body.
    pub fn frame(&self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.body.len());
        frame.extend(self.records.to_le_bytes());
        frame.extend((self.body.len() as u32).to_le_bytes());
        frame.extend(&self.body);
        frame
    }
}

/// Encodes a fill instruction. The protocol has no field for `max_stale_age`, because the simulator
/// suppresses no fill.
fn encode_fill(out: &mut Vec<u8>, fill: &FillInstruction) {
    out.extend(address(fill.source));
    out.push(fill.retention);
    out.extend(fill.max_age.to_le_bytes());
    out.push(
        u8::from(fill.coalesce) << fill_bit::COALESCE
            | u8::from(fill.only_if_cached) << fill_bit::ONLY_IF_CACHED
            | u8::from(fill.revalidate) << fill_bit::REVALIDATE,
    );
}

/// The address of an endpoint: six bytes in big-endian order.
fn address(endpoint: EndpointId) -> [u8; 6] {
    let [_, _, address @ ..] = endpoint.0.to_be_bytes();
    address
}

/// Encodes a text after its length; a text of more than 65,535 bytes is truncated.
fn encode_text(out: &mut Vec<u8>, text: &str) {
    let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
    out.extend((bytes.len() as u16).to_le_bytes());
    out.extend(bytes);
}
