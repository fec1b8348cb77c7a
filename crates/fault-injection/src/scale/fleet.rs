//! The processes of a fleet: started, killed, started again.

use super::files::{ControlTimes, ProxyFile, ReplicaFile};
use super::hollow::{HollowProcess, Line, Order};
use super::layout::Size;
use super::wiring::{Group, Wiring};
use super::Programs;
use crate::clients::Addresses;
use crate::hosts::Hosts;
use crate::now;
use crate::process::{Folder, Process, ProcessSpec};
use badgerramp_config_tool::fleet::{At, Control};
use badgerramp_policy::Micros;
use rustix::process::Signal;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;
use tokio::sync::{watch, Mutex as AsyncMutex};
use tokio::time::Instant;

/// Longest wait for what must come.
pub const LONG: Duration = Duration::from_secs(60);
/// Most hollow proxies in one process.
const HOLLOW_EACH: usize = 150;
/// Pause between two starts of proxies, so that they do not all begin in one moment.
const SPREAD: Duration = Duration::from_millis(4);
/// Proxies where others meet the fleet.
const SEEDS: usize = 3;
/// Share of answers that are lost: none, nothing but control is tried.
const SPOILT: f64 = 0.0;
/// Where nobody listens.
const NOBODY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// A span in which the trial kept a proxy from working: from its end until it was started again.
#[derive(Clone, Copy, Debug)]
pub struct Down {
    /// The proxy.
    pub proxy: usize,
    /// From when on.
    pub from: Micros,
    /// When it was started again, if it was.
    pub until: Option<Micros>,
}

/// A fleet that runs.
pub struct Fleet {
    /// What was asked for.
    pub size: Size,
    /// Its files.
    pub folder: Folder,
    /// What is behind the proxies.
    pub hosts: Hosts,
    /// All ways between.
    pub wiring: Wiring,
    /// Proxies that are processes of their own.
    pub real: Vec<AsyncMutex<Process>>,
    /// Processes with hollow proxies.
    pub hollow: Vec<AsyncMutex<HollowProcess>>,
    /// One without any, to know what a process holds by itself.
    pub empty: HollowProcess,
    /// Replicas of control.
    pub replicas: Vec<AsyncMutex<Process>>,
    replica_at: Vec<watch::Sender<Option<SocketAddr>>>,
    /// The list service.
    pub list: Process,
    /// Where real proxies take calls.
    pub addresses: Addresses,
    down: Mutex<Vec<Down>>,
}

/// The name of a proxy.
pub fn name(proxy: usize) -> String {
    format!("p{proxy}")
}

/// The proxy of this name.
pub fn proxy_named(name: &str) -> Option<usize> {
    name.strip_prefix('p')?.parse().ok()
}

fn plan((program, before): &(PathBuf, Vec<String>), arguments: &[String]) -> ProcessSpec {
    let arguments = before.iter().chain(arguments).cloned().collect();
    ProcessSpec {
        program: program.clone(),
        arguments,
        debug_filter: vec!["badgerramp::begun"],
        environment: Vec::new(),
    }
}

impl Fleet {
    /// Starts control and the list service, and prepares the proxies: see [`Fleet::start_proxies`].
    ///
    /// # Errors
    /// If something does not start.
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
        let hosts = Hosts::start(size.proxies, SPOILT, &[], seed).await?;
        let list = start_list(programs, &folder, &hosts.addresses).await?;
        let (_, list_at) = watch::channel(Some(list.1));
        let count = size.replica_places().len();
        let (replica_at, replica_targets): (Vec<_>, Vec<_>) =
            (0..count).map(|_| watch::channel(None)).unzip();
        let (hearing, hears): (Vec<_>, Vec<_>) =
            (0..size.proxies).map(|_| watch::channel(None)).unzip();
        let wiring = Wiring::new(&size, &replica_targets, list_at, hears, seed).await?;
        write_proxy_files(&folder, &size, &wiring, &secret)?;
        let mut hearing: HashMap<usize, watch::Sender<Option<SocketAddr>>> =
            hearing.into_iter().enumerate().collect();
        let mut real = Vec::new();
        for proxy in 0..size.real {
            let file = folder
                .path()
                .join(format!("{}.toml", name(proxy)))
                .display()
                .to_string();
            let tells = hearing.remove(&proxy).ok_or("a proxy without a way in")?;
            let plan = plan(&programs.proxy, &["run".to_owned(), file]);
            real.push(AsyncMutex::new(Process::unstarted(plan, tells)));
        }
        let mut hollow = Vec::new();
        let places: Vec<usize> = (size.real..size.proxies).collect();
        for some in places.chunks(HOLLOW_EACH) {
            let tells = some
                .iter()
                .filter_map(|proxy| Some((name(*proxy), hearing.remove(proxy)?)))
                .collect();
            hollow.push(AsyncMutex::new(HollowProcess::start(
                &programs.hollow,
                folder.path(),
                tells,
            )?));
        }
        let empty = HollowProcess::start(&programs.hollow, folder.path(), HashMap::new())?;
        let replicas = prepare_replicas(programs, &folder, (&size, &wiring), times).await?;
        let fleet = Fleet {
            addresses: Arc::new(RwLock::new(vec![NOBODY; size.real])),
            size,
            folder,
            hosts,
            wiring,
            real,
            hollow,
            empty,
            replicas,
            replica_at,
            list: list.0,
            down: Mutex::default(),
        };
        for replica in 0..count {
            fleet.start_replica(replica).await?;
        }
        Ok(fleet)
    }

    /// Starts all proxies, one shortly after the other.
    ///
    /// # Errors
    /// If one does not start.
    pub async fn start_proxies(&self) -> Result<(), String> {
        for proxy in 0..self.size.proxies {
            self.order(proxy, Order::Start).await?;
            tokio::time::sleep(SPREAD).await;
        }
        Ok(())
    }

    async fn order(&self, proxy: usize, order: fn(String) -> Order) -> Result<(), String> {
        if self.size.is_real(proxy) {
            return self.order_real(proxy, &order(String::new())).await;
        }
        let process = &self.hollow[(proxy - self.size.real) / HOLLOW_EACH];
        match order(name(proxy)) {
            Order::End(name) => process.lock().await.end(name).await,
            order => process.lock().await.order(&order).await,
        }
    }

    async fn order_real(&self, proxy: usize, order: &Order) -> Result<(), String> {
        let mut process = self.real[proxy].lock().await;
        let address = match order {
            Order::Start(_) => {
                process.spawn()?;
                process.listen_address().await?
            }
            _ => NOBODY,
        };
        // Its port may be another process's at once.
        self.addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner)[proxy] = address;
        match order {
            Order::End(_) => process.terminate().await,
            Order::Kill(_) => {
                process.kill().await;
                Ok(())
            }
            Order::Start(_) | Order::Tell => Ok(()),
        }
    }

    fn downs(&self) -> std::sync::MutexGuard<'_, Vec<Down>> {
        self.down.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When the trial kept proxies from working.
    pub fn down(&self) -> Vec<Down> {
        self.downs().clone()
    }

    /// Ends a proxy as an operator does.
    ///
    /// # Errors
    /// If it can't be told.
    pub async fn end(&self, proxy: usize) -> Result<(), String> {
        self.downs().push(Down {
            proxy,
            from: now(),
            until: None,
        });
        self.order(proxy, Order::End).await
    }

    /// Kills a proxy.
    ///
    /// # Errors
    /// If it can't be told.
    pub async fn kill(&self, proxy: usize) -> Result<(), String> {
        self.downs().push(Down {
            proxy,
            from: now(),
            until: None,
        });
        self.order(proxy, Order::Kill).await
    }

    /// Starts a proxy again that was ended or killed.
    ///
    /// # Errors
    /// If it does not start.
    pub async fn again(&self, proxy: usize) -> Result<(), String> {
        let started = now();
        self.order(proxy, Order::Start).await?;
        let mut downs = self.downs();
        if let Some(down) = downs.iter_mut().rev().find(|down| down.proxy == proxy) {
            down.until = Some(started);
        }
        Ok(())
    }

    /// Starts a replica, also again.
    ///
    /// # Errors
    /// If it does not start.
    pub async fn start_replica(&self, replica: usize) -> Result<(), String> {
        let mut process = self.replicas[replica].lock().await;
        process.spawn()?;
        let address = process.listen_address().await?;
        self.replica_at[replica].send_replace(Some(address));
        Ok(())
    }

    /// Kills a replica.
    pub async fn kill_replica(&self, replica: usize) {
        let mut process = self.replicas[replica].lock().await;
        process.signal(Signal::KILL);
        process.kill().await;
        self.replica_at[replica].send_replace(None);
    }

    /// The way of a publisher to the control of a region.
    ///
    /// # Errors
    /// If there is no secret.
    pub fn publisher(&self, region: usize) -> Result<Control, String> {
        Control::new(&At {
            control: self.wiring.publisher(region),
            secret: self.folder.path().join("secret"),
            timeout: LONG.as_secs(),
        })
    }

    /// Waits until all proxies that run act under what is in force in their region, and tells which replica leads in the
    /// first one.
    ///
    /// # Errors
    /// If they do not in a minute.
    pub async fn settled(&self) -> Result<Option<usize>, String> {
        let end = Instant::now() + LONG;
        let mut leader = None;
        for region in (0..self.size.regions).rev() {
            leader = self.region_settled(region, end).await?;
        }
        Ok(leader)
    }

    async fn region_settled(&self, region: usize, end: Instant) -> Result<Option<usize>, String> {
        let away: HashSet<usize> = self
            .down()
            .iter()
            .filter(|down| down.until.is_none())
            .map(|down| down.proxy)
            .collect();
        let proxies = self
            .size
            .proxies_of(region)
            .into_iter()
            .filter(|proxy| !away.contains(proxy))
            .count();
        let mut control = self.publisher(region)?;
        loop {
            let standing = control.standing().await.map_err(|e| e.to_string())?;
            let there = standing
                .proxies
                .iter()
                .filter(|p| p.acting == standing.revision)
                .count();
            if there >= proxies && standing.to_come.is_none() {
                let replicas = 0..self.replicas.len();
                return Ok(replicas
                    .into_iter()
                    .find(|&replica| self.wiring.replica(replica).to_string() == standing.leader));
            }
            if Instant::now() >= end {
                return Err(format!(
                    "{there} of {proxies} proxies act under what is in force"
                ));
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// The log of a proxy.
    pub async fn log(&self, proxy: usize) -> Vec<Line> {
        if self.size.is_real(proxy) {
            return self.real[proxy].lock().await.log();
        }
        self.hollow[(proxy - self.size.real) / HOLLOW_EACH]
            .lock()
            .await
            .log(&name(proxy))
    }

    /// Ends all processes in order, those that are still there.
    ///
    /// # Errors
    /// If a process for hollow proxies does not end.
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

async fn start_list(
    programs: &Programs,
    folder: &Folder,
    hosts: &[SocketAddr],
) -> Result<(Process, SocketAddr), String> {
    let text: Vec<String> = hosts.iter().map(SocketAddr::to_string).collect();
    let file = folder
        .write("hosts", &text.join("\n"), false)?
        .display()
        .to_string();
    let mut process = Process::start(plan(&programs.list, &[file])).await?;
    let address = process.listen_address().await?;
    Ok((process, address))
}

fn write_proxy_files(
    folder: &Folder,
    size: &Size,
    wiring: &Wiring,
    secret: &std::path::Path,
) -> Result<(), String> {
    let seeds: Vec<SocketAddr> = (0..SEEDS.min(size.proxies))
        .map(|p| wiring.advertised(p))
        .collect();
    for proxy in 0..size.proxies {
        let place = size.proxy(proxy);
        let group = Group {
            real: size.is_real(proxy),
            region: place.region,
        };
        let file = ProxyFile {
            name: &name(proxy),
            zone: place.zone,
            region: (size.regions > 1).then_some(place.region),
            proxies: size.proxies,
            control: &wiring.control(group),
            list: wiring.list(group).ok_or("a group without links")?,
            advertise: wiring.advertised(proxy),
            seeds: &seeds,
            secret,
        };
        folder.write(&format!("{}.toml", name(proxy)), &file.text(), false)?;
    }
    Ok(())
}

/// Makes the stores of all replicas; they are not started yet.
async fn prepare_replicas(
    programs: &Programs,
    folder: &Folder,
    (size, wiring): (&Size, &Wiring),
    times: ControlTimes,
) -> Result<Vec<AsyncMutex<Process>>, String> {
    let mut all = Vec::new();
    for (place, stands) in size.replica_places().into_iter().enumerate() {
        let several = size.regions > 1;
        let others = (0..size.regions).filter(|&region| region != stands.region);
        let others: Vec<(usize, Vec<SocketAddr>)> = others
            .map(|region| (region, wiring.between(stands.region, region)))
            .collect();
        let file = ReplicaFile {
            place,
            number: place % size.replicas + 1,
            replicas: &wiring.replicas(stands.region),
            region: several.then_some(stands.region),
            others: &others,
            times,
        };
        let file = folder
            .write(&format!("control-{place}.toml"), &file.text(), false)?
            .display()
            .to_string();
        let (program, before) = &programs.control;
        let made = tokio::process::Command::new(program)
            .args(before)
            .args(["create", &file])
            .stdout(std::process::Stdio::null())
            .status()
            .await;
        if !made.map_err(|e| e.to_string())?.success() {
            return Err(format!("{file}: its store could not be made"));
        }
        let plan = plan(&programs.control, &["serve".to_owned(), file]);
        all.push(AsyncMutex::new(Process::unstarted(
            plan,
            watch::channel(None).0,
        )));
    }
    Ok(all)
}
