//! The client's program against the operators' API of this process and the stand-in platform.

mod common;

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

/// The stand-in platform as a process of its own, stopped at the end.
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

/// A daemon's configuration and API within this process.
struct Fleet {
    platform: StandinPlatform,
    server: AdminServer,
    config: ConfigHandle,
    folder: ScratchDir,
}

impl Fleet {
    async fn open(name: &str) -> Self {
        let platform = StandinPlatform::open();
        let settings: PlatformSettings =
            toml::from_str(&format!("address = \"{}\"", platform.address)).unwrap();
        let config = ConfigHandle::spawn(ConfigSources {
            platform: Rc::new(HttpPlatform::open(&settings)),
            settings,
            daemon: "d1".parse().unwrap(),
            clock: ProcessClock::open(),
            peers: PeerPool::open(FleetKey::open("0123456789abcdef")),
            peer_addresses: Rc::new(Vec::new),
        });
        let dumped = config.clone();
        let server = AdminServer::bind(AdminSources {
            address: "127.0.0.1:0".parse().unwrap(),
            token_hash: KeyHash::hash_secret(TOKEN),
            config: config.clone(),
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

    async fn good(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments).await;
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{arguments:?}: {errors}");
        String::from_utf8(output.stdout).unwrap()
    }

    async fn bad(&self, arguments: &[&str], code: i32, word: &str) {
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

#[actix_rt::test]
async fn every_kind() {
    let fleet = Fleet::open("every-kind").await;
    fleet.good(&["create", "account", "crew-7"]).await;
    fleet.good(&SERVICE).await;
    let rate = ["create", "rate", "crew-7", "rate=3 per second", "burst=5"];
    fleet.good(&rate).await;
    let route = [
        "create",
        "route",
        "lookups",
        "prefix=/lookups",
        "service=desk",
        "class=lookup",
        "access.accounts=crew-7",
    ];
    fleet.good(&route).await;
    let issued = fleet
        .good(&["--json", "key", "issue", "k1", "--account", "crew-7"])
        .await;
    let issued: serde_json::Value = serde_json::from_str(&issued).unwrap();
    let secret = issued["secret"].as_str().unwrap();
    let hash = KeyHash::hash_secret(secret);
    assert_eq!(
        fleet.config.catalog().lookup_key(&hash),
        wagtailtrack::config::KeyLookup::Known("crew-7".parse().unwrap())
    );
    let listed = fleet.good(&["list", "route"]).await;
    assert!(
        listed.contains("ID") && listed.contains("/lookups"),
        "{listed}"
    );
    let kept = fleet.good(&["--json", "get", "key", "k1"]).await;
    assert!(!kept.contains(secret) && kept.contains(&hash.to_string()));
    fleet.good(&["update", "service", "desk", "slots=4"]).await;
    fleet
        .bad(&["delete", "account", "crew-7"], 4, "route/lookups")
        .await;
    fleet.good(&["key", "withdraw", "k1"]).await;
    assert_eq!(
        fleet.config.catalog().lookup_key(&hash),
        wagtailtrack::config::KeyLookup::Withdrawn
    );
    fleet.good(&["delete", "key", "k1"]).await;
    fleet.good(&["delete", "route", "lookups"]).await;
    fleet.good(&["delete", "rate", "crew-7"]).await;
    fleet.good(&["delete", "account", "crew-7"]).await;
}

#[actix_rt::test]
async fn bad_commands() {
    let fleet = Fleet::open("bad-commands").await;
    fleet
        .bad(&["get", "account", "none"], 3, "account/none")
        .await;
    fleet
        .bad(&["create", "account", "Crew 7"], 2, "Crew 7")
        .await;
    fleet.bad(&["create", "key", "k1"], 2, "key issue").await;
    let orphan = ["key", "issue", "k1", "--account", "none"];
    fleet.bad(&orphan, 2, "account/none").await;
    fleet.good(&["create", "account", "crew-7"]).await;
    fleet
        .bad(&["create", "account", "crew-7"], 4, "exists already")
        .await;
    fleet
        .bad(
            &["create", "rate", "crew-7", "rate=fast", "burst=3"],
            2,
            "3 per second",
        )
        .await;
    fleet
        .bad(&["create", "rate", "crew-7", "colour=red"], 2, "colour")
        .await;
    let stale = ["update", "--version", "99", "account", "crew-7"];
    fleet.bad(&stale, 4, "not 99").await;
    let prefix = [
        "create",
        "route",
        "r",
        "prefix=x",
        "service=s",
        "class=lookup",
        "access=all",
    ];
    fleet.bad(&prefix, 2, "begin it with '/'").await;
}

#[actix_rt::test]
async fn platform_away() {
    let fleet = Fleet::open("platform-away").await;
    fleet.good(&["create", "account", "crew-7"]).await;
    fleet.platform.control("\"down\"").await;
    fleet
        .bad(&["create", "account", "crew-8"], 5, "not accepted")
        .await;
    fleet.platform.control("\"lose-answers\"").await;
    fleet.good(&["create", "account", "crew-9"]).await;
    fleet.platform.control("\"up\"").await;
    let listed = fleet.good(&["list", "account"]).await;
    assert!(
        listed.contains("crew-9") && !listed.contains("crew-8"),
        "{listed}"
    );
    assert_eq!(fleet.config.revision().0, 2);
}

#[actix_rt::test]
async fn watched_changes() {
    let fleet = Fleet::open("watched").await;
    fleet.good(&["create", "account", "crew-1"]).await;
    let mut watcher = fleet
        .command(&["--json", "watch", "--from", "0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let output = BufReader::new(watcher.stdout.take().unwrap());
    fleet.good(&["create", "account", "crew-2"]).await;
    fleet.good(&["delete", "account", "crew-1"]).await;
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
    fleet.bad(&["watch", "--from", "9"], 2, "'9'").await;
}

#[actix_rt::test]
async fn settled_operation() {
    let fleet = Fleet::open("settled").await;
    let change = ["--operation", "op-1", "create", "account", "crew-1"];
    fleet
        .bad(&["operation", "op-1"], 3, "same operation id")
        .await;
    fleet.good(&change).await;
    let repeated = fleet.good(&change).await;
    assert!(repeated.contains("before) at revision 1"), "{repeated}");
    fleet.good(&["operation", "op-1"]).await;
    let other = ["--operation", "op-1", "create", "account", "crew-2"];
    fleet.bad(&other, 4, "new operation id").await;
    let issue = [
        "--operation",
        "op-2",
        "key",
        "issue",
        "k1",
        "--account",
        "crew-1",
    ];
    let first = fleet.good(&issue).await;
    assert!(first.contains("wtk_"), "{first}");
    let second = fleet.good(&issue).await;
    assert!(
        !second.contains("wtk_") && second.contains("withdraw the key"),
        "{second}"
    );
}

#[actix_rt::test]
async fn checked_settings() {
    let fleet = Fleet::open("checked").await;
    let platform = "127.0.0.1:1".parse().unwrap();
    let good = DaemonPlan::new("d1", "z1", platform).settings();
    let good_file = fleet.folder.write("good.toml", &good);
    fleet
        .good(&["check-config", good_file.to_str().unwrap()])
        .await;
    for (field, remedy) in [
        ("freshness = \"1s\"", "at least 3s"),
        ("head_polls_per_second = 0", "at least 1"),
    ] {
        let bad = good.replace("[platform]", &format!("[platform]\n{field}"));
        let bad_file = fleet.folder.write("bad.toml", &bad);
        fleet
            .bad(&["check-config", bad_file.to_str().unwrap()], 2, remedy)
            .await;
    }
}

#[actix_rt::test]
async fn bad_usage() {
    let fleet = Fleet::open("usage").await;
    fleet.bad(&["fly"], 2, "fly").await;
    fleet.bad(&["create", "planet", "x"], 2, "planet").await;
    fleet
        .bad(&["create", "service", "x", "slots"], 2, "slots=3")
        .await;
    fleet
        .bad(&["--wait", "3", "create", "account", "x"], 2, "250ms")
        .await;
    fleet
        .bad(
            &["check-config", "/nonexistent.toml"],
            2,
            "/nonexistent.toml",
        )
        .await;
    let help = fleet.good(&["--help"]).await;
    assert!(help.contains("watch"), "{help}");
    fleet.folder.write("token", "wrong");
    fleet.bad(&["list", "account"], 1, "token").await;
}
