//! Soak test of one proxy: crowds of clients use up what they can while the proxy is reloaded, ended and killed. The peak of
//! its memory and the requests of a few usual clients are checked.

mod schedule;

pub use schedule::{Life, LifeEnd, Schedule};

use crate::process::{Folder, Process, ProcessSpec};
use badgerramp_testkit::crowd::{Crowd, Gate, Loss, SizedHosts, UsualTotals};
use badgerramp_testkit::{ListEntry, ListService, MemoryUse, SETTINGS};
use rustix::process::Signal;
use schedule::USUAL_CLIENTS;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// Bits of a crowd's seed that tell the crowds of a run apart.
const CROWD_BITS: u32 = 8;
/// Bytes in a MiB.
const MIB: u64 = 1 << 20;
/// What the resident code of the released program is counted as, if an unoptimized one is tested.
const RELEASED_CODE: u64 = 6 * MIB;
/// Time after SIGTERM in which clients go on to open connections.
const CONNECTING_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Time from SIGTERM to SIGKILL: the longest deadline of the settings and 0.7 s.
const SIGTERM_TO_SIGKILL: Duration = Duration::from_millis(3_700);
/// Interval at which memory is looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// How long the usual clients are alone at the end of a run.
const CALM_TIME: Duration = Duration::from_secs(1);
/// A new process takes requests from then on; longer than it needs to get its list.
const START_TIME: Duration = Duration::from_millis(300);

/// The program to test.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments that precede its own.
    pub arguments: Vec<String>,
    /// Whether it is the released program, so that the pages of its code count as they are.
    pub is_released: bool,
}

/// The result of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunReport {
    /// Seed of the run.
    pub seed: u64,
    /// Limit of memory, in bytes.
    pub memory_limit: u64,
    /// Peak of the memory over all lives, in bytes.
    pub peak: u64,
    /// Exit status and end of the log of each life that ended by itself, or not with success after SIGTERM.
    pub ended: Vec<String>,
    /// Requests of usual clients beside crowds.
    pub sent: usize,
    /// Those that were answered with status 200 in time.
    pub served: usize,
    /// Those without a final answer, though the proxy was not killed: how each ended.
    pub lost: Vec<String>,
    /// Requests of usual clients after the last crowd.
    pub calm_sent: usize,
    /// Those that were answered with status 200 in time.
    pub calm_served: usize,
    /// Ids of requests that must not be repeated and were executed more than once.
    pub repeated: Vec<String>,
}

impl RunReport {
    /// Whether no limit was passed and no rule broken, and usual clients were served once the crowds had gone.
    pub fn held(&self) -> bool {
        self.peak <= self.memory_limit
            && self.ended.is_empty()
            && self.lost.is_empty()
            && self.repeated.is_empty()
            && self.calm_served * 10 >= self.calm_sent * 9
            && self.calm_served > 0
    }

    /// Adds the requests beside a crowd. `ended_at` is when the life of the proxy was ended.
    fn add(&mut self, totals: &UsualTotals, ended_at: Instant) {
        self.sent += totals.sent;
        self.served += totals.served;
        let losses = totals.lost.iter();
        self.lost
            .extend(losses.map(|loss| describe(loss, ended_at)));
    }
}

/// A running soak.
struct Soak<'a> {
    schedule: &'a Schedule,
    program: &'a Program,
    folder: Folder,
    list_service: ListService,
    process: Process,
    listen: SocketAddr,
    gate: Gate,
    /// Number of crowds so far.
    crowds: u64,
    report: RunReport,
}

/// Runs one schedule.
///
/// # Errors
/// If the test itself failed.
pub async fn run(program: &Program, schedule: &Schedule) -> Result<RunReport, String> {
    let hosts = SizedHosts::start(schedule.hosts);
    let mut soak = Soak::start(program, schedule, &hosts).await?;
    for (number, life) in schedule.lives.iter().enumerate() {
        if number > 0 {
            soak.restart().await?;
        }
        soak.play(life).await;
    }
    soak.restart().await?;
    soak.play_calm().await;
    soak.process.kill().await;
    let mut report = soak.report;
    report.repeated = hosts.executions.repeated();
    Ok(report)
}

impl<'a> Soak<'a> {
    async fn start(
        program: &'a Program,
        schedule: &'a Schedule,
        hosts: &SizedHosts,
    ) -> Result<Soak<'a>, String> {
        let folder = Folder::new(&format!("soak-{}", schedule.seed))?;
        let entries = hosts.addresses.iter().enumerate();
        let list_service = ListService::start(entries.map(list_entry).collect());
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let text = configuration(schedule, any_port, list_service.address);
        let path = folder.write("proxy.json", &text, false)?;
        let spec = ProcessSpec {
            program: program.path.clone(),
            arguments: program.arguments.clone(),
            debug_filter: Vec::new(),
            environment: vec![("RELAY_CONFIG", path)],
        };
        let mut process = Process::start(spec).await?;
        let listen = process.listen_address().await?;
        let report = RunReport {
            seed: schedule.seed,
            memory_limit: schedule.memory_mb * MIB,
            ..RunReport::default()
        };
        let soak = Soak {
            schedule,
            program,
            folder,
            list_service,
            process,
            listen,
            gate: Gate::default(),
            crowds: 0,
            report,
        };
        soak.write_configuration()?;
        sleep(START_TIME).await;
        Ok(soak)
    }

    /// Writes the configuration with the address that the proxy keeps over its lives.
    fn write_configuration(&self) -> Result<(), String> {
        let text = configuration(self.schedule, self.listen, self.list_service.address);
        self.folder.write("proxy.json", &text, false).map(drop)
    }

    async fn restart(&mut self) -> Result<(), String> {
        self.process.spawn()?;
        self.process.listen_address().await?;
        sleep(START_TIME).await;
        self.gate.set_open(true);
        Ok(())
    }

    /// Plays one life: the crowd with reloads, then its end, over which the clients go on.
    async fn play(&mut self, life: &Life) {
        let total = match life.end {
            LifeEnd::Kill => life.duration,
            LifeEnd::Terminate => life.duration + SIGTERM_TO_SIGKILL,
        };
        let crowd = tokio::spawn(self.crowd(life.members.clone(), total).run());
        let started = Instant::now();
        for &at in &life.reloads {
            self.watch_until(started + at).await;
            self.process.signal(Signal::HUP);
        }
        self.watch_until(started + life.duration).await;
        self.report.ended.extend(self.process.exit_report());
        match life.end {
            LifeEnd::Kill => {
                self.gate.record_kill();
                self.gate.set_open(false);
            }
            LifeEnd::Terminate => self.terminate().await,
        }
        self.process.kill().await;
        if let Ok(totals) = crowd.await {
            self.report.add(&totals, started + life.duration);
        }
    }

    /// Sends SIGTERM. Clients go on to use their connections until the process is killed.
    async fn terminate(&mut self) {
        let started = Instant::now();
        self.process.signal(Signal::TERM);
        self.watch_until(started + CONNECTING_AFTER_SIGTERM).await;
        self.gate.set_open(false);
        self.watch_until(started + SIGTERM_TO_SIGKILL).await;
        let unsuccessful = self
            .process
            .exit_report()
            .filter(|report| !report.starts_with("exit status: 0"));
        self.report.ended.extend(unsuccessful);
    }

    /// Runs the usual clients alone.
    async fn play_calm(&mut self) {
        let crowd = tokio::spawn(self.crowd(Vec::new(), CALM_TIME).run());
        self.watch_until(Instant::now() + CALM_TIME).await;
        if let Ok(totals) = crowd.await {
            self.report.calm_sent = totals.sent;
            self.report.calm_served = totals.served;
            let losses = totals.lost.iter();
            let described = losses.map(|loss| describe(loss, Instant::now()));
            self.report.lost.extend(described);
        }
        self.report.ended.extend(self.process.exit_report());
    }

    /// A crowd whose request ids are its own.
    fn crowd(
        &mut self,
        members: Vec<(badgerramp_testkit::crowd::Behavior, usize)>,
        duration: Duration,
    ) -> Crowd {
        self.crowds += 1;
        Crowd {
            target: self.listen,
            members,
            usual_clients: USUAL_CLIENTS,
            duration,
            seed: self.schedule.seed << CROWD_BITS | self.crowds,
            gate: self.gate.clone(),
        }
    }

    /// Records the peak of the memory until this time.
    async fn watch_until(&mut self, until: Instant) {
        while Instant::now() < until {
            if let Some(memory) = self.process.id().and_then(MemoryUse::of) {
                let peak = if self.program.is_released {
                    memory.peak
                } else {
                    memory.anonymous_peak() + RELEASED_CODE
                };
                self.report.peak = self.report.peak.max(peak);
            }
            sleep_until(until.min(Instant::now() + SAMPLE_INTERVAL)).await;
        }
    }
}

/// How a request ended that got no final answer, relative to when the proxy was ended.
fn describe(loss: &Loss, ended_at: Instant) -> String {
    let ended_at = ended_at.into_std();
    let relative_ms = if loss.sent_at > ended_at {
        format!("{} ms after", (loss.sent_at - ended_at).as_millis())
    } else {
        format!("{} ms before", (ended_at - loss.sent_at).as_millis())
    };
    format!(
        "{} sent {relative_ms} the end of the life, {} after {} ms",
        loss.id,
        if loss.is_closed { "closed" } else { "given up" },
        loss.waited.as_millis()
    )
}

fn list_entry((number, &address): (usize, &SocketAddr)) -> ListEntry {
    ListEntry {
        name: format!("s-{number}"),
        address,
        zone: "a".to_owned(),
        group: 1,
        status: "up",
        since_ms: 0,
    }
}

fn configuration(schedule: &Schedule, listen: SocketAddr, list_service: SocketAddr) -> String {
    let Schedule {
        seed,
        memory_mb,
        descriptors,
        ..
    } = schedule;
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{list_service}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{descriptors}}},"settings":{SETTINGS}}}"#
    )
}
