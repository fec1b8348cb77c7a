//! A process that runs many client proxies as tasks, and the protocol with it on its standard streams.

use crate::now;
use crate::process::usage_of;
use badgerramp_policy::Micros;
use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};
use tokio::sync::watch;

/// Timeout for an answer of the process, and for its end.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// An order to the process: a line of JSON on its standard input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Start the proxy with this name, whose configuration file is `NAME.toml` in the folder of the process.
    Start(String),
    /// Terminate the proxy with this name gracefully, as SIGTERM does.
    End(String),
    /// Kill the proxy with this name, as SIGKILL does.
    Kill(String),
    /// Report what each proxy admits now.
    #[serde(rename = "tell")]
    ReportAdmissions,
}

/// The calls that a proxy admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admits {
    /// The proxy admits calls under these generations.
    Under {
        /// The older generation.
        old: u64,
        /// The newer generation; outside a change it equals the older one.
        new: u64,
    },
    /// The proxy admits no calls.
    Nothing,
}

/// An event that the process reports: a line of JSON on its standard output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// All admission checks of a proxy within a span had the same result. The event is reported when a check has another
    /// result, when the proxy stops, and on [`Order::ReportAdmissions`].
    Admitted {
        /// The name of the proxy.
        proxy: String,
        /// The result of the checks.
        admits: Admits,
        /// The time of the first check.
        from: Micros,
        /// The time of the last check.
        until: Micros,
    },
    /// All admissions requested with [`Order::ReportAdmissions`] have been reported.
    #[serde(rename = "told")]
    AdmissionsReported,
    /// A proxy ended because it was ordered to.
    Stopped {
        /// The name of the proxy.
        proxy: String,
    },
    /// A proxy ended without an order.
    Ended {
        /// The name of the proxy.
        proxy: String,
        /// The reason.
        why: String,
    },
}

/// A line of a proxy's log, and when it was read.
pub type Line = (Micros, String);

#[derive(Default)]
struct Output {
    events: Vec<Event>,
    logs: HashMap<String, Vec<Line>>,
}

/// Interval at which a waiting caller checks whether a proxy has ended.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);

/// A process that runs hollow proxies.
pub struct HollowProcess {
    child: Child,
    pid: Pid,
    orders: ChildStdin,
    output: Arc<Mutex<Output>>,
    admission_reports: watch::Receiver<usize>,
    readers: Vec<tokio::task::JoinHandle<()>>,
}

fn lock(output: &Mutex<Output>) -> std::sync::MutexGuard<'_, Output> {
    output.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The proxy that logged a line: the process logs each proxy in a span with the proxy's name.
fn proxy_of(line: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    value.get("span")?.get("proxy")?.as_str().map(str::to_owned)
}

impl HollowProcess {
    /// Starts the process without proxies. Once a proxy has logged the address on which it receives datagrams, the address is
    /// sent to the proxy's channel in `datagram_addresses`.
    ///
    /// # Errors
    /// If the process does not start.
    pub fn start(
        (program, arguments): &(PathBuf, Vec<String>),
        folder: &Path,
        datagram_addresses: HashMap<String, watch::Sender<Option<SocketAddr>>>,
    ) -> Result<HollowProcess, String> {
        let mut child = Command::new(program)
            .args(arguments)
            .arg(folder)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        let pid = child
            .id()
            .and_then(|id| Pid::from_raw(id as i32))
            .ok_or("the process has no process id")?;
        let orders = child
            .stdin
            .take()
            .ok_or("standard input of the process is not piped")?;
        let events = child
            .stdout
            .take()
            .ok_or("standard output of the process is not piped")?;
        let log = child
            .stderr
            .take()
            .ok_or("standard error of the process is not piped")?;
        let output = Arc::new(Mutex::new(Output::default()));
        let (sender, admission_reports) = watch::channel(0);
        let readers = vec![
            tokio::spawn(read_events(
                BufReader::new(events),
                Arc::clone(&output),
                sender,
            )),
            tokio::spawn(read_log(
                BufReader::new(log),
                Arc::clone(&output),
                datagram_addresses,
            )),
        ];
        Ok(HollowProcess {
            child,
            pid,
            orders,
            output,
            admission_reports,
            readers,
        })
    }

    /// Sends an order to the process.
    ///
    /// # Errors
    /// If the process has ended.
    pub async fn send_order(&mut self, order: &Order) -> Result<(), String> {
        let line = serde_json::to_string(order).map_err(|e| e.to_string())? + "\n";
        self.orders
            .write_all(line.as_bytes())
            .await
            .map_err(|e| format!("failed to send an order to the process of hollow proxies: {e}"))
    }

    /// Terminates a proxy, and waits until it has ended.
    ///
    /// # Errors
    /// If it does not end in time.
    pub async fn terminate_proxy(&mut self, proxy: String) -> Result<(), String> {
        let stopped = Event::Stopped {
            proxy: proxy.clone(),
        };
        let count = |output: &Mutex<Output>| {
            lock(output)
                .events
                .iter()
                .filter(|e| **e == stopped)
                .count()
        };
        let before = count(&self.output);
        self.send_order(&Order::End(proxy)).await?;
        let end = tokio::time::Instant::now() + PROCESS_TIMEOUT;
        while count(&self.output) == before {
            if tokio::time::Instant::now() >= end {
                return Err(
                    "a hollow proxy did not end in time after its termination was ordered"
                        .to_owned(),
                );
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until the admissions of all proxies have been reported up to now.
    ///
    /// # Errors
    /// If the process does not report them in time.
    pub async fn report_admissions(&mut self) -> Result<(), String> {
        let before = *self.admission_reports.borrow();
        self.send_order(&Order::ReportAdmissions).await?;
        let result = tokio::time::timeout(
            PROCESS_TIMEOUT,
            self.admission_reports
                .wait_for(|admission_reports| *admission_reports > before),
        )
        .await;
        result
            .map_err(|_| "a process of hollow proxies did not report admissions in time")?
            .map(|_| ())
            .map_err(|e| e.to_string())
    }

    /// CPU time so far, in microseconds, and memory, in KiB.
    pub fn usage(&self) -> Option<(u64, u64)> {
        usage_of(self.pid)
    }

    /// The events reported so far.
    pub fn events(&self) -> Vec<Event> {
        lock(&self.output).events.clone()
    }

    /// The log lines of a proxy.
    pub fn log(&self, proxy: &str) -> Vec<Line> {
        lock(&self.output)
            .logs
            .get(proxy)
            .cloned()
            .unwrap_or_default()
    }

    /// Sends SIGTERM to the process, and waits until it has ended.
    ///
    /// # Errors
    /// If it does not end in time.
    pub async fn terminate(&mut self) -> Result<(), String> {
        let _ = kill_process(self.pid, Signal::TERM);
        let ended = tokio::time::timeout(PROCESS_TIMEOUT, self.child.wait()).await;
        ended
            .map_err(|_| "a process of hollow proxies did not end in time after SIGTERM")?
            .map_err(|e| e.to_string())?;
        for reader in self.readers.drain(..) {
            let _ = reader.await;
        }
        Ok(())
    }
}

async fn read_events(
    events: BufReader<tokio::process::ChildStdout>,
    output: Arc<Mutex<Output>>,
    sender: watch::Sender<usize>,
) {
    let mut lines = events.lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let Ok(event) = serde_json::from_str::<Event>(&line) else {
            continue;
        };
        let is_report = event == Event::AdmissionsReported;
        lock(&output).events.push(event);
        if is_report {
            sender.send_modify(|admission_reports| *admission_reports += 1);
        }
    }
}

async fn read_log(
    log: BufReader<tokio::process::ChildStderr>,
    output: Arc<Mutex<Output>>,
    datagram_addresses: HashMap<String, watch::Sender<Option<SocketAddr>>>,
) {
    let mut lines = log.lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let Some(proxy) = proxy_of(&line) else {
            continue;
        };
        if let (Some(address), Some(sender)) = (
            crate::process::address_after(&line, "hearing on "),
            datagram_addresses.get(&proxy),
        ) {
            sender.send_replace(Some(address));
        }
        lock(&output)
            .logs
            .entry(proxy)
            .or_default()
            .push((now(), line));
    }
}
