//! Rows and announcements that another writer has left among those of the fleet: each costs itself alone.
#![allow(
    dead_code,
    reason = "the tests use only some functions of each included module"
)]

#[path = "../platform/heartbeat_wire.rs"]
mod heartbeat_wire;
#[path = "../platform/store_wire.rs"]
mod store_wire;

use serde_json::{Value, json};
use store_wire::RowsResponse;

fn nested(depth: usize) -> Vec<u8> {
    [vec![b'['; depth], vec![b']'; depth]].concat()
}

/// Guards against a read that fails as a whole because of one row.
#[test]
fn odd_rows_in_response() {
    let sound = json!({"key": "a", "value": "bm9kZQ==", "ver": 4});
    let odd = [
        json!(null),
        json!([]),
        json!("row"),
        json!({"key": 7, "value": "bm9kZQ==", "ver": 5}),
        json!({"key": "b", "value": {}, "ver": 5}),
        json!({"key": "b", "value": "bm9kZQ==", "ver": -5}),
        json!({"key": "b", "value": "bm9kZQ=="}),
    ];
    let texts = odd.iter().map(Value::to_string);
    let nested = String::from_utf8(nested(100_000)).unwrap();
    let large = r#"{"key":"b","value":"bm9kZQ==","ver":1e999}"#.to_owned();
    for text in texts.chain([nested, large]) {
        let body = format!(r#"{{"rows":[{text},{sound}],"truncated":false,"ver":9,"nowMs":77}}"#);
        let response: Result<RowsResponse, _> = serde_json::from_str(&body);
        let start = &text[..text.len().min(150)];
        let response = response.unwrap_or_else(|cause| panic!("{start}: {cause}"));
        let keys: Vec<_> = response.rows.iter().map(|row| row.key.as_str()).collect();
        assert_eq!((keys, response.skipped), (vec!["a"], 1), "{start}");
    }
}

/// Guards against a process that ends over a heartbeat of another writer.
#[test]
fn odd_heartbeats() {
    let sound = json!({"service": "desk", "addr": "127.0.0.1:80", "zone": "a", "version": "v1",
        "slots": 3, "state": "ready", "coldLeftMs": 0, "seq": 4, "born": 5});
    assert!(heartbeat_wire::parse_announcement(sound.to_string().as_bytes()).is_ok());
    let odd = [
        ("addr", "\"127.0.0.1:70000\""),
        ("slots", "99999999999999999999"),
        ("slots", "-1"),
        ("seq", "1e999"),
        ("born", "1.5"),
        ("coldLeftMs", "1e999"),
        ("coldLeftMs", "\"0\""),
        ("state", "\"gone\""),
        ("service", "[]"),
    ];
    for (field, value) in odd {
        let mut heartbeat = sound.clone();
        heartbeat[field] = json!("replaced");
        let text = heartbeat.to_string().replace("\"replaced\"", value);
        let parsed = heartbeat_wire::parse_announcement(text.as_bytes());
        assert!(parsed.is_err(), "{field} {value}");
    }
    assert!(heartbeat_wire::parse_announcement(&nested(100_000)).is_err());
}
