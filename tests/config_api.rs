//! Invalid and failing requests to the admin API. Guards against a rejected request that changes the
//! configuration, and against an error message without the field, the value or the remedy.

mod common;

use std::rc::Rc;

use awc::http::{Method, StatusCode};
use common::{MemoryMode, MemoryPlatform};
use wagtailtrack::admin::{AdminServer, AdminSources, ErrorBody};
use wagtailtrack::config::{ConfigHandle, ConfigSources};
use wagtailtrack::evacuation::ZoneGate;
use wagtailtrack::peers::{FleetKey, PeerPool};
use wagtailtrack::resource::KeyHash;
use wagtailtrack::settings::PlatformSettings;
use wagtailtrack::time::ProcessClock;

const TOKEN: &str = "operators-token";

/// An admin server whose configuration is stored in an in-memory platform.
struct ApiServer {
    platform: Rc<MemoryPlatform>,
    config: ConfigHandle,
    server: AdminServer,
}

impl ApiServer {
    async fn open() -> Self {
        let platform = Rc::new(MemoryPlatform::default());
        let settings: PlatformSettings = toml::from_str("address = \"127.0.0.1:1\"").unwrap();
        let config = ConfigHandle::spawn(ConfigSources {
            settings,
            daemon: "d1".parse().unwrap(),
            boot: wagtailtrack::ids::BootId(1),
            clock: ProcessClock::open(),
            peers: PeerPool::open(FleetKey::open("0123456789abcdef")),
            platform: platform.clone(),
            peer_addresses: Rc::new(Vec::new),
        });
        let server = AdminServer::bind(AdminSources {
            address: "127.0.0.1:0".parse().unwrap(),
            token_hash: KeyHash::hash_secret(TOKEN),
            config: config.clone(),
            zones: Rc::new(|| ["z1", "z2"].map(|zone| zone.parse().unwrap()).into()),
            suspects: common::no_suspects(),
            is_ready: Rc::new(|| false),
            dump: Rc::new(|| serde_json::json!({})),
            metrics: Rc::new(String::new),
        });
        Self {
            platform,
            config,
            server: server.await.unwrap(),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (StatusCode, String) {
        let url = format!("http://{}{path}", self.server.address());
        let client = awc::Client::builder().disable_timeout().finish();
        let mut request = client.request(method, url);
        for header in headers {
            request = request.append_header(*header);
        }
        let mut response = request.send_body(body.to_owned()).await.unwrap();
        let text = response.body().await.unwrap();
        (
            response.status(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }

    /// Sends a request and checks the error's status, a part of its message, and that no revision was
    /// created.
    async fn assert_rejected(
        &self,
        method: Method,
        path: &str,
        header: (&str, &str),
        body: &str,
        expected: (u16, &str),
    ) {
        let token = ("authorization", "Bearer operators-token");
        let (status, text) = self.send(method, path, &[token, header], body).await;
        assert_eq!(status.as_u16(), expected.0, "{path} {body}: {text}");
        let error: ErrorBody = serde_json::from_str(&text).unwrap();
        let message = error.message;
        assert!(
            message.contains(expected.1),
            "'{}' is not in: {message}",
            expected.1
        );
        assert_eq!(self.config.revision().0, 0);
    }
}

#[actix_rt::test]
async fn invalid_requests_are_rejected() {
    let api = ApiServer::open().await;
    let none = ("x-none", "x");
    let any = ("if-match", "*");
    let account = r#"{"id":"a1"}"#;
    let large = "x".repeat(200 * 1024);
    let (get, put, post, delete) = (Method::GET, Method::PUT, Method::POST, Method::DELETE);
    api.assert_rejected(get.clone(), "/v1/planets", none, "", (404, "/v1/accounts"))
        .await;
    api.assert_rejected(
        get.clone(),
        "/v1/accounts/A%201",
        none,
        "",
        (400, "lower-case"),
    )
    .await;
    api.assert_rejected(
        get.clone(),
        "/v1/accounts/a1/b/c",
        none,
        "",
        (404, "unknown"),
    )
    .await;
    api.assert_rejected(get.clone(), "/v1/watch?from=x", none, "", (400, "'x'"))
        .await;
    api.assert_rejected(
        get,
        "/v1/operations/op-1",
        none,
        "",
        (404, "same operation id"),
    )
    .await;
    api.assert_rejected(post.clone(), "/v1/accounts/a1", none, account, (405, "PUT"))
        .await;
    api.assert_rejected(post.clone(), "/v1/accounts", none, "{", (400, "EOF"))
        .await;
    api.assert_rejected(post.clone(), "/v1/accounts", none, &large, (413, "128KiB"))
        .await;
    api.assert_rejected(
        post.clone(),
        "/v1/accounts",
        none,
        r#"{"id":"a1","x":1}"#,
        (400, "`x`"),
    )
    .await;
    api.assert_rejected(
        post.clone(),
        "/v1/accounts",
        ("operation-id", "No Good"),
        account,
        (400, "No Good"),
    )
    .await;
    api.assert_rejected(
        post.clone(),
        "/v1/accounts?wait=1h",
        none,
        account,
        (400, "at most 30s"),
    )
    .await;
    api.assert_rejected(
        post,
        "/v1/keys",
        none,
        r#"{"id":"k1","account":"a1"}"#,
        (422, "account/a1"),
    )
    .await;
    api.assert_rejected(
        put.clone(),
        "/v1/accounts/a1",
        none,
        account,
        (428, "If-Match"),
    )
    .await;
    api.assert_rejected(
        put.clone(),
        "/v1/accounts/a1",
        ("if-match", "new"),
        account,
        (400, "'new'"),
    )
    .await;
    api.assert_rejected(
        put.clone(),
        "/v1/accounts/a1",
        ("if-none-match", "1"),
        account,
        (400, "'*'"),
    )
    .await;
    api.assert_rejected(
        put.clone(),
        "/v1/accounts/a2",
        any,
        account,
        (400, "the path names 'a2'"),
    )
    .await;
    api.assert_rejected(
        put.clone(),
        "/v1/accounts/a1",
        any,
        account,
        (404, "create it first"),
    )
    .await;
    api.assert_rejected(put.clone(), "/v1/keys/k1", any, account, (405, "withdraw"))
        .await;
    let rate = r#"{"rate":"0 per second","burst":3}"#;
    api.assert_rejected(
        put.clone(),
        "/v1/rates/a1",
        any,
        rate,
        (400, "out of range"),
    )
    .await;
    api.assert_rejected(
        put,
        "/v1/accounts/a1",
        ("if-match", "7"),
        account,
        (412, "not 7"),
    )
    .await;
    api.assert_rejected(delete, "/v1/accounts/a1", none, "", (428, "If-Match"))
        .await;
}

#[actix_rt::test]
async fn invalid_token_is_rejected() {
    let api = ApiServer::open().await;
    let tokens = [
        vec![],
        vec![("authorization", "operators-token")],
        vec![("authorization", "Bearer operators-token-")],
        vec![("authorization", "Basic operators-token")],
    ];
    for headers in tokens {
        for path in ["/v1/accounts", "/dump", "/v1/watch", "/v1/nothing", "/else"] {
            let (status, text) = api.send(Method::GET, path, &headers, "").await;
            assert_eq!(status.as_u16(), 401, "{path}: {text}");
        }
    }
    let (status, _) = api.send(Method::GET, "/readyz", &[], "").await;
    assert_eq!(status.as_u16(), 503);
}

#[actix_rt::test]
async fn platform_outage_or_unknown_outcome() {
    let api = ApiServer::open().await;
    let none = ("x-none", "x");
    let account = r#"{"id":"a1"}"#;
    api.platform.mode.set(MemoryMode::Down);
    api.assert_rejected(
        Method::POST,
        "/v1/accounts",
        none,
        account,
        (503, "not accepted"),
    )
    .await;
    api.assert_rejected(
        Method::GET,
        "/v1/accounts",
        none,
        "",
        (503, "ask again later"),
    )
    .await;
    // Every commit request is lost, so no response ever shows whether the change was committed.
    api.platform.mode.set(MemoryMode::LoseQuestions);
    let named = ("operation-id", "op-1");
    api.assert_rejected(
        Method::POST,
        "/v1/accounts",
        named,
        account,
        (503, "unknown, operation id op-1"),
    )
    .await;
}

/// A zone that does not exist must not be taken out of service: the operator would believe that another
/// one is. The error names the zones that exist.
#[actix_rt::test]
async fn unknown_zone() {
    let api = ApiServer::open().await;
    let (none, any) = (("x-none", "x"), ("if-match", "*"));
    let existing = (400, "'z9' does not exist; the existing zones are: z1, z2");
    let body = r#"{"id":"z9"}"#;
    api.assert_rejected(Method::POST, "/v1/evacuations", none, body, existing)
        .await;
    let path = "/v1/evacuations/z9";
    api.assert_rejected(Method::PUT, path, any, "{}", existing)
        .await;
    api.assert_rejected(Method::DELETE, path, any, "", existing)
        .await;
    let unnamed = (400, "the existing zones are: z1, z2");
    let body = r#"{"id":"Zone 1"}"#;
    api.assert_rejected(Method::POST, "/v1/evacuations", none, body, unnamed)
        .await;
    let path = "/v1/evacuations/z1";
    api.assert_rejected(Method::DELETE, path, any, "", (404, "evacuation/z1"))
        .await;
}

/// An evacuation is a resource: it is created, listed and deleted, and in force with its revision.
#[actix_rt::test]
async fn evacuation_resource() {
    let api = ApiServer::open().await;
    let token = ("authorization", "Bearer operators-token");
    let body = r#"{"id":"z1"}"#;
    let (status, text) = api
        .send(Method::POST, "/v1/evacuations", &[token], body)
        .await;
    assert_eq!(status, StatusCode::CREATED, "{text}");
    let zone = "z1".parse().unwrap();
    assert_eq!(api.config.zone_gate(&zone), ZoneGate::Evacuated);
    let (_, text) = api.send(Method::GET, "/v1/evacuations", &[token], "").await;
    assert!(text.contains(r#""id":"z1""#), "{text}");
    let exists = ("if-match", "*");
    let path = "/v1/evacuations/z1";
    let (status, text) = api.send(Method::DELETE, path, &[token, exists], "").await;
    assert_eq!(status, StatusCode::OK, "{text}");
    assert_eq!(api.config.zone_gate(&zone), ZoneGate::Open);
}
