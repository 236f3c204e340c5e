//! Tests with real processes: a stopping daemon waits neither for the platform nor for other daemons,
//! starts nothing that the exit would cut off, and serves the calls of the runs beside it.

mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::http::{Method, StatusCode};
use common::{
    CallerAnswer, CallerClient, CallerError, DeskFleet, FleetPlan, TestFleet, eventually,
    free_address,
};
use serde_json::Value;
use wagtailtrack::http::{HttpHandler, HttpServer, text_response};

/// Logged when the instances beside the stopping daemon begin to drain.
const DRAIN_LINE: &str = "The instances of this VM drain.";

/// Waits until the instances beside the daemon `index` drain.
async fn drained(fleet: &TestFleet, index: usize) {
    let process = &fleet.daemons[index].process;
    eventually("a drain", async || process.output().contains(DRAIN_LINE)).await;
}

/// Guards against a shutdown that waits for the platform and for other daemons to take the rate limits
/// back: the instances drained too late, and the daemon was killed with its requests.
#[actix_rt::test]
async fn silent_platform() {
    const SHUTDOWN: Duration = Duration::from_secs(6);
    let plan = FleetPlan {
        platform_fields: "timeout = \"20s\"".to_owned(),
        tables: "[proxy]\nshutdown = \"6s\"\n".to_owned(),
        ..FleetPlan::of(3)
    };
    let mut fleet = TestFleet::open("stop-silent-platform", plan).await;
    eventually("leases of rates", async || held_shares(&fleet, 0) > 0).await;
    fleet.platform_mode("{\"slow\":60000}").await;
    fleet.daemons[2].process.pause();
    let stopped_at = Instant::now();
    fleet.daemons[0].process.terminate();
    drained(&fleet, 0).await;
    let drained_after = stopped_at.elapsed();
    let status = fleet.daemons[0].process.ended().await;
    let ended_after = stopped_at.elapsed();
    assert!(
        drained_after < SHUTDOWN / 2,
        "drained after {drained_after:?}, ended after {ended_after:?}"
    );
    assert!(ended_after < SHUTDOWN, "ended after {ended_after:?}");
    assert_eq!(status.code(), Some(0));
}

/// Returns the number of shares of the rates that the daemon `index` leases.
fn held_shares(fleet: &TestFleet, index: usize) -> usize {
    let output = fleet.operate(index, &["dump"]).stdout;
    let dump: Value = serde_json::from_slice(&output).unwrap();
    let held = &dump["limits"]["shares_leased"];
    held.as_array().map_or(0, Vec::len)
}

/// Guards against waiting requests that start while the daemon beside their instance ends, and are cut
/// off by its exit: they go to another instance.
#[actix_rt::test]
async fn waiting_requests_move() {
    const REQUESTS: usize = 24;
    let plan = FleetPlan {
        tables: "[proxy]\nshutdown = \"4s\"\n".to_owned(),
        ..FleetPlan::of(2)
    };
    let mut desk = DeskFleet::open_with("stop-waiting", plan, |plan| {
        plan.service_time = "1500ms".into();
    })
    .await;
    let caller = desk.caller(0).with_header("x-deadline-ms", "30000");
    let sent: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let caller = caller.clone();
            actix_rt::spawn(async move {
                let tag = format!("filing-{number}");
                let sending = caller.send(Method::POST, "/filings", &tag, b"filing");
                let answer = sending.await.unwrap();
                (tag, answer)
            })
        })
        .collect();
    eventually("a queue", async || offered(&desk, 1) >= REQUESTS / 3).await;
    desk.fleet.daemons[1].process.terminate();
    drained(&desk.fleet, 1).await;
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let started = desk.fleet.backends[1].ran().await.len();
    let status = desk.fleet.daemons[1].process.ended().await;
    let total = desk.fleet.backends[1].ran().await.len();
    assert_eq!(total, started, "requests started after the drain");
    assert_eq!(status.code(), Some(0));
    for request in sent {
        let (tag, answer) = request.await.unwrap();
        assert!(answer.answers(&tag, b"filing"), "{tag}: {}", answer.text());
        assert_eq!(desk.times_ran(&tag).await, 1, "{tag}");
    }
}

/// Returns the number of requests that wait or run beside the daemon `index`.
fn offered(desk: &DeskFleet, index: usize) -> usize {
    let output = desk.fleet.operate(index, &["dump"]).stdout;
    let dump: Value = serde_json::from_slice(&output).unwrap();
    let count = dump["egress"]["under_way"].as_u64().unwrap();
    usize::try_from(count).unwrap()
}

/// An instance whose runs call the service `desk` through the daemon beside it when told to.
#[derive(Clone, Default)]
struct CallingInstance {
    /// The calls that are due since the run began.
    due: Rc<Cell<usize>>,
    /// The answers to the calls that were made.
    answers: Rc<RefCell<Vec<Result<CallerAnswer, CallerError>>>>,
    /// Tells the run to end.
    is_released: Rc<Cell<bool>>,
}

impl CallingInstance {
    /// Serves runs; their calls go to the daemon at `daemon`, each on a connection of its own.
    async fn listen(&self, daemon: SocketAddr, key: String) -> HttpServer {
        let instance = self.clone();
        let handler: HttpHandler = Rc::new(move |_| {
            let (instance, key) = (instance.clone(), key.clone());
            Box::pin(async move {
                while !instance.is_released.get() {
                    instance.make_due_call(daemon, &key).await;
                    actix_rt::time::sleep(Duration::from_millis(10)).await;
                }
                text_response(StatusCode::OK, "ran")
            })
        });
        HttpServer::bind(free_address(), handler).await.unwrap()
    }

    async fn make_due_call(&self, daemon: SocketAddr, key: &str) {
        if self.answers.borrow().len() == self.due.get() {
            return;
        }
        let client = CallerClient::open(daemon).with_key(key);
        let client = client.with_header("x-deadline-ms", "1000");
        let answer = client.get("/checks/1").await;
        self.answers.borrow_mut().push(answer);
    }

    /// Has the run make a call and checks that it is served by the other daemon's instance.
    async fn check_call(&self) {
        self.due.set(self.due.get() + 1);
        eventually("the answer to a call", async || {
            self.answers.borrow().len() == self.due.get()
        })
        .await;
        let answers = self.answers.borrow();
        let answer = answers.last().unwrap().as_ref();
        let answer = answer.expect("the call was refused or broken off");
        assert_eq!(answer.status.as_u16(), 200, "{}", answer.text());
        assert_eq!(answer.header("x-instance"), "desk-2");
    }
}

/// Guards against runs that fail because the daemon beside their instance refuses the calls that they
/// make while it stops, and against a stop that serves other callers meanwhile.
#[actix_rt::test]
async fn calls_of_running_request() {
    const SHUTDOWN: Duration = Duration::from_secs(6);
    let plan = FleetPlan {
        tables: "[proxy]\nshutdown = \"6s\"\n".to_owned(),
        ..FleetPlan::of(2)
    };
    let mut desk = DeskFleet::open_with("stop-calls", plan, |_| {}).await;
    let resources = desk.fleet.resources(0);
    resources.create_service("ledger", 3).await;
    resources.create_route("entries", "ledger", "filing").await;
    let instance = CallingInstance::default();
    let daemon = &desk.fleet.daemons[0];
    let server = instance.listen(daemon.callers(), desk.secret.clone()).await;
    daemon
        .announce_instance("ledger-1", "ledger", server.address(), 3)
        .await;
    let caller = desk.caller(1);
    instance.is_released.set(true);
    eventually("a run at the instance", async || {
        let answer = caller.send(Method::POST, "/entries", "", b"").await;
        answer.is_ok_and(|answer| answer.text().trim() == "ran")
    })
    .await;
    instance.is_released.set(false);
    let run = actix_rt::spawn(async move { caller.send(Method::POST, "/entries", "", b"").await });
    eventually("the run", async || offered(&desk, 0) > 0).await;
    let stopped_at = Instant::now();
    desk.fleet.daemons[0].process.terminate();
    drained(&desk.fleet, 0).await;
    instance.check_call().await;
    check_sent_away(&desk).await;
    // From half of the shutdown on, only calls are served.
    actix_rt::time::sleep((SHUTDOWN / 2).saturating_sub(stopped_at.elapsed())).await;
    instance.check_call().await;
    check_sent_away(&desk).await;
    instance.is_released.set(true);
    let answer = run.await.unwrap().unwrap();
    assert_eq!(answer.text().trim(), "ran");
    let status = desk.fleet.daemons[0].process.ended().await;
    let ended_after = stopped_at.elapsed();
    assert_eq!(status.code(), Some(0));
    assert!(ended_after < SHUTDOWN, "ended after {ended_after:?}");
}

/// Checks that a request that is no call is refused as not run, and told to use another daemon.
async fn check_sent_away(desk: &DeskFleet) {
    let answer = desk.caller(0).get("/lookups/1").await.unwrap();
    assert_eq!(answer.verdict(), "not-run", "{}", answer.text());
    assert_eq!(answer.status.as_u16(), 503);
    assert_eq!(answer.header("connection"), "close");
    assert!(!answer.header("retry-after").is_empty());
}
