//! Queue that orders by urgency: what competes for the slots of one instance, who waits and who is
//! refused.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailtrack::hash::FastMap;
use wagtailtrack::ids::{BootId, RequestId};
use wagtailtrack::queue::{
    EnqueueOutcome, QueueAction, QueuedRequest, RequestKey, UrgencyQueue, UrgentRequest,
};
use wagtailtrack::resource::{Priority, RequestClass};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::Slots;

const TICK: Duration = Duration::from_millis(20);

/// A kind of request that competes for the slots.
#[derive(Clone, Copy)]
struct LoadKind {
    route: &'static str,
    account: &'static str,
    class: RequestClass,
    priority: u8,
    goal_ms: u64,
    deadline_ms: u64,
    work_ms: u64,
    per_second: f64,
}

/// What became of the requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct KindResult {
    sent: u32,
    served: u32,
    /// Served within the goal.
    in_time: u32,
}

impl KindResult {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.sent)
    }

    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent)
    }
}

fn key(number: u64) -> RequestKey {
    RequestKey {
        boot: BootId(1),
        request: RequestId(number),
    }
}

fn request(number: u64, kind: &LoadKind, now: MonoTime) -> UrgentRequest {
    UrgentRequest {
        request: QueuedRequest {
            key: key(number),
            account: kind.account.parse().unwrap(),
            class: kind.class,
            deadline: now.after(Duration::from_millis(kind.deadline_ms)),
        },
        route: kind.route.parse().unwrap(),
        priority: Priority(kind.priority),
        goal: now.after(Duration::from_millis(kind.goal_ms)),
        weight: 1,
    }
}

fn queue(slots: u32) -> UrgencyQueue {
    UrgencyQueue::open(Slots::new(slots).unwrap())
}

/// Sends requests of all kinds to one instance for `secs` and returns what became of those that were
/// sent after the first fifth of the time. A request takes its kind's time exactly.
fn run(slots: u32, kinds: &[LoadKind], secs: u64, seed: u64) -> Vec<KindResult> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut queue = queue(slots);
    let mut results = vec![KindResult::default(); kinds.len()];
    let mut requests: FastMap<RequestKey, (usize, MonoTime, bool)> = FastMap::default();
    let mut ends: BTreeMap<(MonoTime, RequestKey), Duration> = BTreeMap::new();
    let mut number = 0;
    let mut now = MonoTime::ZERO;
    let step = Duration::from_millis(1);
    let warm_up = MonoTime::from_millis(secs * 200);
    while now < MonoTime::from_millis(secs * 1_000) {
        now = now + step;
        let mut actions = Vec::new();
        while let Some((&(end, ended), &service)) = ends.first_key_value() {
            if end > now {
                break;
            }
            ends.remove(&(end, ended));
            let (index, sent, is_counted) = requests.remove(&ended).unwrap();
            if is_counted {
                results[index].served += 1;
                let took = now.since(sent);
                results[index].in_time +=
                    u32::from(took <= Duration::from_millis(kinds[index].goal_ms));
            }
            actions.extend(queue.finish(ended, service, now));
        }
        if now.micros().is_multiple_of(20_000) {
            actions.extend(queue.tick(now));
        }
        for (index, kind) in kinds.iter().enumerate() {
            if rng.f64() >= kind.per_second * step.as_secs_f64() {
                continue;
            }
            number += 1;
            let is_counted = now > warm_up;
            results[index].sent += u32::from(is_counted);
            requests.insert(key(number), (index, now, is_counted));
            match queue.enqueue(request(number, kind, now), now) {
                EnqueueOutcome::Start => actions.push(QueueAction::Start(key(number))),
                EnqueueOutcome::Wait => {}
                EnqueueOutcome::Refuse { .. } => {
                    requests.remove(&key(number));
                }
            }
            actions.extend(queue.take_displaced());
        }
        for action in actions {
            match action {
                QueueAction::Start(started) => {
                    let (index, ..) = requests[&started];
                    let service = Duration::from_millis(kinds[index].work_ms);
                    ends.insert((now + service, started), service);
                }
                QueueAction::Refuse { key: refused, .. } => {
                    requests.remove(&refused);
                }
            }
        }
    }
    results
}

const URGENT: LoadKind = LoadKind {
    route: "open",
    account: "guests",
    class: RequestClass::Lookup,
    priority: 0,
    goal_ms: 500,
    deadline_ms: 3_000,
    work_ms: 170,
    per_second: 0.0,
};
const NORMAL: LoadKind = LoadKind {
    route: "charge",
    account: "guests",
    class: RequestClass::Filing,
    priority: 1,
    goal_ms: 800,
    deadline_ms: 6_000,
    work_ms: 290,
    per_second: 0.0,
};
const PATIENT: LoadKind = LoadKind {
    route: "confirm",
    account: "guests",
    class: RequestClass::Filing,
    priority: 2,
    goal_ms: 3_000,
    deadline_ms: 10_000,
    work_ms: 420,
    per_second: 0.0,
};

/// Three kinds of equal work that together ask for `load` times the room of `slots`.
fn mixed_load(slots: u32, load: f64) -> Vec<LoadKind> {
    let kinds = [URGENT, NORMAL, PATIENT];
    let each = f64::from(slots) * load / 3.0;
    let with_rate = |kind: LoadKind| LoadKind {
        per_second: each / (Duration::from_millis(kind.work_ms).as_secs_f64()),
        ..kind
    };
    kinds.map(with_rate).to_vec()
}

/// An urgent kind of request is served less often than a less urgent one when the slots are shared
/// without regard to urgency.
#[test]
fn urgent_served_first() {
    for load in [1.3, 2.0] {
        for seed in 0..5 {
            let results = run(5, &mixed_load(5, load), 60, seed);
            let shares: Vec<f64> = results.iter().map(KindResult::served_share).collect();
            assert!(shares[0] >= shares[1] - 0.05, "{load} {seed}: {shares:?}");
            assert!(shares[1] >= shares[2] - 0.05, "{load} {seed}: {shares:?}");
            assert!(shares[0] > 0.95, "{load} {seed}: {shares:?}");
            assert!(
                results[0].in_time_share() > 0.9,
                "{load} {seed}: {results:?}"
            );
        }
    }
}

/// Urgent requests that could take all slots starve the others.
#[test]
fn less_urgent_not_starved() {
    let urgent = LoadKind {
        per_second: 45.0,
        ..URGENT
    };
    let patient = LoadKind {
        per_second: 4.0,
        ..PATIENT
    };
    for seed in 0..5 {
        let results = run(5, &[urgent, patient], 60, seed);
        let total: u32 = results.iter().map(|result| result.served).sum();
        let sent: u32 = results.iter().map(|result| result.sent).sum();
        let common = f64::from(total) / f64::from(sent);
        let patient_share = results[1].served_share();
        assert!(patient_share >= common / 4.0, "{seed}: {results:?}");
        assert!(
            results[0].served_share() >= patient_share,
            "{seed}: {results:?}"
        );
    }
}

/// One account's flood takes the slots from another account of the same urgency.
#[test]
fn flood_leaves_others_served() {
    let flood = LoadKind {
        account: "flood",
        per_second: 100.0,
        ..NORMAL
    };
    let other = LoadKind {
        account: "other",
        per_second: 4.0,
        ..NORMAL
    };
    for seed in 0..5 {
        let results = run(5, &[flood, other], 60, seed);
        assert!(results[1].served_share() > 0.95, "{seed}: {results:?}");
    }
}

/// Calls that running requests wait for are turned away in favour of new requests.
#[test]
fn calls_before_new_requests() {
    let call = LoadKind {
        route: "check",
        account: "public",
        class: RequestClass::InternalCheck,
        priority: 1,
        goal_ms: 400,
        deadline_ms: 1_200,
        work_ms: 100,
        per_second: 10.0,
    };
    let fresh = LoadKind {
        per_second: 30.0,
        ..NORMAL
    };
    for seed in 0..5 {
        let results = run(5, &[call, fresh], 60, seed);
        assert!(results[0].served_share() > 0.95, "{seed}: {results:?}");
    }
}

/// A full queue refuses an urgent request although less urgent ones wait.
#[test]
fn full_queue_displaces_least_urgent() {
    let mut queue = queue(1);
    let now = MonoTime::ZERO;
    let patient = LoadKind {
        deadline_ms: 600_000,
        ..PATIENT
    };
    for number in 0..65 {
        queue.enqueue(request(number, &patient, now), now);
    }
    let refused = queue.enqueue(request(65, &patient, now), now);
    assert!(
        matches!(refused, EnqueueOutcome::Refuse { .. }),
        "{refused:?}"
    );
    let outcome = queue.enqueue(request(66, &URGENT, now), now);
    assert_eq!(outcome, EnqueueOutcome::Wait);
    let displaced = queue.take_displaced();
    assert!(
        matches!(displaced[..], [QueueAction::Refuse { .. }]),
        "{displaced:?}"
    );
    let next = queue.finish(key(0), Duration::from_millis(25), now + TICK);
    assert_eq!(next, vec![QueueAction::Start(key(66))]);
}

/// A request that can no longer meet its goal takes the slot from one that still can.
#[test]
fn late_goal_goes_behind() {
    let mut queue = queue(1);
    let now = MonoTime::ZERO;
    queue.enqueue(request(0, &NORMAL, now), now);
    queue.enqueue(
        request(
            1,
            &LoadKind {
                goal_ms: 30,
                ..NORMAL
            },
            now,
        ),
        now,
    );
    queue.enqueue(request(2, &NORMAL, now), now);
    let later = now + Duration::from_millis(25);
    let next = queue.finish(key(0), Duration::from_millis(25), later);
    assert_eq!(next, vec![QueueAction::Start(key(2))]);
}

/// After the load falls, the queue goes on to report that it has no room.
#[test]
fn room_reported_after_load() {
    let mut queue = queue(1);
    let mut now = MonoTime::ZERO;
    for number in 0..60 {
        queue.enqueue(request(number, &PATIENT, now), now);
    }
    for number in 0..10 {
        now = now + Duration::from_millis(420);
        queue.finish(key(number), Duration::from_millis(420), now);
    }
    queue.tick(now);
    assert!(queue.load().closed_priorities > 0, "{:?}", queue.load());
    for number in 0..60 {
        queue.cancel(key(number), now);
    }
    queue.tick(now);
    assert_eq!(queue.load().closed_priorities, 0);
}
