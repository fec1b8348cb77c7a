//! Test of draining hosts: several proxies with the platform's settings and a list service whose open watches become
//! silent, under the faults of a schedule. The requests received by the hosts are compared with what each proxy had
//! been notified of.

mod checker;
mod schedule;
mod service;

pub use checker::Verdict;
pub use schedule::{FaultSchedule, Kind, KINDS};

use crate::clients::{call_and_disconnect, call_once, Ended, Try};
use crate::hosts::Hosts;
use crate::now;
use crate::process::{Folder, Process, ProcessSpec};
use badgerramp_policy::Micros;
use checker::{Histories, Restart};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rustix::process::Signal;
use serde::Serialize;
use service::{Service, Status};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// Allowance for delays on a busy machine, between the last time a proxy reads its list and the time a host records the
/// request, in microseconds.
const SLACK: Micros = 400_000;

/// Work of the list service for a poll that begins a watch; and, with the fault [`Kind::SlowService`], the total work
/// for one such poll of each proxy.
const POLL_WORK: Duration = Duration::from_millis(5);
const SLOW_POLL_WORK_FOR_ALL: Duration = Duration::from_millis(1_500);

/// New connections keep arriving for this long after a proxy received SIGTERM (the protocol allows up to 0.4 s).
const CLIENTS_CONTINUE_FOR: Duration = Duration::from_millis(300);

/// Size of the tested fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of proxies.
    pub proxies: usize,
    /// Number of hosts.
    pub hosts: usize,
    /// Calls per second over all proxies.
    pub rate: f64,
}

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// The fault schedule of the run.
    #[serde(rename = "course")]
    pub schedule: FaultSchedule,
    /// The violations that were found.
    pub verdict: Verdict,
    /// All calls.
    pub calls: usize,
    /// Calls without an answer from a proxy that was neither suspended nor killed.
    pub lost: usize,
    /// Description of each lost call: how it ended, and its times relative to the last signal sent to the proxy.
    pub lost_calls: Vec<String>,
    /// Idempotency keys that hosts executed more than once.
    pub twice: usize,
    /// Exit status and end of the log of each proxy that ended unexpectedly.
    pub crashed: Vec<String>,
}

impl RunReport {
    /// Whether no invariant was violated.
    pub fn held(&self) -> bool {
        self.verdict.late == 0
            && self.verdict.gone == 0
            && self.lost == 0
            && self.twice == 0
            && self.crashed.is_empty()
    }
}

fn configuration(
    schedule: &FaultSchedule,
    listener: SocketAddr,
    initial_list: &str,
    proxies: usize,
    seed: u64,
) -> String {
    let (drain_grace, discovery) = (
        schedule.drain_grace.as_micros(),
        if schedule.pushed { "push" } else { "ask" },
    );
    format!(
        r#"{{"name":"p","listen":"127.0.0.1:0","discovery":"{listener}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{initial_list},
"settings":{{"balancers":{proxies},"tick_us":1000,"discovery":"{discovery}","locality":"",
"classes":[{{"name":"do","objective_us":800000,"deadline_us":1500000,"worth":1,"idempotency":"guarded",
"dedup_scope":"all","repeat_window_us":2500000}}],
"limits":{{"cancel":true,"max_attempts":3,"second_copies":false,"retry_after":true,"max_retry_after_us":700000,
"conn_idle_us":60000000,"connect_timeout_us":1000000,"max_open":1000}},
"invariants":{{"cold_from":0.3,"cold_us":2000000,"tip_after_us":2000000,"ask_every_us":10000000,
"drain_grace_us":{drain_grace}}}}}}}"#
    )
}

/// Runs one fault schedule with this program and the arguments that precede its own.
///
/// # Errors
/// Returns an error if the test itself failed.
pub async fn run(
    program: &(PathBuf, Vec<String>),
    size: Size,
    schedule: &FaultSchedule,
) -> Result<RunReport, String> {
    let folder = Folder::new(&format!("drains-{}", schedule.seed))?;
    let hosts = Hosts::start(size.hosts, 0.0, &["/do"], schedule.seed).await?;
    let poll_work = schedule
        .target_of(Kind::SlowService)
        .map_or(POLL_WORK, |_| {
            SLOW_POLL_WORK_FOR_ALL / u32::try_from(size.proxies).unwrap_or(u32::MAX)
        });
    let poll_work = (!schedule.pushed).then_some(poll_work);
    let mut service = Service::new(hosts.addresses.clone(), poll_work);
    let initial_list = service.initial_list();
    let (mut proxies, mut listeners) = (Vec::new(), Vec::new());
    for proxy in 0..size.proxies {
        let listener = service.add_listener(proxy).await?;
        let seed = schedule.seed.wrapping_mul(1_000).wrapping_add(proxy as u64);
        let text = configuration(schedule, listener, &initial_list, size.proxies, seed);
        let path = folder.write(&format!("p{proxy}.json"), &text, false)?;
        let environment = vec![("RELAY_CONFIG", path)];
        let spec = ProcessSpec {
            program: program.0.clone(),
            arguments: program.1.clone(),
            debug_filter: Vec::new(),
            environment,
        };
        proxies.push(Process::start(spec).await?);
        listeners.push((listener, text));
    }
    let mut at = Vec::new();
    for proxy in &mut proxies {
        at.push(proxy.listen_address().await?);
    }
    let addresses = Arc::new(RwLock::new(at));
    let disconnected_at = Arc::new(Mutex::new(HashMap::new()));
    let clients = tokio::spawn(send_calls(
        Arc::clone(&addresses),
        size.rate,
        schedule.clone(),
        Arc::clone(&disconnected_at),
    ));
    let AppliedSteps {
        outages,
        signals,
        restarts,
    } = apply_schedule(
        schedule,
        &folder,
        &mut service,
        &mut proxies,
        (&listeners, &addresses),
    )
    .await?;
    let attempts = clients.await.map_err(|e| e.to_string())?;
    let (records, changes) = service.history();
    let arrivals = hosts.arrivals();
    let drain_grace = u64::try_from(schedule.drain_grace.as_micros()).unwrap_or(u64::MAX);
    let histories = Histories {
        records: &records,
        changes: &changes,
        arrivals: &arrivals,
        drain_grace,
        pushed: schedule.pushed,
        outages: &outages,
        restarts: &restarts,
        disconnected_at: &disconnected_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone(),
    };
    // A proxy that was suspended or killed may lose the calls it holds. One that received SIGTERM must answer them, but
    // accepts no new ones.
    let exempt = [
        schedule.target_of(Kind::Stop),
        schedule.target_of(Kind::Kill),
    ];
    let ends = schedule.target_of(Kind::Restart);
    let lost = attempts.iter().filter(|attempt| match attempt.ended {
        Ended::Cut | Ended::Silence => !exempt.contains(&Some(attempt.proxy)),
        Ended::Nobody => !exempt.contains(&Some(attempt.proxy)) && ends != Some(attempt.proxy),
        Ended::Status(_) => false,
    });
    let lost_calls: Vec<String> = lost.map(|attempt| describe(attempt, &signals)).collect();
    let crashed = proxies
        .iter_mut()
        .filter_map(Process::exit_report)
        .collect();
    Ok(RunReport {
        schedule: schedule.clone(),
        verdict: histories.check(SLACK),
        calls: attempts.len(),
        lost: lost_calls.len(),
        lost_calls,
        twice: hosts.executed().values().filter(|&&n| n > 1).count(),
        crashed,
    })
}

/// Describes a lost call.
fn describe(attempt: &Try, signals: &[(Micros, usize, Signal)]) -> String {
    let Try {
        key,
        proxy,
        from,
        until,
        ended,
    } = attempt;
    let last = signals
        .iter()
        .rev()
        .find(|(at, target, _)| target == proxy && at <= until);
    let Some((at, _, signal)) = last else {
        return format!(
            "call {key} to proxy {proxy}: {ended:?} after {} us",
            until - from
        );
    };
    let [began, finished] = [from, until].map(|moment| moment.cast_signed() - at.cast_signed());
    format!("call {key} to proxy {proxy}: {ended:?}, began {began} us and ended {finished} us after {signal:?}")
}

/// What was done to the processes during a run.
#[derive(Default)]
struct AppliedSteps {
    /// When the service was down.
    outages: Vec<(Micros, Micros)>,
    /// The signals sent: time, proxy and signal.
    signals: Vec<(Micros, usize, Signal)>,
    /// The processes that took the place of earlier ones.
    restarts: Vec<Restart>,
}

/// Carries out the fault schedule.
async fn apply_schedule(
    schedule: &FaultSchedule,
    folder: &Folder,
    service: &mut Service,
    proxies: &mut [Process],
    (listeners, addresses): (&[(SocketAddr, String)], &RwLock<Vec<SocketAddr>>),
) -> Result<AppliedSteps, String> {
    let start = tokio::time::Instant::now();
    let mut rng = Pcg32::seed_from_u64(schedule.seed ^ 1);
    // The steps and their times, in order.
    let mut steps: Vec<(Duration, Step)> = vec![(schedule.silent_at, Step::SilenceWatches)];
    steps.extend(
        schedule
            .drains
            .iter()
            .map(|&(at, host)| (at, Step::Drain(host))),
    );
    let first = schedule
        .drains
        .iter()
        .map(|d| d.0)
        .min()
        .unwrap_or(schedule.silent_at);
    let ms = Duration::from_millis;
    for &(kind, target) in &schedule.faults {
        match kind {
            Kind::Reset => steps.push((first.saturating_sub(ms(100)), Step::ResetConnections)),
            Kind::DelayedAnswers => steps.push((
                Duration::ZERO,
                Step::DelayAnswers(ms(rng.gen_range(50..900))),
            )),
            Kind::SilentAgain => steps.push((
                schedule.silent_at + ms(rng.gen_range(7_000..9_000)),
                Step::SilenceWatches,
            )),
            Kind::Down => {
                let from = first.saturating_sub(ms(rng.gen_range(0..300)));
                steps.push((from, Step::ServiceDown));
                steps.push((from + ms(rng.gen_range(500..4_000)), Step::ServiceUp));
            }
            Kind::MoveService => steps.push((first + ms(rng.gen_range(0..2_000)), Step::Move)),
            Kind::Stop => {
                let from = first.saturating_sub(ms(rng.gen_range(0..300)));
                steps.push((from, Step::Signal(target, Signal::STOP)));
                steps.push((
                    from + ms(rng.gen_range(500..5_000)),
                    Step::Signal(target, Signal::CONT),
                ));
            }
            Kind::Kill => steps.push((
                first + ms(rng.gen_range(0..1_500)),
                Step::KillAndRestart(target),
            )),
            Kind::HostReturns => {
                let (at, host) = schedule.drains[0];
                steps.push((at + ms(rng.gen_range(50..1_000)), Step::MarkUp(host)));
            }
            Kind::Restart => {
                let from = first + ms(rng.gen_range(0..1_500));
                steps.push((from, Step::Signal(target, Signal::TERM)));
                steps.push((from + CLIENTS_CONTINUE_FOR, Step::StopClients(target)));
                steps.push((
                    from + CLIENTS_CONTINUE_FOR + ms(2_000),
                    Step::AwaitExitAndRestart(target),
                ));
            }
            Kind::SlowService | Kind::ClientsDisconnect => {}
        }
    }
    steps.sort_by_key(|d| d.0);
    let AppliedSteps {
        mut outages,
        mut signals,
        mut restarts,
    } = AppliedSteps::default();
    for (at, step) in steps {
        tokio::time::sleep_until(start + at).await;
        match step {
            Step::SilenceWatches => service.silence_watches(),
            Step::ResetConnections => service.reset_connections(),
            Step::DelayAnswers(delay) => service.set_first_answer_delay(delay),
            Step::Drain(host) => service.change(host, Status::Draining),
            Step::MarkUp(host) => {
                let unix = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                service.change(
                    host,
                    Status::Up(u64::try_from(unix.as_millis()).unwrap_or(0)),
                );
            }
            Step::ServiceDown => {
                outages.push((now(), Micros::MAX));
                service.set_down(true);
            }
            Step::ServiceUp => {
                service.set_down(false);
                if let Some(last) = outages.last_mut() {
                    last.1 = now();
                }
            }
            Step::Move => {
                for (proxy, (listener, text)) in listeners.iter().enumerate() {
                    let other = service.add_listener(proxy).await?.to_string();
                    folder.write(
                        &format!("p{proxy}.json"),
                        &text.replace(&listener.to_string(), &other),
                        false,
                    )?;
                    proxies[proxy].signal(Signal::HUP);
                }
            }
            Step::Signal(proxy, signal) => {
                signals.push((now(), proxy, signal));
                proxies[proxy].signal(signal);
            }
            Step::StopClients(proxy) => {
                if let Ok(mut all) = addresses.write() {
                    all[proxy].set_port(0);
                }
            }
            Step::KillAndRestart(proxy) | Step::AwaitExitAndRestart(proxy) => {
                if matches!(step, Step::KillAndRestart(_)) {
                    proxies[proxy].kill().await;
                } else {
                    proxies[proxy].terminate().await?;
                }
                restarts.push(Restart { at: now(), proxy });
                proxies[proxy].spawn()?;
                let address = proxies[proxy].listen_address().await?;
                if let Ok(mut all) = addresses.write() {
                    all[proxy] = address;
                }
            }
        }
    }
    tokio::time::sleep_until(start + schedule.length).await;
    Ok(AppliedSteps {
        outages,
        signals,
        restarts,
    })
}

/// One action of a fault schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    SilenceWatches,
    ResetConnections,
    DelayAnswers(Duration),
    Drain(usize),
    MarkUp(usize),
    ServiceDown,
    ServiceUp,
    Move,
    Signal(usize, Signal),
    KillAndRestart(usize),
    /// Clients send no more calls to this proxy.
    StopClients(usize),
    /// Waits until the proxy has ended, and restarts it.
    AwaitExitAndRestart(usize),
}

/// Calls the proxies in turn until shortly before the end of the run. Records in `disconnected_at` which clients close
/// their connection without waiting for the answer, and when.
async fn send_calls(
    addresses: Arc<RwLock<Vec<SocketAddr>>>,
    rate: f64,
    schedule: FaultSchedule,
    disconnected_at: Arc<Mutex<HashMap<String, Micros>>>,
) -> Vec<Try> {
    let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
    let (mut in_flight, mut attempts) = (tokio::task::JoinSet::new(), Vec::new());
    let end = sleep(schedule.length.saturating_sub(Duration::from_millis(1_600)));
    tokio::pin!(end);
    for number in 0.. {
        tokio::select! {
            () = &mut end => break,
            _ = interval.tick() => {}
        }
        let Some((proxy, address)) = addresses.read().ok().and_then(|all| {
            let proxy = number % all.len();
            Some((proxy, *all.get(proxy)?))
        }) else {
            break;
        };
        if address.port() == 0 {
            continue;
        }
        if schedule.target_of(Kind::ClientsDisconnect).is_some() && number % 3 == 0 {
            let (disconnected_at, key) =
                (Arc::clone(&disconnected_at), format!("p{proxy}-{number}"));
            tokio::spawn(async move {
                call_and_disconnect(address, "/do", &key, number % 2 == 0).await;
                disconnected_at
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .insert(key, now());
            });
            continue;
        }
        in_flight.spawn(async move {
            let (key, from) = (format!("p{proxy}-{number}"), now());
            let (ended, _) = call_once(address, "/do", &key).await;
            Try {
                key,
                proxy,
                from,
                until: now(),
                ended,
            }
        });
        while let Some(done) = in_flight.try_join_next() {
            attempts.extend(done.ok());
        }
    }
    while let Some(done) = in_flight.join_next().await {
        attempts.extend(done.ok());
    }
    attempts
}
