//! Handle of the running egress, shared by the daemon's tasks.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::sync::watch;

use crate::crashes::SuspectsHandle;
use crate::egress::evacuation_gate::EvacuationGate;
use crate::egress::{
    BackendClient, ClientOptions, ColdWatch, HealthPublication, InstanceDispatcher, offer_task,
    probe_task,
};
use crate::evacuation::ZoneGate;
use crate::hash::FastMap;
use crate::health::{HealthChange, ServiceBaseline, ServiceSample};
use crate::ids::{InstanceId, RouteId, ServiceId};
use crate::instances::LocalInstance;
use crate::logs::log_target;
use crate::metrics::DurationMetrics;
use crate::peers::PeerStream;
use crate::resource::{RequestClass, ServiceSpec};
use crate::retry::CallRates;
use crate::time::{Deadline, ProcessClock};
use crate::units::Rate;
use crate::wire::{HealthState, InstancePhase, InstanceRecord, RequestOffer};

/// Interval of the periodic update of queues, health and pooled connections.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the configuration of a service; none if the service is not configured.
pub type SpecSource = Rc<dyn Fn(&ServiceId) -> Option<ServiceSpec>>;

/// Returns the records that the fleet's daemons published for a service's instances.
pub type RecordSource = Rc<dyn Fn(&ServiceId) -> Rc<[InstanceRecord]>>;

/// Publishes an instance's health, its median service time, where that is known, and the rate at which
/// it takes requests while it is cold to the fleet.
pub type StatePublisher = Rc<dyn Fn(&LocalInstance, HealthState, Option<Duration>, Option<Rate>)>;

/// Configuration and callbacks that the egress gets from the rest of the daemon.
#[derive(Clone)]
pub struct EgressSources {
    /// Clock of this process.
    pub clock: ProcessClock,
    /// Options of the HTTP client.
    pub client_options: ClientOptions,
    /// Maximum time that a granted slot is held until the ingress confirms the request.
    pub slot_hold: Duration,
    /// Histograms of service times.
    pub durations: DurationMetrics,
    /// Looks up the configuration of a service.
    pub spec_of: SpecSource,
    /// Looks up the published records of a service's instances.
    pub records_of: RecordSource,
    /// Returns the number of live daemons.
    pub member_count: Rc<dyn Fn() -> usize>,
    /// Whether an instance's lease is valid and the instance accepts work at the time of the call.
    pub accepts_work: Rc<dyn Fn(&InstanceId) -> bool>,
    /// Drains an instance whose response says that it leaves.
    pub on_leaving: Rc<dyn Fn(&InstanceId)>,
    /// Publishes the state of a local instance.
    pub publish: StatePublisher,
    /// Whether the availability zone of the instances is in service.
    pub zone_gate: Rc<dyn Fn() -> ZoneGate>,
    /// The requests that may end instances.
    pub suspects: SuspectsHandle,
    /// The calls that the instances beside the daemon make.
    pub call_rates: Rc<RefCell<CallRates>>,
}

pub(crate) type SharedDispatcher = Rc<RefCell<InstanceDispatcher>>;

/// The running egress; clones share its state.
#[derive(Clone)]
pub struct EgressHandle {
    pub(crate) sources: EgressSources,
    pub(crate) client: BackendClient,
    dispatchers: Rc<RefCell<FastMap<InstanceId, SharedDispatcher>>>,
    /// Announced instances whose service is not configured yet.
    unconfigured: Rc<RefCell<FastMap<InstanceId, LocalInstance>>>,
    pub(super) cold_watch: Rc<RefCell<ColdWatch>>,
    stopping: Rc<watch::Sender<bool>>,
    /// When the process ends, once its shutdown has begun.
    exit_by: Rc<Cell<Option<Deadline>>>,
    in_flight: Rc<Cell<usize>>,
    pub(crate) gate: EvacuationGate,
}

impl EgressHandle {
    /// Starts the egress with its periodic task.
    #[must_use]
    pub fn spawn(sources: EgressSources) -> Self {
        let handle = Self {
            client: BackendClient::open_with(sources.clock, sources.client_options.clone()),
            gate: EvacuationGate::open(Rc::clone(&sources.zone_gate)),
            sources,
            dispatchers: Rc::default(),
            unconfigured: Rc::default(),
            cold_watch: Rc::default(),
            stopping: Rc::default(),
            exit_by: Rc::default(),
            in_flight: Rc::default(),
        };
        actix_rt::spawn(handle.clone().run_ticks());
        handle
    }

    /// Applies an announcement of a local instance: adds, updates or removes the instance, and
    /// publishes its state.
    ///
    /// An instance of a service that is not configured is kept until the service is. If the service was
    /// configured before, requests may still wait or run, and the instance's dispatcher stays for them.
    pub fn apply_announcement(&self, local: &LocalInstance) {
        let spec = (self.sources.spec_of)(&local.service);
        let was_used = self.end_replaced(local);
        let mut unconfigured = self.unconfigured.borrow_mut();
        if local.phase == InstancePhase::Gone || spec.is_some() {
            unconfigured.remove(&local.instance);
        } else {
            log::warn!(target: log_target::EGRESS, instance:% = local.instance, service:% = local.service; "Instance announced for a service that is not configured.");
            unconfigured.insert(local.instance.clone(), local.clone());
        }
        drop(unconfigured);
        let is_configured = spec.is_some();
        if local.phase != InstancePhase::Gone {
            self.update_dispatcher(local, spec.as_ref());
        }
        if is_configured || was_used {
            self.publish(local);
        }
    }

    /// Removes the dispatcher of the instance that `local` announces if the instance is gone or belongs to
    /// another service now, and refuses the requests that wait for it. Returns whether there was a
    /// dispatcher.
    fn end_replaced(&self, local: &LocalInstance) -> bool {
        let Some(dispatcher) = self.dispatcher(&local.instance) else {
            return false;
        };
        let is_same_service = dispatcher.borrow().local().service == local.service;
        if local.phase == InstancePhase::Gone || !is_same_service {
            dispatcher.borrow_mut().refuse_waiting();
            self.dispatchers.borrow_mut().remove(&local.instance);
            self.end_cold_watch(&local.instance);
        }
        true
    }

    /// Starts no request from now on that usually takes longer than until `exit_by`, when the process ends
    /// and would cut it off. All others still start until [`Self::stop`].
    pub fn begin_stop(&self, exit_by: Deadline) {
        self.exit_by.set(Some(exit_by));
    }

    /// Starts no further request from now on and publishes the instances' state. Requests that run
    /// continue; those that wait for a slot or for `Go` are refused so that they can go to other
    /// instances.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
        for dispatcher in self.all_dispatchers() {
            dispatcher.borrow_mut().refuse_waiting();
            self.publish_dispatcher(&dispatcher);
        }
    }

    /// Whether the instance may get new requests: the egress is not stopping, the instance's
    /// lease is valid now and its phase is ready.
    pub(crate) fn accepts_requests(&self, dispatcher: &SharedDispatcher) -> bool {
        let dispatcher = dispatcher.borrow();
        let accepts = (self.sources.accepts_work)(&dispatcher.local().instance);
        accepts && dispatcher.is_ready() && !self.is_stopping()
    }

    /// Whether a request of `route` and `class` that starts now can end before the process does.
    pub(crate) fn ends_in_time(
        &self,
        dispatcher: &SharedDispatcher,
        route: &RouteId,
        class: RequestClass,
    ) -> bool {
        let Some(exit_by) = self.exit_by.get() else {
            return true;
        };
        let dispatcher = dispatcher.borrow();
        let mean_time = dispatcher.queue().mean_time(route, class);
        mean_time <= exit_by.remaining(self.sources.clock.now())
    }

    /// Whether [`Self::stop`] was called.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Waits until [`Self::stop`] is called.
    pub(crate) async fn wait_stopping(&self) {
        // The sender outlives this call, so the wait ends only with the stop.
        let _ = self.stopping.subscribe().wait_for(|stops| *stops).await;
    }

    /// Serves a request offered by an ingress until its stream ends. `body_bytes` is the size of a
    /// body that follows in parts, or 0.
    pub async fn serve(&self, offer: RequestOffer, body_bytes: u64, stream: PeerStream) {
        self.in_flight.set(self.in_flight.get() + 1);
        offer_task::run(self, offer, body_bytes, stream).await;
        self.in_flight.set(self.in_flight.get() - 1);
    }

    /// Number of offered requests that are waiting or running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// State for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let instances: Vec<_> = self
            .dispatchers
            .borrow()
            .values()
            .map(|dispatcher| dispatcher.borrow().dump())
            .collect();
        json!({
            "under_way": self.in_flight.get(),
            "zone_gate": self.gate.state(),
            "evacuation_refusals": self.gate.refusals(),
            "instances": instances,
        })
    }

    pub(crate) fn dispatcher(&self, instance: &InstanceId) -> Option<SharedDispatcher> {
        self.dispatchers.borrow().get(instance).map(Rc::clone)
    }

    /// Updates an instance's health with the outcome of a request, and publishes a change.
    pub(crate) fn observe(&self, dispatcher: &SharedDispatcher, sample: &ServiceSample) {
        let baseline = self.baseline(&dispatcher.borrow().local().service);
        let now = self.sources.clock.now();
        let change = dispatcher.borrow_mut().observe(sample, &baseline, now);
        self.publish_health_change(dispatcher, change, sample.outcome);
    }

    /// Logs the instance's health state if it is not the one logged last, and publishes it once the
    /// fleet should know it. Returns whether it was published. `change` and `outcome` go to the log
    /// only.
    pub(crate) fn publish_health_change(
        &self,
        dispatcher: &SharedDispatcher,
        change: Option<HealthChange>,
        outcome: impl std::fmt::Debug,
    ) -> bool {
        let unlogged = dispatcher.borrow_mut().take_unlogged_health();
        if let Some((before, after)) = unlogged {
            let load = dispatcher.borrow().load(self.sources.clock.now());
            log::info!(
                target: log_target::HEALTH,
                instance:% = dispatcher.borrow().local().instance,
                before:?,
                after:?,
                cause:? = change.map(|change| change.cause),
                outcome:?,
                in_use = load.in_use,
                queued = load.queued;
                "Health changed."
            );
        }
        let hold = HealthPublication::hold((self.sources.member_count)());
        let now = self.sources.clock.now();
        let is_due = dispatcher.borrow_mut().advance_publication(hold, now);
        if is_due {
            self.publish_dispatcher(dispatcher);
        }
        is_due
    }

    pub(crate) fn publish_dispatcher(&self, dispatcher: &SharedDispatcher) {
        let local = dispatcher.borrow().local().clone();
        self.publish(&local);
    }

    /// Applies an announcement to the instance's dispatcher, which is created if the service is configured.
    fn update_dispatcher(&self, local: &LocalInstance, spec: Option<&ServiceSpec>) {
        let now = self.sources.clock.now();
        let mut dispatchers = self.dispatchers.borrow_mut();
        match (dispatchers.get(&local.instance), spec) {
            (Some(dispatcher), _) => {
                dispatcher
                    .borrow_mut()
                    .apply_announcement(local.clone(), spec, now)
            }
            (None, None) => {}
            (None, Some(spec)) => {
                let seed = fastrand::u64(..);
                let mut dispatcher = InstanceDispatcher::open(local.clone(), spec, seed, now);
                self.gate.prepare(&mut dispatcher, now);
                dispatchers.insert(local.instance.clone(), Rc::new(RefCell::new(dispatcher)));
            }
        }
    }

    /// Publishes the state of an instance, which counts as draining once the egress stops.
    fn publish(&self, local: &LocalInstance) {
        let now = self.sources.clock.now();
        let (state, median, cold_rate) = match self.dispatcher(&local.instance) {
            Some(dispatcher) => {
                let mut dispatcher = dispatcher.borrow_mut();
                let state = dispatcher.fleet_health();
                let median = dispatcher.health_mut().median();
                (state, median, dispatcher.cold().rate(now))
            }
            None => (HealthState::Healthy, None, None),
        };
        let mut local = local.clone();
        if self.is_stopping() && local.phase != InstancePhase::Gone {
            local.phase = InstancePhase::Draining;
        }
        (self.sources.publish)(&local, state, median, cold_rate);
    }

    fn baseline(&self, service: &ServiceId) -> ServiceBaseline {
        ServiceBaseline::from_records(&(self.sources.records_of)(service))
    }

    pub(crate) fn all_dispatchers(&self) -> Vec<SharedDispatcher> {
        self.dispatchers.borrow().values().map(Rc::clone).collect()
    }

    /// Applies the kept announcements of instances whose service has been configured since.
    fn retry_unconfigured(&self) {
        let configured: Vec<LocalInstance> = self
            .unconfigured
            .borrow()
            .values()
            .filter(|local| (self.sources.spec_of)(&local.service).is_some())
            .cloned()
            .collect();
        for local in configured {
            self.apply_announcement(&local);
        }
    }

    async fn run_ticks(self) {
        loop {
            actix_rt::time::sleep(TICK_INTERVAL).await;
            self.retry_unconfigured();
            self.client.close_idle();
            self.gate.advance(&self);
            for dispatcher in self.all_dispatchers() {
                self.tick(&dispatcher);
            }
        }
    }

    fn tick(&self, dispatcher: &SharedDispatcher) {
        let baseline = self.baseline(&dispatcher.borrow().local().service);
        let now = self.sources.clock.now();
        let change = dispatcher.borrow_mut().tick(&baseline, now);
        // Other egresses compare their instances with the published medians, so a median that
        // has moved is published even when the health has not changed.
        let has_moved = dispatcher.borrow_mut().health_mut().should_publish_median();
        let has_turned = self.log_coldness(dispatcher);
        if !self.publish_health_change(dispatcher, change, "none") && (has_moved || has_turned) {
            self.publish_dispatcher(dispatcher);
        }
        if self.accepts_requests(dispatcher) && self.gate.refusal().is_none() {
            probe_task::spawn_due(self, dispatcher, now);
        }
    }
}
