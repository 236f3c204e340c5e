//! The running ingress.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::json;

use crate::balance::{InstancePicker, TrafficSplitter};
use crate::baseline::{RoundRobin, StaticLimiter};
use crate::config::ConfigHandle;
use crate::hash::FastMap;
use crate::http::{HeaderRules, HttpHandler, HttpServer, HttpTimeouts};
use crate::ids::{BootId, RequestId, RouteId, ServiceId, ZoneId};
use crate::ingress::{CreditLedger, RequestTotals, request_task};
use crate::limits::LimitsHandle;
use crate::members::MembersHandle;
use crate::metrics::DurationMetrics;
use crate::peers::PeerPool;
use crate::resource::ServiceRoute;
use crate::retry::RetryBudget;
use crate::settings::{BaselineSettings, ProxySettings};
use crate::time::ProcessClock;
use crate::units::Percent;

/// What the ingress works with.
#[derive(Clone)]
pub struct IngressSources {
    /// The process's clock.
    pub clock: ProcessClock,
    /// The daemon's boot.
    pub boot: BootId,
    /// The daemon's availability zone.
    pub zone: ZoneId,
    /// The service that runs beside the daemon, where the settings name one.
    pub service: Option<ServiceId>,
    /// Names of headers.
    pub headers: Rc<HeaderRules>,
    /// Bounds of the request path.
    pub proxy: ProxySettings,
    /// Plain decisions, if any.
    pub baseline: BaselineSettings,
    /// Connections to the egresses.
    pub peers: PeerPool,
    /// The configuration.
    pub config: ConfigHandle,
    /// The rate limits.
    pub limits: LimitsHandle,
    /// The members and their instances.
    pub members: MembersHandle,
    /// Histograms of durations.
    pub durations: DurationMetrics,
}

/// What the ingress keeps between requests.
pub(crate) struct IngressState {
    pub(crate) pickers: FastMap<ServiceId, InstancePicker>,
    pub(crate) budgets: FastMap<ServiceId, RetryBudget>,
    pub(crate) round_robins: FastMap<ServiceId, RoundRobin>,
    pub(crate) static_limiter: StaticLimiter,
    pub(crate) traffic_splitters: FastMap<RouteId, TrafficSplitter>,
    pub(crate) credits: CreditLedger,
    pub(crate) totals: RequestTotals,
    pub(crate) rng: fastrand::Rng,
    next: RequestId,
}

/// The running ingress; clones share it.
#[derive(Clone)]
pub struct IngressHandle {
    pub(crate) sources: Rc<IngressSources>,
    pub(crate) state: Rc<RefCell<IngressState>>,
    server: Rc<RefCell<Option<HttpServer>>>,
    closing: Rc<RefCell<Rc<Cell<usize>>>>,
    in_flight: Rc<Cell<usize>>,
    stopping: Rc<Cell<bool>>,
}

impl IngressHandle {
    /// Binds `address` and serves callers.
    ///
    /// # Errors
    /// Any I/O error of binding.
    pub async fn bind(address: SocketAddr, sources: IngressSources) -> io::Result<Self> {
        let state = IngressState {
            pickers: FastMap::default(),
            budgets: FastMap::default(),
            round_robins: FastMap::default(),
            static_limiter: StaticLimiter::default(),
            traffic_splitters: FastMap::default(),
            credits: CreditLedger::default(),
            totals: RequestTotals::default(),
            rng: fastrand::Rng::new(),
            next: RequestId(1),
        };
        let handle = Self {
            sources: Rc::new(sources),
            state: Rc::new(RefCell::new(state)),
            server: Rc::default(),
            closing: Rc::default(),
            in_flight: Rc::default(),
            stopping: Rc::default(),
        };
        let timeouts = HttpTimeouts {
            keep_alive: handle.sources.proxy.keep_alive.get(),
            ..HttpTimeouts::default()
        };
        let handler = handle.clone().handler();
        let server = HttpServer::bind_with(address, handler, timeouts).await?;
        *handle.closing.borrow_mut() = server.closing_connections();
        *handle.server.borrow_mut() = Some(server);
        Ok(handle)
    }

    /// Tells each caller to close its connection with its next answer.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Stops listening; requests on open connections are still served.
    pub fn stop_listening(&self) {
        *self.server.borrow_mut() = None;
    }

    /// Whether `stop` was called.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Requests that are being served, and connections whose last answer has not left yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get() + self.closing.borrow().get()
    }

    /// The counts so far.
    #[must_use]
    pub fn totals(&self) -> RequestTotals {
        self.state.borrow().totals
    }

    /// Completed requests by client account and class.
    #[must_use]
    pub fn credits(&self) -> Vec<crate::ingress::CreditLine> {
        self.state.borrow().credits.lines()
    }

    /// The state for a dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let state = self.state.borrow();
        let pickers: FastMap<String, serde_json::Value> = state
            .pickers
            .iter()
            .map(|(service, picker)| (service.to_string(), picker.dump()))
            .collect();
        json!({
            "under_way": self.in_flight.get(),
            "totals": state.totals,
            "credits": state.credits.lines(),
            "pickers": pickers,
        })
    }

    pub(crate) fn next_request_id(&self) -> RequestId {
        let mut state = self.state.borrow_mut();
        let request = state.next;
        state.next = request.next();
        request
    }

    pub(crate) fn with_picker<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut InstancePicker, &mut fastrand::Rng) -> T,
    ) -> T {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let zone = &self.sources.zone;
        let cost = self.sources.proxy.zone_cost;
        let picker = state
            .pickers
            .entry(service.clone())
            .or_insert_with(|| InstancePicker::with_zone_cost(zone.clone(), cost));
        act(picker, &mut state.rng)
    }

    pub(crate) fn with_budget<T>(
        &self,
        service: &ServiceId,
        share: Percent,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut state = self.state.borrow_mut();
        let budget = state
            .budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::open(share));
        if let Some(reserve) = self.sources.proxy.retry_reserve {
            let daemons = self.sources.members.live_count();
            budget.set_fleet_reserve(share, reserve, daemons);
        }
        act(budget)
    }

    /// The part of a split route that takes the next request.
    pub(crate) fn next_split_service(&self, route: &ServiceRoute) -> ServiceId {
        if route.rules.split.is_empty() {
            return route.service.clone();
        }
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let splitter = state.traffic_splitters.entry(route.id.clone()).or_default();
        let part = splitter.next(&route.rules.split, &mut state.rng);
        part.unwrap_or_else(|| route.service.clone())
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

/// Counts a request as under way until its answer has left.
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
