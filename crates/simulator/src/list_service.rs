//! The list service of a trial as a process of its own.

use std::path::PathBuf;
use std::process::ExitCode;

/// Runs the process: the argument is a file with the hosts' addresses.
pub fn main(mut arguments: impl Iterator<Item = std::ffi::OsString>) -> ExitCode {
    let Some(file) = arguments.next() else {
        eprintln!("badgerramp-sim: list service: no file");
        return ExitCode::from(2);
    };
    match run(PathBuf::from(file)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("badgerramp-sim: list service: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn run(file: PathBuf) -> Result<(), String> {
    badgerramp_fault_injection::process::raise_descriptor_limit();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(badgerramp_fault_injection::scale::list_service::serve(
        &file,
    ))
}
