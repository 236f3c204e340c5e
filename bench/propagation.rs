//! Measures the time until a configuration change is in effect on every daemon.

use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use awc::http::StatusCode;
use futures_util::future::join_all;

use crate::bench_fixture::BenchFixture;
use crate::common::CallerClient;
use crate::measure_row::MeasureRow;

const MEASURE: &str = "propagation";
/// Number of keys that are issued and withdrawn.
const CHANGES: usize = 5;
const POLL: Duration = Duration::from_millis(10);
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(20);
const AIM_SECONDS: f64 = 3.0;

/// Issues and withdraws keys through different daemons and polls every daemon until it accepts or
/// refuses the key.
pub async fn measure(fixture: &BenchFixture) -> Vec<MeasureRow> {
    let (mut issued, mut withdrawn) = (Vec::new(), Vec::new());
    for index in 0..CHANGES {
        let resources = fixture.fleet.resources(index * 3);
        let key = format!("fresh-{}-{index}", fixture.seed);
        let account = &fixture.accounts[fixture.check_account()].name;
        let secret = resources.issue_key(&key, account).await;
        issued.push(seconds_until_effective(fixture, &secret, true).await);
        let answer = resources.withdraw_key(&key).await;
        assert!(answer.status.is_success(), "{}", answer.text());
        withdrawn.push(seconds_until_effective(fixture, &secret, false).await);
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

/// Seconds until every daemon accepts the key, or refuses it; infinite after 20 s.
async fn seconds_until_effective(fixture: &BenchFixture, secret: &str, accepts: bool) -> f64 {
    let started = Instant::now();
    let polls = fixture.fleet.daemons.iter().map(|daemon| {
        let caller = daemon.caller().with_key(secret);
        async move { poll_until(&caller, accepts).await }
    });
    match timeout(PROPAGATION_TIMEOUT, join_all(polls)).await {
        Ok(_) => started.elapsed().as_secs_f64(),
        Err(_) => f64::INFINITY,
    }
}

async fn poll_until(caller: &CallerClient, accepts: bool) {
    loop {
        // The key is checked before the route, so an unknown path shows whether the key is
        // accepted.
        let answer = caller.get("/no-such-route").await;
        let is_known = answer.map(|answer| answer.status != StatusCode::UNAUTHORIZED);
        if is_known == Ok(accepts) {
            return;
        }
        sleep(POLL).await;
    }
}
