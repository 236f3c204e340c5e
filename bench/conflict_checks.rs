//! Measures the latency of internal checks while lookups overload their service.

use std::time::Duration;

use crate::bench_fixture::BenchFixture;
use crate::load_run::run_for_duration;
use crate::measure_row::MeasureRow;
use crate::request_kind::{ARCHIVE, RequestKind};
use crate::request_record::RequestRecord;

const MEASURE: &str = "conflict checks";
const LOAD_DURATION: Duration = Duration::from_secs(8);
/// Rate of the lookups, as a multiple of the service's capacity.
const OVERLOAD: f64 = 1.6;
const AIM_TIMES_IDLE: f64 = 2.0;
const QUANTILE: f64 = 0.99;

/// Compares the latency of internal checks under overload with that on an idle service.
pub async fn measure(fixture: &BenchFixture) -> Vec<MeasureRow> {
    let idle = run_for_duration(vec![fixture.check_stream()], fixture.seed, LOAD_DURATION).await;
    let mut streams = vec![fixture.check_stream()];
    for account in fixture.client_accounts() {
        let rate = OVERLOAD * fixture.account_share(account) * fixture.capacity(ARCHIVE);
        streams.push(fixture.stream(account, RequestKind::History, rate));
    }
    let loaded = run_for_duration(streams, fixture.seed, LOAD_DURATION).await;
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
