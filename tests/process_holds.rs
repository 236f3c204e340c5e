//! Tests with real processes: a slot that an instance holds for a request is given up in time.

mod common;

use std::time::Duration;

use common::{DeskFleet, FleetPlan, RelayMode};

/// One-way delay between the daemons, so that the pause begins between the offer and its reply.
const DELAY: Duration = Duration::from_millis(200);
/// Time from the request to the pause.
const OFFER_SENT: Duration = Duration::from_millis(250);
/// Pause of the daemon that accepted the request: longer than the hold of 500 ms.
const PAUSE: Duration = Duration::from_secs(1);

/// Guards against 502 for a request that an egress has refused as not run, because its slot was held in vain,
/// before the ingress could send the go.
#[actix_rt::test]
async fn hold_expires_in_pause() {
    let plan = FleetPlan {
        has_relays: true,
        ..FleetPlan::of(2)
    };
    let desk = DeskFleet::open_with("hold-expires", plan, |_| {}).await;
    desk.fleet.backends[0]
        .control("{\"phase\":\"draining\"}")
        .await;
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let relay = &desk.fleet.request_relays[1];
    relay.set(RelayMode::Delay(u64::try_from(DELAY.as_micros()).unwrap()));
    let (caller, tag) = (desk.caller(0), "held");
    let filing = actix_rt::spawn(async move {
        let caller = caller.with_header("x-deadline-ms", "10000");
        let method = awc::http::Method::POST;
        caller.send(method, "/filings", tag, tag.as_bytes()).await
    });
    actix_rt::time::sleep(OFFER_SENT).await;
    desk.fleet.daemons[0].process.pause();
    actix_rt::time::sleep(PAUSE).await;
    relay.set(RelayMode::Pass);
    desk.fleet.daemons[0].process.resume();
    let answer = filing.await.unwrap().unwrap();
    let runs = desk.times_ran(tag).await;
    let is_right = match answer.verdict() {
        "not-run" => runs == 0,
        "ran" => answer.answers(tag, tag.as_bytes()) && runs == 1,
        _ => false,
    };
    assert!(
        is_right,
        "ran {runs} times: {} {} {}",
        answer.status,
        answer.verdict(),
        answer.text()
    );
}
