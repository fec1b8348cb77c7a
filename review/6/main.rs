//! Answers that come with a length that is too short: what a client is served.
#[path = "../stand-ins-2/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// One of so many answers is spoilt.
const ONE_IN: u64 = 20;
/// So much is missing from the length of a spoilt answer.
const SHORT_BY: usize = 40;
const CLIENTS: usize = 12;
const SECONDS: u64 = 15;

fn main() {
    let (_, temporary) = arguments();
    let trouble = !without_trouble();
    let arrivals = Arc::new(Arrivals::default());
    let spoilt = Arc::new(AtomicUsize::new(0));
    let spoil = Arc::clone(&spoilt);
    let behaviour: Behaviour = Arc::new(move |arrival, stream| {
        sleep_ms(30);
        let body = body_for(&arrival.id, &arrival.host);
        if !trouble || arrival.number % ONE_IN != ONE_IN - 1 {
            return answer(stream, &body);
        }
        spoil.fetch_add(1, Ordering::SeqCst);
        let length = body.len() - SHORT_BY;
        rec(&format!(
            "host {} spoils {}: a body of {} bytes, Content-Length {length}",
            arrival.host,
            arrival.id,
            body.len()
        ));
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        let _ = stream.write_all(text.as_bytes());
        // The connection stays open and is of no further use.
        sleep_ms(2_000);
        false
    });
    let zones = ["liberia", "nicoya", "puntarenas"];
    let hosts: Vec<Host> = (0..9)
        .map(|n| {
            start_host(
                (&format!("s-{n}"), zones[n % 3], n as u32 % 3, 0),
                None,
                &arrivals,
                Arc::clone(&behaviour),
            )
        })
        .collect();
    let discovery = Discovery::new(41, hosts.iter().map(Entry::of).collect());
    let settings = platform_settings(1, BRIEF_CLASSES, "");
    let (index, known) = discovery.current();
    let mut proxy = start_proxy(
        "n0",
        0,
        discovery.listen_for("n0"),
        (index, &known),
        &settings,
        &temporary,
    );
    let ends: Ends = Arc::new(Mutex::new(Vec::new()));
    let threads: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (ends, address) = (Arc::clone(&ends), proxy.address);
            std::thread::spawn(move || {
                let mut client = Client::new(&format!("c{c}"), address);
                let until = test_us() + SECONDS * 1_000_000;
                let mut n = 0;
                while test_us() < until {
                    let keyed = (n + c) % 5 < 3;
                    let call = Call {
                        id: format!("c{c}-{n}"),
                        class: if keyed {
                            "registro-entrada"
                        } else {
                            "cobro-mensual"
                        }
                        .to_owned(),
                        method: "POST",
                        key: keyed.then(|| format!("key-{c}-{n}")),
                        timeout_ms: if keyed { 700 } else { 900 },
                        body: vec![b'x'; 200],
                    };
                    let ended = client.send(&call);
                    ends.lock().expect("ends").push(ended);
                    n += 1;
                    sleep_ms(60);
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let crashed = !proxy.runs();
    let ends = ends.lock().expect("ends");
    let (mut served, mut wrong, mut other) = (0, 0, 0);
    for ended in ends.iter() {
        match &ended.end {
            End::Answer { status: 200, body } if is_answer_to(&ended.call.id, body) => served += 1,
            End::Answer { status: 200, body } => {
                wrong += 1;
                rec(&format!(
                    "WRONG: {} was served with {} bytes that no host made for it: {:?}",
                    ended.call.id,
                    body.len(),
                    String::from_utf8_lossy(body)
                ));
            }
            _ => other += 1,
        }
    }
    say(&format!(
        "{} requests: {served} served with the answer made for them, {wrong} served with something else, {other} not served; {} answers were spoilt",
        ends.len(),
        spoilt.load(Ordering::SeqCst)
    ));
    if crashed {
        verdict(true, "the client proxy has ended");
    }
    if served < 200 || (trouble && spoilt.load(Ordering::SeqCst) == 0) {
        cannot_run("too little was served to judge");
    }
    verdict(
        wrong > 0,
        &format!("{wrong} requests were served with what no host made for them"),
    );
}
