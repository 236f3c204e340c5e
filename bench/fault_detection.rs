//! Computes how long after a fault an instance stops getting new requests.

use std::time::Duration;

use crate::load_records::LoadRecords;
use crate::request_record::{RequestOutcome, RequestRecord};

/// Length of the window in which the instance must get almost no requests.
const WINDOW: Duration = Duration::from_secs(1);
/// An instance is avoided if it gets at most this fraction of its fair share of a window's
/// requests.
const MAX_RELATIVE_SHARE: f64 = 0.05;

/// The requests to a service around the fault of one instance; times count from the start of the
/// load.
#[derive(Debug, Clone, Copy)]
pub struct FaultDetection<'a> {
    /// Every request to the service.
    pub records: &'a LoadRecords,
    /// Name of the faulty instance.
    pub instance: &'a str,
    /// Number of instances of the service.
    pub instances: usize,
    /// When the fault was injected.
    pub from: Duration,
    /// When the fault was removed.
    pub until: Duration,
    /// A response slower than this counts as affected by the fault, whichever instance sent it.
    pub slow_threshold: Duration,
}

impl FaultDetection<'_> {
    /// Time from the fault until the start of the first window in which the instance is avoided;
    /// `None` if there is none.
    pub fn delay(&self) -> Option<Duration> {
        let affected_times = self.affected_times();
        let mut starts = vec![self.from];
        starts.extend(
            affected_times
                .iter()
                .map(|time| *time + Duration::from_micros(1)),
        );
        let last = self.until.checked_sub(WINDOW)?;
        starts
            .into_iter()
            .filter(|start| *start >= self.from && *start <= last)
            .find(|start| self.is_avoided(&affected_times, *start))
            .map(|start| start.saturating_sub(self.from))
    }

    /// Whether the window at `start` has at most one affected request or 5% of a fair share.
    fn is_avoided(&self, affected_times: &[Duration], start: Duration) -> bool {
        let end = start + WINDOW;
        let within = affected_times
            .iter()
            .filter(|time| **time >= start && **time < end);
        let sent = self.records.between(start, end).len();
        let fair = sent as f64 / self.instances as f64;
        within.count() as f64 <= (MAX_RELATIVE_SHARE * fair).max(1.0)
    }

    /// Due times, in order, of the requests that the fault affected.
    fn affected_times(&self) -> Vec<Duration> {
        let mut affected_times: Vec<Duration> = self
            .records
            .0
            .iter()
            .filter(|record| self.is_affected(record))
            .map(|record| record.intended)
            .collect();
        affected_times.sort();
        affected_times
    }

    /// Whether the request was served by the instance, was delayed or failed for another reason
    /// than its rate.
    fn is_affected(&self, record: &RequestRecord) -> bool {
        match record.outcome {
            RequestOutcome::OverRate => false,
            RequestOutcome::Answered => {
                record.instance.as_deref() == Some(self.instance)
                    || record.latency() > self.slow_threshold
            }
            _ => true,
        }
    }
}
