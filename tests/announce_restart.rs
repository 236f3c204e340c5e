//! Announcements that arrive at a process that has just started.
//!
//! An earlier process of the daemon may have acknowledged that an instance leaves. An announcement that
//! was sent before that and arrives late must not bring the instance back.

use std::time::Duration;

use wagtailtrack::ids::{InstanceId, InstanceRun};
use wagtailtrack::instances::{AnnounceOrder, AnnounceTable, Announcement, LeftRuns, RenewalRule};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::{Slots, TimeSpan};
use wagtailtrack::wire::InstancePhase;

const START: MonoTime = MonoTime::from_millis(1_000);
/// Unix time of the start of the process.
const START_MILLIS: u64 = 500;
/// Start of the instance's run that [`announcement`] belongs to.
const RUN: InstanceRun = InstanceRun(START_MILLIS - 1);
const TRUST: Duration = Duration::from_secs(3);

fn after_start(millis: u64) -> MonoTime {
    START + Duration::from_millis(millis)
}

fn table() -> AnnounceTable {
    table_with(&LeftRuns::default())
}

fn table_with(left_runs: &LeftRuns) -> AnnounceTable {
    let rule = RenewalRule::open(START, START_MILLIS, TRUST);
    AnnounceTable::open(rule, left_runs.clone())
}

/// The table of a process that knows from the start that `RUN` has left.
fn table_after_leave() -> AnnounceTable {
    let left_runs = LeftRuns::default();
    left_runs.recall(&desk(), RUN, START);
    table_with(&left_runs)
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
            started_millis: RUN.0,
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

/// Guards against late announcements that bring back a run that has left: several of them confirmed each
/// other, although all had been sent before the leave.
#[test]
fn left_run_stays_out() {
    let mut table = table_after_leave();
    for (sequence, millis) in [(5, 700), (6, 2_200), (7, 3_700), (8, 29_000)] {
        let late = ready(sequence);
        let outcome = table.announce(&desk(), &late, after_start(millis));
        assert!(outcome.is_err(), "{sequence}");
        assert!(!table.accepts_work(&desk(), after_start(millis)));
    }
    let mut next_run = ready(1);
    next_run.order.as_mut().unwrap().started_millis = RUN.0 + 1;
    table
        .announce(&desk(), &next_run, after_start(29_100))
        .unwrap();
    assert!(table.accepts_work(&desk(), after_start(29_100)));
}

/// Guards against a new run that stays out of use for good because the clock was set back before its start.
#[test]
fn earlier_start_after_retention() {
    let mut table = table_after_leave();
    let first = ready(1);
    table
        .announce(&desk(), &first, after_start(30_000))
        .unwrap();
    assert!(table.accepts_work(&desk(), after_start(30_000)));
}

/// Guards against a run that stays in use if the process learns only after its late announcements that it
/// has left.
#[test]
fn leave_learnt_late() {
    let left_runs = LeftRuns::default();
    let mut table = table_with(&left_runs);
    for (sequence, millis) in [(5, 700), (6, 2_200)] {
        let late = ready(sequence);
        table.announce(&desk(), &late, after_start(millis)).unwrap();
    }
    left_runs.recall(&desk(), RUN, START);
    assert!(!table.accepts_work(&desk(), after_start(2_300)));
    let drained = table.drain_left(after_start(2_300));
    assert_eq!(drained[0].phase, InstancePhase::Draining);
    let outcome = table.announce(&desk(), &ready(7), after_start(3_700));
    assert!(outcome.is_err());
    assert!(table.drain_left(after_start(2_300)).is_empty());
}

/// Guards against an instance that stays out of use although it has announced `starting` after its leave,
/// and other daemons still report the leave.
#[test]
fn returned_run_serves() {
    let left_runs = LeftRuns::default();
    let mut table = table_with(&left_runs);
    let phases = [
        InstancePhase::Draining,
        InstancePhase::Starting,
        InstancePhase::Ready,
    ];
    for (sequence, phase) in (5..).zip(phases) {
        let next = announcement(phase, sequence);
        table.announce(&desk(), &next, after_start(700)).unwrap();
    }
    left_runs.recall(&desk(), RUN, START);
    assert!(table.accepts_work(&desk(), after_start(700)));
    assert_eq!(left_runs.newest(&desk()), Some(InstanceRun::default()));
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
