//! Requests that end the instances that run them, with real processes.

mod common;

use std::time::Duration;

use awc::http::Method;
use common::{CallerAnswer, DeskFleet, FleetPlan, eventually};

const DAEMONS: usize = 6;
/// A request that ends each instance that runs it.
const CRASHING: &str = "/lookups/1?crash";
/// Instances that may end before such a request is known.
const MAX_ENDS: usize = 3;
/// Time in which daemons hear of the end of an instance.
const PAUSE: Duration = Duration::from_millis(400);

async fn open(name: &str) -> DeskFleet {
    let plan = FleetPlan {
        daemons: DAEMONS,
        zones: 2,
        ..FleetPlan::default()
    };
    DeskFleet::open_with(name, plan, |plan| plan.service_time = "20ms".to_owned()).await
}

/// Sends the crashing request through the daemon `index`, waits, and returns how many instances have
/// ended; each is replaced.
async fn send_crashing(
    desk: &mut DeskFleet,
    index: usize,
    method: Method,
) -> (CallerAnswer, usize) {
    let caller = desk.caller(index);
    let answer = caller
        .send(method, CRASHING, "crash", b"same")
        .await
        .unwrap();
    actix_rt::time::sleep(PAUSE).await;
    (answer, replace_ended(desk).await)
}

async fn replace_ended(desk: &mut DeskFleet) -> usize {
    let folder = desk.fleet.folder().path().to_owned();
    let mut ends = 0;
    for index in 0..DAEMONS {
        let announce = desk.fleet.daemons[index].announce();
        let backend = &mut desk.fleet.backends[index];
        ends += usize::from(backend.replace_ended(announce, &folder).await);
    }
    ends
}

/// Waits until each daemon serves a usual request.
async fn serve_usual(desk: &DeskFleet) {
    for index in 0..DAEMONS {
        let caller = desk.caller(index);
        eventually("a usual request that is served", async || {
            let answer = caller.get("/lookups/1").await;
            answer.is_ok_and(|answer| answer.status.is_success())
        })
        .await;
    }
}

/// Guards against a request that ends one instance after the other because it comes again at other
/// daemons, and is retried, as if nothing had happened.
#[actix_rt::test]
async fn crashing_request_stops() {
    let mut desk = open("crashes-stop").await;
    let mut ends = 0;
    for round in 0..3 {
        for index in 0..DAEMONS {
            let (answer, ended) = send_crashing(&mut desk, index, Method::GET).await;
            ends += ended;
            println!(
                "round {round}, d{}: {}, {ends} ended",
                index + 1,
                answer.status
            );
        }
    }
    serve_usual(&desk).await;
    assert!(ends <= MAX_ENDS, "{ends} instances have ended");
}
