// Stand-ins for the cases 6 to 10: hosts, discovery, clients, and the client proxy as a child process.
// They follow the protocol and deployment pages; only the standard library is used, and only loopback addresses.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- time and record

static START: OnceLock<(Instant, u64)> = OnceLock::new();

/// Unix time in microseconds, which never goes backwards.
pub fn now_us() -> u64 {
    let (start, unix) = START.get_or_init(|| {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("the clock");
        (Instant::now(), unix.as_micros() as u64)
    });
    unix + start.elapsed().as_micros() as u64
}

/// Microseconds since the start of the test.
pub fn test_us() -> u64 {
    let first = START.get().map_or(0, |s| s.1);
    now_us().saturating_sub(first)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until this many milliseconds after the start of the test.
pub fn sleep_until_ms(ms: u64) {
    let at = ms * 1_000;
    let now = test_us();
    if at > now {
        thread::sleep(Duration::from_micros(at - now));
    }
}

static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens the record of the case.
pub fn open_record(path: &Path) {
    now_us();
    let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("record: {e}")));
    let _ = RECORD.set(Mutex::new(file));
}

/// Writes a line with the time since the start into the record.
pub fn rec(line: &str) {
    if let Some(file) = RECORD.get() {
        let t = test_us();
        let text = format!("{:>9.3} {line}\n", t as f64 / 1e3);
        let _ = file.lock().expect("the record").write_all(text.as_bytes());
    }
}

/// Writes a line into the record and to standard output.
pub fn say(line: &str) {
    rec(line);
    println!("{line}");
}

/// Ends the test: the case couldn't run.
pub fn cannot_run(why: &str) -> ! {
    say(&format!("CANNOT RUN: {why}"));
    kill_children();
    std::process::exit(2);
}

/// Ends the test with its verdict.
pub fn verdict(broken: bool, text: &str) -> ! {
    say(&format!(
        "{}: {text}",
        if broken { "BROKEN" } else { "HELD" }
    ));
    kill_children();
    std::process::exit(i32::from(broken));
}

/// Whether the disruption is left out (`TROUBLE=0`).
pub fn without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|v| v == "0")
}

/// A small random number generator (xorshift), seeded per test.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
}

// ---------------------------------------------------------------- messages

/// The head of a message, with the time of its first byte.
#[derive(Clone, Debug)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub first_us: u64,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// A reader of messages on one connection.
pub struct Reader {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// The connection ended (also by a reset) with no byte of a message.
    ClosedBetween,
    /// The connection ended (also by a reset) within a message.
    ClosedWithin,
    /// Nothing (more) came in time.
    Timeout,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Reader {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> Result<usize, ReadEnd> {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err(ReadEnd::ClosedWithin),
            Ok(n) => {
                self.buf.extend_from_slice(&chunk[..n]);
                Ok(n)
            }
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                Err(ReadEnd::Timeout)
            }
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => Ok(0),
            Err(_) => Err(ReadEnd::ClosedWithin),
        }
    }

    pub fn head(&mut self) -> Result<Head, ReadEnd> {
        let mut first_us = if self.buf.is_empty() { 0 } else { now_us() };
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let fields = lines
                    .filter_map(|l| l.split_once(':'))
                    .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Head {
                    start,
                    fields,
                    first_us,
                });
            }
            match self.fill() {
                Ok(_) => {
                    if first_us == 0 && !self.buf.is_empty() {
                        first_us = now_us();
                    }
                }
                Err(ReadEnd::ClosedWithin) if self.buf.is_empty() => {
                    return Err(ReadEnd::ClosedBetween)
                }
                Err(e) => return Err(e),
            }
        }
    }

    pub fn body(&mut self, len: usize) -> Result<Vec<u8>, ReadEnd> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Ok(self.buf.drain(..len).collect())
    }
}

// ---------------------------------------------------------------- hosts

/// A request that has come to a host whole.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub host: String,
    pub group: u32,
    pub connection: u64,
    pub id: String,
    pub class: String,
    pub key: String,
    /// When its first and its last byte came.
    pub first_us: u64,
    pub last_us: u64,
    pub timeout: String,
    /// The number of this request over all hosts.
    pub number: u64,
}

/// What a host does with a request: writes its answer to the stream and returns whether the connection goes on.
pub type Behaviour = Arc<dyn Fn(&Arrival, &mut TcpStream) -> bool + Send + Sync>;

/// What all hosts have got.
#[derive(Default)]
pub struct Arrivals {
    pub all: Mutex<Vec<Arrival>>,
    next: AtomicU64,
    connections: AtomicU64,
}

#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub zone: String,
    pub group: u32,
    pub since_ms: u64,
    pub address: SocketAddr,
    pub stopped: Arc<AtomicBool>,
    /// Its open connections, which end with it.
    pub open: Arc<Mutex<Vec<TcpStream>>>,
}

/// The body of the one answer that is made for a request.
pub fn body_for(id: &str, host: &str) -> String {
    let mut body = format!("answer to {id} by {host};");
    while body.len() < 300 {
        body.push_str(" 0123456789abcdef");
    }
    body.push_str(" end\n");
    body
}

/// Whether this is the whole answer that some host made for the request with this id.
pub fn is_answer_to(id: &str, body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body);
    let Some(rest) = text.strip_prefix(&format!("answer to {id} by ")) else {
        return false;
    };
    let Some((host, _)) = rest.split_once(';') else {
        return false;
    };
    text == body_for(id, host)
}

/// A good answer with its length.
pub fn answer(stream: &mut TcpStream, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

pub fn answer_status(stream: &mut TcpStream, status: &str, extra: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\n{extra}Content-Length: 2\r\n\r\nno");
    stream.write_all(text.as_bytes()).is_ok()
}

/// Starts a host on a free loopback port (or at `address`, which must be free).
pub fn start_host(
    (name, zone, group, since_ms): (&str, &str, u32, u64),
    address: Option<SocketAddr>,
    arrivals: &Arc<Arrivals>,
    behaviour: Behaviour,
) -> Host {
    let bind = address.unwrap_or_else(|| "127.0.0.1:0".parse().expect("an address"));
    let listener =
        TcpListener::bind(bind).unwrap_or_else(|e| cannot_run(&format!("host {name}: {e}")));
    let host = Host {
        name: name.to_owned(),
        zone: zone.to_owned(),
        group,
        since_ms,
        address: listener.local_addr().expect("an address"),
        stopped: Arc::default(),
        open: Arc::default(),
    };
    let (copy, arrivals) = (host.clone(), Arc::clone(arrivals));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            if copy.stopped.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(stream) = stream.try_clone() {
                copy.open.lock().expect("connections").push(stream);
            }
            let (host, arrivals, behaviour) =
                (copy.clone(), Arc::clone(&arrivals), Arc::clone(&behaviour));
            thread::spawn(move || serve_host(&host, stream, &arrivals, &behaviour));
        }
    });
    host
}

/// Ends a host: its address takes no more connections, and open ones are closed.
pub fn stop_host(host: &Host) {
    host.stopped.store(true, Ordering::SeqCst);
    // Wakes the thread that accepts.
    let _ = TcpStream::connect(host.address);
    for stream in host.open.lock().expect("connections").drain(..) {
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    for _ in 0..100 {
        if TcpStream::connect(host.address).is_err() {
            rec(&format!("host {} has ended", host.name));
            return;
        }
        sleep_ms(5);
    }
    cannot_run("a host could not be ended");
}

fn serve_host(host: &Host, stream: TcpStream, arrivals: &Arrivals, behaviour: &Behaviour) {
    let connection = arrivals.connections.fetch_add(1, Ordering::SeqCst);
    let mut reader = Reader::new(stream);
    loop {
        let Ok(head) = reader.head() else { return };
        let len = head
            .get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        if reader.body(len).is_err() {
            return;
        }
        let path = head.start.split(' ').nth(1).unwrap_or("/").to_owned();
        let class = path
            .trim_start_matches('/')
            .split(['/', '?'])
            .next()
            .unwrap_or("")
            .to_owned();
        let text = |name: &str| head.get(name).unwrap_or_default().to_owned();
        let arrival = Arrival {
            host: host.name.clone(),
            group: host.group,
            connection,
            id: text("x-request-id"),
            class,
            key: text("idempotency-key"),
            first_us: head.first_us,
            last_us: now_us(),
            timeout: text("x-timeout"),
            number: arrivals.next.fetch_add(1, Ordering::SeqCst),
        };
        rec(&format!(
            "host {} (group {}) got {} class {} key {} x-timeout {} on connection {connection}",
            arrival.host, arrival.group, arrival.id, arrival.class, arrival.key, arrival.timeout
        ));
        arrivals.all.lock().expect("arrivals").push(arrival.clone());
        if arrival.id.is_empty() {
            if !answer_status(&mut reader.stream, "404 Not Found", "") {
                return;
            }
            continue;
        }
        if !behaviour(&arrival, &mut reader.stream) {
            return;
        }
    }
}

// ---------------------------------------------------------------- discovery

#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub group: u32,
    pub status: String,
    pub since_ms: u64,
}

impl Entry {
    pub fn of(host: &Host) -> Self {
        Entry {
            name: host.name.clone(),
            address: host.address.to_string(),
            zone: host.zone.clone(),
            group: host.group,
            status: "up".to_owned(),
            since_ms: host.since_ms,
        }
    }
    pub fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"std","group":{},"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.zone, self.group, self.status, self.since_ms
        )
    }
}

#[derive(Default)]
pub struct ListState {
    pub index: u64,
    /// What is listed, with the index of the last change. Removed entries stay, with their status.
    pub entries: Vec<(Entry, u64)>,
    /// While set, calls end with a reset and new connections are closed.
    pub down: bool,
    /// Calls that were open when this was raised are never answered.
    pub silence: u64,
    /// Whole lists leave out hosts that drain, and calls are answered with the whole list.
    pub whole_lists: bool,
}

/// What was written to a client proxy.
#[derive(Clone, Debug)]
pub struct Told {
    pub proxy: String,
    pub at_us: u64,
    pub index: u64,
    pub whole: bool,
    /// Name and status of each entry written.
    pub entries: Vec<(String, String)>,
}

pub struct Discovery {
    pub state: Mutex<ListState>,
    pub changed: Condvar,
    pub told: Mutex<Vec<Told>>,
}

pub fn list_json(index: u64, whole: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(
        r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

impl Discovery {
    pub fn new(index: u64, entries: Vec<Entry>) -> Arc<Self> {
        let state = ListState {
            index,
            entries: entries.into_iter().map(|e| (e, index)).collect(),
            ..ListState::default()
        };
        Arc::new(Discovery {
            state: Mutex::new(state),
            changed: Condvar::new(),
            told: Mutex::default(),
        })
    }

    /// Applies changes as one new version of the list.
    pub fn change(&self, changes: Vec<Entry>) {
        let mut state = self.state.lock().expect("list");
        state.index += 1;
        let index = state.index;
        for change in changes {
            rec(&format!(
                "discovery: version {index}: {} {} {}",
                change.name, change.status, change.address
            ));
            match state
                .entries
                .iter_mut()
                .find(|(e, _)| e.name == change.name)
            {
                Some(known) => *known = (change, index),
                None => state.entries.push((change, index)),
            }
        }
        self.changed.notify_all();
    }

    pub fn set(&self, set: impl FnOnce(&mut ListState)) {
        set(&mut self.state.lock().expect("list"));
        self.changed.notify_all();
    }

    pub fn current(&self) -> (u64, Vec<Entry>) {
        let state = self.state.lock().expect("list");
        let listed = state.entries.iter().filter(|(e, _)| e.status != "removed");
        (state.index, listed.map(|(e, _)| e.clone()).collect())
    }

    /// The address at which this client proxy finds the service.
    pub fn listen_for(self: &Arc<Self>, proxy: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0")
            .unwrap_or_else(|e| cannot_run(&format!("discovery: {e}")));
        let address = listener.local_addr().expect("an address");
        let (this, proxy) = (Arc::clone(self), proxy.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                if this.state.lock().expect("list").down {
                    rec(&format!("discovery: down, call of {proxy} ended"));
                    continue;
                }
                let (this, proxy) = (Arc::clone(&this), proxy.clone());
                thread::spawn(move || this.serve(&proxy, stream));
            }
        });
        address
    }

    fn serve(&self, proxy: &str, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        loop {
            let Ok(head) = reader.head() else { return };
            let target = head.start.split(' ').nth(1).unwrap_or("/").to_owned();
            let query = |name: &str| {
                let (_, query) = target.split_once('?')?;
                query
                    .split('&')
                    .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?
                    .parse::<u64>()
                    .ok()
            };
            let (index, wait) = (query("index"), query("wait").unwrap_or(0));
            rec(&format!("discovery: call of {proxy}: {target}"));
            let until = now_us() + wait * 1_000;
            let mut state = self.state.lock().expect("list");
            let silence = state.silence;
            loop {
                if state.down {
                    rec(&format!("discovery: down, call of {proxy} ended"));
                    return;
                }
                if state.silence != silence {
                    rec(&format!("discovery: call of {proxy} falls silent"));
                    drop(state);
                    // The connection stays open and nothing comes.
                    let mut sink = [0; 64];
                    let _ = reader.stream.read(&mut sink);
                    return;
                }
                let now = now_us();
                if index.is_none_or(|i| state.index > i) || now >= until {
                    break;
                }
                let left = Duration::from_micros(until - now);
                state = self.changed.wait_timeout(state, left).expect("list").0;
            }
            let version = state.index;
            let whole = index.is_none_or(|i| state.whole_lists && version > i);
            let since = index.unwrap_or(0);
            let entries: Vec<Entry> = state
                .entries
                .iter()
                .filter(|(e, _)| {
                    !whole || (e.status != "removed" && !(state.whole_lists && e.status != "up"))
                })
                .filter(|(_, changed)| whole || *changed > since)
                .map(|(e, _)| e.clone())
                .collect();
            drop(state);
            let body = list_json(version, whole, &entries);
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            let told = Told {
                proxy: proxy.to_owned(),
                at_us: now_us(),
                index: version,
                whole,
                entries: entries
                    .iter()
                    .map(|e| (e.name.clone(), e.status.clone()))
                    .collect(),
            };
            let names: Vec<String> = told
                .entries
                .iter()
                .map(|(n, s)| format!("{n}={s}"))
                .collect();
            rec(&format!(
                "discovery: told {proxy} version {version} {}: {}",
                if whole { "(whole)" } else { "(changes)" },
                names.join(" ")
            ));
            self.told.lock().expect("told").push(told);
        }
    }
}

// ---------------------------------------------------------------- client proxies

static CHILDREN: Mutex<Vec<Process>> = Mutex::new(Vec::new());
/// Where the ids of started processes are kept for the script, which ends what this program could not.
static PID_FILE: OnceLock<PathBuf> = OnceLock::new();

/// A process that this program has started. Clones stand for the same one.
#[derive(Clone)]
pub struct Process {
    id: u32,
    child: Arc<Mutex<Child>>,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Its status if it has ended.
    pub fn try_wait(&self) -> std::io::Result<Option<std::process::ExitStatus>> {
        self.child.lock().expect("a child").try_wait()
    }

    /// Kills it if it still runs, and waits for its end, so that nothing is left of it.
    pub fn end(&self) {
        // After a panic the lock may be held by this thread.
        if let Ok(mut child) = self.child.try_lock() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Ends the client proxies that still run, and waits for them. The file of their ids goes first: a number may belong to
/// another process later.
pub fn kill_children() {
    if let Some(path) = PID_FILE.get() {
        let _ = std::fs::remove_file(path);
    }
    if let Ok(mut children) = CHILDREN.try_lock() {
        for child in children.drain(..) {
            child.end();
        }
    }
}

fn write_ids(children: &[Process]) {
    if let Some(path) = PID_FILE.get() {
        let ids: Vec<String> = children.iter().map(|c| c.id.to_string()).collect();
        let _ = std::fs::write(path, ids.join("\n") + "\n");
    }
}

/// A child that has been waited for: its id may be given to another process.
fn forget_child(pid: u32) {
    let mut children = CHILDREN.lock().expect("children");
    children.retain(|child| child.id != pid);
    write_ids(&children);
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("sh")
        .arg("-c")
        .arg(format!("kill -{name} {pid}"))
        .stderr(Stdio::null())
        .status();
}

pub struct Proxy {
    pub name: String,
    pub address: SocketAddr,
    pub child: Process,
}

/// A free loopback port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .unwrap_or_else(|e| cannot_run(&format!("port: {e}")))
}

/// A free loopback port for datagrams.
pub fn free_datagram_address() -> SocketAddr {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0");
    socket
        .and_then(|s| s.local_addr())
        .unwrap_or_else(|e| cannot_run(&format!("port: {e}")))
}

/// The root of the repository.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".to_owned()))
}

/// The command of the deploy file for this key.
pub fn deploy_command(key: &str) -> String {
    let path = root().join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&path)
        .unwrap_or_else(|e| cannot_run(&format!("{}: {e}", path.display())));
    let line = text.lines().find_map(|l| {
        l.strip_prefix(key)?
            .trim_start()
            .strip_prefix('=')
            .map(str::trim)
    });
    line.map(|l| l.trim_matches('"').to_owned())
        .unwrap_or_else(|| cannot_run("no such command in the deploy file"))
}

/// Starts a command from the root with `/bin/sh -c`; its log goes into the temporary folder.
pub fn start_command(command: &str, variables: &[(&str, String)], log: &Path) -> Process {
    let log = File::create(log).unwrap_or_else(|e| cannot_run(&format!("log: {e}")));
    let mut start = Command::new("/bin/sh");
    start
        .arg("-c")
        .arg(command)
        .current_dir(root())
        .stdin(Stdio::null());
    start.stdout(Stdio::null()).stderr(Stdio::from(log));
    for (name, value) in variables {
        start.env(name, value);
    }
    let child = start
        .spawn()
        .unwrap_or_else(|e| cannot_run(&format!("{command}: {e}")));
    let mut children = CHILDREN.lock().expect("children");
    let child = Process {
        id: child.id(),
        child: Arc::new(Mutex::new(child)),
    };
    children.push(child.clone());
    write_ids(&children);
    drop(children);
    child
}

/// The settings of a small deployment like the one in the brief. `classes` are the JSON objects of the classes.
pub fn platform_settings(proxies: usize, classes: &str, extra_limits: &str) -> String {
    format!(
        r#"{{"azs":["liberia","nicoya","puntarenas"],"balancers":{proxies},
"charges":{{"connection":0.05,"cross_zone":0.01,"handshake":0.05,"late_fail":0.05,"peer":0.0,"probe":0.0,"waste":0.15}},
"classes":[{classes}],"client_habits":{{"marks_retry":true}},"discovery":"ask","family":"mesh",
"invariants":{{"answer_slack_us":20000,"ask_every_us":10000000,"cold_from":0.31,"cold_us":7500000,"drain_grace_us":1000000,"fall_multiple":3.0,"tip_after_us":2000000}},
"kinds":["rapido-4","estandar-4"],
"limits":{{"cancel":true,"conn_idle_us":60000000,"connect_timeout_us":250000,"max_attempts":3,"max_open":26666,"max_retry_after_us":750000,"max_streams":100,"may_tell":false,"probes":false,"retry_after":false,"second_copies":true{extra_limits}}},
"locality":"nicoya","me":0,"report":{{"columns":["active","waiting","avg_ms"],"how":"inline"}},
"result_mix":{{"whole":0.55,"worst_class":0.3,"worst_tenant":0.0,"worst_window":0.15}},"tenants":[],"tick_us":5000,"tier":0,"weight_source":"rough"}}"#
    )
}

/// The two classes of the brief.
pub const BRIEF_CLASSES: &str = r#"{"name":"registro-entrada","objective_us":500000,"deadline_us":1200000,"worth":3.0,"late_value":0.0,"idempotency":"guarded","dedup_scope":"cell","repeat_window_us":1200000},
{"name":"cobro-mensual","objective_us":800000,"deadline_us":1500000,"worth":10.0,"late_value":0.0,"idempotency":"single_shot"}"#;

/// Starts a client proxy with the deploy file's `run` and waits until its health check answers 200.
pub fn start_proxy(
    name: &str,
    number: u64,
    discovery: SocketAddr,
    known: (u64, &[Entry]),
    settings: &str,
    folder: &Path,
) -> Proxy {
    let listen = free_address();
    let config = format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{settings}}}"#,
        now_us() ^ (number << 48),
        list_json(known.0, true, known.1)
    );
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, config).unwrap_or_else(|e| cannot_run(&format!("config: {e}")));
    let variables = [
        ("RELAY_NAME", name.to_owned()),
        ("RELAY_LISTEN", listen.to_string()),
        ("RELAY_DISCOVERY", discovery.to_string()),
        ("RELAY_CONFIG", path.display().to_string()),
    ];
    let child = start_command(
        &deploy_command("run"),
        &variables,
        &folder.join(format!("{name}.log")),
    );
    wait_healthy(name, listen, child)
}

/// Waits until the health check answers 200.
pub fn wait_healthy(name: &str, address: SocketAddr, child: Process) -> Proxy {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if let Ok(Some(status)) = child.try_wait() {
            forget_child(child.id());
            cannot_run(&format!("{name} ended at its start: {status}"));
        }
        if let Ok(stream) = TcpStream::connect(address) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let mut reader = Reader::new(stream);
            let _ = reader
                .stream
                .write_all(b"GET /_health HTTP/1.1\r\nHost: service.internal\r\n\r\n");
            if reader.head().is_ok_and(|h| h.status() == 200) {
                rec(&format!(
                    "{name} is ready at {address}, process {}",
                    child.id()
                ));
                return Proxy {
                    name: name.to_owned(),
                    address,
                    child,
                };
            }
        }
        sleep_ms(20);
    }
    cannot_run(&format!("{name} is not ready"));
}

impl Proxy {
    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        let runs = matches!(self.child.try_wait(), Ok(None));
        if !runs {
            forget_child(self.child.id());
        }
        runs
    }
    /// Kills the process if it still runs, and waits for its end.
    pub fn end(&mut self) {
        self.child.end();
        forget_child(self.child.id());
    }
    pub fn signal(&self, name: &str) {
        rec(&format!("{name} to {}", self.name));
        signal(self.child.id(), name);
    }
}

// ---------------------------------------------------------------- clients

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub class: String,
    /// `GET` without a body, or `POST`.
    pub method: &'static str,
    pub key: Option<String>,
    pub timeout_ms: u64,
    pub body: Vec<u8>,
}

impl Call {
    pub fn head(&self) -> String {
        let mut text = format!(
            "{} /{} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {}\r\nX-Timeout: {}m\r\n",
            self.method, self.class, self.id, self.timeout_ms
        );
        if let Some(key) = &self.key {
            text += &format!("Idempotency-Key: {key}\r\n");
        }
        if self.method == "POST" {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        text + "\r\n"
    }
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.head().into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Answer { status: u16, body: Vec<u8> },
    /// The connection ended (or was reset) with no whole answer.
    Closed,
    /// No whole answer within the client's time and half a second more.
    Overdue,
    /// No connection.
    Refused,
}

#[derive(Clone, Debug)]
pub struct Ended {
    pub call: Call,
    /// When its last byte was written.
    pub sent_us: u64,
    pub ended_us: u64,
    pub end: End,
}

/// A client with one connection, which it keeps.
pub struct Client {
    pub name: String,
    pub address: SocketAddr,
    pub connection: Option<Reader>,
}

impl Client {
    pub fn new(name: &str, address: SocketAddr) -> Self {
        Client {
            name: name.to_owned(),
            address,
            connection: None,
        }
    }

    /// Sends a request and waits for its end. If a kept connection ends with nothing of an answer, the client proxy may
    /// have closed it between requests: the request is sent once more on a new one.
    pub fn send(&mut self, call: &Call) -> Ended {
        let kept = self.connection.is_some();
        let ended = self.send_once(call);
        if kept && ended.end == End::Closed {
            rec(&format!(
                "client {} sends {} once more on a new connection",
                self.name, call.id
            ));
            return self.send_once(call);
        }
        ended
    }

    fn send_once(&mut self, call: &Call) -> Ended {
        let end = |end: End, sent_us: u64| {
            let text = match &end {
                End::Answer { status, body } => format!("answered {status}, {} bytes", body.len()),
                other => format!("{other:?}"),
            };
            rec(&format!("client: {} {text}", call.id));
            Ended {
                call: call.clone(),
                sent_us,
                ended_us: now_us(),
                end,
            }
        };
        let mut reader = match self.connection.take() {
            Some(reader) => reader,
            None => match TcpStream::connect_timeout(&self.address, Duration::from_secs(2)) {
                Ok(stream) => Reader::new(stream),
                Err(_) => return end(End::Refused, now_us()),
            },
        };
        rec(&format!(
            "client {} sends {} class {} key {:?}",
            self.name, call.id, call.class, call.key
        ));
        if reader.stream.write_all(&call.bytes()).is_err() {
            return end(End::Closed, now_us());
        }
        let sent_us = now_us();
        match read_answer(&mut reader, sent_us + call.timeout_ms * 1_000 + 550_000) {
            Ok((head, body)) => {
                let keep = !head
                    .get("connection")
                    .is_some_and(|v| v.eq_ignore_ascii_case("close"));
                if keep {
                    self.connection = Some(reader);
                }
                end(
                    End::Answer {
                        status: head.status(),
                        body,
                    },
                    sent_us,
                )
            }
            Err(ReadEnd::Timeout) => end(End::Overdue, sent_us),
            Err(_) => end(End::Closed, sent_us),
        }
    }
}

/// Reads a whole answer until this time.
pub fn read_answer(reader: &mut Reader, until_us: u64) -> Result<(Head, Vec<u8>), ReadEnd> {
    let left = |reader: &Reader| {
        let left = until_us.saturating_sub(now_us()).max(1_000);
        let _ = reader
            .stream
            .set_read_timeout(Some(Duration::from_micros(left)));
    };
    loop {
        left(reader);
        let head = reader.head()?;
        if (100..200).contains(&head.status()) {
            continue;
        }
        left(reader);
        let chunked = head.get("transfer-encoding").is_some();
        let body = if chunked {
            let mut body = Vec::new();
            loop {
                let size = loop {
                    if let Some(end) = reader.buf.windows(2).position(|w| w == b"\r\n") {
                        let line = String::from_utf8_lossy(&reader.buf[..end]).into_owned();
                        reader.buf.drain(..end + 2);
                        break usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                    }
                    let have = reader.buf.len();
                    let more = reader.body(have + 1)?;
                    reader.buf.splice(0..0, more);
                };
                let part = reader.body(size + 2)?;
                if size == 0 {
                    break body;
                }
                body.extend_from_slice(&part[..size]);
            }
        } else {
            match head.get("content-length").and_then(|v| v.parse().ok()) {
                Some(len) => reader.body(len)?,
                None => {
                    // To the end of the connection.
                    loop {
                        let have = reader.buf.len();
                        match reader.body(have + 1) {
                            Ok(more) => {
                                reader.buf.splice(0..0, more);
                            }
                            Err(ReadEnd::Timeout) => return Err(ReadEnd::Timeout),
                            Err(_) => break std::mem::take(&mut reader.buf),
                        }
                    }
                }
            }
        };
        return Ok((head, body));
    }
}

/// Arguments of a case's program: its folder and a temporary folder.
pub fn arguments() -> (PathBuf, PathBuf) {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    match (arguments.next(), arguments.next()) {
        (Some(folder), Some(temporary)) => {
            open_record(&folder.join("record.txt"));
            let _ = PID_FILE.set(temporary.join("processes"));
            // A mistake of a stand-in is no verdict.
            std::panic::set_hook(Box::new(|panic| {
                say(&format!("CANNOT RUN: a stand-in failed: {panic}"));
                kill_children();
                std::process::exit(2);
            }));
            (folder, temporary)
        }
        _ => {
            eprintln!("usage: PROGRAM FOLDER TEMPORARY_FOLDER");
            std::process::exit(2);
        }
    }
}

/// The ends of all requests, by id.
pub type Ends = Arc<Mutex<Vec<Ended>>>;

pub fn by_id(arrivals: &[Arrival]) -> HashMap<String, Vec<Arrival>> {
    let mut map: HashMap<String, Vec<Arrival>> = HashMap::new();
    for arrival in arrivals {
        map.entry(arrival.id.clone())
            .or_default()
            .push(arrival.clone());
    }
    map
}
