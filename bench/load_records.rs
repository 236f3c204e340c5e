//! Request records of a load run and statistics over them.

use std::time::Duration;

use hdrhistogram::Histogram;
use wagtailtrack::hash::FastMap;

use crate::request_kind::RequestKind;
use crate::request_record::{RequestOutcome, RequestRecord};

/// Latencies above two minutes are recorded as two minutes.
const MAX_MICROS: u64 = 120_000_000;
/// Number of failure reasons that are printed for a case.
const MAX_REASONS: usize = 6;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Request records, in the order in which the requests ended.
#[derive(Debug, Default)]
pub struct LoadRecords(pub Vec<RequestRecord>);

impl LoadRecords {
    /// Copies of the records that `keep` accepts.
    pub fn filtered(&self, keep: impl Fn(&RequestRecord) -> bool) -> Self {
        Self(
            self.0
                .iter()
                .filter(|record| keep(record))
                .cloned()
                .collect(),
        )
    }

    /// Records of the requests due at or after `from` and before `until`.
    pub fn between(&self, from: Duration, until: Duration) -> Self {
        self.filtered(|record| record.intended >= from && record.intended < until)
    }

    /// Records of requests of one kind.
    pub fn of_kind(&self, kind: RequestKind) -> Self {
        self.filtered(|record| record.kind == kind)
    }

    /// Appends the records of another load run.
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

    /// A quantile, in milliseconds, of the duration `of` of each answered request; NaN if the
    /// histogram cannot be created.
    pub fn quantile_millis(&self, quantile: f64, of: impl Fn(&RequestRecord) -> Duration) -> f64 {
        let Ok(mut histogram) =
            Histogram::<u64>::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
        else {
            return f64::NAN;
        };
        for record in &self.0 {
            if record.outcome == RequestOutcome::Answered {
                histogram.saturating_record(of(record).as_micros() as u64);
            }
        }
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Fraction of the requests of `account` that were answered within `limit`; `None` without
    /// requests.
    pub fn served_fraction(&self, account: usize, limit: Duration) -> Option<f64> {
        let sent = self.filtered(|record| record.account == account);
        let served = sent.0.iter().filter(|record| record.is_in_time(limit));
        (sent.len() > 0).then(|| served.count() as f64 / sent.len() as f64)
    }

    /// Number of requests by outcome, and the worst send delay, as text.
    pub fn summary(&self) -> String {
        let counts = count_occurrences(self.0.iter().map(|record| format!("{:?}", record.outcome)));
        let parts: Vec<String> = counts
            .iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        let lag = self.max_lag().as_millis();
        let parts = parts.join(", ");
        format!("{} asked: {parts}; sent up to {lag} ms late", self.len())
    }

    /// The longest delay of a request behind its due time; large on an overloaded machine.
    pub fn max_lag(&self) -> Duration {
        let lags = self.0.iter().map(|record| record.lag);
        lags.max().unwrap_or_default()
    }

    /// Prints the most frequent failure reasons of `case` to standard error.
    pub fn print_failures(&self, case: &str) {
        let failed = self.0.iter().filter(|record| !record.reason.is_empty());
        let reasons = failed.map(|record| format!("{:?}: {}", record.outcome, record.reason));
        for (reason, count) in count_occurrences(reasons).iter().take(MAX_REASONS) {
            eprintln!("  {case}: {count} x {reason}");
        }
    }
}

/// Number of occurrences of each text, most frequent first.
fn count_occurrences(texts: impl Iterator<Item = String>) -> Vec<(String, usize)> {
    let mut counts: FastMap<String, usize> = FastMap::default();
    for text in texts {
        *counts.entry(text).or_default() += 1;
    }
    let mut counts: Vec<(String, usize)> = counts.into_iter().collect();
    counts.sort_by(|one, other| other.1.cmp(&one.1).then_with(|| one.0.cmp(&other.0)));
    counts
}
