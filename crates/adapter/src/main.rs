//! Plays the decision module on the simulator's wire: standard input to standard output.

mod codec;
mod host;

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

use codec::{decode_batch, BatchHeader, BATCH_HEADER};
use host::Host;

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    // A fault inside the module goes out on the wire; standard error keeps to one line.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(BufReader::new(io::stdin().lock()), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("linnethook-adapter: {}", failure.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

/// Answers batch after batch until the input ends.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), Failure> {
    let mut host = Host::default();
    let mut body = Vec::new();
    let mut batch: u64 = 0;
    loop {
        batch += 1;
        let mut header = [0; BATCH_HEADER];
        match read_up_to(&mut input, &mut header)? {
            0 => return Ok(()),
            BATCH_HEADER => {}
            n => return Err(format!("batch {batch}: the input ends {n} bytes into a header").into()),
        }
        let header = BatchHeader::decode(&header).map_err(|wrong| format!("batch {batch}: {wrong}"))?;
        body.resize(header.length, 0);
        let n = read_up_to(&mut input, &mut body)?;
        if n < header.length {
            let length = header.length;
            return Err(format!("batch {batch}: the input ends after {n} of {length} bytes").into());
        }
        let inputs = decode_batch(header, &body).map_err(|wrong| format!("batch {batch}: {wrong}"))?;
        let reply = host.play(header.now, inputs).map_err(|wrong| format!("batch {batch}: {wrong}"))?;
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
            Err(wrong) if wrong.kind() == io::ErrorKind::Interrupted => {}
            Err(wrong) => return Err(wrong),
        }
    }
    Ok(filled)
}
