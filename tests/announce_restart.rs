//! Announcements that arrive at a process that has just started.
//!
//! An earlier process of the daemon may have acknowledged that an instance leaves. An announcement that
//! was sent before that and arrives late must not bring the instance back.

use std::time::Duration;

use wagtailtrack::ids::InstanceId;
use wagtailtrack::instances::{AnnounceOrder, AnnounceTable, Announcement, RenewalRule};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::{Slots, TimeSpan};
use wagtailtrack::wire::InstancePhase;

const START: MonoTime = MonoTime::from_millis(1_000);
/// Unix time of the start of the process.
const START_MILLIS: u64 = 500;
const TRUST: Duration = Duration::from_secs(3);

fn after_start(millis: u64) -> MonoTime {
    START + Duration::from_millis(millis)
}

fn table() -> AnnounceTable {
    AnnounceTable::open(RenewalRule::open(START, START_MILLIS, TRUST))
}

fn desk() -> InstanceId {
    "desk-1".parse().unwrap()
}

/// An announcement of a run that started before the process.
fn announcement(phase: InstancePhase, sequence: u64) -> Announcement {
    Announcement {
        service: "desk".parse().unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        phase,
        slots: Slots::fixed(3),
        lease: TimeSpan::from_secs(12),
        order: Some(AnnounceOrder {
            started_millis: START_MILLIS - 1,
            sequence,
        }),
        cold: None,
    }
}

fn ready(sequence: u64) -> Announcement {
    announcement(InstancePhase::Ready, sequence)
}

/// Guards against a late announcement that makes an instance ready for the length of its lease after a
/// restart of its daemon.
#[test]
fn late_announcement_not_confirmed() {
    let mut table = table();
    table
        .announce(&desk(), &ready(5), after_start(700))
        .unwrap();
    assert!(table.accepts_work(&desk(), after_start(2_700)));
    assert!(!table.accepts_work(&desk(), after_start(2_900)));
    let changed = table.end_unconfirmed(after_start(2_900));
    assert_eq!(changed[0].phase, InstancePhase::Draining);
    // Delivered a second time, or another late one that is older.
    for sequence in [5, 4] {
        let late = ready(sequence);
        table.announce(&desk(), &late, after_start(3_500)).unwrap();
        assert!(!table.accepts_work(&desk(), after_start(3_500)));
    }
}

/// Guards against a late announcement that is trusted although the process has run for longer.
#[test]
fn late_announcement_after_trust() {
    let mut table = table();
    table
        .announce(&desk(), &ready(5), after_start(4_000))
        .unwrap();
    assert!(!table.accepts_work(&desk(), after_start(4_000)));
}

/// Guards against a late announcement that is trusted although other daemons know that the instance left.
#[test]
fn late_announcement_of_known_leave() {
    let mut table = table();
    table.note_left(&desk());
    table
        .announce(&desk(), &ready(5), after_start(700))
        .unwrap();
    assert!(!table.accepts_work(&desk(), after_start(700)));
}

/// Guards against an instance that drained before the restart and stays in use after it.
#[test]
fn drain_after_late_announcement() {
    let mut table = table();
    table
        .announce(&desk(), &ready(5), after_start(700))
        .unwrap();
    let draining = announcement(InstancePhase::Draining, 7);
    table
        .announce(&desk(), &draining, after_start(900))
        .unwrap();
    table
        .announce(&desk(), &ready(6), after_start(1_000))
        .unwrap();
    assert!(!table.accepts_work(&desk(), after_start(1_000)));
}

/// Guards against a sound instance that waits after a restart of its daemon: it is in use from its first
/// announcement on, and stays so with the second.
#[test]
fn sound_instance_not_delayed() {
    let mut table = table();
    table
        .announce(&desk(), &ready(5), after_start(1_400))
        .unwrap();
    assert!(table.accepts_work(&desk(), after_start(1_400)));
    table
        .announce(&desk(), &ready(6), after_start(2_700))
        .unwrap();
    assert!(table.end_unconfirmed(after_start(2_900)).is_empty());
    assert!(table.accepts_work(&desk(), after_start(9_000)));
}

/// Guards against a sound instance that stays out of use once it has announced itself twice.
#[test]
fn second_announcement_confirms() {
    let mut table = table();
    table.note_left(&desk());
    table
        .announce(&desk(), &ready(5), after_start(4_000))
        .unwrap();
    table
        .announce(&desk(), &ready(6), after_start(5_500))
        .unwrap();
    assert!(table.accepts_work(&desk(), after_start(5_500)));
}

/// Guards against a wait of instances that no earlier process can have known, of those without an order,
/// and of those that appear long after the start.
#[test]
fn other_instances_trusted() {
    let mut younger = ready(1);
    younger.order = Some(AnnounceOrder {
        started_millis: START_MILLIS,
        sequence: 1,
    });
    let mut unordered = ready(1);
    unordered.order = None;
    let cases = [(younger, 4_000), (unordered, 4_000), (ready(5), 31_000)];
    for (first, millis) in cases {
        let mut table = table();
        table
            .announce(&desk(), &first, after_start(millis))
            .unwrap();
        assert!(
            table.accepts_work(&desk(), after_start(millis)),
            "{first:?}"
        );
    }
}
