//! A fleet of one daemon with lowered limits, whose memory and descriptors are bounded.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

use crate::common::{BackendPlan, CallerClient, DeskFleet, FleetPlan, eventually};

use super::{ClientCrowd, CrowdInput};

const KIB: u64 = 1024;
/// State of a socket that listens, in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// Memory of the smallest machine, in MiB.
const MACHINE_MIB: u64 = 160;
/// What the default budgets for bodies and responses may take of it, in MiB.
const DEFAULT_BUDGETS_MIB: u64 = 32 + 32;
/// The same budgets as lowered here, in MiB.
const BUDGETS_MIB: u64 = 2 + 2;
/// Bound of the daemon's memory, with the bytes that it has received and not read.
const MEMORY_BOUND_MIB: u64 = MACHINE_MIB - DEFAULT_BUDGETS_MIB + BUDGETS_MIB;
/// A sixteenth of the smallest machine's 4,100 descriptors.
const FEW_DESCRIPTORS: u64 = 256;
/// Connections that a listener's queue holds.
const QUEUED: usize = 120;
const TABLES: &str = "[proxy]\nbody_memory = \"2MiB\"\nanswer_memory = \"2MiB\"\n";

/// The daemon and its clients.
pub struct CrowdDesk {
    /// The processes.
    pub desk: DeskFleet,
    descriptor_bound: Option<u64>,
    most_descriptors: Cell<u64>,
    /// Most memory seen at once, with the bytes received and not read, in KiB.
    most_memory: Cell<u64>,
}

impl CrowdDesk {
    /// Starts a daemon with lowered budgets.
    pub async fn open(name: &str) -> Self {
        Self::start(name, |_| {}, None).await
    }

    /// As `open`, with the instance's plan changed.
    pub async fn open_with(name: &str, change: impl Fn(&mut BackendPlan)) -> Self {
        Self::start(name, change, None).await
    }

    /// As `open`, where the daemon may have `FEW_DESCRIPTORS`. A quarter of them must stay free.
    pub async fn open_small(name: &str) -> Self {
        let own = getrlimit(Resource::Nofile);
        let lowered = Rlimit {
            current: Some(FEW_DESCRIPTORS),
            maximum: own.maximum,
        };
        // The daemon inherits the limit.
        setrlimit(Resource::Nofile, lowered).unwrap();
        let opened = Self::start(name, |_| {}, Some(FEW_DESCRIPTORS / 4 * 3)).await;
        setrlimit(Resource::Nofile, own).unwrap();
        opened
    }

    async fn start(
        name: &str,
        change: impl Fn(&mut BackendPlan),
        descriptor_bound: Option<u64>,
    ) -> Self {
        let plan = FleetPlan {
            tables: TABLES.to_owned(),
            ..FleetPlan::of(1)
        };
        Self {
            desk: DeskFleet::open_with(name, plan, change).await,
            descriptor_bound,
            most_descriptors: Cell::new(0),
            most_memory: Cell::new(0),
        }
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.desk.fleet.daemons[0].callers()
    }

    /// The daemon's process.
    pub fn pid(&self) -> u32 {
        self.desk.fleet.daemons[0].process.pid()
    }

    /// Opens `count` connections to `address` and sends `input` on each until the daemon takes no more.
    pub async fn press(
        &self,
        address: SocketAddr,
        count: usize,
        input: &CrowdInput,
    ) -> ClientCrowd {
        let mut crowd = ClientCrowd::open(address, count).await;
        let observe = || self.observe();
        crowd.press(input, self.pid(), observe).await;
        crowd
    }

    /// Opens as many idle connections to `address` as the listener's queue holds, all of them before the
    /// daemon accepts the first. The descriptors are counted without a pause meanwhile.
    pub async fn connect_at_once(&self, address: SocketAddr) -> ClientCrowd {
        let process = &self.desk.fleet.daemons[0].process;
        process.pause();
        let mut crowd = ClientCrowd::open(address, QUEUED).await;
        let counter = DescriptorCounter::spawn(self.pid());
        process.resume();
        let observe = || self.observe();
        let input = CrowdInput::once("");
        crowd.press(&input, self.pid(), observe).await;
        let most = self.most_descriptors.get().max(counter.finish());
        self.most_descriptors.set(most);
        crowd
    }

    /// Requires that the daemon lives within its bounds and answers an ordinary request, while the crowd
    /// is there and when it has gone.
    pub async fn check(&mut self, crowd: ClientCrowd) {
        self.check_bounds();
        self.check_request().await;
        drop(crowd);
        self.check_request().await;
        self.check_bounds();
    }

    /// Requires that the daemon lives and that its memory and descriptors stayed within the bounds.
    pub fn check_bounds(&mut self) {
        let is_running = self.desk.fleet.daemons[0].process.is_running();
        assert!(is_running, "the daemon has ended");
        let memory = self.memory_kib("VmHWM:").max(self.most_memory.get()) / KIB;
        eprintln!(
            "peak memory {memory} MiB, most descriptors {}",
            self.most_descriptors.get()
        );
        assert!(
            memory < MEMORY_BOUND_MIB,
            "{memory} MiB instead of at most {MEMORY_BOUND_MIB}"
        );
        if let Some(bound) = self.descriptor_bound {
            let most = self.most_descriptors.get();
            assert!(
                most <= bound,
                "{most} descriptors instead of at most {bound}"
            );
        }
    }

    async fn check_request(&self) {
        self.check_answered("/lookups/ordinary").await;
    }

    /// Requires that an ordinary request to `target` is answered.
    pub async fn check_answered(&self, target: &str) {
        // A connection of its own, as an ordinary caller that has just come.
        let caller = CallerClient::open(self.callers()).with_key(self.desk.key());
        eventually("the response to an ordinary request", async || {
            let answer = caller.get(target).await;
            answer.is_ok_and(|answer| answer.status.is_success())
        })
        .await;
    }

    /// Requires that the daemon answers that it is ready.
    pub async fn check_ready(&self) {
        let admin = CallerClient::open(self.desk.fleet.daemons[0].admin());
        eventually("the response to a probe", async || {
            let answer = admin.get("/readyz").await;
            answer.is_ok_and(|answer| answer.status.is_success())
        })
        .await;
    }

    /// Records the descriptors and the memory of this moment.
    fn observe(&self) {
        let descriptors = count_descriptors(self.pid());
        let most = self.most_descriptors.get().max(descriptors);
        self.most_descriptors.set(most);
        let memory = self.memory_kib("VmRSS:") + self.unread_bytes() / KIB;
        self.most_memory.set(self.most_memory.get().max(memory));
    }

    /// A figure of the daemon's memory, as `/proc` names it, in KiB; `VmHWM` is the highest since its start.
    fn memory_kib(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status.lines().find(|line| line.starts_with(name));
        let kib = line.and_then(|line| line.split_ascii_whitespace().nth(1));
        kib.unwrap().parse().unwrap()
    }

    /// Bytes that the daemon's listeners have received and the daemon has not read.
    fn unread_bytes(&self) -> u64 {
        let ports = self.desk.fleet.daemons[0].plan.listen;
        let ports = ports.map(|address| format!(":{:04X}", address.port()));
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let unread = table.lines().skip(1).filter_map(|line| {
            let mut fields = line.split_ascii_whitespace().skip(1);
            let local = fields.next()?;
            let state = fields.nth(1)?;
            let (_, unread) = fields.next()?.split_once(':')?;
            let is_own = ports.iter().any(|port| local.ends_with(port.as_str()));
            (is_own && state != LISTENING).then(|| u64::from_str_radix(unread, 16).unwrap())
        });
        unread.sum()
    }
}

/// Counts the descriptors of a process without a pause, on a thread.
struct DescriptorCounter {
    has_finished: Arc<AtomicBool>,
    counting: JoinHandle<u64>,
}

impl DescriptorCounter {
    fn spawn(pid: u32) -> Self {
        let has_finished = Arc::new(AtomicBool::new(false));
        let finished = Arc::clone(&has_finished);
        let counting = std::thread::spawn(move || {
            let mut most = 0;
            while !finished.load(Ordering::Relaxed) {
                most = most.max(count_descriptors(pid));
            }
            most
        });
        Self {
            has_finished,
            counting,
        }
    }

    /// Returns the highest count.
    fn finish(self) -> u64 {
        self.has_finished.store(true, Ordering::Relaxed);
        self.counting.join().unwrap()
    }
}

fn count_descriptors(pid: u32) -> u64 {
    let folder = std::fs::read_dir(format!("/proc/{pid}/fd"));
    folder.map_or(0, |folder| folder.count() as u64)
}
