//! `badgerramp-sim`: see `docs/simulator.md`.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    let mut arguments = std::env::args_os();
    let own = arguments.next();
    // A real play starts this very program as its proxies, and a trial as control too.
    match std::env::args().nth(1).as_deref() {
        Some(badgerramp_simulator::AS_PROXY) => {
            badgerramp::cli::main(own.into_iter().chain(arguments.skip(1)))
        }
        Some(badgerramp_simulator::AS_CONTROL) => {
            badgerramp_control_plane::cli::main(own.into_iter().chain(arguments.skip(1)))
        }
        Some(badgerramp_simulator::AS_HOLLOW_PROXIES) => {
            badgerramp_simulator::hollow_proxies::main(arguments.skip(1))
        }
        Some(badgerramp_simulator::AS_LIST_SERVICE) => {
            badgerramp_simulator::list_service::main(arguments.skip(1))
        }
        _ => badgerramp_simulator::cli::main(std::env::args_os()),
    }
}
