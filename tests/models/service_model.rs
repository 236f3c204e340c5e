//! Simulation of a service in virtual time: ingresses, queues, health and instances. Records reach
//! the ingresses after a delay.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use wagtailtrack::balance::InstancePicker;
use wagtailtrack::health::{HealthCause, InstanceHealth};
use wagtailtrack::queue::{InstanceQueue, RequestKey};
use wagtailtrack::resource::{ClassWeights, RequestClass};
use wagtailtrack::retry::RetryBudget;
use wagtailtrack::time::{Deadline, MonoTime};
use wagtailtrack::units::{Percent, Slots, Weight};
use wagtailtrack::wire::InstanceRecord;

use super::instance_fault::FaultPlan;
use super::model_request::ModelRequest;
use super::{InstanceFault, LoadStream, ModelPolicy, service_of};

/// Interval of health and queue ticks, at which records are published too.
pub(super) const TICK: Duration = Duration::from_millis(50);
/// Ticks until a record has reached every daemon.
const GOSSIP_TICKS: usize = 6;
/// Mean service time of a lookup on a healthy instance.
const MEAN_LOOKUP_SECS: f64 = 0.0232;
/// Time before which requests are not counted.
pub(super) const WARM_UP: MonoTime = MonoTime::from_millis(12_000);

/// An event at a point in virtual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// The next request of a stream arrives.
    Arrive(usize),
    /// An instance completes a request.
    Done(usize, RequestKey),
    /// The deadline of a request passes.
    TimeOut(RequestKey),
    /// A probe of an instance completes.
    Probed(usize),
    /// Timers of all instances advance.
    Tick,
}

/// A simulated instance with its queue and its health state.
pub(super) struct ModelInstance {
    pub(super) queue: InstanceQueue,
    pub(super) health: InstanceHealth,
    pub(super) fault: Option<FaultPlan>,
    pub(super) consecutive_failures: u32,
    /// End of an ejection by the baseline algorithm.
    pub(super) baseline_ejection: Deadline,
}

/// An ejection of an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ejection {
    /// Index of the instance.
    pub instance: usize,
    /// When its egress ejected it.
    pub at: MonoTime,
    /// Why it was ejected.
    pub cause: HealthCause,
}

/// A simulated service, deterministic for a given seed.
pub struct ServiceModel {
    pub(super) policy: ModelPolicy,
    pub(super) floor: Percent,
    /// Ticks until a record has reached every daemon.
    pub gossip_ticks: usize,
    pub(super) now: MonoTime,
    pub(super) until: MonoTime,
    pub(super) rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(MonoTime, u64, Event)>>,
    pub(super) serial: u64,
    pub(super) records: Vec<InstanceRecord>,
    /// Published records by tick, oldest first; the ingresses see the oldest.
    pub(super) views: VecDeque<Vec<InstanceRecord>>,
    pub(super) instances: Vec<ModelInstance>,
    pub(super) pickers: Vec<InstancePicker>,
    pub(super) budget: RetryBudget,
    pub(super) requests: BTreeMap<RequestKey, ModelRequest>,
    pub(super) turns: Vec<usize>,
    /// The request streams with their results.
    pub streams: Vec<LoadStream>,
    /// Ejections in order of time.
    pub ejections: Vec<Ejection>,
    /// Number of medians published.
    pub publications: u32,
    /// Requests started on each instance since the warm-up.
    pub starts: Vec<u32>,
}

impl ServiceModel {
    /// Returns a service of `count` instances with `slots` each, and one ingress beside each.
    pub fn open(seed: u64, count: usize, slots: u32, policy: ModelPolicy) -> Self {
        let mut records = service_of(count, slots);
        for record in &mut records {
            record.median_micros = 0;
        }
        let instances = (0..count).map(|number| ModelInstance {
            queue: InstanceQueue::open(Slots::new(slots).unwrap(), weights()),
            health: InstanceHealth::open(seed * 1_000 + number as u64),
            fault: None,
            consecutive_failures: 0,
            baseline_ejection: Deadline::at(MonoTime::ZERO),
        });
        let pickers = records
            .iter()
            .map(|record| InstancePicker::open(record.zone.clone()));
        let mut model = Self {
            policy,
            floor: Percent::new(60).unwrap(),
            gossip_ticks: GOSSIP_TICKS,
            now: MonoTime::from_micros(1),
            until: MonoTime::ZERO,
            rng: fastrand::Rng::with_seed(seed),
            events: BinaryHeap::new(),
            serial: 0,
            instances: instances.collect(),
            pickers: pickers.collect(),
            views: VecDeque::from([records.clone()]),
            records,
            budget: RetryBudget::open(Percent::new(20).unwrap()),
            requests: BTreeMap::new(),
            turns: (0..count).collect(),
            streams: Vec::new(),
            ejections: Vec::new(),
            publications: 0,
            starts: vec![0; count],
        };
        model.schedule(Duration::ZERO, Event::Tick);
        model
    }

    /// Adds a stream of requests.
    pub fn add_stream(&mut self, stream: LoadStream) {
        self.streams.push(stream);
        self.schedule(Duration::ZERO, Event::Arrive(self.streams.len() - 1));
    }

    /// Lookups per second that the slots can serve.
    pub fn capacity(&self) -> f64 {
        let slots = self.records.iter().map(|record| record.slots.get());
        f64::from(slots.sum::<u32>()) / MEAN_LOOKUP_SECS
    }

    /// Adds lookups of eight accounts at equal rates, which together use `share` of the slots.
    pub fn add_lookups(&mut self, share: f64) {
        let rate = share * self.capacity() / 8.0;
        for account in 0..8 {
            let name = format!("a{account}");
            self.add_stream(LoadStream::open(&name, RequestClass::Lookup, rate, 1_000));
        }
    }

    /// Adds extracts and internal checks for about `share` of the slots.
    pub fn add_bulk(&mut self, share: f64) {
        let rate = share * self.capacity() / 5.0;
        self.add_stream(LoadStream::open("bulk", RequestClass::Extract, rate, 2_000));
        self.add_stream(LoadStream::open(
            "desk",
            RequestClass::InternalCheck,
            rate,
            1_000,
        ));
    }

    /// Removes all but the first `count` ingresses.
    pub fn limit_ingresses(&mut self, count: usize) {
        self.pickers.truncate(count);
    }

    /// Makes `fault` begin on `instance` at `millis`.
    pub fn inject_fault(&mut self, instance: usize, fault: InstanceFault, millis: u64) {
        let begins = MonoTime::from_millis(millis);
        self.instances[instance].fault = Some(FaultPlan { fault, begins });
    }

    /// Runs the simulation until `millis`.
    pub fn run(&mut self, millis: u64) {
        let until = MonoTime::from_millis(millis);
        self.until = until;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= until {
                self.schedule_at(at, event);
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    /// Time from `millis` until every daemon knows that `instance` is ejected; `None` if it is not.
    pub fn detection(&self, instance: usize, millis: u64) -> Option<Duration> {
        let begins = MonoTime::from_millis(millis);
        let mut ejections = self.ejections.iter();
        let found = ejections.find(|entry| entry.instance == instance && entry.at >= begins)?;
        let gossip = TICK * u32::try_from(self.gossip_ticks).unwrap();
        Some(found.at.since(begins) + gossip)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(stream) => self.arrive(stream),
            Event::Done(instance, key) => self.done(instance, key),
            Event::TimeOut(key) => self.time_out(key),
            Event::Probed(instance) => self.probed(instance),
            Event::Tick => self.tick(),
        }
    }

    pub(super) fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, at: MonoTime, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }
}

fn weights() -> ClassWeights {
    let weight = |value| Weight::new(value).unwrap();
    ClassWeights {
        lookup: weight(2),
        filing: weight(4),
        extract: weight(1),
        internal_check: weight(4),
    }
}
