//! A planned stop cuts off no request.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use awc::http::Method;
use common::{DeskFleet, FleetPlan, eventually};

/// Requests that are answered before anything stops.
const MIN_ANSWERED: usize = 20;

/// Requests that callers keep sending, and those that were cut off.
#[derive(Default)]
struct StopLog {
    answered: Cell<usize>,
    cut: RefCell<Vec<String>>,
    stop: Cell<bool>,
}

/// Sends through the daemon `index` until told to stop, or until it takes no more connections.
async fn keep_sending(desk: Rc<DeskFleet>, log: Rc<StopLog>, index: usize, worker: usize) {
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
            Ok(answer) if answer.answers(&tag, b"") => log.answered.set(log.answered.get() + 1),
            Ok(answer) if answer.verdict() == "not-run" => {}
            Ok(answer) => log
                .cut
                .borrow_mut()
                .push(format!("{tag}: {}", answer.text())),
            Err(cause) if cause.contains("Failed to connect") => return,
            Err(cause) if is_refused(&cause) => return,
            Err(cause) => log.cut.borrow_mut().push(format!("{tag}: {cause}")),
        }
    }
}

/// Whether the connection never came about.
fn is_refused(cause: &str) -> bool {
    cause.contains("refused") || cause.contains("connect")
}

async fn stopped(desk: &DeskFleet, indices: &[usize]) {
    for index in indices {
        let log = desk.fleet.folder().path().to_owned();
        let name = desk.fleet.daemons[*index].plan.daemon.clone();
        eventually("a stopped daemon", async || {
            let text = read_logs(&log, &name);
            assert!(!text.contains("work is cut off"), "{text}");
            text.contains("Stopped.")
        })
        .await;
    }
}

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

/// Stops the daemons `stops` under load through the daemons `callers`.
async fn hold(name: &str, callers: &[usize], stops: &[usize]) {
    let plan = FleetPlan::of(3);
    let desk = DeskFleet::open_with(name, plan, |plan| plan.service_time = "20ms".into()).await;
    let desk = Rc::new(desk);
    let log = Rc::new(StopLog::default());
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
    eventually("answers", async || log.answered.get() > MIN_ANSWERED).await;
    for index in stops {
        desk.fleet.daemons[*index].process.terminate();
    }
    stopped(&desk, stops).await;
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    log.stop.set(true);
    for worker in workers {
        worker.await.unwrap();
    }
    let cut = log.cut.borrow();
    assert!(cut.is_empty(), "{} cut off: {cut:#?}", cut.len());
}

#[actix_rt::test]
async fn ingress_stops() {
    hold("stop-ingress", &[0], &[0]).await;
}

#[actix_rt::test]
async fn egress_stops() {
    hold("stop-egress", &[0], &[1]).await;
}

#[actix_rt::test]
async fn two_stop() {
    hold("stop-two", &[0, 1], &[1, 2]).await;
}

#[actix_rt::test]
async fn instance_drains() {
    let plan = FleetPlan::of(2);
    let desk = DeskFleet::open_with("stop-instance", plan, |plan| {
        plan.service_time = "300ms".into();
    })
    .await;
    let desk = Rc::new(desk);
    let log = Rc::new(StopLog::default());
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
    assert_eq!(before, after, "a draining instance got new work");
    assert!(log.cut.borrow().is_empty(), "{:?}", log.cut.borrow());
}
