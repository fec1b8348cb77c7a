//! Processes that a benchmark starts, and files that it writes; all of them go with the value that holds them.

use crate::Fault;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Microseconds of a tick of the process clock: `CLK_TCK` is 100 on Linux.
const TICK: f64 = 10_000.0;
const PAGE_KIB: u64 = 4;

/// A process that listens; ended with this.
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
    /// Starts a program on the first core and waits until it tells where it listens.
    pub(crate) fn start(program: &Path, arguments: &[String]) -> Result<Self, Fault> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args(["pinned", "0"])
            .arg(program)
            .arg("--")
            .args(arguments);
        Process::listening(command)
    }

    /// Starts the program as a sidecar with this operator's file, on any core.
    pub(crate) fn sidecar(file: &TemporaryFile) -> Result<Self, Fault> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("proxy").arg(file.path());
        Process::listening(command)
    }

    /// Starts a command and waits for the line of its log that tells where it listens.
    fn listening(mut command: Command) -> Result<Self, Fault> {
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let mut lines = BufReader::new(child.stderr.take().ok_or("piped")?).lines();
        while let Some(Ok(line)) = lines.next() {
            if let Some((_, address)) = line.split_once("listening on ") {
                let address = address.trim().parse()?;
                // A full pipe would hold the program up.
                std::thread::spawn(move || lines.for_each(drop));
                return Ok(Process { child, address });
            }
            eprintln!("{line}");
        }
        let _ = child.kill();
        let _ = child.wait();
        Err("it does not listen".into())
    }

    fn stat(&self, file: &str) -> Result<String, Fault> {
        Ok(std::fs::read_to_string(format!(
            "/proc/{}/{file}",
            self.child.id()
        ))?)
    }

    /// CPU used so far, in microseconds.
    pub(crate) fn cpu(&self) -> Result<f64, Fault> {
        let stat = self.stat("stat")?;
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = |place: usize| {
            fields
                .get(place)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        Ok((ticks(11) + ticks(12)) * TICK)
    }

    /// Resident memory in KiB.
    pub(crate) fn memory(&self) -> Result<u64, Fault> {
        let pages = self
            .stat("statm")?
            .split(' ')
            .nth(1)
            .and_then(|p| p.parse::<u64>().ok());
        Ok(pages.unwrap_or(0) * PAGE_KIB)
    }
}

/// The stand-in hosts, in a process of their own, and their ports.
pub(crate) fn start_hosts() -> Result<(HostProcess, Vec<u16>), Fault> {
    let mut child = Command::new(std::env::current_exe()?)
        .arg("hosts")
        .stdout(Stdio::piped())
        .spawn()?;
    let mut line = String::new();
    BufReader::new(child.stdout.take().ok_or("piped")?).read_line(&mut line)?;
    let ports = line
        .split_whitespace()
        .map(str::parse)
        .collect::<Result<_, _>>()?;
    Ok((HostProcess(child), ports))
}

/// The process of the stand-in hosts; ended with this.
pub(crate) struct HostProcess(Child);

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A file that is removed with this.
pub(crate) struct TemporaryFile(PathBuf);

impl TemporaryFile {
    /// Writes a file of this name into the folder for temporary files.
    pub(crate) fn write(name: &str, text: &str) -> Result<Self, Fault> {
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text)?;
        Ok(TemporaryFile(path))
    }

    /// Where it is.
    pub(crate) fn path(&self) -> String {
        self.0.display().to_string()
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
