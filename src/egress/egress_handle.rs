//! The running egress.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;

use crate::egress::{BackendClient, ClientOptions, InstanceDispatcher, offer_task, probe_task};
use crate::hash::FastMap;
use crate::health::{HealthChange, ServiceBaseline, ServiceSample};
use crate::ids::{InstanceId, ServiceId};
use crate::instances::LocalInstance;
use crate::logs::part;
use crate::metrics::DurationMetrics;
use crate::peers::PeerStream;
use crate::resource::ServiceSpec;
use crate::time::ProcessClock;
use crate::wire::{HealthState, InstancePhase, InstanceRecord, RequestOffer};

const TICK: Duration = Duration::from_millis(20);

/// Tells how a service is configured.
pub type SpecSource = Rc<dyn Fn(&ServiceId) -> Option<ServiceSpec>>;

/// Tells what the fleet knows of a service's instances.
pub type RecordSource = Rc<dyn Fn(&ServiceId) -> Rc<[InstanceRecord]>>;

/// Publishes an instance's health and its median service time.
pub type StatePublisher = Rc<dyn Fn(&LocalInstance, HealthState, Option<Duration>)>;

/// What the egress learns from the rest of the daemon.
#[derive(Clone)]
pub struct EgressSources {
    /// The process's clock.
    pub clock: ProcessClock,
    /// How requests look to instances.
    pub client_options: ClientOptions,
    /// How long a held slot waits for go.
    pub slot_hold: Duration,
    /// Histograms of durations.
    pub durations: DurationMetrics,
    /// How a service is configured.
    pub spec_of: SpecSource,
    /// What the fleet knows of a service's instances.
    pub records_of: RecordSource,
    /// Whether an instance holds its lease and takes work, at the moment of asking.
    pub accepts_work: Rc<dyn Fn(&InstanceId) -> bool>,
    /// Publishes the state of an instance beside this daemon.
    pub publish: StatePublisher,
}

pub(crate) type SharedDispatcher = Rc<RefCell<InstanceDispatcher>>;

/// The running egress; clones share it.
#[derive(Clone)]
pub struct EgressHandle {
    pub(crate) sources: EgressSources,
    pub(crate) client: BackendClient,
    dispatchers: Rc<RefCell<FastMap<InstanceId, SharedDispatcher>>>,
    /// Announced instances whose service is not configured yet.
    unknown: Rc<RefCell<FastMap<InstanceId, LocalInstance>>>,
    stopping: Rc<Cell<bool>>,
    in_flight: Rc<Cell<usize>>,
}

impl EgressHandle {
    /// Starts the egress.
    #[must_use]
    pub fn spawn(sources: EgressSources) -> Self {
        let handle = Self {
            client: BackendClient::open_with(sources.clock, sources.client_options.clone()),
            sources,
            dispatchers: Rc::default(),
            unknown: Rc::default(),
            stopping: Rc::default(),
            in_flight: Rc::default(),
        };
        actix_rt::spawn(handle.clone().keep_time());
        handle
    }

    /// Takes an announcement of an instance beside the daemon.
    pub fn apply_announcement(&self, local: &LocalInstance) {
        let Some(spec) = (self.sources.spec_of)(&local.service) else {
            log::warn!(target: part::EGRESS, instance:% = local.instance, service:% = local.service; "Instance of an unknown service.");
            self.unknown
                .borrow_mut()
                .insert(local.instance.clone(), local.clone());
            return;
        };
        self.unknown.borrow_mut().remove(&local.instance);
        if local.phase == InstancePhase::Gone {
            self.dispatchers.borrow_mut().remove(&local.instance);
        } else {
            self.update_dispatcher(local, &spec);
        }
        self.publish(local);
    }

    /// Takes no new work: offers are refused, and the fleet is told.
    pub fn stop(&self) {
        self.stopping.set(true);
        for dispatcher in self.all_dispatchers() {
            self.publish_dispatcher(&dispatcher);
        }
    }

    /// Whether a new request may enter at `dispatcher`, by the clock and not only by the last tick.
    pub(crate) fn takes_work(&self, dispatcher: &SharedDispatcher) -> bool {
        let dispatcher = dispatcher.borrow();
        let accepts = (self.sources.accepts_work)(&dispatcher.local().instance);
        accepts && dispatcher.takes_work() && !self.is_stopping()
    }

    /// Whether `stop` was called.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Serves an offer until its stream ends.
    pub async fn serve(&self, offer: RequestOffer, stream: PeerStream) {
        self.in_flight.set(self.in_flight.get() + 1);
        offer_task::run(self, offer, stream).await;
        self.in_flight.set(self.in_flight.get() - 1);
    }

    /// Requests that are waiting or running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// The state for a dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let dispatchers: Vec<_> = self
            .dispatchers
            .borrow()
            .values()
            .map(|dispatcher| dispatcher.borrow().dump())
            .collect();
        json!({ "under_way": self.in_flight.get(), "instances": dispatchers })
    }

    pub(crate) fn dispatcher(&self, instance: &InstanceId) -> Option<SharedDispatcher> {
        self.dispatchers.borrow().get(instance).map(Rc::clone)
    }

    /// Learns from a request that is over.
    pub(crate) fn observe(&self, dispatcher: &SharedDispatcher, sample: &ServiceSample) {
        let baseline = self.baseline(&dispatcher.borrow().local().service);
        let now = self.sources.clock.now();
        let change = dispatcher.borrow_mut().observe(sample, &baseline, now);
        self.tell_health(dispatcher, change, sample.outcome);
    }

    /// Tells the fleet of a change of health, and the log why.
    pub(crate) fn tell_health(
        &self,
        dispatcher: &SharedDispatcher,
        change: Option<HealthChange>,
        outcome: impl std::fmt::Debug,
    ) -> bool {
        let news = dispatcher.borrow_mut().health_news();
        let Some((before, after)) = news else {
            return false;
        };
        let load = dispatcher.borrow().load();
        log::info!(
            target: part::HEALTH,
            instance:% = dispatcher.borrow().local().instance,
            before:?,
            after:?,
            cause:? = change.map(|change| change.cause),
            outcome:?,
            in_use = load.in_use,
            queued = load.queued;
            "Health changed."
        );
        self.publish_dispatcher(dispatcher);
        true
    }

    pub(crate) fn publish_dispatcher(&self, dispatcher: &SharedDispatcher) {
        let local = dispatcher.borrow().local().clone();
        self.publish(&local);
    }

    fn update_dispatcher(&self, local: &LocalInstance, spec: &ServiceSpec) {
        let mut dispatchers = self.dispatchers.borrow_mut();
        match dispatchers.get(&local.instance) {
            Some(dispatcher) => dispatcher
                .borrow_mut()
                .apply_announcement(local.clone(), spec),
            None => {
                let dispatcher = InstanceDispatcher::open(local.clone(), spec, fastrand::u64(..));
                dispatchers.insert(local.instance.clone(), Rc::new(RefCell::new(dispatcher)));
            }
        }
    }

    fn publish(&self, local: &LocalInstance) {
        let (state, median) = match self.dispatcher(&local.instance) {
            Some(dispatcher) => {
                let mut dispatcher = dispatcher.borrow_mut();
                (
                    dispatcher.health().published(),
                    dispatcher.health().median(),
                )
            }
            None => (HealthState::Healthy, None),
        };
        (self.sources.publish)(local, state, median);
    }

    fn baseline(&self, service: &ServiceId) -> ServiceBaseline {
        ServiceBaseline::from_records(&(self.sources.records_of)(service))
    }

    fn all_dispatchers(&self) -> Vec<SharedDispatcher> {
        self.dispatchers.borrow().values().map(Rc::clone).collect()
    }

    /// Opens the dispatchers of instances whose service has been configured meanwhile.
    fn retry_unknown(&self) {
        let known: Vec<LocalInstance> = self
            .unknown
            .borrow()
            .values()
            .filter(|local| (self.sources.spec_of)(&local.service).is_some())
            .cloned()
            .collect();
        for local in known {
            self.apply_announcement(&local);
        }
    }

    async fn keep_time(self) {
        loop {
            actix_rt::time::sleep(TICK).await;
            self.retry_unknown();
            self.client.close_idle();
            for dispatcher in self.all_dispatchers() {
                self.tick(&dispatcher);
            }
        }
    }

    fn tick(&self, dispatcher: &SharedDispatcher) {
        let baseline = self.baseline(&dispatcher.borrow().local().service);
        let now = self.sources.clock.now();
        let change = dispatcher.borrow_mut().tick(&baseline, now);
        // The other egresses judge their instances against the medians that they hear.
        let has_moved = dispatcher.borrow_mut().health().median_moved();
        if !self.tell_health(dispatcher, change, "none") && has_moved {
            self.publish_dispatcher(dispatcher);
        }
        if self.takes_work(dispatcher) && dispatcher.borrow_mut().health().probe_due(now) {
            actix_rt::spawn(probe_task::run(self.clone(), Rc::clone(dispatcher)));
        }
    }
}
