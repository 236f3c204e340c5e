//! Tests the simulated backend server as a separate process.

mod common;

use awc::http::{Method, StatusCode};
use common::{
    BackendPlan, BackendProcess, CallerAnswer, CallerClient, CallerError, ScratchDir, eventually,
};
use futures_util::future::join_all;

/// Starts a backend process with the default plan, modified by `change`.
async fn start(name: &str, change: impl FnOnce(&mut BackendPlan)) -> (BackendProcess, ScratchDir) {
    let folder = ScratchDir::open(name);
    let mut plan = BackendPlan::new("desk", "desk-1");
    change(&mut plan);
    let backend = BackendProcess::open(plan, None, folder.path()).await;
    (backend, folder)
}

#[actix_rt::test]
async fn complete_response() {
    let (backend, _folder) = start("backend-whole", |_| {}).await;
    let client = backend.client();
    let answer = client
        .send(Method::POST, "/filings?bytes=100000", "t1", b"lane 7")
        .await
        .unwrap();
    assert!(answer.answers("t1", b"lane 7"));
    assert_eq!(answer.body.len(), 100_000);
    let ran = backend.ran().await;
    assert_eq!(ran.len(), 1);
    assert_eq!(ran[0].target, "/filings?bytes=100000");
    assert_eq!(ran[0].outcome, "completed");
    assert!(ran[0].headers.contains(&("x-tag".into(), "t1".into())));
}

#[actix_rt::test]
async fn each_fault() {
    let (backend, _folder) = start("backend-faults", |_| {}).await;
    let client = backend.client();
    backend.fault("\"wrong\"").await;
    let answer = client.send(Method::GET, "/x", "t1", b"").await.unwrap();
    assert!(!answer.answers("t1", b""));
    backend.fault("\"cut\"").await;
    assert!(client.send(Method::GET, "/x", "t2", b"").await.is_err());
    backend.fault("{\"failing\":\"100%\"}").await;
    let answer = client.send(Method::GET, "/x", "t3", b"").await.unwrap();
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    backend.fault("\"normal\"").await;
    let answer = client.send(Method::GET, "/x", "t4", b"").await.unwrap();
    assert!(answer.answers("t4", b""));
    assert_eq!(backend.times_ran("t3").await, 0);
}

#[actix_rt::test]
async fn closed_connection_cancels() {
    let (backend, _folder) = start("backend-cancel", |plan| plan.service_time = "50s".into()).await;
    let client = backend.client();
    let sending = actix_rt::spawn(async move {
        let _ = client.send(Method::POST, "/filings", "t1", b"").await;
    });
    eventually("a running request", async || {
        backend.times_ran("t1").await == 1
    })
    .await;
    sending.abort();
    eventually("its cancellation", async || {
        backend.ran().await[0].outcome == "cancelled"
    })
    .await;
}

#[actix_rt::test]
async fn sheds_above_slots() {
    let (backend, _folder) = start("backend-shed", |plan| {
        plan.slots = 1;
        plan.service_time = "20s".into();
    })
    .await;
    let client = backend.client();
    actix_rt::spawn(async move {
        let _ = client.send(Method::GET, "/x", "a", b"").await;
    });
    eventually("a running request", async || {
        backend.times_ran("a").await == 1
    })
    .await;
    eventually("a shed request", async || {
        // The queue holds one of the two requests, so the other is shed.
        let client = backend.client().with_header("x-deadline-ms", "500");
        let sending = ["b", "c"].map(|tag| client.send(Method::GET, "/x", tag, b""));
        let answers = join_all(sending).await;
        let is_shed = |answer: Result<CallerAnswer, CallerError>| {
            answer.is_ok_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
        };
        answers.into_iter().any(is_shed)
    })
    .await;
    assert_eq!(backend.ran().await.len(), 1);
}

#[actix_rt::test]
async fn deadline_honoured() {
    let (backend, _folder) = start("backend-deadline", |plan| {
        plan.service_time = "50s".into();
    })
    .await;
    let client = backend.client().with_header("x-deadline-ms", "30");
    let answer = client.send(Method::GET, "/x", "t1", b"").await.unwrap();
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(backend.ran().await[0].outcome, "cancelled");
}

#[actix_rt::test]
async fn announces_phases() {
    let folder = ScratchDir::open("backend-announce");
    let listener = BackendProcess::open(BackendPlan::new("d", "daemon"), None, folder.path()).await;
    // A second simulated backend takes the place of the daemon and records the announcements.
    let plan = BackendPlan::new("desk", "desk-1");
    let mut backend = BackendProcess::open(plan, Some(listener.address), folder.path()).await;
    eventually("a renewal", async || listener.ran().await.len() >= 2).await;
    backend.process.terminate();
    assert!(backend.process.ended().await.success());
    let ran = listener.ran().await;
    assert!(ran.iter().all(|put| put.method == "PUT"));
    assert!(ran.iter().all(|put| put.target == "/v1/instances/desk-1"));
    assert!(
        ran.len() >= 4,
        "the draining or gone announcement is missing: {ran:?}"
    );
    assert!(CallerClient::open(backend.address).get("/x").await.is_err());
}
