//! Measures the fraction of requests that the worst-served client account gets answered in time.

use std::time::Duration;

use crate::bench_fixture::BenchFixture;
use crate::load_records::LoadRecords;
use crate::load_run::{deadline, run_for_duration};
use crate::load_stream::LoadStream;
use crate::measure_row::MeasureRow;
use crate::over_admission::worst_excess;
use crate::request_kind::RequestKind;

const MEASURE: &str = "worst-served account";
const LOAD_DURATION: Duration = Duration::from_secs(8);
const HALF_LOAD: f64 = 0.5;
/// Index of the account that exceeds its rate.
const FLOODING_ACCOUNT: usize = 0;
const RATE_FACTOR: f64 = 5.0;
/// Fraction of the desk service's instances that are faulty.
const FAULTY_FRACTION: f64 = 0.2;
const AIM: f64 = 0.99;
const AIM_WITH_FAULTS: f64 = 0.95;
/// Faults that are assigned to the faulty instances in rotation.
const FAULTS: [&str; 4] = [
    "{\"slow\":10}",
    "\"frozen\"",
    "{\"failing\":\"30%\"}",
    "\"cut\"",
];

/// Measures three cases: an account that exceeds its rate, faulty instances, and both.
pub async fn measure(fixture: &BenchFixture) -> Vec<MeasureRow> {
    let cases = [
        ("another sends 5x its rate", true, false, AIM),
        ("20% of instances sick", false, true, AIM_WITH_FAULTS),
        ("both", true, true, AIM_WITH_FAULTS),
    ];
    let mut rows = Vec::new();
    for (case, is_flooding, is_faulty, aim) in cases {
        fixture.reset().await;
        if is_faulty {
            inject_faults(fixture).await;
        }
        let records =
            run_for_duration(streams(fixture, is_flooding), fixture.seed, LOAD_DURATION).await;
        records.print_failures(case);
        rows.push(row(fixture, case, aim, is_flooding, &records));
    }
    fixture.reset().await;
    rows
}

fn row(
    fixture: &BenchFixture,
    case: &str,
    aim: f64,
    is_flooding: bool,
    records: &LoadRecords,
) -> MeasureRow {
    let within_rate = fixture
        .client_accounts()
        .filter(|account| !is_flooding || *account != FLOODING_ACCOUNT);
    let fractions: Vec<(usize, f64)> = within_rate
        .filter_map(|account| Some((account, records.served_fraction(account, deadline())?)))
        .collect();
    let lowest = fractions
        .iter()
        .min_by(|one, other| one.1.total_cmp(&other.1));
    let (account, fraction) = lowest.copied().unwrap_or_default();
    let account_records = records.filtered(|record| record.account == account);
    let flooding_plan = &fixture.accounts[FLOODING_ACCOUNT];
    let excess = worst_excess(
        records,
        FLOODING_ACCOUNT,
        flooding_plan.rate,
        flooding_plan.burst,
    );
    let note = format!(
        "{}: {}; all {}; excess of the largest {excess:.0}",
        fixture.accounts[account].name,
        account_records.summary(),
        records.summary()
    );
    MeasureRow::at_least(MEASURE, case, fraction, "served in time", aim).with_note(note)
}

fn streams(fixture: &BenchFixture, is_flooding: bool) -> Vec<LoadStream> {
    let mut streams = fixture.streams(HALF_LOAD);
    if is_flooding {
        streams.retain(|stream| stream.account != FLOODING_ACCOUNT);
        let rate = fixture.accounts[FLOODING_ACCOUNT].rate as f64 * RATE_FACTOR;
        streams.push(fixture.stream(FLOODING_ACCOUNT, RequestKind::Lookup, rate));
    }
    streams
}

async fn inject_faults(fixture: &BenchFixture) {
    let desk_instances = fixture.shape.desk_instances();
    let faulty_count = (desk_instances as f64 * FAULTY_FRACTION).round() as usize;
    for (index, fault) in FAULTS.iter().cycle().take(faulty_count).enumerate() {
        fixture.fleet.backends[desk_instances - 1 - index]
            .fault(fault)
            .await;
    }
}
