//! Tests of the request path through real processes: responses, refusals and their verdicts.

mod common;

use awc::http::{Method, StatusCode};
use common::{CallerAnswer, CallerClient, DeskFleet, eventually};
use serde_json::json;

async fn lookup(caller: &CallerClient) -> CallerAnswer {
    caller
        .send(Method::GET, "/lookups/1", "refused", b"")
        .await
        .unwrap()
}

/// Guards against lost or altered responses: lookups, filings and a streamed 3 MB extract through
/// each daemon must be complete, and each filing must run once.
#[actix_rt::test]
async fn complete_responses() {
    let desk = DeskFleet::open("path-whole", 2).await;
    for index in 0..2 {
        let caller = desk.caller(index);
        let answer = caller
            .send(Method::GET, "/lookups/7?q=a%20b", "look", b"")
            .await
            .unwrap();
        assert_eq!(answer.verdict(), "ran");
        assert!(answer.answers("look", b""));
        let filing = desk.file(index, "file").await.unwrap();
        assert!(filing.answers("file", b"file"));
        let large = caller.get("/extracts/all?bytes=3000000").await.unwrap();
        assert_eq!(large.body.len(), 3_000_000);
    }
    assert_eq!(desk.times_ran("file").await, 2);
}

/// Guards against a refusal with the wrong status, or one whose request ran although its verdict is
/// not-run: missing, unknown and repeated keys, a malformed deadline, an unknown path, a large body.
#[actix_rt::test]
async fn refusals_never_run() {
    let desk = DeskFleet::open("path-refusals", 1).await;
    let without_key = desk.fleet.daemons[0].caller();
    let with_key = desk.caller(0);
    let unknown = without_key.clone().with_key("wtk_unknown");
    let two_keys = with_key.clone().with_key(&desk.secret);
    let bad_deadline = with_key.clone().with_header("x-deadline-ms", "soon");
    let cases = [
        (lookup(&without_key).await, 401),
        (lookup(&unknown).await, 401),
        (lookup(&two_keys).await, 401),
        (lookup(&bad_deadline).await, 400),
        (
            with_key
                .send(Method::GET, "/none", "refused", b"")
                .await
                .unwrap(),
            404,
        ),
        (
            with_key
                .send(Method::POST, "/filings", "refused", &vec![0; 2_000_000])
                .await
                .unwrap(),
            413,
        ),
    ];
    for (answer, status) in cases {
        assert_eq!(answer.status.as_u16(), status, "{}", answer.text());
        assert_eq!(answer.verdict(), "not-run", "{}", answer.text());
    }
    assert_eq!(desk.times_ran("refused").await, 0);
}

/// Guards against a client account that reaches a route whose access list excludes it.
#[actix_rt::test]
async fn route_access_list() {
    let desk = DeskFleet::open("path-closed", 2).await;
    let resources = desk.fleet.resources(0);
    let other = resources.create_caller("rival", 100, 100).await;
    let route = json!({
        "id": "private", "prefix": "/private", "service": "desk", "class": "lookup",
        "access": {"accounts": ["crew"]},
    });
    resources.create("route", route).await;
    let (own, rival) = (
        desk.caller(1),
        desk.fleet.daemons[1].caller().with_key(&other),
    );
    eventually("the route in force", async || {
        own.get("/private").await.unwrap().status == StatusCode::OK
    })
    .await;
    let refused = rival
        .send(Method::GET, "/private", "rival", b"")
        .await
        .unwrap();
    assert_eq!(
        (refused.status.as_u16(), refused.verdict()),
        (403, "not-run")
    );
    assert_eq!(desk.times_ran("rival").await, 0);
}

/// Guards against requests that run beyond the rate limit, and against refusals without a usable
/// `Retry-After`: 30 requests against a burst of 3.
#[actix_rt::test]
async fn rate_limit_refusals() {
    let desk = DeskFleet::open("path-rate", 1).await;
    let resources = desk.fleet.resources(0);
    resources.create("account", json!({"id": "small"})).await;
    let limit = json!({"account": "small", "rate": "4 per hour", "burst": 3});
    resources.create("rate", limit).await;
    let secret = resources.issue_key("small", "small").await;
    let caller = desk.fleet.daemons[0].caller().with_key(&secret);
    let mut refused = Vec::new();
    for number in 0..30 {
        let tag = format!("small-{number}");
        let answer = caller
            .send(Method::GET, "/lookups/1", &tag, b"")
            .await
            .unwrap();
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            assert_eq!(answer.verdict(), "not-run");
            assert!(answer.header("retry-after").parse::<u64>().unwrap() >= 1);
            refused.push(tag);
        }
    }
    assert!(refused.len() >= 27, "only {} refused", refused.len());
    for tag in refused {
        assert_eq!(desk.times_ran(&tag).await, 0);
    }
}

/// Guards against a wrong verdict, or no `Retry-After`, for a service that has no instances.
#[actix_rt::test]
async fn service_without_instances() {
    let desk = DeskFleet::open("path-capacity", 1).await;
    let resources = desk.fleet.resources(0);
    resources.create_service("empty", 3).await;
    resources.create_route("empty", "empty", "filing").await;
    let answer = desk
        .caller(0)
        .send(Method::POST, "/empty", "none", b"")
        .await
        .unwrap();
    assert_eq!((answer.status.as_u16(), answer.verdict()), (503, "not-run"));
    assert!(!answer.header("retry-after").is_empty());
}

/// Guards against a dump that leaks a key or shows finished requests as in flight, and against a
/// metric that misses a completed request.
#[actix_rt::test]
async fn dump_and_metrics() {
    let desk = DeskFleet::open("path-state", 1).await;
    desk.file(0, "one").await.unwrap();
    let dump = desk.fleet.operate(0, &["dump"]);
    let dump: serde_json::Value = serde_json::from_slice(&dump.stdout).unwrap();
    assert_eq!(dump["ingress"]["under_way"], 0);
    assert!(!dump.to_string().contains(&desk.secret));
    let admin = CallerClient::open(desk.fleet.daemons[0].admin());
    let metrics = admin.get("/metrics").await.unwrap().text();
    let filings = metrics
        .lines()
        .find(|line| line.starts_with("requests_completed") && line.contains("class=\"filing\""));
    assert!(
        filings.is_some_and(|line| line.ends_with(" 1")),
        "{metrics}"
    );
}

/// Guards against a daemon that fails on malformed HTTP. It must respond with an error or close the
/// connection, and then serve the next request.
#[actix_rt::test]
async fn malformed_requests() {
    let desk = DeskFleet::open("path-malformed", 1).await;
    let address = desk.fleet.daemons[0].callers();
    let requests: [&[u8]; 4] = [
        b"nonsense\r\n\r\n",
        b"GET /lookups/1 HTTP/1.1\r\nbad header\r\n\r\n",
        b"POST /filings HTTP/1.1\r\ncontent-length: x\r\n\r\n",
        &[0xff; 300],
    ];
    for request in requests {
        let request = request.to_vec();
        let sending = actix_rt::task::spawn_blocking(move || {
            let mut socket = std::net::TcpStream::connect(address).unwrap();
            std::io::Write::write_all(&mut socket, &request).unwrap();
            socket.shutdown(std::net::Shutdown::Write).unwrap();
            let mut answer = Vec::new();
            let _ = std::io::Read::read_to_end(&mut socket, &mut answer);
            String::from_utf8_lossy(&answer).into_owned()
        });
        let answer = sending.await.unwrap();
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
            "{answer}"
        );
    }
    assert_eq!(lookup(&desk.caller(0)).await.verdict(), "ran");
}
