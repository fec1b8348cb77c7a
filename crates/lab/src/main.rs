//! `badgerramp-lab`: see `docs/lab.md`.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    badgerramp_lab::cli::main(std::env::args_os())
}
