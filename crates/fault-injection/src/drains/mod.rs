//! The trial of hosts that leave: several proxies on the platform's terms, a list service whose open watches fall silent,
//! and whatever else a course names. What came to the hosts is held against what each proxy had been told.

mod course;
mod judge;
mod service;

pub use course::{Course, Kind, KINDS};
pub use judge::Verdict;

use crate::clients::{ask_and_leave, once, Ended, Try};
use crate::hosts::Hosts;
use crate::now;
use crate::process::{Folder, Plan, Process};
use badgerramp_policy::Micros;
use judge::Histories;
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
const QUICK: Duration = Duration::from_millis(5);
const SLOW_FOR_ALL: Duration = Duration::from_millis(1_500);

/// New connections go on coming for so long after a proxy was told to end (the protocol's most is 0.4 s).
const CLIENTS_GO_ON: Duration = Duration::from_millis(300);

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
pub struct Played {
    /// What was played.
    pub course: Course,
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

impl Played {
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
    course: &Course,
    door: SocketAddr,
    known: &str,
    proxies: usize,
    seed: u64,
) -> String {
    let (grace, discovery) = (
        course.grace.as_micros(),
        if course.pushed { "push" } else { "ask" },
    );
    format!(
        r#"{{"name":"p","listen":"127.0.0.1:0","discovery":"{door}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{known},
"settings":{{"balancers":{proxies},"tick_us":1000,"discovery":"{discovery}","locality":"",
"classes":[{{"name":"do","objective_us":800000,"deadline_us":1500000,"worth":1,"idempotency":"guarded",
"dedup_scope":"all","repeat_window_us":2500000}}],
"limits":{{"cancel":true,"max_attempts":3,"second_copies":false,"retry_after":true,"max_retry_after_us":700000,
"conn_idle_us":60000000,"connect_timeout_us":1000000,"max_open":1000}},
"invariants":{{"cold_from":0.3,"cold_us":2000000,"tip_after_us":2000000,"ask_every_us":10000000,
"drain_grace_us":{grace}}}}}}}"#
    )
}

/// Plays one course with this program and the arguments before its own.
///
/// # Errors
/// If it could not be played.
pub async fn play(
    program: &(PathBuf, Vec<String>),
    size: Size,
    course: &Course,
) -> Result<Played, String> {
    let folder = Folder::new(&format!("drains-{}", course.seed))?;
    let hosts = Hosts::start(size.hosts, 0.0, &["/do"], course.seed).await?;
    let work = course.has(Kind::Slow).map_or(QUICK, |_| {
        SLOW_FOR_ALL / u32::try_from(size.proxies).unwrap_or(u32::MAX)
    });
    let work = (!course.pushed).then_some(work);
    let mut service = Service::new(hosts.addresses.clone(), work);
    let known = service.known();
    let (mut proxies, mut doors) = (Vec::new(), Vec::new());
    for proxy in 0..size.proxies {
        let door = service.door(proxy).await?;
        let seed = course.seed.wrapping_mul(1_000).wrapping_add(proxy as u64);
        let text = configuration(course, door, &known, size.proxies, seed);
        let path = folder.write(&format!("p{proxy}.json"), &text, false)?;
        let variables = vec![("RELAY_CONFIG", path)];
        let plan = Plan {
            program: program.0.clone(),
            arguments: program.1.clone(),
            keep: Vec::new(),
            variables,
        };
        proxies.push(Process::start(plan).await?);
        doors.push((door, text));
    }
    let mut at = Vec::new();
    for proxy in &mut proxies {
        at.push(proxy.listens().await?);
    }
    let addresses = Arc::new(RwLock::new(at));
    let left = Arc::new(Mutex::new(HashMap::new()));
    let clients = tokio::spawn(call(
        Arc::clone(&addresses),
        size.rate,
        course.clone(),
        Arc::clone(&left),
    ));
    let Done { down, signalled } = faults(
        course,
        &folder,
        &mut service,
        &mut proxies,
        (&doors, &addresses),
    )
    .await?;
    let tries = clients.await.map_err(|e| e.to_string())?;
    let (notes, log) = service.history();
    let arrivals = hosts.arrivals();
    let grace = u64::try_from(course.grace.as_micros()).unwrap_or(u64::MAX);
    let histories = Histories {
        notes: &notes,
        log: &log,
        arrivals: &arrivals,
        grace,
        pushed: course.pushed,
        down: &down,
        left: &left.lock().unwrap_or_else(PoisonError::into_inner).clone(),
    };
    // A proxy that stood still or was killed has lost what it held. One that was told to end has not, but takes no more.
    let excused = [course.has(Kind::Stop), course.has(Kind::Kill)];
    let ends = course.has(Kind::Restart);
    let lost = tries.iter().filter(|tried| match tried.ended {
        Ended::Cut | Ended::Silence => !excused.contains(&Some(tried.proxy)),
        Ended::Nobody => !excused.contains(&Some(tried.proxy)) && ends != Some(tried.proxy),
        Ended::Status(_) => false,
    });
    let lost_calls: Vec<String> = lost.map(|tried| describe(tried, &signalled)).collect();
    let crashed = proxies.iter_mut().filter_map(Process::ended).collect();
    Ok(Played {
        course: course.clone(),
        verdict: histories.judge(SLACK),
        calls: tries.len(),
        lost: lost_calls.len(),
        lost_calls,
        twice: hosts.executed().values().filter(|&&n| n > 1).count(),
        crashed,
    })
}

/// A lost call in words.
fn describe(tried: &Try, signalled: &[(Micros, usize, Signal)]) -> String {
    let Try {
        key,
        proxy,
        from,
        until,
        ended,
    } = tried;
    let last = signalled
        .iter()
        .rev()
        .find(|(at, whom, _)| whom == proxy && at <= until);
    let Some((at, _, signal)) = last else {
        return format!(
            "call {key} to proxy {proxy}: {ended:?} after {} us",
            until - from
        );
    };
    let [began, over] = [from, until].map(|moment| moment.cast_signed() - at.cast_signed());
    format!("call {key} to proxy {proxy}: {ended:?}, began {began} us and ended {over} us after {signal:?}")
}

/// What came of a course's steps.
#[derive(Default)]
struct Done {
    /// When the service was down.
    down: Vec<(Micros, Micros)>,
    /// When which proxy was sent which signal.
    signalled: Vec<(Micros, usize, Signal)>,
}

/// Carries the course out.
async fn faults(
    course: &Course,
    folder: &Folder,
    service: &mut Service,
    proxies: &mut [Process],
    (doors, addresses): (&[(SocketAddr, String)], &RwLock<Vec<SocketAddr>>),
) -> Result<Done, String> {
    let start = tokio::time::Instant::now();
    let mut draws = Pcg32::seed_from_u64(course.seed ^ 1);
    // What is to be done when, in order.
    let mut due: Vec<(Duration, Step)> = vec![(course.silent, Step::Silence)];
    due.extend(
        course
            .drains
            .iter()
            .map(|&(at, host)| (at, Step::Drain(host))),
    );
    let first = course
        .drains
        .iter()
        .map(|d| d.0)
        .min()
        .unwrap_or(course.silent);
    let ms = Duration::from_millis;
    for &(kind, whom) in &course.faults {
        match kind {
            Kind::Reset => due.push((first.saturating_sub(ms(100)), Step::Reset)),
            Kind::Late => due.push((Duration::ZERO, Step::Late(ms(draws.gen_range(50..900))))),
            Kind::SilentAgain => due.push((
                course.silent + ms(draws.gen_range(7_000..9_000)),
                Step::Silence,
            )),
            Kind::Down => {
                let from = first.saturating_sub(ms(draws.gen_range(0..300)));
                due.push((from, Step::Down));
                due.push((from + ms(draws.gen_range(500..4_000)), Step::Back));
            }
            Kind::Move => due.push((first + ms(draws.gen_range(0..2_000)), Step::Move)),
            Kind::Stop => {
                let from = first.saturating_sub(ms(draws.gen_range(0..300)));
                due.push((from, Step::Signal(whom, Signal::STOP)));
                due.push((
                    from + ms(draws.gen_range(500..5_000)),
                    Step::Signal(whom, Signal::CONT),
                ));
            }
            Kind::Kill => due.push((first + ms(draws.gen_range(0..1_500)), Step::Kill(whom))),
            Kind::Again => {
                let (at, host) = course.drains[0];
                due.push((at + ms(draws.gen_range(50..1_000)), Step::Up(host)));
            }
            Kind::Restart => {
                let from = first + ms(draws.gen_range(0..1_500));
                due.push((from, Step::Signal(whom, Signal::TERM)));
                due.push((from + CLIENTS_GO_ON, Step::Away(whom)));
                due.push((from + CLIENTS_GO_ON + ms(2_000), Step::Again(whom)));
            }
            Kind::Slow | Kind::Leave => {}
        }
    }
    due.sort_by_key(|d| d.0);
    let Done {
        mut down,
        mut signalled,
    } = Done::default();
    for (at, step) in due {
        tokio::time::sleep_until(start + at).await;
        match step {
            Step::Silence => service.silence(),
            Step::Reset => service.reset(),
            Step::Late(late) => service.late(late),
            Step::Drain(host) => service.change(host, Status::Draining),
            Step::Up(host) => {
                let unix = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                service.change(
                    host,
                    Status::Up(u64::try_from(unix.as_millis()).unwrap_or(0)),
                );
            }
            Step::Down => {
                down.push((now(), Micros::MAX));
                service.down(true);
            }
            Step::Back => {
                service.down(false);
                if let Some(last) = down.last_mut() {
                    last.1 = now();
                }
            }
            Step::Move => {
                for (proxy, (door, text)) in doors.iter().enumerate() {
                    let other = service.door(proxy).await?.to_string();
                    folder.write(
                        &format!("p{proxy}.json"),
                        &text.replace(&door.to_string(), &other),
                        false,
                    )?;
                    proxies[proxy].signal(Signal::HUP);
                }
            }
            Step::Signal(proxy, signal) => {
                signalled.push((now(), proxy, signal));
                proxies[proxy].signal(signal);
            }
            Step::Away(proxy) => {
                if let Ok(mut all) = addresses.write() {
                    all[proxy].set_port(0);
                }
            }
            Step::Kill(proxy) | Step::Again(proxy) => {
                if matches!(step, Step::Kill(_)) {
                    proxies[proxy].kill().await;
                } else {
                    proxies[proxy].terminate().await?;
                }
                proxies[proxy].again()?;
                let address = proxies[proxy].listens().await?;
                if let Ok(mut all) = addresses.write() {
                    all[proxy] = address;
                }
            }
        }
    }
    tokio::time::sleep_until(start + course.length).await;
    Ok(Done { down, signalled })
}

/// Something that is done to the system.
#[derive(Clone, Copy, Debug)]
enum Step {
    Silence,
    Reset,
    Late(Duration),
    Drain(usize),
    Up(usize),
    Down,
    Back,
    Move,
    Signal(usize, Signal),
    Kill(usize),
    /// Clients come to it no more.
    Away(usize),
    /// It is waited for until it has ended, and started again.
    Again(usize),
}

/// Calls each proxy in turn, until a little before the end of the course. Who leaves, and when, comes into `left`.
async fn call(
    addresses: Arc<RwLock<Vec<SocketAddr>>>,
    rate: f64,
    course: Course,
    left: Arc<Mutex<HashMap<String, Micros>>>,
) -> Vec<Try> {
    let mut beat = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
    let (mut open, mut tries) = (tokio::task::JoinSet::new(), Vec::new());
    let end = sleep(course.length.saturating_sub(Duration::from_millis(1_600)));
    tokio::pin!(end);
    for number in 0.. {
        tokio::select! {
            () = &mut end => break,
            _ = beat.tick() => {}
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
        if course.has(Kind::Leave).is_some() && number % 3 == 0 {
            let (left, key) = (Arc::clone(&left), format!("p{proxy}-{number}"));
            tokio::spawn(async move {
                ask_and_leave(address, "/do", &key, number % 2 == 0).await;
                left.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .insert(key, now());
            });
            continue;
        }
        open.spawn(async move {
            let (key, from) = (format!("p{proxy}-{number}"), now());
            let (ended, _) = once(address, "/do", &key).await;
            Try {
                key,
                proxy,
                from,
                until: now(),
                ended,
            }
        });
        while let Some(done) = open.try_join_next() {
            tries.extend(done.ok());
        }
    }
    while let Some(done) = open.join_next().await {
        tries.extend(done.ok());
    }
    tries
}
