//! The processes of a fleet, which can be started, terminated, killed and restarted.

use super::files::{ControlTimes, ProxyFile, ReplicaFile};
use super::hollow::{HollowProcess, Line, Order};
use super::layout::Size;
use super::network::{Group, Network};
use super::Programs;
use crate::clients::Addresses;
use crate::hosts::Hosts;
use crate::now;
use crate::process::{Folder, Process, ProcessSpec};
use badgerramp_config_tool::fleet::{ControlArgs, ControlClient};
use badgerramp_policy::Micros;
use rustix::process::Signal;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;
use tokio::sync::{watch, Mutex as AsyncMutex};
use tokio::time::Instant;

/// Timeout for a state that the fleet has to reach.
pub const STATE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of hollow proxies in one process.
const MAX_HOLLOW_PER_PROCESS: usize = 150;
/// Pause between the starts of two proxies, so that they do not all start at once.
const START_INTERVAL: Duration = Duration::from_millis(4);
/// Number of seed proxies, at which the others join the gossip.
const SEED_PROXIES: usize = 3;
/// Share of answers that hosts lose. None are lost, because this test covers only the control plane.
const ANSWER_LOSS: f64 = 0.0;
/// An address at which no process listens.
const UNUSED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// A time in which a proxy was down because the test stopped it.
#[derive(Clone, Copy, Debug)]
pub struct Downtime {
    /// Index of the proxy.
    pub proxy: usize,
    /// When the proxy was stopped.
    pub from: Micros,
    /// When the proxy was restarted, if it was.
    pub until: Option<Micros>,
}

/// A running fleet.
pub struct Fleet {
    /// The size of the fleet.
    pub size: Size,
    /// The folder with all files of the fleet.
    pub folder: Folder,
    /// The hosts behind the proxies.
    pub hosts: Hosts,
    /// The links between the processes.
    pub network: Network,
    /// Proxies that are separate processes.
    pub real: Vec<AsyncMutex<Process>>,
    /// Processes that run hollow proxies.
    pub hollow: Vec<AsyncMutex<HollowProcess>>,
    /// A process without hollow proxies, to measure the memory of the process itself.
    pub empty: HollowProcess,
    /// Replicas of the control plane.
    pub replicas: Vec<AsyncMutex<Process>>,
    replica_addresses: Vec<watch::Sender<Option<SocketAddr>>>,
    /// The list service.
    pub list: Process,
    /// The addresses at which the real proxies accept calls.
    pub addresses: Addresses,
    downtimes: Mutex<Vec<Downtime>>,
}

/// The name of the proxy with this index.
pub fn proxy_name(proxy: usize) -> String {
    format!("p{proxy}")
}

/// The index of the proxy with this name.
pub fn proxy_index(name: &str) -> Option<usize> {
    name.strip_prefix('p')?.parse().ok()
}

fn process_spec(
    (program, leading_arguments): &(PathBuf, Vec<String>),
    arguments: &[String],
) -> ProcessSpec {
    let arguments = leading_arguments.iter().chain(arguments).cloned().collect();
    ProcessSpec {
        program: program.clone(),
        arguments,
        debug_filter: vec!["badgerramp::begun"],
        environment: Vec::new(),
    }
}

impl Fleet {
    /// Starts the control plane and the list service, and prepares the proxies, which [`Fleet::start_proxies`] starts.
    ///
    /// # Errors
    /// If a process does not start.
    pub async fn start(
        programs: &Programs,
        size: Size,
        times: ControlTimes,
        seed: u64,
    ) -> Result<Fleet, String> {
        let folder = Folder::new(&format!("scale-{}-{seed:x}", size.proxies))?;
        let secret = folder.write(
            "secret",
            &format!("a secret of the trial {seed:016x}"),
            true,
        )?;
        let hosts = Hosts::start(size.proxies, ANSWER_LOSS, &[], seed).await?;
        let list = start_list_service(programs, &folder, &hosts.addresses).await?;
        let (_, list_at) = watch::channel(Some(list.1));
        let count = size.replica_locations().len();
        let (replica_addresses, replica_targets): (Vec<_>, Vec<_>) =
            (0..count).map(|_| watch::channel(None)).unzip();
        let (datagram_senders, datagram_targets): (Vec<_>, Vec<_>) =
            (0..size.proxies).map(|_| watch::channel(None)).unzip();
        let network =
            Network::new(&size, &replica_targets, list_at, datagram_targets, seed).await?;
        write_proxy_files(&folder, &size, &network, &secret)?;
        let mut datagram_senders: HashMap<usize, watch::Sender<Option<SocketAddr>>> =
            datagram_senders.into_iter().enumerate().collect();
        let mut real = Vec::new();
        for proxy in 0..size.real {
            let file = folder
                .path()
                .join(format!("{}.toml", proxy_name(proxy)))
                .display()
                .to_string();
            let datagram_sender = datagram_senders
                .remove(&proxy)
                .ok_or("no datagram link exists for the proxy")?;
            let process_spec = process_spec(&programs.proxy, &["run".to_owned(), file]);
            real.push(AsyncMutex::new(Process::unstarted(
                process_spec,
                datagram_sender,
            )));
        }
        let mut hollow = Vec::new();
        let hollow_proxies: Vec<usize> = (size.real..size.proxies).collect();
        for chunk in hollow_proxies.chunks(MAX_HOLLOW_PER_PROCESS) {
            let datagram_sender = chunk
                .iter()
                .filter_map(|proxy| Some((proxy_name(*proxy), datagram_senders.remove(proxy)?)))
                .collect();
            hollow.push(AsyncMutex::new(HollowProcess::start(
                &programs.hollow,
                folder.path(),
                datagram_sender,
            )?));
        }
        let empty = HollowProcess::start(&programs.hollow, folder.path(), HashMap::new())?;
        let replicas = prepare_replicas(programs, &folder, (&size, &network), times).await?;
        let fleet = Fleet {
            addresses: Arc::new(RwLock::new(vec![UNUSED_ADDRESS; size.real])),
            size,
            folder,
            hosts,
            network,
            real,
            hollow,
            empty,
            replicas,
            replica_addresses,
            list: list.0,
            downtimes: Mutex::default(),
        };
        for replica in 0..count {
            fleet.start_replica(replica).await?;
        }
        Ok(fleet)
    }

    /// Starts all proxies, with a short pause between two starts.
    ///
    /// # Errors
    /// If a proxy does not start.
    pub async fn start_proxies(&self) -> Result<(), String> {
        for proxy in 0..self.size.proxies {
            self.order(proxy, Order::Start).await?;
            tokio::time::sleep(START_INTERVAL).await;
        }
        Ok(())
    }

    async fn order(&self, proxy: usize, order: fn(String) -> Order) -> Result<(), String> {
        if self.size.is_real(proxy) {
            return self.order_real(proxy, &order(String::new())).await;
        }
        let process = &self.hollow[(proxy - self.size.real) / MAX_HOLLOW_PER_PROCESS];
        match order(proxy_name(proxy)) {
            Order::End(name) => process.lock().await.terminate_proxy(name).await,
            order => process.lock().await.send_order(&order).await,
        }
    }

    async fn order_real(&self, proxy: usize, order: &Order) -> Result<(), String> {
        let mut process = self.real[proxy].lock().await;
        let address = match order {
            Order::Start(_) => {
                process.spawn()?;
                process.listen_address().await?
            }
            _ => UNUSED_ADDRESS,
        };
        // Another process may reuse the port of a stopped proxy at once, so clients must not call it any more.
        self.addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner)[proxy] = address;
        match order {
            Order::End(_) => process.terminate().await,
            Order::Kill(_) => {
                process.kill().await;
                Ok(())
            }
            Order::Start(_) | Order::ReportAdmissions => Ok(()),
        }
    }

    fn lock_downtimes(&self) -> std::sync::MutexGuard<'_, Vec<Downtime>> {
        self.downtimes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The times in which proxies were down because the test stopped them.
    pub fn downtimes(&self) -> Vec<Downtime> {
        self.lock_downtimes().clone()
    }

    /// Terminates a proxy gracefully, as SIGTERM does.
    ///
    /// # Errors
    /// If the proxy can't be stopped.
    pub async fn terminate_proxy(&self, proxy: usize) -> Result<(), String> {
        self.lock_downtimes().push(Downtime {
            proxy,
            from: now(),
            until: None,
        });
        self.order(proxy, Order::End).await
    }

    /// Kills a proxy, as SIGKILL does.
    ///
    /// # Errors
    /// If the proxy can't be stopped.
    pub async fn kill_proxy(&self, proxy: usize) -> Result<(), String> {
        self.lock_downtimes().push(Downtime {
            proxy,
            from: now(),
            until: None,
        });
        self.order(proxy, Order::Kill).await
    }

    /// Restarts a proxy that was terminated or killed.
    ///
    /// # Errors
    /// If the process does not start.
    pub async fn restart_proxy(&self, proxy: usize) -> Result<(), String> {
        let started = now();
        self.order(proxy, Order::Start).await?;
        let mut downtimes = self.lock_downtimes();
        if let Some(downtime) = downtimes
            .iter_mut()
            .rev()
            .find(|downtime| downtime.proxy == proxy)
        {
            downtime.until = Some(started);
        }
        Ok(())
    }

    /// Starts or restarts a replica.
    ///
    /// # Errors
    /// If the process does not start.
    pub async fn start_replica(&self, replica: usize) -> Result<(), String> {
        let mut process = self.replicas[replica].lock().await;
        process.spawn()?;
        let address = process.listen_address().await?;
        self.replica_addresses[replica].send_replace(Some(address));
        Ok(())
    }

    /// Kills a replica.
    pub async fn kill_replica(&self, replica: usize) {
        let mut process = self.replicas[replica].lock().await;
        process.signal(Signal::KILL);
        process.kill().await;
        self.replica_addresses[replica].send_replace(None);
    }

    /// A publisher's client of the control plane of a region.
    ///
    /// # Errors
    /// If the secret can't be read.
    pub fn control_client(&self, region: usize) -> Result<ControlClient, String> {
        ControlClient::new(&ControlArgs {
            control: self.network.publisher_addresses(region),
            secret: self.folder.path().join("secret"),
            timeout: STATE_TIMEOUT.as_secs(),
        })
    }

    /// Waits until all running proxies act under the revision in force in their region. Returns the index of the replica that
    /// leads the first region.
    ///
    /// # Errors
    /// If this takes longer than [`STATE_TIMEOUT`].
    pub async fn wait_until_settled(&self) -> Result<Option<usize>, String> {
        let deadline = Instant::now() + STATE_TIMEOUT;
        let mut leader = None;
        for region in (0..self.size.regions).rev() {
            leader = self.wait_until_region_settled(region, deadline).await?;
        }
        Ok(leader)
    }

    async fn wait_until_region_settled(
        &self,
        region: usize,
        deadline: Instant,
    ) -> Result<Option<usize>, String> {
        let stopped: HashSet<usize> = self
            .downtimes()
            .iter()
            .filter(|downtime| downtime.until.is_none())
            .map(|downtime| downtime.proxy)
            .collect();
        let proxies = self
            .size
            .proxies_of(region)
            .into_iter()
            .filter(|proxy| !stopped.contains(proxy))
            .count();
        let mut control = self.control_client(region)?;
        loop {
            let standing = control.status().await.map_err(|e| e.to_string())?;
            let current = standing
                .proxies
                .iter()
                .filter(|p| p.active_revision == standing.revision)
                .count();
            if current >= proxies && standing.pending_generation.is_none() {
                let replicas = 0..self.replicas.len();
                return Ok(replicas.into_iter().find(|&replica| {
                    self.network.replica_address(replica).to_string() == standing.leader
                }));
            }
            if Instant::now() >= deadline {
                return Err(format!(
                    "only {current} of {proxies} proxies act under the revision in force"
                ));
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// The log lines of a proxy.
    pub async fn log(&self, proxy: usize) -> Vec<Line> {
        if self.size.is_real(proxy) {
            return self.real[proxy].lock().await.log();
        }
        self.hollow[(proxy - self.size.real) / MAX_HOLLOW_PER_PROCESS]
            .lock()
            .await
            .log(&proxy_name(proxy))
    }

    /// Stops all running processes: first the proxies, then the replicas and the list service.
    ///
    /// # Errors
    /// If a process that runs hollow proxies does not end.
    pub async fn stop(&mut self) -> Result<(), String> {
        for proxy in &self.real {
            proxy.lock().await.kill().await;
        }
        for process in &self.hollow {
            process.lock().await.terminate().await?;
        }
        self.empty.terminate().await?;
        for replica in &self.replicas {
            replica.lock().await.kill().await;
        }
        self.list.kill().await;
        Ok(())
    }
}

async fn start_list_service(
    programs: &Programs,
    folder: &Folder,
    hosts: &[SocketAddr],
) -> Result<(Process, SocketAddr), String> {
    let text: Vec<String> = hosts.iter().map(SocketAddr::to_string).collect();
    let file = folder
        .write("hosts", &text.join("\n"), false)?
        .display()
        .to_string();
    let mut process = Process::start(process_spec(&programs.list, &[file])).await?;
    let address = process.listen_address().await?;
    Ok((process, address))
}

fn write_proxy_files(
    folder: &Folder,
    size: &Size,
    network: &Network,
    secret: &std::path::Path,
) -> Result<(), String> {
    let seeds: Vec<SocketAddr> = (0..SEED_PROXIES.min(size.proxies))
        .map(|p| network.advertised_address(p))
        .collect();
    for proxy in 0..size.proxies {
        let location = size.proxy(proxy);
        let group = Group {
            real: size.is_real(proxy),
            region: location.region,
        };
        let file = ProxyFile {
            name: &proxy_name(proxy),
            zone: location.zone,
            region: (size.regions > 1).then_some(location.region),
            proxies: size.proxies,
            control: &network.control_addresses(group),
            list: network
                .list_address(group)
                .ok_or("no links exist for the group of the proxy")?,
            advertise: network.advertised_address(proxy),
            seeds: &seeds,
            secret,
        };
        folder.write(&format!("{}.toml", proxy_name(proxy)), &file.text(), false)?;
    }
    Ok(())
}

/// Creates the stores of all replicas, without starting the replicas.
async fn prepare_replicas(
    programs: &Programs,
    folder: &Folder,
    (size, network): (&Size, &Network),
    times: ControlTimes,
) -> Result<Vec<AsyncMutex<Process>>, String> {
    let mut all = Vec::new();
    for (index, location) in size.replica_locations().into_iter().enumerate() {
        let several = size.regions > 1;
        let others = (0..size.regions).filter(|&region| region != location.region);
        let others: Vec<(usize, Vec<SocketAddr>)> = others
            .map(|region| {
                (
                    region,
                    network.cross_region_addresses(location.region, region),
                )
            })
            .collect();
        let file = ReplicaFile {
            index,
            number: index % size.replicas + 1,
            replicas: &network.replica_addresses(location.region),
            region: several.then_some(location.region),
            others: &others,
            times,
        };
        let file = folder
            .write(&format!("control-{index}.toml"), &file.text(), false)?
            .display()
            .to_string();
        let (program, leading_arguments) = &programs.control;
        let created = tokio::process::Command::new(program)
            .args(leading_arguments)
            .args(["create", &file])
            .stdout(std::process::Stdio::null())
            .status()
            .await;
        if !created.map_err(|e| e.to_string())?.success() {
            return Err(format!(
                "failed to create the store of the replica configured in {file}"
            ));
        }
        let process_spec = process_spec(&programs.control, &["serve".to_owned(), file]);
        all.push(AsyncMutex::new(Process::unstarted(
            process_spec,
            watch::channel(None).0,
        )));
    }
    Ok(all)
}
