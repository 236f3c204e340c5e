//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::time::{Duration, Instant};

const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4096;
/// Place of the user time among the fields that follow the program's name.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;
const WAITS: &str = "voluntary_ctxt_switches:";
const RESIDENT_FIELD: usize = 1;

/// A reading of one process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// When it was read.
    pub at: Instant,
    /// Processor time spent so far.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// How often it gave up the processor to wait.
    pub waits: u64,
}

impl ProcessUsage {
    /// Reads the process `pid`, or none when it is gone.
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
            waits: waits(pid)?,
        })
    }

    /// Part of a core spent since `earlier`.
    pub fn core_part(&self, earlier: &Self) -> f64 {
        let span = self.at.duration_since(earlier.at).as_secs_f64();
        (self.cpu.saturating_sub(earlier.cpu)).as_secs_f64() / span
    }
}

fn waits(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(WAITS))?;
    line.trim().parse().ok()
}

/// The machine's load average over one minute.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or_default().to_owned()
}
