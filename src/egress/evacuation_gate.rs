//! The last gate before the instances of an evacuated availability zone.

use std::cell::Cell;
use std::rc::Rc;

use crate::egress::{EgressHandle, InstanceDispatcher};
use crate::evacuation::ZoneGate;
use crate::logs::log_target;
use crate::time::MonoTime;
use crate::wire::RefusalReason;

/// Refuses requests while the zone of the egress is evacuated; clones share the state.
#[derive(Clone)]
pub(crate) struct EvacuationGate {
    source: Rc<dyn Fn() -> ZoneGate>,
    /// The state of the zone that the dispatchers know.
    applied: Rc<Cell<ZoneGate>>,
    refusals: Rc<Cell<u64>>,
}

impl EvacuationGate {
    /// Creates a gate whose state is what `source` returns.
    pub(crate) fn open(source: Rc<dyn Fn() -> ZoneGate>) -> Self {
        Self {
            source,
            applied: Rc::default(),
            refusals: Rc::default(),
        }
    }

    /// The present state.
    pub(crate) fn state(&self) -> ZoneGate {
        (self.source)()
    }

    /// Tells a new dispatcher if the zone is evacuated.
    pub(crate) fn prepare(&self, dispatcher: &mut InstanceDispatcher, now: MonoTime) {
        if self.applied.get() == ZoneGate::Evacuated {
            dispatcher.zone_evacuated(now);
        }
    }

    /// Why no request may be sent now; none while the zone is in service.
    pub(crate) fn refusal(&self) -> Option<RefusalReason> {
        match self.state() {
            // The instances count as cold from the end of the evacuation on, which the dispatchers hear of
            // at the next tick.
            ZoneGate::Open if self.applied.get() == ZoneGate::Evacuated => {
                Some(RefusalReason::NotReady)
            }
            ZoneGate::Open => None,
            ZoneGate::Unknown => Some(RefusalReason::NotReady),
            ZoneGate::Evacuated => Some(RefusalReason::Evacuated),
        }
    }

    /// Counts a refusal if an evacuation is its reason.
    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        if reason == RefusalReason::Evacuated {
            self.refusals.set(self.refusals.get() + 1);
        }
    }

    /// Offers and waiting requests that were refused because of an evacuation.
    pub(crate) fn refusals(&self) -> u64 {
        self.refusals.get()
    }

    /// Tells the dispatchers of `egress` when the zone was evacuated or put back since the last call.
    pub(crate) fn advance(&self, egress: &EgressHandle) {
        let after = self.state();
        let before = self.applied.replace(after);
        if after == before {
            return;
        }
        let dispatchers = egress.all_dispatchers();
        let (running, waiting) = dispatchers.iter().fold((0, 0), |sum, dispatcher| {
            let load = dispatcher.borrow().load(egress.sources.clock.now());
            (sum.0 + load.in_use, sum.1 + load.queued)
        });
        log::info!(target: log_target::EGRESS, before:?, after:?, instances = dispatchers.len(), running, waiting; "Gate of the availability zone changed.");
        let now = egress.sources.clock.now();
        for dispatcher in &dispatchers {
            let change = match (before, after) {
                (_, ZoneGate::Evacuated) => dispatcher.borrow_mut().zone_evacuated(now),
                (ZoneGate::Evacuated, _) => dispatcher.borrow_mut().zone_returned(now),
                _ => None,
            };
            egress.publish_health_change(dispatcher, change, "none");
        }
    }
}

impl EgressHandle {
    /// Number of offers and waiting requests refused because of an evacuation.
    #[must_use]
    pub fn evacuation_refusals(&self) -> u64 {
        self.gate.refusals()
    }
}
