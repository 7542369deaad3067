//! Runs instances of opalpulley's decision core for the simulator. It reads batches of records from standard input and
//! writes a reply to each batch to standard output.

mod error;
mod field_reader;
mod frame;
mod host;
mod record;
mod reply;

use error::WireError;
use std::io::{self, Write};
use std::process::ExitCode;

/// Replies to batches until the input ends after a whole batch. Fails at the first error of a batch, a reply, the input
/// or the output.
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
