//! Reads batches on standard input and writes one reply per batch on standard output.

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

use pewterwharf_simhost::{codec, host::Host};

fn serve() -> anyhow::Result<()> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = Host::default();
    while let Some(batch) = codec::read_batch(&mut input)? {
        let reply = host.batch(batch)?;
        output.write_all(&reply.finish())?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pewterwharf-simhost: {error:#}");
            ExitCode::FAILURE
        }
    }
}
