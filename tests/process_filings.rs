//! At-most-once execution of filings, which are not idempotent, while processes are killed or
//! paused and links fail.
//!
//! A filing must not run twice, and one reported as `not-run` must not have run.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use common::{CallerAnswer, DeskFleet, FleetPlan, RelayMode, eventually};

const WORKERS: usize = 6;
/// Filings that have run before the first fault.
const MIN_RAN: usize = 50;

/// The verdict that the caller got for each filing, by tag.
#[derive(Default)]
struct FilingLog {
    verdicts: RefCell<Vec<(String, String)>>,
    stop: Cell<bool>,
}

impl FilingLog {
    fn record(&self, tag: String, answer: Result<CallerAnswer, String>) {
        let verdict = match answer {
            Ok(answer) if answer.verdict() == "ran" => {
                let is_complete =
                    answer.answers(&tag, tag.as_bytes()) || answer.status.as_u16() >= 500;
                assert!(
                    is_complete,
                    "{tag} got the response to another request: {}",
                    answer.text()
                );
                "ran".to_owned()
            }
            Ok(answer) => {
                let is_refused = answer.verdict() == "not-run" && answer.status.as_u16() != 502;
                assert!(
                    is_refused || answer.verdict() == "may-have-run",
                    "{}",
                    answer.text()
                );
                answer.verdict().to_owned()
            }
            // The ingress daemon was killed, so there is no verdict.
            Err(_) => "unknown".to_owned(),
        };
        self.verdicts.borrow_mut().push((tag, verdict));
    }

    fn count(&self, wanted: &str) -> usize {
        let verdicts = self.verdicts.borrow();
        verdicts
            .iter()
            .filter(|(_, verdict)| verdict == wanted)
            .count()
    }
}

/// Sends filings one after the other through daemon 0 until the log's `stop` is set.
async fn keep_filing(desk: &DeskFleet, log: &FilingLog, worker: usize) {
    let mut number = 0;
    while !log.stop.get() {
        let tag = format!("filing-{worker}-{number}");
        number += 1;
        let caller = desk.caller(0).with_header("x-deadline-ms", "3000");
        let post = awc::http::Method::POST;
        let answer = caller.send(post, "/filings", &tag, tag.as_bytes()).await;
        log.record(tag, answer);
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Sends filings while `faults` runs, then compares every verdict with what the instances executed.
async fn check_filings(desk: DeskFleet, faults: impl AsyncFnOnce(&DeskFleet)) {
    let desk = Rc::new(desk);
    let log = Rc::new(FilingLog::default());
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            let (desk, log) = (Rc::clone(&desk), Rc::clone(&log));
            actix_rt::spawn(async move { keep_filing(&desk, &log, worker).await })
        })
        .collect();
    eventually("filings that ran", async || log.count("ran") > MIN_RAN).await;
    faults(&desk).await;
    pause(500).await;
    log.stop.set(true);
    for worker in workers {
        worker.await.unwrap();
    }
    // Lets requests that are still running at an instance end before they are counted.
    pause(500).await;
    check_verdicts(&desk, &log).await;
}

async fn check_verdicts(desk: &DeskFleet, log: &FilingLog) {
    let mut ran = Vec::new();
    for backend in &desk.fleet.backends {
        ran.extend(backend.ran().await.into_iter().map(|request| request.tag));
    }
    for (tag, verdict) in log.verdicts.borrow().iter() {
        let times = ran.iter().filter(|other| *other == tag).count();
        assert!(times <= 1, "{tag} ran {times} times, reported as {verdict}");
        assert!(
            verdict != "not-run" || times == 0,
            "{tag} ran, reported as not-run"
        );
        assert!(
            verdict != "ran" || times == 1,
            "{tag} did not run, reported as ran"
        );
    }
}

async fn pause(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

async fn open(name: &str) -> DeskFleet {
    let mut plan = FleetPlan::of(3);
    plan.has_relays = true;
    DeskFleet::open_with(name, plan, |plan| plan.service_time = "15ms".into()).await
}

/// Applies each relay mode for one second to the request link to daemon 1.
async fn apply_modes(desk: &DeskFleet, modes: &[RelayMode]) {
    for mode in modes {
        desk.fleet.request_relays[1].set(*mode);
        pause(1000).await;
        desk.fleet.request_relays[1].set(RelayMode::Pass);
        pause(300).await;
    }
}

#[actix_rt::test]
async fn egress_frozen() {
    let desk = open("filings-frozen").await;
    check_filings(desk, async |desk| {
        for _ in 0..3 {
            desk.fleet.daemons[1].process.pause();
            pause(1200).await;
            desk.fleet.daemons[1].process.resume();
            pause(300).await;
        }
    })
    .await;
}

#[actix_rt::test]
async fn egress_killed() {
    let mut desk = open("filings-killed").await;
    // Taken out of the fleet, so that it can be killed while `desk` is borrowed.
    let mut killed = desk.fleet.daemons.remove(2);
    check_filings(desk, async |_| {
        killed.process.kill();
        pause(1500).await;
        killed.restart();
        pause(2500).await;
        killed.process.kill();
        pause(1000).await;
    })
    .await;
}

#[actix_rt::test]
async fn instance_frozen() {
    let desk = open("filings-instance").await;
    check_filings(desk, async |desk| {
        for fault in [
            "\"frozen\"",
            "\"normal\"",
            "\"cut\"",
            "\"silent\"",
            "\"normal\"",
        ] {
            desk.fleet.backends[1].fault(fault).await;
            pause(900).await;
        }
    })
    .await;
}

#[actix_rt::test]
async fn instance_paused() {
    let desk = open("filings-paused").await;
    check_filings(desk, async |desk| {
        for _ in 0..3 {
            desk.fleet.backends[0].process.pause();
            pause(700).await;
            desk.fleet.backends[0].process.resume();
            pause(300).await;
        }
    })
    .await;
}

#[actix_rt::test]
async fn link_cut() {
    let desk = open("filings-cut").await;
    check_filings(desk, async |desk| {
        apply_modes(desk, &[RelayMode::Cut; 4]).await
    })
    .await;
}

#[actix_rt::test]
async fn one_way_links() {
    let desk = open("filings-oneway").await;
    let modes = [
        RelayMode::DropForward,
        RelayMode::DropBack,
        RelayMode::DropBoth,
    ];
    check_filings(desk, async |desk| apply_modes(desk, &modes).await).await;
}

#[actix_rt::test]
async fn silent_link() {
    let desk = open("filings-silent").await;
    check_filings(desk, async |desk| {
        apply_modes(desk, &[RelayMode::Silent; 3]).await
    })
    .await;
}

#[actix_rt::test]
async fn ingress_killed() {
    let desk = open("filings-ingress").await;
    check_filings(desk, async |desk| {
        pause(700).await;
        // Callers get no verdict, but each filing must still run at most once.
        desk.fleet.daemons[0].process.crash();
    })
    .await;
}

#[actix_rt::test]
async fn ingress_frozen() {
    let desk = open("filings-ingress-frozen").await;
    check_filings(desk, async |desk| {
        for _ in 0..3 {
            desk.fleet.daemons[0].process.pause();
            pause(900).await;
            desk.fleet.daemons[0].process.resume();
            pause(300).await;
        }
    })
    .await;
}

/// Bodies reach the instance complete, both the small ones, which are sent with `Go`, and the large
/// ones, which are part of the offer.
#[actix_rt::test]
async fn body_sizes() {
    let desk = DeskFleet::open("filings-bodies", 2).await;
    for size in [0, 1, 4_000, 64 * 1024, 64 * 1024 + 1, 1_000_000] {
        let body: Vec<u8> = (0..size).map(|index| (index % 251) as u8).collect();
        for round in 0..4 {
            let tag = format!("body-{size}-{round}");
            let post = awc::http::Method::POST;
            let answer = desk.caller(0).send(post, "/filings", &tag, &body).await;
            let answer = answer.unwrap();
            assert_eq!(answer.status.as_u16(), 200, "{tag}: {}", answer.text());
            assert!(answer.answers(&tag, &body), "{tag}");
        }
    }
}
