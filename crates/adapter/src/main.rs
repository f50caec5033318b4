//! Runs the decision module behind the simulator's protocol: batches on standard input, replies on standard
//! output.

mod codec;
mod host;

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

use codec::{decode_batch, BatchHeader, MalformedFrame, BATCH_HEADER_BYTES};
use host::{Host, HostError};

/// Why the adapter exits before the end of its input.
#[derive(Debug)]
enum AdapterError {
    Io(io::Error),
    TruncatedHeader { batch: u64, bytes: usize },
    TruncatedBody { batch: u64, bytes: usize, length: usize },
    Malformed { batch: u64, source: MalformedFrame },
    Host { batch: u64, source: HostError },
}

impl std::fmt::Display for AdapterError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(source) => write!(formatter, "{source}"),
            Self::TruncatedHeader { batch, bytes } => {
                let expected = BATCH_HEADER_BYTES;
                write!(
                    formatter,
                    "batch {batch}: input ends within a header: expected {expected} bytes, got {bytes}"
                )
            }
            Self::TruncatedBody { batch, bytes, length } => {
                write!(
                    formatter,
                    "batch {batch}: input ends within a body: expected {length} bytes, got {bytes}"
                )
            }
            Self::Malformed { batch, source } => write!(formatter, "batch {batch}: {source}"),
            Self::Host { batch, source } => write!(formatter, "batch {batch}: {source}"),
        }
    }
}

impl std::error::Error for AdapterError {}

impl From<io::Error> for AdapterError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

fn main() -> ExitCode {
    // A panic of the decision module is reported in the reply; standard error has only the line printed
    // below.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(BufReader::new(io::stdin().lock()), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linnethook-adapter: {}", error.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

/// Replies to each batch until the end of the input.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut body = Vec::new();
    let mut batch: u64 = 0;
    loop {
        batch += 1;
        let mut header = [0; BATCH_HEADER_BYTES];
        match read_up_to(&mut input, &mut header)? {
            0 => return Ok(()),
            BATCH_HEADER_BYTES => {}
            bytes => return Err(AdapterError::TruncatedHeader { batch, bytes }),
        }
        let malformed = |source| AdapterError::Malformed { batch, source };
        let header = BatchHeader::decode(&header).map_err(malformed)?;
        let length = header.length;
        body.resize(length, 0);
        let bytes = read_up_to(&mut input, &mut body)?;
        if bytes < length {
            return Err(AdapterError::TruncatedBody { batch, bytes, length });
        }
        let records = decode_batch(header, &body).map_err(malformed)?;
        let reply =
            host.execute(header.now, records).map_err(|source| AdapterError::Host { batch, source })?;
        output.write_all(&reply.frame())?;
        output.flush()?;
    }
}

/// Reads until `buffer` is full or the input ends, and returns the number of bytes read.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(n) => filled += n,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(filled)
}
