//! The simulator's frames: batches of events in, replies of actions out.

use std::fmt;

use linnethook::interface::*;

/// What is wrong with a frame, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed {
    pub what: String,
    /// Bytes from the start of the frame.
    pub at: usize,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {} of the batch", self.what, self.at)
    }
}

impl std::error::Error for Malformed {}

type Result<T> = std::result::Result<T, Malformed>;

pub const BATCH_HEADER: usize = 16;
const RECORD_HEADER: usize = 6;
/// Frames above this are taken for garbage rather than waited for.
const LARGEST_BATCH: usize = 1 << 30;
/// Numbered lists go from 0 to one below this.
pub const LISTS: usize = 16;

pub type Instance = u16;

/// One record of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    Open {
        instance: Instance,
        seed: u64,
        settings: Vec<u8>,
    },
    DefineList {
        list: usize,
        rows: Vec<Endpoint>,
    },
    Fleet {
        instance: Instance,
        kind: EndpointUpdate,
        list: usize,
    },
    PowerOff {
        instance: Instance,
    },
    Event {
        instance: Instance,
        event: Event,
    },
    /// A message from another instance, which no decision uses.
    Datagram {
        instance: Instance,
    },
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchHeader {
    pub records: u32,
    pub length: usize,
    pub now: Ms,
}

impl BatchHeader {
    pub fn decode(bytes: &[u8; BATCH_HEADER]) -> Result<Self> {
        let mut fields = Fields { bytes, at: 0, base: 0 };
        let (records, length, now) = (fields.u32()?, fields.u32()? as usize, fields.f64()?);
        if length > LARGEST_BATCH || (records as usize).saturating_mul(RECORD_HEADER) > length {
            return Err(Malformed { what: format!("{records} records in {length} bytes"), at: 0 });
        }
        Ok(Self { records, length, now })
    }
}

/// All records of a batch's body. `fields` says, by instance, what its load reports hold.
pub fn decode_batch(header: BatchHeader, body: &[u8]) -> Result<Vec<(Input, Vec<f64>)>> {
    let mut at = 0;
    let mut inputs = Vec::with_capacity(header.records as usize);
    for _ in 0..header.records {
        let mut head = Fields { bytes: &body[at..], at: 0, base: BATCH_HEADER + at };
        let (code, length) = (head.u16()?, head.u32()? as usize);
        let start = at + RECORD_HEADER;
        let Some(end) = start.checked_add(length).filter(|&end| end <= body.len()) else {
            return Err(Malformed {
                what: format!("a record of {length} bytes that passes the batch's end"),
                at: BATCH_HEADER + at,
            });
        };
        let mut fields = Fields { bytes: &body[start..end], at: 0, base: BATCH_HEADER + start };
        inputs.push(decode_record(code, &mut fields, BATCH_HEADER + at)?);
        fields.finish()?;
        at = end;
    }
    if at != body.len() {
        return Err(Malformed {
            what: format!("{} bytes after the last record", body.len() - at),
            at: BATCH_HEADER + at,
        });
    }
    Ok(inputs)
}

/// Decodes one record; load reports come back beside it as they stand on the wire.
fn decode_record(code: u16, f: &mut Fields, start: usize) -> Result<(Input, Vec<f64>)> {
    let mut report = Vec::new();
    let input = match code {
        1070 => Input::Open { instance: f.u16()?, seed: f.u64()?, settings: f.counted(u32::MAX)?.to_vec() },
        1100 => {
            let (list, count) = (f.u32()? as usize, f.u32()? as usize);
            if list >= LISTS {
                return Err(f.wrong(format!("list number {list}")));
            }
            if count.checked_mul(24) != Some(f.left()) {
                return Err(f.wrong(format!("{count} entries in {} bytes", f.left())));
            }
            let rows = (0..count).map(|_| f.entry()).collect::<Result<_>>()?;
            Input::DefineList { list, rows }
        }
        1040 => {
            let instance = f.u16()?;
            f.u64()?;
            let kind = match f.u8()? {
                0 => EndpointUpdate::Incremental,
                1 | 2 => EndpointUpdate::Snapshot,
                3 => EndpointUpdate::Unavailable,
                other => return Err(f.wrong(format!("unknown kind of list {other}"))),
            };
            let list = f.u32()? as usize;
            Input::Fleet { instance, kind, list }
        }
        1110 => Input::PowerOff { instance: f.u16()? },
        1050 => {
            let instance = f.u16()?;
            f.u32()?;
            f.counted(u32::from(u16::MAX))?;
            Input::Datagram { instance }
        }
        1090 | 1010 | 1020 | 1030 | 1060 | 1080 | 1000 => {
            let instance = f.u16()?;
            Input::Event { instance, event: decode_event(code, f, &mut report)? }
        }
        other => return Err(Malformed { what: format!("unknown code {other}"), at: start }),
    };
    Ok((input, report))
}

fn decode_event(code: u16, f: &mut Fields, report: &mut Vec<f64>) -> Result<Event> {
    Ok(match code {
        1090 => {
            let id = RequestId(f.u64()?);
            let part = f.f32()?;
            let bits = f.u8()?;
            let class = f.u16()?;
            let size_kb = f.f32()?;
            let group = f.f32()?;
            f.u32()?;
            Event::Request(Request {
                id,
                object: ObjectId(f.u64()?),
                part: part as u32,
                group: group as u32,
                class,
                size_kb,
                client_retry: bits & 2 != 0,
                is_write: bits & 4 != 0,
                time_limit: f.f64()?,
            })
        }
        1010 => {
            let request = RequestId(f.u64()?);
            f.cache()?;
            let number = f.u8()?;
            f.f64()?;
            Event::ResponseStarted(AttemptId { request, number })
        }
        1020 => Event::ClientDisconnected(RequestId(f.u64()?)),
        1030 => Event::Timer(f.u32()?),
        1060 => {
            let object = Some(f.u64()?).filter(|&object| object != 0).map(ObjectId);
            Event::Purge { object, group: u32::from(f.u16()?), age: f.f64()? }
        }
        1080 => {
            let request = RequestId(f.u64()?);
            let number = f.u8()?;
            let status = f.status()?;
            let cache = f.cache()?;
            let waited = f.f64()?;
            let took = f.f64()?;
            let note = f.note()?;
            let settled = f.u8()? != 0;
            *report = f.report()?;
            Event::AttemptFinished(AttemptOutcome {
                attempt: AttemptId { request, number },
                endpoint: cache,
                status,
                request_finished: settled,
                elapsed: took,
                source_wait: waited,
                cache_status: note,
                load_report: LoadReport::default(),
            })
        }
        _ => {
            f.f64()?;
            let ok = f.status()? == AttemptStatus::Ok;
            let cache = f.cache()?;
            *report = f.report()?;
            Event::HealthCheck { endpoint: cache, healthy: ok, load_report: LoadReport::default() }
        }
    })
}

/// Reads fields one after another.
struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
    /// Where `bytes` begins in the frame.
    base: usize,
}

impl<'a> Fields<'a> {
    fn wrong(&self, what: String) -> Malformed {
        Malformed { what, at: self.base + self.at }
    }

    fn left(&self) -> usize {
        self.bytes.len() - self.at
    }

    fn take(&mut self, n: usize) -> Result<&'a [u8]> {
        if n > self.left() {
            return Err(self.wrong(format!("a field of {n} bytes where {} are left", self.left())));
        }
        let taken = &self.bytes[self.at..self.at + n];
        self.at += n;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    fn u8(&mut self) -> Result<u8> {
        self.array::<1>().map(|[byte]| byte)
    }

    fn u16(&mut self) -> Result<u16> {
        self.array().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Result<u32> {
        self.array().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Result<u64> {
        self.array().map(u64::from_le_bytes)
    }

    fn f32(&mut self) -> Result<f64> {
        let at = self.at;
        let value = self.array().map(f32::from_le_bytes)?;
        self.finite(f64::from(value), at)
    }

    fn f64(&mut self) -> Result<f64> {
        let at = self.at;
        let value = self.array().map(f64::from_le_bytes)?;
        self.finite(value, at)
    }

    fn finite(&self, value: f64, at: usize) -> Result<f64> {
        if value.is_finite() {
            Ok(value)
        } else {
            Err(Malformed { what: "a value that is no number".into(), at: self.base + at })
        }
    }

    fn counted(&mut self, most: u32) -> Result<&'a [u8]> {
        let count = if most == u32::MAX { self.u32()? } else { u32::from(self.u16()?) };
        self.take(count as usize)
    }

    fn cache(&mut self) -> Result<EndpointId> {
        let bytes: [u8; 6] = self.array()?;
        Ok(EndpointId(bytes.iter().fold(0, |id, &byte| id << 8 | u64::from(byte))))
    }

    fn entry(&mut self) -> Result<Endpoint> {
        Ok(Endpoint {
            cell: self.u16()?,
            id: self.cache()?,
            weight: self.f32()?,
            zone: u16::from(self.u8()?),
            role: self.u16()?,
            started_at: self.f64()?,
            phase: match self.u8()? {
                0 => EndpointPhase::Removed,
                1 => EndpointPhase::Ready,
                2 => EndpointPhase::Draining,
                other => return Err(self.wrong(format!("unknown phase {other}"))),
            },
        })
    }

    fn status(&mut self) -> Result<AttemptStatus> {
        Ok(match self.u16()? {
            200 => AttemptStatus::Ok,
            500 => AttemptStatus::Error,
            503 => AttemptStatus::Rejected,
            504 => AttemptStatus::TimedOut,
            502 => AttemptStatus::ConnectFailed,
            598 => AttemptStatus::Reset,
            499 => AttemptStatus::Cancelled,
            410 => AttemptStatus::NeverSent,
            404 => AttemptStatus::CacheMiss,
            other => return Err(self.wrong(format!("unknown outcome {other}"))),
        })
    }

    fn note(&mut self) -> Result<Option<CacheStatus>> {
        Ok(match self.u32()? {
            0 => None,
            1 => Some(CacheStatus::Hit),
            2 => Some(CacheStatus::FilledByParent),
            3 => Some(CacheStatus::FilledByOrigin),
            4 => Some(CacheStatus::Coalesced),
            5 => Some(CacheStatus::Stale),
            6 => Some(CacheStatus::SourceRejected),
            7 => Some(CacheStatus::SourceUnreachable),
            8 => Some(CacheStatus::SourceMiss),
            9 => Some(CacheStatus::NoCapacity),
            10 => Some(CacheStatus::OriginFailed),
            other => return Err(self.wrong(format!("unknown note {other}"))),
        })
    }

    fn report(&mut self) -> Result<Vec<f64>> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }

    fn finish(&self) -> Result<()> {
        if self.left() == 0 {
            Ok(())
        } else {
            Err(self.wrong(format!("{} bytes too many in a record", self.left())))
        }
    }
}

/// The records of one reply.
#[derive(Debug, Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    pub fn push(&mut self, instance: Instance, action: &Action) {
        match action {
            Action::Forward { request, endpoint: cache, timeout } => self.record(1000, instance, |out| {
                out.extend(request.0.to_le_bytes());
                out.extend(timeout.to_le_bytes());
                out.extend(address(*cache));
            }),
            Action::ForwardWithFill { request, endpoint: cache, timeout, fill } => {
                self.record(1120, instance, |out| {
                    out.extend(request.0.to_le_bytes());
                    out.extend(address(*cache));
                    out.extend(timeout.to_le_bytes());
                    out.extend(address(fill.source));
                    out.push(fill.retention);
                    out.extend(fill.max_age.to_le_bytes());
                    let bits = u8::from(fill.coalesce)
                        | u8::from(fill.only_if_cached) << 1
                        | u8::from(fill.revalidate) << 3;
                    out.push(bits);
                })
            }
            Action::CancelAttempt(attempt) => self.record(1030, instance, |out| {
                out.extend(attempt.request.0.to_le_bytes());
                out.push(attempt.number);
            }),
            Action::Reject { request, retry_after, reason: _ } => self.record(1010, instance, |out| {
                out.extend(request.0.to_le_bytes());
                out.extend(retry_after.to_le_bytes());
            }),
            Action::Fail { request, reason: _ } => {
                self.record(1020, instance, |out| out.extend(request.0.to_le_bytes()));
            }
            Action::SetTimer { at, token } => self.record(1040, instance, |out| {
                out.extend(at.to_le_bytes());
                out.extend(token.to_le_bytes());
            }),
            Action::HealthCheck(cache) => self.record(1050, instance, |out| out.extend(address(*cache))),
            Action::SubscribeEndpoints => self.record(1100, instance, |out| out.push(1)),
            Action::Log(line) => self.record(1080, instance, |out| text(out, line)),
        }
    }

    /// Reports that the decision module has failed.
    pub fn fault(&mut self, instance: Instance, line: &str) {
        self.record(1090, instance, |out| text(out, line));
    }

    fn record(&mut self, code: u16, instance: Instance, fields: impl FnOnce(&mut Vec<u8>)) {
        self.body.extend(code.to_le_bytes());
        let length_at = self.body.len();
        self.body.extend([0; 4]);
        self.body.extend(instance.to_le_bytes());
        fields(&mut self.body);
        let length = (self.body.len() - length_at - 4) as u32;
        self.body[length_at..length_at + 4].copy_from_slice(&length.to_le_bytes());
        self.count += 1;
    }

    /// The reply as it goes out.
    pub fn frame(&self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.body.len());
        frame.extend(self.count.to_le_bytes());
        frame.extend((self.body.len() as u32).to_le_bytes());
        frame.extend(&self.body);
        frame
    }
}

fn address(cache: EndpointId) -> [u8; 6] {
    let [_, _, bytes @ ..] = cache.0.to_be_bytes();
    bytes
}

fn text(out: &mut Vec<u8>, line: &str) {
    let bytes = &line.as_bytes()[..line.len().min(usize::from(u16::MAX))];
    out.extend((bytes.len() as u16).to_le_bytes());
    out.extend(bytes);
}

#[cfg(test)]
mod tests;
