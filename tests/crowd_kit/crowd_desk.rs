//! A fleet of one daemon with lowered limits, whose memory and descriptors are bounded.

use std::cell::Cell;
use std::net::SocketAddr;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

use crate::common::{BackendPlan, CallerClient, DeskFleet, FleetPlan, eventually};

use super::{ClientCrowd, CrowdInput};

/// Memory of the smallest machine, in MiB.
const MACHINE_MIB: u64 = 160;
/// What the default budgets for bodies and responses may take of it, in MiB.
const DEFAULT_BUDGETS_MIB: u64 = 32 + 32;
/// The same budgets as lowered here, in MiB.
const BUDGETS_MIB: u64 = 2 + 2;
/// Bound of the daemon's memory.
const MEMORY_BOUND_MIB: u64 = MACHINE_MIB - DEFAULT_BUDGETS_MIB + BUDGETS_MIB;
/// A sixteenth of the smallest machine's 4,100 descriptors.
const FEW_DESCRIPTORS: u64 = 256;
const TABLES: &str = "[proxy]\nbody_memory = \"2MiB\"\nanswer_memory = \"2MiB\"\n";

/// The daemon and its clients.
pub struct CrowdDesk {
    /// The processes.
    pub desk: DeskFleet,
    descriptor_bound: Option<u64>,
    most_descriptors: Cell<u64>,
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
        let observe = || self.count_descriptors();
        crowd.press(input, self.pid(), observe).await;
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
        let memory = self.peak_memory_mib();
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
        // A connection of its own, as an ordinary caller that has just come.
        let caller = CallerClient::open(self.callers()).with_key(self.desk.key());
        eventually("the response to an ordinary request", async || {
            let answer = caller.get("/lookups/ordinary").await;
            answer.is_ok_and(|answer| answer.status.is_success())
        })
        .await;
    }

    fn count_descriptors(&self) {
        let folder = std::fs::read_dir(format!("/proc/{}/fd", self.pid()));
        let count = folder.map_or(0, |folder| folder.count() as u64);
        let most = self.most_descriptors.get().max(count);
        self.most_descriptors.set(most);
    }

    /// Highest resident memory of the daemon since its start.
    fn peak_memory_mib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kib = line.and_then(|line| line.split_ascii_whitespace().nth(1));
        kib.unwrap().parse::<u64>().unwrap() / 1024
    }
}
