//! Tests with real processes: every caller gets the complete response to its own request, or an
//! error with a correct verdict.

mod common;

use std::time::Duration;

use awc::http::{Method, StatusCode};
use common::{CallerClient, DeskFleet, FleetPlan, eventually};

/// Faults of the stand-in backend: another request's response, a truncated one, or none.
const FAULTS: [&str; 3] = ["\"wrong\"", "\"cut\"", "\"silent\""];

/// Guards against a wrong or truncated response that is forwarded as a success. Each fault is set on
/// one of two instances while lookups go through both daemons.
#[actix_rt::test]
async fn no_foreign_response() {
    let desk = DeskFleet::open("answers-mixed", 2).await;
    for fault in FAULTS {
        desk.fleet.backends[0].fault(fault).await;
        for number in 0..40 {
            let tag = format!("{fault}-{number}");
            let caller = desk.caller(number % 2).with_header("x-deadline-ms", "2000");
            let answer = caller
                .send(Method::GET, "/lookups/1", &tag, b"")
                .await
                .unwrap();
            let is_complete = answer.answers(&tag, b"");
            assert!(
                is_complete || answer.status.as_u16() >= 500,
                "{tag}: {}",
                answer.text()
            );
        }
        desk.fleet.backends[0].fault("\"normal\"").await;
    }
}

/// Guards against a filing, which is not idempotent, that runs twice or is reported as not run after
/// it ran. Its only instance loses or damages the response.
#[actix_rt::test]
async fn lost_response_runs_at_most_once() {
    let desk = DeskFleet::open("answers-lost", 1).await;
    for (number, fault) in FAULTS.iter().enumerate() {
        desk.fleet.backends[0].fault(fault).await;
        let tag = format!("lost-{number}");
        let caller = desk.caller(0).with_header("x-deadline-ms", "700");
        let answer = caller
            .send(Method::POST, "/filings", &tag, b"x")
            .await
            .unwrap();
        let status = answer.status.as_u16();
        assert!(matches!(status, 502..=504), "{fault}: {}", answer.text());
        let times = desk.times_ran(&tag).await;
        assert!(times <= 1, "{fault}: ran {times} times");
        assert!(
            answer.verdict() != "not-run" || times == 0,
            "{fault}: told not-run"
        );
        desk.fleet.backends[0].fault("\"normal\"").await;
        eventually("the instance serving again", async || {
            desk.caller(0).get("/lookups/1").await.unwrap().status == StatusCode::OK
        })
        .await;
    }
}

/// Guards against a truncated response that the caller takes for complete. The backend server is
/// terminated while it sends a 200 MB extract.
#[actix_rt::test]
async fn backend_exit_during_extract() {
    let desk = DeskFleet::open("answers-extract", 1).await;
    let caller = desk.caller(0);
    let asking = actix_rt::spawn(async move { caller.get("/extracts/all?bytes=200000000").await });
    eventually("a running extract", async || {
        let ran = desk.fleet.backends[0].ran().await;
        ran.iter()
            .any(|request| request.target.starts_with("/extracts"))
    })
    .await;
    desk.fleet.backends[0].process.terminate();
    // If the head was already forwarded, the caller must get a broken connection instead.
    if let Ok(answer) = asking.await.unwrap() {
        assert_ne!(
            answer.status,
            StatusCode::OK,
            "a truncated response was forwarded as complete"
        );
        assert_ne!(answer.verdict(), "not-run");
    }
}

/// Guards against a truncated response that is forwarded as complete. The instance cuts a 4 MB
/// extract, which is too large to be buffered.
#[actix_rt::test]
async fn truncated_extract() {
    let desk = DeskFleet::open("answers-early", 1).await;
    desk.fleet.backends[0].fault("\"cut\"").await;
    let answer = desk.caller(0).get("/extracts/all?bytes=4000000").await;
    let is_complete = answer.is_ok_and(|answer| answer.status == StatusCode::OK);
    assert!(
        !is_complete,
        "a truncated response was forwarded as complete"
    );
}

/// Guards against a caller that gets the late response to an earlier request. That request times
/// out after 60 ms at an instance that needs 150 ms, and the next one goes to the same instance.
#[actix_rt::test]
async fn late_response_is_dropped() {
    let plan = FleetPlan::of(1);
    let desk = DeskFleet::open_with("answers-cancel", plan, |plan| {
        plan.service_time = "150ms".into();
    })
    .await;
    for number in 0..10 {
        let caller: CallerClient = desk.caller(0).with_header("x-deadline-ms", "60");
        let late = caller
            .send(Method::GET, "/lookups/1", "late", b"")
            .await
            .unwrap();
        assert_ne!(late.status, StatusCode::OK);
        let tag = format!("own-{number}");
        let own = desk
            .caller(0)
            .send(Method::GET, "/lookups/1", &tag, b"")
            .await
            .unwrap();
        assert!(
            own.answers(&tag, b"") || own.status.as_u16() >= 500,
            "{tag}: {}",
            own.text()
        );
    }
}

/// Guards against a caller that waits until its deadline of 30 s after its backend server has exited.
/// A filing waits at a frozen instance when both backend servers are terminated; the caller must get
/// 502 and may-have-run.
#[actix_rt::test]
async fn backend_exit_before_response() {
    let desk = DeskFleet::open("answers-at-once", 2).await;
    let plan = &desk.fleet.backends[0].plan;
    assert_eq!(plan.service, "desk");
    let victim = 1;
    desk.fleet.backends[victim].fault("\"frozen\"").await;
    desk.fleet.backends[0].fault("\"frozen\"").await;
    let caller = desk.caller(0).with_header("x-deadline-ms", "30000");
    let waiting = actix_rt::spawn(async move {
        caller
            .send(Method::POST, "/filings", "dead", b"x")
            .await
            .unwrap()
    });
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    for backend in &desk.fleet.backends {
        // Closes the process's connections as well.
        backend.process.terminate();
    }
    let answer = waiting.await.unwrap();
    assert_eq!(answer.verdict(), "may-have-run", "{}", answer.text());
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
}

/// Guards against a slot that stays taken past the deadline because the caller stopped reading. The
/// only slot serves a 30 MB extract to a socket that is never read.
#[actix_rt::test]
async fn stalled_reader() {
    let plan = FleetPlan::of(1);
    let desk = DeskFleet::open_with("answers-stalled", plan, |plan| plan.slots = 1).await;
    let address = desk.fleet.daemons[0].callers();
    let mut socket = std::net::TcpStream::connect(address).unwrap();
    let request = format!(
        "GET /extracts/all?bytes=30000000 HTTP/1.1\r\nhost: x\r\nx-deadline-ms: 2000\r\n\
         authorization: Bearer {}\r\n\r\n",
        desk.secret
    );
    std::io::Write::write_all(&mut socket, request.as_bytes()).unwrap();
    eventually("a running extract", async || {
        let ran = desk.fleet.backends[0].ran().await;
        ran.iter()
            .any(|request| request.target.starts_with("/extracts"))
    })
    .await;
    eventually("the slot free again", async || {
        let answer = desk.caller(0).get("/lookups/1").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    drop(socket);
}
