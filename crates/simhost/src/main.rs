//! Reads batches from standard input and writes one reply per batch to standard output.

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

use pewterwharf_simhost::{codec, host::Host};

/// Size of the input and of the output buffer.
const BUFFER_BYTES: usize = 1 << 16;

fn run() -> anyhow::Result<()> {
    let mut input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let mut host = Host::default();
    while let Some(batch) = codec::read_batch(&mut input)? {
        let reply = host.process(batch)?;
        output.write_all(&reply.finish())?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pewterwharf-simhost: {error:#}");
            ExitCode::FAILURE
        }
    }
}
