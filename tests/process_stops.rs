//! Tests with real processes: callers get the instance's response to a request that takes much longer than
//! others of its service, whichever daemons are stopped meanwhile.

mod common;

use std::time::Duration;

use actix_rt::task::JoinHandle;
use common::{CallerAnswer, CallerError, DeskFleet, FleetPlan, eventually};

/// Quick requests that an instance completes first, so that its median service time is known.
const WARM_UP_RUNS: usize = 30;
/// Time in which the daemons hear of a new median.
const MEDIAN_SPREAD: Duration = Duration::from_secs(2);
/// Makes the work of a request 1.2 s long, with a spread of 0.5 to 2.9 s: longer than 20 medians, and over
/// before the last sixth of the shutdown of 6 s.
const LONG_WORK: &str = "{\"slow\":60.0}";
/// Deadline of each long request, in milliseconds.
const DEADLINE_MILLIS: &str = "10000";

type PendingAnswer = JoinHandle<(String, Result<CallerAnswer, CallerError>)>;

/// A fleet whose instances have a known median and take long for each request from now on.
struct StopFleet {
    desk: DeskFleet,
    /// The instances that are in use.
    used: Vec<usize>,
    sent: Vec<PendingAnswer>,
}

impl StopFleet {
    /// Starts `daemons` daemons; the instances beside all but those in `used` are drained.
    async fn open(name: &str, daemons: usize, used: &[usize]) -> Self {
        let plan = FleetPlan {
            tables: "[proxy]\nshutdown = \"6s\"\n".to_owned(),
            ..FleetPlan::of(daemons)
        };
        let desk = DeskFleet::open_with(name, plan, |plan| plan.service_time = "20ms".into()).await;
        for (index, backend) in desk.fleet.backends.iter().enumerate() {
            if !used.contains(&index) {
                backend.control("{\"phase\":\"draining\"}").await;
            }
        }
        for index in used {
            eventually("a warm instance", async || {
                desk.caller(0).get("/lookups/1").await.unwrap();
                desk.fleet.backends[*index].ran().await.len() >= WARM_UP_RUNS
            })
            .await;
        }
        actix_rt::time::sleep(MEDIAN_SPREAD).await;
        for index in used {
            desk.fleet.backends[*index].fault(LONG_WORK).await;
        }
        Self {
            desk,
            used: used.to_vec(),
            sent: Vec::new(),
        }
    }

    /// Sends `count` long lookups through the first daemon and waits until they all run.
    async fn send(&mut self, count: usize) {
        for _ in 0..count {
            let tag = format!("long-{}", self.sent.len());
            let caller = self.desk.caller(0);
            let caller = caller.with_header("x-deadline-ms", DEADLINE_MILLIS);
            self.sent.push(actix_rt::spawn(async move {
                let target = "/lookups/1";
                let answer = caller.send(awc::http::Method::GET, target, &tag, b"").await;
                (tag, answer)
            }));
        }
        let mut started = 0;
        eventually("the start of the long requests", async || {
            started = 0;
            for index in &self.used {
                let ran = self.desk.fleet.backends[*index].ran().await;
                let long = ran.iter().filter(|request| request.tag.starts_with("long"));
                started += long.count();
            }
            started >= self.sent.len()
        })
        .await;
    }

    /// Asks the daemon `index` to stop.
    fn stop(&self, index: usize) {
        self.desk.fleet.daemons[index].process.terminate();
    }

    /// Checks that every caller got the instance's response. A lookup may run more than once.
    async fn check(self) {
        let mut lost = Vec::new();
        for request in self.sent {
            let (tag, answer) = request.await.unwrap();
            let runs = self.desk.times_ran(&tag).await;
            match answer {
                Ok(answer) if answer.answers(&tag, b"") => {}
                Ok(answer) => lost.push(format!(
                    "{tag} ran {runs} times: {} {} {}",
                    answer.status,
                    answer.verdict(),
                    answer.text()
                )),
                Err(cause) => lost.push(format!("{tag} ran {runs} times: {cause}")),
            }
        }
        assert!(lost.is_empty(), "{} lost: {lost:#?}", lost.len());
    }
}

/// Guards against a running request that the daemon that accepted it gives up while it stops.
#[actix_rt::test]
async fn long_work_ingress_stops() {
    let mut fleet = StopFleet::open("stops-ingress", 2, &[1]).await;
    fleet.send(3).await;
    fleet.stop(0);
    fleet.check().await;
}

/// Guards against a running request that is given up because the daemon that accepted it and then the one
/// beside its instance stop.
#[actix_rt::test]
async fn long_work_ingress_stops_first() {
    let mut fleet = StopFleet::open("stops-ingress-first", 3, &[1, 2]).await;
    fleet.send(4).await;
    fleet.stop(0);
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    fleet.stop(1);
    fleet.check().await;
}

/// Guards against a running request that is given up because the daemon beside its instance and then the one
/// that accepted it stop; some requests come in between.
#[actix_rt::test]
async fn long_work_egress_stops_first() {
    let mut fleet = StopFleet::open("stops-egress-first", 3, &[1, 2]).await;
    fleet.send(2).await;
    fleet.stop(1);
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    fleet.send(2).await;
    fleet.stop(0);
    fleet.check().await;
}

/// Guards against a running request that is given up for another attempt although there is no other instance.
#[actix_rt::test]
async fn long_work_one_instance() {
    let mut fleet = StopFleet::open("stops-one-instance", 1, &[0]).await;
    fleet.send(3).await;
    fleet.check().await;
}
