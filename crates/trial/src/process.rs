//! A process and its log.

use crate::now;
use badgerramp_policy::Micros;
use rustix::process::{kill_process, Pid, Signal};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;

/// Longest wait for a process to say that it listens.
const LONG: Duration = Duration::from_secs(30);

/// A line of a log and when it was read.
pub type Line = (Micros, String);

/// What is started: a program, its arguments, where its log goes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// Lines that hold one of these words are kept.
    pub keep: Vec<&'static str>,
}

/// A process; killed with its owner.
pub struct Process {
    plan: Plan,
    child: Child,
    pid: Pid,
    listening: watch::Receiver<Option<SocketAddr>>,
    log: Arc<Mutex<Vec<Line>>>,
    readers: Vec<tokio::task::JoinHandle<()>>,
}

impl Process {
    /// Starts it, and waits until it listens.
    ///
    /// # Errors
    /// If it does not start, or does not listen: with the end of its log.
    pub async fn start(plan: Plan) -> Result<Process, String> {
        let log = Arc::new(Mutex::new(Vec::new()));
        let (child, pid, listening, reader) = spawn(&plan, &log)?;
        let mut process = Process { plan, child, pid, listening, log, readers: vec![reader] };
        process.listens().await?;
        Ok(process)
    }

    /// Waits until it listens, and tells where.
    ///
    /// # Errors
    /// If it does not.
    pub async fn listens(&mut self) -> Result<SocketAddr, String> {
        let listens = tokio::time::timeout(LONG, self.listening.wait_for(Option::is_some)).await;
        let address = listens.ok().and_then(Result::ok).and_then(|address| *address);
        address.ok_or_else(|| format!("{:?} does not listen: {}", self.plan.arguments, self.end()))
    }

    /// Sends a signal. One to a process that has ended does nothing.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(self.pid, signal);
    }

    /// Ends it (SIGKILL), and waits until it has gone and its log was read.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
        for reader in self.readers.drain(..) {
            let _ = reader.await;
        }
    }

    /// Starts it again after its end. It is not waited for.
    ///
    /// # Errors
    /// If it does not start.
    pub fn again(&mut self) -> Result<(), String> {
        let (child, pid, listening, reader) = spawn(&self.plan, &self.log)?;
        (self.child, self.pid, self.listening) = (child, pid, listening);
        self.readers.push(reader);
        Ok(())
    }

    /// CPU time that it has used so far, in microseconds, and memory that it holds, in KiB, as the system counts them.
    pub fn usage(&self) -> Option<(u64, u64)> {
        let own =
            |file: &str| std::fs::read_to_string(format!("/proc/{}/{file}", self.pid.as_raw_nonzero())).ok();
        let stat = own("stat")?;
        // The name, in brackets, may have blanks of its own.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let hertz = rustix::param::clock_ticks_per_second();
        let status = own("status")?;
        let held = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let held = held.split_whitespace().next()?.parse().ok()?;
        Some((ticks * 1_000_000 / hertz.max(1), held))
    }

    /// The lines kept so far.
    pub fn log(&self) -> Vec<Line> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Has it ended by itself? With the end of its log.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(format!("{status}: {}", self.end()))
    }

    fn end(&self) -> String {
        let log = self.log();
        let last: Vec<&str> = log.iter().rev().take(5).map(|(_, l)| l.as_str()).collect();
        last.join(" / ")
    }
}

type Spawned = (Child, Pid, watch::Receiver<Option<SocketAddr>>, tokio::task::JoinHandle<()>);

fn spawn(plan: &Plan, log: &Arc<Mutex<Vec<Line>>>) -> Result<Spawned, String> {
    let mut command = Command::new(&plan.program);
    command.args(&plan.arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    for name in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONFIG"] {
        command.env_remove(name);
    }
    let mut child =
        command.kill_on_drop(true).spawn().map_err(|e| format!("{}: {e}", plan.program.display()))?;
    let pid = child.id().and_then(|id| Pid::from_raw(id as i32)).ok_or("a process without a number")?;
    let mut lines = BufReader::new(child.stderr.take().ok_or("no log")?).lines();
    let (says, listening) = watch::channel(None);
    let (log, keep) = (Arc::clone(log), plan.keep.clone());
    let reader = tokio::spawn(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some((_, after)) = line.split_once("listening on ") {
                let address: String =
                    after.chars().take_while(|c| c.is_ascii_hexdigit() || ".:[]".contains(*c)).collect();
                let _ = says.send(address.parse().ok());
            }
            let loud = !line.contains("\"DEBUG\"");
            if loud || keep.iter().any(|word| line.contains(word)) {
                log.lock().unwrap_or_else(PoisonError::into_inner).push((now(), line));
            }
        }
    });
    Ok((child, pid, listening, reader))
}

/// Lets this process have as many descriptors as the system allows: a trial has thousands of links. Tells how many.
pub fn all_descriptors() -> u64 {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let Rlimit { maximum, .. } = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: maximum, maximum });
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// A folder for one course; it goes with its owner, unless it is to be kept.
pub struct Folder {
    path: PathBuf,
    /// It stays.
    pub keep: bool,
}

impl Folder {
    /// A new one.
    ///
    /// # Errors
    /// If it can't be made.
    pub fn new(name: &str) -> Result<Folder, String> {
        let path = std::env::temp_dir().join(format!("badgerramp-trial-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder { path, keep: false })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file in it; `private`: for its owner alone.
    ///
    /// # Errors
    /// If it can't be written.
    pub fn write(&self, name: &str, text: &str, private: bool) -> Result<PathBuf, String> {
        use std::os::unix::fs::PermissionsExt;
        let path = self.path.join(name);
        let mode = std::fs::Permissions::from_mode(if private { 0o600 } else { 0o644 });
        std::fs::write(&path, text)
            .and_then(|()| std::fs::set_permissions(&path, mode))
            .map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
