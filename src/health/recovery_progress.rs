//! The way back of an ejected instance: probes, then growing parts of the work.

use std::time::Duration;

use serde::Serialize;

use crate::time::{Deadline, MonoTime};
use crate::units::Percent;
use crate::wire::HealthState;

const PROBES_NEEDED: u32 = 3;
const REQUESTS_NEEDED: u32 = 10;
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
const STAGE_REQUESTS: u32 = 6;
const STAGE_MIN_TIME: Duration = Duration::from_secs(1);
const STAGE_QUIET_TIME: Duration = Duration::from_secs(8);
const STAGE_PERCENTS: [u8; 4] = [5, 10, 25, 50];

/// Good answers counted since the ejection or since the present stage began.
#[derive(Debug, Clone, Serialize)]
pub(super) struct RecoveryProgress {
    stage: usize,
    stage_began: MonoTime,
    good: u32,
    next_probe: Deadline,
    is_probing: bool,
}

impl RecoveryProgress {
    /// No progress.
    pub(super) const fn open() -> Self {
        Self {
            stage: 0,
            stage_began: MonoTime::ZERO,
            good: 0,
            next_probe: Deadline::at(MonoTime::ZERO),
            is_probing: false,
        }
    }

    /// Whether to send a probe now; one at a time, a lost one is given up after a while.
    pub(super) fn begin_probe(&mut self, now: MonoTime) -> bool {
        if !self.next_probe.has_passed(now) {
            return false;
        }
        self.is_probing = true;
        self.next_probe = now.after(PROBE_TIMEOUT);
        true
    }

    /// Counts a probe; whether enough went well in a row.
    pub(super) fn probe_done(&mut self, is_good: bool, now: MonoTime) -> bool {
        if !std::mem::take(&mut self.is_probing) {
            return false;
        }
        self.next_probe = now.after(PROBE_INTERVAL);
        self.count(is_good);
        self.good >= PROBES_NEEDED
    }

    /// Counts a request that an ejected instance still ran; whether enough went well in a row.
    pub(super) fn request_done(&mut self, is_good: bool) -> bool {
        self.count(is_good);
        self.good >= REQUESTS_NEEDED
    }

    /// Begins the first stage.
    pub(super) fn begin_ramp(&mut self, now: MonoTime) -> HealthState {
        self.begin_stage(0, now)
    }

    /// The next state once the present stage went well.
    pub(super) fn advance(&mut self, now: MonoTime) -> Option<HealthState> {
        let passed = now.since(self.stage_began);
        let is_proved = self.good >= STAGE_REQUESTS && passed >= STAGE_MIN_TIME;
        let is_over = is_proved || passed >= STAGE_QUIET_TIME;
        is_over.then(|| self.begin_stage(self.stage + 1, now))
    }

    /// Counts a request of the present stage.
    pub(super) const fn count(&mut self, is_good: bool) {
        self.good = if is_good { self.good + 1 } else { 0 };
    }

    /// Forgets all progress.
    pub(super) fn reset(&mut self) {
        *self = Self::open();
    }

    fn begin_stage(&mut self, stage: usize, now: MonoTime) -> HealthState {
        self.stage = stage;
        self.stage_began = now;
        self.good = 0;
        self.is_probing = false;
        let percent = STAGE_PERCENTS.get(stage);
        let percent = percent.and_then(|value| Percent::new(*value).ok());
        percent.map_or(HealthState::Healthy, HealthState::Ramping)
    }
}
