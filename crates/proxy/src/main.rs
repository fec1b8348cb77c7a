//! The executable of the client proxy; see the library for the code.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    badgerramp::cli::main(std::env::args_os())
}
