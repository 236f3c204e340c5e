//! Recovery of an ejected instance: probes first, then a ramp of growing shares of the load.

use std::time::Duration;

use serde::Serialize;

use crate::time::{Deadline, MonoTime};
use crate::units::Percent;
use crate::wire::HealthState;

/// Good probes in a row that readmit an ejected instance.
const PROBES_NEEDED: u32 = 3;
/// Good responses in a row to requests of callers that readmit an ejected instance.
const REQUESTS_NEEDED: u32 = 10;
/// Time between the end of a probe and the next one.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a probe without a result is given up.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
/// Good responses in a row that complete a stage of the ramp.
const STAGE_REQUESTS: u32 = 6;
/// Shortest duration of a stage.
const STAGE_MIN_TIME: Duration = Duration::from_secs(1);
/// Time after which a stage ends without `STAGE_REQUESTS` good responses.
const STAGE_QUIET_TIME: Duration = Duration::from_secs(8);
/// Percent of its full load that an instance takes in each stage.
const STAGE_PERCENTS: [u8; 4] = [5, 10, 25, 50];

/// The stage of the ramp, and the good responses in a row since the ejection or since the stage
/// began.
#[derive(Debug, Clone, Serialize)]
pub(super) struct RecoveryProgress {
    /// Index in `STAGE_PERCENTS`; beyond its end the ramp is over.
    stage: usize,
    #[serde(rename = "stage_began")]
    stage_began_at: MonoTime,
    good: u32,
    /// When the next probe may be sent.
    next_probe: Deadline,
    is_probing: bool,
}

impl RecoveryProgress {
    /// Returns the state before any good response.
    pub(super) const fn open() -> Self {
        Self {
            stage: 0,
            stage_began_at: MonoTime::ZERO,
            good: 0,
            next_probe: Deadline::at(MonoTime::ZERO),
            is_probing: false,
        }
    }

    /// Begins a probe if one may be sent now, and returns whether it did.
    ///
    /// One probe runs at a time; one without a result is given up after 5 s.
    pub(super) fn begin_probe(&mut self, now: MonoTime) -> bool {
        if !self.next_probe.has_passed(now) {
            return false;
        }
        self.is_probing = true;
        self.next_probe = now.after(PROBE_TIMEOUT);
        true
    }

    /// Counts the result of a probe and returns whether enough were good in a row.
    ///
    /// A result without a probe in progress is ignored.
    pub(super) fn on_probe(&mut self, is_good: bool, now: MonoTime) -> bool {
        if !std::mem::take(&mut self.is_probing) {
            return false;
        }
        self.next_probe = now.after(PROBE_INTERVAL);
        self.count(is_good);
        self.good >= PROBES_NEEDED
    }

    /// Counts a request that an ejected instance has run, and returns whether enough were good in
    /// a row.
    pub(super) fn on_request(&mut self, is_good: bool) -> bool {
        self.count(is_good);
        self.good >= REQUESTS_NEEDED
    }

    /// Begins the first stage of the ramp and returns its state.
    pub(super) fn begin_ramp(&mut self, now: MonoTime) -> HealthState {
        self.begin_stage(0, now)
    }

    /// Begins the next stage if the present one is complete, and returns its state.
    ///
    /// The state after the last stage is `Healthy`.
    pub(super) fn advance(&mut self, now: MonoTime) -> Option<HealthState> {
        let passed = now.since(self.stage_began_at);
        let is_proven = self.good >= STAGE_REQUESTS && passed >= STAGE_MIN_TIME;
        let is_over = is_proven || passed >= STAGE_QUIET_TIME;
        is_over.then(|| self.begin_stage(self.stage + 1, now))
    }

    /// Counts a response in the present stage; one that is not good restarts the count.
    pub(super) const fn count(&mut self, is_good: bool) {
        self.good = if is_good { self.good + 1 } else { 0 };
    }

    /// Discards all progress.
    pub(super) fn reset(&mut self) {
        *self = Self::open();
    }

    fn begin_stage(&mut self, stage: usize, now: MonoTime) -> HealthState {
        self.stage = stage;
        self.stage_began_at = now;
        self.good = 0;
        self.is_probing = false;
        let percent = STAGE_PERCENTS.get(stage);
        let percent = percent.and_then(|value| Percent::new(*value).ok());
        percent.map_or(HealthState::Healthy, HealthState::Ramping)
    }
}
