//! Clients that leave before they have been answered.

use badgerramp_testkit::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");

/// An id ran twice when it came again after its client had left.
#[test]
fn the_id_of_a_request_whose_client_has_left_is_not_executed_again() {
    for departure in [Departure::Close, Departure::Reset, Departure::HalfClose] {
        let (discovery, host) = (Discovery::start(), Host::start(|_| Reply::Silence));
        let proxy = Proxy::start(PROGRAM, &discovery, &[entry("s-1", host.address, "up", 0)]);
        let mut client = proxy.client();
        client.write(&request("unsafe", "3000m", "abandoned"));
        host.request();
        let left = departure.leave(client);
        host.closed();
        let answer = proxy.client().ask(&request("unsafe", "500m", "abandoned"));
        assert_eq!((answer.status(), host.further_requests()), (409, 0));
        let answer = proxy.client().ask(&request("unsafe", "500m", "another"));
        assert_eq!((answer.status(), host.further_requests()), (502, 1));
        drop(left);
    }
}
