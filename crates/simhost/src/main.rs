//! Hosts instances of opalpulley's decision core on the simulator's wire, over standard input and output.

mod error;
mod field_reader;
mod frame;
mod host;
mod record;
mod reply;

use error::WireError;
use std::io::{self, Write};
use std::process::ExitCode;

/// Answers batches until the input ends.
fn serve() -> Result<(), WireError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    let mut body = Vec::new();
    while let Some(header) = frame::read_batch(&mut input, &mut body)? {
        let reply = host.handle_batch(header, &body)?;
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("opalpulley-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
