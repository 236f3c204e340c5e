//! Requests that wait at an instance when it starts to fail.
//!
//! The load: all slots are taken and more requests wait when an instance whose work takes 600 ms begins to
//! fail requests within 2 ms. It would work off its whole queue in moments, and the requests that are not idempotent would be
//! lost.

mod common;

use std::time::Duration;

use common::desk_spec;
use tokio::sync::oneshot::Receiver;
use wagtailtrack::egress::{InstanceDispatcher, SlotDecision, SlotResponse};
use wagtailtrack::health::{SampleOutcome, ServiceBaseline, ServiceSample};
use wagtailtrack::ids::{BootId, RequestId};
use wagtailtrack::instances::LocalInstance;
use wagtailtrack::queue::{QueuedRequest, RequestKey, UrgentRequest};
use wagtailtrack::resource::{Priority, QueueOrder, RecoveryRule, RequestClass, ServiceSpec};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::Slots;
use wagtailtrack::wire::{HealthState, InstancePhase};

const SLOTS: u32 = 2;
const WAITING: u64 = 5;
const SERVICE_TIME: Duration = Duration::from_millis(600);
const FAILURE_TIME: Duration = Duration::from_millis(2);

struct QueueFixture {
    dispatcher: InstanceDispatcher,
    now: MonoTime,
}

impl QueueFixture {
    fn open(order: QueueOrder) -> Self {
        let local = LocalInstance {
            instance: "desk-1".parse().unwrap(),
            service: "desk".parse().unwrap(),
            address: "127.0.0.1:8080".parse().unwrap(),
            phase: InstancePhase::Ready,
            slots: Slots::fixed(SLOTS),
        };
        let spec = ServiceSpec {
            slots: Slots::fixed(SLOTS),
            recovery: RecoveryRule::Requests,
            order,
            ..desk_spec()
        };
        let now = MonoTime::from_millis(1_000);
        let dispatcher = InstanceDispatcher::open(local, &spec, 1, now);
        let mut fixture = Self { dispatcher, now };
        for _ in 0..5 {
            fixture.end(0, SampleOutcome::Good, SERVICE_TIME);
        }
        fixture
    }

    fn request(&mut self, number: u64) -> SlotResponse {
        let request = QueuedRequest {
            key: key(number),
            account: "crew".parse().unwrap(),
            class: RequestClass::Filing,
            deadline: self.now.after(Duration::from_secs(10)),
        };
        let urgent = UrgentRequest {
            route: "filings".parse().unwrap(),
            priority: Priority::DEFAULT,
            goal: request.deadline,
            weight: 1,
            request,
        };
        self.dispatcher.request_slot(urgent, self.now)
    }

    /// Takes all slots and returns the requests that wait.
    fn fill(&mut self) -> Vec<Receiver<SlotDecision>> {
        for number in 0..u64::from(SLOTS) {
            let granted = self.request(number);
            assert!(matches!(
                granted,
                SlotResponse::Immediate(SlotDecision::Granted)
            ));
            self.dispatcher.mark_sent(key(number), self.now);
        }
        let waiting = (10..10 + WAITING).map(|number| match self.request(number) {
            SlotResponse::Pending(receiver) => receiver,
            SlotResponse::Immediate(_) => panic!("all slots are taken"),
        });
        waiting.collect()
    }

    fn end(&mut self, number: u64, outcome: SampleOutcome, service_time: Duration) {
        self.now = self.now + service_time;
        let sample = ServiceSample {
            outcome,
            service_time,
            class: RequestClass::Filing,
        };
        let baseline = ServiceBaseline::default();
        self.dispatcher.observe(&sample, &baseline, self.now);
        self.dispatcher.finish(key(number), self.now);
    }
}

fn key(number: u64) -> RequestKey {
    RequestKey {
        boot: BootId(1),
        request: RequestId(number),
    }
}

/// Guards against a queue that drains into an instance that fails each request at once.
#[test]
fn waiting_leave_failing() {
    for order in [QueueOrder::Classes, QueueOrder::Urgency] {
        let mut fixture = QueueFixture::open(order);
        let waiting = fixture.fill();
        fixture.end(0, SampleOutcome::Failed, FAILURE_TIME);
        for mut receiver in waiting {
            assert!(matches!(receiver.try_recv(), Ok(SlotDecision::Refused(_))));
        }
    }
}

/// Guards against a queue that is turned away for a failure that is the request's own.
#[test]
fn waiting_stay_after_late_failure() {
    let mut fixture = QueueFixture::open(QueueOrder::Urgency);
    let waiting = fixture.fill();
    fixture.end(0, SampleOutcome::Failed, SERVICE_TIME);
    for mut receiver in waiting.into_iter().skip(1) {
        assert!(receiver.try_recv().is_err(), "it still waits");
    }
}

/// Guards against requests that got their slot before the failure and are confirmed after it.
#[test]
fn granted_do_not_start() {
    let mut fixture = QueueFixture::open(QueueOrder::Urgency);
    fixture.request(0);
    fixture.request(1);
    assert!(fixture.dispatcher.admits_start(key(1), false));
    fixture.dispatcher.mark_sent(key(0), fixture.now);
    fixture.end(0, SampleOutcome::Failed, FAILURE_TIME);
    assert!(!fixture.dispatcher.admits_start(key(1), false));
    assert!(fixture.dispatcher.admits_start(key(1), true));
}

/// Guards against the opposite error: a queue that is turned away although the instance serves.
#[test]
fn waiting_stay_at_sound() {
    let mut fixture = QueueFixture::open(QueueOrder::Urgency);
    let mut waiting = fixture.fill();
    fixture.end(0, SampleOutcome::Good, SERVICE_TIME);
    let first = waiting.remove(0).try_recv();
    assert!(matches!(first, Ok(SlotDecision::Granted)));
    for mut receiver in waiting {
        assert!(receiver.try_recv().is_err(), "it still waits");
    }
    assert_eq!(
        fixture.dispatcher.health_mut().published_state(),
        HealthState::Healthy
    );
}

/// The trial of a suspect instance may start although no other request may.
#[test]
fn trial_starts() {
    let mut fixture = QueueFixture::open(QueueOrder::Urgency);
    fixture.request(0);
    fixture.dispatcher.mark_sent(key(0), fixture.now);
    fixture.end(0, SampleOutcome::Failed, FAILURE_TIME);
    fixture.dispatcher.begin_trial(key(7));
    assert!(fixture.dispatcher.admits_start(key(7), false));
    assert!(!fixture.dispatcher.admits_start(key(8), false));
}
