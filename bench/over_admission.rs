//! Whether more was admitted in any window than burst and rate allow.

use crate::load_records::LoadRecords;

/// Requests of `account` that were surely admitted within some window, beyond `burst + rate * t`.
///
/// A request counts for a window only when it was sent and answered within it, so that the
/// figure never accuses wrongly. The worst window is found in one pass over the answers: the
/// excess of a window is the sum over its requests, less what the rate allows in its length.
pub fn worst_excess(records: &LoadRecords, account: usize, rate: u64, burst: u64) -> f64 {
    let mut spans: Vec<(f64, f64)> = records
        .0
        .iter()
        .filter(|record| record.account == account && record.is_admitted())
        .map(|record| (record.intended.as_secs_f64(), record.ended.as_secs_f64()))
        .collect();
    spans.sort_by(|one, other| one.1.total_cmp(&other.1));
    let starts = window_starts(&spans);
    let mut worst = f64::NEG_INFINITY;
    for start in starts {
        let mut count = 0.0;
        for (sent, ended) in spans.iter().filter(|span| span.0 >= start) {
            count += f64::from(u8::from(*sent >= start));
            worst = worst.max(count - burst as f64 - rate as f64 * (ended - start));
        }
    }
    worst
}

/// Some of the send times; enough to find a long excess, few enough to be quick.
fn window_starts(spans: &[(f64, f64)]) -> Vec<f64> {
    const MOST: usize = 400;
    let mut sent: Vec<f64> = spans.iter().map(|span| span.0).collect();
    sent.sort_by(f64::total_cmp);
    let step = sent.len().div_ceil(MOST).max(1);
    sent.into_iter().step_by(step).collect()
}
