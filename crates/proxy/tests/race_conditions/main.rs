//! Race conditions: requests, responses, closes and signals that arrive while the program takes a conflicting step. Each
//! race is forced by hooks on the sockets of the program, which runs in this process.
//!
//! No test of this target starts a process: a child holds all open sockets from its fork to its exec, so that a client that
//! closes its connection meanwhile is still connected for the program.

mod capacity;
mod in_process;
mod incomplete_requests;
mod late_requests;
mod segments;

use badgerramp_testkit::*;
use in_process::*;
use std::collections::VecDeque;
use std::io::{self, BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// More bytes than the program reads at once to see whether a client is still there.
const MORE_THAN_IS_LOOKED_AT: usize = 1 << 20;

/// A shutdown closes idle connections. A request that the kernel had received by then, but the program had not read, was lost
/// with its connection.
#[test]
fn a_request_that_arrives_while_shutdown_closes_its_idle_connection_is_answered() {
    run_local(async || {
        let host = Host::serving("ok");
        let mut program = InProcessProxy::start(1_024, &host).await;
        let (client, first) =
            on_client_thread(program.client(), |c| c.call("unsafe", "2000m")).await;
        assert_eq!(first.status(), 200);
        program.hooks.set_hook(
            HookPoint::ReadPending,
            0,
            write_until_received(&client, request("unsafe", "2000m", "cross")),
        );
        program.stop();
        let (_, answer) = on_client_thread(client, read_answer).await;
        assert!(program.hooks.hook_ran());
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
        assert_eq!(program.ended.await.expect("an end"), Ok(()));
    });
}

/// A shutdown closed connections without a request so far like idle ones. A client that had just connected then sent its
/// first request to a closed connection.
#[test]
fn the_first_request_on_a_connection_accepted_before_shutdown_is_answered() {
    run_local(async || {
        let host = Host::serving("ok");
        let mut program = InProcessProxy::start(1_024, &host).await;
        let (used, first) = on_client_thread(program.client(), |c| c.call("unsafe", "2000m")).await;
        assert_eq!(first.status(), 200);
        let new = program.client();
        while program.hooks.accepted.borrow().len() < 2 {
            tokio::time::sleep(QUIET_PERIOD / 300).await;
        }
        program.stop();
        // The end of an idle connection shows that the shutdown has begun.
        let (_, end) = on_client_thread(used, read_answer).await;
        assert!(end.is_none(), "no response on the idle connection");
        let (_, answer) = on_client_thread(new, |c| {
            c.send("unsafe", "2000m");
            c.answer()
        })
        .await;
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
        assert_eq!(program.ended.await.expect("an end"), Ok(()));
    });
}

/// The listener was closed while its queue held a connection that had arrived since the runtime last polled its sockets; the
/// kernel reset that connection.
#[test]
fn a_connection_queued_while_the_listener_closes_is_served() {
    /// Time from which on the hook may run, just before the listener closes: connections are accepted so long after a stop.
    const ACCEPTED: Duration = Duration::from_millis(450);
    run_local(async || {
        let host = Host::serving("ok");
        let mut program = InProcessProxy::start(1_024, &host).await;
        let (client, connected) = oneshot::channel();
        let address = program.address;
        let connects = move || {
            let stream = TcpStream::connect(address).expect("it listens");
            stream
                .set_read_timeout(Some(EVENT_TIMEOUT))
                .expect("a time-out");
            let mut queued = Client {
                stream: BufReader::new(stream),
            };
            queued.send("unsafe", "2000m");
            assert!(client.send(queued).is_ok(), "the test waits for the client");
        };
        *program.hooks.empty_queue_hook.borrow_mut() =
            Some((Instant::now() + ACCEPTED, Box::new(connects)));
        program.stop();
        let (_, answer) = on_client_thread(connected.await.expect("a client"), read_answer).await;
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
        assert_eq!(program.ended.await.expect("an end"), Ok(()));
    });
}

/// On a connection that had served a request before, a head that was half received at shutdown was dropped, and the rest of
/// the request was never read.
#[test]
fn a_request_partly_received_at_shutdown_is_answered() {
    run_local(async || {
        let host = Host::serving("ok");
        let mut program = InProcessProxy::start(1_024, &host).await;
        let (client, _) = on_client_thread(program.client(), |c| c.call("unsafe", "2000m")).await;
        let text = request("unsafe", "2000m", "half");
        let (half, rest) = text.split_at(40);
        program.hooks.set_hook(
            HookPoint::ReadPending,
            0,
            write_until_received(&client, half.to_owned()),
        );
        program.stop();
        while !program.hooks.hook_ran() {
            tokio::task::yield_now().await;
        }
        let rest = rest.to_owned();
        let (_, answer) = on_client_thread(client, move |c| {
            c.write(&rest);
            c.answer()
        })
        .await;
        assert_eq!(answer.map(|a| a.status()), Some(200));
        assert_eq!(program.ended.await.expect("an end"), Ok(()));
    });
}

/// An idle connection is closed to make room for another client. A request that arrived on it just then was lost unless it
/// was answered within a tenth of a second.
#[test]
fn a_request_that_arrives_while_its_connection_is_closed_for_another_client_is_answered() {
    run_local(async || {
        let (open, gate) = mpsc::channel::<()>();
        let gate = Mutex::new(gate);
        let host = Host::start(move |n| {
            if n == 8 {
                let _ = gate.lock().expect("one call").recv();
            }
            Reply::Write(answer("200 OK", "", "ok"))
        });
        // With 64 descriptors the program keeps eight clients.
        let program = InProcessProxy::start(64, &host).await;
        let mut clients = VecDeque::new();
        for _ in 0..8 {
            let (client, response) =
                on_client_thread(program.client(), |c| c.call("safe", "2000m")).await;
            assert_eq!(response.status(), 200);
            clients.push_back(client);
        }
        let first = clients.pop_front().expect("eight");
        program.hooks.set_hook(
            HookPoint::NothingUnread,
            0,
            write_until_received(&first, request("unsafe", "3000m", "cross")),
        );
        let ninth = on_client_thread(program.client(), |c| c.call("safe", "2000m"));
        let (_, response) = tokio::join!(ninth, async {
            // The host answers the request long after connections that make room are cut off.
            while !program.hooks.hook_ran() {
                tokio::time::sleep(QUIET_PERIOD / 30).await;
            }
            let read_first = on_client_thread(first, read_answer);
            let (answer, ()) = tokio::join!(read_first, async {
                tokio::time::sleep(QUIET_PERIOD).await;
                open.send(()).expect("the host waits");
            });
            answer.1
        });
        assert_eq!(response.map(|a| a.status()), Some(200));
    });
}

/// A response that its client had not read yet counted as delivered, so a shutdown, or a new client that needed the place,
/// closed the connection with the response half written.
#[test]
fn a_partly_written_response_is_completed_despite_new_clients_and_shutdown() {
    run_local(async || {
        let body = "x".repeat(60_000);
        let response_body = body.clone();
        let host = Host::start(move |_| Reply::Write(answer("200 OK", "", &response_body)));
        let mut program = InProcessProxy::start(64, &host).await;
        program.hooks.write_budget.set(Some(1_000));
        let mut slow = program.client();
        slow.send("safe", "3000m");
        while program.hooks.blocked_writers.borrow().is_empty() {
            tokio::time::sleep(QUIET_PERIOD / 30).await;
        }
        // Ten more clients connect and send nothing: they must not get the place of the slow client.
        let silent_clients: Vec<Client> = (0..10).map(|_| program.client()).collect();
        tokio::time::sleep(QUIET_PERIOD).await;
        program.stop();
        // Wait until the listener is closed, so that only the slow client is left.
        while TcpStream::connect(program.address).is_ok() {
            tokio::time::sleep(QUIET_PERIOD / 30).await;
        }
        tokio::time::sleep(QUIET_PERIOD).await;
        program.hooks.unblock_writes();
        let (_, response) = on_client_thread(slow, read_answer).await;
        assert_eq!(response.map(|a| a.body), Some(body.into_bytes()));
        assert_eq!(program.ended.await.expect("an end"), Ok(()));
        drop(silent_clients);
    });
}

/// A client that never reads its response must not delay a shutdown for longer than a minute.
#[test]
fn an_unread_response_delays_shutdown_by_a_minute_at_most() {
    run_local(async || {
        let host = Host::serving("ok");
        let mut program = InProcessProxy::start(64, &host).await;
        program.hooks.write_budget.set(Some(10));
        let mut slow = program.client();
        slow.send("safe", "3000m");
        while program.hooks.blocked_writers.borrow().is_empty() {
            tokio::time::sleep(QUIET_PERIOD / 30).await;
        }
        // From here on the runtime's time advances whenever it has nothing to do.
        tokio::time::pause();
        let shutdown_start = tokio::time::Instant::now();
        program.stop();
        assert_eq!(program.ended.await.expect("an end"), Ok(()));
        assert!(
            (50..70).contains(&shutdown_start.elapsed().as_secs()),
            "{:?}",
            shutdown_start.elapsed()
        );
    });
}

/// Closing a socket with unread bytes sends a reset, which may destroy the response before it. This also holds for bytes
/// that do not belong to the request.
#[test]
fn bytes_that_arrive_while_a_connection_is_closed_cause_no_reset() {
    for at_stop in [true, false] {
        run_local(async || {
            let host = Host::serving("ok");
            let mut program = InProcessProxy::start(1_024, &host).await;
            let mut client = program.client();
            program.hooks.set_hook(
                HookPoint::Shutdown,
                0,
                write_until_received(&client, "GET /sa".to_owned()),
            );
            if at_stop {
                let (used, answer) = on_client_thread(client, |c| c.call("safe", "2000m")).await;
                assert_eq!(answer.status(), 200);
                client = used;
                program.stop();
            } else {
                // The extra bytes make the request invalid: the connection is closed after its response.
                client.write(&(request("unsafe", "2000m", "1") + "GET /"));
            }
            let (mut client, answer) =
                on_client_thread(client, move |c| if at_stop { None } else { c.answer() }).await;
            assert_eq!(
                answer.map(|a| a.status()),
                if at_stop { None } else { Some(400) }
            );
            let end = on_client_thread(
                Client {
                    stream: BufReader::new(
                        client.stream.get_ref().try_clone().expect("a descriptor"),
                    ),
                },
                |c| c.stream.read(&mut [0; 16]).map_err(|e| e.kind()),
            );
            assert_eq!(end.await.1, Ok(0), "an orderly close, no reset");
            assert!(program.hooks.hook_ran());
            while program.hooks.accepted.borrow()[0].strong_count() > 0 {
                tokio::time::sleep(QUIET_PERIOD / 30).await;
            }
            assert_eq!(
                program.hooks.closed_unread.get(),
                0,
                "closed with bytes unread"
            );
            client
                .stream
                .get_mut()
                .shutdown(Shutdown::Both)
                .unwrap_or_default();
        });
    }
}

/// The host sends bytes or closes between the check of an idle connection and the first byte of a request. The request is
/// written after that, so it may have run: a safe request is retried, an unsafe one fails.
#[test]
fn bytes_or_a_close_of_a_host_just_before_a_request_are_neither_response_nor_rejection() {
    // A partial status line may be the beginning of a response, so the program waits for the rest.
    for (bytes, safe_status) in [("HTTP/1.1 40", 503), ("noise\r\n\r\n", 200), ("", 200)] {
        for class in ["safe", "unsafe"] {
            run_local(async || {
                let host = InterruptingHost::start(bytes);
                let program = InProcessProxy::start_at(1_024, host.address).await;
                let (client, first) =
                    on_client_thread(program.client(), |c| c.call("unsafe", "3000m")).await;
                assert_eq!(first.status(), 200);
                let interrupt = host.interrupt;
                program.hooks.set_hook(
                    HookPoint::NothingUnread,
                    FIRST_UPSTREAM_CONNECTION,
                    move |stream| {
                        interrupt.send(()).expect("the host waits");
                        while stream.peek(&mut [0]).is_err() {
                            thread::yield_now();
                        }
                    },
                );
                let (_, second) = on_client_thread(client, move |c| c.call(class, "3000m")).await;
                assert!(program.hooks.hook_ran());
                assert_eq!(
                    second.status(),
                    if class == "safe" { safe_status } else { 502 },
                    "{class} after {bytes:?}"
                );
                // The host receives at most one more request, and one retry if it is safe.
                let most = if class == "safe" { 3 } else { 2 };
                assert!(
                    host.requests.load(Ordering::SeqCst) <= most,
                    "{class} after {bytes:?}"
                );
            });
        }
    }
}

/// A host that, on its first connection after one response, sends bytes or closes when `interrupt` is signalled.
struct InterruptingHost {
    address: SocketAddr,
    interrupt: mpsc::Sender<()>,
    requests: Arc<AtomicUsize>,
}

impl InterruptingHost {
    fn start(bytes: &'static str) -> InterruptingHost {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (interrupt, interrupted) = mpsc::channel::<()>();
        let requests = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&requests);
        thread::spawn(move || {
            let mut interrupted = Some(interrupted);
            for stream in listener.incoming().flatten() {
                let (interrupted, count) = (interrupted.take(), Arc::clone(&count));
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while read(&mut stream).is_some() {
                        count.fetch_add(1, Ordering::SeqCst);
                        let _ = io::Write::write_all(
                            stream.get_mut(),
                            answer("200 OK", "", "ok").as_bytes(),
                        );
                        if interrupted
                            .as_ref()
                            .is_some_and(|interrupted| interrupted.recv().is_ok())
                        {
                            if bytes.is_empty() {
                                return;
                            }
                            let _ = io::Write::write_all(stream.get_mut(), bytes.as_bytes());
                            // Later requests on this connection are counted, but not answered.
                            while read(&mut stream).is_some() {
                                count.fetch_add(1, Ordering::SeqCst);
                            }
                        }
                    }
                });
            }
        });
        InterruptingHost {
            address,
            interrupt,
            requests,
        }
    }
}

/// A duplicate response that arrived some milliseconds late, just after the next request on its connection, was read as the
/// response to that request. Once a host has sent bytes that belong to no request, its connections are not reused at once.
#[test]
fn a_duplicate_response_is_not_read_as_the_response_to_the_next_request() {
    run_local(async || {
        // The runtime's time advances only where the test advances it.
        tokio::time::pause();
        let host = DuplicatingHost::start();
        let program = InProcessProxy::start_at(1_024, host.address).await;
        let mut client = program.client();
        for n in 0..6 {
            // The first duplicate comes at once, so that the program knows that this host sends them.
            let (used, response) = on_client_thread(client, |c| c.call("unsafe", "3000m")).await;
            client = used;
            let body = format!("answer {n}");
            assert_eq!(
                (
                    response.status(),
                    String::from_utf8_lossy(&response.body).as_ref()
                ),
                (200, body.as_str())
            );
        }
        // After a pause connections are reused.
        assert_eq!(
            host.connections(),
            6,
            "one connection for each request, as none has paused long enough"
        );
        tokio::time::advance(Duration::from_millis(20)).await;
        let (_, response) = on_client_thread(client, |c| c.call("unsafe", "3000m")).await;
        assert_eq!((response.status(), host.connections()), (200, 6));
    });
}

/// A host that answers its first request twice at once. It repeats the responses to later requests when the next request
/// arrives on the same connection soon after.
struct DuplicatingHost {
    address: SocketAddr,
    opened: Arc<AtomicUsize>,
}

impl DuplicatingHost {
    fn start() -> DuplicatingHost {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (opened, requests) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let count = Arc::clone(&opened);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let requests = Arc::clone(&requests);
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    let mut previous = String::new();
                    while read(&mut stream).is_some() {
                        let n = requests.fetch_add(1, Ordering::SeqCst);
                        let own = answer("200 OK", "", &format!("answer {n}"));
                        // The seventh request comes too late for a duplicate.
                        let copies = if n < 6 {
                            previous.clone()
                        } else {
                            String::new()
                        };
                        let text = copies + &own + if n == 0 { &own } else { "" };
                        let _ = io::Write::write_all(stream.get_mut(), text.as_bytes());
                        previous = own;
                    }
                });
            }
        });
        DuplicatingHost { address, opened }
    }

    fn connections(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }
}

/// A client leaves while the connection to a host is being opened. If bytes after its request were in the HTTP library's
/// buffer, the end of the connection went unnoticed and the request was still sent.
#[test]
fn no_request_is_sent_if_the_client_leaves_during_the_upstream_connect() {
    for departure in [Departure::Close, Departure::Reset, Departure::HalfClose] {
        for trailing in ["", "GET /safe HTTP/1.1\r\n"] {
            run_local(async || {
                let host = Host::serving("ok");
                let program = InProcessProxy::start(1_024, &host).await;
                program.hooks.held_host.set(Some(host.address));
                let mut client = program.client();
                client.send("unsafe", "3000m");
                program.hooks.connecting.notified().await;
                if !trailing.is_empty() {
                    client.write(trailing);
                    // Wait until these bytes are read: the library then has them in its buffer and reads no further.
                    program.hooks.wait_until_read(0).await;
                }
                let left = departure.leave(client);
                program.hooks.released.notify_one();
                // Another request is served; by then the first one would have been sent.
                let (_, answer) = on_client_thread(program.client(), {
                    program.hooks.held_host.set(None);
                    |c| c.call("safe", "3000m")
                })
                .await;
                assert_eq!(answer.status(), 200, "{departure:?}");
                let sent = host.events.try_iter().filter(
                    |s| matches!(s, HostEvent::Request(_, m) if m.head.starts_with("POST")),
                );
                assert_eq!(
                    sent.count(),
                    0,
                    "{departure:?} with {} trailing bytes",
                    trailing.len()
                );
                drop(left);
            });
        }
    }
}

/// The close of a client was hidden behind what it had sent after its request, of which only a part was looked at.
#[test]
fn no_request_is_sent_if_the_client_leaves_behind_much_unread_data() {
    run_local(async || {
        let host = Host::serving("ok");
        let program = InProcessProxy::start(1_024, &host).await;
        program.hooks.held_host.set(Some(host.address));
        let mut client = program.client();
        client.send("unsafe", "3000m");
        program.hooks.connecting.notified().await;
        let unread = client.write_until_full();
        assert!(unread > MORE_THAN_IS_LOOKED_AT, "{unread} bytes written");
        drop(client);
        program.hooks.released.notify_one();
        // Another request is served; by then the first one would have been sent.
        let (_, answer) = on_client_thread(program.client(), {
            program.hooks.held_host.set(None);
            |c| c.call("safe", "3000m")
        })
        .await;
        assert_eq!(answer.status(), 200);
        let sent = host
            .events
            .try_iter()
            .filter(|s| matches!(s, HostEvent::Request(_, m) if m.head.starts_with("POST")));
        assert_eq!(sent.count(), 0);
    });
}
