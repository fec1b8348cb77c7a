//! The program among many: it keeps to its part of the fleet, leaves what drains at once, and finds others when its own
//! are gone.

use badgerramp_testkit::*;
use std::collections::BTreeSet;

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");
const HOSTS: usize = 24;
const GET: &str = "GET /safe HTTP/1.1\r\nHost: gym.example\r\n\r\n";

fn file(discovery: std::net::SocketAddr, more: &str) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\n[upstream]\ndiscovery = \"{discovery}\"\nproxies = 12\n\
         [subset]\ninstance = 5\nsize = 3\n{more}\n[class.safe]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"safe\"\n\
         [[route]]\nname = \"safe\"\nprefix = \"/safe\"\nclass = \"safe\"\n"
    )
}

/// Asks so often, and tells which hosts answered.
fn met(proxy: &Proxy, hosts: &[Host], requests: usize) -> BTreeSet<usize> {
    let mut client = proxy.client();
    (0..requests).for_each(|_| assert_eq!(client.ask(GET).status(), 200));
    // All that was seen is taken out, so that the next look finds only what is new.
    let asked = |h: &Host| {
        h.events
            .try_iter()
            .filter(|s| matches!(s, HostEvent::Request(..)))
            .count()
            > 0
    };
    // A host tells of a request before its answer is read by the client that waits for it.
    (0..hosts.len()).filter(|&n| asked(&hosts[n])).collect()
}

fn entries(hosts: &[Host], which: impl IntoIterator<Item = usize>, status: &str) -> Vec<String> {
    which
        .into_iter()
        .map(|n| entry(&format!("s-{n}"), hosts[n].address, status, 0))
        .collect()
}

#[test]
fn a_proxy_keeps_to_its_part_and_others_take_the_place_of_those_that_drain() {
    let hosts: Vec<Host> = (0..HOSTS).map(|_| Host::serving("ok")).collect();
    let discovery = Discovery::start();
    let proxy = Proxy::sidecar(PROGRAM, &[], &file(discovery.address, ""));
    assert!(discovery
        .next_request()
        .starts_with("GET /catalog/members HTTP/1.1"));
    discovery.respond(&list(1, true, &entries(&hosts, 0..HOSTS, "up")));
    assert!(
        discovery.next_request().contains("index=1"),
        "the list is in once it asks for news"
    );
    let first = met(&proxy, &hosts, 80);
    assert!((2..=12).contains(&first.len()), "of {HOSTS}: {first:?}");
    // All of them drain at the same moment.
    discovery.respond(&list(
        2,
        false,
        &entries(&hosts, first.iter().copied(), "draining"),
    ));
    assert!(discovery.next_request().contains("index=2"));
    let then = met(&proxy, &hosts, 80);
    assert!(
        then.is_disjoint(&first) && then.len() >= 2,
        "{then:?} after {first:?}"
    );
    // They come back, and so does the part that is its own.
    discovery.respond(&list(
        3,
        false,
        &entries(&hosts, first.iter().copied(), "up"),
    ));
    assert!(discovery.next_request().contains("index=3"));
    assert!(!met(&proxy, &hosts, 80).is_disjoint(&first));
}

/// Members that refuse connections are no reason to fail: the call goes on to others that the subset grows by.
#[test]
fn members_that_all_die_unannounced_cost_no_call() {
    let hosts: Vec<Host> = (0..HOSTS).map(|_| Host::serving("ok")).collect();
    let discovery = Discovery::start();
    let proxy = Proxy::sidecar(PROGRAM, &[], &file(discovery.address, "pause = \"10ms\""));
    discovery.next_request();
    discovery.respond(&list(1, true, &entries(&hosts, 0..HOSTS, "up")));
    discovery.next_request();
    let first = met(&proxy, &hosts, 80);
    // Under the same names, at addresses where nothing listens: as if their machines had gone.
    let dead: Vec<String> = first
        .iter()
        .map(|n| entry(&format!("s-{n}"), unused_address(), "up", 0))
        .collect();
    discovery.respond(&list(2, false, &dead));
    discovery.next_request();
    let mut client = proxy.client();
    let answers: Vec<u16> = (0..60).map(|_| client.ask(GET).status()).collect();
    let served = answers.iter().filter(|&&s| s == 200).count();
    assert!(
        answers[20..].iter().all(|&s| s == 200),
        "{served} of 60 served: {answers:?}"
    );
    assert!(proxy.client().ask(GET).status() == 200);
}
