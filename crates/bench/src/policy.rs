//! A control-plane replica for the measured program, and the benchmark of the lease checks.

use crate::BenchError;
use badgerramp::net::admission_gate::AdmissionGate;
use badgerramp::net::rules::{Platform, Rules};
use badgerramp_config_tool::fleet::{ControlArgs, ControlClient, Outcome};
use badgerramp_control_plane::settings::Settings;
use badgerramp_control_plane::store::Store;
use badgerramp_control_protocol::clock;
use badgerramp_decisions::settings::{PlatformSettings, Transport};
use badgerramp_decisions::Settings as DecisionSettings;
use badgerramp_policy::{
    Generation, Identity, LeaseGrant, LeaseHolder, LeaseHolderConfig, Mode, OnLeaseLoss,
};
use hyper::header::HeaderMap;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A replica in a thread of this process. Its folder is removed on drop.
pub(crate) struct Control {
    address: SocketAddr,
    folder: PathBuf,
}

impl Control {
    /// Starts a replica with a new store.
    pub(crate) fn start() -> Result<Control, BenchError> {
        let folder =
            std::env::temp_dir().join(format!("badgerramp-bench-control-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        let secret = folder.join("secret");
        let mut file = std::fs::File::options()
            .write(true)
            .create_new(true)
            .mode(0o600)
            .open(&secret)?;
        file.write_all(b"a secret of the benchmark")?;
        Store::create(&folder.join("store"), 1)?;
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let settings = Settings {
            replica: 1,
            replicas: [(1, address)].into(),
            listen: address,
            store: folder.join("store"),
            secret: badgerramp_control_protocol::SharedSecret::read(&secret)?,
            lease_duration: Duration::from_secs(10),
            max_clock_drift: Duration::from_millis(21),
            change_timeout: Duration::from_secs(60),
            election_timeout: Duration::from_millis(500),
            regions: None,
        };
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let served = runtime.map_err(|e| e.to_string()).and_then(|r| {
                r.block_on(badgerramp_control_plane::server::run(
                    settings,
                    std::future::pending(),
                ))
                .map_err(|e| e.to_string())
            });
            if let Err(error) = served {
                eprintln!("control-plane replica failed: {error}");
            }
        });
        Ok(Control { address, folder })
    }

    /// The `[policy]` table of a proxy's configuration file.
    pub(crate) fn table(&self) -> String {
        let (address, secret) = (self.address, self.folder.join("secret"));
        format!(
            "[policy]\ncontrol = [\"{address}\"]\nsecret = \"{}\"\napplication = \"bench\"\n",
            secret.display()
        )
    }

    /// Publishes a policy, and waits until it is in force.
    pub(crate) async fn publish(&self, text: String) -> Result<(), BenchError> {
        let endpoint = ControlArgs {
            control: vec![self.address],
            secret: self.folder.join("secret"),
            timeout: 30,
        };
        let mut control = ControlClient::new(&endpoint)?;
        let revision = control.status().await?.revision;
        let files = HashMap::from([("bench".to_owned(), text)]);
        let completed = control.publish(&files, revision, |_| {}).await;
        match completed.outcome {
            Outcome::InForce => Ok(()),
            _ => Err(completed.reason.into()),
        }
    }
}

/// Measures and prints the time of the two lease checks of a call.
pub(crate) fn bench_gate() {
    const CALLS: u32 = 2_000_000;
    let identity = Identity {
        name: "bench".to_owned(),
        incarnation: 1,
    };
    let config = LeaseHolderConfig {
        on_lease_loss: OnLeaseLoss::Reject,
        request_timeout: 1,
        retry_delay: 1,
    };
    let mut holder = LeaseHolder::new(identity, config, [Generation(1)].into());
    let mode = Mode::stable(1, Generation(1));
    let request = holder.request(clock::now());
    holder.on_grant(
        clock::now(),
        LeaseGrant {
            sequence: request.sequence,
            mode,
            duration: 3_600_000_000,
        },
    );
    let gate = AdmissionGate::new(holder);
    let transport = Transport {
        max_open: 1,
        conn_idle: 1,
        connect_timeout: 1,
    };
    let (settings, classes, tenants) = (DecisionSettings::default(), Vec::new(), Vec::new());
    let platform_settings = PlatformSettings {
        settings,
        classes,
        tenants,
        transport,
    };
    let rules = Rc::new(Rules::Platform(Platform::new(&platform_settings, None)));
    gate.install(mode, Rc::clone(&rules), rules);
    let headers = HeaderMap::new();
    let mut admitted = 0_u32;
    let started_at = Instant::now();
    for _ in 0..CALLS {
        if let Ok((rules, stamp)) = gate.admit() {
            std::hint::black_box(&rules);
            admitted += u32::from(gate.confirm(stamp, &headers));
        }
    }
    let ns_per_call = started_at.elapsed().as_nanos() as f64 / f64::from(CALLS);
    println!("{admitted} calls begun, {ns_per_call:.0} ns each for both looks at the lease");
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
