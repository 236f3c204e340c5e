//! Cold instances: what reaches them, what is known of them, and what the rest of the fleet carries.
//!
//! The loads: a gate that is offered 1,000 requests a second; three zones of four instances, of which
//! one zone is cold, at 1.5 times the usual load from twelve ingresses.

mod models;

use std::time::Duration;

use models::service_of;
use wagtailtrack::balance::{InstancePicker, PickCriteria, PickScope};
use wagtailtrack::egress::{ColdGate, Coldness, InstanceDispatcher, SlotDecision, SlotResponse};
use wagtailtrack::health::capacity_floor::admitted_instances;
use wagtailtrack::ids::{BootId, RequestId};
use wagtailtrack::instances::{AnnounceOrder, LocalInstance};
use wagtailtrack::queue::{QueuedRequest, RequestKey, UrgentRequest};
use wagtailtrack::resource::{
    ClassWeights, Priority, QueueOrder, RecoveryRule, RequestClass, ServiceSpec,
};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::{Percent, Rate, Slots};
use wagtailtrack::wire::{HealthState, InstanceLoad, InstancePhase, InstanceRecord};

const SECOND: u64 = 1_000;
/// Long enough after the start of the process for announcements to be from after it.
const LATER: u64 = 60 * SECOND;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn rate(per_second: f64) -> Rate {
    Rate::from_events_per_second(per_second).unwrap()
}

fn key(number: u64) -> RequestKey {
    RequestKey {
        boot: BootId(1),
        request: RequestId(number),
    }
}

fn order(started_millis: u64, sequence: u64) -> Option<AnnounceOrder> {
    Some(AnnounceOrder {
        started_millis,
        sequence,
    })
}

const ZERO: Option<Duration> = Some(Duration::ZERO);

fn left(millis: u64) -> Option<Duration> {
    Some(Duration::from_millis(millis))
}

/// Offers a request every millisecond of `span` and returns when they were sent.
fn flood(gate: &mut ColdGate, span: std::ops::Range<u64>) -> Vec<u64> {
    span.filter(|millis| {
        let (key, now) = (key(*millis), at(*millis));
        gate.claim(key, now).is_ok() && gate.pass(key, now).is_ok()
    })
    .collect()
}

/// Checks that `sent` keeps the bound on cold instances in any second, without its slack of eight.
fn assert_bounded(sent: &[u64], per_second: f64) {
    for begin in sent {
        let window = *begin..*begin + SECOND;
        let count = sent.iter().filter(|millis| window.contains(millis)).count();
        assert!(
            count as f64 <= per_second * 1.25 + 2.0,
            "{count} in a second at {per_second}"
        );
    }
}

/// Guards against a cold instance that gets more than it takes in any second, or much less.
#[test]
fn any_second() {
    for per_second in [0.5, 3.0, 8.0, 40.0] {
        let mut gate = ColdGate::open(Some(rate(per_second)), at(LATER));
        let sent = flood(&mut gate, LATER..LATER + 10 * SECOND);
        assert_bounded(&sent, per_second);
        assert!(
            sent.len() as f64 >= 9.5 * per_second - 1.0,
            "{}",
            sent.len()
        );
    }
}

/// Guards against a bucket that an egress refills by its restart.
#[test]
fn egress_restart() {
    let per_second = 8.0;
    let mut gate = ColdGate::open(Some(rate(per_second)), at(LATER));
    let mut sent = flood(&mut gate, LATER..LATER + 2_500);
    let restart = LATER + 2_500;
    let mut gate = ColdGate::open(Some(rate(per_second)), at(restart));
    sent.extend(flood(&mut gate, restart..restart + 3_000));
    assert_bounded(&sent, per_second);
}

/// Guards against a gate in deployments that set no rate for cold instances.
#[test]
fn no_rate() {
    let mut gate = ColdGate::open(None, at(LATER));
    gate.observe_announcement(left(5_000), None, at(LATER));
    assert_eq!(flood(&mut gate, LATER..LATER + 100).len(), 100);
    assert_eq!(gate.next_token(at(LATER)), Duration::ZERO);
    assert_eq!(gate.refused(), 0);
}

/// Guards against refused requests that are all told to come back at the same time.
#[test]
fn refused_in_turn() {
    let mut gate = ColdGate::open(Some(rate(2.0)), at(LATER));
    let waits = [1, 2, 3].map(|number| gate.claim(key(number), at(LATER)).unwrap_err());
    assert_eq!(waits, [500, 1_000, 1_500].map(Duration::from_millis));
    assert_eq!(gate.next_token(at(LATER)), Duration::from_millis(500));
    assert_eq!(gate.refused(), 3);
}

/// Guards against requests that hold claims while they wait for a slot and are then sent together.
#[test]
fn claims_before_slots() {
    let mut gate = ColdGate::open(Some(rate(4.0)), at(LATER));
    let offered =
        (0..5 * SECOND).filter(|millis| gate.claim(key(*millis), at(LATER + millis)).is_ok());
    let offered: Vec<u64> = offered.collect();
    // Unused tokens of half a second add up.
    assert_eq!(offered.len(), 2, "more claims than tokens");
    for number in offered {
        assert!(gate.pass(key(number), at(LATER + 5 * SECOND)).is_ok());
    }
    assert!(gate.pass(key(0), at(LATER + 5 * SECOND)).is_err());
}

/// Guards against announcements of an earlier start, or from before an event, that end coldness.
#[test]
fn late_announcements() {
    let now = at(LATER);
    let mut gate = ColdGate::open(Some(rate(5.0)), now);
    gate.observe_announcement(ZERO, order(10, 7), now);
    assert_eq!(gate.coldness(now), Coldness::Warm);
    // The instance starts anew and its announcement says that it is cold.
    let restart = at(LATER + 100);
    gate.observe_announcement(left(3_000), order(20, 1), restart);
    assert!(matches!(gate.coldness(restart), Coldness::Cold(_)));
    for late in [order(10, 8), order(20, 0)] {
        gate.observe_announcement(ZERO, late, at(LATER + 200));
        assert!(gate.rate(at(LATER + 200)).is_some(), "{late:?}");
    }
    gate.observe_announcement(ZERO, order(20, 2), at(LATER + 300));
    assert_eq!(gate.coldness(at(LATER + 300)), Coldness::Warm);
}

/// Guards against a new start whose announcement does not speak of coldness and that counts as warm.
#[test]
fn start_without_statement() {
    let mut gate = ColdGate::open(Some(rate(5.0)), at(LATER));
    gate.observe_announcement(ZERO, order(10, 7), at(LATER));
    gate.observe_announcement(None, order(20, 1), at(LATER + 100));
    assert_eq!(gate.coldness(at(LATER + 100)), Coldness::Unknown);
}

/// Guards against announcements from before the end of an evacuation that make an instance count as
/// warm, which may have become cold meanwhile; and against ones from after it that do not.
#[test]
fn after_evacuation() {
    let mut gate = ColdGate::open(Some(rate(5.0)), at(LATER));
    gate.observe_announcement(ZERO, order(10, 7), at(LATER));
    let end = LATER + SECOND;
    gate.forget(at(end));
    for (sequence, millis) in [(8, 100), (9, 1_600), (10, 3_100)] {
        gate.observe_announcement(ZERO, order(10, sequence), at(end + millis));
        assert_eq!(
            gate.coldness(at(end + millis)),
            Coldness::Unknown,
            "{millis}"
        );
    }
    gate.observe_announcement(left(100), order(10, 11), at(end + 3_500));
    assert_eq!(gate.coldness(at(end + 3_700)), Coldness::Unknown);
    gate.observe_announcement(ZERO, order(10, 12), at(end + 4_600));
    assert_eq!(gate.coldness(at(end + 4_600)), Coldness::Warm);
}

/// Guards against a response to an earlier request that ends coldness, and against one to a later
/// request that does not.
#[test]
fn response_statements() {
    let mut gate = ColdGate::open(Some(rate(5.0)), at(LATER));
    gate.observe_response(Duration::ZERO, at(LATER - 10), at(LATER + 10));
    assert_eq!(gate.coldness(at(LATER + 10)), Coldness::Unknown);
    gate.observe_response(Duration::ZERO, at(LATER + 20), at(LATER + 50));
    assert_eq!(gate.coldness(at(LATER + 50)), Coldness::Warm);
    gate.observe_response(Duration::from_secs(3), at(LATER + 60), at(LATER + 90));
    // An announcement that is newer than those before, but may be older than the response.
    gate.observe_announcement(ZERO, order(10, 8), at(LATER + 100));
    assert!(gate.rate(at(LATER + 100)).is_some());
    // One that shortens the coldness may be older too.
    gate.observe_announcement(left(10), order(10, 9), at(LATER + 110));
    assert!(gate.rate(at(LATER + 1_000)).is_some());
}

/// Guards against an egress that restarts beside a running instance and trusts an announcement that
/// may be from before its own start, when an earlier run of the instance may have sent it.
#[test]
fn young_egress() {
    let mut gate = ColdGate::open(Some(rate(5.0)), at(300));
    gate.observe_announcement(ZERO, order(10, 7), at(300));
    assert_eq!(gate.coldness(at(300)), Coldness::Unknown);
    gate.observe_announcement(ZERO, order(10, 10), at(4_500));
    assert_eq!(gate.coldness(at(4_500)), Coldness::Warm);
}

/// Guards against announcements without an order that count as newer than the first one at once, and
/// never.
#[test]
fn announcements_without_order() {
    let mut gate = ColdGate::open(Some(rate(5.0)), at(LATER));
    gate.observe_announcement(ZERO, None, at(LATER));
    assert_eq!(gate.coldness(at(LATER)), Coldness::Unknown);
    gate.observe_announcement(ZERO, None, at(LATER + 4_500));
    assert_eq!(gate.coldness(at(LATER + 4_500)), Coldness::Warm);
}

/// Guards against probes that are repeated without end, sent beyond the rate, or sent to an instance
/// that has said whether it is cold.
#[test]
fn few_probes() {
    let probes = |gate: &mut ColdGate| {
        let times = (LATER..LATER + 20 * SECOND).filter(|millis| gate.begin_probe(at(*millis)));
        times.collect::<Vec<u64>>()
    };
    let mut gate = ColdGate::open(Some(rate(5.0)), at(LATER));
    let times = probes(&mut gate);
    assert_eq!(times.len(), 3, "{times:?}");
    assert_eq!(times[0], LATER + 200);
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= SECOND));
    gate.forget(at(LATER + 20 * SECOND));
    assert!(gate.begin_probe(at(LATER + 21 * SECOND)));
    gate.end_probes();
    assert!(!gate.begin_probe(at(LATER + 25 * SECOND)));
    let mut warm = ColdGate::open(Some(rate(5.0)), at(LATER));
    warm.observe_announcement(ZERO, order(10, 1), at(LATER));
    assert!(probes(&mut warm).is_empty());
    assert!(probes(&mut ColdGate::open(None, at(LATER))).is_empty());
}

/// Guards against a new process that counts as warm because announcements of the one that ended are
/// late, and its own too.
#[test]
fn crashed_instance() {
    let mut gate = ColdGate::open(Some(rate(5.0)), at(LATER));
    gate.observe_announcement(ZERO, order(10, 1), at(LATER));
    gate.observe_end(at(LATER + 100));
    assert_eq!(gate.coldness(at(LATER + 100)), Coldness::Unknown);
    gate.observe_announcement(ZERO, order(10, 2), at(LATER + 2_000));
    assert_eq!(gate.coldness(at(LATER + 2_000)), Coldness::Unknown);
    // A further failure neither refills nor empties the bucket.
    assert!(gate.next_token(at(LATER + 2_000)).is_zero());
    gate.observe_end(at(LATER + 2_000));
    assert!(gate.next_token(at(LATER + 2_000)).is_zero());
    gate.observe_announcement(left(3_000), order(20, 1), at(LATER + 2_500));
    assert!(gate.rate(at(LATER + 5_000)).is_some());
    assert_eq!(gate.coldness(at(LATER + 5_500)), Coldness::Warm);
}

/// Guards against an instance that stays limited because its next announcements are lost, or because
/// it reports no coldness at all.
#[test]
fn coldness_runs_out() {
    let mut gate = ColdGate::open(Some(rate(5.0)), at(LATER));
    gate.observe_announcement(left(2_000), order(10, 1), at(LATER));
    assert!(gate.rate(at(LATER + 1_999)).is_some());
    assert!(gate.rate(at(LATER + 2_000)).is_none());
    let silent = ColdGate::open(Some(rate(5.0)), at(LATER));
    assert!(silent.rate(at(LATER + 20 * SECOND)).is_some());
    assert!(silent.rate(at(LATER + 40 * SECOND)).is_none());
}

fn spec(cold_rate: Option<Rate>) -> ServiceSpec {
    ServiceSpec {
        id: "desk".parse().unwrap(),
        floor: Percent::new(60).unwrap(),
        slots: Slots::fixed(2),
        weights: ClassWeights::DEFAULT,
        retry_budget: Percent::new(20).unwrap(),
        recovery: RecoveryRule::default(),
        reserves_check_slot: false,
        cold_rate,
        health_path: None,
        order: QueueOrder::Classes,
    }
}

fn dispatcher(now: MonoTime) -> InstanceDispatcher {
    let local = LocalInstance {
        instance: "desk-1".parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        phase: InstancePhase::Ready,
        slots: Slots::fixed(2),
    };
    InstanceDispatcher::open(local, &spec(Some(rate(4.0))), 1, now)
}

fn queued(number: u64, now: MonoTime) -> UrgentRequest {
    let request = QueuedRequest {
        key: key(number),
        account: "crew".parse().unwrap(),
        class: RequestClass::Lookup,
        deadline: now.after(Duration::from_secs(10)),
    };
    UrgentRequest {
        route: "lookups".parse().unwrap(),
        priority: Priority::DEFAULT,
        goal: request.deadline,
        weight: 1,
        request,
    }
}

/// Guards against requests that were offered while the instance was warm and reach it after it has
/// turned cold: those that wait are refused, and those that hold a slot must pass the gate.
#[test]
fn turns_cold_under_requests() {
    let now = at(LATER);
    let mut desk = dispatcher(now);
    desk.change_cold(now, |cold| {
        cold.observe_announcement(ZERO, order(10, 1), now)
    });
    let mut waiting = Vec::new();
    for number in 0..5 {
        assert!(desk.claim_cold(key(number), now).is_ok());
        match desk.request_slot(queued(number, now), now) {
            SlotResponse::Immediate(decision) => assert_eq!(decision, SlotDecision::Granted),
            SlotResponse::Pending(receiver) => waiting.push(receiver),
        }
    }
    assert_eq!(waiting.len(), 3);
    let turn = at(LATER + 10);
    desk.change_cold(turn, |cold| {
        cold.observe_announcement(left(3_000), order(10, 2), turn);
    });
    for mut receiver in waiting {
        let decision = receiver.try_recv().unwrap();
        assert!(matches!(decision, SlotDecision::Refused(_)), "{decision:?}");
    }
    assert!(desk.pass_cold(key(0), turn).is_err());
    let later = at(LATER + 300);
    assert!(desk.pass_cold(key(1), later).is_ok());
    assert!(desk.pass_cold(key(0), later).is_err());
    assert!(desk.load(later).cold_wait_micros > 0);
}

/// Guards against an instance without announcement order that starts anew and counts as warm.
#[test]
fn starts_anew() {
    let now = at(LATER);
    let mut desk = dispatcher(now);
    desk.change_cold(now, |cold| {
        cold.observe_announcement(ZERO, None, at(LATER + 5 * SECOND));
    });
    let restart = at(LATER + 6 * SECOND);
    assert_eq!(desk.cold().coldness(restart), Coldness::Warm);
    for phase in [InstancePhase::Starting, InstancePhase::Ready] {
        let mut local = desk.local().clone();
        local.phase = phase;
        desk.apply_announcement(local, Some(&spec(Some(rate(4.0)))), restart);
        assert_eq!(desk.cold().coldness(restart), Coldness::Unknown);
    }
}

/// Guards against an instance that counts as warm after its zone was out of service.
#[test]
fn zone_returned() {
    let now = at(LATER);
    let mut desk = dispatcher(now);
    desk.change_cold(now, |cold| {
        cold.observe_announcement(ZERO, order(10, 1), now)
    });
    assert_eq!(desk.cold().coldness(now), Coldness::Warm);
    desk.zone_returned(at(LATER + 10));
    assert_eq!(desk.cold().coldness(at(LATER + 10)), Coldness::Unknown);
    assert!(desk.claim_cold(key(1), at(LATER + 10)).is_err());
}

/// Guards against a cold instance that counts in the capacity floor with all of its slots.
#[test]
fn floor_counts_less() {
    let mut records = service_of(4, 4);
    for record in &mut records[..2] {
        // Of four slots and 20 ms, 20 requests a second keep a tenth busy.
        record.cold_rate = Some(rate(20.0));
    }
    records[2].health = HealthState::Ejected;
    let floor = Percent::new(50).unwrap();
    let admitted = admitted_instances(&records, floor, |_| true);
    assert_eq!(admitted.len(), 4, "the ejected instance is needed");
    assert_eq!(admitted[0].share.get(), 10);
    assert!(admitted[0].is_cold && !admitted[3].is_cold);
    for record in &mut records[..2] {
        record.cold_rate = None;
    }
    assert_eq!(admitted_instances(&records, floor, |_| true).len(), 3);
}

const INGRESSES: usize = 12;
const INSTANCES: usize = 12;
const COLD: std::ops::Range<usize> = 0..4;
const SLOTS: u32 = 4;
const COLD_RATE: f64 = 6.0;
/// Service time that the records name; a warm instance takes 200 requests a second.
const SERVICE_MICROS: u32 = 20_000;
/// Requests a second: 1.5 times a usual load of 800.
const LOAD: u64 = 1_200;
const DAY_SECS: u64 = 10;

/// Offers of one simulated fleet, by instance, with the time in milliseconds.
struct ColdZone {
    records: Vec<InstanceRecord>,
    gates: Vec<ColdGate>,
    pickers: Vec<InstancePicker>,
    rng: fastrand::Rng,
    sent: Vec<Vec<u64>>,
    refused: usize,
    unserved: usize,
}

impl ColdZone {
    fn open(seed: u64) -> Self {
        let mut records = service_of(INSTANCES, SLOTS);
        for record in &mut records {
            record.median_micros = SERVICE_MICROS;
        }
        let gates = (0..INSTANCES).map(|index| {
            let cold_rate = COLD.contains(&index).then(|| rate(COLD_RATE));
            ColdGate::open(cold_rate, at(LATER))
        });
        let gates: Vec<ColdGate> = gates.collect();
        for (record, gate) in records.iter_mut().zip(&gates) {
            record.cold_rate = gate.rate(at(LATER));
        }
        Self {
            records,
            gates,
            pickers: (0..INGRESSES)
                .map(|index| InstancePicker::open(format!("z{}", index % 3).parse().unwrap()))
                .collect(),
            rng: fastrand::Rng::with_seed(seed),
            sent: vec![Vec::new(); INSTANCES],
            refused: 0,
            unserved: 0,
        }
    }

    /// Offers one request at `millis`, elsewhere after each refusal.
    fn request(&mut self, number: u64, millis: u64) {
        let now = at(millis);
        let picker = &mut self.pickers[self.rng.usize(..INGRESSES)];
        let mut tried = Vec::new();
        for _ in 0..12 {
            let criteria = PickCriteria {
                floor: Percent::new(60).unwrap(),
                tried: &tried,
                idempotent: true,
                allows_trial: true,
                may_wait: false,
                is_bulk: false,
                scope: PickScope::All,
            };
            let Some(picked) = picker.pick(&self.records, &criteria, now, &mut self.rng) else {
                break;
            };
            let instance = self.records[picked.index].instance.clone();
            let gate = &mut self.gates[picked.index];
            picker.on_start(&instance, now);
            let claimed = gate.claim(key(number), now);
            let passed = claimed.and_then(|()| gate.pass(key(number), now));
            let load = InstanceLoad {
                cold_wait_micros: u32::try_from(gate.next_token(now).as_micros()).unwrap(),
                ..InstanceLoad::default()
            };
            picker.on_response(&instance, load, now);
            match passed {
                Ok(()) => {
                    self.sent[picked.index].push(millis);
                    return;
                }
                Err(retry_after) => {
                    self.refused += 1;
                    picker.wait_for_token(&instance, now.after(retry_after));
                    tried.push(instance);
                }
            }
        }
        self.unserved += 1;
    }

    fn run(&mut self) {
        for number in 0..LOAD * DAY_SECS {
            self.request(number, LATER + number * SECOND / LOAD);
        }
    }
}

/// Guards against a returned zone of cold instances that gets more than it takes, or nothing, or is
/// warmed unevenly; and against requests that are lost or offered in vain for it, although the rest
/// of the fleet can serve them.
#[test]
fn cold_zone_returns() {
    for seed in 1..=3 {
        let mut zone = ColdZone::open(seed);
        zone.run();
        assert_eq!(zone.unserved, 0);
        let counts: Vec<usize> = zone.sent.iter().map(Vec::len).collect();
        for (index, sent) in zone.sent.iter().enumerate() {
            let count = counts[index] as f64;
            if COLD.contains(&index) {
                assert_bounded(sent, COLD_RATE);
                assert!(count > 0.5 * COLD_RATE * DAY_SECS as f64, "{counts:?}");
            } else {
                assert!(count < 0.9 * 200.0 * DAY_SECS as f64, "{counts:?}");
            }
        }
        let offers = (LOAD * DAY_SECS) as f64;
        assert!((zone.refused as f64) < 0.02 * offers, "{}", zone.refused);
    }
}

/// Guards against offers to instances of which an ingress knows that they take nothing now, when no
/// other instance is left.
#[test]
fn all_cold() {
    let mut records = service_of(2, SLOTS);
    let mut picker = InstancePicker::open("z0".parse().unwrap());
    let now = at(LATER);
    for (record, wait) in records.iter_mut().zip([200_000, 90_000]) {
        record.cold_rate = Some(rate(COLD_RATE));
        picker.on_start(&record.instance, now);
        let load = InstanceLoad {
            cold_wait_micros: wait,
            ..InstanceLoad::default()
        };
        picker.on_response(&record.instance, load, now);
    }
    let mut rng = fastrand::Rng::with_seed(1);
    let floor = Percent::new(60).unwrap();
    let mut pick = |now| picker.pick_id(&records, floor, &[], false, now, &mut rng);
    assert_eq!(pick(now), None);
    assert_eq!(pick(at(LATER + 100)), Some(records[1].instance.clone()));
    let wait = picker.cold_wait(&records, now);
    assert_eq!(wait, Some(Duration::from_millis(90)));
}
