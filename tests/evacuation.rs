//! Evacuation of availability zones: what a daemon knows of it, and what follows for the instances.

mod models;

use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use models::service_of;
use wagtailtrack::balance::InstancePicker;
use wagtailtrack::config::{
    ConfigDocument, DocumentReading, DocumentUpdate, DocumentWatcher, WatchResponse,
};
use wagtailtrack::egress::{InstanceDispatcher, SlotDecision, SlotResponse};
use wagtailtrack::evacuation::{
    AvoidedZones, EvacuatedZones, EvacuationMark, EvacuationReport, EvacuationState,
    EvacuationUpdate, RecordFilter, ZoneChange,
};
use wagtailtrack::health::{SampleOutcome, ServiceBaseline, ServiceSample, admitted_ids};
use wagtailtrack::ids::{BootId, RequestId, Revision, StoreEra, Version, ZoneId};
use wagtailtrack::instances::LocalInstance;
use wagtailtrack::queue::{QueuedRequest, RequestKey, UrgentRequest};
use wagtailtrack::resource::{
    ClassWeights, Priority, QueueOrder, RecoveryRule, RequestClass, ServiceSpec,
};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::{Percent, Slots, Weight};
use wagtailtrack::wire::{self, HealthState, InstancePhase, InstanceRecord, RefusalReason};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn mark(era: u64, version: u64) -> EvacuationMark {
    EvacuationMark {
        era: StoreEra(era),
        version: Version(version),
    }
}

fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

fn zones(names: &[&str]) -> EvacuatedZones {
    names.iter().map(|name| zone(name)).collect()
}

fn whole(names: &[&str]) -> EvacuationUpdate {
    EvacuationUpdate::Whole(zones(names))
}

fn report(era: u64, version: u64, names: &[&str]) -> EvacuationReport {
    EvacuationReport {
        mark: mark(era, version),
        zones: zones(names),
        age_micros: 0,
    }
}

/// A daemon that knows of an evacuation since version 50 of era 2.
fn informed() -> EvacuationState {
    let mut state = EvacuationState::default();
    state.apply_reading(mark(2, 50), &whole(&["z1"]), at(1_000));
    state
}

/// Guards against an evacuation that is undone by a daemon that was partitioned, or by an answer of the
/// store that was overtaken.
#[test]
fn older_knowledge() {
    let mut state = informed();
    assert!(!state.merge_report(&report(2, 49, &[]), at(2_000)));
    assert!(!state.merge_report(&report(1, 99, &[]), at(2_000)));
    assert!(!state.apply_reading(mark(2, 49), &whole(&[]), at(2_000)));
    assert_eq!(*state.zones(), zones(&["z1"]));
    assert_eq!(state.age(at(3_000)), Some(Duration::from_secs(2)));
    assert!(state.merge_report(&report(2, 51, &[]), at(2_000)));
    assert!(state.zones().is_empty());
}

/// Guards against a daemon that counts as informed after a restart before it has heard of the
/// evacuations, and against one that takes changes for the whole set.
#[test]
fn unknown_at_start() {
    let mut state = EvacuationState::default();
    let changes = EvacuationUpdate::Changes(vec![ZoneChange::Out(zone("z2"))]);
    assert!(!state.apply_reading(mark(2, 60), &changes, at(0)));
    assert!(!state.is_known() && state.report(at(0)).is_none());
    let known = informed().report(at(5_000)).unwrap();
    assert_eq!(known.age_micros, 4_000_000);
    state.merge_report(&known, at(1_000));
    assert!(state.is_known());
    assert_eq!(*state.zones(), zones(&["z1"]));
}

/// Guards against a zone that stays out because a watch reports only what changed, or that is missed in
/// a read after the history was lost.
#[test]
fn changes_and_reads() {
    let mut state = informed();
    let changes = vec![
        ZoneChange::Out(zone("z2")),
        ZoneChange::Back(zone("z1")),
        ZoneChange::Out(zone("z3")),
        ZoneChange::Back(zone("z3")),
    ];
    state.apply_reading(mark(2, 60), &EvacuationUpdate::Changes(changes), at(2_000));
    assert_eq!(*state.zones(), zones(&["z2"]));
    state.apply_reading(mark(2, 61), &EvacuationUpdate::unchanged(), at(3_000));
    assert_eq!(*state.zones(), zones(&["z2"]));
    state.apply_reading(mark(2, 70), &whole(&["z3"]), at(4_000));
    assert_eq!(*state.zones(), zones(&["z3"]));
}

/// The store comes back from a copy and issues versions a second time. Guards against changes that are
/// taken on top of the set from before, and against a peer that still tells of the lost state.
#[test]
fn restored_store() {
    let mut state = informed();
    let changes = EvacuationUpdate::Changes(vec![ZoneChange::Out(zone("z2"))]);
    assert!(!state.apply_reading(mark(3, 45), &changes, at(2_000)));
    assert_eq!(*state.zones(), zones(&["z1"]), "the last known state holds");
    assert!(state.apply_reading(mark(3, 45), &whole(&["z2"]), at(2_100)));
    assert_eq!(*state.zones(), zones(&["z2"]));
    assert!(!state.merge_report(&report(2, 90, &["z1"]), at(2_200)));
    assert_eq!(*state.zones(), zones(&["z2"]));
}

/// Guards against a waiting peer that is not told of a change at once, and against one that is answered
/// whenever the version of the store advances.
#[test]
fn news_to_peers() {
    let known = informed().digest();
    assert!(report(2, 50, &["z1"]).is_news_to(None));
    assert!(report(2, 51, &["z1", "z2"]).is_news_to(known));
    assert!(report(3, 1, &[]).is_news_to(known));
    assert!(!report(2, 51, &["z1"]).is_news_to(known));
    assert!(!report(2, 49, &[]).is_news_to(known));
    let sent = report(2, 51, &["z1", "z2"]);
    let bytes = wire::encode(&sent).unwrap();
    assert_eq!(wire::decode::<EvacuationReport>(&bytes), Ok(sent));
}

fn reading(document: DocumentUpdate, evacuations: EvacuationUpdate, version: u64) -> WatchResponse {
    WatchResponse::Reading(DocumentReading {
        document,
        evacuations,
        era: StoreEra(2),
        position: Version(version),
        store_millis: 1_000 + version,
    })
}

/// Guards against an invalid document that hides an evacuation, and against an evacuation that makes an
/// invalid document count as confirmed. An older document does not undo the evacuation either.
#[test]
fn invalid_and_older_documents() {
    let mut rng = Rng::with_seed(1);
    let mut watcher = DocumentWatcher::open(Duration::from_secs(5), at(0));
    let mut state = EvacuationState::default();
    let mut answer = |watcher: &mut DocumentWatcher, document, evacuations, version| {
        let response = Ok(reading(document, evacuations, version));
        let (sent, now) = (at(version), at(version + 2));
        let update = watcher.answered(sent, now, response, &mut rng).unwrap();
        state.apply_reading(update.mark, &update.evacuations, update.answered_at);
        (state.zones().clone(), update.confirmed_at.is_some())
    };
    let document = |revision| {
        DocumentUpdate::New(ConfigDocument {
            revision: Revision(revision),
            resources: Vec::new(),
            warnings: Vec::new(),
        })
    };
    let first = answer(&mut watcher, document(5), whole(&[]), 10);
    assert_eq!(first, (zones(&[]), true));
    let out = EvacuationUpdate::Changes(vec![ZoneChange::Out(zone("z1"))]);
    let invalid = DocumentUpdate::Invalid("no JSON".to_owned());
    let second = answer(&mut watcher, invalid, out, 20);
    assert_eq!(second, (zones(&["z1"]), false));
    let unchanged = EvacuationUpdate::unchanged();
    let third = answer(
        &mut watcher,
        DocumentUpdate::Unchanged,
        unchanged.clone(),
        30,
    );
    assert_eq!(third, (zones(&["z1"]), false));
    let older = answer(&mut watcher, document(4), unchanged, 40);
    assert_eq!(older, (zones(&["z1"]), true));
}

/// A service in zones z0 to z3, without the instances of evacuated zones.
fn usable(records: &[InstanceRecord], out: &[&str]) -> Rc<[InstanceRecord]> {
    let service = "desk".parse().unwrap();
    RecordFilter::default().usable(&service, records.into(), &zones(out))
}

/// Guards against a floor on capacity that counts instances which may not be used: it would force
/// requests on ejected instances as soon as a zone is out.
#[test]
fn floor_without_zone() {
    let mut records = service_of(8, 3);
    for number in [1, 2] {
        records[number].health = HealthState::Ejected;
    }
    let floor = Percent::new(60).unwrap();
    let all = admitted_ids(&usable(&records, &["z0"]), floor);
    assert_eq!(all.len(), 4, "{all:?}");
    for number in [5, 6] {
        records[number].health = HealthState::Ejected;
    }
    let forced = admitted_ids(&usable(&records, &["z0"]), floor);
    assert_eq!(
        forced.len(),
        4,
        "60% of 6 instances stay in use: {forced:?}"
    );
    let names: Vec<_> = forced.iter().map(ToString::to_string).collect();
    assert!(!names.contains(&"i0".to_owned()) && !names.contains(&"i4".to_owned()));
    assert!(usable(&records, &["z0", "z1", "z2", "z3"]).is_empty());
}

/// Guards against records that were filtered before an instance or the zones changed.
#[test]
fn filter_follows_changes() {
    let service = "desk".parse().unwrap();
    let mut filter = RecordFilter::default();
    let first: Rc<[InstanceRecord]> = service_of(4, 3).into();
    let out = zones(&["z1"]);
    let kept = filter.usable(&service, Rc::clone(&first), &out);
    assert_eq!(kept.len(), 3);
    let again = filter.usable(&service, Rc::clone(&first), &out);
    assert!(
        Rc::ptr_eq(&kept, &again),
        "unchanged records are filtered once"
    );
    let second: Rc<[InstanceRecord]> = service_of(8, 3).into();
    assert_eq!(filter.usable(&service, Rc::clone(&second), &out).len(), 6);
    assert_eq!(
        filter
            .usable(&service, Rc::clone(&second), &zones(&["z1", "z2"]))
            .len(),
        4
    );
    assert_eq!(filter.usable(&service, second, &zones(&[])).len(), 8);
}

/// An egress refuses because of an evacuation that the ingress has not heard of. Guards against offer
/// after offer to this zone, and against a zone that is avoided for good because its egress was behind.
#[test]
fn refused_by_egress() {
    let mut avoided = AvoidedZones::default();
    let known = zones(&["z3"]);
    assert!(avoided.avoid(zone("z1"), &known, at(0)));
    assert!(!avoided.avoid(zone("z1"), &known, at(10)));
    let closed = avoided.closed_zones(&known, at(900));
    assert_eq!(closed, Some(zones(&["z1", "z3"])));
    assert_eq!(avoided.closed_zones(&known, at(1_100)), None);
    avoided.avoid(zone("z1"), &known, at(2_000));
    assert_eq!(
        avoided.closed_zones(&zones(&[]), at(2_100)),
        None,
        "more is known"
    );
    assert!(RefusalReason::Evacuated.is_unsent());
}

fn spec() -> ServiceSpec {
    let weight = Weight::new(1).unwrap();
    ServiceSpec {
        id: "desk".parse().unwrap(),
        floor: Percent::new(60).unwrap(),
        slots: Slots::new(1).unwrap(),
        weights: ClassWeights {
            lookup: weight,
            filing: weight,
            extract: weight,
            internal_check: weight,
        },
        retry_budget: Percent::new(20).unwrap(),
        recovery: RecoveryRule::Probes,
        reserves_check_slot: false,
        cold_rate: None,
        health_path: None,
        order: QueueOrder::Classes,
    }
}

fn dispatcher() -> InstanceDispatcher {
    let local = LocalInstance {
        instance: "i1".parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        phase: InstancePhase::Ready,
        slots: Slots::new(1).unwrap(),
    };
    InstanceDispatcher::open(local, &spec(), 1, at(0))
}

fn queued(number: u64) -> UrgentRequest {
    let request = QueuedRequest {
        key: key(number),
        account: "crew".parse().unwrap(),
        class: RequestClass::Lookup,
        deadline: at(0).after(Duration::from_secs(60)),
    };
    UrgentRequest {
        route: "lookups".parse().unwrap(),
        priority: Priority::DEFAULT,
        goal: request.deadline,
        weight: 1,
        request,
    }
}

fn key(number: u64) -> RequestKey {
    RequestKey {
        boot: BootId(1),
        request: RequestId(number),
    }
}

/// Guards against requests that wait out an evacuation in the queue, or run in spite of it, and against
/// a running one that is cut off.
#[test]
fn waiting_requests_leave() {
    let mut dispatcher = dispatcher();
    let granted = dispatcher.request_slot(queued(1), at(0));
    assert!(matches!(
        granted,
        SlotResponse::Immediate(SlotDecision::Granted)
    ));
    dispatcher.mark_sent(key(1), at(0));
    let SlotResponse::Pending(mut waiting) = dispatcher.request_slot(queued(2), at(1)) else {
        panic!("the only slot is taken");
    };
    dispatcher.zone_evacuated(at(2));
    assert!(matches!(waiting.try_recv(), Ok(SlotDecision::Refused(_))));
    dispatcher.cancel(key(2), at(3));
    let load = dispatcher.load(at(0));
    assert_eq!(
        (load.in_use, load.queued),
        (1, 0),
        "the running one goes on"
    );
    dispatcher.finish(key(1), at(30));
    assert!(dispatcher.is_idle());
}

const PICKS: usize = 4_000;

/// Share of the picks that zone z1 gets, whose instances are in `state`.
fn share_of_zone(state: HealthState) -> f64 {
    let mut records = service_of(8, 3);
    for record in records
        .iter_mut()
        .filter(|record| record.zone == zone("z1"))
    {
        record.health = state;
    }
    let mut picker = InstancePicker::with_zone_cost(zone("z0"), "0".parse().unwrap());
    let mut rng = Rng::with_seed(7);
    let floor = Percent::new(60).unwrap();
    let in_zone: Vec<_> = records
        .iter()
        .filter(|record| record.zone == zone("z1"))
        .collect();
    let picked = (0..PICKS)
        .filter_map(|_| picker.pick_id(&records, floor, &[], true, at(1), &mut rng))
        .filter(|picked| in_zone.iter().any(|record| record.instance == *picked));
    picked.count() as f64 / PICKS as f64
}

/// A zone is put back while requests arrive. Guards against its full share at once: the instances stay
/// at the begin of the ramp however long the zone is out, so that the fleet knows of it before the zone
/// returns, and advance only with good responses.
#[test]
fn returned_under_load() {
    let mut dispatcher = dispatcher();
    let baseline = ServiceBaseline::from_records(&service_of(8, 3));
    let begin = HealthState::Ramping(Percent::new(5).unwrap());
    dispatcher.zone_evacuated(at(0));
    for now in (0..120_000).step_by(100) {
        dispatcher.tick(&baseline, at(now));
    }
    assert_eq!(dispatcher.health_mut().state(), begin);
    let hold = Duration::from_secs(1);
    dispatcher.advance_publication(hold, at(119_000));
    dispatcher.advance_publication(hold, at(120_000));
    assert_eq!(
        dispatcher.fleet_health(),
        begin,
        "the fleet knows before the return"
    );
    assert!(dispatcher.zone_returned(at(120_000)).is_none());
    let mut shares = vec![share_of_zone(dispatcher.health_mut().state())];
    let mut full_at = None;
    for now in (120_000..140_000).step_by(100) {
        let sample = ServiceSample {
            class: RequestClass::Lookup,
            outcome: SampleOutcome::Good,
            service_time: Duration::from_millis(20),
        };
        if dispatcher.observe(&sample, &baseline, at(now)).is_some() {
            shares.push(share_of_zone(dispatcher.health_mut().state()));
        }
        if dispatcher.health_mut().state() == HealthState::Healthy {
            full_at.get_or_insert(now);
        }
    }
    assert!(shares[0] < 0.05, "{shares:?}");
    assert!(shares.is_sorted(), "{shares:?}");
    let full_at = full_at.expect("the ramp ends");
    assert!((124_000..130_000).contains(&full_at), "{full_at}");
}
