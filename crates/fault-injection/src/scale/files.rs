//! The files of a fleet: policies, and the configuration files of proxies and replicas.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

/// The application that the policy belongs to.
pub const APPLICATION: &str = "caja";
/// Number of services in the policy, each with a class and a route.
const SERVICES: usize = 22;
/// The paths that the clients call.
pub const PATHS: [&str; 2] = ["/service-1", "/service-2"];

/// Timeouts of the control-plane replicas, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ControlTimes {
    /// Duration of a lease.
    pub lease_ms: u64,
    /// Timeout after which a change that is not in force is aborted.
    pub wait_ms: u64,
    /// Minimum election timeout: how long a leader must be silent before it is replaced.
    pub election_ms: u64,
    /// Timeout after which a cross-region change that lacks the vote of a region is aborted.
    pub regions_wait_ms: u64,
}

impl Default for ControlTimes {
    /// The defaults of the control plane.
    fn default() -> Self {
        ControlTimes {
            lease_ms: 10_000,
            wait_ms: 60_000,
            election_ms: 1_000,
            regions_wait_ms: 10_000,
        }
    }
}

fn quoted(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
    quoted.join(", ")
}

/// The classes of a policy. Policies with different numbers differ in the `worth` of the first service.
fn classes(number: usize) -> String {
    let mut text = String::new();
    for service in 1..=SERVICES {
        let worth = if service == 1 { 2 + number % 7 } else { 1 };
        let _ = write!(
            text,
            "[class.service-{service}]\naim = \"500ms\"\ndeadline = \"1200ms\"\nworth = {worth}\nlate_worth = 0\n\
             effect = \"unsafe\"\nattempts = 3\nattempt = \"350ms\"\n"
        );
    }
    text
}

fn routes() -> String {
    let mut text = String::new();
    for service in 1..=SERVICES {
        let _ = write!(
            text,
            "[[route]]\nname = \"service-{service}\"\npath = \"/service-{service}\"\nmethods = [\"POST\"]\n\
             class = \"service-{service}\"\n"
        );
    }
    text
}

const LIMITS: &str =
    "[limits]\nmemory = \"64MiB\"\ndescriptors = 512\nopen_calls = 150\nbody = \"64KiB\"\n\
                      retry_after = \"1s\"\n";
const DEFAULTS: &str = "[defaults]\nconnect = \"250ms\"\nsecond_copy = \"off\"\n";

/// The text of the policy with this number.
pub fn policy(number: usize) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\n{LIMITS}[upstream]\nendpoints = [{{ name = \"s-1\", address = \"127.0.0.1:9001\" }}]\n\
         {DEFAULTS}[policy]\ncontrol = [\"127.0.0.1:1\"]\nsecret = \"secret\"\napplication = \"{APPLICATION}\"\n{}{}",
        classes(number),
        routes()
    )
}

/// The values in the configuration file of a proxy.
pub struct ProxyFile<'a> {
    /// The name of the proxy.
    pub name: &'a str,
    /// The zone of the proxy.
    pub zone: usize,
    /// The region of the proxy; `None` in a fleet with one region.
    pub region: Option<usize>,
    /// Number of proxies in the fleet.
    pub proxies: usize,
    /// Addresses of the control-plane replicas.
    pub control: &'a [SocketAddr],
    /// Address of the list service.
    pub list: SocketAddr,
    /// The address at which other proxies reach the proxy.
    pub advertise: SocketAddr,
    /// Addresses of the seed proxies, at which the proxy joins the gossip.
    pub seeds: &'a [SocketAddr],
    /// The file with the secret that the fleet shares.
    pub secret: &'a Path,
}

impl ProxyFile<'_> {
    /// The text of the file.
    pub fn text(&self) -> String {
        let secret = self.secret.display();
        let region = self.region.map_or_else(String::new, |number| {
            format!("region = \"{}\"\n", region(number))
        });
        format!(
            "listen = \"127.0.0.1:0\"\n{LIMITS}[log]\nformat = \"json\"\nlevel = \"info\"\nrate = 100000\n\
             targets = {{ \"badgerramp::begun\" = \"debug\" }}\n\
             [upstream]\ndiscovery = \"{}\"\nzone = \"zone-{}\"\nproxies = {}\n\
             [peers]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [{}]\nsecret = \"{secret}\"\nfleet = \"trial\"\n\
             {DEFAULTS}[policy]\ncontrol = [{}]\nsecret = \"{secret}\"\napplication = \"{APPLICATION}\"\nname = \"{}\"\n\
             cut_off = \"refuse\"\n{region}{}{}",
            self.list,
            self.zone,
            self.proxies,
            self.advertise,
            quoted(self.seeds),
            quoted(self.control),
            self.name,
            classes(0),
            routes()
        )
    }
}

/// The name of a region. The order of the names is that of the indexes.
pub fn region(number: usize) -> String {
    format!("region-{}", number + 1)
}

/// The values in the configuration file of a replica.
pub struct ReplicaFile<'a> {
    /// Index among all replicas, which is part of the name of its store.
    pub index: usize,
    /// Number within the region, counted from 1.
    pub number: usize,
    /// Addresses of the replicas of the region.
    pub replicas: &'a [SocketAddr],
    /// The region of the replica; `None` in a fleet with one region.
    pub region: Option<usize>,
    /// The other regions, each with the addresses of its replicas.
    pub others: &'a [(usize, Vec<SocketAddr>)],
    /// The timeouts.
    pub times: ControlTimes,
}

impl ReplicaFile<'_> {
    /// The text of the file.
    pub fn text(&self) -> String {
        let named = |(n, address): (usize, &SocketAddr)| format!("{} = \"{address}\"", n + 1);
        let named: Vec<String> = self.replicas.iter().enumerate().map(named).collect();
        let ControlTimes {
            lease_ms,
            wait_ms,
            election_ms,
            regions_wait_ms,
        } = self.times;
        let mut text = format!(
            "replica = {}\nreplicas = {{ {} }}\nlisten = \"127.0.0.1:0\"\nstore = \"store-{}\"\n\
             secret = \"secret\"\nlease_ms = {lease_ms}\nwait_ms = {wait_ms}\nelection_ms = {election_ms}\n",
            self.number,
            named.join(", "),
            self.index
        );
        if let Some(own) = self.region {
            let _ = writeln!(
                text,
                "region = \"{}\"\nregions_wait_ms = {regions_wait_ms}",
                region(own)
            );
        }
        for (other, replicas) in self.others {
            let _ = writeln!(
                text,
                "[regions.{}]\nreplicas = [{}]",
                region(*other),
                quoted(replicas)
            );
        }
        text
    }
}
