//! A process that runs many client proxies as tasks: what is said to it and what it says.

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

/// Longest wait for a process to end.
const LONG: Duration = Duration::from_secs(30);

/// What the process is told, a line of JSON each, on its standard input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Start the proxy of this name, whose file is `NAME.toml` in the process's folder.
    Start(String),
    /// End it as SIGTERM ends a process.
    End(String),
    /// End it as SIGKILL ends a process.
    Kill(String),
    /// Tell what each proxy admits now.
    Tell,
}

/// What a proxy admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admits {
    /// Calls under these generations.
    Under {
        /// The older.
        old: u64,
        /// The newer; the same outside a change.
        new: u64,
    },
    /// Nothing.
    Nothing,
}

/// What the process tells, a line of JSON each, on its standard output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A proxy admitted this at each look within this span. The next look found something else, or it was asked.
    Admitted {
        /// The proxy.
        proxy: String,
        /// What.
        admits: Admits,
        /// The first look.
        from: Micros,
        /// The last one.
        until: Micros,
    },
    /// All that was asked for with [`Order::Tell`] has been told.
    Told,
    /// A proxy ended as it was told to.
    Stopped {
        /// The proxy.
        proxy: String,
    },
    /// A proxy ended by itself.
    Ended {
        /// The proxy.
        proxy: String,
        /// Why.
        why: String,
    },
}

/// A line of a log that tells of one proxy, and when it was read.
pub type Line = (Micros, String);

#[derive(Default)]
struct Heard {
    events: Vec<Event>,
    logs: HashMap<String, Vec<Line>>,
}

/// Between two looks at whether a proxy has ended.
const LOOK_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

/// The process.
pub struct HollowProcess {
    child: Child,
    pid: Pid,
    orders: ChildStdin,
    heard: Arc<Mutex<Heard>>,
    told: watch::Receiver<usize>,
    readers: Vec<tokio::task::JoinHandle<()>>,
}

fn locked(heard: &Mutex<Heard>) -> std::sync::MutexGuard<'_, Heard> {
    heard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The proxy that a line of a log tells of: the process logs each proxy in a span of its name.
fn proxy_of(line: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    value.get("span")?.get("proxy")?.as_str().map(str::to_owned)
}

impl HollowProcess {
    /// Starts it without proxies. Where each proxy hears datagrams comes into `hearing`.
    ///
    /// # Errors
    /// If it does not start.
    pub fn start(
        (program, arguments): &(PathBuf, Vec<String>),
        folder: &Path,
        hearing: HashMap<String, watch::Sender<Option<SocketAddr>>>,
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
            .ok_or("a process without a number")?;
        let orders = child.stdin.take().ok_or("no standard input")?;
        let events = child.stdout.take().ok_or("no standard output")?;
        let log = child.stderr.take().ok_or("no log")?;
        let heard = Arc::new(Mutex::new(Heard::default()));
        let (tells, told) = watch::channel(0);
        let readers = vec![
            tokio::spawn(read_events(
                BufReader::new(events),
                Arc::clone(&heard),
                tells,
            )),
            tokio::spawn(read_log(BufReader::new(log), Arc::clone(&heard), hearing)),
        ];
        Ok(HollowProcess {
            child,
            pid,
            orders,
            heard,
            told,
            readers,
        })
    }

    /// Tells it something.
    ///
    /// # Errors
    /// If it has ended.
    pub async fn order(&mut self, order: &Order) -> Result<(), String> {
        let line = serde_json::to_string(order).map_err(|e| e.to_string())? + "\n";
        self.orders
            .write_all(line.as_bytes())
            .await
            .map_err(|e| format!("hollow proxies: {e}"))
    }

    /// Tells a proxy to end, and waits until it has.
    ///
    /// # Errors
    /// If it does not.
    pub async fn end(&mut self, proxy: String) -> Result<(), String> {
        let stopped = Event::Stopped {
            proxy: proxy.clone(),
        };
        let count = |heard: &Mutex<Heard>| {
            locked(heard)
                .events
                .iter()
                .filter(|e| **e == stopped)
                .count()
        };
        let before = count(&self.heard);
        self.order(&Order::End(proxy)).await?;
        let end = tokio::time::Instant::now() + LONG;
        while count(&self.heard) == before {
            if tokio::time::Instant::now() >= end {
                return Err("a hollow proxy does not end".to_owned());
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        Ok(())
    }

    /// Waits until each proxy's admission has been told up to now.
    ///
    /// # Errors
    /// If it is not told.
    pub async fn tell(&mut self) -> Result<(), String> {
        let before = *self.told.borrow();
        self.order(&Order::Tell).await?;
        let told = tokio::time::timeout(LONG, self.told.wait_for(|told| *told > before)).await;
        told.map_err(|_| "hollow proxies do not tell")?
            .map(|_| ())
            .map_err(|e| e.to_string())
    }

    /// Processor time so far in microseconds, and memory in KiB.
    pub fn usage(&self) -> Option<(u64, u64)> {
        usage_of(self.pid)
    }

    /// What was told so far.
    pub fn events(&self) -> Vec<Event> {
        locked(&self.heard).events.clone()
    }

    /// The log of a proxy.
    pub fn log(&self, proxy: &str) -> Vec<Line> {
        locked(&self.heard)
            .logs
            .get(proxy)
            .cloned()
            .unwrap_or_default()
    }

    /// Asks it to end, and waits until it has.
    ///
    /// # Errors
    /// If it does not.
    pub async fn terminate(&mut self) -> Result<(), String> {
        let _ = kill_process(self.pid, Signal::TERM);
        let ended = tokio::time::timeout(LONG, self.child.wait()).await;
        ended
            .map_err(|_| "hollow proxies do not end")?
            .map_err(|e| e.to_string())?;
        for reader in self.readers.drain(..) {
            let _ = reader.await;
        }
        Ok(())
    }
}

async fn read_events(
    events: BufReader<tokio::process::ChildStdout>,
    heard: Arc<Mutex<Heard>>,
    tells: watch::Sender<usize>,
) {
    let mut lines = events.lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let Ok(event) = serde_json::from_str::<Event>(&line) else {
            continue;
        };
        let told = event == Event::Told;
        locked(&heard).events.push(event);
        if told {
            tells.send_modify(|told| *told += 1);
        }
    }
}

async fn read_log(
    log: BufReader<tokio::process::ChildStderr>,
    heard: Arc<Mutex<Heard>>,
    hearing: HashMap<String, watch::Sender<Option<SocketAddr>>>,
) {
    let mut lines = log.lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let Some(proxy) = proxy_of(&line) else {
            continue;
        };
        if let (Some(address), Some(tells)) = (
            crate::process::address_after(&line, "hearing on "),
            hearing.get(&proxy),
        ) {
            tells.send_replace(Some(address));
        }
        locked(&heard)
            .logs
            .entry(proxy)
            .or_default()
            .push((now(), line));
    }
}
