//! Which process is at the other end of a connection on this machine.

use std::net::{Ipv4Addr, SocketAddr};

/// The fields of a line of `/proc/net/tcp` that tell a connection's own address, and its inode.
const LOCAL: usize = 1;
const INODE: usize = 9;

/// Out of these processes the one whose socket has this address.
pub fn owner(address: SocketAddr, processes: &[u32]) -> Option<u32> {
    let inode = inode(address)?;
    let wanted = format!("socket:[{inode}]");
    processes.iter().copied().find(|process| holds(*process, &wanted))
}

/// The inode of the connection whose own address this is.
fn inode(address: SocketAddr) -> Option<u64> {
    let SocketAddr::V4(address) = address else { return None };
    let wanted = format!("{}:{:04X}", hex(*address.ip()), address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let mut lines = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    lines.find(|fields| fields.get(LOCAL) == Some(&wanted.as_str()))?.get(INODE)?.parse().ok()
}

/// As the system writes it: the number in the machine's own order of bytes.
fn hex(address: Ipv4Addr) -> String {
    format!("{:08X}", u32::from_ne_bytes(address.octets()))
}

fn holds(process: u32, socket: &str) -> bool {
    let Ok(open) = std::fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    open.flatten().any(|entry| std::fs::read_link(entry.path()).is_ok_and(|to| to.as_os_str() == socket))
}
