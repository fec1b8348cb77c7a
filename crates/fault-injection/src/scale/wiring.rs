//! All ways between proxies, replicas and the list service: what passes them is counted, and a region can be cut off.

use super::layout::Size;
use crate::datagrams::DatagramLink;
use crate::link::{Forwarded, Forwarding, Link};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

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

/// The ways from the replicas of one region to those of another.
struct RegionLinks {
    from: usize,
    to: usize,
    /// By replica of the region `to`, with its place among all replicas.
    replicas: Vec<(usize, Link)>,
}

/// A proxy's way in for datagrams.
struct Inbound {
    datagrams: DatagramLink,
    hears: Target,
    region: usize,
}

/// Sums of what passed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Between proxies and control.
    pub control: Forwarded,
    /// Between proxies and the list service.
    pub list: Forwarded,
    /// Datagrams that came to proxies.
    pub peers: Forwarded,
}

/// All links.
pub struct Wiring {
    groups: Vec<GroupLinks>,
    publisher: Vec<Link>,
    /// By replica: where the others of its region reach it.
    replicas: Vec<Link>,
    between_regions: Vec<RegionLinks>,
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
        let regions_of_replicas: Vec<usize> =
            size.replica_places().iter().map(|p| p.region).collect();
        let mut groups = Vec::new();
        for region in 0..size.regions {
            for real in [true, false] {
                let control = links(replicas).await?;
                let list = Link::to(list.clone()).await.map_err(text)?;
                groups.push(GroupLinks {
                    group: Group { real, region },
                    control,
                    list,
                });
            }
        }
        let between_regions = between_regions(replicas, &regions_of_replicas, size.regions).await?;
        let mut inbound = Vec::new();
        for (proxy, hears) in hears.into_iter().enumerate() {
            let datagrams = DatagramLink::to(hears.clone(), seed ^ proxy as u64)
                .await
                .map_err(text)?;
            inbound.push(Inbound {
                datagrams,
                hears,
                region: size.proxy(proxy).region,
            });
        }
        let publisher = links(replicas).await?;
        let real = size.real;
        Ok(Wiring {
            groups,
            publisher,
            replicas: links(replicas).await?,
            between_regions,
            inbound,
            regions_of_replicas,
            real,
        })
    }

    fn group(&self, group: Group) -> Option<&GroupLinks> {
        self.groups.iter().find(|links| links.group == group)
    }

    /// Where the proxies of a group reach the replicas of their region.
    pub fn control(&self, group: Group) -> Vec<SocketAddr> {
        let Some(links) = self.group(group) else {
            return Vec::new();
        };
        self.of_region(&links.control, group.region)
    }

    fn of_region(&self, links: &[Link], region: usize) -> Vec<SocketAddr> {
        let regions = links.iter().zip(&self.regions_of_replicas);
        regions
            .filter(|(_, of)| **of == region)
            .map(|(link, _)| link.address)
            .collect()
    }

    /// Where the proxies of a group reach the list service.
    pub fn list(&self, group: Group) -> Option<SocketAddr> {
        self.group(group).map(|links| links.list.address)
    }

    /// Where a publisher reaches the replicas of a region.
    pub fn publisher(&self, region: usize) -> Vec<SocketAddr> {
        self.of_region(&self.publisher, region)
    }

    /// Where the replicas of a region reach each other.
    pub fn replicas(&self, region: usize) -> Vec<SocketAddr> {
        self.of_region(&self.replicas, region)
    }

    /// Where a replica is reached by the others of its region.
    pub fn replica(&self, replica: usize) -> SocketAddr {
        self.replicas[replica].address
    }

    /// Where the replicas of one region reach those of another.
    pub fn between(&self, from: usize, to: usize) -> Vec<SocketAddr> {
        let ways = self
            .between_regions
            .iter()
            .filter(|way| (way.from, way.to) == (from, to));
        ways.flat_map(|way| &way.replicas)
            .map(|(_, link)| link.address)
            .collect()
    }

    /// Where others reach a proxy.
    pub fn advertised(&self, proxy: usize) -> SocketAddr {
        self.inbound[proxy].datagrams.address
    }

    /// Nothing passes between the first region and the others, or all does again. The list service is reached all the
    /// time: each region would have one.
    pub fn cut_first_region(&self, cut: bool) {
        let apart = |a: usize, b: usize| cut && (a == 0) != (b == 0);
        let set = |link: &Link, apart: bool| {
            let pass = if apart {
                Forwarding::Cut
            } else {
                Forwarding::Normal
            };
            link.set(|state| (state.forward, state.backward) = (pass, pass));
        };
        for way in &self.between_regions {
            way.replicas
                .iter()
                .for_each(|(_, link)| set(link, apart(way.from, way.to)));
        }
        for to in &self.inbound {
            let refused = self
                .inbound
                .iter()
                .filter(|from| apart(from.region, to.region));
            let refused: HashSet<SocketAddr> =
                refused.filter_map(|from| *from.hears.borrow()).collect();
            to.datagrams
                .set(|state| state.blocked_sources = Arc::new(refused));
        }
    }

    /// What passed between proxies of a kind and the rest so far.
    pub fn traffic(&self, real: bool) -> Traffic {
        let mut traffic = Traffic::default();
        for links in self.groups.iter().filter(|links| links.group.real == real) {
            links
                .control
                .iter()
                .for_each(|link| add(&mut traffic.control, link.forwarded()));
            add(&mut traffic.list, links.list.forwarded());
        }
        for (proxy, inbound) in self.inbound.iter().enumerate() {
            if (proxy < self.real) == real {
                let sent = inbound.datagrams.received();
                add(
                    &mut traffic.peers,
                    Forwarded {
                        bytes: sent.bytes,
                        chunks: sent.datagrams,
                    },
                );
            }
        }
        traffic
    }

    /// What passed at each replica's listener so far: from proxies, publishers and other replicas. What a replica opens
    /// itself counts at the other end.
    pub fn at_replicas(&self) -> Vec<Forwarded> {
        let mut all = vec![Forwarded::default(); self.replicas.len()];
        let groups = self.groups.iter().map(|links| &links.control);
        for links in groups.chain([&self.publisher, &self.replicas]) {
            all.iter_mut()
                .zip(links)
                .for_each(|(sum, link)| add(sum, link.forwarded()));
        }
        for (replica, link) in self.between_regions.iter().flat_map(|way| &way.replicas) {
            add(&mut all[*replica], link.forwarded());
        }
        all
    }
}

fn add(sum: &mut Forwarded, more: Forwarded) {
    sum.bytes += more.bytes;
    sum.chunks += more.chunks;
}

async fn links(targets: &[Target]) -> Result<Vec<Link>, String> {
    let mut links = Vec::new();
    for target in targets {
        links.push(Link::to(target.clone()).await.map_err(text)?);
    }
    Ok(links)
}

async fn between_regions(
    replicas: &[Target],
    regions_of_replicas: &[usize],
    regions: usize,
) -> Result<Vec<RegionLinks>, String> {
    let mut all = Vec::new();
    for from in 0..regions {
        for to in (0..regions).filter(|&to| to != from) {
            let mut links = Vec::new();
            for (replica, target) in replicas.iter().enumerate() {
                if regions_of_replicas[replica] == to {
                    links.push((replica, Link::to(target.clone()).await.map_err(text)?));
                }
            }
            all.push(RegionLinks {
                from,
                to,
                replicas: links,
            });
        }
    }
    Ok(all)
}
