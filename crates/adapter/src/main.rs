//! `badgerramp-adapter`: runs balancers behind the wire protocol of the platform's simulator. Each
//! line of input is a JSON batch of events, and each line of output is a JSON reply with commands.
//! The adapter translates names and ids and makes no decisions. On a line that it cannot handle it
//! exits with an error that gives the line number.
#![forbid(unsafe_code)]

mod error;
mod host;
mod instance;
mod wire;

use error::AdapterError;
use host::InstanceHost;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = InstanceHost::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let reply = line
            .map_err(AdapterError::ReadInput)
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
