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
const TIMEOUT: Duration = Duration::from_secs(30);

/// A line of a log and when it was read.
pub type LogLine = (Micros, String);

/// What is started: a program, its arguments, where its log goes.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// Lines that hold one of these words are kept.
    pub debug_filter: Vec<&'static str>,
    /// Variables of its own.
    pub environment: Vec<(&'static str, PathBuf)>,
}

/// A process; killed with its owner.
pub struct Process {
    spec: ProcessSpec,
    child: Option<(Child, Pid)>,
    listening: watch::Receiver<Option<SocketAddr>>,
    datagram_address: watch::Sender<Option<SocketAddr>>,
    log: Arc<Mutex<Vec<LogLine>>>,
    readers: Vec<tokio::task::JoinHandle<()>>,
}

impl Process {
    /// Starts it, and waits until it listens.
    ///
    /// # Errors
    /// If it does not start, or does not listen: with the end of its log.
    pub async fn start(spec: ProcessSpec) -> Result<Process, String> {
        let mut process = Process::unstarted(spec, watch::channel(None).0);
        process.spawn()?;
        process.listen_address().await?;
        Ok(process)
    }

    /// One that is not started yet: see [`Process::again`]. Where it hears datagrams comes into `hearing`, with each
    /// start.
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

    /// Waits until it listens, and tells where.
    ///
    /// # Errors
    /// If it does not.
    pub async fn listen_address(&mut self) -> Result<SocketAddr, String> {
        let listening =
            tokio::time::timeout(TIMEOUT, self.listening.wait_for(Option::is_some)).await;
        let address = listening
            .ok()
            .and_then(Result::ok)
            .and_then(|address| *address);
        address.ok_or_else(|| {
            format!(
                "{:?} does not listen: {}",
                self.spec.arguments,
                self.log_tail()
            )
        })
    }

    /// Sends a signal. One to a process that has ended does nothing.
    pub fn signal(&self, signal: Signal) {
        if let Some((_, pid)) = &self.child {
            let _ = kill_process(*pid, signal);
        }
    }

    /// Ends it (SIGKILL), and waits until it has gone and its log was read.
    pub async fn kill(&mut self) {
        if let Some((child, _)) = &mut self.child {
            let _ = child.kill().await;
        }
        for reader in self.readers.drain(..) {
            let _ = reader.await;
        }
    }

    /// Asks it to end (SIGTERM), and waits until it has.
    ///
    /// # Errors
    /// If it does not.
    pub async fn terminate(&mut self) -> Result<(), String> {
        self.signal(Signal::TERM);
        if let Some((child, _)) = &mut self.child {
            let ended = tokio::time::timeout(TIMEOUT, child.wait()).await;
            ended
                .map_err(|_| format!("{:?} does not end", self.spec.arguments))?
                .map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    /// Starts it, also again after its end. It is not waited for.
    ///
    /// # Errors
    /// If it does not start.
    pub fn spawn(&mut self) -> Result<(), String> {
        let (child, pid, listening, reader) =
            spawn_process(&self.spec, &self.log, &self.datagram_address)?;
        (self.child, self.listening) = (Some((child, pid)), listening);
        self.readers.push(reader);
        Ok(())
    }

    /// CPU time that it has used so far, in microseconds, and memory that it holds, in KiB, as the system counts them.
    pub fn usage(&self) -> Option<(u64, u64)> {
        usage_of(self.child.as_ref()?.1)
    }

    /// Its number, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref()?.0.id()
    }

    /// The lines kept so far.
    pub fn log(&self) -> Vec<LogLine> {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Has it ended by itself? With the end of its log.
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

/// CPU time that a process has used so far, in microseconds, and memory that it holds, in KiB.
pub(crate) fn usage_of(pid: Pid) -> Option<(u64, u64)> {
    let proc_file =
        |file: &str| std::fs::read_to_string(format!("/proc/{}/{file}", pid.as_raw_nonzero())).ok();
    let stat = proc_file("stat")?;
    // The name, in brackets, may have blanks of its own.
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
        .ok_or("a process without a number")?;
    let mut lines = BufReader::new(child.stderr.take().ok_or("no log")?).lines();
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

/// The address that follows on these words.
pub(crate) fn address_after(line: &str, words: &str) -> Option<SocketAddr> {
    let (_, after) = line.split_once(words)?;
    let text: String = after
        .chars()
        .take_while(|c| c.is_ascii_hexdigit() || ".:[]".contains(*c))
        .collect();
    text.parse().ok()
}

/// Lets this process have as many descriptors as the system allows: a trial has thousands of links. Tells how many.
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

/// Lets this process have as many descriptors as the system allows, if these are so many.
///
/// # Errors
/// If they are fewer.
pub fn require_descriptors(required: u64) -> Result<(), String> {
    let allowed = raise_descriptor_limit();
    if required > allowed {
        return Err(format!(
            "{required} descriptors are wanted and the system allows {allowed}: fewer courses at once, or fewer proxies"
        ));
    }
    Ok(())
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
        let path =
            std::env::temp_dir().join(format!("badgerramp-trial-{}-{name}", std::process::id()));
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
