//! Watching a configuration that is a single document in a store.

use std::time::Duration;

use fastrand::Rng;
use wagtailtrack::config::{
    ConfigDocument, DocumentReading, DocumentUpdate, DocumentWatcher, WatchResponse, WatcherStep,
};
use wagtailtrack::evacuation::EvacuationUpdate;
use wagtailtrack::ids::{Revision, StoreEra, Version};
use wagtailtrack::platform::PlatformError;
use wagtailtrack::time::MonoTime;

const LEASE: Duration = Duration::from_secs(5);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn reading(document: DocumentUpdate, position: u64, store_millis: u64) -> WatchResponse {
    WatchResponse::Reading(DocumentReading {
        document,
        evacuations: EvacuationUpdate::unchanged(),
        era: StoreEra(1),
        position: Version(position),
        store_millis,
    })
}

fn document(revision: u64) -> DocumentUpdate {
    DocumentUpdate::New(ConfigDocument {
        revision: Revision(revision),
        resources: Vec::new(),
        warnings: Vec::new(),
    })
}

/// The document is read once and then watched. A watch must be shorter than the lease, or a lost
/// answer would let the lease expire.
#[test]
fn reads_then_watches() {
    let mut rng = Rng::with_seed(1);
    let mut watcher = DocumentWatcher::open(LEASE, at(0));
    assert_eq!(watcher.next_step(at(0)), WatcherStep::Read);
    let update = watcher.answered(at(0), at(4), Ok(reading(document(3), 9, 1_000)), &mut rng);
    let update = update.unwrap();
    assert_eq!(update.document.unwrap().revision, Revision(3));
    assert_eq!(update.confirmed_at, Some(at(0)));
    let WatcherStep::Watch(position, wait) = watcher.next_step(at(5)) else {
        panic!("the document is read again");
    };
    assert_eq!(position, Version(9));
    assert!(wait < LEASE * 3 / 4, "{wait:?}");
}

/// While the newest document is invalid, the previous one must not be confirmed as the newest.
#[test]
fn invalid_document_confirms_nothing() {
    let mut rng = Rng::with_seed(1);
    let mut watcher = DocumentWatcher::open(LEASE, at(0));
    watcher.answered(at(0), at(4), Ok(reading(document(3), 9, 1_000)), &mut rng);
    let invalid = DocumentUpdate::Invalid("no JSON".to_owned());
    let update = watcher
        .answered(at(10), at(14), Ok(reading(invalid, 10, 1_010)), &mut rng)
        .unwrap();
    assert_eq!((update.confirmed_at, update.document), (None, None));
    let same = reading(DocumentUpdate::Unchanged, 11, 1_020);
    let update = watcher.answered(at(20), at(24), Ok(same), &mut rng);
    assert_eq!(update.unwrap().confirmed_at, None);
    let valid = reading(document(5), 12, 1_030);
    let update = watcher.answered(at(30), at(34), Ok(valid), &mut rng);
    assert!(update.unwrap().confirmed_at.is_some());
}

/// After lost history the document is read again. Failures back off for at most a second, so that
/// a store that recovers is read soon.
#[test]
fn history_and_failures() {
    let mut rng = Rng::with_seed(1);
    let mut watcher = DocumentWatcher::open(LEASE, at(0));
    watcher.answered(at(0), at(4), Ok(reading(document(3), 9, 1_000)), &mut rng);
    watcher.answered(at(5), at(9), Ok(WatchResponse::HistoryLost), &mut rng);
    assert_eq!(watcher.next_step(at(9)), WatcherStep::Read);
    let unavailable = || Err(PlatformError::Unavailable("unreachable".to_owned()));
    let mut now = 10;
    for _ in 0..10 {
        assert_eq!(
            watcher.answered(at(now), at(now), unavailable(), &mut rng),
            None
        );
        let WatcherStep::Pause(until) = watcher.next_step(at(now)) else {
            panic!("no pause after a failure");
        };
        let pause = until.remaining(at(now));
        assert!(pause >= Duration::from_millis(50) && pause <= Duration::from_secs(1));
        now += u64::try_from(pause.as_millis()).unwrap() + 1;
    }
    assert_eq!(watcher.next_step(at(now)), WatcherStep::Read);
}

/// A watch goes unanswered although the store answers reads. The document is read at once, and at
/// intervals for a while, so that a new one is not missed behind one silent watch after the other.
#[test]
fn silent_watch() {
    let mut rng = Rng::with_seed(2);
    let mut watcher = DocumentWatcher::open(LEASE, at(0));
    watcher.answered(at(0), at(4), Ok(reading(document(3), 9, 1_000)), &mut rng);
    assert!(matches!(watcher.next_step(at(5)), WatcherStep::Watch(..)));
    let silent = Err(PlatformError::Unavailable("no response".to_owned()));
    watcher.answered(at(5), at(1_805), silent, &mut rng);
    let mut now = 1_805;
    let mut reads = 0;
    while now < 11_800 {
        match watcher.next_step(at(now)) {
            WatcherStep::Pause(until) => {
                let pause = until.remaining(at(now));
                assert!(pause <= Duration::from_secs(1), "{pause:?}");
                now += u64::try_from(pause.as_millis()).unwrap().max(1);
            }
            WatcherStep::Read => {
                reads += 1;
                let unchanged = reading(DocumentUpdate::Unchanged, 9, 1_000 + now);
                watcher.answered(at(now), at(now + 4), Ok(unchanged), &mut rng);
                now += 4;
            }
            WatcherStep::Watch(..) => panic!("watched again at {now} ms"),
        }
    }
    assert!((9..=12).contains(&reads), "{reads} reads");
}
