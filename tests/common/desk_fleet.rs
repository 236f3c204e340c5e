//! A fleet with one service, its routes and one client account, ready to be called.

use awc::http::Method;

use super::backend_process::BackendPlan;
use super::caller_client::{CallerAnswer, CallerClient, CallerError};
use super::patience::eventually;
use super::test_fleet::{FleetPlan, TestFleet};

/// The service's routes: `/lookups`, `/filings`, `/extracts` and `/checks`.
const ROUTES: [(&str, &str); 4] = [
    ("lookups", "lookup"),
    ("filings", "filing"),
    ("extracts", "extract"),
    ("checks", "internal-check"),
];
const RATE: u64 = 5_000;
const BURST: u64 = 5_000;

/// A running fleet that serves `desk` for the client account `crew`.
pub struct DeskFleet {
    /// The processes.
    pub fleet: TestFleet,
    /// The client account's secret.
    pub secret: String,
}

impl DeskFleet {
    /// Starts `daemons` daemons with one instance beside each, and waits until all serve.
    pub async fn open(name: &str, daemons: usize) -> Self {
        Self::open_with(name, FleetPlan::of(daemons), |_| {}).await
    }

    /// As `open`, with the plans changed.
    pub async fn open_with(name: &str, plan: FleetPlan, change: impl Fn(&mut BackendPlan)) -> Self {
        let desk = Self::open_unsettled(name, plan, change).await;
        desk.settle().await;
        desk
    }

    /// As `open_with`, without the wait until every daemon reaches every instance, which takes minutes in a
    /// fleet of dozens.
    pub async fn open_unsettled(
        name: &str,
        plan: FleetPlan,
        change: impl Fn(&mut BackendPlan),
    ) -> Self {
        let daemons = plan.daemons;
        let mut fleet = TestFleet::open(name, plan).await;
        let secret = configure(&fleet).await;
        for index in 0..daemons {
            let mut plan = BackendPlan::new("desk", &format!("desk-{}", index + 1));
            change(&mut plan);
            fleet.add_backend(index, plan).await;
        }
        Self { fleet, secret }
    }

    /// The key's secret.
    pub fn key(&self) -> &str {
        &self.secret
    }

    /// A caller of the daemon `index`, with the key.
    pub fn caller(&self, index: usize) -> CallerClient {
        self.fleet.daemons[index].caller().with_key(&self.secret)
    }

    /// Files a request tagged `tag` through the daemon `index`.
    pub async fn file(&self, index: usize, tag: &str) -> Result<CallerAnswer, CallerError> {
        let caller = self.caller(index);
        caller
            .send(Method::POST, "/filings", tag, tag.as_bytes())
            .await
    }

    /// How often the instances ran the request tagged `tag`, together.
    pub async fn times_ran(&self, tag: &str) -> usize {
        let mut times = 0;
        for backend in &self.fleet.backends {
            times += backend.times_ran(tag).await;
        }
        times
    }

    /// Waits until every daemon reaches every instance.
    async fn settle(&self) {
        for index in 0..self.fleet.daemons.len() {
            for backend in &self.fleet.backends {
                let caller = self.caller(index);
                let wanted = backend.plan.instance.clone();
                eventually("an answer of each instance", async || {
                    let answer = caller.get("/lookups/settle").await;
                    answer.is_ok_and(|answer| answer.header("x-instance") == wanted)
                })
                .await;
            }
        }
    }
}

async fn configure(fleet: &TestFleet) -> String {
    let resources = fleet.resources(0);
    resources.create_service("desk", 3).await;
    for (route, class) in ROUTES {
        resources.create_route(route, "desk", class).await;
    }
    let secret = resources.create_caller("crew", RATE, BURST).await;
    for daemon in &fleet.daemons {
        let caller = daemon.caller().with_key(&secret);
        eventually("the key in force", async || {
            let answer = caller.get("/none").await;
            answer.is_ok_and(|answer| answer.status.as_u16() == 404)
        })
        .await;
    }
    secret
}
