//! Expiry and renewal of the leases of announced instances.

use std::time::Duration;

use wagtailtrack::ids::InstanceId;
use wagtailtrack::instances::{AnnounceError, AnnounceTable, Announcement};
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::InstancePhase;

const START: MonoTime = MonoTime::from_millis(1_000);

fn name() -> InstanceId {
    "desk-1".parse().unwrap()
}

fn announcement(phase: &str) -> Announcement {
    let text = format!(
        r#"{{"service":"desk","address":"127.0.0.1:80","phase":"{phase}","slots":3,"lease":"3s"}}"#
    );
    Announcement::parse(text.as_bytes()).unwrap()
}

fn phase_of(table: &AnnounceTable) -> Option<InstancePhase> {
    table.get(&name()).map(|local| local.phase)
}

/// An instance that does not renew its lease of 3 s is draining after 3 s, and gone 10 s later.
#[test]
fn expired_lease_drains() {
    let mut table = AnnounceTable::default();
    table
        .announce(&name(), &announcement("ready"), START)
        .unwrap();
    assert!(
        table
            .expire_leases(START + Duration::from_millis(2_999))
            .is_empty()
    );
    let draining = table.expire_leases(START + Duration::from_secs(3));
    assert_eq!(draining[0].phase, InstancePhase::Draining);
    let gone = table.expire_leases(START + Duration::from_secs(13));
    assert_eq!(gone[0].phase, InstancePhase::Gone);
    assert!(table.present_instances().is_empty());
}

/// A renewal after the lease has expired makes the instance ready again: it was late, and announced
/// no drain.
#[test]
fn renewal_after_expiry() {
    let mut table = AnnounceTable::default();
    table
        .announce(&name(), &announcement("ready"), START)
        .unwrap();
    let (_, changed) = table
        .announce(&name(), &announcement("ready"), START)
        .unwrap();
    assert!(!changed);
    let later = START + Duration::from_secs(5);
    table.expire_leases(later);
    assert_eq!(phase_of(&table), Some(InstancePhase::Draining));
    let (local, changed) = table
        .announce(&name(), &announcement("ready"), later)
        .unwrap();
    assert!(changed);
    assert_eq!(local.phase, InstancePhase::Ready);
}

/// A renewal that was sent before a drain and arrives after it is refused, also if announcements
/// have no order. The instance returns with `starting`.
#[test]
fn late_renewal_refused() {
    for leaving in ["draining", "gone"] {
        let mut table = AnnounceTable::default();
        table
            .announce(&name(), &announcement("ready"), START)
            .unwrap();
        table
            .announce(&name(), &announcement(leaving), START)
            .unwrap();
        let late = table.announce(&name(), &announcement("ready"), START);
        assert_eq!(late, Err(AnnounceError::Leaving(name())));
        assert_ne!(phase_of(&table), Some(InstancePhase::Ready));
        table
            .announce(&name(), &announcement("starting"), START)
            .unwrap();
        table
            .announce(&name(), &announcement("ready"), START)
            .unwrap();
        assert_eq!(phase_of(&table), Some(InstancePhase::Ready));
    }
}
