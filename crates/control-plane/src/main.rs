//! `badgerramp-control`, the program that runs a replica of the control plane.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    badgerramp_control_plane::cli::main(std::env::args_os())
}
