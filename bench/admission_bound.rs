//! Whether any client account gets more than its rate and burst.

use std::time::Duration;

use actix_rt::time::sleep;

use crate::load_run::LoadRun;
use crate::measure_bench::MeasureBench;
use crate::measure_row::MeasureRow;
use crate::over_admission::worst_excess;
use crate::request_kind::RequestKind;

const MEASURE: &str = "over-admission";
const LEAD: Duration = Duration::from_secs(4);
const AFTER: Duration = Duration::from_secs(6);
const TIMES_RATE: f64 = 3.0;
const KILLED: usize = 3;
const PAUSED: usize = 4;
const PAUSE: Duration = Duration::from_secs(2);
/// Accounts that send too much; small ones, so that the instances keep up.
const GREEDY: [usize; 3] = [4, 5, 6];

/// Three accounts send three times their rates, while one daemon is killed and one paused.
pub async fn measure(bench: &mut MeasureBench) -> Vec<MeasureRow> {
    bench.settle().await;
    let streams = GREEDY.map(|account| {
        let rate = bench.accounts[account].rate as f64 * TIMES_RATE;
        bench.stream(account, RequestKind::Lookup, rate)
    });
    let run = LoadRun::spawn(streams.to_vec(), bench.seed);
    sleep(LEAD).await;
    bench.fleet.daemons[KILLED].process.kill();
    bench.fleet.daemons[PAUSED].process.pause();
    sleep(PAUSE).await;
    bench.fleet.daemons[PAUSED].process.resume();
    sleep(AFTER).await;
    let records = run.stop().await;
    bench.fleet.daemons[KILLED].restart();
    bench.fleet.daemons[KILLED].ready().await;
    let rows = GREEDY.map(|account| {
        let plan = &bench.accounts[account];
        let excess = worst_excess(&records, account, plan.rate, plan.burst);
        let own = records.filtered(|record| record.account == account);
        let note = format!(
            "rate {}/s, burst {}; {}",
            plan.rate,
            plan.burst,
            own.summary()
        );
        MeasureRow::at_most(MEASURE, &plan.name, excess.max(0.0), "requests", 0.0).with_note(note)
    });
    rows.to_vec()
}
