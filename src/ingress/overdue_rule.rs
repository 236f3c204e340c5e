//! When an attempt of an idempotent request counts as overdue.

use std::time::Duration;

use crate::time::{Deadline, MonoTime};

/// Shortest time after which an attempt is overdue. Shorter ones would take a pause of a daemon for a
/// hanging instance.
const MIN_OVERDUE: Duration = Duration::from_millis(250);
/// Multiple of the usual time of the request after which an attempt is overdue.
const OVERDUE_TIMES: u32 = 20;

/// What is known of the time that an attempt takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverdueRule {
    /// Whether the response is large, so that a second one costs much.
    pub is_bulk: bool,
    /// How long requests of this kind usually take; none if unknown.
    pub usual_time: Option<Duration>,
    /// The longest wait for a slot that the offer permits.
    pub wait: Duration,
}

impl OverdueRule {
    /// Returns when an attempt that begins at `now` is overdue: after a multiple of the usual time, or else
    /// when half of the time is left for another attempt.
    #[must_use]
    pub fn overdue_at(&self, now: MonoTime, deadline: Deadline) -> Deadline {
        let half = deadline.remaining(now) / 2;
        let span = match self.usual_time {
            Some(usual_time) if !self.is_bulk => {
                (usual_time * OVERDUE_TIMES).max(MIN_OVERDUE) + self.wait
            }
            _ => half,
        };
        now.after(span.min(half))
    }
}
