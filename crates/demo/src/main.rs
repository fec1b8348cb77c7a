//! Runs the client proxy between faulty stand-in hosts and two classes of load, and checks the invariants.
#![forbid(unsafe_code)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

use badgerramp_testkit::{
    load, ExecutionCounts, Fault, HostModel, Ledger, ListEntry, ListService, LoadPlan, LoadResult,
    ModelHost, Proxy, RequestKind,
};
use clap::Parser;
use std::io::Write;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// First argument with which this executable runs as the client proxy: the demo starts itself as its child process.
const AS_PROXY: &str = "as-proxy";
/// The operator's file of the demo.
const OPERATOR_FILE: &str = include_str!("../../../deploy/demo.example.toml");
/// Maximum number of requests that are sent.
const MAX_REQUESTS: u64 = 60_000;

/// Runs the client proxy on loopback between stand-in hosts (one cold, one that fails fast, one that stalls, one that
/// drains) and two classes of load. Exits with status 1 if an invariant was violated.
#[derive(Parser)]
#[command(name = "badgerramp-demo", version)]
struct Cli {
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(3..=120))]
    seconds: u64,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args_os();
    let own = arguments.next();
    if std::env::args().nth(1).as_deref() == Some(AS_PROXY) {
        return badgerramp::cli::main(own.into_iter().chain(arguments.skip(1)));
    }
    let cli = Cli::parse();
    match demo(Duration::from_secs(cli.seconds)) {
        Ok(violations) if violations.is_empty() => {
            println!("\nall rules kept");
            ExitCode::SUCCESS
        }
        Ok(violations) => {
            violations
                .iter()
                .for_each(|violation| println!("\nBROKEN: {violation}"));
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("badgerramp-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The entry of a host in the endpoint list.
fn list_entry(host: &ModelHost, status: &'static str) -> ListEntry {
    ListEntry {
        name: host.name.clone(),
        address: host.address,
        zone: "liberia".to_owned(),
        group: host.group,
        status,
        since_ms: host.since_ms,
    }
}

/// Runs the demo and returns the violated invariants.
fn demo(duration: Duration) -> Result<Vec<String>, String> {
    let program = std::env::current_exe()
        .map_err(|e| format!("cannot determine the path of this executable: {e}"))?;
    let program = program
        .to_str()
        .ok_or("the path of this executable is not valid UTF-8")?;
    let ledger = Arc::new(Ledger::default());
    let model = |seed| HostModel {
        work: Duration::from_millis(20),
        seed,
        ..HostModel::default()
    };
    let fails_fast = Fault::Errors {
        share: 0.6,
        from: duration.mul_f64(0.2),
        until: duration.mul_f64(0.6),
    };
    let stalls = Fault::Stalls {
        every: Duration::from_secs(3),
        pause: Duration::from_millis(300),
    };
    let host = |name, group, model| ModelHost::start(name, group, model, &ledger);
    let mut hosts = vec![
        host("steady-1", 1, model(1)),
        host("steady-2", 1, model(2)),
        host(
            "fails-fast",
            2,
            HostModel {
                faults: vec![fails_fast],
                ..model(3)
            },
        ),
        host(
            "stalls",
            2,
            HostModel {
                faults: vec![stalls],
                ..model(4)
            },
        ),
        host("drains", 1, model(5)),
    ];
    let list_service = ListService::start(hosts.iter().map(|m| list_entry(m, "up")).collect());
    let file = OPERATOR_FILE.replace("127.0.0.1:8500", &list_service.address.to_string());
    let proxy = Proxy::sidecar(program, &[AS_PROXY], &file);
    let kind = |class: &str, timeout_ms, keyed, clients| RequestKind {
        class: class.to_owned(),
        timeout: Duration::from_millis(timeout_ms),
        keyed,
        clients,
        requests_per_s: 6.0,
    };
    let plan = LoadPlan {
        target: proxy.address,
        kinds: vec![
            kind("registro-entrada", 1_200, true, 24),
            kind("cobro-mensual", 1_500, false, 16),
        ],
        duration,
        max_requests: MAX_REQUESTS,
    };
    println!(
        "the proxy listens on {}; {} s of load over {} hosts",
        proxy.address,
        duration.as_secs(),
        hosts.len()
    );
    let (mut added, mut drained) = (false, false);
    let result = load(&plan, |elapsed, answered| {
        if !added && elapsed >= duration.mul_f64(0.3) {
            added = true;
            let cold_start = Some((0.3, Duration::from_millis(7_500)));
            let cold = ModelHost::start(
                "cold",
                2,
                HostModel {
                    cold_start,
                    ..model(6)
                },
                &ledger,
            );
            list_service.set(list_entry(&cold, "up"));
            hosts.push(cold);
        }
        if !drained && elapsed >= duration.mul_f64(0.5) {
            drained = true;
            if let Some(draining) = hosts.iter().find(|m| m.name == "drains") {
                draining.drain();
                list_service.set(list_entry(draining, "draining"));
            }
        }
        let phase = match (added, drained) {
            (_, true) => "one host is draining",
            (true, _) => "a cold host has joined",
            _ => "five hosts",
        };
        println!(
            "{:>4.0} s  {answered:>6} answered  {phase}",
            elapsed.as_secs_f64()
        );
        let _ = std::io::stdout().flush();
    });
    let counts = ledger.counts();
    print_table(&result, &counts);
    Ok(violations(&result, &counts, &hosts, &ledger))
}

/// Prints the results of each class and the counts of the hosts.
fn print_table(result: &LoadResult, counts: &ExecutionCounts) {
    println!(
        "\n{:<18}{:>8}{:>8}{:>8}{:>8}{:>8}{:>10}{:>9}{:>9}",
        "class", "sent", "served", "refused", "failed", "owed", "attempts", "p50 ms", "p99 ms"
    );
    for (kind, totals) in result {
        let attempts = counts
            .attempts
            .iter()
            .find(|a| a.0 == kind.class)
            .map_or(0, |a| a.1);
        let ms = |share| totals.latency_quantile(share).as_secs_f64() * 1e3;
        println!(
            "{:<18}{:>8}{:>8}{:>8}{:>8}{:>8}{attempts:>10}{:>9.1}{:>9.1}",
            kind.class,
            totals.sent,
            totals.served,
            totals.refused,
            totals.failed,
            totals.unanswered,
            ms(0.5),
            ms(0.99)
        );
    }
    println!(
        "\ncounted by the hosts: {} charges executed, {} of them twice; {} keys executed twice",
        counts.charges, counts.charges_executed_twice, counts.keys_executed_twice
    );
}

/// Descriptions of the violated invariants.
fn violations(
    result: &LoadResult,
    counts: &ExecutionCounts,
    hosts: &[ModelHost],
    ledger: &Ledger,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut check = |count: u64, text: &str| {
        if count > 0 {
            violations.push(format!("{count} {text}"));
        }
    };
    check(
        counts.charges_executed_twice as u64,
        "charges were executed twice",
    );
    check(
        counts.keys_executed_twice as u64,
        "keyed requests were executed twice",
    );
    check(
        result.iter().map(|r| r.1.unanswered).sum(),
        "requests had no final answer by their client's deadline",
    );
    let charges = result
        .iter()
        .filter(|r| !r.0.keyed)
        .flat_map(|r| &r.1.refused_ids);
    check(
        charges.filter(|name| ledger.charge_executed(name)).count() as u64,
        "charges were refused although they were executed",
    );
    check(
        hosts.iter().map(ModelHost::requests_after_drain).sum(),
        "requests were sent to a draining host after the grace period",
    );
    check(
        hosts.iter().filter(|m| m.has_collapsed()).count() as u64,
        "cold hosts collapsed under load",
    );
    let served: u64 = result.iter().map(|r| r.1.served).sum();
    check(u64::from(served == 0), "run in which nothing was served");
    violations
}

#[cfg(test)]
mod tests {
    use super::*;
    use badgerramp_testkit::Totals;

    /// Guards against a demo that reports success whatever happens.
    #[test]
    fn each_violated_invariant_is_reported() {
        let ledger = Arc::new(Ledger::default());
        let kind = RequestKind {
            class: "c".to_owned(),
            timeout: Duration::from_secs(1),
            keyed: false,
            clients: 1,
            requests_per_s: 1.0,
        };
        let totals = |served, unanswered| Totals {
            served,
            unanswered,
            ..Totals::default()
        };
        let good: LoadResult = vec![(kind.clone(), totals(1, 0))];
        let violation_count =
            |result: &LoadResult, counts| violations(result, &counts, &[], &ledger).len();
        assert_eq!(violation_count(&good, ExecutionCounts::default()), 0);
        assert_eq!(
            violation_count(
                &good,
                ExecutionCounts {
                    charges_executed_twice: 1,
                    ..ExecutionCounts::default()
                }
            ),
            1
        );
        assert_eq!(
            violation_count(
                &good,
                ExecutionCounts {
                    keys_executed_twice: 1,
                    ..ExecutionCounts::default()
                }
            ),
            1
        );
        assert_eq!(
            violation_count(
                &vec![(kind.clone(), totals(1, 1))],
                ExecutionCounts::default()
            ),
            1
        );
        assert_eq!(
            violation_count(&vec![(kind, totals(0, 0))], ExecutionCounts::default()),
            1
        );
    }
}
