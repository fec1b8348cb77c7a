//! Requests while nearly all places for connections are taken.

use crate::in_process::*;
use badgerramp_testkit::*;
use std::time::Duration;

/// A client that came when the places for served connections were taken was rejected, though the connections that took them
/// had no request: their clients had only just connected.
#[test]
fn a_request_is_served_while_clients_without_requests_hold_the_other_places() {
    run_local(async || {
        let host = Host::serving("ok");
        // With 64 descriptors the program holds ten connections, and eight calls may be open.
        let program = InProcessProxy::start(64, &host).await;
        let _time = FrozenTime::start();
        let silent: Vec<Client> = (0..9).map(|_| program.client()).collect();
        program.hooks.wait_until_accepted(8).await;
        let (_, answer) = on_client_thread(program.client(), |c| c.call("unsafe", "900m")).await;
        assert_eq!(answer.status(), 200);
        drop(silent);
    });
}

/// Clients that did not read their responses kept their places for a minute each. With all places taken, no other client was
/// accepted in that time.
#[test]
fn a_request_is_served_while_clients_with_overdue_unread_responses_hold_all_places() {
    /// The connections that the program holds with 64 descriptors.
    const PLACES: usize = 10;
    /// Longer than the clients wait for their responses, and shorter than an idle connection is kept.
    const OVERDUE: Duration = Duration::from_secs(4);
    run_local(async || {
        let body = "x".repeat(60_000);
        let host = Host::start(move |_| Reply::Write(answer("200 OK", "", &body)));
        let program = InProcessProxy::start(64, &host).await;
        let time = FrozenTime::start();
        program.hooks.write_budget.set(Some(1_000));
        let mut unread = Vec::new();
        for number in 1..=PLACES {
            let mut client = program.client();
            client.send("unsafe", "3000m");
            unread.push(client);
            while program.hooks.blocked_writers.borrow().len() < number {
                tokio::task::yield_now().await;
            }
        }
        time.advance(OVERDUE).await;
        let mut client = program.client();
        client.send("unsafe", "900m");
        let requests = PLACES + 1;
        let received = tokio::task::spawn_blocking(move || {
            (0..requests).for_each(|_| drop(host.request()));
        });
        received.await.expect("the request at the host");
        program.hooks.unblock_writes();
        let (_, answer) = on_client_thread(client, read_answer).await;
        assert_eq!(answer.map(|a| a.status()), Some(200));
        // The client that has waited longest has made room. It can tell that its response is incomplete.
        let first = unread.remove(0);
        let (_, response) = on_client_thread(first, read_answer).await;
        assert!(response.is_none());
        let (_, response) = on_client_thread(unread.remove(0), read_answer).await;
        assert_eq!(
            response.map(|a| a.status()),
            Some(200),
            "no more than needed"
        );
    });
}

/// A crowd that came and went at full speed was accepted in one go, again and again, before the requests of others were read.
#[test]
fn a_request_is_read_before_a_crowd_that_comes_at_once_has_been_accepted() {
    const CROWD: usize = 100;
    run_local(async || {
        let host = Host::serving("ok");
        let program = InProcessProxy::start(1_024, &host).await;
        let (mut usual, _) = on_client_thread(program.client(), |c| c.call("safe", "900m")).await;
        // Nothing of the program runs between these steps.
        let crowd: Vec<Client> = (0..CROWD).map(|_| program.client()).collect();
        usual.send("unsafe", "900m");
        program.hooks.wait_until_read(0).await;
        let accepted = program.hooks.accepted.borrow().len();
        assert!(
            accepted < CROWD / 2,
            "{accepted} accepted before the request was read"
        );
        let (_, answer) = on_client_thread(usual, read_answer).await;
        assert_eq!(answer.map(|a| a.status()), Some(200));
        drop(crowd);
    });
}
