//! `badgerramp-lab`: see `docs/lab.md`.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    let mut arguments = std::env::args_os();
    let own = arguments.next();
    // A real play starts this very program as its proxies.
    if std::env::args().nth(1).as_deref() == Some(badgerramp_lab::AS_PROXY) {
        return badgerramp::cli::main(own.into_iter().chain(arguments.skip(1)));
    }
    badgerramp_lab::cli::main(std::env::args_os())
}
