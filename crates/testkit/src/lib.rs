//! Small stub peers on loopback sockets: hosts, discovery and a client, and the program between them.
#![forbid(unsafe_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Longest wait for anything that must come: far beyond what it takes.
pub const LONG: Duration = Duration::from_secs(20);
/// Wait in which something that must not come would have come.
pub const SHORT: Duration = Duration::from_millis(300);

/// An HTTP message: its first line and headers, and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|l| l.split_once(':'));
        fields.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }
}

/// Reads one message; None at the end of the connection.
pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head += &line;
    }
    let mut message = Message { head, body: Vec::new() };
    let length = message.header("content-length").map_or(0, |l| l.parse().expect("a length"));
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a stub host does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Writes this and goes on.
    Write(String),
    /// Writes this and closes the connection.
    WriteAndClose(String),
    /// Says nothing, and reports when the other side closes.
    Silence,
}

pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// What a stub host saw.
#[derive(Debug)]
pub enum Seen {
    Opened(usize),
    /// On which connection, and what.
    Request(usize, Message),
    Closed(usize),
}

pub struct Host {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
}

impl Host {
    /// A host that answers its requests by `script`, given their number from 0.
    pub fn start(script: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (sender, seen) = channel();
        let (script, count) = (Arc::new(script), Arc::new(AtomicUsize::new(0)));
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (script, count, sender) = (Arc::clone(&script), Arc::clone(&count), sender.clone());
                thread::spawn(move || serve(number, stream, &*script, &count, &sender));
            }
        });
        Host { address, seen }
    }

    pub fn serving(body: &'static str) -> Host {
        Host::start(move |_| Reply::Write(answer("200 OK", "", body)))
    }

    /// The next request and the number of its connection; what else happens is passed over.
    pub fn request(&self) -> (usize, Message) {
        loop {
            if let Seen::Request(number, message) = self.seen.recv_timeout(LONG).expect("a request") {
                return (number, message);
            }
        }
    }

    /// Waits until a connection has closed.
    pub fn closed(&self) -> usize {
        loop {
            if let Seen::Closed(number) = self.seen.recv_timeout(LONG).expect("a connection that closes") {
                return number;
            }
        }
    }

    /// How many requests have come and were not looked at, after a while in which more could come.
    pub fn further_requests(&self) -> usize {
        thread::sleep(SHORT);
        self.seen.try_iter().filter(|s| matches!(s, Seen::Request(..))).count()
    }
}

fn serve(
    number: usize,
    stream: TcpStream,
    script: &dyn Fn(usize) -> Reply,
    count: &AtomicUsize,
    sender: &Sender<Seen>,
) {
    let _ = sender.send(Seen::Opened(number));
    let mut stream = BufReader::new(stream);
    while let Some(message) = read(&mut stream) {
        let reply = script(count.fetch_add(1, Ordering::SeqCst));
        let last = matches!(reply, Reply::WriteAndClose(_));
        if let (true, Reply::WriteAndClose(text)) = (last, &reply) {
            let _ = stream.get_mut().write_all(text.as_bytes());
            drop(stream);
            let _ = sender.send(Seen::Request(number, message));
            let _ = sender.send(Seen::Closed(number));
            return;
        }
        let _ = sender.send(Seen::Request(number, message));
        if let Reply::Write(text) = reply {
            let _ = stream.get_mut().write_all(text.as_bytes());
        }
    }
    let _ = sender.send(Seen::Closed(number));
}

/// An address at which nothing listens.
pub fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

/// A host at which connections hang: its queue is full and it takes nobody.
pub struct Deaf {
    pub address: SocketAddr,
    listener: TcpListener,
    waiting: Vec<TcpStream>,
}

impl Deaf {
    pub fn start() -> Deaf {
        // The standard library's listener has a long queue; this one's is one.
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
        let _entered = runtime.enter();
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(1).and_then(tokio::net::TcpListener::into_std).expect("a listener");
        let address = listener.local_addr().expect("its address");
        let mut waiting = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, SHORT) {
            waiting.push(stream);
            assert!(waiting.len() < 64, "the queue never fills");
        }
        Deaf { address, listener, waiting }
    }

    /// Takes those that wait, and tells whether another comes in the time in which its next try would.
    pub fn another_comes(self) -> bool {
        self.listener.set_nonblocking(true).expect("a listener");
        let known: Vec<_> = self.waiting.iter().map(|w| w.local_addr().expect("an address")).collect();
        let asked = std::time::Instant::now();
        while asked.elapsed() < SHORT * 10 {
            match self.listener.accept() {
                Ok((_, from)) if !known.contains(&from) => return true,
                _ => thread::sleep(SHORT / 30),
            }
        }
        false
    }
}

/// Discovery: the test sees each question and gives each answer.
pub struct Discovery {
    pub address: SocketAddr,
    asked: Receiver<String>,
    answers: Sender<String>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let ((question, asked), (answers, given)) = (channel(), channel::<String>());
        let given = Arc::new(Mutex::new(given));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut stream = BufReader::new(stream);
                while let Some(message) = read(&mut stream) {
                    let line = message.head.lines().next().unwrap_or_default().to_owned();
                    let Ok(()) = question.send(line) else { return };
                    let Ok(text) = given.lock().expect("one thread").recv() else { return };
                    if stream.get_mut().write_all(text.as_bytes()).is_err() || text.is_empty() {
                        break;
                    }
                }
            }
        });
        Discovery { address, asked, answers }
    }

    /// The request line of the next question.
    pub fn asked(&self) -> String {
        self.asked.recv_timeout(LONG).expect("a question to discovery")
    }

    /// Answers the question that is open.
    pub fn tell(&self, list: &str) {
        self.answers.send(answer("200 OK", "", list)).expect("discovery runs");
    }

    pub fn say(&self, text: String) {
        self.answers.send(text).expect("discovery runs");
    }
}

/// An entry of the list.
pub fn entry(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
    )
}

pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// The program under test. It is killed at the end of the test if it still runs.
pub struct Proxy {
    pub address: SocketAddr,
    pub child: Child,
    pub log: BufReader<ChildStderr>,
    config: std::path::PathBuf,
}

static RUNS: AtomicUsize = AtomicUsize::new(0);

/// Starts the program with this text as its configuration, with so many descriptors at the most.
pub fn spawn(program: &str, config: &str, descriptors: Option<u32>) -> (Child, std::path::PathBuf) {
    let name = format!("badgerramp-{}-{}.json", std::process::id(), RUNS.fetch_add(1, Ordering::SeqCst));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).expect("a temporary file");
    let limit = descriptors.map(|most| format!("ulimit -n {most}; ")).unwrap_or_default();
    let child = Command::new("sh")
        .arg("-c")
        .arg(format!("{limit}exec \"$0\""))
        .arg(program)
        .env("RELAY_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
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

pub fn config(listen: SocketAddr, discovery: SocketAddr, sockets: usize, known: &[String]) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{},"settings":{SETTINGS}}}"#,
        list(41, true, known)
    )
}

impl Proxy {
    pub fn start(program: &str, discovery: &Discovery, known: &[String]) -> Proxy {
        let listen = "127.0.0.1:0".parse().expect("an address");
        Proxy::with(program, &config(listen, discovery.address, 1_024, known))
    }

    pub fn with(program: &str, text: &str) -> Proxy {
        Proxy::within(program, text, None)
    }

    /// Waits for the line that tells where it listens.
    pub fn within(program: &str, text: &str, descriptors: Option<u32>) -> Proxy {
        let (mut child, config) = spawn(program, text, descriptors);
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).expect("text") > 0, "it ended before it listened");
            if let Some((_, address)) = line.split_once("listening on ") {
                let address = address.trim().parse().expect("an address");
                return Proxy { address, child, log, config };
            }
        }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    fn signal(&self, signal: &str) {
        let done = Command::new("kill").arg(signal).arg(self.child.id().to_string()).status();
        assert!(done.expect("kill").success());
    }

    /// Replaces the configuration and has the program read it.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config, text).expect("a temporary file");
        self.signal("-HUP");
    }

    /// The next line of its log that has these words; those before it are passed over.
    pub fn logged(&mut self, words: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).expect("text") > 0, "it ended");
            if line.contains(words) {
                return line;
            }
        }
    }

    /// Waits for its end; true if that came in time and was no failure.
    pub fn ended(&mut self) -> bool {
        let asked = std::time::Instant::now();
        while asked.elapsed() < LONG {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.success();
            }
            thread::sleep(SHORT / 30);
        }
        false
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Client { stream: BufReader::new(stream) }
    }

    /// One call on a connection of its own.
    pub fn call(&self, class: &str, time: &str) -> Message {
        self.client().call(class, time)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

static IDS: AtomicUsize = AtomicUsize::new(0);

/// A request in the form that clients give it.
pub fn request(class: &str, time: &str, id: &str) -> String {
    let (method, rest) = match class {
        "safe" => ("GET", "\r\n"),
        "keyed" => ("POST", "Idempotency-Key: 5c0f\r\nContent-Length: 4\r\n\r\nbody"),
        _ => ("POST", "Content-Length: 4\r\n\r\nbody"),
    };
    format!(
        "{method} /{class}?q=1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: {time}\r\n{rest}"
    )
}

pub struct Client {
    pub stream: BufReader<TcpStream>,
}

impl Client {
    /// Sends a request of this class, under an id of its own.
    pub fn send(&mut self, class: &str, time: &str) {
        let id = format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst));
        self.write(&request(class, time, &id));
    }

    pub fn write(&mut self, text: &str) {
        self.stream.get_mut().write_all(text.as_bytes()).expect("an open connection");
    }

    pub fn answer(&mut self) -> Option<Message> {
        read(&mut self.stream)
    }

    pub fn call(&mut self, class: &str, time: &str) -> Message {
        self.send(class, time);
        self.answer().expect("a final answer")
    }
}
