//! Small stand-ins for the platform, by the protocol pages: discovery (long poll), hosts, links with a delay and
//! clients, and the client proxies as child processes. Standard library only; every address is 127.0.0.1.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- record

pub struct Record {
    start: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn open() -> Arc<Record> {
        let work = std::env::var("WORK").unwrap_or_else(|_| broken("WORK is not set"));
        let _ = std::fs::write(format!("{work}/case.pid"), std::process::id().to_string());
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|e| broken(&format!("{path}: {e}")));
        Arc::new(Record {
            start: Instant::now(),
            out: Mutex::new(BufWriter::new(file)),
        })
    }
    pub fn line(&self, text: &str) {
        let t = self.start.elapsed().as_secs_f64();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{t:10.6} {text}");
    }
    /// To the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.out.lock().unwrap().flush();
    }
    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// The case could not run.
pub fn broken(why: &str) -> ! {
    eprintln!("could not run: {why}");
    if let Ok(work) = std::env::var("WORK") {
        let _ = std::fs::remove_file(format!("{work}/case.pid"));
    }
    std::process::exit(2);
}

/// Ends the case. The pid file goes first: the number may belong to another process afterwards.
pub fn end(record: &Record, rule_broken: bool) -> ! {
    record.say(if rule_broken { "rule broken" } else { "rule held" });
    if let Ok(work) = std::env::var("WORK") {
        let _ = std::fs::remove_file(format!("{work}/case.pid"));
    }
    std::process::exit(i32::from(rule_broken))
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map(|v| v != "0").unwrap_or(true)
}

/// A small random generator (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        let mut r = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        for _ in 0..8 {
            r.next();
        }
        r
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn between(&mut self, a: f64, b: f64) -> f64 {
        a + (b - a) * self.unit()
    }
    pub fn hex(&mut self, digits: usize) -> String {
        let mut s = String::new();
        while s.len() < digits {
            s.push_str(&format!("{:016x}", self.next()));
        }
        s.truncate(digits);
        s
    }
}

pub fn small_thread(f: impl FnOnce() + Send + 'static) {
    let built = thread::Builder::new().stack_size(128 * 1024).spawn(f);
    if let Err(e) = built {
        broken(&format!("thread: {e}"));
    }
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let l = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| broken(&format!("bind: {e}")));
    let a = l.local_addr().unwrap();
    (l, a)
}

/// A free port for a client proxy to listen on.
pub fn free_address() -> SocketAddr {
    listen().1
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------- HTTP/1.1

/// A message: its first line, its headers (names in lower case) and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body had a length or was chunked, and came whole.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a stream and keeps what comes behind them.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let n = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..n]);
        Ok(n)
    }

    /// Whether nothing has come behind the last message: neither read nor still with the system.
    pub fn nothing_waits(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    fn line(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buffer.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_string()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, n: usize) -> std::io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < n {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..n).collect()))
    }

    /// The next message; `None` if the stream ends first.
    pub fn message(&mut self, is_request: bool) -> std::io::Result<Option<Message>> {
        let first = loop {
            match self.line()? {
                None => return Ok(None),
                Some(l) if l.is_empty() => {}
                Some(l) => break l,
            }
        };
        let mut headers = HashMap::new();
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(l) if l.is_empty() => break,
                Some(l) => {
                    if let Some((n, v)) = l.split_once(':') {
                        headers.insert(n.trim().to_ascii_lowercase(), v.trim().to_string());
                    }
                }
            }
        }
        let mut message = Message { first, headers, body: Vec::new(), whole: true };
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let Some(l) = self.line()? else { return Ok(None) };
                let n = usize::from_str_radix(l.split(';').next().unwrap_or("").trim(), 16).unwrap_or(0);
                let Some(chunk) = self.exactly(n)? else { return Ok(None) };
                message.body.extend_from_slice(&chunk);
                if self.line()?.is_none() {
                    return Ok(None);
                }
                if n == 0 {
                    break;
                }
            }
        } else if let Ok(n) = message.header("content-length").parse::<usize>() {
            let Some(body) = self.exactly(n)? else { return Ok(None) };
            message.body = body;
        } else if !is_request {
            message.whole = false;
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(Some(message))
    }
}

// ---------------------------------------------------------------- hosts

#[derive(Clone, Debug)]
pub struct HostInfo {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

/// What a host does with one request that has come whole. Returns whether the connection goes on.
pub type Handler = dyn Fn(&Message, &mut Reader) -> bool + Send + Sync;

/// Starts a host: one thread for each connection, one request at a time on it.
pub fn host(handler: Arc<Handler>) -> SocketAddr {
    let (l, address) = listen();
    small_thread(move || {
        for stream in l.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let _ = stream.set_nodelay(true);
            small_thread(move || {
                let mut reader = Reader::new(stream);
                while let Ok(Some(request)) = reader.message(true) {
                    if !handler(&request, &mut reader) {
                        break;
                    }
                }
            });
        }
    });
    address
}

// ---------------------------------------------------------------- links

/// A link to `target` on which every byte takes `delay` one way, in either direction.
pub fn link(target: SocketAddr, delay: Duration) -> SocketAddr {
    let (l, address) = listen();
    small_thread(move || {
        for near in l.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            one_way(near.try_clone().unwrap(), far.try_clone().unwrap(), delay);
            one_way(far, near, delay);
        }
    });
    address
}

fn one_way(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    small_thread(move || {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            let n = from.read(&mut bytes).unwrap_or(0);
            if sender.send((Instant::now() + delay, bytes[..n].to_vec())).is_err() || n == 0 {
                return;
            }
        }
    });
    small_thread(move || {
        for (at, bytes) in receiver {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    });
}

// ---------------------------------------------------------------- discovery

pub struct List {
    pub index: u64,
    /// Each host, with the index of its last change.
    pub hosts: Vec<(HostInfo, u64)>,
}

pub struct Discovery {
    list: Mutex<List>,
    changed: Condvar,
}

impl Discovery {
    pub fn new(hosts: Vec<HostInfo>) -> Arc<Discovery> {
        let hosts = hosts.into_iter().map(|h| (h, 1)).collect();
        Arc::new(Discovery {
            list: Mutex::new(List { index: 1, hosts }),
            changed: Condvar::new(),
        })
    }

    pub fn change(&self, f: impl FnOnce(&mut List)) {
        let mut list = self.list.lock().unwrap();
        list.index += 1;
        f(&mut list);
        self.changed.notify_all();
    }

    /// Serves the list to one client proxy, which sees these addresses.
    pub fn serve(self: &Arc<Self>, addresses: HashMap<String, SocketAddr>) -> SocketAddr {
        let (l, address) = listen();
        let discovery = Arc::clone(self);
        let addresses = Arc::new(addresses);
        small_thread(move || {
            for stream in l.incoming().flatten() {
                let (discovery, addresses) = (Arc::clone(&discovery), Arc::clone(&addresses));
                let _ = stream.set_nodelay(true);
                small_thread(move || {
                    let mut reader = Reader::new(stream);
                    while let Ok(Some(request)) = reader.message(true) {
                        let body = discovery.answer(request.path(), &addresses);
                        let text = format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if reader.stream.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    }

    fn answer(&self, path: &str, addresses: &HashMap<String, SocketAddr>) -> String {
        let query = |name: &str| -> Option<u64> {
            let q = path.split_once('?')?.1;
            q.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let mut list = self.list.lock().unwrap();
        let since = query("index");
        if let Some(index) = since {
            let until = Instant::now() + Duration::from_millis(query("wait").unwrap_or(0).min(60_000));
            while list.index <= index {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                list = self.changed.wait_timeout(list, left).unwrap().0;
            }
        }
        let entries: Vec<String> = list
            .hosts
            .iter()
            .filter(|(h, at)| match since {
                Some(index) => *at > index,
                None => h.status != "removed",
            })
            .map(|(h, _)| {
                format!(
                    r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":{},"status":"{}","weight":1.0,"since_ms":{}}}"#,
                    h.name, addresses[&h.name], h.zone, h.kind, h.group, h.status, h.since_ms
                )
            })
            .collect();
        format!(
            r#"{{"index":{},"snapshot":{},"endpoints":[{}]}}"#,
            list.index,
            since.is_none(),
            entries.join(",")
        )
    }
}

// ---------------------------------------------------------------- client proxies

/// The repository's root, from which `run` is started.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".into()))
}

pub struct Proxy {
    pub name: String,
    pub listen: SocketAddr,
    pub child: Child,
    pub config: PathBuf,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.config.with_file_name(format!("{}.pid", self.child.id())));
    }
}

impl Proxy {
    /// Starts a client proxy with the command of the deploy file and 512 descriptors.
    pub fn start(name: &str, listen: SocketAddr, discovery: SocketAddr, settings: &str) -> Proxy {
        Proxy::start_with(name, listen, discovery, settings, 512)
    }

    pub fn start_with(name: &str, listen: SocketAddr, discovery: SocketAddr, settings: &str, sockets: usize) -> Proxy {
        let folder = PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| broken("WORK is not set")));
        let config = folder.join(format!("{name}.json"));
        let seed = Random::new(unix_ms() ^ name.len() as u64 ^ u64::from(listen.port()) << 20).hex(16);
        let text = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed}",
 "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"settings":{settings}}}"#
        );
        std::fs::write(&config, text).unwrap_or_else(|e| broken(&format!("configuration: {e}")));
        let log = File::create(folder.join(format!("{name}.log"))).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", "exec target/release/badgerramp"])
            .current_dir(root())
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", listen.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_CONFIG", &config)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| broken(&format!("start: {e}")));
        let _ = std::fs::write(folder.join(format!("{}.pid", child.id())), child.id().to_string());
        Proxy { name: name.into(), listen, child, config }
    }

    pub fn wait_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let mut reader = Reader::new(stream);
                let _ = reader.stream.write_all(b"GET /_health HTTP/1.1\r\nHost: service.internal\r\n\r\n");
                if let Ok(Some(answer)) = reader.message(false) {
                    if answer.status() == 200 {
                        return;
                    }
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        broken(&format!("{} is not ready", self.name));
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
    }
}

// ---------------------------------------------------------------- clients

/// A client's request and what came back.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A whole answer.
    Whole(Message),
    /// The connection ended or broke with no whole answer.
    Ended,
    /// Nothing within the client's time and half a second.
    Nothing,
}

pub struct Client {
    address: SocketAddr,
    reader: Option<Reader>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, reader: None }
    }

    /// Sends one request on a connection that is kept, and waits for its answer. A connection that the proxy has closed
    /// between requests is replaced, and the request is sent once more there.
    pub fn ask(&mut self, request: &[u8], time: Duration) -> Answer {
        let kept = self.reader.is_some();
        let answer = self.ask_once(request, time);
        if kept && matches!(answer, Answer::Ended) {
            return self.ask_once(request, time);
        }
        answer
    }

    fn ask_once(&mut self, request: &[u8], time: Duration) -> Answer {
        if self.reader.is_none() {
            let Ok(stream) = TcpStream::connect(self.address) else {
                return Answer::Ended;
            };
            let _ = stream.set_nodelay(true);
            self.reader = Some(Reader::new(stream));
        }
        let reader = self.reader.as_mut().unwrap();
        let _ = reader.stream.set_read_timeout(Some(time + Duration::from_millis(550)));
        if reader.stream.write_all(request).is_err() {
            self.reader = None;
            return Answer::Ended;
        }
        match reader.message(false) {
            Ok(Some(answer)) => {
                if answer.header("connection").eq_ignore_ascii_case("close") || !answer.whole {
                    self.reader = None;
                }
                Answer::Whole(answer)
            }
            Ok(None) => {
                self.reader = None;
                Answer::Ended
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                self.reader = None;
                Answer::Nothing
            }
            Err(_) => {
                self.reader = None;
                Answer::Ended
            }
        }
    }
}

/// A request in the protocol's form. A key makes it a keyed one.
pub fn request(class: &str, id: &str, key: Option<&str>, time: Duration, body: &str) -> Vec<u8> {
    let key = key.map(|k| format!("Idempotency-Key: {k}\r\n")).unwrap_or_default();
    format!(
        "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: {}m\r\n{key}Content-Length: {}\r\n\r\n{body}",
        time.as_millis(),
        body.len()
    )
    .into_bytes()
}

/// The settings of `pacifico-accesos` as the wire page prints them, for instance `me` of `balancers` in `zone`.
pub fn settings(me: usize, balancers: usize, zone: &str) -> String {
    format!(
        r#"{{"azs":["liberia","nicoya","puntarenas"],"balancers":{balancers},
"charges":{{"connection":0.05,"cross_zone":0.01,"discovery":0.0,"handshake":0.05,"late_fail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.15}},
"classes":[{{"deadline_us":1200000,"dedup_scope":"cell","idempotency":"guarded","late_value":0.0,"name":"registro-entrada","objective_us":500000,"repeat_window_us":1200000,"streaming":false,"worth":3.0}},
{{"deadline_us":1500000,"dedup_scope":"all","idempotency":"single_shot","late_value":0.0,"name":"cobro-mensual","objective_us":800000,"repeat_window_us":5000000,"streaming":false,"worth":10.0}}],
"client_habits":{{"marks_retry":true}},"discovery":"ask","family":"mesh","family_info":{{"warm_keys":false}},
"invariants":{{"answer_slack_us":20000,"ask_every_us":10000000,"cold_from":0.31,"cold_us":7500000,"drain_grace_us":1000000,"fall_multiple":3.0,"tip_after_us":2000000}},
"kinds":["rapido-4","estandar-4"],
"limits":{{"cancel":true,"conn_idle_us":60000000,"connect_timeout_us":250000,"cpu_us_per_request":0.0,"cpu_us_per_s":66666,"max_attempts":3,"max_open":26666,"max_retry_after_us":750000,"max_streams":1,"may_tell":false,"probes":false,"retry_after":false,"second_copies":true}},
"locality":"{zone}","me":{me},"over_share_worth":0.1,"report":{{"columns":["active","waiting","avg_ms"],"how":"inline"}},
"result_mix":{{"whole":0.55,"worst_class":0.3,"worst_tenant":0.0,"worst_window":0.15}},"tenants":[],"tick_us":5000,"tier":0,"tiers":["accesos-cobros"],"weight_source":"rough","worth_by":"request"}}"#
    )
}

pub const ZONES: [&str; 3] = ["liberia", "nicoya", "puntarenas"];

/// Nine hosts in three zones, one pod a zone.
pub fn nine_hosts() -> Vec<HostInfo> {
    (0..9)
        .map(|n| HostInfo {
            name: format!("s-{n}"),
            zone: ZONES[n % 3].into(),
            kind: if n < 3 { "rapido-4" } else { "estandar-4" }.into(),
            group: (n % 3) as u32,
            status: "up",
            since_ms: 0,
        })
        .collect()
}
