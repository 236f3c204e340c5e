//! Tests with real processes: an instance gets no more requests than it says in its responses.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{DeskFleet, FleetPlan};

/// Requests per second that the instance names in the tests.
const LIMIT: f64 = 2.0;
/// Time over which the requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Pause between two requests of a caller; together they send far more than the limit.
const PAUSE: Duration = Duration::from_millis(10);

/// Sends lookups and filings through the daemon `index` for `span`. Returns the number of answers that
/// were no success.
async fn send_for(desk: Rc<DeskFleet>, index: usize, span: Duration) -> usize {
    let end = Instant::now() + span;
    let mut failures = 0;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let tag = format!("{index}-{number}");
        let answer = match number % 2 {
            0 => desk.caller(index).get("/lookups/1").await,
            _ => desk.file(index, &tag).await,
        };
        failures += usize::from(!answer.is_ok_and(|answer| answer.status.is_success()));
        actix_rt::time::sleep(PAUSE).await;
    }
    failures
}

/// Sends through both daemons for `span`. Returns the number of answers that were no success.
async fn load(desk: &Rc<DeskFleet>, span: Duration) -> usize {
    let sending = [0, 1].map(|index| actix_rt::spawn(send_for(Rc::clone(desk), index, span)));
    let mut failures = 0;
    for sent in sending {
        failures += sent.await.unwrap();
    }
    failures
}

async fn open_desk(name: &str) -> Rc<DeskFleet> {
    let desk = DeskFleet::open_with(name, FleetPlan::of(2), |plan| {
        plan.service_time = "20ms".into();
    });
    Rc::new(desk.await)
}

/// Guards against an instance that is sent more than it says it takes, by all daemons together, and
/// against one that gets nothing because of its limit.
#[actix_rt::test]
async fn limit_of_instance() {
    let desk = open_desk("limit-named").await;
    let limited = &desk.fleet.backends[1];
    limited.control(&format!("{{\"limit\":{LIMIT}}}")).await;
    load(&desk, Duration::from_secs(1)).await;
    let before = limited.ran().await.len();
    let failures = load(&desk, WINDOW).await;
    let ran = limited.ran().await.len() - before;
    let expected = LIMIT * WINDOW.as_secs_f64();
    assert!(
        ran as f64 <= 1.5 * expected + 5.0,
        "{ran} requests in {WINDOW:?}"
    );
    assert!(ran as f64 >= 0.5 * expected, "{ran} requests in {WINDOW:?}");
    assert_eq!(failures, 0);
}

/// Guards against a limit that stays in force after the instance names none any more.
#[actix_rt::test]
async fn limit_ends() {
    let desk = open_desk("limit-ends").await;
    let limited = &desk.fleet.backends[1];
    limited.control(&format!("{{\"limit\":{LIMIT}}}")).await;
    load(&desk, Duration::from_secs(1)).await;
    limited.control("{\"limit\":0}").await;
    load(&desk, Duration::from_secs(2)).await;
    let before = limited.ran().await.len();
    load(&desk, WINDOW).await;
    let ran = limited.ran().await.len() - before;
    assert!(ran as f64 > 3.0 * LIMIT * WINDOW.as_secs_f64(), "{ran}");
}
