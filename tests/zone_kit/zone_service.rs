//! The zones, ingresses and instances of the simulation and its events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use wagtailtrack::balance::{InstancePicker, ServiceZones};
use wagtailtrack::ids::ZoneId;
use wagtailtrack::queue::{InstanceQueue, QueueAction, RequestKey};
use wagtailtrack::resource::ClassWeights;
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::{Slots, Weight};
use wagtailtrack::wire::{InstanceRecord, RefusalReason};

use super::ZoneLoad;
use super::zone_request::ZoneRequest;
use crate::models::record;

pub const ZONES: usize = 3;
const TICK: Duration = Duration::from_millis(50);
const SLICE_MILLIS: u64 = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// The next request of a zone arrives.
    Arrive(usize),
    /// A burst arrives in a zone.
    Burst(usize),
    /// An offer arrives at the instance.
    Offered(RequestKey),
    /// The refusal of an offer arrives at the ingress; none if the egress cannot be reached.
    Refused(RequestKey, Option<Duration>),
    /// The instance cannot serve the request by its deadline.
    Overloaded(RequestKey),
    /// An instance completes a request.
    Done(usize, RequestKey),
    Tick,
}

pub(super) struct ZoneInstance {
    pub(super) queue: InstanceQueue,
    pub(super) home: usize,
}

pub(super) struct ZoneIngress {
    pub(super) home: usize,
    pub(super) picker: InstancePicker,
    pub(super) zones: ServiceZones,
}

impl ZoneIngress {
    pub(super) fn picker_zone(&self) -> ZoneId {
        format!("z{}", self.home).parse().unwrap()
    }
}

/// What became of the requests that arrived in one zone.
#[derive(Debug, Clone, Default)]
pub struct ZoneResult {
    pub arrived: usize,
    /// Served by the own zone.
    pub kept: usize,
    /// Served by another zone.
    pub crossed: usize,
    /// Served after their goal.
    pub late: usize,
    pub refused: usize,
    /// Offers to other zones, by slice of 100 ms.
    pub crossings: Vec<usize>,
    /// Served by the own zone, by slice of 100 ms.
    pub kept_by_slice: Vec<usize>,
}

impl ZoneResult {
    /// The offers to other zones from one second to another.
    pub fn crossings_between(&self, from_millis: u64, to_millis: u64) -> usize {
        sum_between(&self.crossings, from_millis, to_millis)
    }

    /// The requests served by the own zone from one second to another.
    pub fn kept_between(&self, from_millis: u64, to_millis: u64) -> usize {
        sum_between(&self.kept_by_slice, from_millis, to_millis)
    }
}

fn sum_between(counts: &[usize], from_millis: u64, to_millis: u64) -> usize {
    let slices = from_millis / SLICE_MILLIS..to_millis / SLICE_MILLIS;
    slices.filter_map(|slice| counts.get(slice as usize)).sum()
}

/// A service whose instances are spread evenly over three zones, deterministic for a given seed.
pub struct ZoneService {
    pub(super) now: MonoTime,
    pub(super) rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(MonoTime, u64, Event)>>,
    serial: u64,
    /// The records as all ingresses see them.
    pub records: Vec<InstanceRecord>,
    pub(super) instances: Vec<ZoneInstance>,
    pub(super) ingresses: Vec<ZoneIngress>,
    pub(super) requests: BTreeMap<RequestKey, ZoneRequest>,
    loads: [ZoneLoad; ZONES],
    /// Whether offers to other zones are lost.
    pub is_partitioned: bool,
    /// Time within which a response is of full use.
    pub goal: Duration,
    pub(super) service_time: Duration,
    /// Whether the requests are idempotent.
    pub idempotent: bool,
    pub results: [ZoneResult; ZONES],
}

impl ZoneService {
    /// Returns a service with `instances` of two slots and `ingresses` in each zone.
    pub fn open(seed: u64, instances: usize, ingresses: usize, loads: [ZoneLoad; ZONES]) -> Self {
        let home = |number: usize| number % ZONES;
        let zone = |number: usize| format!("z{}", home(number)).parse::<ZoneId>().unwrap();
        let mut records: Vec<_> = (0..instances * ZONES)
            .map(|number| record(number, 2))
            .collect();
        for (number, record) in records.iter_mut().enumerate() {
            record.zone = zone(number);
        }
        let slots = Slots::new(2).unwrap();
        let instance = |number| ZoneInstance {
            queue: InstanceQueue::open(slots, weights()),
            home: home(number),
        };
        let ingress = |number| ZoneIngress {
            home: home(number),
            picker: InstancePicker::with_zone_cost(zone(number), "0.25".parse().unwrap()),
            zones: ServiceZones::default(),
        };
        let mut service = Self {
            now: MonoTime::ZERO,
            rng: fastrand::Rng::with_seed(seed),
            events: BinaryHeap::new(),
            serial: 0,
            records,
            instances: (0..instances * ZONES).map(instance).collect(),
            ingresses: (0..ingresses * ZONES).map(ingress).collect(),
            requests: BTreeMap::new(),
            loads,
            is_partitioned: false,
            goal: Duration::from_millis(250),
            service_time: Duration::from_millis(20),
            idempotent: true,
            results: Default::default(),
        };
        for (zone, load) in loads.iter().enumerate() {
            service.schedule(Duration::ZERO, Event::Arrive(zone));
            if load.burst > 0 {
                service.schedule(Duration::from_millis(500), Event::Burst(zone));
            }
        }
        service.schedule(TICK, Event::Tick);
        service
    }

    /// Sets the mean service time.
    pub fn set_service_time(&mut self, span: Duration) {
        self.service_time = span;
        for record in &mut self.records {
            record.median_micros = u32::try_from(span.as_micros()).unwrap();
        }
    }

    /// Runs until `millis` after the start.
    pub fn run_until(&mut self, millis: u64) {
        let until = MonoTime::from_millis(millis);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > until {
                self.events.push(Reverse((at, 0, event)));
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// The mean overflow share of the ingresses of a zone.
    pub fn mean_share(&self, home: usize) -> f64 {
        let ingresses = self.ingresses.iter().filter(|ingress| ingress.home == home);
        let shares: Vec<f64> = ingresses
            .map(|ingress| ingress.zones.share(self.now))
            .collect();
        shares.iter().sum::<f64>() / shares.len() as f64
    }

    pub(super) fn schedule(&mut self, span: Duration, event: Event) {
        self.serial += 1;
        self.events
            .push(Reverse((self.now + span, self.serial, event)));
    }

    pub(super) fn count(counts: &mut Vec<usize>, now: MonoTime) {
        let slice = (now.micros() / 1_000 / SLICE_MILLIS) as usize;
        if counts.len() <= slice {
            counts.resize(slice + 1, 0);
        }
        counts[slice] += 1;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(zone) => {
                let rate = self.loads[zone].rate_at(self.now).max(1.0);
                let gap = -(1.0 - self.rng.f64()).ln() / rate;
                self.schedule(Duration::from_secs_f64(gap), Event::Arrive(zone));
                let ingress = self.draw_ingress(zone);
                self.arrive(ingress);
            }
            Event::Burst(zone) => {
                self.schedule(Duration::from_secs(1), Event::Burst(zone));
                let ingress = self.draw_ingress(zone);
                for _ in 0..self.loads[zone].burst {
                    self.arrive(ingress);
                }
            }
            Event::Offered(key) => self.offered(key),
            Event::Refused(key, wait) => {
                let reason = wait.map(|_| RefusalReason::Busy);
                self.refused(key, reason, wait.unwrap_or_default());
            }
            Event::Overloaded(key) => {
                self.refused(key, Some(RefusalReason::Overloaded), Duration::ZERO);
            }
            Event::Done(instance, key) => self.done(instance, key),
            Event::Tick => {
                self.schedule(TICK, Event::Tick);
                for instance in 0..self.instances.len() {
                    let actions = self.instances[instance].queue.tick(self.now);
                    self.apply(instance, actions);
                }
            }
        }
    }

    pub(super) fn apply(&mut self, instance: usize, actions: Vec<QueueAction>) {
        for action in actions {
            match action {
                QueueAction::Start(key) => self.start(instance, key),
                QueueAction::Refuse { key, .. } => self.give_up(key),
            }
        }
    }

    fn draw_ingress(&mut self, zone: usize) -> usize {
        self.rng.usize(0..self.ingresses.len() / ZONES) * ZONES + zone
    }
}

fn weights() -> ClassWeights {
    let weight = Weight::new(1).unwrap();
    ClassWeights {
        lookup: weight,
        filing: weight,
        extract: weight,
        internal_check: weight,
    }
}
