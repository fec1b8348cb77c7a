//! Race conditions of the program as a process, which is stopped with SIGSTOP so that it finds several events at the same
//! time.

use badgerramp_testkit::*;
use std::collections::HashSet;
use std::io::{self, BufReader};
use std::net::SocketAddr;
use std::sync::{mpsc, Arc, Condvar, Mutex};
use std::thread;

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");

/// A host that reports each request on arrival and answers none until the gate is opened.
struct GatedHost {
    address: SocketAddr,
    arrivals: mpsc::Receiver<String>,
    open: Arc<(Mutex<bool>, Condvar)>,
}

impl GatedHost {
    fn start() -> GatedHost {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (sender, arrivals) = mpsc::channel();
        let open = Arc::new((Mutex::new(false), Condvar::new()));
        let gate = Arc::clone(&open);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (sender, gate) = (sender.clone(), Arc::clone(&gate));
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Some(message) = read(&mut stream) {
                        let _ = sender.send(
                            message
                                .header("x-request-id")
                                .unwrap_or_default()
                                .to_owned(),
                        );
                        let open = gate.0.lock().expect("no panic");
                        drop(gate.1.wait_while(open, |open| !*open).expect("no panic"));
                        let _ = io::Write::write_all(
                            stream.get_mut(),
                            answer("200 OK", "", "ok").as_bytes(),
                        );
                    }
                });
            }
        });
        GatedHost {
            address,
            arrivals,
            open,
        }
    }

    fn open(&self) {
        *self.open.0.lock().expect("no panic") = true;
        self.open.1.notify_all();
    }

    /// Returns the ids of all requests that arrive until none does for a while.
    fn drain_arrivals(&self) -> HashSet<String> {
        let mut all = HashSet::new();
        while let Ok(id) = self.arrivals.recv_timeout(QUIET_PERIOD) {
            all.insert(id);
        }
        all
    }
}

/// A client leaves while its call is in the wait queue. With `stopped` the process is stopped meanwhile, so that it finds the
/// response that releases the call and the client's departure at the same time.
#[test]
fn no_request_is_sent_if_the_client_leaves_the_wait_queue() {
    for (stopped, departure) in [
        (false, Departure::Close),
        (true, Departure::Close),
        (true, Departure::Reset),
    ] {
        let (discovery, host) = (Discovery::start(), GatedHost::start());
        let proxy = Proxy::start(PROGRAM, &discovery, &[entry("s-1", host.address, "up", 0)]);
        let mut clients: Vec<(String, Client)> = Vec::new();
        for n in 0..14 {
            let (id, mut client) = (format!("call-{n}"), proxy.client());
            client.write(&request("unsafe", "3000m", &id));
            clients.push((id, client));
        }
        let sent = host.drain_arrivals();
        let (served, held): (Vec<_>, Vec<_>) =
            clients.into_iter().partition(|(id, _)| sent.contains(id));
        assert!(
            served.len() > 3 && held.len() > 3,
            "{} of 14 are held",
            held.len()
        );
        if stopped {
            proxy.signal("-STOP");
            host.open();
        }
        for (_, mut client) in held {
            client.write("GET /safe HTTP/1.1\r\n");
            departure.leave(client);
        }
        if stopped {
            proxy.signal("-CONT");
        } else {
            // The departures are read before this request is answered.
            proxy
                .client()
                .ask("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            host.open();
        }
        for (id, mut client) in served {
            assert_eq!(client.answer().map(|a| a.status()), Some(200), "{id}");
        }
        let further = host.drain_arrivals();
        assert!(
            further.is_empty(),
            "sent though their clients had left: {further:?} ({stopped}, {departure:?})"
        );
    }
}

/// Signals that arrive together, before the first response of the list service: accepted requests are answered, and the
/// program exits with success. The process is stopped meanwhile, so that it finds the signals at the same time.
#[test]
fn concurrent_signals_lose_no_request() {
    for signals in [["-TERM", "-TERM"], ["-HUP", "-TERM"], ["-TERM", "-HUP"]] {
        let (discovery, other, host) = (Discovery::start(), Discovery::start(), GatedHost::start());
        let listen = "127.0.0.1:0".parse().expect("an address");
        let known = [entry("s-1", host.address, "up", 0)];
        let mut proxy =
            Proxy::with_config(PROGRAM, &config(listen, discovery.address, 1_024, &known));
        let (mut in_flight, mut queued) = (proxy.client(), proxy.client());
        in_flight.write(&request("unsafe", "3000m", "taken"));
        assert_eq!(
            host.arrivals.recv_timeout(EVENT_TIMEOUT).as_deref(),
            Ok("taken")
        );
        proxy.signal("-STOP");
        // The file that SIGHUP reads names another list service.
        proxy.reload(&config(proxy.address, other.address, 1_024, &[]));
        signals.iter().for_each(|signal| proxy.signal(signal));
        queued.write(&request("unsafe", "3000m", "comes"));
        host.open();
        proxy.signal("-CONT");
        for client in [&mut in_flight, &mut queued] {
            assert_eq!(
                client.answer().map(|a| a.status()),
                Some(200),
                "{signals:?}"
            );
            assert!(client.answer().is_none(), "and its connection is closed");
        }
        assert!(proxy.exits_successfully(), "it exits 0: {signals:?}");
    }
}
