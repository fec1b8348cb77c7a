//! Case 3: some bad clients stop in the middle of a request and stay. Nine hosts, three client proxies with 256
//! descriptors each, loopback. The usual clients send one request at a time and keep their connections.
#[path = "../stand-ins/common.rs"]
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: usize = 3;
const DESCRIPTORS: usize = 256;
/// Usual clients of each client proxy.
const CLIENTS: usize = 3;
/// Bad clients that come to each client proxy at once, and when (seconds). They don't come back. With the usual ones they
/// are 85, a third of the descriptors.
const BAD: usize = 82;
const WAVES: [f64; 2] = [5.0, 17.0];
const END: f64 = 27.0;

fn main() {
    let record = Record::open();
    let trouble = trouble();
    let hosts = nine_hosts();
    let mut addresses = HashMap::new();
    for info in &hosts {
        let (record, name) = (Arc::clone(&record), info.name.clone());
        let random = Mutex::new(Random::new(unix_ms() + u64::from(info.name.as_bytes()[2])));
        let handler = move |request: &Message, reader: &mut Reader| -> bool {
            let id = request.header("x-request-id").to_string();
            let keyed = request.first.contains("registro-entrada");
            let work = {
                let mut r = random.lock().unwrap();
                if keyed { r.between(34.0, 61.0) } else { r.between(68.0, 120.0) }
            };
            record.line(&format!("host {name} runs {id}"));
            thread::sleep(Duration::from_secs_f64(work / 1000.0));
            let body = format!("answer made for {id}");
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            reader.stream.write_all(answer.as_bytes()).is_ok()
        };
        addresses.insert(info.name.clone(), host(Arc::new(handler)));
    }
    let discovery = Discovery::new(hosts);
    let mut proxies = Vec::new();
    for n in 0..PROXIES {
        let list_service = discovery.serve(addresses.clone());
        let settings = settings(n, PROXIES, ZONES[n % 3]);
        let mut proxy = Proxy::start_with(&format!("n{n}"), free_address(), list_service, &settings, DESCRIPTORS);
        proxy.wait_ready();
        proxies.push(proxy);
    }
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let lost = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for (n, proxy) in proxies.iter().enumerate() {
        for c in 0..CLIENTS {
            let (address, record, stop) = (proxy.listen, Arc::clone(&record), Arc::clone(&stop));
            let (counts, lost) = (Arc::clone(&counts), Arc::clone(&lost));
            clients.push(thread::spawn(move || {
                let mut random = Random::new((n * 100 + c) as u64 + unix_ms() * 1000);
                let mut client = Client::new(address);
                while !stop.load(SeqCst) {
                    let keyed = random.unit() < 0.62;
                    // A try is given up after 53 to 63% of the class's time.
                    let (class, deadline) = if keyed { ("registro-entrada", 1200.0) } else { ("cobro-mensual", 1500.0) };
                    let time = Duration::from_millis((deadline * random.between(0.53, 0.63)) as u64);
                    let (id, key) = (random.hex(16), random.hex(32));
                    let message = request(class, &id, keyed.then_some(&*key), time, "tarjeta=1");
                    record.line(&format!("client n{n}/{c} sends {class} {id}, waits {} ms", time.as_millis()));
                    let sent = Instant::now();
                    let outcome = match client.ask(&message, time) {
                        Answer::Whole(a) => format!("status {}", a.status()),
                        // The client sends it again on another connection only once; this was a new one.
                        Answer::Ended => "connection ended with no answer".into(),
                        Answer::Nothing => {
                            lost.fetch_add(1, SeqCst);
                            record.line(&format!("BROKEN: n{n}/{c} {id} was written whole to an accepted connection and got no answer {} ms later", sent.elapsed().as_millis()));
                            "no answer half a second after its time".into()
                        }
                    };
                    record.line(&format!("client n{n}/{c} {id}: {outcome}"));
                    *counts.lock().unwrap().entry(outcome).or_default() += 1;
                    thread::sleep(Duration::from_secs_f64(random.between(0.0, 0.2)));
                }
            }));
        }
    }
    let mut waves = WAVES.iter().filter(|_| trouble).peekable();
    while started.elapsed().as_secs_f64() < END {
        thread::sleep(Duration::from_millis(20));
        if waves.next_if(|&&at| at <= started.elapsed().as_secs_f64()).is_none() {
            continue;
        }
        record.line(&format!("{BAD} bad clients come to each client proxy"));
        for proxy in &proxies {
            for _ in 0..BAD {
                let (address, record, name) = (proxy.listen, Arc::clone(&record), proxy.name.clone());
                small_thread(move || {
                    let Ok(mut stream) = TcpStream::connect(address) else { return };
                    let since = Instant::now();
                    let _ = stream.write_all(b"POST /registro-entrada HTTP/1.1\r\nHost: service.internal\r\nX-Req");
                    let mut answer = [0; 64];
                    let n = stream.read(&mut answer).unwrap_or(0);
                    record.line(&format!("bad client at {name}: {} after {} ms", if n > 0 { "an error" } else { "a close" }, since.elapsed().as_millis()));
                });
            }
        }
    }
    stop.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for proxy in &mut proxies {
        if let Ok(Some(status)) = proxy.child.try_wait() {
            broken(&format!("{} ended: {status}", proxy.name));
        }
    }
    drop(proxies);
    let mut counts: Vec<_> = counts.lock().unwrap().clone().into_iter().collect();
    counts.sort();
    for (outcome, n) in counts {
        record.say(&format!("{n:7} {outcome}"));
    }
    end(&record, lost.load(SeqCst) > 0)
}
