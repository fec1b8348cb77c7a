//! What a process uses of the machine, as the system counts it.

use std::fs;

/// Bytes in a KiB, the unit of the sizes in `/proc`.
const KIB: u64 = 1024;

/// The resident memory of a process, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct MemoryUse {
    /// What the process has now.
    pub resident: u64,
    /// The most that it has had.
    pub peak: u64,
    /// The part that is pages of files, such as the code. An unoptimized program has several times as many of them as the
    /// released one.
    pub file_backed: u64,
}

impl MemoryUse {
    /// Reads the memory use of a process. `None` if it has ended.
    pub fn of(pid: u32) -> Option<MemoryUse> {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        Some(MemoryUse {
            resident: size(&status, "VmRSS:")?,
            peak: size(&status, "VmHWM:")?,
            file_backed: size(&status, "RssFile:")?,
        })
    }

    /// The peak without the pages of files, which hardly change once a program runs.
    pub fn anonymous_peak(self) -> u64 {
        self.peak.saturating_sub(self.file_backed)
    }
}

/// The value of a field in the status of a process, in bytes.
fn size(status: &str, field: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * KIB)
}

/// The number of open descriptors of a process. `None` if it has ended.
pub fn open_descriptors(pid: u32) -> Option<usize> {
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
    Some(descriptors.count())
}
