//! When planned stops of a daemon began and ended.

use std::cell::RefCell;
use std::time::{Duration, Instant};

/// `proxy.shutdown` of every daemon.
pub const SHUTDOWN: Duration = Duration::from_secs(6);
/// From then on, a daemon that stops may give up requests whose work goes on.
const KEEPS_RUNNING: Duration = Duration::from_secs(5);
/// Requests that arrive later in a stop are not accepted unless they can complete.
const ACCEPTS: Duration = Duration::from_secs(3);

/// The planned stops of one daemon, oldest first.
#[derive(Debug, Default)]
pub struct StopTimes(RefCell<Vec<(Instant, Option<Instant>)>>);

impl StopTimes {
    /// Records that a stop begins.
    pub fn begin(&self) {
        self.0.borrow_mut().push((Instant::now(), None));
    }

    /// Records that the daemon has exited, and returns whether it took longer than `proxy.shutdown`.
    pub fn end(&self) -> bool {
        let mut stops = self.0.borrow_mut();
        let Some((begin, end)) = stops.last_mut() else {
            return false;
        };
        *end = Some(Instant::now());
        begin.elapsed() > SHUTDOWN
    }

    /// Whether a stop is in progress.
    pub fn is_stopping(&self) -> bool {
        self.0.borrow().last().is_some_and(|(_, end)| end.is_none())
    }

    /// Whether the daemon must not give up work from `start` to `end` of a request sent at `sent`: the work ends
    /// before the last sixth of each stop, or the request came too late in the stop to be accepted without
    /// being completed.
    pub fn allow(&self, sent: Instant, start: Instant, end: Instant) -> bool {
        self.0.borrow().iter().all(|(begin, exit)| {
            let is_over = exit.is_some_and(|exit| exit <= start);
            is_over || end < *begin + KEEPS_RUNNING || sent > *begin + ACCEPTS
        })
    }

    /// Begin and exit of the stops that were not over at `from`, by `show`.
    pub fn map(&self, from: Instant, show: impl Fn(Instant) -> i128) -> Vec<(i128, Option<i128>)> {
        let stops = self.0.borrow();
        let later = stops
            .iter()
            .filter(|(_, exit)| exit.is_none_or(|exit| exit > from));
        later
            .map(|(begin, exit)| (show(*begin), exit.map(&show)))
            .collect()
    }
}
