//! The state of one instance.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use wagtailtrack::wire::InstancePhase;

use crate::control_order::ControlOrder;
use crate::fault_gate::FaultGate;
use crate::instance_spec::InstanceSpec;
use crate::load_report::{LaggingLoad, LoadReport};
use crate::run_ledger::RunLedger;
use crate::service_time::ServiceTime;
use crate::slot_pool::SlotPool;

const LEAVE_POLL: Duration = Duration::from_millis(20);
const LEAVE_LIMIT: Duration = Duration::from_secs(30);
/// Time between announcing the drain and the first look at the running work.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);

/// One instance, shared by its listener and its announcer.
pub struct InstanceState {
    /// What it was started with.
    pub spec: InstanceSpec,
    /// The fault in force.
    pub gate: FaultGate,
    /// The requests that it ran.
    pub ledger: RunLedger,
    /// Its slots.
    pub pool: SlotPool,
    /// Wakes the announcer.
    pub announce_now: Notify,
    phase: Cell<InstancePhase>,
    started: Instant,
    time: ServiceTime,
    rng: RefCell<fastrand::Rng>,
    load: LaggingLoad,
    hides_load: Cell<bool>,
    feigns_sick: Cell<bool>,
}

impl InstanceState {
    /// Opens an instance that starts now.
    pub fn open(spec: InstanceSpec) -> Rc<Self> {
        let phase = match spec.starting {
            Duration::ZERO => InstancePhase::Ready,
            _ => InstancePhase::Starting,
        };
        Rc::new(Self {
            gate: FaultGate::open(spec.seed),
            ledger: RunLedger::default(),
            pool: SlotPool::open(spec.slots),
            announce_now: Notify::new(),
            phase: Cell::new(phase),
            started: Instant::now(),
            time: ServiceTime::new(spec.service_time, spec.cold),
            rng: RefCell::new(fastrand::Rng::with_seed(!spec.seed)),
            load: LaggingLoad::default(),
            hides_load: Cell::default(),
            feigns_sick: Cell::default(),
            spec,
        })
    }

    /// The phase that it announces.
    pub fn phase(&self) -> InstancePhase {
        let is_cold = self.started.elapsed() < self.spec.starting;
        match self.phase.get() {
            InstancePhase::Starting if !is_cold => InstancePhase::Ready,
            phase => phase,
        }
    }

    /// Draws the service time of a request served `factor` times as slowly.
    pub fn draw_time(&self, factor: f64) -> Duration {
        let age = self.started.elapsed().saturating_sub(self.spec.starting);
        self.time.draw(age, factor, &mut self.rng.borrow_mut())
    }

    /// Whether the health endpoint tells that it is well; true in every real sickness.
    pub fn looks_healthy(&self) -> bool {
        !self.feigns_sick.get()
    }

    /// The load as the endpoint tells it.
    pub fn told_load(&self) -> LoadReport {
        if self.hides_load.get() {
            return LoadReport::default();
        }
        self.load.tell(LoadReport {
            in_use: self.pool.in_use(),
            queued: self.pool.waiting(),
        })
    }

    /// Carries out an order of the control endpoint.
    pub fn obey(&self, order: &ControlOrder) {
        if let Some(fault) = order.fault {
            self.gate.set(fault);
        }
        if let Some(phase) = order.phase {
            self.set_phase(phase);
        }
        if let Some(hides_load) = order.hide_load {
            self.hides_load.set(hides_load);
        }
        if let Some(feigns_sick) = order.feign_sick {
            self.feigns_sick.set(feigns_sick);
        }
    }

    /// Announces a drain, finishes what runs, and announces that it is gone.
    pub async fn leave(&self) {
        self.set_phase(InstancePhase::Draining);
        actix_rt::time::sleep(DRAIN_NOTICE).await;
        let begun = Instant::now();
        while self.is_busy() && begun.elapsed() < LEAVE_LIMIT {
            actix_rt::time::sleep(LEAVE_POLL).await;
        }
        self.set_phase(InstancePhase::Gone);
        actix_rt::time::sleep(LEAVE_POLL).await;
    }

    fn set_phase(&self, phase: InstancePhase) {
        self.phase.set(phase);
        self.announce_now.notify_one();
    }

    fn is_busy(&self) -> bool {
        self.pool.in_use() + self.pool.waiting() > 0
    }
}
