//! What a process uses of the machine, as the system counts it.

use std::fs;

/// Bytes in a KiB, the unit of the sizes in `/proc`.
const KIB: u64 = 1024;

/// The largest resident memory that the process has had, in bytes, with the pages of its files.
///
/// # Panics
/// If the process has ended.
pub fn peak_memory(pid: u32) -> u64 {
    status_size(pid, "VmHWM:")
}

/// The same without the pages of files, of which an unoptimized program has several times as many as the released one.
/// The pages of files are counted as they are now: they hardly change once the program runs.
///
/// # Panics
/// If the process has ended.
pub fn peak_anonymous_memory(pid: u32) -> u64 {
    peak_memory(pid).saturating_sub(status_size(pid, "RssFile:"))
}

/// The resident memory of the process, in bytes, with the pages of its files.
///
/// # Panics
/// If the process has ended.
pub fn resident_memory(pid: u32) -> u64 {
    status_size(pid, "VmRSS:")
}

/// The number of open descriptors of the process.
///
/// # Panics
/// If the process has ended.
pub fn open_descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd"))
        .expect("a running process")
        .count()
}

fn status_size(pid: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("a running process");
    let size = status
        .lines()
        .find_map(|line| line.strip_prefix(field)?.split_whitespace().next());
    let kib: u64 = size
        .and_then(|size| size.parse().ok())
        .expect("the status of a process that has memory");
    kib * KIB
}
