//! A child process and its log.

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

/// Longest wait for a process to listen after its start, or to end after SIGTERM.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The time at which a log line was read, and the line.
pub type LogLine = (Micros, String);

/// The program to start, its arguments and environment, and which of its log lines are kept.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// Path of the executable.
    pub program: PathBuf,
    /// Command-line arguments.
    pub arguments: Vec<String>,
    /// DEBUG lines are kept only if they contain one of these strings; all other lines are kept.
    pub debug_filter: Vec<&'static str>,
    /// Additional environment variables.
    pub environment: Vec<(&'static str, PathBuf)>,
}

/// A child process, which is killed when this value is dropped.
pub struct Process {
    spec: ProcessSpec,
    child: Option<(Child, Pid)>,
    listening: watch::Receiver<Option<SocketAddr>>,
    datagram_address: watch::Sender<Option<SocketAddr>>,
    log: Arc<Mutex<Vec<LogLine>>>,
    readers: Vec<tokio::task::JoinHandle<()>>,
}

impl Process {
    /// Starts a process and waits until it listens.
    ///
    /// # Errors
    /// Returns an error with the end of the log if the process does not start or does not listen in time.
    pub async fn start(spec: ProcessSpec) -> Result<Process, String> {
        let mut process = Process::unstarted(spec, watch::channel(None).0);
        process.spawn()?;
        process.listen_address().await?;
        Ok(process)
    }

    /// A process that has not been started; see [`Process::spawn`]. Each time it starts, the address it receives
    /// datagrams on is sent to `datagram_address`.
    pub fn unstarted(
        spec: ProcessSpec,
        datagram_address: watch::Sender<Option<SocketAddr>>,
    ) -> Process {
        let (_, listening) = watch::channel(None);
        let (log, readers) = (Arc::new(Mutex::new(Vec::new())), Vec::new());
        Process {
            spec,
            child: None,
            listening,
            datagram_address,
            log,
            readers,
        }
    }

    /// Waits until the process listens, and returns its address.
    ///
    /// # Errors
    /// Returns an error with the end of the log if it does not listen in time.
    pub async fn listen_address(&mut self) -> Result<SocketAddr, String> {
        let listening =
            tokio::time::timeout(TIMEOUT, self.listening.wait_for(Option::is_some)).await;
        let address = listening
            .ok()
            .and_then(Result::ok)
            .and_then(|address| *address);
        address.ok_or_else(|| {
            format!(
                "process {:?} did not start to listen in time: {}",
                self.spec.arguments,
                self.log_tail()
            )
        })
    }

    /// Sends a signal. Does nothing if the process has ended.
    pub fn signal(&self, signal: Signal) {
        if let Some((_, pid)) = &self.child {
            let _ = kill_process(*pid, signal);
        }
    }

    /// Kills the process (SIGKILL) and waits until it has ended and its log has been read to the end.
    pub async fn kill(&mut self) {
        if let Some((child, _)) = &mut self.child {
            let _ = child.kill().await;
        }
        for reader in self.readers.drain(..) {
            let _ = reader.await;
        }
    }

    /// Asks the process to end (SIGTERM) and waits until it has.
    ///
    /// # Errors
    /// Returns an error if it does not end in time.
    pub async fn terminate(&mut self) -> Result<(), String> {
        self.signal(Signal::TERM);
        if let Some((child, _)) = &mut self.child {
            let ended = tokio::time::timeout(TIMEOUT, child.wait()).await;
            ended
                .map_err(|_| {
                    format!(
                        "process {:?} did not end after SIGTERM in time",
                        self.spec.arguments
                    )
                })?
                .map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    /// Starts the process, or restarts it after it has ended. Does not wait until it listens.
    ///
    /// # Errors
    /// Returns an error if it cannot be started.
    pub fn spawn(&mut self) -> Result<(), String> {
        let (child, pid, listening, reader) =
            spawn_process(&self.spec, &self.log, &self.datagram_address)?;
        (self.child, self.listening) = (Some((child, pid)), listening);
        self.readers.push(reader);
        Ok(())
    }

    /// CPU time used so far, in microseconds, and resident memory, in KiB.
    pub fn usage(&self) -> Option<(u64, u64)> {
        usage_of(self.child.as_ref()?.1)
    }

    /// The process id, while the process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref()?.0.id()
    }

    /// The log lines kept so far.
    pub fn log(&self) -> Vec<LogLine> {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The exit status and the end of the log, if the process has ended without being killed by the test.
    pub fn exit_report(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.0.try_wait().ok().flatten()?;
        Some(format!("{status}: {}", self.log_tail()))
    }

    fn log_tail(&self) -> String {
        let log = self.log();
        let last: Vec<&str> = log.iter().rev().take(5).map(|(_, l)| l.as_str()).collect();
        last.join(" / ")
    }
}

/// CPU time used so far by a process, in microseconds, and its resident memory, in KiB.
pub(crate) fn usage_of(pid: Pid) -> Option<(u64, u64)> {
    let proc_file =
        |file: &str| std::fs::read_to_string(format!("/proc/{}/{file}", pid.as_raw_nonzero())).ok();
    let stat = proc_file("stat")?;
    // The process name, in parentheses, may contain spaces.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let ticks_per_second = rustix::param::clock_ticks_per_second();
    let status = proc_file("status")?;
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let resident = resident.split_whitespace().next()?.parse().ok()?;
    Some((ticks * 1_000_000 / ticks_per_second.max(1), resident))
}

type Spawned = (
    Child,
    Pid,
    watch::Receiver<Option<SocketAddr>>,
    tokio::task::JoinHandle<()>,
);

fn spawn_process(
    spec: &ProcessSpec,
    log: &Arc<Mutex<Vec<LogLine>>>,
    datagram_address: &watch::Sender<Option<SocketAddr>>,
) -> Result<Spawned, String> {
    let mut command = Command::new(&spec.program);
    command
        .args(&spec.arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    for name in [
        "RELAY_NAME",
        "RELAY_LISTEN",
        "RELAY_DISCOVERY",
        "RELAY_CONFIG",
    ] {
        command.env_remove(name);
    }
    command.envs(spec.environment.iter().map(|(name, value)| (name, value)));
    let mut child = command
        .kill_on_drop(true)
        .spawn()
        .map_err(|e| format!("{}: {e}", spec.program.display()))?;
    let pid = child
        .id()
        .and_then(|id| Pid::from_raw(id as i32))
        .ok_or("the process has no process id")?;
    let mut lines = BufReader::new(
        child
            .stderr
            .take()
            .ok_or("the process has no standard error stream")?,
    )
    .lines();
    let (listening_updates, listening) = watch::channel(None);
    let (log, debug_filter, datagram_address) = (
        Arc::clone(log),
        spec.debug_filter.clone(),
        datagram_address.clone(),
    );
    let reader = tokio::spawn(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some(address) = address_after(&line, "listening on ") {
                let _ = listening_updates.send(Some(address));
            }
            if let Some(address) = address_after(&line, "hearing on ") {
                datagram_address.send_replace(Some(address));
            }
            let above_debug = !line.contains("\"DEBUG\"");
            if above_debug || debug_filter.iter().any(|word| line.contains(word)) {
                log.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push((now(), line));
            }
        }
    });
    Ok((child, pid, listening, reader))
}

/// Parses the socket address that follows `words` in a log line.
pub(crate) fn address_after(line: &str, words: &str) -> Option<SocketAddr> {
    let (_, after) = line.split_once(words)?;
    let text: String = after
        .chars()
        .take_while(|c| c.is_ascii_hexdigit() || ".:[]".contains(*c))
        .collect();
    text.parse().ok()
}

/// Raises the soft limit of open file descriptors to the hard limit, since a run has thousands of links. Returns the
/// new limit.
pub fn raise_descriptor_limit() -> u64 {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let Rlimit { maximum, .. } = getrlimit(Resource::Nofile);
    let _ = setrlimit(
        Resource::Nofile,
        Rlimit {
            current: maximum,
            maximum,
        },
    );
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// Raises the limit of open file descriptors as far as the system allows.
///
/// # Errors
/// Returns an error if fewer than `required` are allowed.
pub fn require_descriptors(required: u64) -> Result<(), String> {
    let allowed = raise_descriptor_limit();
    if required > allowed {
        return Err(format!(
            "{required} file descriptors are needed and the system allows {allowed}: use fewer proxies or fewer concurrent runs"
        ));
    }
    Ok(())
}

/// A temporary directory for one run, removed when dropped unless [`Folder::keep`] is set.
pub struct Folder {
    path: PathBuf,
    /// Keeps the directory when this value is dropped.
    pub keep: bool,
}

impl Folder {
    /// Creates an empty directory.
    ///
    /// # Errors
    /// Returns an error if it cannot be created.
    pub fn new(name: &str) -> Result<Folder, String> {
        let path =
            std::env::temp_dir().join(format!("badgerramp-trial-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder { path, keep: false })
    }

    /// The path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file in the directory; `private` makes it readable by its owner alone.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written.
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
