//! Requests that end the instances that run them, with real processes.

mod common;

use std::time::Duration;

use awc::http::Method;
use common::{CallerAnswer, DeskFleet, FleetPlan, eventually};
use futures_util::future::{join, join_all};

const DAEMONS: usize = 6;
/// A lookup and a filing that end each instance that runs them.
const CRASHING: &str = "/lookups/1?crash";
const CRASHING_FILING: &str = "/filings?crash";
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

/// Sends a request through the daemon `index`, waits, and returns how many instances have ended; each is
/// replaced.
async fn send_crashing(
    desk: &mut DeskFleet,
    index: usize,
    method: Method,
    target: &str,
) -> (CallerAnswer, usize) {
    let caller = desk.caller(index);
    let answer = caller.send(method, target, "crash", b"same").await.unwrap();
    actix_rt::time::sleep(PAUSE).await;
    (answer, replace_ended(desk).await)
}

/// Sends the crashing lookup until it is refused and returns how many instances have ended.
async fn reach_refusal(desk: &mut DeskFleet) -> usize {
    let mut ends = 0;
    for index in (0..DAEMONS).cycle().take(3 * DAEMONS) {
        let (answer, ended) = send_crashing(desk, index, Method::GET, CRASHING).await;
        ends += ended;
        if answer.status.as_u16() == 400 {
            assert_eq!(answer.verdict(), "not-run");
            return ends;
        }
        assert_eq!(answer.status.as_u16(), 502, "{}", answer.text());
    }
    panic!("not refused after {ends} ends");
}

async fn replace_ended(desk: &mut DeskFleet) -> usize {
    let folder = desk.fleet.folder().path().to_owned();
    let mut ends = 0;
    for index in 0..DAEMONS {
        let announce = desk.fleet.daemons[index].announce();
        let backend = &mut desk.fleet.backends[index];
        let name = backend.plan.instance.clone();
        if backend.replace_ended(announce, &folder).await {
            println!("{name} has ended");
            ends += 1;
        }
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
            let (answer, ended) = send_crashing(&mut desk, index, Method::GET, CRASHING).await;
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

/// Guards against the same for a request that must run once at most, whose body follows the offer.
#[actix_rt::test]
async fn crashing_filing_stops() {
    let mut desk = open("crashes-filing").await;
    let mut ends = 0;
    for index in 0..DAEMONS {
        let sending = send_crashing(&mut desk, index, Method::POST, CRASHING_FILING);
        let (answer, ended) = sending.await;
        ends += ended;
        println!("d{}: {}, {ends} ended", index + 1, answer.status);
    }
    serve_usual(&desk).await;
    assert!(ends <= MAX_ENDS, "{ends} instances have ended");
}

/// Guards against the refusal of innocent requests that run beside the crashing one, which comes in at
/// all daemons at once, and against more ends than messages in time allow: one for each copy that is
/// under way before the first end is known, and the allowed ones.
#[actix_rt::test]
async fn innocent_beside_crashing() {
    let mut desk = open("crashes-beside").await;
    let mut ends = 0;
    let mut served = 0;
    for round in 0..8 {
        let crashing = (0..DAEMONS).map(|index| {
            let caller = desk.caller(index);
            async move { caller.send(Method::GET, CRASHING, "crash", b"").await }
        });
        let usual = (0..4 * DAEMONS).map(|number| {
            let caller = desk.caller(number % DAEMONS);
            async move {
                let target = format!("/lookups/{round}-{number}");
                caller.get(&target).await.unwrap()
            }
        });
        let (crashed, answers) = join(join_all(crashing), join_all(usual)).await;
        for answer in crashed {
            assert!(!answer.unwrap().status.is_success());
        }
        for answer in answers {
            assert_ne!(answer.status.as_u16(), 400, "{}", answer.text());
            served += usize::from(answer.status.is_success());
        }
        actix_rt::time::sleep(PAUSE).await;
        ends += replace_ended(&mut desk).await;
        println!("round {round}: {ends} ended, {served} served");
    }
    serve_usual(&desk).await;
    assert!(ends <= DAEMONS + MAX_ENDS, "{ends} instances have ended");
}

/// Guards against a daemon that forgets the refusal when it starts again, and against one that cannot be
/// told to let the request run: an operator lists it and clears it on all daemons.
#[actix_rt::test]
async fn restart_and_clearing() {
    let mut desk = open("crashes-operator").await;
    assert_eq!(reach_refusal(&mut desk).await, MAX_ENDS);
    desk.fleet.daemons[0].restart();
    desk.fleet.daemons[0].ready().await;
    eventually("a daemon that knows the request", async || {
        let listed = desk.fleet.operate(0, &["suspect", "list"]);
        String::from_utf8_lossy(&listed.stdout).contains("refused  3 instances ended")
    })
    .await;
    eventually("a refusal by the daemon that has started", async || {
        let caller = desk.caller(0);
        let answer = caller.send(Method::GET, CRASHING, "crash", b"same").await;
        answer.is_ok_and(|answer| answer.status.as_u16() == 400)
    })
    .await;
    assert_eq!(replace_ended(&mut desk).await, 0);

    let unknown = desk
        .fleet
        .operate(1, &["suspect", "clear", "00000000ffffffffffffffff"]);
    assert!(!unknown.status.success());
    let listed = desk.fleet.operate(1, &["--json", "suspect", "list"]);
    let listed: serde_json::Value = serde_json::from_slice(&listed.stdout).unwrap();
    let digest = listed[0]["digest"].as_str().unwrap().to_owned();
    let cleared = desk.fleet.operate(1, &["suspect", "clear", &digest]);
    assert!(cleared.status.success());
    for index in 0..DAEMONS {
        eventually("a daemon that knows no suspect", async || {
            let listed = desk.fleet.operate(index, &["suspect", "list"]);
            String::from_utf8_lossy(&listed.stdout).trim() == "none"
        })
        .await;
    }
    let (answer, ends) = send_crashing(&mut desk, 3, Method::GET, CRASHING).await;
    assert_eq!((answer.status.as_u16(), ends), (502, 2));
}
