//! The benchmarked fleet, its client accounts and the loads that they send.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::sleep;

use crate::account_plan::AccountPlan;
use crate::common::{BackendPlan, FleetPlan, TestFleet, eventually};
use crate::fleet_shape::FleetShape;
use crate::load_stream::LoadStream;
use crate::request_kind::{ARCHIVE, DESK, RequestKind};

/// Median service time of every instance.
pub const SERVICE_TIME: Duration = Duration::from_millis(40);
/// Ratio of the mean to the median of the lognormal service time.
const MEAN_OVER_MEDIAN: f64 = 1.046;
/// Fraction of the capacity that all accounts together send while each stays within its limit.
const RATED_FRACTION: f64 = 0.75;
/// Fraction of the desk service's load that are filings.
const FILING_FRACTION: f64 = 0.1;
/// Rate of the internal checks, in requests per second.
const CHECK_RATE: f64 = 20.0;
/// Wait for the fleet to return to normal.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const SHARES_PER_DAEMON: usize = 2;

/// A running fleet with configured accounts, services and routes.
pub struct BenchFixture {
    /// The processes of the fleet.
    pub fleet: TestFleet,
    /// Size of the fleet.
    pub shape: FleetShape,
    /// The client accounts; the last one sends the internal checks.
    pub accounts: Vec<AccountPlan>,
    /// Seed of the load and of the simulated backend servers.
    pub seed: u64,
}

impl BenchFixture {
    /// Starts the fleet with the additional settings `tables` and waits until every route responds.
    pub async fn open(shape: FleetShape, seed: u64, tables: &str) -> Self {
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
        let mut fixture = Self {
            fleet,
            shape,
            accounts: rated_accounts(shape),
            seed,
        };
        fixture.configure().await;
        fixture.start_instances().await;
        fixture.wait_until_ready().await;
        fixture
    }

    /// Requests per second that the instances of `service` can serve.
    pub fn capacity(&self, service: &str) -> f64 {
        capacity(self.shape, service)
    }

    /// Index of the account that sends the internal checks.
    pub fn check_account(&self) -> usize {
        self.accounts.len() - 1
    }

    /// Indices of the client accounts, without the one that sends the internal checks.
    pub fn client_accounts(&self) -> std::ops::Range<usize> {
        0..self.check_account()
    }

    /// Addresses at which the daemons accept requests of clients.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let daemons = self.fleet.daemons.iter();
        daemons.map(|daemon| daemon.callers()).collect()
    }

    /// The streams of all accounts at `fraction` of the capacity of both services.
    pub fn streams(&self, fraction: f64) -> Vec<LoadStream> {
        let mut streams = Vec::new();
        for account in self.client_accounts() {
            let share = self.account_share(account);
            let desk = fraction * share * self.capacity(DESK);
            let archive = fraction * share * self.capacity(ARCHIVE);
            streams.push(self.stream(account, RequestKind::Lookup, desk * (1.0 - FILING_FRACTION)));
            streams.push(self.stream(account, RequestKind::Filing, desk * FILING_FRACTION));
            streams.push(self.stream(account, RequestKind::History, archive));
        }
        streams.push(self.check_stream());
        streams
    }

    /// The stream of internal checks.
    pub fn check_stream(&self) -> LoadStream {
        self.stream(self.check_account(), RequestKind::Check, CHECK_RATE)
    }

    /// A stream of one account to all daemons, at `rate` requests per second.
    pub fn stream(&self, account: usize, kind: RequestKind, rate: f64) -> LoadStream {
        LoadStream {
            account,
            secret: self.accounts[account].secret.clone(),
            kind,
            rate,
            targets: self.targets(),
        }
    }

    /// Fraction of the load of all client accounts that `account` sends.
    pub fn account_share(&self, account: usize) -> f64 {
        let of = |plan: &AccountPlan| plan.rate as f64;
        let total: f64 = self.accounts[self.client_accounts()].iter().map(of).sum();
        of(&self.accounts[account]) / total
    }

    /// Removes all injected faults, then waits two seconds for the fleet to return to normal.
    pub async fn reset(&self) {
        for backend in &self.fleet.backends {
            backend.fault("\"normal\"").await;
        }
        self.fleet.platform_mode("\"up\"").await;
        sleep(SETTLE_TIME).await;
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
        let service = match index < self.shape.desk_instances() {
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

    async fn wait_until_ready(&self) {
        for daemon in &self.fleet.daemons {
            let caller = daemon.caller().with_key(&self.accounts[0].secret);
            for kind in RequestKind::ALL {
                eventually("a successful response", async || {
                    let target = format!("/{}", kind.route());
                    let answer = caller.send(kind.method(), &target, "t", b"").await;
                    answer.is_ok_and(|answer| answer.status.is_success())
                })
                .await;
            }
        }
        sleep(SETTLE_TIME).await;
    }
}

/// The name of the instance whose local daemon is `index`.
pub fn instance_name(index: usize) -> String {
    format!("i{}", index + 1)
}

/// Requests per second that the instances of `service` can serve in a fleet of this size.
fn capacity(shape: FleetShape, service: &str) -> f64 {
    let instances = match service {
        DESK => shape.desk_instances(),
        _ => shape.archive_instances(),
    };
    let slots = instances as f64 * f64::from(shape.slots());
    slots / (SERVICE_TIME.as_secs_f64() * MEAN_OVER_MEDIAN)
}

fn rated_accounts(shape: FleetShape) -> Vec<AccountPlan> {
    let total = capacity(shape, DESK) + capacity(shape, ARCHIVE);
    let mut accounts = AccountPlan::for_load(RATED_FRACTION * total);
    accounts.push(AccountPlan::with_rate("desk-checks", 4.0 * CHECK_RATE));
    accounts
}
