//! Clients that stop in the middle of a request and stay connected.

use crate::in_process::*;
use badgerramp_testkit::*;
use std::io::Read;
use std::time::Duration;

/// The descriptors of the program in these tests. It then keeps eight clients, and two more whose requests it rejects.
const DESCRIPTORS: usize = 64;
/// The number of connections that the program holds with so many descriptors.
const PLACES: usize = 10;
/// A time for which a client has sent nothing, shorter than the program waits for a request.
const STALL: Duration = Duration::from_secs(1);
/// A time after which the program evicts another connection if it could not close the first one.
const EVICTION_PAUSE: Duration = Duration::from_millis(20);

/// Incomplete requests: the first byte, half a head, a head without its body, and half a body.
const INCOMPLETE_REQUESTS: [&str; 4] = [
    "P",
    "POST /unsafe HTTP/1.1\r\nHost: service.internal\r\nX-Req",
    "POST /unsafe HTTP/1.1\r\nX-Request-ID: stalled-ID\r\nX-Timeout: 3000m\r\nContent-Length: 4\r\n\r\n",
    "POST /unsafe HTTP/1.1\r\nX-Request-ID: stalled-ID\r\nX-Timeout: 3000m\r\nContent-Length: 4\r\n\r\nbo",
];

/// Connects a client that sends the beginning of a request, and waits until the program has read it.
async fn stalled_client(program: &InProcessProxy, number: usize, text: &str) -> Client {
    let mut client = program.client();
    client.write(&text.replace("ID\r", &format!("{number}\r")));
    program.hooks.wait_until_accepted(number).await;
    program.hooks.wait_until_read(number).await;
    client
}

/// Clients that had stopped in the middle of a request kept all places until their time limit. Requests of other clients
/// stayed in the listener's queue for 2.5 s, without an answer or a close.
#[test]
fn a_request_is_answered_at_once_while_stalled_clients_hold_all_places() {
    for text in INCOMPLETE_REQUESTS {
        run_local(async || {
            let host = Host::serving("ok");
            let program = InProcessProxy::start(DESCRIPTORS, &host).await;
            let time = FrozenTime::start();
            let mut stalled = Vec::new();
            for number in 0..PLACES {
                stalled.push(stalled_client(&program, number, text).await);
            }
            time.advance(STALL).await;
            for class in ["safe", "keyed", "unsafe"] {
                let (_, answer) =
                    on_client_thread(program.client(), |c| c.call(class, "900m")).await;
                assert_eq!(answer.status(), 200, "{class} beside {text:?}");
            }
            // The client that has stalled longest is told that its request was not executed.
            let first = stalled.remove(0);
            let (_, rejection) = on_client_thread(first, read_answer).await;
            let rejection = rejection.expect("a rejection");
            assert_eq!(
                (rejection.status(), rejection.header("connection")),
                (503, Some("close")),
                "{text:?}"
            );
            assert!(stalled.last().is_some_and(is_open), "no more than needed");
            assert_eq!(host.further_requests(), 3, "beside {text:?}");
        });
    }
}

/// The more clients stalled, the longer all others waited in the listener's queue: 100 ms for every ten clients that sent
/// nothing, and 2.5 s for every ten that sent half a request.
#[test]
fn a_crowd_that_stalls_delays_the_accept_of_others_for_a_short_time() {
    /// The number of clients ahead in the listener's queue.
    const CROWD: usize = 100;
    /// The virtual time after which a client must have been accepted, whatever those before it do.
    const ACCEPT_LIMIT: Duration = Duration::from_millis(500);
    for text in INCOMPLETE_REQUESTS.into_iter().chain([""]) {
        run_local(async || {
            let host = Host::serving("ok");
            let program = InProcessProxy::start(DESCRIPTORS, &host).await;
            let time = FrozenTime::start();
            let connect = |number: usize| {
                let mut client = program.client();
                client.write(&text.replace("ID\r", &format!("{number}\r")));
                client
            };
            let crowd: Vec<Client> = (0..CROWD).map(connect).collect();
            let mut client = program.client();
            client.send("unsafe", "900m");
            let started = tokio::time::Instant::now();
            while program.hooks.accepted.borrow().len() <= CROWD {
                assert!(
                    started.elapsed() < ACCEPT_LIMIT,
                    "{} accepted beside {text:?}",
                    program.hooks.accepted.borrow().len()
                );
                time.advance(Duration::from_millis(1)).await;
            }
            // It has been accepted, and may wait for a place. Then no time passes until the answer.
            time.advance(EVICTION_PAUSE).await;
            let (_, answer) = on_client_thread(client, read_answer).await;
            let answer = answer.expect("a final answer");
            assert!([200, 503].contains(&answer.status()), "{}", answer.head);
            drop(crowd);
        });
    }
}

/// A request of which the rest arrives in the moment in which its place is given away is answered, and its connection is not
/// reset.
#[test]
fn a_request_completed_while_its_connection_is_evicted_is_answered() {
    let complete = request("unsafe", "3000m", "crossing");
    let head_len = complete.find("\r\n\r\n").expect("a head") + 4;
    for received in [1, 40, head_len, complete.len() - 1] {
        run_local(async || {
            let host = Host::serving("ok");
            let program = InProcessProxy::start(DESCRIPTORS, &host).await;
            let time = FrozenTime::start();
            let (start, rest) = complete.split_at(received);
            let mut slow = program.client();
            slow.write(start);
            program.hooks.wait_until_accepted(0).await;
            program.hooks.wait_until_read(0).await;
            let mut others = Vec::new();
            for number in 1..PLACES {
                others.push(stalled_client(&program, number, INCOMPLETE_REQUESTS[1]).await);
            }
            time.advance(STALL).await;
            program.hooks.set_hook(
                HookPoint::NothingUnread,
                0,
                write_until_received(&slow, rest.to_owned()),
            );
            let other = on_client_thread(program.client(), |c| c.call("safe", "900m"));
            let ((_, other), ()) = tokio::join!(other, async {
                while !program.hooks.hook_ran() {
                    tokio::task::yield_now().await;
                }
                // The eviction may have been revoked; after a pause another connection is evicted.
                time.advance(EVICTION_PAUSE).await;
            });
            assert_eq!(other.status(), 200);
            assert!(program.hooks.hook_ran());
            let (slow, answer) = on_client_thread(slow, read_answer).await;
            let answer = answer.expect("a final answer");
            let sent = host.further_requests() - 1;
            // It is served, or else it was not executed.
            let expected = [(200, 1), (503, 0)];
            assert!(
                expected.contains(&(answer.status(), sent)),
                "{received} bytes: {}, sent {sent} times",
                answer.status()
            );
            assert_eq!(answer.header("connection"), Some("close"));
            let end = on_client_thread(slow, |c| c.stream.read(&mut [0; 16]))
                .await
                .1;
            assert_eq!(
                end.map_err(|e| e.kind()),
                Ok(0),
                "an orderly close, no reset"
            );
        });
    }
}

/// Requests that arrive slowly are served as long as there are places for all clients.
#[test]
fn slow_requests_are_served_while_there_are_places() {
    run_local(async || {
        let host = Host::serving("ok");
        let program = InProcessProxy::start(DESCRIPTORS, &host).await;
        let time = FrozenTime::start();
        let mut slow = Vec::new();
        for number in 0..PLACES - 2 {
            let text = request("unsafe", "3000m", &format!("slow-{number}"));
            let received = 1 + number * (text.len() - 2) / (PLACES - 3);
            let mut client = program.client();
            client.write(&text[..received]);
            program.hooks.wait_until_accepted(number).await;
            program.hooks.wait_until_read(number).await;
            slow.push((client, text[received..].to_owned()));
        }
        time.advance(STALL).await;
        for (mut client, rest) in slow {
            client.write(&rest);
            let (_, answer) = on_client_thread(client, read_answer).await;
            assert_eq!(answer.map(|a| a.status()), Some(200));
        }
    });
}
