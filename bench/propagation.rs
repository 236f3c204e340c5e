//! Time until an accepted change is in force on the last daemon.

use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use awc::http::StatusCode;
use futures_util::future::join_all;

use crate::common::CallerClient;
use crate::measure_bench::MeasureBench;
use crate::measure_row::MeasureRow;

const MEASURE: &str = "propagation";
const CHANGES: usize = 5;
const POLL: Duration = Duration::from_millis(10);
const LIMIT: Duration = Duration::from_secs(20);
const AIM_SECONDS: f64 = 3.0;

/// Issues and withdraws keys through different daemons and asks every daemon until it knows.
pub async fn measure(bench: &MeasureBench) -> Vec<MeasureRow> {
    let (mut issued, mut withdrawn) = (Vec::new(), Vec::new());
    for index in 0..CHANGES {
        let resources = bench.fleet.resources(index * 3);
        let key = format!("fresh-{}-{index}", bench.seed);
        let account = &bench.accounts[bench.checker()].name;
        let secret = resources.issue_key(&key, account).await;
        issued.push(in_force(bench, &secret, true).await);
        let answer = resources.withdraw_key(&key).await;
        assert!(answer.status.is_success(), "{}", answer.text());
        withdrawn.push(in_force(bench, &secret, false).await);
    }
    vec![
        row("a key issued", issued),
        row("a key withdrawn", withdrawn),
    ]
}

fn row(case: &str, mut seconds: Vec<f64>) -> MeasureRow {
    seconds.sort_by(f64::total_cmp);
    let median = seconds[seconds.len() / 2];
    let worst = seconds[seconds.len() - 1];
    let note = format!("median {median:.3} s of {CHANGES}");
    let case = format!("{case}, worst");
    MeasureRow::at_most(MEASURE, &case, worst, "s", AIM_SECONDS).with_note(note)
}

/// Seconds until every daemon accepts the key, or refuses it.
async fn in_force(bench: &MeasureBench, secret: &str, accepts: bool) -> f64 {
    let begun = Instant::now();
    let asking = bench.fleet.daemons.iter().map(|daemon| {
        let caller = daemon.caller().with_key(secret);
        async move { until(&caller, accepts).await }
    });
    match timeout(LIMIT, join_all(asking)).await {
        Ok(_) => begun.elapsed().as_secs_f64(),
        Err(_) => f64::INFINITY,
    }
}

async fn until(caller: &CallerClient, accepts: bool) {
    loop {
        // An unknown path is enough to learn whether the key is known.
        let answer = caller.get("/no-such-route").await;
        let is_known = answer.map(|answer| answer.status != StatusCode::UNAUTHORIZED);
        if is_known == Ok(accepts) {
            return;
        }
        sleep(POLL).await;
    }
}
