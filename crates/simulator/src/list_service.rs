//! The list service of a fault test as a separate process.

use std::path::PathBuf;
use std::process::ExitCode;

/// Runs the process. The first argument names the file with the hosts' addresses.
pub fn main(mut arguments: impl Iterator<Item = std::ffi::OsString>) -> ExitCode {
    let Some(file) = arguments.next() else {
        eprintln!("badgerramp-sim: list service: expected a file with the hosts' addresses as the argument");
        return ExitCode::from(2);
    };
    match run(PathBuf::from(file)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgerramp-sim: list service: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(file: PathBuf) -> Result<(), String> {
    badgerramp_fault_injection::process::raise_descriptor_limit();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("failed to start the runtime: {e}"))?;
    runtime.block_on(badgerramp_fault_injection::scale::list_service::serve(
        &file,
    ))
}
