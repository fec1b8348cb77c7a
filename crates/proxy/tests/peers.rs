//! The program with `[peers]`: gossip of the endpoint list, invalid datagrams, and the `peers` command.
#![expect(clippy::too_many_lines, reason = "a test is one sequence of events")]

use badgerramp_fault_injection::process::{Folder, Process, ProcessSpec};
use badgerramp_testkit::{ListEntry, ListService};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use tokio::sync::watch;

const PROXY: &str = env!("CARGO_BIN_EXE_badgerramp");
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

fn listed(name: &str, status: &'static str) -> ListEntry {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    ListEntry {
        name: name.to_owned(),
        address,
        zone: "z".to_owned(),
        group: 1,
        status,
        since_ms: 0,
    }
}

fn file(
    folder: &Folder,
    name: &str,
    discovery: SocketAddr,
    (listen, seeds): (SocketAddr, &[SocketAddr]),
) -> PathBuf {
    let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
    let text = format!(
        "listen = \"127.0.0.1:0\"\n[upstream]\ndiscovery = \"{discovery}\"\n[class.entry]\naim = \"500ms\"\n\
         deadline = \"1s\"\neffect = \"safe\"\n[[route]]\nname = \"entry\"\nprefix = \"/entry\"\nclass = \"entry\"\n\
         [peers]\nlisten = \"{listen}\"\nseeds = [{}]\nsecret = \"{}\"\nfleet = \"test\"\n",
        seeds.join(", "),
        folder.path().join("secret").display()
    );
    folder.write(name, &text, false).expect("a file")
}

fn peers(file: &Path, arguments: &[&str]) -> Output {
    Command::new(PROXY)
        .arg("peers")
        .arg(file)
        .args(arguments)
        .output()
        .expect("it runs")
}

/// Queries the proxy of this file until its report is as expected.
fn query_until(
    file: &Path,
    address: SocketAddr,
    is_expected: impl Fn(&serde_json::Value) -> bool,
) -> serde_json::Value {
    let started_at = Instant::now();
    loop {
        let output = peers(file, &["--json", "--at", &address.to_string()]);
        let value: Option<serde_json::Value> = serde_json::from_slice(&output.stdout).ok();
        match value {
            Some(value) if is_expected(&value) => return value,
            other => assert!(
                started_at.elapsed() < EVENT_TIMEOUT,
                "{other:?} {}",
                String::from_utf8_lossy(&output.stderr)
            ),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

async fn start_proxy(file: &Path) -> (Process, SocketAddr) {
    let arguments = vec!["run".to_owned(), file.display().to_string()];
    let (gossip_address_sender, mut gossip_address_receiver) = watch::channel(None);
    let mut process = Process::unstarted(
        ProcessSpec {
            program: PROXY.into(),
            arguments,
            debug_filter: Vec::new(),
            environment: Vec::new(),
        },
        gossip_address_sender,
    );
    process.spawn().expect("it starts");
    process.listen_address().await.expect("it listens");
    let gossip_address = *gossip_address_receiver
        .wait_for(Option::is_some)
        .await
        .expect("it runs");
    (process, gossip_address.expect("an address"))
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::test]
async fn a_list_received_by_one_proxy_reaches_all_and_invalid_datagrams_do_no_harm() {
    let folder = Folder::new("peers-all").expect("a folder");
    folder
        .write("secret", "a secret of the tests", true)
        .expect("a file");
    let catalog = ListService::start(vec![listed("a", "up"), listed("b", "up")]);
    // The seeds need known ports: the system picks free ones, which are released before the proxies start.
    let reserved: Vec<UdpSocket> = (0..2)
        .map(|_| UdpSocket::bind(any_port()).expect("a port"))
        .collect();
    let seeds: Vec<SocketAddr> = reserved
        .iter()
        .map(|s| s.local_addr().expect("its address"))
        .collect();
    drop(reserved);
    let mut proxies = Vec::new();
    for (number, listen) in [seeds[0], seeds[1], any_port(), any_port(), any_port()]
        .into_iter()
        .enumerate()
    {
        let file = file(
            &folder,
            &format!("p{number}.toml"),
            catalog.address,
            (listen, &seeds),
        );
        let (process, gossip_address) = start_proxy(&file).await;
        proxies.push((file, gossip_address, process));
    }
    let index = |value: &serde_json::Value| value["standing"]["list"][0]["index"].as_u64();
    for (file, address, _) in &proxies {
        let report = query_until(file, *address, |v| {
            index(v) == Some(1) && v["standing"]["alive"] == 5
        });
        assert_eq!(report["standing"]["hosts"], 2);
    }
    // Invalid datagrams: empty, truncated, too long, of another version, and with a wrong MAC.
    let (file, address, _) = &proxies[2];
    let socket = UdpSocket::bind(any_port()).expect("a port");
    let invalid = [
        vec![],
        vec![1],
        vec![1, 0, 7],
        vec![9; 60],
        vec![1; 1_400],
        [vec![1, 0], vec![5; 60]].concat(),
    ];
    for datagram in &invalid {
        socket.send_to(datagram, address).expect("sent");
    }
    let count = |value: &serde_json::Value, what: &str| value["strangers"][what].as_u64();
    let after = query_until(file, *address, |v| {
        count(v, "form").unwrap_or(0) + count(v, "seal").unwrap_or(0) >= invalid.len() as u64
    });
    assert!(count(&after, "seal") >= Some(1), "{after}");
    // A draining host becomes known to all proxies, though only some of them poll.
    catalog.set(listed("b", "draining"));
    for (file, address, _) in &proxies {
        let report = query_until(file, *address, |v| index(v) == Some(2));
        assert_eq!(report["standing"]["hosts"], 1);
    }
    // A killed proxy is detected, and another proxy takes over its polls.
    let pollers =
        |value: &serde_json::Value| value["standing"]["askers"].as_array().map_or(0, Vec::len);
    query_until(file, *address, |v| pollers(v) == 3);
    proxies[0].2.kill().await;
    let (file, address, _) = &proxies[2];
    query_until(file, *address, |v| {
        v["standing"]["alive"] == 4 && pollers(v) >= 3
    });
    let text = peers(file, &["--at", &address.to_string()]);
    let text = String::from_utf8_lossy(&text.stdout).into_owned();
    for text_part in [
        "4 proxies",
        "list",
        "1 endpoints take calls",
        "last poll succeeded",
        "under another secret",
    ] {
        assert!(text.contains(text_part), "{text}");
    }
    for (file, address, process) in &mut proxies {
        if let Some(end) = process.exit_report().filter(|_| *address != seeds[0]) {
            panic!("{file:?} ended: {end}");
        }
    }
}

#[tokio::test]
async fn a_failed_query_or_start_reports_its_cause() {
    let folder = Folder::new("peers-bad").expect("a folder");
    folder
        .write("secret", "a secret of the tests", true)
        .expect("a file");
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    let port_0 = file(&folder, "a.toml", unused, (any_port(), &[unused]));
    let unused_udp = UdpSocket::bind(any_port()).expect("a port");
    let unused_udp = unused_udp.local_addr().expect("its address");
    let no_answer = file(&folder, "b.toml", unused, (unused_udp, &[unused]));
    let cases = [(&port_0, "port 0"), (&no_answer, "127.0.0.1")];
    for (file, text_part) in cases {
        let output = peers(file, &[]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            output.status.code() == Some(1) && stderr.contains(text_part),
            "{stderr}"
        );
    }
    // A start with an invalid secret, or on a port in use, fails with an error that names the key.
    folder.write("secret", "short", true).expect("a file");
    let output = Command::new(PROXY)
        .arg("run")
        .arg(&no_answer)
        .output()
        .expect("it runs");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success()
            && stderr.contains("peers.secret")
            && stderr.contains("found 5 bytes"),
        "{stderr}"
    );
    folder
        .write("secret", "a secret of the tests", true)
        .expect("a file");
    let taken = UdpSocket::bind(any_port()).expect("a port");
    let address = taken.local_addr().expect("its address");
    let file = file(&folder, "c.toml", unused, (address, &[unused]));
    let output = Command::new(PROXY)
        .arg("run")
        .arg(&file)
        .output()
        .expect("it runs");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && stderr.contains("peers.listen"),
        "{stderr}"
    );
}
