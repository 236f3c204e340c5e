//! Configures a fleet through the resource API of one daemon.

use std::net::SocketAddr;

use awc::http::Method;
use serde_json::{Value, json};

use super::caller_client::{CallerAnswer, CallerClient};
use super::daemon_process::OPERATOR_TOKEN;

/// An operator's client of one daemon.
pub struct ResourceClient {
    client: CallerClient,
}

impl ResourceClient {
    /// Opens a client of the admin listener at `admin`.
    pub fn open(admin: SocketAddr) -> Self {
        Self {
            client: CallerClient::open(admin).with_key(OPERATOR_TOKEN),
        }
    }

    /// Sends a request with a JSON body.
    pub async fn send(&self, method: Method, target: &str, body: &Value) -> CallerAnswer {
        let bytes = body.to_string().into_bytes();
        let sending = self.client.send(method, target, "", &bytes).await;
        sending.unwrap()
    }

    /// Replaces the resource at `target` if it still has `version`.
    pub async fn replace(&self, target: &str, version: u64, body: &Value) -> CallerAnswer {
        let client = self
            .client
            .clone()
            .with_header("if-match", &version.to_string());
        let bytes = body.to_string().into_bytes();
        client.send(Method::PUT, target, "", &bytes).await.unwrap()
    }

    /// Creates a resource of `kind`, such as `account`, and returns the answer.
    pub async fn create(&self, kind: &str, resource: Value) -> Value {
        let answer = self
            .send(Method::POST, &format!("/v1/{kind}s"), &resource)
            .await;
        assert!(answer.status.is_success(), "{resource}: {}", answer.text());
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Creates an account with a rate, issues a key named like it, and returns the secret.
    pub async fn create_caller(&self, account: &str, rate: u64, burst: u64) -> String {
        self.create("account", json!({"id": account})).await;
        let rate = format!("{rate} per second");
        let limit = json!({"account": account, "rate": rate, "burst": burst});
        self.create("rate", limit).await;
        self.issue_key(account, account).await
    }

    /// Issues a key and returns its secret.
    pub async fn issue_key(&self, key: &str, account: &str) -> String {
        let body = json!({"id": key, "account": account});
        let change = self.create("key", body).await;
        change["secret"].as_str().unwrap().to_owned()
    }

    /// Withdraws a key.
    pub async fn withdraw_key(&self, key: &str) -> CallerAnswer {
        let target = format!("/v1/keys/{key}/withdraw");
        self.send(Method::POST, &target, &json!({})).await
    }

    /// Creates a service.
    pub async fn create_service(&self, service: &str, slots: u32) {
        let weights = json!({"lookup": 4, "filing": 8, "extract": 2, "internal-check": 6});
        let spec = json!({
            "id": service,
            "floor": "60%",
            "slots": slots,
            "weights": weights,
            "retry-budget": "20%",
        });
        self.create("service", spec).await;
    }

    /// Creates a route that is open to all, with the prefix of its own name.
    pub async fn create_route(&self, route: &str, service: &str, class: &str) {
        let prefix = format!("/{route}");
        let route = json!({
            "id": route,
            "prefix": prefix,
            "service": service,
            "class": class,
            "access": "all",
        });
        self.create("route", route).await;
    }
}
