//! A proxy that moves to the control plane of another region must not use its copy of the old region's policy.

use badgerramp_config_tool::fleet::{ControlArgs, ControlClient, Outcome};
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

/// A region with one replica, which runs in a thread until this process ends.
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
        let control_address = ControlArgs {
            control: vec![self.address],
            secret: secret.to_owned(),
            timeout: EVENT_TIMEOUT.as_secs(),
        };
        let mut control = ControlClient::new(&control_address).expect("a secret");
        let files = HashMap::from([("caja".to_owned(), text)]);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let published = runtime.expect("a runtime").block_on(async {
            let revision = control.status().await.expect("a status").revision;
            control.publish(&files, revision, |_| {}).await
        });
        assert_eq!(
            (published.outcome, published.generation),
            (Outcome::InForce, Some(1)),
            "{}",
            published.reason
        );
    }
}

/// Returns the operator's file of a proxy with the control plane of `control` and the setting `policy.region`.
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

fn get_until_status(proxy: &Proxy, path: &str, status: &str) -> Message {
    let started = Instant::now();
    loop {
        let answer = proxy
            .client()
            .ask(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
        if answer.head.contains(status) {
            return answer;
        }
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "{path} stays {:?}",
            answer.head
        );
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_proxy_that_moves_to_another_region_uses_its_policy_and_not_the_copy_on_disk() {
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
    // Both regions have the same generation number, but different policies.
    norte.publish(&secret, file(path, &host, (&norte, "norte"), "/norte"));
    sur.publish(&secret, file(path, &host, (&sur, "sur"), "/sur"));
    let proxy = Proxy::sidecar(PROXY, &[], &file(path, &host, (&norte, norte.name), "/own"));
    get_until_status(&proxy, "/norte", "200");
    drop(proxy);
    assert!(
        path.join("state/caja.policy").exists(),
        "the proxy has saved its copy"
    );
    // With the address of one region and the name of the other the proxy gets no lease.
    let wrong_region = Proxy::sidecar(PROXY, &[], &file(path, &host, (&sur, norte.name), "/own"));
    wrong_region.wait_for_log(
        "policy.region of this proxy is \"norte\", but this control plane belongs to region \"sur\"",
    );
    get_until_status(&wrong_region, "/norte", "503");
    get_until_status(&wrong_region, "/sur", "503");
    drop(wrong_region);
    let moved = Proxy::sidecar(PROXY, &[], &file(path, &host, (&sur, sur.name), "/own"));
    get_until_status(&moved, "/sur", "200");
    get_until_status(&moved, "/norte", "404");
}
