//! Finds the largest excess of admitted requests over a token bucket's rate and burst.

use crate::load_records::LoadRecords;

/// Largest excess of admitted requests of `account` over `burst + rate * t`, in any window of `t`
/// seconds.
///
/// A request counts for a window only if it was both due and answered within it, so that the result
/// is a lower bound of the true excess. It is negative if every window is within the limit, and
/// negative infinity without admitted requests. For each start of a window, one pass over the
/// requests in the order of their ends finds the worst end.
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

/// Start times of the examined windows: at most 400 evenly chosen due times, which bounds the run
/// time and still finds a long excess.
fn window_starts(spans: &[(f64, f64)]) -> Vec<f64> {
    const MAX_STARTS: usize = 400;
    let mut sent: Vec<f64> = spans.iter().map(|span| span.0).collect();
    sent.sort_by(f64::total_cmp);
    let step = sent.len().div_ceil(MAX_STARTS).max(1);
    sent.into_iter().step_by(step).collect()
}
