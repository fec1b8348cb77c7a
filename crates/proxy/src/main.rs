//! The client proxy; all of it is in the library.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    badgerramp::cli::main(std::env::args_os())
}
