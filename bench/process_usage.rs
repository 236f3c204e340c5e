//! Processor time, memory and context switches of a process, read from `/proc`.

use std::fs;
use std::time::{Duration, Instant};

const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4096;
/// Index of the user time among the fields of `stat` that follow the program's name.
const USER_FIELD: usize = 11;
/// Index of the system time among the same fields.
const SYSTEM_FIELD: usize = 12;
const VOLUNTARY_SWITCHES_FIELD: &str = "voluntary_ctxt_switches:";
/// Index of the resident pages in `statm`.
const RESIDENT_FIELD: usize = 1;

/// Resource usage of one process at one time.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// Time of the reading.
    pub at: Instant,
    /// User and system time since the process started.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Number of voluntary context switches since the process started.
    pub voluntary_switches: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process `pid`; `None` if it has ended.
    pub fn read(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let (_, fields) = stat.rsplit_once(") ")?;
        let fields: Vec<&str> = fields.split(' ').collect();
        let user: f64 = fields.get(USER_FIELD)?.parse().ok()?;
        let system: f64 = fields.get(SYSTEM_FIELD)?.parse().ok()?;
        let pages = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
        let resident: u64 = pages.split(' ').nth(RESIDENT_FIELD)?.parse().ok()?;
        Some(Self {
            at: Instant::now(),
            cpu: Duration::from_secs_f64((user + system) / TICKS_PER_SECOND),
            resident_bytes: resident * PAGE_BYTES,
            voluntary_switches: voluntary_switches(pid)?,
        })
    }

    /// Processor time since `earlier`, as a fraction of one core.
    pub fn core_fraction(&self, earlier: &Self) -> f64 {
        let span = self.at.duration_since(earlier.at).as_secs_f64();
        (self.cpu.saturating_sub(earlier.cpu)).as_secs_f64() / span
    }
}

fn voluntary_switches(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(VOLUNTARY_SWITCHES_FIELD))?;
    line.trim().parse().ok()
}

/// The machine's one-minute load average; empty if it cannot be read.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or_default().to_owned()
}
