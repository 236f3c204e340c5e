//! The records of a load and figures drawn from them.

use std::time::Duration;

use hdrhistogram::Histogram;
use wagtailtrack::hash::FastMap;

use crate::request_kind::RequestKind;
use crate::request_record::{RequestOutcome, RequestRecord};

const LARGEST_MICROS: u64 = 120_000_000;
const MOST_REASONS: usize = 6;
const DIGITS: u8 = 3;

/// Records in the order of their ends.
#[derive(Debug, Default)]
pub struct LoadRecords(pub Vec<RequestRecord>);

impl LoadRecords {
    /// The records that `keep` accepts.
    pub fn filtered(&self, keep: impl Fn(&RequestRecord) -> bool) -> Self {
        Self(
            self.0
                .iter()
                .filter(|record| keep(record))
                .cloned()
                .collect(),
        )
    }

    /// Records of requests meant to be sent from `from` to `until`.
    pub fn between(&self, from: Duration, until: Duration) -> Self {
        self.filtered(|record| record.intended >= from && record.intended < until)
    }

    /// Records of one kind.
    pub fn of_kind(&self, kind: RequestKind) -> Self {
        self.filtered(|record| record.kind == kind)
    }

    /// Adds the records of another load.
    pub fn extend(&mut self, other: Self) {
        self.0.extend(other.0);
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Number of records with `outcome`.
    pub fn count(&self, outcome: RequestOutcome) -> usize {
        let same = |record: &&RequestRecord| record.outcome == outcome;
        self.0.iter().filter(same).count()
    }

    /// The quantile of a time of the answered requests, in milliseconds.
    pub fn quantile_millis(&self, quantile: f64, of: impl Fn(&RequestRecord) -> Duration) -> f64 {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LARGEST_MICROS, DIGITS) else {
            return f64::NAN;
        };
        for record in &self.0 {
            if record.outcome == RequestOutcome::Answered {
                histogram.saturating_record(of(record).as_micros() as u64);
            }
        }
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Part of the requests of `account` that were answered within `limit`.
    pub fn served_part(&self, account: usize, limit: Duration) -> Option<f64> {
        let asked = self.filtered(|record| record.account == account);
        let served = asked.0.iter().filter(|record| record.is_in_time(limit));
        (asked.len() > 0).then(|| served.count() as f64 / asked.len() as f64)
    }

    /// How the requests ended, in words.
    pub fn summary(&self) -> String {
        let counts = counted(self.0.iter().map(|record| format!("{:?}", record.outcome)));
        let parts: Vec<String> = counts
            .iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        let lag = self.worst_lag().as_millis();
        let parts = parts.join(", ");
        format!("{} asked: {parts}; sent up to {lag} ms late", self.len())
    }

    /// How late the load's own timers were at worst; large on a starved machine.
    pub fn worst_lag(&self) -> Duration {
        let lags = self.0.iter().map(|record| record.lag);
        lags.max().unwrap_or_default()
    }

    /// Tells on the standard error output why requests of `case` failed, most frequent first.
    pub fn tell_reasons(&self, case: &str) {
        let failed = self.0.iter().filter(|record| !record.reason.is_empty());
        let reasons = failed.map(|record| format!("{:?}: {}", record.outcome, record.reason));
        for (reason, count) in counted(reasons).iter().take(MOST_REASONS) {
            eprintln!("  {case}: {count} x {reason}");
        }
    }
}

/// How often each text occurs, most frequent first.
fn counted(texts: impl Iterator<Item = String>) -> Vec<(String, usize)> {
    let mut counts: FastMap<String, usize> = FastMap::default();
    for text in texts {
        *counts.entry(text).or_default() += 1;
    }
    let mut counts: Vec<(String, usize)> = counts.into_iter().collect();
    counts.sort_by(|one, other| other.1.cmp(&one.1).then_with(|| one.0.cmp(&other.0)));
    counts
}
