//! Requests while nearly all places for connections are taken.

use crate::in_process::*;
use badgerramp_testkit::*;

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
