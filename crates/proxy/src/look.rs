//! `peers`: what a running proxy knows of the others.

use crate::net::peers::{query_status, StatusReport};
use crate::program::Fault;
use crate::sidecar::codec;
use badgerramp_gossip::polling::KnownPoller;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Longest wait for the proxy's answer.
const WAIT: Duration = Duration::from_secs(2);

/// Asks the proxy of this file and prints what it knows.
pub(crate) fn run(file: &Path, at: Option<SocketAddr>, json: bool) -> Result<(), Fault> {
    let config = badgerramp_config::load(file)?;
    let Some(terms) = &config.peers else {
        return Err(Fault::Other(format!(
            "{}: no [peers]: this proxy asks for itself",
            file.display()
        )));
    };
    let address = at.unwrap_or(terms.listen);
    if address.port() == 0 {
        let fault = format!(
            "{}: peers.listen has port 0: found {address}, allowed is a port, or --at with the one in its log",
            file.display()
        );
        return Err(Fault::Other(fault));
    }
    let told =
        query_status(address, &codec(terms)?, WAIT).map_err(|e| Fault::Other(e.to_string()))?;
    if json {
        let text = serde_json::to_string(&told).map_err(|e| Fault::Other(e.to_string()))?;
        println!("{text}");
    } else {
        print!("{}", text(&told));
    }
    Ok(())
}

fn span(micros: u64) -> String {
    match micros {
        0..1_000_000 => format!("{} ms", micros / 1_000),
        _ => format!("{:.1} s", micros as f64 / 1e6),
    }
}

fn text(told: &StatusReport) -> String {
    let StatusReport {
        status: standing,
        rejected,
    } = told;
    let mut text = String::new();
    // Writing to a String does not fail.
    let mut line = |name: &str, value: String| {
        let _ = writeln!(text, "{name:<10}{value}");
    };
    line("proxy", standing.own.address.to_string());
    line(
        "alive",
        format!("{} proxies, this one included", standing.alive),
    );
    let list = match &standing.list {
        None => "none yet".to_owned(),
        Some(list) => {
            let from = list
                .source
                .map_or_else(|| "the list service".to_owned(), |a| a.to_string());
            let life = if list.version.incarnation > 1 {
                format!(" (life {})", list.version.incarnation)
            } else {
                String::new()
            };
            format!(
                "{}{life} of {from}, {} ago; {} hosts take calls",
                list.version.index,
                span(list.age),
                standing.endpoints
            )
        }
    };
    line("list", list);
    line(
        "start",
        if standing.converged {
            "over"
        } else {
            "under way"
        }
        .to_owned(),
    );
    for KnownPoller { status, age } in &standing.pollers {
        let who = if status.id == standing.own.id {
            " (this one)"
        } else {
            ""
        };
        let hears = match status.failures {
            0 => "hears the service".to_owned(),
            u32::MAX => "has not heard the service yet".to_owned(),
            failures => format!("{failures} questions failed"),
        };
        line(
            "asks",
            format!(
                "{:016x}{who}, {hears}, heard of {} ago",
                status.id.0,
                span(*age)
            ),
        );
    }
    let counts = &standing.metrics;
    line(
        "counts",
        format!(
            "{} questions, {} failed, {} lists doubted; {} messages sent ({} KiB), {} held back, {} taken, {} torn",
            counts.polls,
            counts.polls_failed,
            counts.quarantined,
            counts.sent,
            counts.sent_bytes / 1_024,
            counts.rate_limited,
            counts.accepted,
            counts.checksum_mismatch
        ),
    );
    let strange = [
        (rejected.malformed + counts.malformed, "of another form"),
        (rejected.unauthenticated, "under another secret or fleet"),
        (rejected.replayed, "taken before"),
        (rejected.send_failed, "not sent"),
    ];
    let strange: Vec<String> = strange
        .iter()
        .map(|(count, what)| format!("{count} {what}"))
        .collect();
    line("strange", strange.join(", "));
    text
}
