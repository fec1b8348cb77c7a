//! Shutdowns of the program as a process: when requests that are received slowly are refused.

use badgerramp_testkit::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");

/// Beginnings of a request: half a head, and a head with half a body.
const BEGINNINGS: [&str; 2] = [
    "POST /unsafe HTTP/1.1\r\nHost: gym.example\r\nX-Req",
    "POST /unsafe HTTP/1.1\r\nHost: gym.example\r\nX-Request-ID: half\r\nX-Timeout: 300m\r\nContent-Length: 4\r\n\r\nbo",
];

/// Sends the beginnings and these signals, and returns the statuses of the answers. A request that is never complete gets
/// 408 after the time limit for receiving it (2.3 s), or 503 if the answers of the shutdown are due before that.
fn refusals(proxy: &mut Proxy, signals: &[&str]) -> Vec<u16> {
    let mut clients = BEGINNINGS.map(|beginning| {
        let mut client = proxy.client();
        client.write(beginning);
        client
    });
    signals.iter().for_each(|signal| proxy.signal(signal));
    let statuses = clients.iter_mut().map(|client| {
        let answer = client.answer();
        answer.expect("a final answer").status()
    });
    let statuses = statuses.collect();
    assert!(proxy.exits_successfully(), "it exits 0: {signals:?}");
    statuses
}

/// A configuration of the platform whose longest deadline is this one, in microseconds.
fn platform_config(address: &str, discovery: &Discovery, longest_deadline: &str) -> String {
    let listen = address.parse().expect("an address");
    let deadline = format!("\"deadline_us\":{longest_deadline}");
    config(listen, discovery.address, 1_024, &[]).replace("\"deadline_us\":3000000", &deadline)
}

/// The time until the kill follows from the newest settings. A reload on the platform did not read them, so that a process
/// was killed before it refused what it could no longer answer.
#[test]
fn a_reload_on_the_platform_sets_the_longest_deadline_of_a_shutdown() {
    for signals in [&["-TERM"][..], &["-TERM", "-TERM"]] {
        let (discovery, other) = (Discovery::start(), Discovery::start());
        let first = platform_config("127.0.0.1:0", &discovery, "3000000");
        let mut proxy = Proxy::with_config(PROGRAM, &first);
        let address = proxy.address.to_string();
        proxy.reload(&platform_config(&address, &other, "400000"));
        // It asks the other list service once it has read the file.
        other.next_request();
        assert_eq!(refusals(&mut proxy, signals), [503, 503], "{signals:?}");
    }
}

/// The file of a sidecar with one class of this deadline.
fn sidecar_file(deadline: &str) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\n[upstream]\nendpoints = [{{ name = \"s-1\", address = \"{}\" }}]\n\
         [class.unsafe]\naim = \"{deadline}\"\ndeadline = \"{deadline}\"\neffect = \"unsafe\"\n\
         [[route]]\nname = \"unsafe\"\nprefix = \"/unsafe\"\nclass = \"unsafe\"\n",
        unused_address()
    )
}

#[test]
fn a_reload_of_a_sidecar_sets_the_longest_deadline_of_a_shutdown() {
    for (first, newest, expected) in [("3s", "400ms", 503), ("400ms", "3s", 408)] {
        let file = sidecar_file(first);
        let mut proxy = Proxy::sidecar(PROGRAM, &[], &file);
        proxy.reload(&file.replace(first, newest));
        proxy.wait_for_log("the new configuration holds");
        assert_eq!(refusals(&mut proxy, &["-TERM"]), [expected; 2]);
    }
}
