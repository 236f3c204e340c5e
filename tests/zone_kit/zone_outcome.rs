//! How offers and requests end in the simulation.

use std::time::Duration;

use wagtailtrack::execution_verdict::ExecutionVerdict;
use wagtailtrack::ingress::AttemptFailure;
use wagtailtrack::queue::RequestKey;
use wagtailtrack::wire::RefusalReason;

use super::ZoneService;
use super::zone_request::{CROSSING_DELAY, HOME_DELAY, ZoneRequest};

impl ZoneService {
    pub(super) fn refused(
        &mut self,
        key: RequestKey,
        reason: Option<RefusalReason>,
        wait: Duration,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let ingress = &mut self.ingresses[request.ingress];
        let record = &self.records[request.instance];
        let is_home = self.instances[request.instance].home == ingress.home;
        let failure = AttemptFailure {
            verdict: ExecutionVerdict::NotRun,
            reason,
            cause: None,
            retry_after: wait,
        };
        request.history.record_failure(&record.instance, failure);
        match reason {
            Some(RefusalReason::Busy) => request.choice.on_busy(&record.instance, is_home, wait),
            _ => request.choice.on_failure(&record.instance, is_home),
        }
        if reason.is_none() {
            ingress.picker.on_unreachable(&record.instance, now);
            ingress.zones.on_other_unreachable(&record.zone, now);
        } else {
            let load = self.instances[request.instance].queue.load();
            ingress.picker.on_response(&record.instance, load, now);
            if !is_home {
                ingress.zones.on_other(&record.zone, true, now);
            }
        }
        self.offer(key);
    }

    pub(super) fn done(&mut self, instance: usize, key: RequestKey) {
        let now = self.now;
        let service_time = self.service_time;
        let actions = self.instances[instance]
            .queue
            .finish(key, service_time, now);
        self.apply(instance, actions);
        let Some(request) = self.requests.remove(&key) else {
            return;
        };
        let delay = self.delay(&request);
        let ingress = &mut self.ingresses[request.ingress];
        let record = &self.records[instance];
        let load = self.instances[instance].queue.load();
        ingress.picker.on_response(&record.instance, load, now);
        let is_home = self.instances[instance].home == ingress.home;
        if is_home && request.is_brief_offer && !request.has_told {
            ingress.zones.on_home_free(now, &mut self.rng);
        }
        let result = &mut self.results[ingress.home];
        match is_home {
            true => {
                result.kept += 1;
                Self::count(&mut result.kept_by_slice, now);
            }
            false => {
                result.crossed += 1;
                if request.is_brief_offer {
                    ingress.zones.on_other(&record.zone, false, now);
                }
            }
        }
        let took = now.since(request.sent) + delay;
        result.late += usize::from(took > self.goal);
    }

    /// The queue drops a request that cannot meet its deadline.
    pub(super) fn give_up(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.remove(&key) {
            self.results[self.ingresses[request.ingress].home].refused += 1;
        }
    }

    pub(super) fn delay(&self, request: &ZoneRequest) -> Duration {
        let is_home = self.instances[request.instance].home == self.ingresses[request.ingress].home;
        if is_home { HOME_DELAY } else { CROSSING_DELAY }
    }
}
