//! Addresses of the simulated proxies, and the loss, duplication and delay of messages.

use super::config::SimConfig;
use crate::Micros;
use rand::Rng;
use rand_pcg::Pcg32;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const FIRST_ADDRESS: u32 = 0x0a00_0000;
const PORT: u16 = 7_946;

/// Maximum additional latency of a delayed message.
const MAX_DELAY: Micros = 2_000_000;

/// The address of the proxy at this position in the fleet.
pub(super) fn address_of(proxy: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(FIRST_ADDRESS + proxy as u32), PORT))
}

/// The position of the proxy with this address. The position is beyond the end of the fleet if no proxy has this
/// address.
pub(super) fn proxy_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => (ip.to_bits() - FIRST_ADDRESS) as usize,
        IpAddr::V6(_) => usize::MAX,
    }
}

/// Latencies of a message and of its duplicate; `None` for one that does not arrive.
pub(super) fn deliveries(config: &SimConfig, random: &mut Pcg32) -> [Option<Micros>; 2] {
    let original = delivery(config, random, |random| !random.gen_bool(config.loss));
    let duplicate = delivery(config, random, |random| random.gen_bool(config.duplication));
    [original, duplicate]
}

fn delivery(
    config: &SimConfig,
    random: &mut Pcg32,
    arrives: impl FnOnce(&mut Pcg32) -> bool,
) -> Option<Micros> {
    let mut latency = random.gen_range(config.min_latency..=config.max_latency);
    if random.gen_bool(config.delayed) {
        latency += random.gen_range(0..MAX_DELAY);
    }
    arrives(random).then_some(latency)
}
