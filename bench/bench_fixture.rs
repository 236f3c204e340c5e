//! The fleet under measurement and the loads that it is given.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::sleep;

use crate::account_plan::AccountPlan;
use crate::common::{BackendPlan, FleetPlan, TestFleet, eventually};
use crate::load_stream::LoadStream;
use crate::request_kind::{ARCHIVE, DESK, RequestKind};
use crate::user_shape::UserShape;

/// Median service time of every instance.
pub const SERVICE_TIME: Duration = Duration::from_millis(40);
/// Mean of the lognormal service time over its median.
const MEAN_OVER_MEDIAN: f64 = 1.046;
/// The rates of all accounts together let this part of the capacity be sent while they behave.
const RATED_PART: f64 = 0.75;
/// Part of the desk's load that are filings.
const FILING_PART: f64 = 0.1;
/// Internal checks a second.
const CHECK_RATE: f64 = 20.0;
const SETTLE: Duration = Duration::from_secs(2);
const SHARES_PER_DAEMON: usize = 2;

/// A running fleet in a user's shape.
pub struct MeasureBench {
    /// The processes.
    pub fleet: TestFleet,
    /// The user's shape.
    pub shape: UserShape,
    /// The client accounts; the last one asks the internal checks.
    pub accounts: Vec<AccountPlan>,
    /// The seed.
    pub seed: u64,
}

impl MeasureBench {
    /// Starts the fleet, configures it and waits until requests are answered.
    pub async fn open(shape: UserShape, seed: u64, tables: &str) -> Self {
        let shares = shape.instances() * SHARES_PER_DAEMON;
        let plan = FleetPlan {
            daemons: shape.instances(),
            zones: shape.zones(),
            fields: "log_level = \"warn\"".to_owned(),
            tables: format!(
                "[limits]\nshares = {shares}\nshares_per_daemon = {SHARES_PER_DAEMON}\n{tables}"
            ),
            ..FleetPlan::default()
        };
        let fleet = TestFleet::open("measure", plan).await;
        let mut bench = Self {
            fleet,
            shape,
            accounts: rated_accounts(shape),
            seed,
        };
        bench.configure().await;
        bench.start_instances().await;
        bench.await_answers().await;
        bench
    }

    /// Requests a second that the instances of `service` can serve.
    pub fn capacity(&self, service: &str) -> f64 {
        capacity(self.shape, service)
    }

    /// The number of the account that asks internal checks.
    pub fn checker(&self) -> usize {
        self.accounts.len() - 1
    }

    /// Numbers of the client accounts.
    pub fn clients(&self) -> std::ops::Range<usize> {
        0..self.checker()
    }

    /// The addresses of all daemons for callers.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let daemons = self.fleet.daemons.iter();
        daemons.map(|daemon| daemon.callers()).collect()
    }

    /// The load of all accounts at `part` of the capacity of both services.
    pub fn streams(&self, part: f64) -> Vec<LoadStream> {
        let mut streams = Vec::new();
        for account in self.clients() {
            let share = self.account_share(account);
            let desk = part * share * self.capacity(DESK);
            let archive = part * share * self.capacity(ARCHIVE);
            streams.push(self.stream(account, RequestKind::Lookup, desk * (1.0 - FILING_PART)));
            streams.push(self.stream(account, RequestKind::Filing, desk * FILING_PART));
            streams.push(self.stream(account, RequestKind::History, archive));
        }
        streams.push(self.checks());
        streams
    }

    /// The internal checks.
    pub fn checks(&self) -> LoadStream {
        self.stream(self.checker(), RequestKind::Check, CHECK_RATE)
    }

    /// A stream of one account to all daemons.
    pub fn stream(&self, account: usize, kind: RequestKind, rate: f64) -> LoadStream {
        LoadStream {
            account,
            secret: self.accounts[account].secret.clone(),
            kind,
            rate,
            targets: self.targets(),
        }
    }

    /// Part of the whole load that `account` sends.
    pub fn account_share(&self, account: usize) -> f64 {
        let of = |plan: &AccountPlan| plan.rate as f64;
        let total: f64 = self.accounts[self.clients()].iter().map(of).sum();
        of(&self.accounts[account]) / total
    }

    /// Lets things come to rest between two measures.
    pub async fn settle(&self) {
        for backend in &self.fleet.backends {
            backend.fault("\"normal\"").await;
        }
        self.fleet.platform_mode("\"up\"").await;
        sleep(SETTLE).await;
    }

    async fn configure(&mut self) {
        let resources = self.fleet.resources(0);
        for service in [DESK, ARCHIVE] {
            resources.create_service(service, self.shape.slots()).await;
        }
        for kind in RequestKind::ALL {
            let (route, service) = (kind.route(), kind.service());
            resources.create_route(route, service, kind.class()).await;
        }
        for account in &mut self.accounts {
            account.secret = resources
                .create_caller(&account.name, account.rate, account.burst)
                .await;
        }
    }

    async fn start_instances(&mut self) {
        for index in 0..self.shape.instances() {
            let plan = self.instance_plan(index);
            self.fleet.add_backend(index, plan).await;
        }
    }

    fn instance_plan(&self, index: usize) -> BackendPlan {
        let service = match index < self.shape.desks() {
            true => DESK,
            false => ARCHIVE,
        };
        BackendPlan {
            slots: self.shape.slots(),
            service_time: format!("{}ms", SERVICE_TIME.as_millis()),
            seed: self.seed.wrapping_mul(1_000) + index as u64,
            ..BackendPlan::new(service, &instance_name(index))
        }
    }

    async fn await_answers(&self) {
        for daemon in &self.fleet.daemons {
            let caller = daemon.caller().with_key(&self.accounts[0].secret);
            for kind in RequestKind::ALL {
                eventually("an answer", async || {
                    let target = format!("/{}", kind.route());
                    let answer = caller.send(kind.method(), &target, "t", b"").await;
                    answer.is_ok_and(|answer| answer.status.is_success())
                })
                .await;
            }
        }
        sleep(SETTLE).await;
    }
}

/// The name of the instance beside the daemon `index`.
pub fn instance_name(index: usize) -> String {
    format!("i{}", index + 1)
}

fn capacity(shape: UserShape, service: &str) -> f64 {
    let instances = match service {
        DESK => shape.desks(),
        _ => shape.archives(),
    };
    let slots = instances as f64 * f64::from(shape.slots());
    slots / (SERVICE_TIME.as_secs_f64() * MEAN_OVER_MEDIAN)
}

fn rated_accounts(shape: UserShape) -> Vec<AccountPlan> {
    let total = capacity(shape, DESK) + capacity(shape, ARCHIVE);
    let mut accounts = AccountPlan::for_load(RATED_PART * total);
    accounts.push(AccountPlan::named("desk-checks", 4.0 * CHECK_RATE));
    accounts
}
