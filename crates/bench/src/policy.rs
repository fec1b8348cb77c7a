//! A replica of control beside the measured program.

use crate::Fault;
use badgerramp_config_tool::fleet::{At, Control as Asked, Outcome};
use badgerramp_control::settings::Settings;
use badgerramp_control::store::Store;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::time::Duration;

/// A replica in threads of this process; its folder goes with it.
pub struct Control {
    address: SocketAddr,
    folder: PathBuf,
}

impl Control {
    /// Starts one.
    pub fn start() -> Result<Control, Fault> {
        let folder = std::env::temp_dir().join(format!("badgerramp-bench-control-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        let secret = folder.join("secret");
        let mut file = std::fs::File::options().write(true).create_new(true).mode(0o600).open(&secret)?;
        file.write_all(b"a secret of the benchmark")?;
        Store::create(&folder.join("store"), 1)?;
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let settings = Settings {
            replica: 1,
            replicas: [(1, address)].into(),
            listen: address,
            store: folder.join("store"),
            secret: badgerramp_channel::Secret::read(&secret)?,
            lease: Duration::from_secs(10),
            drift: Duration::from_millis(21),
            wait: Duration::from_secs(60),
            election: Duration::from_millis(500),
        };
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let served = runtime
                .map_err(|e| e.to_string())
                .and_then(|r| r.block_on(badgerramp_control::serve::run(settings, std::future::pending())));
            if let Err(fault) = served {
                eprintln!("control: {fault}");
            }
        });
        Ok(Control { address, folder })
    }

    /// What a proxy's file says of it.
    pub fn table(&self) -> String {
        let (address, secret) = (self.address, self.folder.join("secret"));
        format!(
            "[policy]\ncontrol = [\"{address}\"]\nsecret = \"{}\"\napplication = \"bench\"\n",
            secret.display()
        )
    }

    /// Brings a policy into force.
    pub async fn publish(&self, text: String) -> Result<(), Fault> {
        let at = At { control: vec![self.address], secret: self.folder.join("secret"), timeout: 30 };
        let mut control = Asked::new(&at)?;
        let revision = control.standing().await?.revision;
        let files = HashMap::from([("bench".to_owned(), text)]);
        let done = control.publish(&files, revision, |_| {}).await;
        match done.outcome {
            Outcome::InForce => Ok(()),
            _ => Err(done.why.into()),
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
