//! Every caller gets the whole answer to its own request, or is told that there is none.

mod common;

use std::time::Duration;

use awc::http::{Method, StatusCode};
use common::{CallerClient, DeskFleet, FleetPlan, eventually};

const FAULTS: [&str; 3] = ["\"wrong\"", "\"cut\"", "\"silent\""];

#[actix_rt::test]
async fn never_another() {
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
            let whole = answer.answers(&tag, b"");
            assert!(
                whole || answer.status.as_u16() >= 500,
                "{tag}: {}",
                answer.text()
            );
        }
        desk.fleet.backends[0].fault("\"normal\"").await;
    }
}

#[actix_rt::test]
async fn lost_filing() {
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
        eventually("the instance back", async || {
            desk.caller(0).get("/lookups/1").await.unwrap().status == StatusCode::OK
        })
        .await;
    }
}

#[actix_rt::test]
async fn cut_extract() {
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
    // Where the head has left already, the cut must reach the caller as a cut.
    if let Ok(answer) = asking.await.unwrap() {
        assert_ne!(
            answer.status,
            StatusCode::OK,
            "a cut answer was passed on as whole"
        );
        assert_ne!(answer.verdict(), "not-run");
    }
}

#[actix_rt::test]
async fn cut_early() {
    let desk = DeskFleet::open("answers-early", 1).await;
    desk.fleet.backends[0].fault("\"cut\"").await;
    let answer = desk.caller(0).get("/extracts/all?bytes=4000000").await;
    let whole = answer.is_ok_and(|answer| answer.status == StatusCode::OK);
    assert!(!whole, "a cut answer was passed on as whole");
}

#[actix_rt::test]
async fn after_cancel() {
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

#[actix_rt::test]
async fn at_once() {
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
        // Ends the process, and with it the connections.
        backend.process.terminate();
    }
    let answer = waiting.await.unwrap();
    assert_eq!(answer.verdict(), "may-have-run", "{}", answer.text());
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
}

/// A caller that stops reading a long answer must not keep the slot past its deadline.
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
