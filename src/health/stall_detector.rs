//! Detection of instances that run requests but complete none.

use std::time::Duration;

use serde::Serialize;

use crate::time::MonoTime;

/// Multiple of the baseline service time without a completed request that counts as a stall.
const STALL_RATIO: u32 = 8;
/// Multiple that opens the circuit breaker, which costs little when the instance is healthy.
const BREAKER_RATIO: u32 = 4;
/// Lower limit of both times, for services with a very short baseline.
const MIN_STALL: Duration = Duration::from_millis(250);
/// Time without a completed request that counts as a stall while no baseline is known: far
/// longer than most services take.
const UNKNOWN_STALL: Duration = Duration::from_secs(2);
/// Multiple of the longest good service time that replaces `UNKNOWN_STALL` where it is longer.
/// The service times of one class seldom differ by more.
const UNKNOWN_RATIO: u32 = 2;
/// Gap between two ticks that shows that this process was paused.
const PAUSE_GAP: Duration = Duration::from_millis(600);

/// Detects that the oldest request of an instance runs on while no other completes.
#[derive(Debug, Clone, Serialize)]
pub(super) struct StallDetector {
    #[serde(rename = "finished_at")]
    responded_at: MonoTime,
    ticked_at: MonoTime,
    /// The longest service time of a good response.
    #[serde(rename = "longest")]
    longest_good: Duration,
}

impl StallDetector {
    /// Returns a detector without observations.
    pub(super) const fn open() -> Self {
        Self {
            responded_at: MonoTime::ZERO,
            ticked_at: MonoTime::ZERO,
            longest_good: Duration::ZERO,
        }
    }

    /// Notes that the instance has completed a request.
    pub(super) fn on_response(&mut self, now: MonoTime) {
        self.responded_at = self.responded_at.max(now);
    }

    /// Notes the service time of a good response.
    pub(super) fn on_good_response(&mut self, service_time: Duration) {
        self.longest_good = self.longest_good.max(service_time);
    }

    /// Notes a tick and returns whether this process was paused before it.
    pub(super) fn on_tick(&mut self, now: MonoTime) -> bool {
        let gap = now.since(self.ticked_at);
        let has_paused = self.ticked_at > MonoTime::ZERO && gap >= PAUSE_GAP;
        self.ticked_at = now;
        if has_paused {
            self.responded_at = now;
        }
        has_paused
    }

    /// Whether no request has completed for long enough to open the circuit breaker.
    ///
    /// `oldest_running_age` is the age of the oldest running request, `baseline_time` the baseline of the
    /// service. Without either the result is false.
    pub(super) fn trips_breaker(
        &self,
        oldest_running_age: Option<Duration>,
        baseline_time: Option<Duration>,
        now: MonoTime,
    ) -> bool {
        let (Some(oldest), Some(baseline_time)) = (oldest_running_age, baseline_time) else {
            return false;
        };
        let unresponsive_for = oldest.min(now.since(self.responded_at));
        unresponsive_for >= (baseline_time * BREAKER_RATIO).max(MIN_STALL)
    }

    /// How long a stalled instance has completed no request; `None` if it is not stalled.
    pub(super) fn stalled_for(
        &self,
        oldest_running_age: Option<Duration>,
        baseline_time: Option<Duration>,
        now: MonoTime,
    ) -> Option<Duration> {
        let unresponsive_for = oldest_running_age?.min(now.since(self.responded_at));
        let limit = match baseline_time {
            Some(baseline_time) => (baseline_time * STALL_RATIO).max(MIN_STALL),
            None => (self.longest_good * UNKNOWN_RATIO).max(UNKNOWN_STALL),
        };
        (unresponsive_for >= limit).then_some(unresponsive_for)
    }
}
