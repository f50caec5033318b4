//! A client of a router's binary frame protocol.

use std::io::{self, Read, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::time::Duration;

/// A received frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Frame type: 66 is an answer, 81 the reply to a readiness query.
    pub kind: u8,
    pub stream: u32,
    /// In an answer 1 is served, 2 rejected, other values failed; in a readiness reply 1 is ready.
    pub code: u8,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A connection to a router.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects, with a time-out of 20 s for reads.
    pub fn connect(address: impl ToSocketAddrs) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self { stream })
    }

    /// Sends a request on a stream.
    pub fn ask(&mut self, stream: u32, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        self.stream.write_all(&request(stream, fields, body))
    }

    /// Cancels the request of a stream.
    pub fn give_up(&mut self, stream: u32) -> io::Result<()> {
        self.stream.write_all(&cancellation(stream))
    }

    /// Queries whether the router is ready.
    pub fn ask_ready(&mut self, stream: u32) -> io::Result<()> {
        self.stream.write_all(&readiness_query(stream))
    }

    /// Reads the next frame.
    pub fn read(&mut self) -> io::Result<Frame> {
        let mut head = [0; 9];
        self.stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        let mut payload = vec![0; length.saturating_sub(5)];
        self.stream.read_exact(&mut payload)?;
        let mut rest = &payload[..];
        let mut code = 0;
        let mut fields = Vec::new();
        if !rest.is_empty() {
            code = number(&mut rest, 1)? as u8;
            for _ in 0..number(&mut rest, 1)? {
                let name = text(&mut rest, 1)?;
                fields.push((name, text(&mut rest, 2)?));
            }
        }
        Ok(Frame { kind: head[4], stream, code, fields, body: rest.to_vec() })
    }
}

/// Encodes a request.
pub fn request(stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.bytes());
    }
    payload.extend(body);
    frame(65, stream, &payload)
}

/// Encodes the cancellation of a request.
pub fn cancellation(stream: u32) -> Vec<u8> {
    frame(67, stream, &[])
}

/// Encodes a query whether the router is ready.
pub fn readiness_query(stream: u32) -> Vec<u8> {
    frame(80, stream, &[0])
}

fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = ((payload.len() + 5) as u32).to_be_bytes().to_vec();
    out.push(kind);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

fn number(rest: &mut &[u8], size: usize) -> io::Result<usize> {
    let bytes = rest.split_off(..size).ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(bytes.iter().fold(0, |number, &byte| number << 8 | usize::from(byte)))
}

fn text(rest: &mut &[u8], size: usize) -> io::Result<String> {
    let length = number(rest, size)?;
    let bytes = rest.split_off(..length).ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(String::from_utf8_lossy(bytes).into_owned())
}
