//! The `badgerramp-sim` program. `docs/simulator.md` describes its use.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    let mut arguments = std::env::args_os();
    let program_name = arguments.next();
    // Real-time runs start this program again as their proxies; fault tests also as the control plane and other roles.
    match std::env::args().nth(1).as_deref() {
        Some(badgerramp_simulator::AS_PROXY) => {
            badgerramp::cli::main(program_name.into_iter().chain(arguments.skip(1)))
        }
        Some(badgerramp_simulator::AS_CONTROL) => {
            badgerramp_control_plane::cli::main(program_name.into_iter().chain(arguments.skip(1)))
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
