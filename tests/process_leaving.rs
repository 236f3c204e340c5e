//! Tests with real processes: an instance that says in a response that it leaves gets no new requests.

mod common;

use std::time::Duration;

use common::{DeskFleet, FleetPlan, eventually};

/// How often the instance is asked for after it said that it leaves.
const REQUESTS: usize = 40;
/// Longer than the time between two announcements of the instance.
const RENEWALS: Duration = Duration::from_secs(3);

/// Guards against new requests to an instance whose responses say that it leaves, while its
/// announcements still call it ready.
#[actix_rt::test]
async fn leaving_response() {
    let desk = DeskFleet::open_with("leaving-response", FleetPlan::of(2), |_| {}).await;
    let leaving = &desk.fleet.backends[1];
    leaving.control("{\"leaving\":true}").await;
    let caller = desk.caller(0);
    eventually("a response that says so", async || {
        let answer = caller.get("/lookups/1").await;
        answer.is_ok_and(|answer| answer.header("x-instance-leaving") == "1")
    })
    .await;
    let before = leaving.ran().await.len();
    for round in 0..2 {
        for number in 0..REQUESTS {
            let tag = format!("{round}-{number}");
            let answer = desk.file(number % 2, &tag).await.unwrap();
            assert!(answer.answers(&tag, tag.as_bytes()), "{}", answer.text());
        }
        actix_rt::time::sleep(RENEWALS).await;
    }
    assert_eq!(leaving.ran().await.len(), before);
}
