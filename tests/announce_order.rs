//! Late announcements, restarts of backend servers, and instances that replace others.
//!
//! Announcements are HTTP requests and can arrive out of order. A late one must not undo a drain or
//! affect a later run.

use wagtailtrack::instances::{AnnounceOrder, AnnounceTable, Announcement};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::{Slots, TimeSpan};
use wagtailtrack::wire::InstancePhase;

const NOW: MonoTime = MonoTime::from_millis(1_000);

fn announcement(phase: InstancePhase, started_millis: u64, sequence: u64) -> Announcement {
    Announcement {
        service: "desk".parse().unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        phase,
        slots: Slots::fixed(3),
        lease: TimeSpan::from_secs(5),
        order: Some(AnnounceOrder {
            started_millis,
            sequence,
        }),
        cold: None,
    }
}

/// A renewal that was sent before a drain and arrives after it is ignored.
#[test]
fn late_renewal() {
    let mut table = AnnounceTable::default();
    let desk = "desk-1".parse().unwrap();
    for (phase, sequence) in [(InstancePhase::Ready, 1), (InstancePhase::Draining, 3)] {
        table
            .announce(&desk, &announcement(phase, 10, sequence), NOW)
            .unwrap();
    }
    let late = announcement(InstancePhase::Ready, 10, 2);
    let (local, changed) = table.announce(&desk, &late, NOW).unwrap();
    assert_eq!((local.phase, changed), (InstancePhase::Draining, false));
    assert!(!table.accepts_work(&desk, NOW));
}

/// An instance that restarts under the same name accepts requests again although the earlier run
/// was removed, and late announcements of the earlier run are ignored.
#[test]
fn restart_after_removal() {
    let mut table = AnnounceTable::default();
    let desk = "desk-1".parse().unwrap();
    table
        .announce(&desk, &announcement(InstancePhase::Ready, 10, 1), NOW)
        .unwrap();
    assert!(table.remove(&desk, NOW).is_some());
    assert!(!table.accepts_work(&desk, NOW));
    let restarted = announcement(InstancePhase::Ready, 20, 1);
    assert!(table.announce(&desk, &restarted, NOW).unwrap().1);
    assert!(table.accepts_work(&desk, NOW));
    let late = announcement(InstancePhase::Draining, 10, 9);
    table.announce(&desk, &late, NOW).unwrap();
    assert!(
        table.accepts_work(&desk, NOW),
        "a late announcement of the earlier run took effect"
    );
}

/// An instance that announces the address of an earlier one replaces it. Late announcements of the
/// earlier instance are refused, also by a daemon that has never known it.
#[test]
fn replaced_at_address() {
    let mut table = AnnounceTable::default();
    let (old, new) = ("desk-1".parse().unwrap(), "desk-2".parse().unwrap());
    table
        .announce(&old, &announcement(InstancePhase::Ready, 10, 1), NOW)
        .unwrap();
    let started = announcement(InstancePhase::Ready, 20, 1);
    let (local, _) = table.announce(&new, &started, NOW).unwrap();
    let replaced = table.end_replaced(&local, NOW);
    assert_eq!(replaced.len(), 1);
    assert!(!table.accepts_work(&old, NOW) && table.accepts_work(&new, NOW));
    let mut fresh = AnnounceTable::default();
    fresh.announce(&new, &started, NOW).unwrap();
    let late = announcement(InstancePhase::Ready, 10, 2);
    assert!(fresh.announce(&old, &late, NOW).is_err());
}
