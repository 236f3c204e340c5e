//! Load figures of the `/load` endpoint, which lag behind the actual load.

use std::cell::Cell;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Maximum age of the reported figures.
const MAX_AGE: Duration = Duration::from_secs(2);

/// JSON body of `GET /load`.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct LoadReport {
    /// Number of requests that hold a slot.
    pub in_use: usize,
    /// Number of requests that wait for a slot.
    pub queued: usize,
}

/// Caches a load report for two seconds.
#[derive(Debug, Default)]
pub struct CachedLoad {
    /// The cached report and when it was taken.
    last: Cell<Option<(Instant, LoadReport)>>,
}

impl CachedLoad {
    /// The cached report, replaced by `present` once it is too old.
    pub fn report(&self, present: LoadReport) -> LoadReport {
        match self.last.get() {
            Some((taken, report)) if taken.elapsed() < MAX_AGE => report,
            _ => {
                self.last.set(Some((Instant::now(), present)));
                present
            }
        }
    }
}
