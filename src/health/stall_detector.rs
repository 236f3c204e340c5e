//! Whether an instance finishes anything at all.

use std::time::Duration;

use serde::Serialize;

use crate::time::MonoTime;

/// Usual service times without an answer that make a stall.
const STALL_RATIO: u32 = 8;
/// The same for a first doubt, which costs little when it is wrong.
const DOUBT_RATIO: u32 = 4;
/// Shortest silence that counts.
const MIN_STALL: Duration = Duration::from_millis(250);
/// Silence that makes a stall where no usual service time is known: far longer than most services
/// take.
const UNKNOWN_STALL: Duration = Duration::from_secs(2);
/// Multiple of the longest service time seen that makes one there, where that is longer: service
/// times of one class seldom differ by more.
const UNKNOWN_RATIO: u32 = 2;
/// Gap between ticks that shows a pause of this process.
const PAUSE_GAP: Duration = Duration::from_millis(600);

/// Sees requests that run without end while nothing else finishes.
#[derive(Debug, Clone, Serialize)]
pub(super) struct StallDetector {
    finished_at: MonoTime,
    ticked_at: MonoTime,
    /// The longest service time of a good answer.
    longest: Duration,
}

impl StallDetector {
    /// A watch that has seen nothing.
    pub(super) const fn open() -> Self {
        Self {
            finished_at: MonoTime::ZERO,
            ticked_at: MonoTime::ZERO,
            longest: Duration::ZERO,
        }
    }

    /// The instance has answered.
    pub(super) fn finished(&mut self, now: MonoTime) {
        self.finished_at = self.finished_at.max(now);
    }

    /// The answer was good and took `service_time`.
    pub(super) fn served(&mut self, service_time: Duration) {
        self.longest = self.longest.max(service_time);
    }

    /// Notes a tick; true when this process had stopped for a while before it.
    pub(super) fn has_paused(&mut self, now: MonoTime) -> bool {
        let gap = now.since(self.ticked_at);
        let has_paused = self.ticked_at > MonoTime::ZERO && gap >= PAUSE_GAP;
        self.ticked_at = now;
        if has_paused {
            self.finished_at = now;
        }
        has_paused
    }

    /// Whether the oldest request runs for so long that the instance may be about to stall.
    pub(super) fn is_slow(
        &self,
        running_oldest: Option<Duration>,
        usual: Option<Duration>,
        now: MonoTime,
    ) -> bool {
        let (Some(oldest), Some(usual)) = (running_oldest, usual) else {
            return false;
        };
        let silence = oldest.min(now.since(self.finished_at));
        silence >= (usual * DOUBT_RATIO).max(MIN_STALL)
    }

    /// How long the instance has been stalled, when it has.
    pub(super) fn stalled_for(
        &self,
        running_oldest: Option<Duration>,
        usual: Option<Duration>,
        now: MonoTime,
    ) -> Option<Duration> {
        let silence = running_oldest?.min(now.since(self.finished_at));
        let limit = match usual {
            Some(usual) => (usual * STALL_RATIO).max(MIN_STALL),
            None => (self.longest * UNKNOWN_RATIO).max(UNKNOWN_STALL),
        };
        (silence >= limit).then_some(silence)
    }
}
