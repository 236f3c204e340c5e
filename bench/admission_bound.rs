//! Measures whether a client account is admitted beyond its rate and burst.

use std::time::Duration;

use actix_rt::time::sleep;

use crate::bench_fixture::BenchFixture;
use crate::load_run::LoadRun;
use crate::measure_row::MeasureRow;
use crate::over_admission::worst_excess;
use crate::request_kind::RequestKind;

const MEASURE: &str = "over-admission";
const WARM_UP: Duration = Duration::from_secs(4);
const OBSERVATION: Duration = Duration::from_secs(6);
const RATE_FACTOR: f64 = 3.0;
/// Index of the daemon that is killed.
const KILLED: usize = 3;
/// Index of the daemon that is paused.
const PAUSED: usize = 4;
const PAUSE: Duration = Duration::from_secs(2);
/// Indices of the accounts that exceed their rates; their rates are small, so that the instances
/// keep up.
const FLOODING_ACCOUNTS: [usize; 3] = [4, 5, 6];

/// Sends three times the rate of three accounts while one daemon is killed and another is paused.
pub async fn measure(fixture: &mut BenchFixture) -> Vec<MeasureRow> {
    fixture.reset().await;
    let streams = FLOODING_ACCOUNTS.map(|account| {
        let rate = fixture.accounts[account].rate as f64 * RATE_FACTOR;
        fixture.stream(account, RequestKind::Lookup, rate)
    });
    let run = LoadRun::spawn(streams.to_vec(), fixture.seed);
    sleep(WARM_UP).await;
    fixture.fleet.daemons[KILLED].process.kill();
    fixture.fleet.daemons[PAUSED].process.pause();
    sleep(PAUSE).await;
    fixture.fleet.daemons[PAUSED].process.resume();
    sleep(OBSERVATION).await;
    let records = run.stop().await;
    fixture.fleet.daemons[KILLED].restart();
    fixture.fleet.daemons[KILLED].ready().await;
    let rows = FLOODING_ACCOUNTS.map(|account| {
        let plan = &fixture.accounts[account];
        let excess = worst_excess(&records, account, plan.rate, plan.burst);
        let account_records = records.filtered(|record| record.account == account);
        let note = format!(
            "rate {}/s, burst {}; {}",
            plan.rate,
            plan.burst,
            account_records.summary()
        );
        MeasureRow::at_most(MEASURE, &plan.name, excess.max(0.0), "requests", 0.0).with_note(note)
    });
    rows.to_vec()
}
