//! Series of faults, restarts and changes, drawn from a seed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::common::{DaemonProcess, DeskFleet, RelayMode};

/// Longest pause of a process or a link.
const MAX_PAUSE_MILLIS: u64 = 1_500;
/// Longest time between two faults of a series.
const MAX_GAP_MILLIS: u64 = 2_500;

/// A daemon of the fleet and what its series did to it.
pub struct SoakDaemon {
    pub process: RefCell<DaemonProcess>,
    /// Number of faults other than planned stops that have begun or ended.
    pub disturbances: Cell<u64>,
}

impl SoakDaemon {
    fn disturb(&self) {
        self.disturbances.set(self.disturbances.get() + 1);
    }

    /// Waits for the end of a planned stop, then starts the daemon again.
    async fn end_and_restart(&self, rng: &mut Rng) {
        while self.process.borrow_mut().process.is_running() {
            pause(20).await;
        }
        pause(rng.u64(0..500)).await;
        self.process.borrow_mut().restart();
    }

    async fn stop(&self, rng: &mut Rng) {
        self.process.borrow().process.terminate();
        self.end_and_restart(rng).await;
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
        self.process.borrow().process.terminate();
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

/// One series of faults of the links to an instance's daemon and of the platform.
pub async fn run_links(desk: Rc<DeskFleet>, mut rng: Rng, end: Instant) {
    while Instant::now() < end {
        pause(rng.u64(0..MAX_GAP_MILLIS)).await;
        if rng.bool() {
            let mode = ["\"down\"", "{\"slow\":400}", "\"lose-answers\""][rng.usize(0..3)];
            desk.fleet.platform_mode(mode).await;
            pause(rng.u64(100..MAX_PAUSE_MILLIS)).await;
            desk.fleet.platform_mode("\"up\"").await;
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
