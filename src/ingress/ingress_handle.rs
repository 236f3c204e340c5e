//! Handle and shared state of the running ingress.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::json;

use crate::balance::{
    InstancePicker, RouteTimes, ServiceZones, TrafficSplitter, ZoneLine, ZoneRouter,
};
use crate::baseline::{RoundRobin, StaticLimiter};
use crate::config::ConfigHandle;
use crate::crashes::SuspectsHandle;
use crate::evacuation::{AvoidedZones, RecordFilter};
use crate::hash::FastMap;
use crate::http::{
    HeaderRules, HttpHandler, HttpServer, HttpTimeouts, IdleClosing, LateConnections,
    ServerConnections,
};
use crate::ids::{BootId, RequestId, RouteId, ServiceId, ZoneId};
use crate::ingress::shutdown_signal::ShutdownSignal;
use crate::ingress::{BodyBudget, CreditLedger, RequestTotals, ShutdownLimits, request_task};
use crate::limits::LimitsHandle;
use crate::members::MembersHandle;
use crate::metrics::DurationMetrics;
use crate::peers::PeerPool;
use crate::pressure::ServicePressure;
use crate::resource::ServiceRoute;
use crate::retry::{BudgetScope, CallRates, ServiceBudgets};
use crate::settings::{BaselineSettings, ProxySettings};
use crate::time::ProcessClock;
use crate::units::Percent;

/// Settings and handles that the ingress uses.
#[derive(Clone)]
pub struct IngressSources {
    /// Monotonic clock of the process.
    pub clock: ProcessClock,
    /// Boot ID, which identifies this run of the daemon.
    pub boot: BootId,
    /// The daemon's availability zone.
    pub zone: ZoneId,
    /// The service that runs beside the daemon; none when the settings name none.
    pub service: Option<ServiceId>,
    /// Header names and forwarding rules.
    pub headers: Rc<HeaderRules>,
    /// Limits and timeouts of the request path.
    pub proxy: ProxySettings,
    /// Simple algorithms to measure against, in place of the usual ones.
    pub baseline: BaselineSettings,
    /// Connections to the egresses of all daemons.
    pub peers: PeerPool,
    /// The configuration catalog.
    pub config: ConfigHandle,
    /// The rate limits.
    pub limits: LimitsHandle,
    /// The daemons of the fleet and their instances.
    pub members: MembersHandle,
    /// Duration histograms.
    pub durations: DurationMetrics,
    /// The requests that may end instances.
    pub suspects: SuspectsHandle,
    /// The calls that the instances beside the daemon make.
    pub call_rates: Rc<RefCell<CallRates>>,
}

/// Mutable state that requests share.
pub(crate) struct IngressState {
    pub(crate) pickers: FastMap<ServiceId, InstancePicker>,
    pub(crate) budgets: ServiceBudgets,
    pub(crate) pressures: FastMap<ServiceId, ServicePressure>,
    pub(crate) round_robins: FastMap<ServiceId, RoundRobin>,
    pub(crate) static_limiter: StaticLimiter,
    pub(crate) traffic_splitters: FastMap<RouteId, TrafficSplitter>,
    pub(crate) zones: ZoneRouter,
    pub(crate) route_times: RouteTimes,
    pub(crate) credits: CreditLedger,
    pub(crate) totals: RequestTotals,
    pub(crate) avoided_zones: AvoidedZones,
    pub(crate) record_filter: RecordFilter,
    pub(crate) rng: fastrand::Rng,
    /// ID of the next request.
    next_id: RequestId,
}

/// Handle of the running ingress; clones share its state.
#[derive(Clone)]
pub struct IngressHandle {
    pub(crate) sources: Rc<IngressSources>,
    pub(crate) state: Rc<RefCell<IngressState>>,
    /// The listener; none once it is closed.
    server: Rc<RefCell<Option<HttpServer>>>,
    /// Connections whose response is not flushed, or that were told to close and are still open.
    busy_connections: Rc<RefCell<Rc<Cell<usize>>>>,
    late_connections: Rc<RefCell<LateConnections>>,
    idle_closing: Rc<RefCell<IdleClosing>>,
    /// Requests that are being served.
    in_flight: Rc<Cell<usize>>,
    pub(crate) shutdown: ShutdownSignal,
    pub(crate) body_budget: BodyBudget,
    /// Memory for the responses that are held for callers.
    pub(crate) answer_budget: BodyBudget,
}

impl IngressHandle {
    /// Binds `address` and serves callers' requests on `connections`.
    ///
    /// # Errors
    /// The I/O error if `address` cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        sources: IngressSources,
        connections: ServerConnections,
    ) -> io::Result<Self> {
        let state = IngressState {
            pickers: FastMap::default(),
            budgets: ServiceBudgets::open(sources.proxy.retry_reserve),
            pressures: FastMap::default(),
            round_robins: FastMap::default(),
            static_limiter: StaticLimiter::default(),
            traffic_splitters: FastMap::default(),
            zones: ZoneRouter::default(),
            route_times: RouteTimes::default(),
            credits: CreditLedger::default(),
            totals: RequestTotals::default(),
            avoided_zones: AvoidedZones::default(),
            record_filter: RecordFilter::default(),
            rng: fastrand::Rng::new(),
            next_id: RequestId(1),
        };
        let handle = Self {
            state: Rc::new(RefCell::new(state)),
            server: Rc::default(),
            busy_connections: Rc::default(),
            late_connections: Rc::default(),
            idle_closing: Rc::default(),
            in_flight: Rc::default(),
            shutdown: ShutdownSignal::default(),
            body_budget: BodyBudget::open(sources.proxy.body_memory),
            answer_budget: BodyBudget::open(sources.proxy.answer_memory),
            sources: Rc::new(sources),
        };
        let timeouts = HttpTimeouts {
            keep_alive: handle.sources.proxy.keep_alive.get(),
            write_progress: handle.sources.proxy.answer_progress.get(),
            ..HttpTimeouts::default()
        };
        let handler = handle.clone().handler();
        let server = HttpServer::bind_limited(address, handler, timeouts, connections).await?;
        *handle.busy_connections.borrow_mut() = server.busy_connections();
        *handle.late_connections.borrow_mut() = server.late_connections();
        *handle.idle_closing.borrow_mut() = server.idle_closing();
        *handle.server.borrow_mut() = Some(server);
        Ok(handle)
    }

    /// Starts connection draining: every further response carries `Connection: close`, and requests
    /// are refused and given up as `limits` says.
    pub fn stop(&self, limits: ShutdownLimits) {
        self.shutdown.begin(limits);
    }

    /// Accepts further connections only for the calls of requests that run beside the daemon. Other
    /// requests on them are refused.
    pub fn listen_for_calls(&self) {
        self.late_connections.borrow().begin();
    }

    /// Returns the number of connections accepted since `listen_for_calls` on which no request has
    /// arrived.
    #[must_use]
    pub fn silent_connections(&self) -> usize {
        self.late_connections.borrow().silent()
    }

    /// Closes the listener; requests on open connections are still served.
    pub fn stop_listening(&self) {
        *self.server.borrow_mut() = None;
    }

    /// Accepts no request from now on: closes the listener and the connections on which no request is
    /// being served. Responses under way are still sent.
    pub fn close(&self) {
        self.stop_listening();
        self.idle_closing.borrow().begin();
    }

    /// Returns whether `stop` was called.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.shutdown.has_begun()
    }

    /// Returns the number of requests being served plus the connections whose response has not been
    /// flushed to the socket, or that are still to close after their last response. A request whose
    /// response is being streamed counts in both.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get() + self.busy_connections.borrow().get()
    }

    /// Returns the request counters since the start.
    #[must_use]
    pub fn totals(&self) -> RequestTotals {
        self.state.borrow().totals
    }

    /// Returns the bytes of responses that are held for callers.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_budget.used()
    }

    /// Returns completed requests and credit by client account and class.
    #[must_use]
    pub fn credits(&self) -> Vec<crate::ingress::CreditLine> {
        self.state.borrow().credits.lines()
    }

    /// Returns the requests by service and the zone that served them.
    #[must_use]
    pub fn zone_lines(&self) -> Vec<ZoneLine> {
        let now = self.sources.clock.now();
        self.state.borrow().zones.lines(now)
    }

    /// Returns the state as JSON for the admin dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let state = self.state.borrow();
        let pickers: FastMap<String, serde_json::Value> = state
            .pickers
            .iter()
            .map(|(service, picker)| (service.to_string(), picker.dump()))
            .collect();
        let pressures = state.pressures.iter();
        let pressures: FastMap<String, serde_json::Value> = pressures
            .map(|(service, pressure)| (service.to_string(), pressure.dump()))
            .collect();
        json!({
            "under_way": self.in_flight.get(),
            "body_bytes": self.body_budget.used(),
            "answer_bytes": self.answer_budget.used(),
            "totals": state.totals,
            "credits": state.credits.lines(),
            "pickers": pickers,
            "pressures": pressures,
            "zones": state.zones.dump(self.sources.clock.now()),
        })
    }

    pub(crate) fn next_request_id(&self) -> RequestId {
        let mut state = self.state.borrow_mut();
        let request = state.next_id;
        state.next_id = request.next();
        request
    }

    pub(crate) fn with_picker<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut InstancePicker, &mut fastrand::Rng) -> T,
    ) -> T {
        let mut state = self.state.borrow_mut();
        let IngressState { pickers, rng, .. } = &mut *state;
        act(self.picker_of(pickers, service), rng)
    }

    pub(crate) fn with_zones<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut ServiceZones, &InstancePicker, &mut fastrand::Rng) -> T,
    ) -> T {
        let mut state = self.state.borrow_mut();
        let IngressState {
            pickers,
            zones,
            rng,
            ..
        } = &mut *state;
        let picker = self.picker_of(pickers, service);
        act(zones.service(service), picker, rng)
    }

    fn picker_of<'a>(
        &self,
        pickers: &'a mut FastMap<ServiceId, InstancePicker>,
        service: &ServiceId,
    ) -> &'a mut InstancePicker {
        let zone = &self.sources.zone;
        let cost = self.sources.proxy.zone_cost;
        pickers
            .entry(service.clone())
            .or_insert_with(|| InstancePicker::with_zone_cost(zone.clone(), cost))
    }

    pub(crate) fn with_budget<T>(
        &self,
        service: &ServiceId,
        share: Percent,
        act: impl FnOnce(&mut ServiceBudgets, &BudgetScope<'_>) -> T,
    ) -> T {
        let scope = BudgetScope {
            service,
            share,
            daemons: self.sources.members.live_count(),
        };
        act(&mut self.state.borrow_mut().budgets, &scope)
    }

    /// Returns the service that gets the next request of `route`, which may split its requests among
    /// several services.
    pub(crate) fn next_split_service(&self, route: &ServiceRoute) -> ServiceId {
        if route.rules.split.is_empty() {
            return route.service.clone();
        }
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let splitter = state.traffic_splitters.entry(route.id.clone()).or_default();
        let service = splitter.next(&route.rules.split, &mut state.rng);
        service.unwrap_or_else(|| route.service.clone())
    }

    fn handler(self) -> HttpHandler {
        Rc::new(move |request| {
            let handle = self.clone();
            Box::pin(async move {
                let guard = InFlightGuard::open(&handle.in_flight);
                request_task::handle_request(&handle, request, guard).await
            })
        })
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard(Rc<Cell<usize>>);

impl InFlightGuard {
    fn open(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
