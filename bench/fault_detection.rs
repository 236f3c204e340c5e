//! When a sick instance stopped getting new work.

use std::time::Duration;

use crate::load_records::LoadRecords;
use crate::request_record::{RequestOutcome, RequestRecord};

/// Work counts as new to the instance within windows of this length.
const WINDOW: Duration = Duration::from_secs(1);
/// An instance is out once it gets less than this part of its fair share.
const OUT_PART: f64 = 0.05;

/// What a sick instance does to callers.
#[derive(Debug, Clone, Copy)]
pub struct SickWatch<'a> {
    /// Every request to the service of the instance.
    pub records: &'a LoadRecords,
    /// The sick instance.
    pub instance: &'a str,
    /// All instances of the service.
    pub instances: usize,
    /// When it turned sick.
    pub from: Duration,
    /// When it was made well again.
    pub until: Duration,
    /// An answer later than this was held up.
    pub slow: Duration,
}

impl SickWatch<'_> {
    /// Time from the fault until the start of a window in which the instance gets no new work,
    /// or none when that never came.
    pub fn detection(&self) -> Option<Duration> {
        let hits = self.hits();
        let mut starts = vec![self.from];
        starts.extend(hits.iter().map(|hit| *hit + Duration::from_micros(1)));
        let last = self.until.checked_sub(WINDOW)?;
        starts
            .into_iter()
            .filter(|start| *start >= self.from && *start <= last)
            .find(|start| self.is_out(&hits, *start))
            .map(|start| start.saturating_sub(self.from))
    }

    fn is_out(&self, hits: &[Duration], start: Duration) -> bool {
        let end = start + WINDOW;
        let within = hits.iter().filter(|hit| **hit >= start && **hit < end);
        let asked = self.records.between(start, end).len();
        let fair = asked as f64 / self.instances as f64;
        within.count() as f64 <= (OUT_PART * fair).max(1.0)
    }

    /// When requests were sent that met this instance, or that came to harm without an answer.
    fn hits(&self) -> Vec<Duration> {
        let mut hits: Vec<Duration> = self
            .records
            .0
            .iter()
            .filter(|record| self.is_hit(record))
            .map(|record| record.intended)
            .collect();
        hits.sort();
        hits
    }

    fn is_hit(&self, record: &RequestRecord) -> bool {
        match record.outcome {
            RequestOutcome::OverRate => false,
            RequestOutcome::Answered => {
                record.instance.as_deref() == Some(self.instance) || record.latency() > self.slow
            }
            _ => true,
        }
    }
}
