//! Runs the decision module on the simulator's wire: standard input to standard output.

mod codec;
mod host;

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

use codec::{decode_batch, BatchHeader, MalformedFrame, BATCH_HEADER_BYTES};
use host::{Host, HostError};

/// Why the adapter ends before its input does.
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
                write!(formatter, "batch {batch}: the input ends {bytes} bytes into a header")
            }
            Self::TruncatedBody { batch, bytes, length } => {
                write!(formatter, "batch {batch}: the input ends after {bytes} of {length} bytes")
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
    // A panic inside the module is reported on the wire; standard error is for the one line below.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(BufReader::new(io::stdin().lock()), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linnethook-adapter: {}", error.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

/// Answers one batch after another until the input ends.
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

/// Fills `buffer`, or as much of it as there is before the input ends.
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
