//! Queue of one instance: fair sharing of its slots, refusals, cancellation and the slot reserved
//! for internal checks.

use std::time::Duration;

use wagtailtrack::ids::{BootId, RequestId};
use wagtailtrack::queue::{EnqueueOutcome, InstanceQueue, QueueAction, QueuedRequest, RequestKey};
use wagtailtrack::resource::{ClassWeights, RequestClass};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::{Slots, Weight};

fn weights() -> ClassWeights {
    let weight = |value| Weight::new(value).unwrap();
    ClassWeights {
        lookup: weight(2),
        filing: weight(4),
        extract: weight(1),
        internal_check: weight(4),
    }
}

fn queue(slots: u32) -> InstanceQueue {
    InstanceQueue::open(Slots::new(slots).unwrap(), weights())
}

fn key(number: u64) -> RequestKey {
    RequestKey {
        boot: BootId(1),
        request: RequestId(number),
    }
}

fn request(number: u64, account: &str, class: RequestClass, millis: u64) -> QueuedRequest {
    QueuedRequest {
        key: key(number),
        account: account.parse().unwrap(),
        class,
        deadline: MonoTime::ZERO.after(Duration::from_millis(millis)),
    }
}

/// An internal check does not wait behind earlier lookups: its class has a lower start tag.
#[test]
fn internal_check_overtakes_lookups() {
    let mut queue = queue(1);
    let now = MonoTime::ZERO;
    for number in 0..10 {
        queue.enqueue(request(number, "a", RequestClass::Lookup, 10_000), now);
    }
    let check = request(99, "desk", RequestClass::InternalCheck, 10_000);
    assert_eq!(queue.enqueue(check, now), EnqueueOutcome::Wait);
    let actions = queue.finish(key(0), Duration::from_millis(20), MonoTime::from_millis(20));
    assert_eq!(actions, vec![QueueAction::Start(key(99))]);
}

/// An account with few requests does not wait behind all requests of a large one.
#[test]
fn accounts_take_turns() {
    let mut queue = queue(1);
    let now = MonoTime::ZERO;
    for number in 0..10 {
        queue.enqueue(request(number, "large", RequestClass::Lookup, 10_000), now);
    }
    queue.enqueue(request(50, "small", RequestClass::Lookup, 10_000), now);
    let actions = queue.finish(key(0), Duration::from_millis(20), MonoTime::from_millis(20));
    assert_eq!(actions, vec![QueueAction::Start(key(50))]);
}

/// A request that cannot meet its deadline is refused when it arrives, not after a wait.
#[test]
fn unmeetable_deadline_refused() {
    let mut queue = queue(1);
    let now = MonoTime::ZERO;
    queue.enqueue(request(0, "a", RequestClass::Lookup, 10_000), now);
    let outcome = queue.enqueue(request(1, "a", RequestClass::Lookup, 10), now);
    assert!(
        matches!(outcome, EnqueueOutcome::Refuse { .. }),
        "{outcome:?}"
    );
}

/// A tick refuses a waiting request once less than the mean service time is left for it.
#[test]
fn late_request_refused() {
    let mut queue = queue(1);
    queue.enqueue(
        request(0, "a", RequestClass::Lookup, 10_000),
        MonoTime::ZERO,
    );
    let outcome = queue.enqueue(request(1, "b", RequestClass::Lookup, 100), MonoTime::ZERO);
    assert_eq!(outcome, EnqueueOutcome::Wait);
    let actions = queue.tick(MonoTime::from_millis(90));
    assert!(
        matches!(actions[..], [QueueAction::Refuse { key: refused, .. }] if refused == key(1)),
        "{actions:?}"
    );
    assert_eq!(queue.load().queued, 0);
}

/// Cancelling a waiting request must not leave it in the queue, and cancelling a running one must
/// free its slot for the next.
#[test]
fn cancel_frees_slot() {
    let mut queue = queue(1);
    let now = MonoTime::ZERO;
    queue.enqueue(request(0, "a", RequestClass::Lookup, 10_000), now);
    queue.enqueue(request(1, "a", RequestClass::Lookup, 10_000), now);
    queue.enqueue(request(2, "a", RequestClass::Lookup, 10_000), now);
    assert!(queue.cancel(key(1), now).is_empty());
    let actions = queue.cancel(key(0), now);
    assert_eq!(actions, vec![QueueAction::Start(key(2))]);
    assert_eq!(queue.load().in_use, 1);
}

/// A queue of two slots that has a service-time sample for extracts and for internal checks.
fn sampled_queue() -> InstanceQueue {
    let mut queue = queue(2);
    for (class, millis) in [
        (RequestClass::Extract, 500),
        (RequestClass::InternalCheck, 20),
    ] {
        let outcome = queue.enqueue(request(0, "a", class, 60_000), MonoTime::ZERO);
        assert_eq!(outcome, EnqueueOutcome::Start);
        queue.finish(key(0), Duration::from_millis(millis), MonoTime::ZERO);
    }
    queue
}

/// While internal checks arrive, extracts leave one slot free, so that a check does not wait for an
/// extract to end.
#[test]
fn last_slot_reserved() {
    let mut queue = sampled_queue();
    let extract = |number| request(number, "a", RequestClass::Extract, 60_000);
    let now = MonoTime::from_millis(1);
    assert_eq!(queue.enqueue(extract(1), now), EnqueueOutcome::Start);
    assert_eq!(queue.enqueue(extract(2), now), EnqueueOutcome::Wait);
    let check = request(3, "desk", RequestClass::InternalCheck, 60_000);
    assert_eq!(queue.enqueue(check, now), EnqueueOutcome::Start);
}

/// Two seconds after the last internal check, extracts may take the reserved slot again.
#[test]
fn reservation_ends() {
    let mut queue = sampled_queue();
    let extract = |number| request(number, "a", RequestClass::Extract, 60_000);
    let now = MonoTime::from_millis(1);
    queue.enqueue(extract(1), now);
    queue.enqueue(extract(2), now);
    assert!(queue.tick(MonoTime::from_millis(1_000)).is_empty());
    let actions = queue.tick(MonoTime::from_millis(2_100));
    assert_eq!(actions, vec![QueueAction::Start(key(2))]);
}

/// Extracts run much longer than other requests and must not look like a stalled instance, also
/// before the first one has ended. A frozen extract must.
#[test]
fn long_class_is_no_stall() {
    let mut unsampled = queue(3);
    let later = MonoTime::from_millis(1_500);
    unsampled.enqueue(
        request(1, "a", RequestClass::Extract, 60_000),
        MonoTime::ZERO,
    );
    let oldest = unsampled.oldest_running_age(later).unwrap();
    assert!(
        oldest < Duration::from_millis(250),
        "class without samples: {oldest:?}"
    );
    let mut sampled = sampled_queue();
    sampled.enqueue(
        request(1, "a", RequestClass::Extract, 60_000),
        MonoTime::ZERO,
    );
    let oldest = sampled.oldest_running_age(later).unwrap();
    assert!(
        oldest < Duration::from_millis(250),
        "class with samples: {oldest:?}"
    );
    let frozen = sampled
        .oldest_running_age(MonoTime::from_millis(20_000))
        .unwrap();
    assert!(frozen > Duration::from_millis(250), "{frozen:?}");
}

/// Guards against an expected wait that leaves out the requests of other accounts: they started to
/// wait earlier and go first.
#[test]
fn expected_wait_counts_others() {
    let mut queue = queue(1);
    let now = MonoTime::ZERO;
    let accounts = ["a", "b", "c", "d", "e"];
    for (number, account) in accounts.iter().enumerate() {
        queue.enqueue(
            request(number as u64, account, RequestClass::Lookup, 10_000),
            now,
        );
    }
    let wait = queue.expected_wait(RequestClass::Lookup, &"z".parse().unwrap(), now);
    // One request of 25 ms runs and four wait.
    assert_eq!(wait, Duration::from_millis(125));
    let free = queue_with_free_slot();
    assert_eq!(
        free.expected_wait(RequestClass::Lookup, &"z".parse().unwrap(), now),
        Duration::ZERO
    );
}

fn queue_with_free_slot() -> InstanceQueue {
    let mut queue = queue(2);
    queue.enqueue(
        request(0, "a", RequestClass::Lookup, 10_000),
        MonoTime::ZERO,
    );
    queue
}
