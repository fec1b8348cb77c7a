//! A proxy that moves to the control of another region: its copy of the policy is no copy of the one there.

use badgerramp_config_tool::fleet::{At, Control, Outcome};
use badgerramp_control_plane::settings::Settings;
use badgerramp_control_plane::store::Store;
use badgerramp_control_protocol::SharedSecret;
use badgerramp_fault_injection::process::Folder;
use badgerramp_testkit::{Host, Message, Proxy, EVENT_TIMEOUT};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const PROXY: &str = env!("CARGO_BIN_EXE_badgerramp");

/// A region with a replica in a thread of this process, which ends with it.
struct Region {
    name: &'static str,
    address: SocketAddr,
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a port")
}

impl Region {
    fn start(folder: &Path, name: &'static str, other: &str) -> Region {
        let address = free_address();
        let text = format!(
            "replica = 1\nreplicas = {{ 1 = \"{address}\" }}\nstore = \"store-{name}\"\nsecret = \"secret\"\n\
             lease_ms = 500\nelection_ms = 200\nregion = \"{name}\"\n[regions.{other}]\nreplicas = [\"{}\"]\n",
            free_address()
        );
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, text).expect("a file");
        let settings = Settings::load(&file).expect("good");
        Store::create(&settings.store, 1).expect("a store");
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .enable_all()
                .build();
            let served = badgerramp_control_plane::server::run(settings, std::future::pending());
            runtime.expect("a runtime").block_on(served)
        });
        Region { name, address }
    }

    fn publish(&self, secret: &Path, text: String) {
        let at = At {
            control: vec![self.address],
            secret: secret.to_owned(),
            timeout: EVENT_TIMEOUT.as_secs(),
        };
        let mut control = Control::new(&at).expect("a secret");
        let files = HashMap::from([("caja".to_owned(), text)]);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let done = runtime.expect("a runtime").block_on(async {
            let revision = control.standing().await.expect("a status").revision;
            control.publish(&files, revision, |_| {}).await
        });
        assert_eq!(
            (done.outcome, done.generation),
            (Outcome::InForce, Some(1)),
            "{}",
            done.why
        );
    }
}

/// The file of the proxy, with the control of a region and the region that it takes it for.
fn file(folder: &Path, host: &Host, (control, region): (&Region, &str), path: &str) -> String {
    let (folder, control) = (folder.display(), control.address);
    format!(
        "listen = \"127.0.0.1:0\"\n[upstream]\nendpoints = [{{ address = \"{}\" }}]\n\
         [class.entry]\naim = \"500ms\"\ndeadline = \"1s\"\neffect = \"unsafe\"\n\
         [policy]\ncontrol = [\"{control}\"]\nsecret = \"{folder}/secret\"\napplication = \"caja\"\n\
         region = \"{region}\"\nstate = \"{folder}/state\"\n\
         [[route]]\nname = \"entries\"\npath = \"{path}\"\nclass = \"entry\"\n",
        host.address
    )
}

fn becomes(proxy: &Proxy, path: &str, status: &str) -> Message {
    let began = Instant::now();
    loop {
        let answer = proxy
            .client()
            .ask(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
        if answer.head.contains(status) {
            return answer;
        }
        assert!(
            began.elapsed() < EVENT_TIMEOUT,
            "{path} stays {:?}",
            answer.head
        );
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_proxy_that_moves_takes_the_policy_of_its_new_region_and_not_its_copy() {
    let folder = Folder::new("proxy-regions").expect("a folder");
    let secret = folder
        .write("secret", "a secret of the tests", true)
        .expect("a file");
    SharedSecret::read(&secret).expect("a secret");
    let (path, host) = (folder.path(), Host::serving("ok"));
    let (norte, sur) = (
        Region::start(path, "norte", "sur"),
        Region::start(path, "sur", "norte"),
    );
    // The same generation of each, and another policy.
    norte.publish(&secret, file(path, &host, (&norte, "norte"), "/norte"));
    sur.publish(&secret, file(path, &host, (&sur, "sur"), "/sur"));
    let proxy = Proxy::sidecar(PROXY, &[], &file(path, &host, (&norte, norte.name), "/own"));
    becomes(&proxy, "/norte", "200");
    drop(proxy);
    assert!(
        path.join("state/caja.policy").exists(),
        "it takes its copy along"
    );
    // With the address of the one region and the name of the other it gets no lease.
    let strayed = Proxy::sidecar(PROXY, &[], &file(path, &host, (&sur, norte.name), "/own"));
    strayed.wait_for_log(
        "policy.region of this proxy is \"norte\", and the control that it asks is of region \"sur\"",
    );
    becomes(&strayed, "/norte", "503");
    becomes(&strayed, "/sur", "503");
    drop(strayed);
    let moved = Proxy::sidecar(PROXY, &[], &file(path, &host, (&sur, sur.name), "/own"));
    becomes(&moved, "/sur", "200");
    becomes(&moved, "/norte", "404");
}
