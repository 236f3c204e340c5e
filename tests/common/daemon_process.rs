//! A real daemon with generated settings.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use awc::http::Method;
use wagtailtrack::resource::KeyHash;

use super::caller_client::CallerClient;
use super::child_process::ChildProcess;
use super::free_ports::free_address;
use super::patience::eventually;

/// The secret that all daemons of a test share.
pub const FLEET_SECRET: &str = "a secret of the test fleet";
/// The operators' credential in tests.
pub const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";

/// What a daemon's settings are made of.
#[derive(Debug, Clone)]
pub struct DaemonPlan {
    /// Name of its slot.
    pub daemon: String,
    /// Its availability zone.
    pub zone: String,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Further fields of the table `platform`.
    pub platform_fields: String,
    /// Peers to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Its own addresses: callers, peers, admin, announce.
    pub listen: [SocketAddr; 4],
    /// Where the other daemons send it requests, if not to its own address.
    pub advertised: Option<SocketAddr>,
    /// Fields before the first table.
    pub fields: String,
    /// Tables that follow the generated ones.
    pub tables: String,
}

impl DaemonPlan {
    /// A daemon on free addresses.
    pub fn new(daemon: &str, zone: &str, platform: SocketAddr) -> Self {
        Self {
            daemon: daemon.to_owned(),
            zone: zone.to_owned(),
            platform,
            platform_fields: String::new(),
            seeds: Vec::new(),
            listen: [(); 4].map(|()| free_address()),
            advertised: None,
            fields: String::new(),
            tables: String::new(),
        }
    }

    /// Its settings in TOML.
    pub fn settings(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let [callers, peers, admin, announce] = self.listen;
        let token_hash = KeyHash::hash_secret(OPERATOR_TOKEN);
        format!(
            r#"daemon = "{daemon}"
region = "r1"
zone = "{zone}"
fleet_secret = "{FLEET_SECRET}"
seeds = {seeds:?}
{fields}
[listen]
callers = "{callers}"
peers = "{peers}"
admin = "{admin}"
announce = "{announce}"
{advertised}

[platform]
address = "{platform}"
{platform_fields}

[operators]
token_hash = "{token_hash}"

{tables}
"#,
            advertised = self
                .advertised
                .map_or_else(String::new, |address| format!("advertised = \"{address}\"")),
            daemon = self.daemon,
            zone = self.zone,
            fields = self.fields,
            platform = self.platform,
            platform_fields = self.platform_fields,
            tables = self.tables,
        )
    }
}

/// One running daemon.
pub struct DaemonProcess {
    /// The process.
    pub process: ChildProcess,
    /// What it was started with.
    pub plan: DaemonPlan,
    folder: PathBuf,
    starts: u32,
}

impl DaemonProcess {
    /// Starts a daemon; its settings and log go into `folder`.
    pub fn spawn(plan: DaemonPlan, folder: &Path) -> Self {
        Self {
            process: start(&plan, folder, 0),
            plan,
            folder: folder.to_owned(),
            starts: 1,
        }
    }

    /// Waits until it says that it is ready.
    pub async fn ready(&mut self) {
        let admin = CallerClient::open(self.admin());
        eventually("a ready daemon", async || {
            assert!(self.process.is_running(), "{}", self.process.output());
            let answer = admin.get("/readyz").await;
            answer.is_ok_and(|answer| answer.status.is_success())
        })
        .await;
    }

    /// Starts it again on the same addresses, after it has ended.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process = start(&self.plan, &self.folder, self.starts);
        self.starts += 1;
    }

    /// Writes its settings anew, as `change` makes them of the present ones, and tells it.
    pub fn reload(&self, change: impl Fn(String) -> String) {
        let settings = self.folder.join(format!("{}.toml", self.plan.daemon));
        let text = std::fs::read_to_string(&settings).unwrap();
        std::fs::write(&settings, change(text)).unwrap();
        self.process.hang_up();
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.plan.listen[0]
    }

    /// Where the other daemons connect.
    pub fn peers(&self) -> SocketAddr {
        self.plan.listen[1]
    }

    /// Where operators connect.
    pub fn admin(&self) -> SocketAddr {
        self.plan.listen[2]
    }

    /// Where instances announce themselves.
    pub fn announce(&self) -> SocketAddr {
        self.plan.listen[3]
    }

    /// Announces the instance `name` of `service` at `address`, ready with `slots` for a minute.
    pub async fn announce_instance(
        &self,
        name: &str,
        service: &str,
        address: SocketAddr,
        slots: u32,
    ) {
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","phase":"ready","slots":{slots},"lease":"60s"}}"#
        );
        let client = CallerClient::open(self.announce());
        let target = format!("/v1/instances/{name}");
        let sending = client.send(Method::PUT, &target, "", body.as_bytes());
        let answer = sending.await.unwrap();
        assert!(answer.status.is_success(), "{}", answer.text());
    }

    /// A client of its callers' listener.
    pub fn caller(&self) -> CallerClient {
        CallerClient::open(self.callers())
    }

    /// A client of its admin listener with the operators' credential.
    pub fn operator(&self) -> CallerClient {
        CallerClient::open(self.admin()).with_key(OPERATOR_TOKEN)
    }
}

fn start(plan: &DaemonPlan, folder: &Path, starts: u32) -> ChildProcess {
    let settings = folder.join(format!("{}.toml", plan.daemon));
    std::fs::write(&settings, plan.settings()).unwrap();
    let log = folder.join(format!("{}-{starts}.log", plan.daemon));
    let arguments = ["--config".to_owned(), settings.display().to_string()];
    ChildProcess::spawn("wagtailtrackd", &arguments, &log)
}
