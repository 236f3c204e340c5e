//! Callers that come back after a refusal, as the proxy tells them to.

use std::collections::BTreeMap;
use std::time::Duration;

use super::SECOND;

/// Longest time that a caller takes to come back after the time that it was told, in microseconds.
pub const RETURN_DELAY: u64 = 5_000;
/// A caller waits for at most this part of the time that it has left.
const ACCEPTED_PART: u64 = 3;

/// One call, which may take several requests.
#[derive(Debug, Clone, Copy)]
pub struct FloodCaller {
    pub deadline: u64,
    pub arrived: u64,
    /// Whether the request comes at a time that a refusal named.
    pub is_told: bool,
}

/// The callers with a request in progress, by request, and counts of their outcomes.
#[derive(Debug, Default)]
pub struct FloodCallers {
    /// Time that each caller has, in microseconds; 0 if callers do not come back.
    pub patience: u64,
    callers: BTreeMap<usize, FloodCaller>,
    /// Arrival, time until the refusal, and retry delay of each refused request.
    pub refusals: Vec<(u64, u64, u64)>,
    /// Arrival of each request that came back when told, and whether it was admitted.
    pub returns: Vec<(u64, bool)>,
    /// Arrival of each new request, and whether it was admitted.
    pub first_tries: Vec<(u64, bool)>,
    /// Refusal and retry delay of each caller that did not accept the delay.
    pub declined: Vec<(u64, u64)>,
}

impl FloodCallers {
    pub fn new_caller(&self, now: u64) -> FloodCaller {
        FloodCaller {
            deadline: now + self.patience,
            arrived: now,
            is_told: false,
        }
    }

    pub fn begin(&mut self, request: usize, caller: FloodCaller) {
        if self.patience > 0 {
            self.callers.insert(request, caller);
        }
    }

    pub fn admitted(&mut self, request: usize) {
        if let Some(caller) = self.callers.remove(&request) {
            self.record(caller, true);
        }
    }

    /// Records a refusal. Returns the caller and its wait if it comes back.
    pub fn refused(
        &mut self,
        request: usize,
        retry_after: Duration,
        now: u64,
    ) -> Option<(FloodCaller, u64)> {
        let caller = self.callers.remove(&request)?;
        self.record(caller, false);
        let wait = u64::try_from(retry_after.as_micros()).unwrap();
        self.refusals
            .push((caller.arrived, now - caller.arrived, wait));
        if wait * ACCEPTED_PART > caller.deadline.saturating_sub(now) {
            self.declined.push((now, wait));
            return None;
        }
        let returning = FloodCaller {
            is_told: true,
            ..caller
        };
        Some((returning, wait))
    }

    /// Longest time in microseconds that a request arriving in `span` took until its refusal, and
    /// the mean.
    pub fn refusal_times(&self, span: std::ops::Range<u64>) -> (u64, u64) {
        let inside = self.refusals.iter().filter(|one| span.contains(&one.0));
        let times: Vec<u64> = inside.map(|one| one.1).collect();
        let mean = times.iter().sum::<u64>() / times.len().max(1) as u64;
        (times.iter().copied().max().unwrap_or(0), mean)
    }

    /// Percentage of admitted requests among those in `counts` that arrived in `span`.
    pub fn admitted_percent(counts: &[(u64, bool)], span: &std::ops::Range<u64>) -> f64 {
        let inside = || counts.iter().filter(|one| span.contains(&one.0));
        let admitted = inside().filter(|one| one.1).count();
        admitted as f64 * 100.0 / inside().count().max(1) as f64
    }

    fn record(&mut self, caller: FloodCaller, is_admitted: bool) {
        let counts = match caller.is_told {
            true => &mut self.returns,
            false => &mut self.first_tries,
        };
        counts.push((caller.arrived, is_admitted));
    }
}

/// Parts of the fleet that are cut off, each for a span of time in microseconds.
#[derive(Debug, Default)]
pub struct CutPlan {
    /// Nodes that do not reach the platform.
    pub platform: (std::ops::Range<u64>, std::ops::Range<usize>),
    /// Nodes that reach only each other.
    pub partition: (std::ops::Range<u64>, std::ops::Range<usize>),
}

impl CutPlan {
    pub fn cuts_platform(&self, node: usize, now: u64) -> bool {
        self.platform.0.contains(&now) && self.platform.1.contains(&node)
    }

    pub fn cuts_link(&self, from: usize, to: usize, now: u64) -> bool {
        let (span, nodes) = &self.partition;
        span.contains(&now) && nodes.contains(&from) != nodes.contains(&to)
    }
}

/// A span between two times in seconds.
pub const fn seconds(from: u64, to: u64) -> std::ops::Range<u64> {
    from * SECOND..to * SECOND
}
