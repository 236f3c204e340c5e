//! Tests with daemon processes: log output, settings reload and callers that disconnect.

mod common;

use std::io::{BufRead, BufReader, Write};

use common::{
    CallerClient, ChildProcess, DaemonPlan, DeskFleet, ScratchDir, eventually, free_address,
};

/// Enough requests that their log lines exceed the capacity of a pipe and of the daemon's log queue.
const FLOOD_REQUESTS: usize = 6_000;

/// Guards against a lookup that keeps its slot at the instance after the caller has disconnected.
/// The lookup hangs at a frozen backend server, behind an ingress and an egress.
#[actix_rt::test]
async fn caller_disconnects() {
    let desk = DeskFleet::open("output-leaves", 2).await;
    for backend in &desk.fleet.backends {
        backend.fault("\"frozen\"").await;
    }
    let mut socket = std::net::TcpStream::connect(desk.fleet.daemons[0].callers()).unwrap();
    let key = desk.key();
    write!(
        socket,
        "GET /lookups/1 HTTP/1.1\r\nhost: desk\r\nauthorization: Bearer {key}\r\n\r\n"
    )
    .unwrap();
    let in_flight = || -> usize {
        let counts = (0..2).map(|index| {
            let dump = desk.fleet.operate(index, &["dump"]);
            let dump: serde_json::Value = serde_json::from_slice(&dump.stdout).unwrap();
            dump["egress"]["under_way"].as_u64().unwrap()
        });
        usize::try_from(counts.sum::<u64>()).unwrap()
    };
    eventually("the lookup in flight at an egress", async || {
        in_flight() == 1
    })
    .await;
    drop(socket);
    eventually("no lookup in flight at any egress", async || {
        in_flight() == 0
    })
    .await;
}

/// Guards against a reload that does not report the fields which need a restart, and against a
/// daemon that exits or stops serving because the reloaded file is invalid.
#[actix_rt::test]
async fn settings_reload() {
    let mut desk = DeskFleet::open("output-reread", 1).await;
    let daemon = &mut desk.fleet.daemons[0];
    daemon.reload(|text| {
        format!("log_level = \"WARN\"\n{text}").replacen("region = \"r1\"", "region = \"r9\"", 1)
    });
    eventually("a log line on the reload", async || {
        daemon
            .process
            .output()
            .contains("take effect after a restart")
    })
    .await;
    daemon.reload(|_| "daemon = 7".to_owned());
    eventually("a log line on the invalid file", async || {
        daemon.process.output().contains("Settings cannot be used")
    })
    .await;
    assert!(daemon.process.is_running());
    let answer = desk.caller(0).get("/lookups/1").await.unwrap();
    assert!(answer.status.is_success());
}

/// Guards against requests that block because nobody reads the daemon's output, and against dropped
/// log lines that are not reported afterwards.
#[actix_rt::test]
async fn unread_output() {
    let folder = ScratchDir::open("output-unread");
    let mut plan = DaemonPlan::new("d1", "r1a", free_address());
    plan.fields = "log_level = \"INFO\"".to_owned();
    let settings = folder.write("d1.toml", &plan.settings());
    let arguments = ["--config".to_owned(), settings.display().to_string()];
    let log = folder.path().join("errors");
    let (_daemon, output) = ChildProcess::spawn_piped("wagtailtrackd", &arguments, &log);
    let caller = CallerClient::open(plan.listen[0]);
    eventually("an answer", async || caller.get("/").await.is_ok()).await;
    for _ in 0..FLOOD_REQUESTS {
        let answer = caller.get("/lookups/1").await.unwrap();
        assert_eq!(answer.status, 503);
    }
    let mut lines = BufReader::new(output).lines();
    let is_reported = lines.any(|line| line.unwrap().contains("log lines dropped here"));
    assert!(is_reported);
}
