//! Case 2: a reload retires two classes while requests of theirs are still coming in. Two sidecars, six hosts, loopback.
//! The operator's file has the classes `charge` (unsafe), `entry` (keyed, by zone) and `lookup` (safe); in the new file
//! charges and entries are gone and the safe classes `receipt` and `visits` have come; the files take turns. Clients write
//! their bodies in pieces. One host of six fails requests quickly with 500, after they have run.
#[path = "../stand-ins/common.rs"]
mod common;
use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SIDECARS: usize = 2;
const CLIENTS: usize = 12;
const HOSTS: usize = 6;
const END: f64 = 75.0;
/// A host fails requests for so long (seconds); then it is quiet for as long; then it is the next host's turn.
const SPELL: f64 = 6.0;
/// Share of its requests that a failing host fails.
const FAILS: f64 = 0.9;
/// Seconds between two new files.
const RELOADS: f64 = 3.0;

struct Sidecar {
    child: Child,
    listen: SocketAddr,
    file: PathBuf,
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.file.with_file_name(format!("{}.pid", self.child.id())));
    }
}

fn zone(host: usize) -> &'static str {
    ZONES[host % 2]
}

fn file(listen: SocketAddr, hosts: &[SocketAddr], retired: bool) -> String {
    let endpoints: Vec<String> = hosts
        .iter()
        .enumerate()
        .map(|(n, a)| format!("    {{ name = \"s-{n}\", address = \"{a}\", zone = \"{}\" }},", zone(n)))
        .collect();
    let classes = if retired {
        r#"
[class.receipt]
aim = "800ms"
deadline = "1500ms"
effect = "safe"

[class.visits]
aim = "500ms"
deadline = "1200ms"
effect = "safe"

[[route]]
name = "receipt"
prefix = "/receipt"
methods = ["GET"]
class = "receipt"

[[route]]
name = "visits"
prefix = "/visits"
methods = ["GET"]
class = "visits"
"#
    } else {
        r#"
[class.charge]
aim = "800ms"
deadline = "1500ms"
effect = "unsafe"

[class.entry]
aim = "500ms"
deadline = "1200ms"
effect = "keyed"
group = "zone"
window = "1200ms"

[[route]]
name = "charge"
prefix = "/charge"
methods = ["POST"]
class = "charge"

[[route]]
name = "entry"
prefix = "/entry"
methods = ["POST"]
class = "entry"
"#
    };
    format!(
        r#"listen = "{listen}"

[upstream]
endpoints = [
{}
]
proxies = {SIDECARS}

[class.lookup]
aim = "500ms"
deadline = "1200ms"
effect = "safe"

[[route]]
name = "lookup"
prefix = "/lookup"
methods = ["GET"]
class = "lookup"
{classes}"#,
        endpoints.join("\n")
    )
}

fn main() {
    let record = Record::open();
    let trouble = trouble();
    let started = Instant::now();
    // Where each charge (by its member) and each entry (by its key) had its effect. The hosts of one zone drop repeats of
    // an entry.
    let ran: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    let mut hosts = Vec::new();
    for n in 0..HOSTS {
        let (record, ran) = (Arc::clone(&record), Arc::clone(&ran));
        let random = Mutex::new(Random::new(unix_ms() + n as u64));
        let handler = move |request: &Message, reader: &mut Reader| -> bool {
            let (work, fails) = {
                let mut r = random.lock().unwrap();
                let t = started.elapsed().as_secs_f64();
                let spell = (t / SPELL) as usize;
                let failing = spell % 2 == 0 && spell / 2 % HOSTS == n;
                (r.between(20.0, 60.0), failing && r.unit() < FAILS)
            };
            let charge = request.text();
            {
                let place = format!("s-{n} in {}", zone(n));
                let mut ran = ran.lock().unwrap();
                let places = ran.entry(charge.clone()).or_default();
                let repeat = request.path() == "/entry" && places.iter().any(|p| p.ends_with(zone(n)));
                if repeat {
                    record.line(&format!("host s-{n} drops a repeat of {charge}"));
                } else {
                    record.line(&format!("host s-{n} runs {charge}"));
                    places.push(place);
                }
            }
            let (status, body) = if fails { ("500 Internal Server Error", "error".into()) } else { ("200 OK", format!("done: {charge}")) };
            if !fails {
                thread::sleep(Duration::from_secs_f64(work / 1000.0));
            }
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            reader.stream.write_all(answer.as_bytes()).is_ok()
        };
        hosts.push(host(Arc::new(handler)));
    }
    let work = PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| broken("WORK is not set")));
    let mut sidecars = Vec::new();
    for n in 0..SIDECARS {
        let (listen, path) = (free_address(), work.join(format!("till-{n}.toml")));
        std::fs::write(&path, file(listen, &hosts, false)).unwrap();
        let log = std::fs::File::create(work.join(format!("till-{n}.log"))).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("exec target/release/badgerramp run {}", path.display())])
            .current_dir(root())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| broken(&format!("start: {e}")));
        let _ = std::fs::write(work.join(format!("{}.pid", child.id())), child.id().to_string());
        sidecars.push(Sidecar { child, listen, file: path });
    }
    for sidecar in &sidecars {
        let until = Instant::now() + Duration::from_secs(10);
        while TcpStream::connect(sidecar.listen).is_err() {
            if Instant::now() > until {
                broken("a sidecar does not start");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let lied = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for (n, sidecar) in sidecars.iter().enumerate() {
        for c in 0..CLIENTS {
            let (address, record, stop) = (sidecar.listen, Arc::clone(&record), Arc::clone(&stop));
            let (counts, ran, lied) = (Arc::clone(&counts), Arc::clone(&ran), Arc::clone(&lied));
            clients.push(thread::spawn(move || {
                let mut random = Random::new((n * 100 + c) as u64 + unix_ms() * 1000);
                while !stop.load(SeqCst) {
                    // One charge or one entry. After a refusal the client asks again, as often as the page has it: up to
                    // three times.
                    let entry = random.unit() < 0.62;
                    let charge = format!("{} of member {}", if entry { "entry" } else { "charge" }, random.hex(10));
                    for attempt in 0..4 {
                        let outcome = slow_request(address, entry, &charge, &mut random);
                        record.line(&format!("client {n}/{c} {charge} try {attempt}: {outcome}"));
                        *counts.lock().unwrap().entry(outcome.clone()).or_default() += 1;
                        let refused = outcome == "status 503" || outcome == "status 429";
                        if !refused {
                            break;
                        }
                        let hosts = ran.lock().unwrap().get(&charge).cloned().unwrap_or_default();
                        if !hosts.is_empty() {
                            lied.fetch_add(1, SeqCst);
                            record.say(&format!("BROKEN: {charge} was refused ({outcome}) and had run on {}", hosts.join(", ")));
                        }
                        thread::sleep(Duration::from_millis(100));
                    }
                    thread::sleep(Duration::from_secs_f64(random.between(0.05, 0.2)));
                }
            }));
        }
    }
    let mut retired = false;
    let mut next = RELOADS;
    while started.elapsed().as_secs_f64() < END {
        thread::sleep(Duration::from_millis(50));
        if trouble && started.elapsed().as_secs_f64() > next {
            next += RELOADS;
            retired = !retired;
            for sidecar in &sidecars {
                let new = sidecar.file.with_extension("new");
                std::fs::write(&new, file(sidecar.listen, &hosts, retired)).unwrap();
                std::fs::rename(&new, &sidecar.file).unwrap();
                let _ = Command::new("kill").args(["-HUP", &sidecar.child.id().to_string()]).status();
            }
            record.line(if retired { "new file: charges and entries are retired, receipts and visits come" } else { "new file: charges and entries are back" });
        }
    }
    stop.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(sidecars);
    let mut counts: Vec<_> = counts.lock().unwrap().clone().into_iter().collect();
    counts.sort();
    for (outcome, n) in counts {
        record.say(&format!("{n:7} {outcome}"));
    }
    let mut twice = 0;
    for (what, hosts) in ran.lock().unwrap().iter().filter(|(_, h)| h.len() > 1) {
        twice += 1;
        record.say(&format!("BROKEN: {what} ran {} times: {}", hosts.len(), hosts.join(", ")));
    }
    record.say(&format!("{:7} refusals of what had run, {twice} charges or entries that ran twice", lied.load(SeqCst)));
    end(&record, twice > 0 || lied.load(SeqCst) > 0)
}

/// Sends a request on a connection of its own and writes its body in pieces.
fn slow_request(address: SocketAddr, entry: bool, charge: &str, random: &mut Random) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return "no connection".into();
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(2050)));
    let (path, time, key) = if entry {
        ("entry", 1200, format!("Idempotency-Key: {}\r\n", charge.rsplit(' ').next().unwrap()))
    } else {
        ("charge", 1500, String::new())
    };
    let head = format!(
        "POST /{path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {}\r\nX-Timeout: {time}m\r\n{key}Content-Length: {}\r\n\r\n",
        random.hex(16),
        charge.len()
    );
    let _ = stream.write_all(head.as_bytes());
    let (first, second) = charge.as_bytes().split_at(charge.len() / 2);
    for piece in [first, second] {
        thread::sleep(Duration::from_secs_f64(random.between(0.1, 0.6)));
        let _ = stream.write_all(piece);
    }
    match Reader::new(stream).message(false) {
        Ok(Some(answer)) => format!("status {}", answer.status()),
        Ok(None) => "connection ended".into(),
        Err(_) => "nothing in time".into(),
    }
}
