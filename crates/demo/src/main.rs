//! Runs the real program between stand-in hosts in trouble and two classes of load, and holds it to the rules.
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

/// The word that makes this very program the client proxy: the demo starts itself as its child.
const AS_PROXY: &str = "as-proxy";
const FILE: &str = include_str!("../../../deploy/demo.example.toml");
/// Requests that are sent at the most.
const REQUESTS_MOST: u64 = 60_000;

/// Stand-in hosts (one cold, one that fails fast, one that stalls, one that drains), the real program, and two classes
/// of load on loopback. Exits 1 if a rule broke.
#[derive(Parser)]
#[command(name = "badgerramp-demo", version)]
struct Cli {
    /// How long the load goes on, in seconds.
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
        Ok(broken) if broken.is_empty() => {
            println!("\nall rules kept");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            broken.iter().for_each(|rule| println!("\nBROKEN: {rule}"));
            ExitCode::FAILURE
        }
        Err(fault) => {
            eprintln!("badgerramp-demo: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn listed(member: &ModelHost, status: &'static str) -> ListEntry {
    ListEntry {
        name: member.name.clone(),
        address: member.address,
        zone: "liberia".to_owned(),
        group: member.group,
        status,
        since_ms: member.since_ms,
    }
}

/// Runs all and tells which rules broke.
fn demo(time: Duration) -> Result<Vec<String>, String> {
    let program = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    let program = program.to_str().ok_or("this program's path is no text")?;
    let ledger = Arc::new(Ledger::default());
    let model = |seed| HostModel {
        work: Duration::from_millis(20),
        seed,
        ..HostModel::default()
    };
    let fails = Fault::Errors {
        share: 0.6,
        from: time.mul_f64(0.2),
        until: time.mul_f64(0.6),
    };
    let stalls = Fault::Stalls {
        every: Duration::from_secs(3),
        pause: Duration::from_millis(300),
    };
    let member = |name, group, model| ModelHost::start(name, group, model, &ledger);
    let mut members = vec![
        member("steady-1", 1, model(1)),
        member("steady-2", 1, model(2)),
        member(
            "fails-fast",
            2,
            HostModel {
                faults: vec![fails],
                ..model(3)
            },
        ),
        member(
            "stalls",
            2,
            HostModel {
                faults: vec![stalls],
                ..model(4)
            },
        ),
        member("drains", 1, model(5)),
    ];
    let catalog = ListService::start(members.iter().map(|m| listed(m, "up")).collect());
    let file = FILE.replace("127.0.0.1:8500", &catalog.address.to_string());
    let proxy = Proxy::sidecar(program, &[AS_PROXY], &file);
    let kind = |class: &str, waits, keyed, clients| RequestKind {
        class: class.to_owned(),
        timeout: Duration::from_millis(waits),
        keyed,
        clients,
        requests_per_s: 6.0,
    };
    let course = LoadPlan {
        target: proxy.address,
        kinds: vec![
            kind("registro-entrada", 1_200, true, 24),
            kind("cobro-mensual", 1_500, false, 16),
        ],
        duration: time,
        max_requests: REQUESTS_MOST,
    };
    println!(
        "the program listens on {}; {} s of load over {} hosts",
        proxy.address,
        time.as_secs(),
        members.len()
    );
    let (mut added, mut drained) = (false, false);
    let result = load(&course, |gone, answered| {
        if !added && gone >= time.mul_f64(0.3) {
            added = true;
            let cold = Some((0.3, Duration::from_millis(7_500)));
            let cold = ModelHost::start(
                "cold",
                2,
                HostModel {
                    cold_start: cold,
                    ..model(6)
                },
                &ledger,
            );
            catalog.set(listed(&cold, "up"));
            members.push(cold);
        }
        if !drained && gone >= time.mul_f64(0.5) {
            drained = true;
            if let Some(drains) = members.iter().find(|m| m.name == "drains") {
                drains.drain();
                catalog.set(listed(drains, "draining"));
            }
        }
        let what = match (added, drained) {
            (_, true) => "one host drains",
            (true, _) => "a cold host has come",
            _ => "five hosts",
        };
        println!(
            "{:>4.0} s  {answered:>6} answered  {what}",
            gone.as_secs_f64()
        );
        let _ = std::io::stdout().flush();
    });
    let tally = ledger.tally();
    table(&result, &tally);
    Ok(broken(&result, &tally, &members, &ledger))
}

fn table(result: &LoadResult, tally: &ExecutionCounts) {
    println!(
        "\n{:<18}{:>8}{:>8}{:>8}{:>8}{:>8}{:>10}{:>9}{:>9}",
        "class", "sent", "served", "refused", "failed", "owed", "attempts", "p50 ms", "p99 ms"
    );
    for (kind, totals) in result {
        let attempts = tally
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
        tally.charges, tally.charges_executed_twice, tally.keys_executed_twice
    );
}

/// The rules that broke, in words.
fn broken(
    result: &LoadResult,
    tally: &ExecutionCounts,
    members: &[ModelHost],
    ledger: &Ledger,
) -> Vec<String> {
    let mut broken = Vec::new();
    let mut rule = |count: u64, text: &str| {
        if count > 0 {
            broken.push(format!("{count} {text}"));
        }
    };
    rule(
        tally.charges_executed_twice as u64,
        "charges were executed twice",
    );
    rule(
        tally.keys_executed_twice as u64,
        "keyed requests were executed twice",
    );
    rule(
        result.iter().map(|r| r.1.unanswered).sum(),
        "requests have no final answer in their client's time",
    );
    let charges = result
        .iter()
        .filter(|r| !r.0.keyed)
        .flat_map(|r| &r.1.refused_ids);
    rule(
        charges.filter(|name| ledger.charged(name)).count() as u64,
        "charges were refused though they ran",
    );
    rule(
        members.iter().map(ModelHost::requests_after_drain).sum(),
        "requests went to a host that drains",
    );
    rule(
        members.iter().filter(|m| m.has_collapsed()).count() as u64,
        "cold hosts were pushed over",
    );
    let served: u64 = result.iter().map(|r| r.1.served).sum();
    rule(u64::from(served == 0), "run in which nothing was served");
    broken
}

#[cfg(test)]
mod tests {
    use super::*;
    use badgerramp_testkit::Totals;

    /// A demo that can't fail would prove nothing.
    #[test]
    fn each_broken_rule_is_told() {
        let ledger = Arc::new(Ledger::default());
        let kind = RequestKind {
            class: "c".to_owned(),
            timeout: Duration::from_secs(1),
            keyed: false,
            clients: 1,
            requests_per_s: 1.0,
        };
        let totals = |served, owed| Totals {
            served,
            unanswered: owed,
            ..Totals::default()
        };
        let good: LoadResult = vec![(kind.clone(), totals(1, 0))];
        let told = |result: &LoadResult, tally| broken(result, &tally, &[], &ledger).len();
        assert_eq!(told(&good, ExecutionCounts::default()), 0);
        assert_eq!(
            told(
                &good,
                ExecutionCounts {
                    charges_executed_twice: 1,
                    ..ExecutionCounts::default()
                }
            ),
            1
        );
        assert_eq!(
            told(
                &good,
                ExecutionCounts {
                    keys_executed_twice: 1,
                    ..ExecutionCounts::default()
                }
            ),
            1
        );
        assert_eq!(
            told(
                &vec![(kind.clone(), totals(1, 1))],
                ExecutionCounts::default()
            ),
            1
        );
        assert_eq!(
            told(&vec![(kind, totals(0, 0))], ExecutionCounts::default()),
            1
        );
    }
}
