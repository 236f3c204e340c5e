//! The state of one simulated instance.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use wagtailtrack::units::TimeSpan;
use wagtailtrack::wire::InstancePhase;

use crate::control_request::ControlRequest;
use crate::execution_log::ExecutionLog;
use crate::fault_injector::FaultInjector;
use crate::instance_spec::InstanceSpec;
use crate::load_report::{CachedLoad, LoadReport};
use crate::service_time::ServiceTime;
use crate::slot_pool::SlotPool;

const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Requests that still run after this long are abandoned.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// Wait between announcing the drain and first checking for running requests.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);

/// State shared by the listener and the announcer of an instance.
pub struct InstanceState {
    /// Start parameters.
    pub spec: InstanceSpec,
    /// Applies the injected fault.
    pub injector: FaultInjector,
    /// Every request that started to run.
    pub log: ExecutionLog,
    /// Concurrency limit and queue of requests.
    pub pool: SlotPool,
    /// Makes the announcer send an announcement at once.
    pub announce_now: Notify,
    phase: Cell<InstancePhase>,
    started: Instant,
    time: ServiceTime,
    rng: RefCell<fastrand::Rng>,
    load: CachedLoad,
    hides_load: Cell<bool>,
    reports_unhealthy: Cell<bool>,
    limit: Cell<f64>,
    is_leaving: Cell<bool>,
    cold_until: Cell<Instant>,
}

impl InstanceState {
    /// Creates an instance that starts now; without a starting phase it is ready at once.
    pub fn open(spec: InstanceSpec) -> Rc<Self> {
        let phase = match spec.starting {
            Duration::ZERO => InstancePhase::Ready,
            _ => InstancePhase::Starting,
        };
        Rc::new(Self {
            injector: FaultInjector::open(spec.seed),
            log: ExecutionLog::default(),
            pool: SlotPool::open(spec.slots),
            announce_now: Notify::new(),
            phase: Cell::new(phase),
            started: Instant::now(),
            time: ServiceTime::new(spec.service_time, spec.warm_up),
            rng: RefCell::new(fastrand::Rng::with_seed(!spec.seed)),
            load: CachedLoad::default(),
            hides_load: Cell::default(),
            reports_unhealthy: Cell::default(),
            limit: Cell::default(),
            is_leaving: Cell::default(),
            cold_until: Cell::new(Instant::now() + spec.starting + spec.warm_up),
            spec,
        })
    }

    /// The phase to announce.
    pub fn phase(&self) -> InstancePhase {
        let is_starting = self.started.elapsed() < self.spec.starting;
        match self.phase.get() {
            InstancePhase::Starting if !is_starting => InstancePhase::Ready,
            phase => phase,
        }
    }

    /// Samples the service time of a request that takes `slowdown` times as long as usual.
    pub fn sample_service_time(&self, slowdown: f64) -> Duration {
        let age = self.started.elapsed().saturating_sub(self.spec.starting);
        self.time.sample(age, slowdown, &mut self.rng.borrow_mut())
    }

    /// Whether `/health` reports the instance as healthy; no injected fault changes it.
    pub fn reports_healthy(&self) -> bool {
        !self.reports_unhealthy.get()
    }

    /// The requests per second that responses name as the most to be sent; none while there is no limit.
    pub fn named_limit(&self) -> Option<f64> {
        Some(self.limit.get()).filter(|limit| *limit > 0.0)
    }

    /// Whether responses say that the instance leaves.
    pub fn says_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// How long the instance reports to be cold.
    pub fn cold_left(&self) -> TimeSpan {
        let left = self
            .cold_until
            .get()
            .saturating_duration_since(Instant::now());
        TimeSpan::from_millis(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
    }

    /// The load to report at `/load`, up to two seconds old; zero while it is hidden.
    pub fn reported_load(&self) -> LoadReport {
        if self.hides_load.get() {
            return LoadReport::default();
        }
        self.load.report(LoadReport {
            in_use: self.pool.in_use(),
            queued: self.pool.waiting(),
        })
    }

    /// Applies the changes of a control request.
    pub fn apply(&self, request: &ControlRequest) {
        if let Some(fault) = request.fault {
            self.injector.inject(fault);
        }
        if let Some(phase) = request.phase {
            self.set_phase(phase);
        }
        if let Some(hides_load) = request.hide_load {
            self.hides_load.set(hides_load);
        }
        if let Some(reports_unhealthy) = request.report_unhealthy {
            self.reports_unhealthy.set(reports_unhealthy);
        }
        if let Some(limit) = request.limit {
            self.limit.set(limit);
        }
        if let Some(cold) = request.cold {
            self.cold_until.set(Instant::now() + cold.get());
            self.announce_now.notify_one();
        }
        if let Some(is_leaving) = request.leaving {
            self.is_leaving.set(is_leaving);
        }
    }

    /// Announces a drain, waits up to 30 s for running and queued requests, then announces that the
    /// instance is gone.
    pub async fn drain(&self) {
        self.set_phase(InstancePhase::Draining);
        actix_rt::time::sleep(DRAIN_NOTICE).await;
        let drain_start = Instant::now();
        while self.is_busy() && drain_start.elapsed() < DRAIN_LIMIT {
            actix_rt::time::sleep(DRAIN_POLL).await;
        }
        self.set_phase(InstancePhase::Gone);
        actix_rt::time::sleep(DRAIN_POLL).await;
    }

    fn set_phase(&self, phase: InstancePhase) {
        self.phase.set(phase);
        self.announce_now.notify_one();
    }

    fn is_busy(&self) -> bool {
        self.pool.in_use() + self.pool.waiting() > 0
    }
}
