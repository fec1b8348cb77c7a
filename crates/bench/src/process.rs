//! Processes that a benchmark starts, and files that it writes. Dropping a value ends its process or removes its file.

use crate::BenchError;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Microseconds per tick of the process clock: `CLK_TCK` is 100 on Linux.
const TICK_US: f64 = 10_000.0;
/// Size of a memory page, in KiB.
const PAGE_KIB: u64 = 4;

/// A listening process, which is killed on drop.
pub(crate) struct Process {
    child: Child,
    pub address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a program pinned to the first core, and waits until it has logged its listen address.
    pub(crate) fn start(program: &Path, arguments: &[String]) -> Result<Self, BenchError> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args(["pinned", "0"])
            .arg(program)
            .arg("--")
            .args(arguments);
        Process::spawn_listening(command)
    }

    /// Starts the program as a sidecar with this operator's file, not pinned to a core.
    pub(crate) fn sidecar(file: &TemporaryFile) -> Result<Self, BenchError> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("proxy").arg(file.path());
        Process::spawn_listening(command)
    }

    /// Starts a command, and waits for the log line with its listen address.
    fn spawn_listening(mut command: Command) -> Result<Self, BenchError> {
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let mut lines = BufReader::new(
            child
                .stderr
                .take()
                .ok_or("standard error of the process is not piped")?,
        )
        .lines();
        while let Some(Ok(line)) = lines.next() {
            if let Some((_, address)) = line.split_once("listening on ") {
                let address = address.trim().parse()?;
                // The log is read to its end, because the program would block on a full pipe.
                std::thread::spawn(move || lines.for_each(drop));
                return Ok(Process { child, address });
            }
            eprintln!("{line}");
        }
        let _ = child.kill();
        let _ = child.wait();
        Err("the process ended without logging a listen address".into())
    }

    fn stat(&self, file: &str) -> Result<String, BenchError> {
        Ok(std::fs::read_to_string(format!(
            "/proc/{}/{file}",
            self.child.id()
        ))?)
    }

    /// CPU time used so far, in microseconds.
    pub(crate) fn cpu(&self) -> Result<f64, BenchError> {
        let stat = self.stat("stat")?;
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        Ok((ticks(11) + ticks(12)) * TICK_US)
    }

    /// Resident memory in KiB.
    pub(crate) fn memory(&self) -> Result<u64, BenchError> {
        let pages = self
            .stat("statm")?
            .split(' ')
            .nth(1)
            .and_then(|p| p.parse::<u64>().ok());
        Ok(pages.unwrap_or(0) * PAGE_KIB)
    }
}

/// Starts the stand-in hosts in a separate process. Returns the process and the hosts' ports.
pub(crate) fn start_hosts() -> Result<(HostProcess, Vec<u16>), BenchError> {
    let mut child = Command::new(std::env::current_exe()?)
        .arg("hosts")
        .stdout(Stdio::piped())
        .spawn()?;
    let mut line = String::new();
    BufReader::new(
        child
            .stdout
            .take()
            .ok_or("standard output of the process is not piped")?,
    )
    .read_line(&mut line)?;
    let ports = line
        .split_whitespace()
        .map(str::parse)
        .collect::<Result<_, _>>()?;
    Ok((HostProcess(child), ports))
}

/// The process of the stand-in hosts, which is killed on drop.
pub(crate) struct HostProcess(Child);

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A file that is removed on drop.
pub(crate) struct TemporaryFile(PathBuf);

impl TemporaryFile {
    /// Writes a file with this name to the system's folder for temporary files.
    pub(crate) fn write(name: &str, text: &str) -> Result<Self, BenchError> {
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text)?;
        Ok(TemporaryFile(path))
    }

    /// The path of the file.
    pub(crate) fn path(&self) -> String {
        self.0.display().to_string()
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
