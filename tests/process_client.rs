//! Runs the client binary against an admin API in this process and a stand-in platform process.

mod common;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Output, Stdio};
use std::rc::Rc;

use common::{DaemonPlan, ScratchDir};
use wagtailtrack::admin::{AdminServer, AdminSources, ChangeAction, ChangeEvent};
use wagtailtrack::config::{ConfigHandle, ConfigSources};
use wagtailtrack::peers::{FleetKey, PeerPool};
use wagtailtrack::platform::HttpPlatform;
use wagtailtrack::resource::KeyHash;
use wagtailtrack::settings::PlatformSettings;
use wagtailtrack::time::ProcessClock;

const TOKEN: &str = "operators-token";

/// The stand-in platform in a child process, which is killed on drop.
struct StandinPlatform {
    child: Child,
    address: SocketAddr,
}

impl StandinPlatform {
    fn open() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_standin-platform"))
            .args(["--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        output.read_line(&mut line).unwrap();
        let address = line.strip_prefix("ready ").unwrap().trim().parse().unwrap();
        Self { child, address }
    }

    async fn control(&self, mode: &str) {
        let url = format!("http://{}/control", self.address);
        let sent = awc::Client::default().post(url).send_body(mode.to_owned());
        assert!(sent.await.unwrap().status().is_success());
    }
}

impl Drop for StandinPlatform {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The configuration and admin API of a daemon, running in this process.
struct TestDaemon {
    platform: StandinPlatform,
    server: AdminServer,
    config: ConfigHandle,
    folder: ScratchDir,
}

impl TestDaemon {
    async fn open(name: &str) -> Self {
        let platform = StandinPlatform::open();
        let settings: PlatformSettings =
            toml::from_str(&format!("address = \"{}\"", platform.address)).unwrap();
        let config = ConfigHandle::spawn(ConfigSources {
            platform: Rc::new(HttpPlatform::open(&settings)),
            settings,
            daemon: "d1".parse().unwrap(),
            boot: wagtailtrack::ids::BootId(1),
            clock: ProcessClock::open(),
            peers: PeerPool::open(FleetKey::open("0123456789abcdef")),
            peer_addresses: Rc::new(Vec::new),
        });
        let dumped = config.clone();
        let server = AdminServer::bind(AdminSources {
            address: "127.0.0.1:0".parse().unwrap(),
            token_hash: KeyHash::hash_secret(TOKEN),
            config: config.clone(),
            zones: Rc::new(BTreeSet::new),
            suspects: common::no_suspects(),
            is_ready: Rc::new(|| true),
            dump: Rc::new(move || dumped.dump()),
            metrics: Rc::new(|| "up 1".to_owned()),
        })
        .await
        .unwrap();
        let folder = ScratchDir::open(name);
        folder.write("token", TOKEN);
        Self {
            platform,
            server,
            config,
            folder,
        }
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wagtailtrack"));
        command
            .args(["--daemon", &self.server.address().to_string()])
            .arg("--token-file")
            .arg(self.folder.path().join("token"))
            .args(arguments);
        command
    }

    async fn run(&self, arguments: &[&str]) -> Output {
        let mut command = self.command(arguments);
        actix_rt::task::spawn_blocking(move || command.output().unwrap())
            .await
            .unwrap()
    }

    /// Runs the client, expects success and returns its standard output.
    async fn run_ok(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments).await;
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{arguments:?}: {errors}");
        String::from_utf8(output.stdout).unwrap()
    }

    /// Runs the client and expects this exit status and `word` in its standard error output.
    async fn run_err(&self, arguments: &[&str], code: i32, word: &str) {
        let output = self.run(arguments).await;
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {errors}");
        assert!(
            errors.contains(word),
            "{arguments:?}: '{word}' is not in: {errors}"
        );
    }
}

const SERVICE: [&str; 10] = [
    "create",
    "service",
    "desk",
    "floor=60%",
    "slots=3",
    "retry-budget=10%",
    "weights.lookup=10",
    "weights.filing=20",
    "weights.extract=5",
    "weights.internal-check=10",
];

/// Each kind of resource can be created, read, listed, changed and deleted with the client. Guards
/// against a key's secret in later output, and against deleting an account that a route refers to.
#[actix_rt::test]
async fn every_resource_kind() {
    let daemon = TestDaemon::open("every-kind").await;
    daemon.run_ok(&["create", "account", "crew-7"]).await;
    daemon.run_ok(&SERVICE).await;
    let rate = ["create", "rate", "crew-7", "rate=3 per second", "burst=5"];
    daemon.run_ok(&rate).await;
    let route = [
        "create",
        "route",
        "lookups",
        "prefix=/lookups",
        "service=desk",
        "class=lookup",
        "access.accounts=crew-7",
    ];
    daemon.run_ok(&route).await;
    let issued = daemon
        .run_ok(&["--json", "key", "issue", "k1", "--account", "crew-7"])
        .await;
    let issued: serde_json::Value = serde_json::from_str(&issued).unwrap();
    let secret = issued["secret"].as_str().unwrap();
    let hash = KeyHash::hash_secret(secret);
    assert_eq!(
        daemon.config.catalog().lookup_key(&hash),
        wagtailtrack::config::KeyLookup::Known("crew-7".parse().unwrap())
    );
    let listed = daemon.run_ok(&["list", "route"]).await;
    assert!(
        listed.contains("ID") && listed.contains("/lookups"),
        "{listed}"
    );
    let kept = daemon.run_ok(&["--json", "get", "key", "k1"]).await;
    assert!(!kept.contains(secret) && kept.contains(&hash.to_string()));
    daemon
        .run_ok(&["update", "service", "desk", "slots=4"])
        .await;
    daemon
        .run_err(&["delete", "account", "crew-7"], 4, "route/lookups")
        .await;
    daemon.run_ok(&["key", "withdraw", "k1"]).await;
    assert_eq!(
        daemon.config.catalog().lookup_key(&hash),
        wagtailtrack::config::KeyLookup::Withdrawn
    );
    daemon.run_ok(&["delete", "key", "k1"]).await;
    daemon.run_ok(&["delete", "route", "lookups"]).await;
    daemon.run_ok(&["delete", "rate", "crew-7"]).await;
    daemon.run_ok(&["delete", "account", "crew-7"]).await;
}

/// Invalid values, missing references, existing names and stale versions are refused with the exit
/// status of the cause and a message that names it.
#[actix_rt::test]
async fn refused_commands() {
    let daemon = TestDaemon::open("refused-commands").await;
    daemon
        .run_err(&["get", "account", "none"], 3, "account/none")
        .await;
    daemon
        .run_err(&["create", "account", "Crew 7"], 2, "Crew 7")
        .await;
    daemon
        .run_err(&["create", "key", "k1"], 2, "key issue")
        .await;
    let orphan = ["key", "issue", "k1", "--account", "none"];
    daemon.run_err(&orphan, 2, "account/none").await;
    daemon.run_ok(&["create", "account", "crew-7"]).await;
    daemon
        .run_err(&["create", "account", "crew-7"], 4, "exists already")
        .await;
    daemon
        .run_err(
            &["create", "rate", "crew-7", "rate=fast", "burst=3"],
            2,
            "3 per second",
        )
        .await;
    daemon
        .run_err(&["create", "rate", "crew-7", "colour=red"], 2, "colour")
        .await;
    let stale = ["update", "--version", "99", "account", "crew-7"];
    daemon.run_err(&stale, 4, "not 99").await;
    let prefix = [
        "create",
        "route",
        "r",
        "prefix=x",
        "service=s",
        "class=lookup",
        "access=all",
    ];
    daemon.run_err(&prefix, 2, "begin it with '/'").await;
}

/// A change fails as unavailable while the platform is down. When the platform commits but its
/// responses are lost, the change succeeds and is applied once.
#[actix_rt::test]
async fn platform_outage() {
    let daemon = TestDaemon::open("platform-outage").await;
    daemon.run_ok(&["create", "account", "crew-7"]).await;
    daemon.platform.control("\"down\"").await;
    daemon
        .run_err(&["create", "account", "crew-8"], 5, "not accepted")
        .await;
    daemon.platform.control("\"lose-answers\"").await;
    daemon.run_ok(&["create", "account", "crew-9"]).await;
    daemon.platform.control("\"up\"").await;
    let listed = daemon.run_ok(&["list", "account"]).await;
    assert!(
        listed.contains("crew-9") && !listed.contains("crew-8"),
        "{listed}"
    );
    assert_eq!(daemon.config.revision().0, 2);
}

/// A watch prints past and new changes in the order of their revisions. A watch from a revision that
/// does not exist yet is refused.
#[actix_rt::test]
async fn watched_changes() {
    let daemon = TestDaemon::open("watched").await;
    daemon.run_ok(&["create", "account", "crew-1"]).await;
    let mut watcher = daemon
        .command(&["--json", "watch", "--from", "0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let output = BufReader::new(watcher.stdout.take().unwrap());
    daemon.run_ok(&["create", "account", "crew-2"]).await;
    daemon.run_ok(&["delete", "account", "crew-1"]).await;
    let lines = actix_rt::task::spawn_blocking(move || {
        let lines: Vec<String> = output.lines().take(3).map(Result::unwrap).collect();
        lines
    });
    let lines = lines.await.unwrap();
    watcher.kill().unwrap();
    watcher.wait().unwrap();
    let seen: Vec<ChangeEvent> = lines
        .iter()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let revisions: Vec<u64> = seen.iter().map(|line| line.revision.0).collect();
    assert_eq!(revisions, [1, 2, 3]);
    assert_eq!(seen[2].action, ChangeAction::Delete);
    assert_eq!(seen[2].resource["id"], "crew-1");
    daemon.run_err(&["watch", "--from", "9"], 2, "'9'").await;
}

/// A repeated operation id returns the first outcome without a second change or a second copy of a
/// key's secret. The same id with a different change is refused.
#[actix_rt::test]
async fn repeated_operation() {
    let daemon = TestDaemon::open("repeated-operation").await;
    let change = ["--operation", "op-1", "create", "account", "crew-1"];
    daemon
        .run_err(&["operation", "op-1"], 3, "same operation id")
        .await;
    daemon.run_ok(&change).await;
    let repeated = daemon.run_ok(&change).await;
    assert!(repeated.contains("before) at revision 1"), "{repeated}");
    daemon.run_ok(&["operation", "op-1"]).await;
    let other = ["--operation", "op-1", "create", "account", "crew-2"];
    daemon.run_err(&other, 4, "new operation id").await;
    let issue = [
        "--operation",
        "op-2",
        "key",
        "issue",
        "k1",
        "--account",
        "crew-1",
    ];
    let first = daemon.run_ok(&issue).await;
    assert!(first.contains("wtk_"), "{first}");
    let second = daemon.run_ok(&issue).await;
    assert!(
        !second.contains("wtk_") && second.contains("withdraw the key"),
        "{second}"
    );
}

/// `check-config` accepts valid settings, and refuses out-of-range values with a remedy.
#[actix_rt::test]
async fn settings_check() {
    let daemon = TestDaemon::open("settings-check").await;
    let platform = "127.0.0.1:1".parse().unwrap();
    let valid = DaemonPlan::new("d1", "z1", platform).settings();
    let valid_file = daemon.folder.write("valid.toml", &valid);
    daemon
        .run_ok(&["check-config", valid_file.to_str().unwrap()])
        .await;
    for (field, remedy) in [
        ("freshness = \"1s\"", "at least 3s"),
        ("head_polls_per_second = 0", "at least 1"),
    ] {
        let invalid = valid.replace("[platform]", &format!("[platform]\n{field}"));
        let invalid_file = daemon.folder.write("invalid.toml", &invalid);
        daemon
            .run_err(&["check-config", invalid_file.to_str().unwrap()], 2, remedy)
            .await;
    }
}

/// Usage errors exit with status 2 and name the argument; a wrong token exits with status 1.
#[actix_rt::test]
async fn bad_usage() {
    let daemon = TestDaemon::open("usage").await;
    daemon.run_err(&["fly"], 2, "fly").await;
    daemon
        .run_err(&["create", "planet", "x"], 2, "planet")
        .await;
    daemon
        .run_err(&["create", "service", "x", "slots"], 2, "slots=3")
        .await;
    daemon
        .run_err(&["--wait", "3", "create", "account", "x"], 2, "250ms")
        .await;
    daemon
        .run_err(
            &["check-config", "/nonexistent.toml"],
            2,
            "/nonexistent.toml",
        )
        .await;
    let help = daemon.run_ok(&["--help"]).await;
    assert!(help.contains("watch"), "{help}");
    daemon.folder.write("token", "wrong");
    daemon.run_err(&["list", "account"], 1, "token").await;
}
