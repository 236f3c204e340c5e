//! The whole system as real processes: the platform, daemons and instances.

use std::net::SocketAddr;
use std::process::{Command, Output};

use awc::http::Method;

use super::backend_process::{BackendPlan, BackendProcess};
use super::caller_client::CallerClient;
use super::child_process::{ChildProcess, program};
use super::daemon_process::{DaemonPlan, DaemonProcess, OPERATOR_TOKEN};
use super::free_ports::free_address;
use super::relay::RelayHandle;
use super::resource_client::ResourceClient;
use super::scratch_dir::ScratchDir;

const SEEDS: usize = 3;

/// What a fleet consists of.
#[derive(Debug, Clone, Default)]
pub struct FleetPlan {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of availability zones that they are spread over; at least one.
    pub zones: usize,
    /// Whether requests to each daemon's instances pass a relay.
    pub has_relays: bool,
    /// Settings of every daemon before the first table.
    pub fields: String,
    /// Further fields of the table `platform` of every daemon.
    pub platform_fields: String,
    /// Further tables in the settings of every daemon.
    pub tables: String,
}

impl FleetPlan {
    /// A fleet of `daemons` daemons in one zone.
    pub fn of(daemons: usize) -> Self {
        Self {
            daemons,
            ..Self::default()
        }
    }
}

/// A running fleet; dropping it ends every process.
pub struct TestFleet {
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// The instances, in the order of their starts.
    pub backends: Vec<BackendProcess>,
    /// The platform's process.
    pub platform: ChildProcess,
    /// The platform's own address.
    pub platform_address: SocketAddr,
    /// The relay between every daemon and the platform.
    pub platform_relay: RelayHandle,
    /// The relays before the daemons' egresses, if the plan has them.
    pub request_relays: Vec<RelayHandle>,
    folder: ScratchDir,
}

impl TestFleet {
    /// Starts the platform and the daemons and waits until all are ready.
    pub async fn open(name: &str, plan: FleetPlan) -> Self {
        let folder = ScratchDir::open(name);
        let platform_address = free_address();
        let arguments = ["--listen".to_owned(), platform_address.to_string()];
        let log = folder.path().join("platform.log");
        let mut platform = ChildProcess::spawn("standin-platform", &arguments, &log);
        platform.line("ready").await;
        let platform_relay = RelayHandle::bind(platform_address).unwrap();
        let mut plans = daemon_plans(&plan, platform_relay.address());
        let request_relays = if plan.has_relays {
            add_relays(&mut plans)
        } else {
            Vec::new()
        };
        let mut daemons: Vec<DaemonProcess> = plans
            .into_iter()
            .map(|plan| DaemonProcess::spawn(plan, folder.path()))
            .collect();
        for daemon in &mut daemons {
            daemon.ready().await;
        }
        Self {
            daemons,
            backends: Vec::new(),
            platform,
            platform_address,
            platform_relay,
            request_relays,
            folder,
        }
    }

    /// Starts an instance beside the daemon `index`.
    pub async fn add_backend(&mut self, index: usize, plan: BackendPlan) -> &BackendProcess {
        let announce = self.daemons[index].announce();
        let backend = BackendProcess::open(plan, Some(announce), self.folder.path()).await;
        self.backends.push(backend);
        self.backends.last().unwrap()
    }

    /// Runs the operators' client against the daemon `index`.
    pub fn operate(&self, index: usize, arguments: &[&str]) -> Output {
        Command::new(program("wagtailtrack"))
            .args(["--daemon", &self.daemons[index].admin().to_string()])
            .env("WAGTAILTRACK_TOKEN", OPERATOR_TOKEN)
            .args(arguments)
            .output()
            .unwrap()
    }

    /// An operator's client of the daemon `index`.
    pub fn resources(&self, index: usize) -> ResourceClient {
        ResourceClient::open(self.daemons[index].admin())
    }

    /// Sets how the platform behaves, given as JSON, for example `"down"`.
    pub async fn platform_mode(&self, mode: &str) {
        let client = CallerClient::open(self.platform_address);
        let sending = client.send(Method::POST, "/control", "", mode.as_bytes());
        let answer = sending.await.unwrap();
        assert!(answer.status.is_success(), "{}", answer.text());
    }

    /// The folder of the settings and logs.
    pub fn folder(&self) -> &ScratchDir {
        &self.folder
    }
}

fn add_relays(plans: &mut [DaemonPlan]) -> Vec<RelayHandle> {
    let add = |plan: &mut DaemonPlan| {
        let relay = RelayHandle::bind(plan.listen[1]).unwrap();
        plan.advertised = Some(relay.address());
        relay
    };
    plans.iter_mut().map(add).collect()
}

fn daemon_plans(plan: &FleetPlan, platform: SocketAddr) -> Vec<DaemonPlan> {
    let mut plans: Vec<DaemonPlan> = (0..plan.daemons)
        .map(|index| {
            let zone = format!("z{}", index % plan.zones.max(1) + 1);
            DaemonPlan::new(&format!("d{}", index + 1), &zone, platform)
        })
        .collect();
    let seeds: Vec<SocketAddr> = plans
        .iter()
        .take(SEEDS)
        .map(|plan| plan.listen[1])
        .collect();
    for daemon in &mut plans {
        daemon.seeds.clone_from(&seeds);
        daemon.fields.clone_from(&plan.fields);
        daemon.platform_fields.clone_from(&plan.platform_fields);
        daemon.tables.clone_from(&plan.tables);
    }
    plans
}
