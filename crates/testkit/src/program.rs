//! The program under test as a child process.

use crate::client::Client;
use crate::discovery::{list, Discovery};
use crate::message::Message;
use crate::{EVENT_TIMEOUT, QUIET_PERIOD};
use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

/// The program under test as a child process. It is killed on drop if it is still running.
pub struct Proxy {
    /// Address at which the program listens.
    pub address: SocketAddr,
    /// The child process.
    pub child: Child,
    log: Receiver<String>,
    config: PathBuf,
}

/// Number of temporary files that this process has created.
static FILES: AtomicUsize = AtomicUsize::new(0);

/// Creates a temporary file with a unique name, this extension and this text.
pub fn temp_file(extension: &str, text: &str) -> PathBuf {
    let name = format!(
        "badgerramp-{}-{}.{extension}",
        std::process::id(),
        FILES.fetch_add(1, Ordering::SeqCst)
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("a temporary file");
    path
}

/// Starts a program, optionally with a limit on its open descriptors. The `RELAY_` variables of this process are not
/// passed on.
pub fn start(
    program: &str,
    arguments: &[&OsStr],
    variables: &[(&str, &Path)],
    descriptor_limit: Option<u32>,
) -> Child {
    let limit = descriptor_limit
        .map(|count| format!("ulimit -n {count}; "))
        .unwrap_or_default();
    let mut command = Command::new("sh");
    command
        .arg("-c")
        .arg(format!("{limit}exec \"$0\" \"$@\""))
        .arg(program)
        .args(arguments);
    for name in [
        "RELAY_NAME",
        "RELAY_LISTEN",
        "RELAY_DISCOVERY",
        "RELAY_CONFIG",
    ] {
        command.env_remove(name);
    }
    for (name, value) in variables {
        command.env(name, value);
    }
    command
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts")
}

/// Starts the program with this configuration, optionally with a limit on its open descriptors.
pub fn spawn(program: &str, config: &str, descriptor_limit: Option<u32>) -> (Child, PathBuf) {
    let path = temp_file("json", config);
    let child = start(program, &[], &[("RELAY_CONFIG", &path)], descriptor_limit);
    (child, path)
}

/// Settings of the test configuration.
pub const SETTINGS: &str = r#"{"balancers":1,"tick_us":1000,"discovery":"ask","locality":"a",
"classes":[{"name":"safe","objective_us":1500000,"deadline_us":3000000,"worth":1,"idempotency":"free"},
{"name":"keyed","objective_us":1500000,"deadline_us":3000000,"worth":1,"idempotency":"guarded","dedup_scope":"all",
"repeat_window_us":3000000},
{"name":"unsafe","objective_us":1500000,"deadline_us":3000000,"worth":1,"idempotency":"single_shot"}],
"limits":{"cancel":true,"max_attempts":3,"second_copies":false,"retry_after":true,"max_retry_after_us":700000,
"conn_idle_us":60000000,"connect_timeout_us":1000000,"max_open":1000},
"invariants":{"cold_from":0.3,"cold_us":7000000,"tip_after_us":2000000,"ask_every_us":1600000},
"report":{"how":"inline","columns":["active","waiting"]}}"#;

/// A configuration whose saved endpoint list is `known`.
pub fn config(
    listen: SocketAddr,
    discovery: SocketAddr,
    sockets: usize,
    known: &[String],
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{},"settings":{SETTINGS}}}"#,
        list(41, true, known)
    )
}

/// The same configuration for an agent on the proxy's own machine that pushes the list.
pub fn with_pushed_lists(config: &str) -> String {
    config.replace(r#""discovery":"ask""#, r#""discovery":"push""#)
}

impl Proxy {
    /// Starts the program with this list service and this saved endpoint list.
    pub fn start(program: &str, discovery: &Discovery, known: &[String]) -> Proxy {
        let listen = "127.0.0.1:0".parse().expect("an address");
        Proxy::with_config(program, &config(listen, discovery.address, 1_024, known))
    }

    /// Starts the program with this configuration.
    pub fn with_config(program: &str, config: &str) -> Proxy {
        Proxy::with_descriptor_limit(program, config, None)
    }

    /// Starts the program with this configuration, optionally with a limit on its open descriptors.
    pub fn with_descriptor_limit(
        program: &str,
        config: &str,
        descriptor_limit: Option<u32>,
    ) -> Proxy {
        let (child, path) = spawn(program, config, descriptor_limit);
        Proxy::wait_until_listening(child, path)
    }

    /// Starts the program as a sidecar with this operator's file. The arguments `before` precede the `run` command.
    pub fn sidecar(program: &str, before: &[&str], text: &str) -> Proxy {
        let path = temp_file("toml", text);
        let mut arguments: Vec<&OsStr> = before.iter().map(OsStr::new).collect();
        arguments.extend([OsStr::new("run"), path.as_os_str()]);
        let child = start(program, &arguments, &[], None);
        Proxy::wait_until_listening(child, path)
    }

    /// Waits for the log line that has the address at which the program listens.
    ///
    /// # Panics
    /// If the program does not report an address in time.
    pub fn wait_until_listening(mut child: Child, config: PathBuf) -> Proxy {
        let log = read_lines(child.stderr.take().expect("piped"));
        let mut seen = String::new();
        loop {
            let line = log.recv_timeout(EVENT_TIMEOUT);
            // In a structured log, other fields may follow the address.
            let address = line
                .iter()
                .find_map(|l| Some(l.split_once("listening on ")?.1));
            let address = address.map(|a| a.trim_end_matches(|c: char| !c.is_ascii_digit()));
            match (address.map(str::parse), line) {
                (Some(Ok(address)), _) => {
                    return Proxy {
                        address,
                        child,
                        log,
                        config,
                    }
                }
                (None, Ok(line)) => seen += &line,
                (unparsed, _) => {
                    // The child is not yet owned by a `Proxy`, so it would not be killed on drop.
                    let _ = child.kill();
                    panic!(
                        "the program does not report where it listens: {unparsed:?}, log: {seen}"
                    );
                }
            }
        }
    }

    /// Sends SIGTERM to the program.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends this signal to the program, in the notation of `kill`.
    pub fn signal(&self, signal: &str) {
        let done = Command::new("kill")
            .arg(signal)
            .arg(self.child.id().to_string())
            .status();
        assert!(done.expect("kill").success());
    }

    /// Replaces the configuration and sends SIGHUP, so that the program reloads it.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config, text).expect("a temporary file");
        self.signal("-HUP");
    }

    /// Waits for the next log line that contains this text. Skips the lines before it.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(EVENT_TIMEOUT)
                .unwrap_or_else(|_| panic!("no log line contains {text:?}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// The log lines so far that have not been consumed.
    pub fn unread_log(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Waits until the program exits; true if it does so in time and with success.
    pub fn exits_successfully(&mut self) -> bool {
        let started = std::time::Instant::now();
        while started.elapsed() < EVENT_TIMEOUT {
            if let Some(status) = self.child.try_wait().expect("the status of the child") {
                return status.success();
            }
            thread::sleep(QUIET_PERIOD / 30);
        }
        false
    }

    /// Opens a client connection to the program.
    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the program accepts connections");
        stream
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a read time-out");
        Client {
            stream: BufReader::new(stream),
        }
    }

    /// Sends one request of this class on a new connection and reads the response.
    pub fn call(&self, class: &str, timeout: &str) -> Message {
        self.client().call(class, timeout)
    }
}

/// Reads the lines of a log in a thread of its own: the program would block on a full pipe if nobody read it.
fn read_lines(log: ChildStderr) -> Receiver<String> {
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            let _ = sender.send(line + "\n");
        }
    });
    receiver
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
