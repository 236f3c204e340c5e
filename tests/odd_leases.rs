//! Lease rows that another writer has left among those of the fleet: each costs itself alone.

use std::net::SocketAddr;

use serde_json::json;
use wagtailtrack::ids::{BootId, Version};
use wagtailtrack::limits::{LeaseHolder, LeaseIdentity, ShareSet};
use wagtailtrack::platform::{RowKey, TableRow};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::TimeSpan;

const LEASE: TimeSpan = TimeSpan::from_secs(10);
const SHARES: u32 = 3;
/// More than a lease and the margins that are added to it.
const LATER: MonoTime = MonoTime::from_millis(15_000);

fn holder() -> LeaseHolder {
    let identity = LeaseIdentity {
        daemon: "vm-1".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        boot: BootId(1),
    };
    LeaseHolder::open(identity, LEASE, SHARES)
}

fn row(key: &str, value: &[u8]) -> TableRow {
    TableRow {
        key: RowKey(key.to_owned()),
        version: Version(7),
        value: value.to_vec(),
    }
}

/// The value of a lease row of another daemon, with the lease as text.
fn lease_value(lease: &str) -> Vec<u8> {
    let value = json!({"daemon": "vm-2", "address": "127.0.0.1:2", "boot": 2, "nonce": 1,
        "lease": lease, "released": false, "era": 0});
    value.to_string().into_bytes()
}

fn nested(depth: usize) -> Vec<u8> {
    [vec![b'['; depth], vec![b']'; depth]].concat()
}

/// Guards against a process that ends, or a share that is lost for good, because a lease row cannot be read
/// or names a lease that is out of range.
#[test]
fn odd_lease_rows() {
    let values = [
        lease_value("18446744073709551615s"),
        lease_value("500years"),
        nested(100_000),
        b"\xff\x00".to_vec(),
        br#"{"lease":1e999}"#.to_vec(),
        br#"{"address":"127.0.0.1:70000"}"#.to_vec(),
        vec![b'x'; 65_536],
    ];
    for value in values {
        let mut holder = holder();
        let rows = [row("limits/share/001", &value)];
        let now = MonoTime::from_millis(0);
        holder.observe(&rows, now);
        let others: ShareSet = [0, 2].into_iter().collect();
        let text = String::from_utf8_lossy(&value[..value.len().min(150)]).into_owned();
        assert_eq!(holder.claimable(now), others, "{text}");
        assert_eq!(holder.claimable(LATER), ShareSet::first(SHARES), "{text}");
    }
}

/// Guards against a row whose key reads like that of a share and hides the row of the share, so that no
/// transaction of a holder succeeds.
#[test]
fn odd_lease_keys() {
    let mut holder = holder();
    let rows = [
        row("limits/share/001", &lease_value("10s")),
        row("limits/share/+1", &lease_value("10s")),
        row("limits/share/1", b"{}"),
        row("limits/share/0002", b"{}"),
    ];
    holder.observe(&rows, MonoTime::from_millis(0));
    let others: ShareSet = [0, 2].into_iter().collect();
    assert_eq!(holder.claimable(MonoTime::from_millis(0)), others);
}
