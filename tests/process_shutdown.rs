//! Tests with real processes: a graceful shutdown of daemons or instances interrupts no request.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use awc::http::Method;
use common::{DeskFleet, FleetPlan, eventually};

/// Requests that must succeed before the shutdown begins.
const MIN_SUCCEEDED: usize = 20;

/// Results of the requests that the workers send.
#[derive(Default)]
struct LoadLog {
    /// Requests that got their complete response.
    succeeded: Cell<usize>,
    /// Requests that were interrupted, with what the caller got.
    interrupted: RefCell<Vec<String>>,
    /// Tells the workers to end.
    stop: Cell<bool>,
}

/// Sends requests through the daemon `index` until told to stop, or until the daemon accepts no more
/// connections.
async fn keep_sending(desk: Rc<DeskFleet>, log: Rc<LoadLog>, index: usize, worker: usize) {
    let mut number = 0;
    while !log.stop.get() {
        let tag = format!("{index}-{worker}-{number}");
        number += 1;
        let (method, target) = match number % 3 {
            0 => (Method::POST, "/filings"),
            1 => (Method::GET, "/lookups/1"),
            _ => (Method::GET, "/extracts/1?bytes=900000"),
        };
        let answer = desk.caller(index).send(method, target, &tag, b"").await;
        match answer {
            Ok(answer) if answer.answers(&tag, b"") => log.succeeded.set(log.succeeded.get() + 1),
            Ok(answer) if answer.verdict() == "not-run" => {}
            Ok(answer) => log
                .interrupted
                .borrow_mut()
                .push(format!("{tag}: {}", answer.text())),
            Err(cause) if cause.contains("Failed to connect") => return,
            Err(cause) if is_refused(&cause) => return,
            Err(cause) => log.interrupted.borrow_mut().push(format!("{tag}: {cause}")),
        }
    }
}

/// Returns whether the connection could not be established.
fn is_refused(cause: &str) -> bool {
    cause.contains("refused") || cause.contains("connect")
}

/// Waits until the daemons `indices` have logged a complete stop.
async fn wait_until_stopped(desk: &DeskFleet, indices: &[usize]) {
    for index in indices {
        let log = desk.fleet.folder().path().to_owned();
        let name = desk.fleet.daemons[*index].plan.daemon.clone();
        eventually("the daemon stopped", async || {
            let text = read_logs(&log, &name);
            assert!(!text.contains("work is cut off"), "{text}");
            text.contains("Stopped.")
        })
        .await;
    }
}

/// Reads all log files of `daemon`.
fn read_logs(folder: &std::path::Path, daemon: &str) -> String {
    let entries = std::fs::read_dir(folder).unwrap();
    entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| {
            path.file_name()
                .is_some_and(|name| name.to_string_lossy().starts_with(daemon))
        })
        .filter_map(|path| std::fs::read_to_string(path).ok())
        .collect()
}

/// Terminates the daemons `stops` under load through the daemons `callers`, and checks that no request
/// was interrupted.
async fn stop_under_load(name: &str, callers: &[usize], stops: &[usize]) {
    let plan = FleetPlan::of(3);
    let desk = DeskFleet::open_with(name, plan, |plan| plan.service_time = "20ms".into()).await;
    let desk = Rc::new(desk);
    let log = Rc::new(LoadLog::default());
    let workers: Vec<_> = callers
        .iter()
        .flat_map(|index| (0..3).map(move |worker| (*index, worker)))
        .map(|(index, worker)| {
            actix_rt::spawn(keep_sending(
                Rc::clone(&desk),
                Rc::clone(&log),
                index,
                worker,
            ))
        })
        .collect();
    eventually("successful requests", async || {
        log.succeeded.get() > MIN_SUCCEEDED
    })
    .await;
    for index in stops {
        desk.fleet.daemons[*index].process.terminate();
    }
    wait_until_stopped(&desk, stops).await;
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    log.stop.set(true);
    for worker in workers {
        worker.await.unwrap();
    }
    let interrupted = log.interrupted.borrow();
    assert!(
        interrupted.is_empty(),
        "{} interrupted: {interrupted:#?}",
        interrupted.len()
    );
}

/// Guards against requests that are lost when the daemon that accepted them stops.
#[actix_rt::test]
async fn ingress_stops() {
    stop_under_load("stop-ingress", &[0], &[0]).await;
}

/// Guards against requests that are lost when the daemon beside their instance stops.
#[actix_rt::test]
async fn egress_stops() {
    stop_under_load("stop-egress", &[0], &[1]).await;
}

/// Guards against requests that are lost when two of three daemons stop together, one of which also
/// accepts requests.
#[actix_rt::test]
async fn two_daemons_stop() {
    stop_under_load("stop-two", &[0, 1], &[1, 2]).await;
}

/// Guards against a draining instance that gets new requests or loses those that it runs.
#[actix_rt::test]
async fn instance_drains() {
    let plan = FleetPlan::of(2);
    let desk = DeskFleet::open_with("stop-instance", plan, |plan| {
        plan.service_time = "300ms".into();
    })
    .await;
    let desk = Rc::new(desk);
    let log = Rc::new(LoadLog::default());
    let worker = actix_rt::spawn(keep_sending(Rc::clone(&desk), Rc::clone(&log), 0, 0));
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    desk.fleet.backends[0]
        .control("{\"phase\":\"draining\"}")
        .await;
    actix_rt::time::sleep(Duration::from_millis(1500)).await;
    let before = desk.fleet.backends[0].ran().await.len();
    actix_rt::time::sleep(Duration::from_millis(1500)).await;
    let after = desk.fleet.backends[0].ran().await.len();
    log.stop.set(true);
    worker.await.unwrap();
    assert_eq!(before, after, "a draining instance got new requests");
    assert!(
        log.interrupted.borrow().is_empty(),
        "{:?}",
        log.interrupted.borrow()
    );
}

/// Guards against requests that end without an answer because their work takes longer than the
/// shutdown: some run, some wait for a slot, and some have just come in when the daemon stops.
#[actix_rt::test]
async fn work_outlasts_shutdown() {
    const SHUTDOWN: Duration = Duration::from_secs(4);
    let plan = FleetPlan {
        tables: "[proxy]\nshutdown = \"4s\"\n".to_owned(),
        ..FleetPlan::of(2)
    };
    let mut desk = DeskFleet::open_with("stop-long-work", plan, |plan| {
        plan.service_time = "20ms".into();
    })
    .await;
    for backend in &desk.fleet.backends {
        backend.fault("{\"slow\":1000.0}").await;
    }
    let caller = desk.caller(0).with_header("x-deadline-ms", "30000");
    let send = |tag: String| {
        let caller = caller.clone();
        actix_rt::spawn(async move {
            let (method, target) = match tag.len() % 2 {
                0 => (Method::POST, "/filings"),
                _ => (Method::GET, "/lookups/1"),
            };
            let answer = caller.send(method, target, &tag, b"").await;
            (tag, answer)
        })
    };
    let mut sent: Vec<_> = (0..24)
        .map(|number| send(format!("early-{number}")))
        .collect();
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let stopped_at = std::time::Instant::now();
    desk.fleet.daemons[0].process.terminate();
    for number in 0..12 {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        sent.push(send(format!("late-{number}")));
    }
    let status = desk.fleet.daemons[0].process.ended().await;
    assert!(status.code().is_some(), "the daemon did not exit by itself");
    assert!(
        stopped_at.elapsed() < SHUTDOWN,
        "stopped after {:?}",
        stopped_at.elapsed()
    );
    for request in sent {
        let (tag, answer) = request.await.unwrap();
        let answer = match answer {
            Err(cause) if is_refused(&cause) && tag.starts_with("late") => continue,
            answer => answer.unwrap_or_else(|cause| panic!("{tag} got no answer: {cause}")),
        };
        match answer.verdict() {
            "not-run" => assert_eq!(desk.times_ran(&tag).await, 0, "{tag} ran"),
            "may-have-run" => assert!(answer.status.as_u16() >= 502, "{tag}: {}", answer.status),
            verdict => panic!("{tag}: {verdict} {}", answer.status),
        }
    }
}

/// Guards against a sound instance that gets no requests for seconds because the daemon beside it
/// stops, although that daemon still runs.
#[actix_rt::test]
async fn instance_stays_in_use() {
    let mut desk = DeskFleet::open("stop-in-use", 2).await;
    desk.fleet.daemons[1].process.terminate();
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let mut served_by = Vec::new();
    for number in 0..10 {
        let tag = format!("filing-{number}");
        let answer = desk.file(0, &tag).await.unwrap();
        assert!(answer.answers(&tag, tag.as_bytes()), "{}", answer.text());
        served_by.push(answer.header("x-instance").to_owned());
    }
    assert!(
        desk.fleet.daemons[1].process.is_running(),
        "the daemon ended before its callers could notice that it stops"
    );
    assert!(
        served_by.iter().any(|instance| instance == "desk-2"),
        "{served_by:?}"
    );
}
