//! Sidecars with the files that the configuration tool writes: each starts on loopback and serves its own classes only.
#![expect(clippy::too_many_lines, reason = "a test is one sequence of events")]

use badgerramp_config_tool::commands::generate;
use badgerramp_testkit::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");
const APPS: &str = include_str!("../../../examples/cordillera/apps.toml");
const CLASSES: &str = include_str!("../../../examples/cordillera/shared/classes.toml");

#[test]
fn the_sidecars_of_five_applications_serve_their_classes() {
    let hosts: Vec<Host> = (0..6).map(|_| Host::serving("served")).collect();
    // Replace the addresses of the hosts, and let the system pick the ports of the proxies.
    let mut apps = APPS.to_owned();
    for (n, host) in hosts.iter().enumerate() {
        apps = apps.replace(
            &format!("127.0.0.1:900{}", n + 1),
            &host.address.to_string(),
        );
    }
    for n in 1..=5 {
        apps = apps.replace(&format!("127.0.0.1:808{n}"), "127.0.0.1:0");
    }
    let directory =
        std::env::temp_dir().join(format!("badgerramp-applications-{}", std::process::id()));
    std::fs::create_dir_all(directory.join("shared")).expect("a folder");
    std::fs::write(directory.join("apps.toml"), apps).expect("a file");
    std::fs::write(directory.join("shared/classes.toml"), CLASSES).expect("a file");
    let written =
        generate(&directory.join("apps.toml")).unwrap_or_else(|r| panic!("{}", r.human()));
    let _ = std::fs::remove_dir_all(&directory);
    let cases = [
        (
            "kiosko.toml",
            &[("POST", "/registro-entrada/7")][..],
            ("POST", "/cobro-mensual"),
        ),
        (
            "tableta.toml",
            &[
                ("POST", "/registro-entrada"),
                ("POST", "/cobro-mensual"),
                ("GET", "/socios/7"),
            ],
            ("POST", "/socios"),
        ),
        (
            "torniquete.toml",
            &[("POST", "/registro-entrada/salida")],
            ("POST", "/registro-entrada"),
        ),
        (
            "lote-cuotas.toml",
            &[("POST", "/cobro-mensual/12"), ("GET", "/socios")],
            ("POST", "/registro-entrada"),
        ),
        (
            "oficina.toml",
            &[
                ("POST", "/cobro-mensual/correccion"),
                ("GET", "/cobro-mensual"),
                ("PUT", "/socios"),
            ],
            ("POST", "/cobro-mensual"),
        ),
    ];
    let proxies: Vec<Proxy> = cases
        .iter()
        .map(|(name, ..)| {
            let text = &written
                .files
                .iter()
                .find(|f| f.0 == *name)
                .expect("its file")
                .1;
            Proxy::sidecar(PROGRAM, &[], text)
        })
        .collect();
    for ((name, sent, not_sent), proxy) in cases.iter().zip(&proxies) {
        let mut client = proxy.client();
        let mut send = |(method, path): (&str, &str)| {
            client.ask(&format!(
                "{method} {path} HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody"
            ))
        };
        for &request in *sent {
            assert_eq!(send(request).body, b"served", "{name}: {request:?}");
        }
        assert_eq!(
            send(*not_sent).status(),
            404,
            "{name}: {not_sent:?} has no route here"
        );
    }
}
