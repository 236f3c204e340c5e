//! The lagging load endpoint.

use std::cell::Cell;
use std::time::{Duration, Instant};

use serde::Serialize;

/// How old the figures may be.
const LAG: Duration = Duration::from_secs(2);

/// Figures of the load as the endpoint tells them.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct LoadReport {
    /// Slots in use.
    pub in_use: usize,
    /// Requests that wait.
    pub queued: usize,
}

/// Tells figures that were right up to two seconds ago.
#[derive(Debug, Default)]
pub struct LaggingLoad {
    last: Cell<Option<(Instant, LoadReport)>>,
}

impl LaggingLoad {
    /// The report to tell when `present` is the truth.
    pub fn tell(&self, present: LoadReport) -> LoadReport {
        match self.last.get() {
            Some((taken, report)) if taken.elapsed() < LAG => report,
            _ => {
                self.last.set(Some((Instant::now(), present)));
                present
            }
        }
    }
}
