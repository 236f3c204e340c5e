//! One run of the soak: the fleet, its callers and the series of faults.

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use fastrand::Rng;

use super::fault_series::{SoakDaemon, run_groups, run_instances, run_links, run_platform};
use super::request_log::RequestLog;
use super::soak_caller::SoakCaller;
use super::stop_times::SHUTDOWN;
use crate::common::{BackendPlan, CallerClient, DeskFleet, FleetPlan, eventually};

/// Callers of each daemon, beside one that reads slowly.
const SENDERS: usize = 2;
/// Series of planned stops of groups.
const STOP_SERIES: usize = 2;
/// Names the folder to which the logs of a run with findings are copied.
const LOGS_VARIABLE: &str = "WAGTAILTRACK_SOAK_LOGS";
/// Time within which a withdrawn key must be refused by every daemon: the freshness of the settings and
/// one second for requests on their way.
const KEY_LIFE: Duration = Duration::from_secs(11);
/// Requests that each daemon must serve in a row once all faults have ended.
const SERVED_AT_END: usize = 10;
const PAUSE: Duration = Duration::from_millis(5);

/// The kinds of fault of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakFaults {
    /// Planned stops, kills, freezes, and faults of links, instances and the platform.
    All,
    /// Planned stops of groups of daemons, and faults of the platform, which no request passes.
    Stops,
}

/// A fleet under load, with everything that a seed draws.
pub struct SoakRun {
    faults: SoakFaults,
    desk: Rc<DeskFleet>,
    daemons: Vec<Rc<SoakDaemon>>,
    log: Rc<RequestLog>,
    rng: Rng,
    is_over: Rc<Cell<bool>>,
}

impl SoakRun {
    /// Starts `daemons` daemons with an instance each.
    pub async fn open(seed: u64, daemons: usize, faults: SoakFaults) -> Self {
        let plan = FleetPlan {
            daemons,
            zones: 2,
            has_relays: faults == SoakFaults::All,
            tables: format!("[proxy]\nshutdown = \"{}s\"\n", SHUTDOWN.as_secs()),
            ..FleetPlan::default()
        };
        let name = format!("soak-{seed}");
        let change = |plan: &mut BackendPlan| plan.service_time = "20ms".into();
        let mut desk = DeskFleet::open_unsettled(&name, plan, change).await;
        // Their own cells let each series hold its daemon while the fleet is shared.
        let processes = desk.fleet.daemons.drain(..);
        let daemons = processes.map(|process| Rc::new(SoakDaemon::new(process)));
        let run = Self {
            faults,
            daemons: daemons.collect(),
            desk: Rc::new(desk),
            log: Rc::default(),
            rng: Rng::with_seed(seed),
            is_over: Rc::default(),
        };
        run.recover().await;
        run
    }

    /// Runs all series for `span`, waits for the recovery and returns what was found.
    pub async fn run(mut self, span: Duration) -> Vec<String> {
        let callers = self.spawn_callers();
        let end = Instant::now() + span;
        let series = match self.faults {
            SoakFaults::All => self.spawn_faults(end),
            SoakFaults::Stops => self.spawn_stops(end),
        };
        if self.faults == SoakFaults::All {
            self.withdraw_key(end).await;
        }
        for one in series {
            one.await.unwrap();
        }
        self.recover().await;
        self.is_over.set(true);
        for caller in callers {
            caller.await.unwrap();
        }
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        eprintln!("{:?}", self.log.outcomes());
        let only_stops = self.faults == SoakFaults::Stops;
        let findings = self
            .log
            .findings(&self.desk, &self.daemons, only_stops)
            .await;
        if !findings.is_empty() {
            self.keep_logs();
        }
        findings
    }

    fn spawn_faults(&mut self, end: Instant) -> Vec<JoinHandle<()>> {
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
        series
    }

    fn spawn_stops(&mut self, end: Instant) -> Vec<JoinHandle<()>> {
        let mut series = Vec::new();
        for _ in 0..STOP_SERIES {
            let stops = run_groups(self.daemons.clone(), self.rng.fork(), end);
            series.push(actix_rt::spawn(stops));
        }
        let platform = run_platform(Rc::clone(&self.desk), self.rng.fork(), end);
        series.push(actix_rt::spawn(platform));
        series
    }

    fn spawn_callers(&mut self) -> Vec<JoinHandle<()>> {
        let mut callers = Vec::new();
        for (index, daemon) in self.daemons.iter().enumerate() {
            for worker in 0..=SENDERS {
                let caller = SoakCaller {
                    daemon: Rc::clone(daemon),
                    index,
                    name: format!("{index}-{worker}"),
                    secret: self.desk.secret.clone(),
                    log: Rc::clone(&self.log),
                    rng: self.rng.fork(),
                    is_over: Rc::clone(&self.is_over),
                };
                callers.push(match worker {
                    SENDERS => actix_rt::spawn(caller.keep_reading()),
                    _ => actix_rt::spawn(caller.keep_sending()),
                });
            }
        }
        callers
    }

    /// Copies the settings and logs of all processes to the folder that the environment names.
    fn keep_logs(&self) {
        let Ok(kept) = std::env::var(LOGS_VARIABLE) else {
            return;
        };
        let folder = self.desk.fleet.folder().path();
        let kept = Path::new(&kept).join(folder.file_name().unwrap());
        std::fs::create_dir_all(&kept).unwrap();
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            std::fs::copy(&path, kept.join(path.file_name().unwrap())).unwrap();
        }
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
