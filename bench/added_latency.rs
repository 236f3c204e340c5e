//! Measures the latency that the proxies add to direct requests.

use std::net::SocketAddr;
use std::time::Duration;

use crate::bench_fixture::BenchFixture;
use crate::load_records::LoadRecords;
use crate::load_run::run_for_duration;
use crate::load_stream::LoadStream;
use crate::measure_row::MeasureRow;
use crate::request_kind::DESK;
use crate::request_record::RequestRecord;

const MEASURE: &str = "added latency";
/// Proxied and direct load alternate, so that disturbances of the machine affect both alike.
const ROUNDS: u64 = 3;
const ROUND_DURATION: Duration = Duration::from_secs(2);
const UNLOADED_FRACTION: f64 = 0.1;
const LOADED_FRACTION: f64 = 0.7;
const AIM_MILLIS: f64 = 3.0;
const QUANTILE: f64 = 0.99;

/// Compares the latency without service time of proxied and direct requests, at two loads.
pub async fn measure(fixture: &BenchFixture) -> Vec<MeasureRow> {
    let mut rows = Vec::new();
    for (case, fraction) in [
        ("unloaded", UNLOADED_FRACTION),
        ("at 70% of slots", LOADED_FRACTION),
    ] {
        let (mut proxied, mut direct) = (LoadRecords::default(), LoadRecords::default());
        for round in 0..ROUNDS {
            let seed = fixture.seed + round;
            proxied.extend(run_for_duration(fixture.streams(fraction), seed, ROUND_DURATION).await);
            direct.extend(
                run_for_duration(direct_streams(fixture, fraction), seed, ROUND_DURATION).await,
            );
        }
        proxied.print_failures(case);
        rows.push(row(case, &proxied, &direct));
    }
    rows
}

fn row(case: &str, proxied: &LoadRecords, direct: &LoadRecords) -> MeasureRow {
    let of = |records: &LoadRecords| records.quantile_millis(QUANTILE, RequestRecord::overhead);
    let (proxied_millis, direct_millis) = (of(proxied), of(direct));
    let median = proxied.quantile_millis(0.5, RequestRecord::overhead);
    let note = format!(
        "through {proxied_millis:.2} ms, median {median:.2} ms; straight {direct_millis:.2} ms; {}; straight {}",
        proxied.summary(),
        direct.summary()
    );
    MeasureRow::at_most(
        MEASURE,
        case,
        proxied_millis - direct_millis,
        "ms at p99",
        AIM_MILLIS,
    )
    .with_note(note)
}

/// The streams of the fixture, sent to the instances directly.
fn direct_streams(fixture: &BenchFixture, fraction: f64) -> Vec<LoadStream> {
    let mut streams = fixture.streams(fraction);
    for stream in &mut streams {
        stream.secret.clear();
        stream.targets = instances_of(fixture, stream.kind.service());
    }
    streams
}

/// Addresses of the instances of `service`.
fn instances_of(fixture: &BenchFixture, service: &str) -> Vec<SocketAddr> {
    let desk_instances = fixture.shape.desk_instances();
    let backends = match service {
        DESK => &fixture.fleet.backends[..desk_instances],
        _ => &fixture.fleet.backends[desk_instances..fixture.shape.instances()],
    };
    backends.iter().map(|backend| backend.address).collect()
}
