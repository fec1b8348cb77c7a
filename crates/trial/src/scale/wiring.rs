//! All ways between proxies, replicas and the list service: what passes them is counted, and a region can be cut off.

use super::layout::Size;
use super::owner::owner;
use crate::datagrams::Datagrams;
use crate::link::{Link, Pass, Passed};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Looks for who opened a connection, and the pause between them.
const LOOKS: usize = 20;
const LOOK_PAUSE: Duration = Duration::from_millis(5);

/// Where something listens at the moment.
pub type Target = watch::Receiver<Option<SocketAddr>>;

/// Proxies that share links: those of one kind in one region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// Are they processes of their own?
    pub real: bool,
    /// Their region.
    pub region: usize,
}

/// The links of a group.
struct GroupLinks {
    group: Group,
    /// By replica.
    control: Vec<Link>,
    list: Link,
}

/// The way between two replicas, and the regions at its ends.
struct Between {
    regions: (usize, usize),
    /// The replicas at its ends.
    ends: (usize, usize),
    link: Link,
}

/// A proxy's way in for datagrams.
struct Inbound {
    datagrams: Datagrams,
    hears: Target,
    region: usize,
}

/// Sums of what passed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Between proxies and control.
    pub control: Passed,
    /// Between proxies and the list service.
    pub list: Passed,
    /// Datagrams that came to proxies.
    pub peers: Passed,
}

/// All links.
pub struct Wiring {
    groups: Vec<GroupLinks>,
    publisher: Vec<Link>,
    between: Arc<Vec<Between>>,
    /// Where a replica is reached by others.
    pub doors: Vec<SocketAddr>,
    door_tasks: Vec<AbortHandle>,
    /// The numbers of the replicas' processes.
    replica_ids: Arc<Mutex<Vec<Option<u32>>>>,
    inbound: Vec<Inbound>,
    regions_of_replicas: Vec<usize>,
    real: usize,
}

fn text(fault: std::io::Error) -> String {
    fault.to_string()
}

impl Wiring {
    /// Links of a fleet; `replicas` and `list` say where those listen, `hears` where each proxy hears datagrams.
    ///
    /// # Errors
    /// If no ports can be had.
    pub async fn new(
        size: &Size,
        replicas: &[Target],
        list: Target,
        hears: Vec<Target>,
        seed: u64,
    ) -> Result<Wiring, String> {
        let regions_of_replicas: Vec<usize> = size.replica_places().iter().map(|p| p.region).collect();
        let mut groups = Vec::new();
        for region in 0..size.regions {
            for real in [true, false] {
                let control = links(replicas).await?;
                let list = Link::to(list.clone()).await.map_err(text)?;
                groups.push(GroupLinks { group: Group { real, region }, control, list });
            }
        }
        let between = Arc::new(between(replicas, &regions_of_replicas).await?);
        let replica_ids = Arc::new(Mutex::new(vec![None; replicas.len()]));
        let (mut doors, mut door_tasks) = (Vec::new(), Vec::new());
        for to in 0..replicas.len() {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(text)?;
            doors.push(listener.local_addr().map_err(text)?);
            let task = tokio::spawn(door(listener, to, Arc::clone(&between), Arc::clone(&replica_ids)));
            door_tasks.push(task.abort_handle());
        }
        let mut inbound = Vec::new();
        for (proxy, hears) in hears.into_iter().enumerate() {
            let datagrams = Datagrams::to(hears.clone(), seed ^ proxy as u64).await.map_err(text)?;
            inbound.push(Inbound { datagrams, hears, region: size.proxy(proxy).region });
        }
        let publisher = links(replicas).await?;
        let real = size.real;
        Ok(Wiring {
            groups,
            publisher,
            between,
            doors,
            door_tasks,
            replica_ids,
            inbound,
            regions_of_replicas,
            real,
        })
    }

    fn group(&self, group: Group) -> Option<&GroupLinks> {
        self.groups.iter().find(|links| links.group == group)
    }

    /// Where the proxies of a group reach the replicas, those of their own region first.
    pub fn control(&self, group: Group) -> Vec<SocketAddr> {
        let Some(links) = self.group(group) else { return Vec::new() };
        let mut places: Vec<usize> = (0..links.control.len()).collect();
        places.sort_by_key(|&replica| self.regions_of_replicas[replica] != group.region);
        places.into_iter().map(|replica| links.control[replica].address).collect()
    }

    /// Where the proxies of a group reach the list service.
    pub fn list(&self, group: Group) -> Option<SocketAddr> {
        self.group(group).map(|links| links.list.address)
    }

    /// Where a publisher in the first region reaches the replicas.
    pub fn publisher(&self) -> Vec<SocketAddr> {
        self.publisher.iter().map(|link| link.address).collect()
    }

    /// Where others reach a proxy.
    pub fn advertised(&self, proxy: usize) -> SocketAddr {
        self.inbound[proxy].datagrams.address
    }

    /// A replica runs as this process, or has ended.
    pub fn replica_runs(&self, replica: usize, id: Option<u32>) {
        self.replica_ids.lock().unwrap_or_else(PoisonError::into_inner)[replica] = id;
    }

    /// Nothing passes between the first region and the others, or all does again. The list service is reached all the
    /// time: each region would have one.
    pub fn cut_first_region(&self, cut: bool) {
        let apart = |a: usize, b: usize| cut && (a == 0) != (b == 0);
        let set = |link: &Link, apart: bool| {
            let pass = if apart { Pass::Cut } else { Pass::Free };
            link.set(|state| (state.forth, state.back) = (pass, pass));
        };
        for links in &self.groups {
            for (link, region) in links.control.iter().zip(&self.regions_of_replicas) {
                set(link, apart(links.group.region, *region));
            }
        }
        for (link, region) in self.publisher.iter().zip(&self.regions_of_replicas) {
            set(link, apart(0, *region));
        }
        for way in self.between.iter() {
            set(&way.link, apart(way.regions.0, way.regions.1));
        }
        for to in &self.inbound {
            let refused = self.inbound.iter().filter(|from| apart(from.region, to.region));
            let refused: HashSet<SocketAddr> = refused.filter_map(|from| *from.hears.borrow()).collect();
            to.datagrams.set(|state| state.refused = Arc::new(refused));
        }
    }

    /// What passed between proxies of a kind and the rest so far.
    pub fn traffic(&self, real: bool) -> Traffic {
        let mut traffic = Traffic::default();
        for links in self.groups.iter().filter(|links| links.group.real == real) {
            links.control.iter().for_each(|link| add(&mut traffic.control, link.passed()));
            add(&mut traffic.list, links.list.passed());
        }
        for (proxy, inbound) in self.inbound.iter().enumerate() {
            if (proxy < self.real) == real {
                let sent = inbound.datagrams.sent();
                add(&mut traffic.peers, Passed { bytes: sent.bytes, pieces: sent.datagrams });
            }
        }
        traffic
    }

    /// What passed at each replica so far: from proxies, publishers and other replicas.
    pub fn at_replicas(&self) -> Vec<Passed> {
        let mut all = vec![Passed::default(); self.doors.len()];
        for links in self.groups.iter().map(|links| &links.control).chain([&self.publisher]) {
            all.iter_mut().zip(links).for_each(|(sum, link)| add(sum, link.passed()));
        }
        for way in self.between.iter() {
            add(&mut all[way.ends.0], way.link.passed());
            add(&mut all[way.ends.1], way.link.passed());
        }
        all
    }
}

impl Drop for Wiring {
    fn drop(&mut self) {
        self.door_tasks.iter().for_each(AbortHandle::abort);
    }
}

fn add(sum: &mut Passed, more: Passed) {
    sum.bytes += more.bytes;
    sum.pieces += more.pieces;
}

async fn links(targets: &[Target]) -> Result<Vec<Link>, String> {
    let mut links = Vec::new();
    for target in targets {
        links.push(Link::to(target.clone()).await.map_err(text)?);
    }
    Ok(links)
}

async fn between(replicas: &[Target], regions: &[usize]) -> Result<Vec<Between>, String> {
    let mut all = Vec::new();
    for from in 0..replicas.len() {
        for to in (0..replicas.len()).filter(|&to| to != from) {
            let link = Link::to(replicas[to].clone()).await.map_err(text)?;
            all.push(Between { regions: (regions[from], regions[to]), ends: (from, to), link });
        }
    }
    Ok(all)
}

/// Replicas know each other by one address each; who connects is found out, and goes by the link of that pair.
async fn door(
    listener: TcpListener,
    to: usize,
    between: Arc<Vec<Between>>,
    replica_ids: Arc<Mutex<Vec<Option<u32>>>>,
) {
    while let Ok((mut near, peer)) = listener.accept().await {
        let ids = replica_ids.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let between = Arc::clone(&between);
        tokio::spawn(async move {
            let running: Vec<u32> = ids.iter().flatten().copied().collect();
            let found = owner_of(peer, running).await;
            let Some(from) = found.and_then(|id| ids.iter().position(|i| *i == Some(id))) else { return };
            let Some(way) = between.iter().find(|way| way.ends == (from, to)) else { return };
            let Ok(mut far) = TcpStream::connect(way.link.address).await else { return };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            // Ends with either side.
            let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
        });
    }
}

/// Looks again if the connection is not found: the system's table is read in parts, and changes meanwhile.
async fn owner_of(peer: SocketAddr, running: Vec<u32>) -> Option<u32> {
    for _ in 0..LOOKS {
        let running = running.clone();
        let found = tokio::task::spawn_blocking(move || owner(peer, &running)).await.ok().flatten();
        if found.is_some() {
            return found;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    None
}
