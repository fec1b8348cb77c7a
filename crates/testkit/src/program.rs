//! The program under test, as a process of its own.

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

/// The program under test. It is killed at the end of the test if it still runs.
pub struct Proxy {
    pub address: SocketAddr,
    pub child: Child,
    unread_log: Receiver<String>,
    config: PathBuf,
}

static RUNS: AtomicUsize = AtomicUsize::new(0);

/// A temporary file of its own with this text.
pub fn temp_file(ending: &str, text: &str) -> PathBuf {
    let name = format!(
        "badgerramp-{}-{}.{ending}",
        std::process::id(),
        RUNS.fetch_add(1, Ordering::SeqCst)
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("a temporary file");
    path
}

/// Starts a program. Nothing of this process's RELAY_ variables reaches it.
pub fn start(
    program: &str,
    arguments: &[&OsStr],
    variables: &[(&str, &Path)],
    most: Option<u32>,
) -> Child {
    let limit = most
        .map(|most| format!("ulimit -n {most}; "))
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

/// Starts the program with this text as its configuration, with so many descriptors at the most.
pub fn spawn(program: &str, config: &str, descriptors: Option<u32>) -> (Child, PathBuf) {
    let path = temp_file("json", config);
    let child = start(program, &[], &[("RELAY_CONFIG", &path)], descriptors);
    (child, path)
}

pub const SETTINGS: &str = r#"{"balancers":1,"tick_us":1000,"discovery":"ask","locality":"a",
"classes":[{"name":"safe","objective_us":1500000,"deadline_us":3000000,"worth":1,"idempotency":"free"},
{"name":"keyed","objective_us":1500000,"deadline_us":3000000,"worth":1,"idempotency":"guarded","dedup_scope":"all",
"repeat_window_us":3000000},
{"name":"unsafe","objective_us":1500000,"deadline_us":3000000,"worth":1,"idempotency":"single_shot"}],
"limits":{"cancel":true,"max_attempts":3,"second_copies":false,"retry_after":true,"max_retry_after_us":700000,
"conn_idle_us":60000000,"connect_timeout_us":1000000,"max_open":1000},
"invariants":{"cold_from":0.3,"cold_us":7000000,"tip_after_us":2000000,"ask_every_us":1600000},
"report":{"how":"inline","columns":["active","waiting"]}}"#;

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

/// The same where lists are pushed: discovery is an agent on the proxy's own machine.
pub fn with_pushed_lists(text: &str) -> String {
    text.replace(r#""discovery":"ask""#, r#""discovery":"push""#)
}

impl Proxy {
    pub fn start(program: &str, discovery: &Discovery, known: &[String]) -> Proxy {
        let listen = "127.0.0.1:0".parse().expect("an address");
        Proxy::with_config(program, &config(listen, discovery.address, 1_024, known))
    }

    pub fn with_config(program: &str, text: &str) -> Proxy {
        Proxy::with_descriptor_limit(program, text, None)
    }

    /// On the platform, with so many descriptors at the most.
    pub fn with_descriptor_limit(program: &str, text: &str, descriptors: Option<u32>) -> Proxy {
        let (child, config) = spawn(program, text, descriptors);
        Proxy::wait_until_listening(child, config)
    }

    /// As a sidecar: with the text of an operator's file, and nothing else. Words of `before` come first.
    pub fn sidecar(program: &str, before: &[&str], text: &str) -> Proxy {
        let path = temp_file("toml", text);
        let mut arguments: Vec<&OsStr> = before.iter().map(OsStr::new).collect();
        arguments.extend([OsStr::new("run"), path.as_os_str()]);
        let child = start(program, &arguments, &[], None);
        Proxy::wait_until_listening(child, path)
    }

    /// Waits for the line that tells where it listens.
    pub fn wait_until_listening(mut child: Child, config: PathBuf) -> Proxy {
        let log = lines(child.stderr.take().expect("piped"));
        let mut seen = String::new();
        loop {
            let line = log.recv_timeout(EVENT_TIMEOUT);
            // In a structured log more may follow the address.
            let address = line
                .iter()
                .find_map(|l| Some(l.split_once("listening on ")?.1));
            let address = address.map(|a| a.trim_end_matches(|c: char| !c.is_ascii_digit()));
            match (address.map(str::parse), line) {
                (Some(Ok(address)), _) => {
                    return Proxy {
                        address,
                        child,
                        unread_log: log,
                        config,
                    }
                }
                (None, Ok(line)) => seen += &line,
                (odd, _) => {
                    // Nobody else would end it.
                    let _ = child.kill();
                    panic!("it does not listen: {odd:?}, {seen}");
                }
            }
        }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends it this signal, as `kill` names it.
    pub fn signal(&self, signal: &str) {
        let done = Command::new("kill")
            .arg(signal)
            .arg(self.child.id().to_string())
            .status();
        assert!(done.expect("kill").success());
    }

    /// Replaces the configuration and has the program read it.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config, text).expect("a temporary file");
        self.signal("-HUP");
    }

    /// The next line of its log that has these words; those before it are passed over.
    pub fn wait_for_log(&self, words: &str) -> String {
        loop {
            let line = self
                .unread_log
                .recv_timeout(EVENT_TIMEOUT)
                .unwrap_or_else(|_| panic!("it never says {words:?}"));
            if line.contains(words) {
                return line;
            }
        }
    }

    /// The lines of its log so far that nobody has looked at.
    pub fn unread_log(&self) -> Vec<String> {
        self.unread_log.try_iter().collect()
    }

    /// Waits for its end; true if that came in time and was no failure.
    pub fn exits_successfully(&mut self) -> bool {
        let asked = std::time::Instant::now();
        while asked.elapsed() < EVENT_TIMEOUT {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.success();
            }
            thread::sleep(QUIET_PERIOD / 30);
        }
        false
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a time-out");
        Client {
            stream: BufReader::new(stream),
        }
    }

    /// One call on a connection of its own.
    pub fn call(&self, class: &str, time: &str) -> Message {
        self.client().call(class, time)
    }
}

/// The lines of a log, also those that nobody looks at: a full pipe would hold the program up.
fn lines(log: ChildStderr) -> Receiver<String> {
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
