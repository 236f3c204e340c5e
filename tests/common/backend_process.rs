//! Stand-in instances beside a daemon.

use std::net::SocketAddr;
use std::path::Path;

use awc::http::Method;
use serde::Deserialize;

use super::caller_client::CallerClient;
use super::child_process::ChildProcess;
use super::free_ports::free_address;

/// How an instance is started.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// Its service.
    pub service: String,
    /// Its name.
    pub instance: String,
    /// Its slots.
    pub slots: u32,
    /// Its median service time.
    pub service_time: String,
    /// Seed of its service times and faults.
    pub seed: u64,
    /// Further arguments.
    pub extra: Vec<String>,
}

impl BackendPlan {
    /// An instance with 3 slots that answers within a few milliseconds.
    pub fn new(service: &str, instance: &str) -> Self {
        Self {
            service: service.to_owned(),
            instance: instance.to_owned(),
            slots: 3,
            service_time: "2ms".to_owned(),
            seed: 1,
            extra: Vec::new(),
        }
    }
}

/// A request as the instance recorded it.
#[derive(Debug, Clone, Deserialize)]
pub struct RanRequest {
    /// Its method.
    pub method: String,
    /// Its target.
    pub target: String,
    /// Its headers, in lower case.
    pub headers: Vec<(String, String)>,
    /// The caller's tag.
    pub tag: String,
    /// The length of its body.
    pub body_bytes: usize,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Service time that it needs, in milliseconds.
    pub work_ms: u64,
    /// "running", "completed" or "cancelled".
    pub outcome: String,
}

/// One running instance.
pub struct BackendProcess {
    /// The process.
    pub process: ChildProcess,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it was started with.
    pub plan: BackendPlan,
}

impl BackendProcess {
    /// Starts an instance that announces itself at `announce`.
    pub async fn open(plan: BackendPlan, announce: Option<SocketAddr>, folder: &Path) -> Self {
        Self::open_at(plan, free_address(), announce, folder).await
    }

    /// As `open`, at `address`.
    async fn open_at(
        plan: BackendPlan,
        address: SocketAddr,
        announce: Option<SocketAddr>,
        folder: &Path,
    ) -> Self {
        let mut arguments: Vec<String> = [
            ("--listen", address.to_string()),
            ("--service", plan.service.clone()),
            ("--instance", plan.instance.clone()),
            ("--slots", plan.slots.to_string()),
            ("--service-time", plan.service_time.clone()),
            ("--seed", plan.seed.to_string()),
        ]
        .into_iter()
        .flat_map(|(name, value)| [name.to_owned(), value])
        .collect();
        if let Some(announce) = announce {
            arguments.extend(["--announce".to_owned(), announce.to_string()]);
        }
        arguments.extend(plan.extra.iter().cloned());
        let log = folder.join(format!("{}.log", plan.instance));
        let mut process = ChildProcess::spawn("standin-backend", &arguments, &log);
        process.line("ready").await;
        Self {
            process,
            address,
            plan,
        }
    }

    /// Starts an instance at the same address in place of this one, if this one has ended. Returns
    /// whether it had.
    pub async fn replace_ended(&mut self, announce: SocketAddr, folder: &Path) -> bool {
        if self.process.is_running() {
            return false;
        }
        let mut plan = self.plan.clone();
        plan.instance = format!("{}x", plan.instance);
        *self = Self::open_at(plan, self.address, Some(announce), folder).await;
        true
    }

    /// A client that talks to the instance itself.
    pub fn client(&self) -> CallerClient {
        CallerClient::open(self.address)
    }

    /// Sets a fault, given as JSON, for example `"frozen"` or `{"slow":10}`.
    pub async fn fault(&self, fault: &str) {
        self.control(&format!("{{\"fault\":{fault}}}")).await;
    }

    /// Sends an order to the control endpoint.
    pub async fn control(&self, order: &str) {
        let sending = self
            .client()
            .send(Method::POST, "/control", "", order.as_bytes())
            .await;
        let answer = sending.unwrap();
        assert!(answer.status.is_success(), "{}", answer.text());
    }

    /// Every request that it ran.
    pub async fn ran(&self) -> Vec<RanRequest> {
        let answer = self.client().get("/ran").await.unwrap();
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// How often it ran the request tagged `tag`.
    pub async fn times_ran(&self, tag: &str) -> usize {
        let ran = self.ran().await;
        ran.iter().filter(|request| request.tag == tag).count()
    }
}
