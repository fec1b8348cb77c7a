//! The links between proxies, replicas and the list service. They count the forwarded traffic, and can partition a region
//! from the others.

use super::layout::Size;
use crate::datagrams::DatagramLink;
use crate::link::{Forwarded, Forwarding, Link};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// The current listen address of a process; `None` while it is down.
pub type TargetAddress = watch::Receiver<Option<SocketAddr>>;

/// Proxies that share links: all real or all hollow proxies of a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// Whether the proxies are separate processes.
    pub real: bool,
    /// The region of the proxies.
    pub region: usize,
}

/// The links of a group.
struct GroupLinks {
    group: Group,
    /// By replica.
    control: Vec<Link>,
    list: Link,
}

/// The links from the replicas of one region to those of another.
struct RegionLinks {
    from: usize,
    to: usize,
    /// For each replica of the region `to`: its index among all replicas, and its link.
    replicas: Vec<(usize, Link)>,
}

/// The datagram link in front of a proxy.
struct InboundLink {
    datagrams: DatagramLink,
    datagram_target: TargetAddress,
    region: usize,
}

/// Forwarded traffic, by the kind of its other end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Between proxies and the control plane.
    pub control: Forwarded,
    /// Between proxies and the list service.
    pub list: Forwarded,
    /// Datagrams that proxies received.
    pub peers: Forwarded,
}

/// All links of a fleet.
pub struct Network {
    groups: Vec<GroupLinks>,
    publisher: Vec<Link>,
    /// By replica: the link from the other replicas of its region.
    replicas: Vec<Link>,
    cross_region_links: Vec<RegionLinks>,
    inbound: Vec<InboundLink>,
    regions_of_replicas: Vec<usize>,
    real: usize,
}

fn error_text(error: std::io::Error) -> String {
    error.to_string()
}

impl Network {
    /// Opens the links of a fleet. `replicas` and `list` are the listen addresses of these processes, and `datagram_targets`
    /// holds the address on which each proxy receives datagrams.
    ///
    /// # Errors
    /// If a link can't bind a port.
    pub async fn new(
        size: &Size,
        replicas: &[TargetAddress],
        list: TargetAddress,
        datagram_targets: Vec<TargetAddress>,
        seed: u64,
    ) -> Result<Network, String> {
        let regions_of_replicas: Vec<usize> =
            size.replica_locations().iter().map(|p| p.region).collect();
        let mut groups = Vec::new();
        for region in 0..size.regions {
            for real in [true, false] {
                let control = links(replicas).await?;
                let list = Link::to(list.clone()).await.map_err(error_text)?;
                groups.push(GroupLinks {
                    group: Group { real, region },
                    control,
                    list,
                });
            }
        }
        let cross_region_links =
            cross_region_links(replicas, &regions_of_replicas, size.regions).await?;
        let mut inbound = Vec::new();
        for (proxy, datagram_target) in datagram_targets.into_iter().enumerate() {
            let datagrams = DatagramLink::to(datagram_target.clone(), seed ^ proxy as u64)
                .await
                .map_err(error_text)?;
            inbound.push(InboundLink {
                datagrams,
                datagram_target,
                region: size.proxy(proxy).region,
            });
        }
        let publisher = links(replicas).await?;
        let real = size.real;
        Ok(Network {
            groups,
            publisher,
            replicas: links(replicas).await?,
            cross_region_links,
            inbound,
            regions_of_replicas,
            real,
        })
    }

    fn group(&self, group: Group) -> Option<&GroupLinks> {
        self.groups.iter().find(|links| links.group == group)
    }

    /// The addresses at which the proxies of a group reach the replicas of their region.
    pub fn control_addresses(&self, group: Group) -> Vec<SocketAddr> {
        let Some(links) = self.group(group) else {
            return Vec::new();
        };
        self.addresses_in_region(&links.control, group.region)
    }

    fn addresses_in_region(&self, links: &[Link], region: usize) -> Vec<SocketAddr> {
        let regions = links.iter().zip(&self.regions_of_replicas);
        regions
            .filter(|(_, of)| **of == region)
            .map(|(link, _)| link.address)
            .collect()
    }

    /// The address at which the proxies of a group reach the list service.
    pub fn list_address(&self, group: Group) -> Option<SocketAddr> {
        self.group(group).map(|links| links.list.address)
    }

    /// The addresses at which a publisher reaches the replicas of a region.
    pub fn publisher_addresses(&self, region: usize) -> Vec<SocketAddr> {
        self.addresses_in_region(&self.publisher, region)
    }

    /// The addresses at which the replicas of a region reach each other.
    pub fn replica_addresses(&self, region: usize) -> Vec<SocketAddr> {
        self.addresses_in_region(&self.replicas, region)
    }

    /// The address at which a replica is reached by the others of its region.
    pub fn replica_address(&self, replica: usize) -> SocketAddr {
        self.replicas[replica].address
    }

    /// The addresses at which the replicas of one region reach those of another.
    pub fn cross_region_addresses(&self, from: usize, to: usize) -> Vec<SocketAddr> {
        let links = self
            .cross_region_links
            .iter()
            .filter(|region_links| (region_links.from, region_links.to) == (from, to));
        links
            .flat_map(|region_links| &region_links.replicas)
            .map(|(_, link)| link.address)
            .collect()
    }

    /// The address at which other proxies reach a proxy.
    pub fn advertised_address(&self, proxy: usize) -> SocketAddr {
        self.inbound[proxy].datagrams.address
    }

    /// Partitions the first region from the others, or heals the partition. The list service stays reachable, because in a
    /// real deployment each region would have its own.
    pub fn cut_first_region(&self, cut: bool) {
        let partitioned = |a: usize, b: usize| cut && (a == 0) != (b == 0);
        let set = |link: &Link, partitioned: bool| {
            let pass = if partitioned {
                Forwarding::Cut
            } else {
                Forwarding::Normal
            };
            link.set(|state| (state.forward, state.backward) = (pass, pass));
        };
        for region_links in &self.cross_region_links {
            region_links
                .replicas
                .iter()
                .for_each(|(_, link)| set(link, partitioned(region_links.from, region_links.to)));
        }
        for to in &self.inbound {
            let blocked = self
                .inbound
                .iter()
                .filter(|from| partitioned(from.region, to.region));
            let blocked: HashSet<SocketAddr> = blocked
                .filter_map(|from| *from.datagram_target.borrow())
                .collect();
            to.datagrams
                .set(|state| state.blocked_sources = Arc::new(blocked));
        }
    }

    /// The total traffic so far of the real, or of the hollow, proxies.
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
                let received = inbound.datagrams.received();
                add(
                    &mut traffic.peers,
                    Forwarded {
                        bytes: received.bytes,
                        chunks: received.datagrams,
                    },
                );
            }
        }
        traffic
    }

    /// The total traffic so far at each replica's listener: from proxies, publishers and other replicas. Connections that a
    /// replica opens count at the replica that accepts them.
    pub fn replica_traffic(&self) -> Vec<Forwarded> {
        let mut all = vec![Forwarded::default(); self.replicas.len()];
        let groups = self.groups.iter().map(|links| &links.control);
        for links in groups.chain([&self.publisher, &self.replicas]) {
            all.iter_mut()
                .zip(links)
                .for_each(|(sum, link)| add(sum, link.forwarded()));
        }
        for (replica, link) in self
            .cross_region_links
            .iter()
            .flat_map(|region_links| &region_links.replicas)
        {
            add(&mut all[*replica], link.forwarded());
        }
        all
    }
}

fn add(sum: &mut Forwarded, other: Forwarded) {
    sum.bytes += other.bytes;
    sum.chunks += other.chunks;
}

async fn links(targets: &[TargetAddress]) -> Result<Vec<Link>, String> {
    let mut links = Vec::new();
    for target in targets {
        links.push(Link::to(target.clone()).await.map_err(error_text)?);
    }
    Ok(links)
}

async fn cross_region_links(
    replicas: &[TargetAddress],
    regions_of_replicas: &[usize],
    regions: usize,
) -> Result<Vec<RegionLinks>, String> {
    let mut all = Vec::new();
    for from in 0..regions {
        for to in (0..regions).filter(|&to| to != from) {
            let mut links = Vec::new();
            for (replica, target) in replicas.iter().enumerate() {
                if regions_of_replicas[replica] == to {
                    links.push((replica, Link::to(target.clone()).await.map_err(error_text)?));
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
