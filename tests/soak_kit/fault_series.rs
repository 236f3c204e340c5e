//! Series of faults, restarts and changes, drawn from a seed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::stop_times::StopTimes;
use crate::common::{DaemonProcess, DeskFleet, RelayMode};

/// Longest pause of a process or a link.
const MAX_PAUSE_MILLIS: u64 = 1_500;
/// Longest time between two faults of a series.
const MAX_GAP_MILLIS: u64 = 2_500;
/// Longest time between two stops of a group.
const MAX_STAGGER_MILLIS: u64 = 500;
/// A group has at most this part of the daemons.
const GROUP_DIVISOR: usize = 6;

/// A daemon of the fleet and what its series did to it.
pub struct SoakDaemon {
    pub process: RefCell<DaemonProcess>,
    /// Number of faults other than planned stops that have begun or ended.
    pub disturbances: Cell<u64>,
    /// Its planned stops.
    pub stops: StopTimes,
    /// Whether a group has it stopped or restarted now.
    is_in_group: Cell<bool>,
    /// Number of planned stops without a freeze that took longer than `proxy.shutdown`.
    pub overruns: Cell<u64>,
}

impl SoakDaemon {
    /// A daemon that no series has touched.
    pub fn new(process: DaemonProcess) -> Self {
        Self {
            process: RefCell::new(process),
            disturbances: Cell::default(),
            stops: StopTimes::default(),
            is_in_group: Cell::default(),
            overruns: Cell::default(),
        }
    }

    fn disturb(&self) {
        self.disturbances.set(self.disturbances.get() + 1);
    }

    fn begin_stop(&self) {
        self.stops.begin();
        self.process.borrow().process.terminate();
    }

    /// Waits for the end of a planned stop, then starts the daemon again. Returns whether the stop took
    /// longer than `proxy.shutdown`.
    async fn end_and_restart(&self, rng: &mut Rng) -> bool {
        while self.process.borrow_mut().process.is_running() {
            pause(20).await;
        }
        let has_overrun = self.stops.end();
        pause(rng.u64(0..500)).await;
        self.process.borrow_mut().restart();
        has_overrun
    }

    async fn stop(&self, rng: &mut Rng) {
        self.begin_stop();
        if self.end_and_restart(rng).await {
            self.overruns.set(self.overruns.get() + 1);
        }
    }

    async fn kill(&self, rng: &mut Rng) {
        self.disturb();
        self.process.borrow_mut().process.kill();
        pause(rng.u64(0..MAX_PAUSE_MILLIS)).await;
        self.process.borrow_mut().restart();
        self.disturb();
    }

    async fn freeze(&self, rng: &mut Rng) {
        self.disturb();
        self.process.borrow().process.pause();
        pause(rng.u64(100..MAX_PAUSE_MILLIS)).await;
        self.process.borrow().process.resume();
        self.disturb();
    }

    /// Stops a daemon that is frozen meanwhile.
    async fn freeze_in_stop(&self, rng: &mut Rng) {
        self.begin_stop();
        pause(rng.u64(0..500)).await;
        if self.process.borrow_mut().process.is_running() {
            self.freeze(rng).await;
        }
        self.end_and_restart(rng).await;
    }

    /// One series of signals and restarts.
    pub async fn run_series(&self, mut rng: Rng, end: Instant) {
        while Instant::now() < end {
            pause(rng.u64(0..MAX_GAP_MILLIS)).await;
            match rng.u8(0..5) {
                0 | 1 => self.stop(&mut rng).await,
                2 => self.kill(&mut rng).await,
                3 => self.freeze(&mut rng).await,
                _ => self.freeze_in_stop(&mut rng).await,
            }
        }
    }
}

/// One series of planned stops of groups of daemons. Groups overlap; a daemon
/// that is not back yet is left out.
pub async fn run_groups(daemons: Vec<Rc<SoakDaemon>>, mut rng: Rng, end: Instant) {
    let mut stops = Vec::new();
    while Instant::now() < end {
        pause(rng.u64(0..MAX_GAP_MILLIS)).await;
        let mut group = daemons.clone();
        rng.shuffle(&mut group);
        group.truncate(rng.usize(1..=daemons.len().div_ceil(GROUP_DIVISOR)));
        for daemon in group {
            pause(rng.u64(0..MAX_STAGGER_MILLIS)).await;
            let mut rng = rng.fork();
            if daemon.is_in_group.replace(true) {
                continue;
            }
            stops.push(actix_rt::spawn(async move {
                daemon.stop(&mut rng).await;
                daemon.is_in_group.set(false);
            }));
        }
    }
    for stop in stops {
        stop.await.unwrap();
    }
}

/// One series of faults of the platform.
pub async fn run_platform(desk: Rc<DeskFleet>, mut rng: Rng, end: Instant) {
    while Instant::now() < end {
        pause(rng.u64(0..MAX_GAP_MILLIS)).await;
        disturb_platform(&desk, &mut rng).await;
    }
}

async fn disturb_platform(desk: &DeskFleet, rng: &mut Rng) {
    let mode = ["\"down\"", "{\"slow\":400}", "\"lose-answers\""][rng.usize(0..3)];
    desk.fleet.platform_mode(mode).await;
    pause(rng.u64(100..MAX_PAUSE_MILLIS)).await;
    desk.fleet.platform_mode("\"up\"").await;
}

/// One series of faults of the links to an instance's daemon and of the platform.
pub async fn run_links(desk: Rc<DeskFleet>, mut rng: Rng, end: Instant) {
    while Instant::now() < end {
        pause(rng.u64(0..MAX_GAP_MILLIS)).await;
        if rng.bool() {
            disturb_platform(&desk, &mut rng).await;
            continue;
        }
        let mode = match rng.u8(0..6) {
            0 => RelayMode::Delay(rng.u64(1_000..50_000)),
            1 => RelayMode::Cut,
            2 => RelayMode::DropForward,
            3 => RelayMode::DropBack,
            4 => RelayMode::DropBoth,
            _ => RelayMode::Silent,
        };
        let relays = &desk.fleet.request_relays;
        let relay = &relays[rng.usize(0..relays.len())];
        relay.set(mode);
        pause(rng.u64(100..MAX_PAUSE_MILLIS)).await;
        relay.set(RelayMode::Pass);
    }
}

/// One series of faults of instances.
pub async fn run_instances(desk: Rc<DeskFleet>, mut rng: Rng, end: Instant) {
    const FAULTS: [&str; 8] = [
        "{\"slow\":10.0}",
        "\"wrong\"",
        "\"cut\"",
        "{\"failing\":\"50%\"}",
        "{\"shedding\":\"50%\"}",
        "{\"flapping\":\"300ms\"}",
        "\"frozen\"",
        "\"silent\"",
    ];
    while Instant::now() < end {
        pause(rng.u64(0..MAX_GAP_MILLIS)).await;
        let backends = &desk.fleet.backends;
        let backend = &backends[rng.usize(0..backends.len())];
        backend.fault(FAULTS[rng.usize(0..FAULTS.len())]).await;
        pause(rng.u64(100..MAX_PAUSE_MILLIS)).await;
        backend.fault("\"normal\"").await;
    }
}

async fn pause(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}
