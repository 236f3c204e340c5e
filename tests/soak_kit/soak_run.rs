//! One run of the soak: the fleet, its callers and the series of faults.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::http::Method;
use fastrand::Rng;

use super::fault_series::{SoakDaemon, run_instances, run_links};
use super::request_log::RequestLog;
use crate::common::{CallerClient, DeskFleet, FleetPlan, eventually};

/// Callers of each daemon.
const WORKERS: usize = 2;
/// Deadline of each request, in milliseconds.
const DEADLINE_MILLIS: &str = "3000";
/// Time within which a withdrawn key must be refused by every daemon: the freshness of the settings and
/// one second for requests on their way.
const KEY_LIFE: Duration = Duration::from_secs(11);
/// Requests that each daemon must serve in a row once all faults have ended.
const SERVED_AT_END: usize = 10;
const PAUSE: Duration = Duration::from_millis(5);

/// A fleet under load, with everything that a seed draws.
pub struct SoakRun {
    desk: Rc<DeskFleet>,
    daemons: Vec<Rc<SoakDaemon>>,
    log: Rc<RequestLog>,
    rng: Rng,
    is_over: Rc<Cell<bool>>,
}

impl SoakRun {
    /// Starts `daemons` daemons with an instance each.
    pub async fn open(seed: u64, daemons: usize) -> Self {
        let plan = FleetPlan {
            daemons,
            zones: 2,
            has_relays: true,
            tables: "[proxy]\nshutdown = \"6s\"\n".to_owned(),
            ..FleetPlan::default()
        };
        let mut desk = DeskFleet::open_with(&format!("soak-{seed}"), plan, |plan| {
            plan.service_time = "20ms".into();
        })
        .await;
        // Their own cells let each series hold its daemon while the fleet is shared.
        let daemons = desk.fleet.daemons.drain(..).map(|process| {
            Rc::new(SoakDaemon {
                process: RefCell::new(process),
                disturbances: Cell::default(),
            })
        });
        Self {
            daemons: daemons.collect(),
            desk: Rc::new(desk),
            log: Rc::default(),
            rng: Rng::with_seed(seed),
            is_over: Rc::default(),
        }
    }

    /// Runs all series for `span`, waits for the recovery and returns what was found.
    pub async fn run(mut self, span: Duration) -> Vec<String> {
        let end = Instant::now() + span;
        let workers = self.spawn_workers();
        let mut series = Vec::new();
        for daemon in self.daemons.iter().skip(1) {
            let (daemon, rng) = (Rc::clone(daemon), self.rng.fork());
            series.push(actix_rt::spawn(async move {
                daemon.run_series(rng, end).await;
            }));
        }
        let (links, instances) = (self.rng.fork(), self.rng.fork());
        series.push(actix_rt::spawn(run_links(
            Rc::clone(&self.desk),
            links,
            end,
        )));
        series.push(actix_rt::spawn(run_instances(
            Rc::clone(&self.desk),
            instances,
            end,
        )));
        self.withdraw_key(end).await;
        for one in series {
            one.await.unwrap();
        }
        self.recover().await;
        self.is_over.set(true);
        for worker in workers {
            worker.await.unwrap();
        }
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        eprintln!("{} of {} served", self.log.served(), self.log.total());
        self.log.findings(&self.desk).await
    }

    fn spawn_workers(&self) -> Vec<actix_rt::task::JoinHandle<()>> {
        let pairs = self.daemons.iter().enumerate();
        let pairs = pairs.flat_map(|pair| (0..WORKERS).map(move |worker| (pair, worker)));
        let spawn = |((index, daemon), worker): ((usize, &Rc<SoakDaemon>), usize)| {
            let caller = daemon.process.borrow().caller();
            let caller = caller.with_key(&self.desk.secret);
            let (daemon, log) = (Rc::clone(daemon), Rc::clone(&self.log));
            let is_over = Rc::clone(&self.is_over);
            let name = format!("{index}-{worker}");
            actix_rt::spawn(keep_sending(caller, daemon, log, is_over, name))
        };
        pairs.map(spawn).collect()
    }

    /// Issues a key, uses it through every daemon and withdraws it halfway.
    async fn withdraw_key(&mut self, end: Instant) {
        let admin = self.daemons[0].process.borrow().admin();
        let resources = crate::common::ResourceClient::open(admin);
        let secret = resources.issue_key("withdrawn", "crew").await;
        let callers: Vec<CallerClient> = self
            .daemons
            .iter()
            .map(|daemon| daemon.process.borrow().caller().with_key(&secret))
            .collect();
        let withdraw_at = end - end.saturating_duration_since(Instant::now()) / 2;
        let mut is_withdrawn = false;
        while Instant::now() < end || self.log.key_ends.get().is_none_or(|at| Instant::now() < at) {
            if Instant::now() >= withdraw_at && !is_withdrawn {
                is_withdrawn = resources
                    .withdraw_key("withdrawn")
                    .await
                    .status
                    .is_success();
                if is_withdrawn {
                    self.log.key_ends.set(Some(Instant::now() + KEY_LIFE));
                }
            }
            let caller = &callers[self.rng.usize(0..callers.len())];
            let sent = Instant::now();
            if let Ok(answer) = caller.get("/lookups/1").await {
                self.log.record_withdrawn(sent, &answer);
            }
            actix_rt::time::sleep(PAUSE * 4).await;
        }
    }

    /// Waits until every daemon serves again.
    async fn recover(&self) {
        for daemon in &self.daemons {
            let caller = daemon.process.borrow().caller();
            let caller = caller.with_key(&self.desk.secret);
            let mut in_a_row = 0;
            eventually("a daemon that serves again", async || {
                let answer = caller.get("/lookups/1").await;
                let is_served = answer.is_ok_and(|answer| answer.status.is_success());
                in_a_row = if is_served { in_a_row + 1 } else { 0 };
                in_a_row >= SERVED_AT_END
            })
            .await;
        }
    }
}

/// Sends lookups and filings over kept connections until the run is over, whatever happens to the daemon.
async fn keep_sending(
    caller: CallerClient,
    daemon: Rc<SoakDaemon>,
    log: Rc<RequestLog>,
    is_over: Rc<Cell<bool>>,
    name: String,
) {
    let caller = caller.with_header("x-deadline-ms", DEADLINE_MILLIS);
    let mut number = 0;
    while !is_over.get() {
        let tag = format!("{name}-{number}");
        number += 1;
        let is_filing = number % 2 == 0;
        let before = daemon.disturbances.get();
        let answer = match is_filing {
            true => {
                caller
                    .send(Method::POST, "/filings", &tag, tag.as_bytes())
                    .await
            }
            false => caller.send(Method::GET, "/lookups/1", &tag, b"").await,
        };
        // An odd count means that a fault is in progress.
        let is_disturbed = before % 2 == 1 || before != daemon.disturbances.get();
        log.record(&tag, is_filing, is_disturbed, answer);
        actix_rt::time::sleep(PAUSE).await;
    }
}
