//! Tests with real processes: a daemon that exits delivers the last responses to other daemons.

mod common;

use std::time::{Duration, Instant};

use awc::http::Method;
use common::{DeskFleet, FleetPlan, RelayMode, eventually};

/// Requests that run at the same time.
const REQUESTS: usize = 8;
/// Size of a response; it fits into the flow control window of a stream, so that the daemon beside the
/// instance hands it over at once.
const RESPONSE_BYTES: usize = 240_000;
/// Rate of the link between the daemons. The responses take 4 s together, and the daemon beside the
/// instance has nothing else to wait for after 2.3 s.
const BYTES_PER_SECOND: u64 = 480_000;

/// Two daemons whose only ready instance is beside the second, with relays between the daemons.
async fn open_desk(name: &str) -> DeskFleet {
    let plan = FleetPlan {
        has_relays: true,
        tables: "[proxy]\nshutdown = \"6s\"\n".to_owned(),
        ..FleetPlan::of(2)
    };
    let desk = DeskFleet::open_with(name, plan, |plan| plan.slots = 12).await;
    let order = "{\"phase\":\"draining\"}";
    desk.fleet.backends[0].control(order).await;
    let mut served_in_a_row = 0;
    eventually("an instance that drains", async || {
        let answer = desk.caller(0).get("/lookups/1").await.unwrap();
        let is_other = answer.header("x-instance") == "desk-2";
        served_in_a_row = if is_other { served_in_a_row + 1 } else { 0 };
        served_in_a_row > 20
    })
    .await;
    desk
}

/// Guards against a response of an instance that is lost when the daemon beside it exits, because its
/// bytes are still on their way to the other daemon.
#[actix_rt::test]
async fn response_on_its_way() {
    let mut desk = open_desk("closing-response").await;
    desk.fleet.request_relays[1].set(RelayMode::Rate(BYTES_PER_SECOND));
    let caller = desk.caller(0).with_header("x-deadline-ms", "30000");
    let send = |number: usize| {
        let caller = caller.clone();
        actix_rt::spawn(async move {
            let (target, tag) = (format!("/filings?bytes={RESPONSE_BYTES}"), tag(number));
            caller.send(Method::POST, &target, &tag, b"").await
        })
    };
    let sending: Vec<_> = (0..REQUESTS).map(send).collect();
    eventually("the work of the instance", async || {
        desk.times_ran(&tag(REQUESTS - 1)).await == 1
    })
    .await;
    let stopped_at = Instant::now();
    desk.fleet.daemons[1].process.terminate();
    let status = desk.fleet.daemons[1].process.ended().await;
    let stopped_after = stopped_at.elapsed();
    for (number, sending) in sending.into_iter().enumerate() {
        let answer = sending.await.unwrap().unwrap();
        assert!(
            answer.answers(&tag(number), b""),
            "{number}: {}",
            answer.status
        );
    }
    assert!(status.success(), "{status}");
    assert!(stopped_after < Duration::from_secs(6), "{stopped_after:?}");
}

fn tag(number: usize) -> String {
    format!("last-{number}")
}
