//! Reloads of a sidecar's file while the body of a request is being received: the request keeps the class under which its
//! head was admitted.

use badgerramp_testkit::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");

const LOOKUP: &str = "[class.lookup]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"safe\"\n\
    [[route]]\nname = \"lookup\"\nprefix = \"/lookup\"\nclass = \"lookup\"\n";
/// The classes of the requests.
const CHARGES: &str = "[class.charge]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"unsafe\"\n\
    [class.entry]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"keyed\"\ngroup = \"zone\"\nwindow = \"3s\"\n\
    [[route]]\nname = \"charge\"\nprefix = \"/charge\"\nclass = \"charge\"\n\
    [[route]]\nname = \"entry\"\nprefix = \"/entry\"\nclass = \"entry\"\n";
/// The same classes, which are safe now.
const SAFE_CHARGES: &str =
    "[class.charge]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"safe\"\n\
    [class.entry]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"safe\"\n\
    [[route]]\nname = \"charge\"\nprefix = \"/charge\"\nclass = \"charge\"\n\
    [[route]]\nname = \"entry\"\nprefix = \"/entry\"\nclass = \"entry\"\n";
/// Other classes, which are safe.
const RECEIPTS: &str = "[class.receipt]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"safe\"\n\
    [class.visits]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"safe\"\n\
    [[route]]\nname = \"receipt\"\nprefix = \"/receipt\"\nclass = \"receipt\"\n\
    [[route]]\nname = \"visits\"\nprefix = \"/visits\"\nclass = \"visits\"\n";

/// What the file says in place of [`CHARGES`] after each reload.
const RELOADS: [&[&str]; 5] = [
    &[RECEIPTS],
    &[""],
    &[SAFE_CHARGES],
    &["", RECEIPTS],
    &[RECEIPTS, CHARGES, RECEIPTS],
];

/// A file with these classes over four hosts, of which every two are a zone.
fn file(hosts: &[Host; 4], classes: &str) -> String {
    let endpoint = |(number, host): (usize, &Host)| {
        let (zone, address) = (number / 2, host.address);
        format!("{{ name = \"s-{number}\", address = \"{address}\", zone = \"z-{zone}\" }}")
    };
    let endpoints: Vec<String> = hosts.iter().enumerate().map(endpoint).collect();
    format!(
        "listen = \"127.0.0.1:0\"\n[upstream]\nendpoints = [{}]\n{LOOKUP}{classes}",
        endpoints.join(", ")
    )
}

/// Sends a request of which the second half of the body follows after the reloads. Returns its answer, and the number of
/// requests that came to each zone. All hosts fail what they get.
fn request_across_reloads(path: &str, reloads: &[&str]) -> (Message, [usize; 2]) {
    let hosts = [(); 4]
        .map(|()| Host::start(|_| Reply::Write(answer("500 Internal Server Error", "", "failed"))));
    let proxy = Proxy::sidecar(PROGRAM, &[], &file(&hosts, CHARGES));
    let mut client = proxy.client();
    client.write(&format!(
        "POST {path} HTTP/1.1\r\nHost: gym.example\r\nIdempotency-Key: k1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
    ));
    // The interim response shows that the head has been admitted.
    assert_eq!(client.answer().expect("an interim response").status(), 100);
    client.write("bo");
    for classes in reloads {
        proxy.reload(&file(&hosts, classes));
        proxy.wait_for_log("the new configuration holds");
    }
    client.write("dy");
    let answer = client.answer().expect("a final answer");
    let requests = hosts.each_ref().map(Host::further_requests);
    (
        answer,
        [requests[0] + requests[1], requests[2] + requests[3]],
    )
}

/// A call that started under the id of a class that was gone by then was handled as a safe one. A charge that had run was
/// refused, so that its client sent it once more.
#[test]
fn an_unsafe_request_received_across_reloads_is_sent_once_and_not_refused() {
    for reloads in RELOADS {
        let (answer, requests) = request_across_reloads("/charge", reloads);
        assert_eq!(
            (answer.status(), requests[0] + requests[1]),
            (500, 1),
            "{reloads:?}"
        );
    }
}

/// For the same reason a keyed request that may have run was sent to a zone that does not drop its repeats.
#[test]
fn a_keyed_request_received_across_reloads_is_sent_to_one_zone_and_not_refused() {
    for reloads in RELOADS {
        let (answer, requests) = request_across_reloads("/entry", reloads);
        assert_eq!(answer.status(), 500, "{reloads:?}");
        let zones = requests.iter().filter(|&&count| count > 0).count();
        assert_eq!(zones, 1, "{reloads:?}: {requests:?}");
        assert!(
            requests[0] + requests[1] > 1,
            "retried within its zone: {reloads:?}"
        );
    }
}
