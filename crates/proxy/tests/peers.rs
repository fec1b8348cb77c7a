//! The program with `[peers]`: a list that one proxy was told reaches all, strange datagrams do no harm, and what a
//! proxy knows is shown.
#![expect(
    clippy::too_many_lines,
    reason = "a test plays one course of events from its start to its end"
)]

use badgerramp_fault_injection::process::{Folder, Process, ProcessSpec};
use badgerramp_testkit::{ListEntry, ListService};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use tokio::sync::watch;

const PROXY: &str = env!("CARGO_BIN_EXE_badgerramp");
const LONG: Duration = Duration::from_secs(30);

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

fn peers(file: &Path, more: &[&str]) -> Output {
    Command::new(PROXY)
        .arg("peers")
        .arg(file)
        .args(more)
        .output()
        .expect("it runs")
}

/// What the proxy of this file tells, once it is as wanted.
fn told(
    file: &Path,
    at: SocketAddr,
    wanted: impl Fn(&serde_json::Value) -> bool,
) -> serde_json::Value {
    let began = Instant::now();
    loop {
        let output = peers(file, &["--json", "--at", &at.to_string()]);
        let value: Option<serde_json::Value> = serde_json::from_slice(&output.stdout).ok();
        match value {
            Some(value) if wanted(&value) => return value,
            other => assert!(
                began.elapsed() < LONG,
                "{other:?} {}",
                String::from_utf8_lossy(&output.stderr)
            ),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

async fn started(file: &Path) -> (Process, SocketAddr) {
    let arguments = vec!["run".to_owned(), file.display().to_string()];
    let (tells, mut hears) = watch::channel(None);
    let mut process = Process::unstarted(
        ProcessSpec {
            program: PROXY.into(),
            arguments,
            debug_filter: Vec::new(),
            environment: Vec::new(),
        },
        tells,
    );
    process.spawn().expect("it starts");
    process.listen_address().await.expect("it listens");
    let hearing = *hears.wait_for(Option::is_some).await.expect("it runs");
    (process, hearing.expect("an address"))
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::test]
async fn a_list_that_one_was_told_reaches_all_and_strange_datagrams_do_no_harm() {
    let folder = Folder::new("peers-all").expect("a folder");
    folder
        .write("secret", "a secret of the tests", true)
        .expect("a file");
    let catalog = ListService::start(vec![listed("a", "up"), listed("b", "up")]);
    // Ports of the system for those that are named beforehand; they are free again a moment later.
    let held: Vec<UdpSocket> = (0..2)
        .map(|_| UdpSocket::bind(any()).expect("a port"))
        .collect();
    let seeds: Vec<SocketAddr> = held
        .iter()
        .map(|s| s.local_addr().expect("its address"))
        .collect();
    drop(held);
    let mut all = Vec::new();
    for (place, listen) in [seeds[0], seeds[1], any(), any(), any()]
        .into_iter()
        .enumerate()
    {
        let file = file(
            &folder,
            &format!("p{place}.toml"),
            catalog.address,
            (listen, &seeds),
        );
        let (process, hearing) = started(&file).await;
        all.push((file, hearing, process));
    }
    let index = |value: &serde_json::Value| value["standing"]["list"][0]["index"].as_u64();
    for (file, at, _) in &all {
        let told = told(file, *at, |v| {
            index(v) == Some(1) && v["standing"]["alive"] == 5
        });
        assert_eq!(told["standing"]["hosts"], 2);
    }
    // Datagrams of nobody: none at all, some that are cut, too long, of another version, of another seal.
    let (file, at, _) = &all[2];
    let socket = UdpSocket::bind(any()).expect("a port");
    let strange = [
        vec![],
        vec![1],
        vec![1, 0, 7],
        vec![9; 60],
        vec![1; 1_400],
        [vec![1, 0], vec![5; 60]].concat(),
    ];
    for datagram in &strange {
        socket.send_to(datagram, at).expect("sent");
    }
    let count = |value: &serde_json::Value, what: &str| value["strangers"][what].as_u64();
    let after = told(file, *at, |v| {
        count(v, "form").unwrap_or(0) + count(v, "seal").unwrap_or(0) >= strange.len() as u64
    });
    assert!(count(&after, "seal") >= Some(1), "{after}");
    // A drain is heard by all, though few ask.
    catalog.set(listed("b", "draining"));
    for (file, at, _) in &all {
        let told = told(file, *at, |v| index(v) == Some(2));
        assert_eq!(told["standing"]["hosts"], 1);
    }
    // One that is killed is missed, and its place at the service is taken by another in time.
    let asks =
        |value: &serde_json::Value| value["standing"]["askers"].as_array().map_or(0, Vec::len);
    told(file, *at, |v| asks(v) == 3);
    all[0].2.kill().await;
    let (file, at, _) = &all[2];
    told(file, *at, |v| v["standing"]["alive"] == 4 && asks(v) >= 3);
    let text = peers(file, &["--at", &at.to_string()]);
    let text = String::from_utf8_lossy(&text.stdout).into_owned();
    for word in [
        "4 proxies",
        "list",
        "1 hosts take calls",
        "hears the service",
        "under another secret",
    ] {
        assert!(text.contains(word), "{text}");
    }
    for (file, at, process) in &mut all {
        if let Some(end) = process.exit_report().filter(|_| *at != seeds[0]) {
            panic!("{file:?} ended: {end}");
        }
    }
}

#[tokio::test]
async fn what_can_not_be_asked_is_said() {
    let folder = Folder::new("peers-bad").expect("a folder");
    folder
        .write("secret", "a secret of the tests", true)
        .expect("a file");
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let port_0 = file(&folder, "a.toml", nowhere, (any(), &[nowhere]));
    let silent = UdpSocket::bind(any()).expect("a port");
    let silent = silent.local_addr().expect("its address");
    let nobody = file(&folder, "b.toml", nowhere, (silent, &[nowhere]));
    let cases = [(&port_0, "port 0"), (&nobody, "127.0.0.1")];
    for (file, word) in cases {
        let output = peers(file, &[]);
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            output.status.code() == Some(1) && said.contains(word),
            "{said}"
        );
    }
    // A start without a secret that is fit, or on a port that is taken, is refused with the key.
    folder.write("secret", "short", true).expect("a file");
    let output = Command::new(PROXY)
        .arg("run")
        .arg(&nobody)
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && said.contains("peers.secret") && said.contains("found 5 bytes"),
        "{said}"
    );
    folder
        .write("secret", "a secret of the tests", true)
        .expect("a file");
    let taken = UdpSocket::bind(any()).expect("a port");
    let address = taken.local_addr().expect("its address");
    let file = file(&folder, "c.toml", nowhere, (address, &[nowhere]));
    let output = Command::new(PROXY)
        .arg("run")
        .arg(&file)
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && said.contains("peers.listen"),
        "{said}"
    );
}
