//! The announcement server's HTTP interface: registration, renewal, drain and the refusal of
//! invalid requests.

mod common;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use wagtailtrack::instances::{
    AnnounceServer, AnnounceSources, LeaveJournal, LeftRuns, LocalInstance, RenewalRule,
};
use wagtailtrack::time::ProcessClock;
use wagtailtrack::wire::InstancePhase;

const READY_BODY: &str =
    r#"{"service":"desk","address":"127.0.0.1:8080","phase":"ready","slots":3,"lease":"60s"}"#;

/// A running announcement server, the changes that it reported, and its shutdown flag.
struct ServerHarness {
    server: AnnounceServer,
    changes: Rc<RefCell<Vec<LocalInstance>>>,
    stopping: Rc<RefCell<bool>>,
}

impl ServerHarness {
    async fn open() -> Self {
        let changes: Rc<RefCell<Vec<LocalInstance>>> = Rc::default();
        let stopping: Rc<RefCell<bool>> = Rc::default();
        let (reported, is_stopping) = (Rc::clone(&changes), Rc::clone(&stopping));
        let clock = ProcessClock::open();
        let platform = Rc::new(common::MemoryPlatform::default());
        let daemon = "daemon-1".parse().unwrap();
        let server = AnnounceServer::bind(AnnounceSources {
            journal: LeaveJournal::open(platform, &daemon, LeftRuns::default(), clock),
            reader: Rc::new(wagtailtrack::instances::Announcement::parse),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            clock,
            renewal_rule: RenewalRule::default(),
            on_change: Rc::new(move |local| reported.borrow_mut().push(local)),
            on_announcement: Rc::new(|_, _| {}),
            is_stopping: Rc::new(move || *is_stopping.borrow()),
        })
        .await
        .unwrap();
        Self {
            server,
            changes,
            stopping,
        }
    }

    async fn put(&self, path: &str, body: impl Into<String>) -> (u16, String) {
        let url = format!("http://{}{path}", self.server.address());
        let mut response = awc::Client::default()
            .put(url)
            .send_body(body.into())
            .await
            .unwrap();
        let text = response.body().await.unwrap();
        (
            response.status().as_u16(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }
}

/// A renewal that changes nothing is not reported as a change, and one after a drain gets status
/// 409.
#[test]
fn announce_and_drain() {
    actix_rt::System::new().block_on(async {
        let harness = ServerHarness::open().await;
        let name = "desk-1".parse().unwrap();
        for _ in 0..3 {
            let (status, text) = harness.put("/v1/instances/desk-1", READY_BODY).await;
            assert_eq!(status, 200, "{text}");
        }
        assert!(harness.server.accepts_work(&name));
        assert_eq!(
            harness.changes.borrow().len(),
            1,
            "a renewal was reported as a change"
        );
        let drain = READY_BODY.replace("ready", "draining");
        assert_eq!(harness.put("/v1/instances/desk-1", drain).await.0, 200);
        assert!(!harness.server.accepts_work(&name));
        assert_eq!(harness.put("/v1/instances/desk-1", READY_BODY).await.0, 409);
        let gone = READY_BODY.replace("ready", "gone");
        for _ in 0..2 {
            assert_eq!(
                harness.put("/v1/instances/desk-1", gone.clone()).await.0,
                200
            );
        }
        assert!(harness.server.instances().is_empty());
        let phases: Vec<_> = harness
            .changes
            .borrow()
            .iter()
            .map(|local| local.phase)
            .collect();
        let expected = [
            InstancePhase::Ready,
            InstancePhase::Draining,
            InstancePhase::Gone,
        ];
        assert_eq!(phases, expected);
    });
}

/// An instance whose lease expires is reported as draining.
#[test]
fn lease_expires() {
    actix_rt::System::new().block_on(async {
        let harness = ServerHarness::open().await;
        let short = READY_BODY.replace("60s", "500ms");
        harness.put("/v1/instances/desk-1", short).await;
        for _ in 0..600 {
            if !harness.changes.borrow().is_empty() && harness.changes.borrow().len() > 1 {
                break;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(harness.changes.borrow()[1].phase, InstancePhase::Draining);
    });
}

/// Invalid bodies, names and paths get the right status and message, and register nothing.
#[test]
fn invalid_input_refused() {
    actix_rt::System::new().block_on(async {
        let harness = ServerHarness::open().await;
        let with = |from: &str, to: &str| READY_BODY.replace(from, to);
        let cases = [
            (400, "not valid", "not json".to_owned()),
            (400, "not valid", String::new()),
            (
                400,
                "unknown field `colour`",
                with("{", r#"{"colour":"red","#),
            ),
            (400, "unknown variant `asleep`", with("ready", "asleep")),
            (400, "slots '0' is out of range", with(":3,", ":0,")),
            (400, "slots '20000' is out of range", with(":3,", ":20000,")),
            (400, "not valid", with(":3,", ":-1,")),
            (400, "lease '1ms' is out of range", with("60s", "1ms")),
            (400, "lease '1h' is out of range", with("60s", "1h")),
            (400, "time span 'soon'", with("60s", "soon")),
            (
                400,
                "not on this VM",
                with("127.0.0.1:8080", "192.0.2.1:8080"),
            ),
            (
                400,
                "not on this VM",
                with("127.0.0.1:8080", "0.0.0.0:8080"),
            ),
            (400, "not on this VM", with("127.0.0.1:8080", "127.0.0.1:0")),
            (400, "not valid", with("127.0.0.1:8080", "localhost:8080")),
            (400, "service 'Desk' holds 'D'", with("desk", "Desk")),
            (413, "larger than 4KiB", "x".repeat(5000)),
        ];
        for (expected, message, body) in cases {
            let (status, text) = harness.put("/v1/instances/desk-1", body.clone()).await;
            assert_eq!(status, expected, "{body}: {text}");
            assert!(text.contains(message), "{body}: {text}");
        }
        for path in [
            "/v1/instances/Desk",
            "/v1/instances/a%20b",
            "/v1/instances/a/b",
        ] {
            assert_eq!(harness.put(path, READY_BODY).await.0, 400, "{path}");
        }
        assert_eq!(harness.put("/v1/instances/", READY_BODY).await.0, 405);
        assert_eq!(harness.put("/v2/instances/desk-1", READY_BODY).await.0, 404);
        assert_eq!(harness.put("/v1/instancesx", READY_BODY).await.0, 404);
        assert!(harness.changes.borrow().is_empty());
        assert!(harness.server.instances().is_empty());
    });
}

/// A new instance gets status 503 if 64 are registered or the daemon is shutting down. Renewals are
/// still accepted.
#[test]
fn full_or_stopping() {
    actix_rt::System::new().block_on(async {
        let harness = ServerHarness::open().await;
        for number in 0..64 {
            let (status, _) = harness
                .put(&format!("/v1/instances/desk-{number}"), READY_BODY)
                .await;
            assert_eq!(status, 200);
        }
        assert_eq!(
            harness.put("/v1/instances/desk-64", READY_BODY).await.0,
            503
        );
        *harness.stopping.borrow_mut() = true;
        assert_eq!(harness.put("/v1/instances/desk-3", READY_BODY).await.0, 200);
        let (status, text) = harness.put("/v1/instances/desk-99", READY_BODY).await;
        assert_eq!(status, 503);
        assert!(text.contains("stopping"));
    });
}
