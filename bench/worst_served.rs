//! How the client account that fares worst is served.

use std::time::Duration;

use crate::load_records::LoadRecords;
use crate::load_run::{deadline, run_for};
use crate::load_stream::LoadStream;
use crate::measure_bench::MeasureBench;
use crate::measure_row::MeasureRow;
use crate::over_admission::worst_excess;
use crate::request_kind::RequestKind;

const MEASURE: &str = "worst-served account";
const LENGTH: Duration = Duration::from_secs(8);
const HALF: f64 = 0.5;
const GREEDY: usize = 0;
const TIMES_RATE: f64 = 5.0;
const SICK_PART: f64 = 0.2;
const AIM: f64 = 0.99;
const AIM_WITH_SICK: f64 = 0.95;
/// Faults that the sick instances have in turn.
const FAULTS: [&str; 4] = [
    "{\"slow\":10}",
    "\"frozen\"",
    "{\"failing\":\"30%\"}",
    "\"cut\"",
];

/// Measures three situations: a greedy account, sick instances, and both.
pub async fn measure(bench: &MeasureBench) -> Vec<MeasureRow> {
    let cases = [
        ("another sends 5x its rate", true, false, AIM),
        ("20% of instances sick", false, true, AIM_WITH_SICK),
        ("both", true, true, AIM_WITH_SICK),
    ];
    let mut rows = Vec::new();
    for (case, is_greedy, is_sick, aim) in cases {
        bench.settle().await;
        if is_sick {
            make_sick(bench).await;
        }
        let records = run_for(streams(bench, is_greedy), bench.seed, LENGTH).await;
        records.tell_reasons(case);
        rows.push(row(bench, case, aim, is_greedy, &records));
    }
    bench.settle().await;
    rows
}

fn row(
    bench: &MeasureBench,
    case: &str,
    aim: f64,
    is_greedy: bool,
    records: &LoadRecords,
) -> MeasureRow {
    let within_rate = bench
        .clients()
        .filter(|account| !is_greedy || *account != GREEDY);
    let parts: Vec<(usize, f64)> = within_rate
        .filter_map(|account| Some((account, records.served_part(account, deadline())?)))
        .collect();
    let lowest = parts.iter().min_by(|one, other| one.1.total_cmp(&other.1));
    let (account, part) = lowest.copied().unwrap_or_default();
    let own = records.filtered(|record| record.account == account);
    let greedy = &bench.accounts[GREEDY];
    let excess = worst_excess(records, GREEDY, greedy.rate, greedy.burst);
    let note = format!(
        "{}: {}; all {}; excess of the largest {excess:.0}",
        bench.accounts[account].name,
        own.summary(),
        records.summary()
    );
    MeasureRow::at_least(MEASURE, case, part, "served in time", aim).with_note(note)
}

fn streams(bench: &MeasureBench, is_greedy: bool) -> Vec<LoadStream> {
    let mut streams = bench.streams(HALF);
    if is_greedy {
        streams.retain(|stream| stream.account != GREEDY);
        let rate = bench.accounts[GREEDY].rate as f64 * TIMES_RATE;
        streams.push(bench.stream(GREEDY, RequestKind::Lookup, rate));
    }
    streams
}

async fn make_sick(bench: &MeasureBench) {
    let desks = bench.shape.desks();
    let sick = (desks as f64 * SICK_PART).round() as usize;
    for (index, fault) in FAULTS.iter().cycle().take(sick).enumerate() {
        bench.fleet.backends[desks - 1 - index].fault(fault).await;
    }
}
