//! The trial of hosts that leave: several proxies on the platform's terms, a list service whose open watches fall silent,
//! and whatever else a course names. What came to the hosts is held against what each proxy had been told.

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
use checker::Histories;
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

/// The ways of a busy machine, from a proxy's last look at its list to the host's note.
const SLACK: Micros = 400_000;

/// What a question that begins a watch takes the service; and, where it is slow, what one of each proxy takes together.
const POLL_WORK: Duration = Duration::from_millis(5);
const SLOW_POLL_WORK_FOR_ALL: Duration = Duration::from_millis(1_500);

/// New connections go on coming for so long after a proxy was told to end (the protocol's most is 0.4 s).
const CLIENTS_CONTINUE_FOR: Duration = Duration::from_millis(300);

/// How large a course is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Proxies.
    pub proxies: usize,
    /// Hosts.
    pub hosts: usize,
    /// Calls a second over all proxies.
    pub rate: f64,
}

/// What a course came to.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// What was played.
    #[serde(rename = "course")]
    pub schedule: FaultSchedule,
    /// What came too late.
    pub verdict: Verdict,
    /// Calls, and those without an answer from a proxy that ran all the time.
    pub calls: usize,
    /// See `calls`.
    pub lost: usize,
    /// The lost calls, in words: which, how each ended, and its times since the proxy's last signal.
    pub lost_calls: Vec<String>,
    /// Keys that hosts executed more than once.
    pub twice: usize,
    /// Proxies that ended by themselves, with the ends of their logs.
    pub crashed: Vec<String>,
}

impl RunReport {
    /// Did all hold?
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

/// Plays one course with this program and the arguments before its own.
///
/// # Errors
/// If it could not be played.
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
    let AppliedSteps { outages, signals } = apply_schedule(
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
        disconnected_at: &disconnected_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone(),
    };
    // A proxy that stood still or was killed has lost what it held. One that was told to end has not, but takes no more.
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

/// A lost call in words.
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

/// What came of a course's steps.
#[derive(Default)]
struct AppliedSteps {
    /// When the service was down.
    outages: Vec<(Micros, Micros)>,
    /// When which proxy was sent which signal.
    signals: Vec<(Micros, usize, Signal)>,
}

/// Carries the course out.
async fn apply_schedule(
    schedule: &FaultSchedule,
    folder: &Folder,
    service: &mut Service,
    proxies: &mut [Process],
    (listeners, addresses): (&[(SocketAddr, String)], &RwLock<Vec<SocketAddr>>),
) -> Result<AppliedSteps, String> {
    let start = tokio::time::Instant::now();
    let mut rng = Pcg32::seed_from_u64(schedule.seed ^ 1);
    // What is to be done when, in order.
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
            Kind::MoveService => {
                steps.push((first + ms(rng.gen_range(0..2_000)), Step::MoveService))
            }
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
            Step::MoveService => {
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
                proxies[proxy].spawn()?;
                let address = proxies[proxy].listen_address().await?;
                if let Ok(mut all) = addresses.write() {
                    all[proxy] = address;
                }
            }
        }
    }
    tokio::time::sleep_until(start + schedule.length).await;
    Ok(AppliedSteps { outages, signals })
}

/// Something that is done to the system.
#[derive(Clone, Copy, Debug)]
enum Step {
    SilenceWatches,
    ResetConnections,
    DelayAnswers(Duration),
    Drain(usize),
    MarkUp(usize),
    ServiceDown,
    ServiceUp,
    MoveService,
    Signal(usize, Signal),
    KillAndRestart(usize),
    /// Clients come to it no more.
    StopClients(usize),
    /// It is waited for until it has ended, and started again.
    AwaitExitAndRestart(usize),
}

/// Calls each proxy in turn, until a little before the end of the course. Who leaves, and when, comes into `left`.
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
