//! Coldness of the local instances: announcements, responses, logs and counters.

use std::time::Duration;

use crate::egress::egress_handle::SharedDispatcher;
use crate::egress::{Coldness, EgressHandle, cold_probe_task};
use crate::hash::FastMap;
use crate::ids::InstanceId;
use crate::instances::Announcement;
use crate::logs::log_target;
use crate::time::MonoTime;

/// What was logged last about the coldness of each instance, and the refusals of former instances.
#[derive(Debug, Default)]
pub(crate) struct ColdWatch {
    instances: FastMap<InstanceId, WatchedGate>,
    /// Refusals at gates of instances that are gone.
    former_refusals: u64,
}

#[derive(Debug, Clone, Copy)]
struct WatchedGate {
    logged: Coldness,
    is_limited: bool,
    refusals: u64,
}

impl EgressHandle {
    /// Takes in what an announcement that took effect says about the instance's coldness.
    pub fn observe_cold_announcement(&self, instance: &InstanceId, announcement: &Announcement) {
        let Some(dispatcher) = self.dispatcher(instance) else {
            return;
        };
        let spec = (self.sources.spec_of)(&announcement.service);
        let left = announcement.cold.map(|left| left.get());
        let now = self.sources.clock.now();
        dispatcher.borrow_mut().change_cold(now, |cold| {
            if let Some(spec) = spec {
                cold.set_rate(spec.cold_rate, now);
            }
            cold.observe_announcement(left, announcement.order, now);
        });
        self.publish_coldness(&dispatcher);
    }

    /// Takes in what the response to a request that was sent at `sent` says about the instance's
    /// coldness.
    pub(crate) fn observe_cold_response(
        &self,
        dispatcher: &SharedDispatcher,
        left: Duration,
        sent: MonoTime,
    ) {
        let now = self.sources.clock.now();
        dispatcher.borrow_mut().change_cold(now, |cold| {
            cold.observe_response(left, sent, now);
        });
        self.publish_coldness(dispatcher);
    }

    /// Asks an instance of unknown state whether it is cold, if its service names a health path.
    pub(super) fn probe_coldness(&self, dispatcher: &SharedDispatcher, now: MonoTime) {
        if dispatcher.borrow().cold().coldness(now) != Coldness::Unknown {
            return;
        }
        let spec = (self.sources.spec_of)(&dispatcher.borrow().local().service);
        let Some(path) = spec.and_then(|spec| spec.health_path) else {
            return;
        };
        if dispatcher.borrow_mut().cold.begin_probe(now) {
            let dispatcher = SharedDispatcher::clone(dispatcher);
            actix_rt::spawn(cold_probe_task::run(self.clone(), dispatcher, path));
        }
    }

    /// Offers refused because the instance was cold, since the daemon started.
    #[must_use]
    pub fn cold_refusals(&self) -> u64 {
        let watch = self.cold_watch.borrow();
        let present = watch.instances.values().map(|gate| gate.refusals);
        watch.former_refusals + present.sum::<u64>()
    }

    /// Local instances that are cold, or may be, and take fewer requests for it.
    #[must_use]
    pub fn cold_instances(&self) -> u64 {
        let now = self.sources.clock.now();
        let dispatchers = self.all_dispatchers();
        let is_limited =
            |dispatcher: &&SharedDispatcher| dispatcher.borrow().cold().rate(now).is_some();
        dispatchers.iter().filter(is_limited).count() as u64
    }

    /// Takes in that a connection to the instance could not be opened: its process has ended, and the
    /// next one may be cold.
    pub(crate) fn observe_cold_end(&self, dispatcher: &SharedDispatcher) {
        let now = self.sources.clock.now();
        dispatcher
            .borrow_mut()
            .change_cold(now, |cold| cold.observe_end(now));
        self.publish_coldness(dispatcher);
    }

    fn publish_coldness(&self, dispatcher: &SharedDispatcher) {
        let instance = dispatcher.borrow().local().instance.clone();
        // The last responses of an instance may arrive after it has gone.
        if self.dispatcher(&instance).is_some() && self.log_coldness(dispatcher) {
            self.publish_dispatcher(dispatcher);
        }
    }

    /// Logs the instance's coldness if it is not the one logged last. Returns whether the fleet must
    /// learn of it.
    pub(super) fn log_coldness(&self, dispatcher: &SharedDispatcher) -> bool {
        let now = self.sources.clock.now();
        let dispatcher = dispatcher.borrow();
        let gate = dispatcher.cold();
        let watched = WatchedGate {
            logged: gate.coldness(now),
            is_limited: gate.rate(now).is_some(),
            refusals: gate.refused(),
        };
        let instance = &dispatcher.local().instance;
        let mut watch = self.cold_watch.borrow_mut();
        let before = watch.instances.insert(instance.clone(), watched);
        let is_same_kind = |before: &WatchedGate| {
            std::mem::discriminant(&before.logged) == std::mem::discriminant(&watched.logged)
        };
        if before.as_ref().is_some_and(is_same_kind) && !has_limit_changed(before, watched) {
            return false;
        }
        if watched.is_limited || before.is_some_and(|before| before.is_limited) {
            log::info!(
                target: log_target::EGRESS,
                instance:%,
                before:? = before.map(|before| before.logged.to_string()),
                after:% = watched.logged,
                left_ms:? = watched.logged.left(now).map(|left| left.as_millis()),
                requests_per_second:? = gate.rate(now).map(|rate| rate.events_per_second()),
                refused = watched.refusals;
                "Coldness changed."
            );
        }
        has_limit_changed(before, watched)
    }

    /// Forgets the instance, which is gone, but not its refusals.
    pub(super) fn end_cold_watch(&self, instance: &InstanceId) {
        let mut watch = self.cold_watch.borrow_mut();
        if let Some(gate) = watch.instances.remove(instance) {
            watch.former_refusals += gate.refusals;
        }
    }
}

fn has_limit_changed(before: Option<WatchedGate>, watched: WatchedGate) -> bool {
    before.is_some_and(|before| before.is_limited) != watched.is_limited
}
