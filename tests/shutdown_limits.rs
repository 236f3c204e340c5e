//! Which requests a daemon accepts while it shuts down, and how long it listens.

use std::time::Duration;

use wagtailtrack::ingress::{RequestArrival, ShutdownLimits, WorkTimes};
use wagtailtrack::resource::RequestClass;
use wagtailtrack::time::MonoTime;

/// When the shutdown begins, in milliseconds.
const BEGIN: u64 = 10_000;
/// How long the shutdown takes, in milliseconds.
const SPAN: u64 = 5_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(BEGIN + millis)
}

fn limits() -> ShutdownLimits {
    let end = at(0).after(Duration::from_millis(SPAN));
    ShutdownLimits::between(at(0), end)
}

/// A request on an early connection with a deadline `left` milliseconds after its arrival.
fn arrival(class: RequestClass, millis: u64, left: u64) -> RequestArrival {
    RequestArrival {
        at: at(millis),
        is_late: false,
        class,
        deadline: at(millis).after(Duration::from_millis(left)),
    }
}

/// Guards against runs that fail because their calls are refused from half of the shutdown on, and
/// against calls that are accepted although their deadline lies beyond the last answers.
#[test]
fn calls_accepted_while_in_time() {
    let limits = limits();
    let last = limits.answer_by.remaining(at(0));
    let last = u64::try_from(last.as_millis()).unwrap();
    for millis in (SPAN / 2..last).step_by(50) {
        let call = |left| limits.accepts(&arrival(RequestClass::InternalCheck, millis, left));
        assert!(call(last - millis - 1), "{millis} ms");
        assert!(!call(last - millis), "{millis} ms");
        assert!(!call(60_000), "{millis} ms");
    }
}

/// Guards against a shutdown that serves calls only: in the first half, requests on connections opened
/// before the drain are accepted whatever their deadline, as are all calls.
#[test]
fn first_half_accepts() {
    let limits = limits();
    for class in RequestClass::ALL {
        for millis in [0, 1_000, SPAN / 2 - 1] {
            assert!(limits.accepts(&arrival(class, millis, 60_000)), "{class}");
        }
    }
    let mut call = arrival(RequestClass::InternalCheck, 2_000, 60_000);
    call.is_late = true;
    assert!(limits.accepts(&call));
}

/// Guards against callers that keep a shutdown busy: requests that are no calls are refused from half of
/// the shutdown on, and at any time on connections opened after the drain began.
#[test]
fn other_requests_sent_away() {
    let limits = limits();
    let is_other = |class: &RequestClass| *class != RequestClass::InternalCheck;
    for class in RequestClass::ALL.into_iter().filter(is_other) {
        for millis in [SPAN / 2, 3_000, 4_800] {
            assert!(limits.serves_only_calls(at(millis), false));
            assert!(!limits.accepts(&arrival(class, millis, 1)), "{class}");
        }
        let mut late = arrival(class, 2_000, 1);
        late.is_late = true;
        assert!(limits.serves_only_calls(late.at, true));
        assert!(!limits.accepts(&late), "{class}");
    }
}

/// Guards against a request that is sent to an instance although the shutdown would cut it off, and against
/// one that is refused although it would end in time.
#[test]
fn last_start_by_work_times() {
    let limits = limits();
    let late = at(0).after(Duration::from_secs(60));
    let last_start = |usual: u64, most: u64| {
        let times = WorkTimes {
            usual: Duration::from_millis(usual),
            most: Duration::from_millis(most),
        };
        let last_start = limits.last_start(late, Some(times)).unwrap();
        let left = limits.answer_by.remaining(last_start.time());
        u64::try_from(left.as_millis()).unwrap()
    };
    assert_eq!(last_start(1_000, 1_500), 1_500);
    let half = limits.answer_by.remaining(limits.accept_until.time());
    let half = u64::try_from(half.as_millis()).unwrap();
    assert_eq!(last_start(1_000, half + 500), half);
    assert_eq!(last_start(half + 300, half + 500), half + 300);
    assert_eq!(limits.last_start(late, None), Some(limits.accept_until));
    let times = WorkTimes {
        usual: Duration::from_secs(60),
        most: Duration::from_secs(60),
    };
    let beyond = limits.last_start(late, Some(times));
    assert!(beyond.unwrap().has_passed(at(0)));
    let early = limits.answer_by.before(Duration::from_millis(1));
    assert_eq!(limits.last_start(early, Some(times)), None);
}

/// Guards against a listener that is closed while a run may make calls, and against one that stays open
/// when there is no run left or no call could end in time.
#[test]
fn listens_for_runs() {
    let limits = limits();
    assert!(limits.keeps_listening(true, at(2_000)));
    assert!(limits.keeps_listening(true, at(SPAN / 2)));
    assert!(!limits.keeps_listening(false, at(2_000)));
    assert!(!limits.keeps_listening(true, limits.answer_by.time()));
}
