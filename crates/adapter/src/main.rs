//! `badgerramp-adapter`: hosts balancers on the wire of the platform's simulator, one JSON batch of events a line in, one
//! JSON reply of commands a line out. It translates names and numbers and decides nothing; a line that it cannot handle
//! ends it with a message that names the line.
#![forbid(unsafe_code)]

mod error;
mod host;
mod instance;
mod wire;

use error::AdapterError;
use host::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let reply = line
            .map_err(AdapterError::Unreadable)
            .and_then(|line| host.handle_line(&line));
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                eprintln!("badgerramp-adapter: line {}: {error}", index + 1);
                return ExitCode::FAILURE;
            }
        };
        let written = writeln!(output, "{reply}").and_then(|()| output.flush());
        if written.is_err() {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
