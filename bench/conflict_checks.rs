//! Internal checks while lookups overload the archive.

use std::time::Duration;

use crate::load_run::run_for;
use crate::measure_bench::MeasureBench;
use crate::measure_row::MeasureRow;
use crate::request_kind::{ARCHIVE, RequestKind};
use crate::request_record::RequestRecord;

const MEASURE: &str = "conflict checks";
const LENGTH: Duration = Duration::from_secs(8);
/// Lookups of the archive, in times of its capacity.
const OVERLOAD: f64 = 1.6;
const AIM_TIMES_IDLE: f64 = 2.0;
const QUANTILE: f64 = 0.99;

/// Compares the checks' latency while idle with that under overload.
pub async fn measure(bench: &MeasureBench) -> Vec<MeasureRow> {
    let idle = run_for(vec![bench.checks()], bench.seed, LENGTH).await;
    let mut streams = vec![bench.checks()];
    for account in bench.clients() {
        let rate = OVERLOAD * bench.account_share(account) * bench.capacity(ARCHIVE);
        streams.push(bench.stream(account, RequestKind::History, rate));
    }
    let loaded = run_for(streams, bench.seed, LENGTH).await;
    let checks = loaded.of_kind(RequestKind::Check);
    let before = idle.quantile_millis(QUANTILE, RequestRecord::latency);
    let under = checks.quantile_millis(QUANTILE, RequestRecord::latency);
    let note = format!(
        "idle {before:.1} ms, overloaded {under:.1} ms; checks {}; lookups {}",
        checks.summary(),
        loaded.of_kind(RequestKind::History).summary()
    );
    let row = MeasureRow::at_most(
        MEASURE,
        "p99 under overload",
        under / before,
        "times idle",
        AIM_TIMES_IDLE,
    );
    vec![row.with_note(note)]
}
