//! Following a configuration that is one document.

use std::time::Duration;

use fastrand::Rng;
use wagtailtrack::config::{
    ConfigDocument, DocumentReading, DocumentUpdate, DocumentWatcher, WatchResponse, WatcherStep,
};
use wagtailtrack::ids::{Revision, Version};
use wagtailtrack::platform::PlatformError;
use wagtailtrack::time::MonoTime;

const LEASE: Duration = Duration::from_secs(5);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn reading(document: DocumentUpdate, position: u64, store_millis: u64) -> WatchResponse {
    WatchResponse::Reading(DocumentReading {
        document,
        position: Version(position),
        store_millis,
    })
}

fn document(revision: u64) -> DocumentUpdate {
    DocumentUpdate::New(ConfigDocument {
        revision: Revision(revision),
        resources: Vec::new(),
    })
}

/// Reads once, then waits at the store for less than the lease.
#[test]
fn reads_then_waits() {
    let mut rng = Rng::with_seed(1);
    let mut follower = DocumentWatcher::open(LEASE, at(0));
    assert_eq!(follower.next(at(0)), WatcherStep::Read);
    let finding = follower.answered(at(0), at(4), Ok(reading(document(3), 9, 1_000)), &mut rng);
    let finding = finding.unwrap();
    assert_eq!(finding.document.unwrap().revision, Revision(3));
    assert_eq!(finding.confirmed_at, Some(at(0)));
    let WatcherStep::Watch(position, wait) = follower.next(at(5)) else {
        panic!("it reads again");
    };
    assert_eq!(position, Version(9));
    assert!(wait < LEASE * 3 / 4, "{wait:?}");
}

/// A document that cannot be used leaves the one before unconfirmed until a good one comes.
#[test]
fn unusable_confirms_nothing() {
    let mut rng = Rng::with_seed(1);
    let mut follower = DocumentWatcher::open(LEASE, at(0));
    follower.answered(at(0), at(4), Ok(reading(document(3), 9, 1_000)), &mut rng);
    let bad = DocumentUpdate::Invalid("no JSON".to_owned());
    let finding = follower
        .answered(at(10), at(14), Ok(reading(bad, 10, 1_010)), &mut rng)
        .unwrap();
    assert_eq!((finding.confirmed_at, finding.document), (None, None));
    let same = reading(DocumentUpdate::Unchanged, 11, 1_020);
    let finding = follower.answered(at(20), at(24), Ok(same), &mut rng);
    assert_eq!(finding.unwrap().confirmed_at, None);
    let good = reading(document(5), 12, 1_030);
    let finding = follower.answered(at(30), at(34), Ok(good), &mut rng);
    assert!(finding.unwrap().confirmed_at.is_some());
}

/// Lost history is read anew; failures pause, ever longer, and not for more than a second.
#[test]
fn history_and_failures() {
    let mut rng = Rng::with_seed(1);
    let mut follower = DocumentWatcher::open(LEASE, at(0));
    follower.answered(at(0), at(4), Ok(reading(document(3), 9, 1_000)), &mut rng);
    follower.answered(at(5), at(9), Ok(WatchResponse::HistoryLost), &mut rng);
    assert_eq!(follower.next(at(9)), WatcherStep::Read);
    let away = || Err(PlatformError::Unavailable("away".to_owned()));
    let mut now = 10;
    for _ in 0..10 {
        assert_eq!(follower.answered(at(now), at(now), away(), &mut rng), None);
        let WatcherStep::Pause(until) = follower.next(at(now)) else {
            panic!("no pause after a failure");
        };
        let pause = until.remaining(at(now));
        assert!(pause >= Duration::from_millis(50) && pause <= Duration::from_secs(1));
        now += u64::try_from(pause.as_millis()).unwrap() + 1;
    }
    assert_eq!(follower.next(at(now)), WatcherStep::Read);
}
