//! Reads the fields of one record; numbers are little-endian.

use linnethook::interface::{AttemptStatus, CacheStatus, Endpoint, EndpointId, EndpointPhase};

use super::{MalformedFrame, Result};

/// The fields of a record that have not been read yet.
pub struct FieldReader<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Offset of `bytes` in the frame.
    frame_offset: usize,
}

impl<'a> FieldReader<'a> {
    pub fn new(bytes: &'a [u8], frame_offset: usize) -> Self {
        Self { bytes, position: 0, frame_offset }
    }

    /// An error at the position of the next field.
    pub fn error(&self, message: String) -> MalformedFrame {
        MalformedFrame { message, offset: self.frame_offset + self.position }
    }

    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }

    /// The next `length` bytes.
    pub fn bytes(&mut self, length: usize) -> Result<&'a [u8]> {
        if length > self.remaining() {
            let message =
                format!("field of {length} bytes exceeds the record, {} bytes left", self.remaining());
            return Err(self.error(message));
        }
        let field = &self.bytes[self.position..self.position + length];
        self.position += length;
        Ok(field)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    pub fn u8(&mut self) -> Result<u8> {
        self.array::<1>().map(|[byte]| byte)
    }

    pub fn u16(&mut self) -> Result<u16> {
        self.array().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Result<u32> {
        self.array().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Result<u64> {
        self.array().map(u64::from_le_bytes)
    }

    /// A finite number of single precision.
    pub fn f32(&mut self) -> Result<f64> {
        let position = self.position;
        let value = self.array().map(f32::from_le_bytes)?;
        self.finite(f64::from(value), position)
    }

    /// A finite number of double precision.
    pub fn f64(&mut self) -> Result<f64> {
        let position = self.position;
        let value = self.array().map(f64::from_le_bytes)?;
        self.finite(value, position)
    }

    fn finite(&self, value: f64, position: usize) -> Result<f64> {
        if value.is_finite() {
            Ok(value)
        } else {
            let message = format!("expected a finite number, got {value}");
            Err(MalformedFrame { message, offset: self.frame_offset + position })
        }
    }

    /// Bytes after their length, which is encoded in two bytes.
    pub fn short_bytes(&mut self) -> Result<&'a [u8]> {
        let length = self.u16()?;
        self.bytes(usize::from(length))
    }

    /// Bytes after their length, which is encoded in four bytes.
    pub fn long_bytes(&mut self) -> Result<&'a [u8]> {
        let length = self.u32()?;
        self.bytes(length as usize)
    }

    /// An address of six bytes in big-endian order.
    pub fn endpoint_id(&mut self) -> Result<EndpointId> {
        let address: [u8; 6] = self.array()?;
        Ok(EndpointId(address.iter().fold(0, |id, &byte| id << 8 | u64::from(byte))))
    }

    /// One entry of an endpoint list.
    pub fn endpoint(&mut self) -> Result<Endpoint> {
        Ok(Endpoint {
            cell: self.u16()?,
            id: self.endpoint_id()?,
            weight: self.f32()?,
            zone: u16::from(self.u8()?),
            role: self.u16()?,
            started_at: self.f64()?,
            phase: self.endpoint_phase()?,
        })
    }

    fn endpoint_phase(&mut self) -> Result<EndpointPhase> {
        Ok(match self.u8()? {
            0 => EndpointPhase::Removed,
            1 => EndpointPhase::Ready,
            2 => EndpointPhase::Draining,
            other => return Err(self.error(format!("unknown endpoint phase {other}, expected 0 to 2"))),
        })
    }

    pub fn attempt_status(&mut self) -> Result<AttemptStatus> {
        Ok(match self.u16()? {
            200 => AttemptStatus::Ok,
            404 => AttemptStatus::CacheMiss,
            410 => AttemptStatus::NotExecuted,
            499 => AttemptStatus::Cancelled,
            500 => AttemptStatus::Error,
            502 => AttemptStatus::ConnectFailed,
            503 => AttemptStatus::Rejected,
            504 => AttemptStatus::TimedOut,
            598 => AttemptStatus::Reset,
            other => return Err(self.error(format!("unknown attempt status {other}"))),
        })
    }

    pub fn cache_status(&mut self) -> Result<Option<CacheStatus>> {
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
            other => return Err(self.error(format!("unknown cache status {other}, expected 0 to 10"))),
        })
    }

    /// The values of a load report after their number, which is encoded in one byte.
    pub fn load_report(&mut self) -> Result<Vec<f64>> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }

    /// Checks that all bytes have been read.
    pub fn finish(&self) -> Result<()> {
        if self.remaining() == 0 {
            Ok(())
        } else {
            Err(self
                .error(format!("{} bytes after the last field of a record, expected none", self.remaining())))
        }
    }
}
