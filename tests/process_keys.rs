//! API keys. Guards against a key that reaches a backend server through a header, path, query or body,
//! a key that counts for another client account, and a withdrawn key that is still accepted.

mod common;

use awc::http::{Method, StatusCode};
use common::{CallerClient, DeskFleet, eventually};

/// Sends requests that also contain the key in another header, the path, the query or the body; returns
/// the status of each.
async fn send_key_outside_authorization(caller: &CallerClient, secret: &str) -> Vec<u16> {
    let encoded: String = secret.bytes().map(|byte| format!("%{byte:02X}")).collect();
    let headers = [
        ("x-api-key", secret.to_owned()),
        ("X-API-KEY", secret.to_owned()),
        ("proxy-authorization", format!("Bearer {secret}")),
        ("cookie", format!("key={secret}")),
        ("x-anything", format!("say {secret} twice")),
        ("referer", format!("http://site/?key={encoded}")),
    ];
    let mut statuses = Vec::new();
    for (name, value) in headers {
        let caller = caller.clone().with_header(name, &value);
        statuses.push(caller.get("/lookups/1").await.unwrap().status.as_u16());
    }
    for target in [
        format!("/lookups/{secret}"),
        format!("/lookups/1?key={encoded}"),
    ] {
        statuses.push(caller.get(&target).await.unwrap().status.as_u16());
    }
    let body = format!("my key is {secret}.");
    let posted = caller
        .send(Method::POST, "/filings", "exposed", body.as_bytes())
        .await
        .unwrap();
    statuses.push(posted.status.as_u16());
    statuses
}

/// Checks that no backend server received the key, percent-encoded or not, or an `authorization` header.
async fn assert_key_not_forwarded(desk: &DeskFleet) {
    let encoded: String = desk
        .secret
        .bytes()
        .map(|byte| format!("%{byte:02X}"))
        .collect();
    for backend in &desk.fleet.backends {
        let received = format!("{:?}", backend.ran().await);
        assert!(
            !received.contains(&desk.secret),
            "a backend server received the key: {received}"
        );
        assert!(
            !received.contains(&encoded),
            "a backend server received the key: {received}"
        );
        assert!(
            !received.to_lowercase().contains("authorization"),
            "{received}"
        );
    }
}

#[actix_rt::test]
async fn key_outside_authorization() {
    let desk = DeskFleet::open("keys-places", 2).await;
    let statuses = send_key_outside_authorization(&desk.caller(0), &desk.secret).await;
    assert_eq!(statuses[..6], [200; 6]);
    assert_eq!(statuses[6..], [400; 3]);
    assert_key_not_forwarded(&desk).await;
    assert_eq!(desk.times_ran("exposed").await, 0);
}

#[actix_rt::test]
async fn key_with_failing_backends() {
    let desk = DeskFleet::open("keys-errors", 2).await;
    for fault in [
        "{\"failing\":\"100%\"}",
        "\"cut\"",
        "\"wrong\"",
        "{\"shedding\":\"100%\"}",
    ] {
        for backend in &desk.fleet.backends {
            backend.fault(fault).await;
        }
        let response = desk.caller(0).get("/lookups/1").await.unwrap();
        assert!(!response.text().contains(&desk.secret), "{fault}");
        send_key_outside_authorization(&desk.caller(0), &desk.secret).await;
    }
    assert_key_not_forwarded(&desk).await;
}

#[actix_rt::test]
async fn keys_on_one_connection() {
    let desk = DeskFleet::open("keys-two", 1).await;
    let other = desk
        .fleet
        .resources(0)
        .create_caller("rival", 100, 100)
        .await;
    // Both callers share one client and its connection; requests alternate between the keys.
    let base = desk.fleet.daemons[0].caller();
    let (own, rival) = (base.clone().with_key(&desk.secret), base.with_key(&other));
    for _ in 0..5 {
        assert_eq!(own.get("/lookups/1").await.unwrap().status, StatusCode::OK);
        assert_eq!(
            rival.get("/lookups/1").await.unwrap().status,
            StatusCode::OK
        );
    }
    let dump = desk.fleet.operate(0, &["dump"]);
    let dump: serde_json::Value = serde_json::from_slice(&dump.stdout).unwrap();
    let credits = dump["ingress"]["credits"].as_array().unwrap();
    let rival = credits
        .iter()
        .find(|line| line["account"] == "rival")
        .unwrap();
    assert_eq!(rival["completed"], 5);
}

#[actix_rt::test]
async fn key_withdrawn_before_platform_outage() {
    let desk = DeskFleet::open("keys-withdrawn", 2).await;
    let callers = [desk.caller(0), desk.caller(1)];
    for caller in &callers {
        assert_eq!(
            caller.get("/lookups/1").await.unwrap().status,
            StatusCode::OK
        );
    }
    let withdrawn = desk.fleet.resources(0).withdraw_key("crew").await;
    assert!(withdrawn.status.is_success());
    // The platform goes down right after it accepts the withdrawal. The other daemon must learn of the
    // withdrawal from its peer.
    desk.fleet.platform_mode("\"down\"").await;
    for caller in &callers {
        eventually("401 for the withdrawn key", async || {
            caller.get("/lookups/1").await.unwrap().status == StatusCode::UNAUTHORIZED
        })
        .await;
    }
}
