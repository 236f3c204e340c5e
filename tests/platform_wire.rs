//! Parsing and encoding of the platform's configuration documents, heartbeats and rows.
#![allow(
    dead_code,
    reason = "the tests use only some functions of each included module"
)]

#[path = "../platform/config_entries.rs"]
mod config_entries;
#[path = "../platform/config_wire.rs"]
mod config_wire;
#[path = "../platform/heartbeat_wire.rs"]
mod heartbeat_wire;
#[path = "../platform/store_wire.rs"]
mod store_wire;

use serde_json::{Value, json};
use wagtailtrack::config::Catalog;
use wagtailtrack::ids::{HostName, Version};
use wagtailtrack::platform::{RowCheck, RowKey, RowWrite, Transaction};
use wagtailtrack::resource::{KeyHash, RequestClass, RouteAccess};
use wagtailtrack::settings::ServiceSettings;
use wagtailtrack::wire::InstancePhase;

const CONFIG: &str = r#"{"version":7,"later":{"field":1},
 "tenants":[{"name":"crew","apiKeys":["k1","k2"],"priority":1,"ratePerS":4.5,"burst":9},
            {"name":"free","apiKeys":["k3"],"ratePerS":0}],
 "listeners":[{"host":"roads.example","rules":[
   {"name":"filings","kind":"unsafe","goalMs":600,"priority":1,"public":false,
    "match":{"pathPrefix":"/permits/"},"action":{"service":"desk","timeoutMs":2500,"attempts":2}},
   {"name":"checks","kind":"safe","public":true,"match":{"pathPrefix":"/checks/"},
    "action":{"split":[{"service":"desk","weight":90},{"service":"hub","weight":0}],"timeoutMs":500}}]}],
 "clusters":[{"name":"desk","healthPath":"/healthz","maxConns":330},{"name":"hub"}]}"#;

/// Every known field of a configuration document is converted to resources; unknown fields are
/// ignored.
#[test]
fn whole_configuration() {
    let document =
        config_wire::parse_document(CONFIG.as_bytes(), &ServiceSettings::default()).unwrap();
    let catalog = Catalog::from_resources(document.revision, document.resources);
    let host: HostName = "roads.example".parse().unwrap();
    let filings = catalog.find_route(Some(&host), "/permits/17").unwrap();
    assert_eq!(filings.class, RequestClass::Filing);
    assert!(!filings.idempotency.is_idempotent("GET"));
    assert_eq!(filings.rules.attempts.unwrap().get(), 2);
    assert_eq!(filings.rules.timeout.unwrap().get().as_millis(), 2_500);
    let checks = catalog.find_route(Some(&host), "/checks/17").unwrap();
    assert_eq!(checks.access, RouteAccess::Public);
    assert_eq!(
        checks.rules.split.len(),
        1,
        "a service with weight 0 must get no requests"
    );
    let crew = "crew".parse().unwrap();
    assert_eq!(
        catalog.rate_limit(&crew).unwrap().rate.milli_per_second(),
        4_500
    );
    assert!(
        catalog
            .account_settings(&"free".parse().unwrap())
            .unwrap()
            .unlimited
    );
    for secret in ["k1", "k2"] {
        let known = catalog.lookup_key(&KeyHash::hash_secret(secret));
        assert_eq!(known, wagtailtrack::config::KeyLookup::Known(crew.clone()));
    }
}

/// A document with a syntax error, a wrong type, or a route without a service whose requests another
/// route would take, is refused with an error that names the fault.
#[test]
fn unusable_configuration() {
    let cases = [
        ("{", "EOF"),
        (r#"{"version":"7","listeners":[],"clusters":[]}"#, "u64"),
        (
            r#"{"version":7,"clusters":[],"listeners":[{"host":"h","rules":[
                {"name":"r","kind":"safe","match":{"pathPrefix":"/a/"},"action":{}},
                {"name":"all","kind":"safe","match":{"pathPrefix":"/"},"action":{"service":"s"}}]}]}"#,
            "route 'r'",
        ),
    ];
    for (text, expected) in cases {
        let error = config_wire::parse_document(text.as_bytes(), &ServiceSettings::default());
        let error = error.unwrap_err();
        assert!(error.contains(expected), "{error}");
    }
}

/// A valid heartbeat keeps its phase and sequence number. Malformed or incomplete bodies, which other
/// writers may send, must not be parsed as an instance.
#[test]
fn heartbeats() {
    let heartbeat = r#"{"service":"desk","addr":"10.1.0.9:8080","zone":"z","version":"v1","slots":3,
        "state":"draining","coldLeftMs":0,"seq":4,"born":1700000000000}"#;
    let announcement = heartbeat_wire::parse_announcement(heartbeat.as_bytes()).unwrap();
    assert_eq!(announcement.phase, InstancePhase::Draining);
    assert_eq!(announcement.order.unwrap().sequence, 4);
    for malformed in [
        &b"\xff\xfe"[..],
        br#"{"service":"desk"}"#,
        br#"{"service":"desk","addr":"10.1.0.9:8080","slots":"3","state":"ready","seq":1}"#,
        br#"{"service":"desk","addr":"10.1.0.9:8080","slots":3,"state":"odd","seq":1}"#,
        br#"{"service":"desk","addr":"10.1.0.9:8080","slots":3,"state":"ready","seq":1}"#,
    ] {
        assert!(heartbeat_wire::parse_announcement(malformed).is_err());
    }
}

/// Guards against the heartbeat of another writer that is taken for an instance: a field that every
/// instance sends is missing, or a field is of another type.
#[test]
fn foreign_heartbeats() {
    let whole = json!({"service": "desk", "addr": "10.1.0.9:8080", "zone": "z", "version": "v1",
        "slots": 3, "state": "ready", "coldLeftMs": 0, "seq": 4, "born": 1_700_000_000_000_u64});
    let parse = |heartbeat: &Value| {
        heartbeat_wire::parse_announcement(heartbeat.to_string().as_bytes()).is_ok()
    };
    assert!(parse(&whole));
    for field in [
        "service", "addr", "zone", "version", "slots", "state", "seq",
    ] {
        let mut heartbeat = whole.clone();
        heartbeat.as_object_mut().unwrap().remove(field);
        assert!(!parse(&heartbeat), "without {field}");
    }
    let fields = whole.as_object().unwrap().keys();
    for field in fields {
        for value in [Value::Null, json!([]), json!({}), json!(true), json!(-7)] {
            let mut heartbeat = whole.clone();
            heartbeat[field.as_str()] = value.clone();
            let is_negative_coldness = field == "coldLeftMs" && value == json!(-7);
            assert_eq!(parse(&heartbeat), is_negative_coldness, "{field} {value}");
        }
    }
}

/// Guards against coldness and the rate of cold instances that are read wrongly, and against
/// heartbeats and clusters without them that are refused.
#[test]
fn cold_fields() {
    let parse = |field: &str| {
        let heartbeat = format!(
            r#"{{"service":"desk","addr":"10.1.0.9:8080","zone":"z","version":"v1","slots":3,"state":"ready"{field},"seq":4}}"#
        );
        let announcement = heartbeat_wire::parse_announcement(heartbeat.as_bytes()).unwrap();
        announcement.cold.map(|left| left.get().as_millis())
    };
    assert_eq!(parse(""), None);
    assert_eq!(parse(r#","coldLeftMs":0"#), Some(0));
    assert_eq!(parse(r#","coldLeftMs":1500"#), Some(1_500));
    assert_eq!(parse(r#","coldLeftMs":1499.5"#), Some(1_500));
    let document = r#"{"version":1,"listeners":[],"clusters":[{"name":"none"},
        {"name":"zero","coldPerS":0},{"name":"desk","coldPerS":6.25,"healthPath":"/healthz"}]}"#;
    let document =
        config_wire::parse_document(document.as_bytes(), &ServiceSettings::default()).unwrap();
    assert!(document.warnings.is_empty());
    let catalog = Catalog::from_resources(document.revision, document.resources);
    let service = |name: &str| catalog.service(&name.parse().unwrap()).unwrap().clone();
    assert_eq!(service("none").cold_rate, None);
    assert_eq!(service("zero").cold_rate, None);
    let desk = service("desk");
    assert_eq!(desk.cold_rate.unwrap().milli_per_second(), 6_250);
    assert_eq!(desk.health_path.unwrap(), "/healthz");
}

/// Row keys are split at the first slash into table and key. Rows that are deleted or whose value is
/// not base64 are skipped.
#[test]
fn rows() {
    let transaction = Transaction {
        checks: vec![RowCheck {
            key: RowKey("limits/share/003".to_owned()),
            version: Version(0),
        }],
        writes: vec![RowWrite {
            key: RowKey("limits/share/003".to_owned()),
            value: Some(b"node".to_vec()),
        }],
    };
    let body = serde_json::to_value(store_wire::TxBody::from_transaction(&transaction)).unwrap();
    assert_eq!(body["precondition"][0]["table"], "limits");
    assert_eq!(body["precondition"][0]["ver"], 0);
    assert_eq!(body["puts"][0]["key"], "share/003");
    assert_eq!(body["puts"][0]["value"], "bm9kZQ==");
    let response = r#"{"rows":[{"key":"a","value":"bm9kZQ==","ver":4},{"key":"b","value":"?","ver":5},
        {"key":"c","ver":6,"deleted":true}],"truncated":false,"ver":9,"nowMs":77}"#;
    let response: store_wire::RowsResponse = serde_json::from_str(response).unwrap();
    let rows = response.rows.into_iter();
    let rows: Vec<_> = rows.filter_map(|row| row.table_row("members")).collect();
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].key.0, "members/a");
}
