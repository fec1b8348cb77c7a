//! The `peers` command: prints what a running proxy knows of its peers.

use crate::net::peers::{query_status, StatusReport};
use crate::program::Error;
use crate::sidecar::datagram_codec;
use badgerramp_gossip::polling::KnownPoller;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Time-out of the proxy's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Queries the proxy that runs with this operator's file and prints its status.
pub(crate) fn run(file: &Path, at: Option<SocketAddr>, json: bool) -> Result<(), Error> {
    let config = badgerramp_config::load(file)?;
    let Some(terms) = &config.peers else {
        return Err(Error::Other(format!(
            "{}: no [peers]: this proxy does not take part in gossip",
            file.display()
        )));
    };
    let address = at.unwrap_or(terms.listen);
    if address.port() == 0 {
        let error = format!(
            "{}: peers.listen has port 0: found {address}, give the address in the proxy's log with --at",
            file.display()
        );
        return Err(Error::Other(error));
    }
    let report = query_status(address, &datagram_codec(terms)?, REPLY_TIMEOUT)
        .map_err(|e| Error::Other(e.to_string()))?;
    if json {
        let text = serde_json::to_string(&report).map_err(|e| Error::Other(e.to_string()))?;
        println!("{text}");
    } else {
        print!("{}", text(&report));
    }
    Ok(())
}

fn format_duration(micros: u64) -> String {
    match micros {
        0..1_000_000 => format!("{} ms", micros / 1_000),
        _ => format!("{:.1} s", micros as f64 / 1e6),
    }
}

fn text(report: &StatusReport) -> String {
    let StatusReport {
        status: peer_status,
        rejected,
    } = report;
    let mut text = String::new();
    // Writing to a String does not fail.
    let mut add_line = |name: &str, value: String| {
        let _ = writeln!(text, "{name:<10}{value}");
    };
    add_line("proxy", peer_status.own.address.to_string());
    add_line(
        "alive",
        format!("{} proxies, this one included", peer_status.alive),
    );
    let list = match &peer_status.list {
        None => "none yet".to_owned(),
        Some(list) => {
            let source = list
                .source
                .map_or_else(|| "the list service".to_owned(), |a| a.to_string());
            let incarnation = if list.version.incarnation > 1 {
                format!(" (incarnation {})", list.version.incarnation)
            } else {
                String::new()
            };
            format!(
                "{}{incarnation} from {source}, {} ago; {} endpoints take calls",
                list.version.index,
                format_duration(list.age),
                peer_status.endpoints
            )
        }
    };
    add_line("list", list);
    add_line(
        "start",
        if peer_status.converged {
            "over"
        } else {
            "under way"
        }
        .to_owned(),
    );
    for KnownPoller { status, age } in &peer_status.pollers {
        let own_marker = if status.id == peer_status.own.id {
            " (this one)"
        } else {
            ""
        };
        let poll_result = match status.failures {
            0 => "last poll succeeded".to_owned(),
            u32::MAX => "no poll has succeeded yet".to_owned(),
            failures => format!("{failures} polls failed"),
        };
        add_line(
            "asks",
            format!(
                "{:016x}{own_marker}, {poll_result}, last heard from {} ago",
                status.id.0,
                format_duration(*age)
            ),
        );
    }
    let metrics = &peer_status.metrics;
    add_line(
        "counts",
        format!(
            "{} polls, {} failed, {} lists quarantined; {} messages sent ({} KiB), {} rate-limited, {} accepted, {} checksum mismatches",
            metrics.polls,
            metrics.polls_failed,
            metrics.quarantined,
            metrics.sent,
            metrics.sent_bytes / 1_024,
            metrics.rate_limited,
            metrics.accepted,
            metrics.checksum_mismatch
        ),
    );
    let rejected_counts = [
        (rejected.malformed + metrics.malformed, "malformed"),
        (rejected.unauthenticated, "under another secret or fleet"),
        (rejected.replayed, "replayed"),
        (rejected.send_failed, "not sent"),
    ];
    let rejected_counts: Vec<String> = rejected_counts
        .iter()
        .map(|(count, reason)| format!("{count} {reason}"))
        .collect();
    add_line("strange", rejected_counts.join(", "));
    text
}
