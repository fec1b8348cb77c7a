//! The program with `[subset]`: it uses a subset of the hosts and replaces members that drain or fail.

use badgerramp_testkit::*;
use std::collections::BTreeSet;

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");
const HOSTS: usize = 24;
const GET: &str = "GET /safe HTTP/1.1\r\nHost: gym.example\r\n\r\n";

fn file(discovery: std::net::SocketAddr, subset_settings: &str) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\n[upstream]\ndiscovery = \"{discovery}\"\nproxies = 12\n\
         [subset]\ninstance = 5\nsize = 3\n{subset_settings}\n[class.safe]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"safe\"\n\
         [[route]]\nname = \"safe\"\nprefix = \"/safe\"\nclass = \"safe\"\n"
    )
}

/// Sends requests and returns the hosts that got one of them.
fn hosts_that_answer(proxy: &Proxy, hosts: &[Host], requests: usize) -> BTreeSet<usize> {
    let mut client = proxy.client();
    (0..requests).for_each(|_| assert_eq!(client.ask(GET).status(), 200));
    // Drains the recorded requests, so that the next call finds only new ones.
    let got_request = |h: &Host| {
        h.events
            .try_iter()
            .filter(|s| matches!(s, HostEvent::Request(..)))
            .count()
            > 0
    };
    // A host records a request before it answers, so all of them are recorded by now.
    (0..hosts.len())
        .filter(|&n| got_request(&hosts[n]))
        .collect()
}

fn entries(hosts: &[Host], selected: impl IntoIterator<Item = usize>, status: &str) -> Vec<String> {
    selected
        .into_iter()
        .map(|n| entry(&format!("s-{n}"), hosts[n].address, status, 0))
        .collect()
}

#[test]
fn a_proxy_uses_its_subset_and_replaces_members_that_drain() {
    let hosts: Vec<Host> = (0..HOSTS).map(|_| Host::serving("ok")).collect();
    let discovery = Discovery::start();
    let proxy = Proxy::sidecar(PROGRAM, &[], &file(discovery.address, ""));
    assert!(discovery
        .next_request()
        .starts_with("GET /catalog/members HTTP/1.1"));
    discovery.respond(&list(1, true, &entries(&hosts, 0..HOSTS, "up")));
    assert!(
        discovery.next_request().contains("index=1"),
        "the list is applied when the next watch is sent"
    );
    let first = hosts_that_answer(&proxy, &hosts, 80);
    assert!((2..=12).contains(&first.len()), "of {HOSTS}: {first:?}");
    // All members drain at the same time.
    discovery.respond(&list(
        2,
        false,
        &entries(&hosts, first.iter().copied(), "draining"),
    ));
    assert!(discovery.next_request().contains("index=2"));
    let second = hosts_that_answer(&proxy, &hosts, 80);
    assert!(
        second.is_disjoint(&first) && second.len() >= 2,
        "{second:?} after {first:?}"
    );
    // They come back, and the proxy returns to its original subset.
    discovery.respond(&list(
        3,
        false,
        &entries(&hosts, first.iter().copied(), "up"),
    ));
    assert!(discovery.next_request().contains("index=3"));
    assert!(!hosts_that_answer(&proxy, &hosts, 80).is_disjoint(&first));
}

/// When members refuse connections, the subset grows, and calls are retried at the new members.
#[test]
fn a_subset_whose_members_all_fail_is_replaced_without_failed_calls() {
    let hosts: Vec<Host> = (0..HOSTS).map(|_| Host::serving("ok")).collect();
    let discovery = Discovery::start();
    let proxy = Proxy::sidecar(PROGRAM, &[], &file(discovery.address, "pause = \"10ms\""));
    discovery.next_request();
    discovery.respond(&list(1, true, &entries(&hosts, 0..HOSTS, "up")));
    discovery.next_request();
    let first = hosts_that_answer(&proxy, &hosts, 80);
    // The same names at addresses where nothing listens: as if the machines were gone.
    let unreachable: Vec<String> = first
        .iter()
        .map(|n| entry(&format!("s-{n}"), unused_address(), "up", 0))
        .collect();
    discovery.respond(&list(2, false, &unreachable));
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
