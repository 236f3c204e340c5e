//! Health checks and published records of the simulation.

use std::time::Duration;

use wagtailtrack::health::{HealthCause, SampleOutcome, ServiceBaseline, ServiceSample};
use wagtailtrack::queue::RequestKey;
use wagtailtrack::resource::RequestClass;
use wagtailtrack::wire::HealthState;

use super::instance_fault::healthy_time;
use super::service_model::{Event, TICK};
use super::{Ejection, InstanceFault, ServiceModel};

/// Failures in a row after which the baseline ejects an instance.
const BASELINE_FAILURES: u32 = 5;
/// Time for which the baseline ejects an instance.
const BASELINE_WAIT: Duration = Duration::from_secs(10);

impl ServiceModel {
    pub(super) fn observe(
        &mut self,
        instance: usize,
        key: RequestKey,
        outcome: SampleOutcome,
        service_time: Duration,
    ) {
        let class = self.streams[self.requests[&key].stream].class;
        let sample = ServiceSample {
            outcome,
            service_time,
            class,
        };
        let model = &mut self.instances[instance];
        if !self.policy.detects_outliers {
            let is_bad = !matches!(outcome, SampleOutcome::Good | SampleOutcome::Shed);
            model.consecutive_failures = if is_bad {
                model.consecutive_failures + 1
            } else {
                0
            };
            if model.consecutive_failures >= BASELINE_FAILURES
                && model.baseline_ejection.has_passed(self.now)
            {
                model.baseline_ejection = self.now.after(BASELINE_WAIT);
                self.record_ejection(instance, HealthCause::Failing);
            }
            return;
        }
        let baseline = ServiceBaseline::from_records(self.views.front().unwrap());
        let change = model.health.observe(&sample, &baseline, self.now);
        if let Some(change) = change.filter(|change| change.to == HealthState::Ejected) {
            self.record_ejection(instance, change.cause);
        }
    }

    fn record_ejection(&mut self, instance: usize, cause: HealthCause) {
        let at = self.now;
        self.ejections.push(Ejection {
            instance,
            at,
            cause,
        });
    }

    pub(super) fn probed(&mut self, instance: usize) {
        let now = self.now;
        let nominal = healthy_time(RequestClass::Lookup, &mut self.rng);
        let model = &mut self.instances[instance];
        // A faulty instance still responds to probes, unless it is frozen: the health endpoint
        // does not show gray failures.
        if model.fault.map(|plan| plan.fault) != Some(InstanceFault::Frozen) {
            model.health.on_probe(SampleOutcome::Good, nominal, now);
        }
    }

    pub(super) fn tick(&mut self) {
        let baseline = ServiceBaseline::from_records(self.views.front().unwrap());
        for instance in 0..self.instances.len() {
            let model = &mut self.instances[instance];
            let actions = model.queue.tick(self.now);
            let oldest = model.queue.oldest_running_age(self.now);
            if self.policy.detects_outliers {
                let change = model.health.tick(&baseline, self.now, oldest);
                if model.health.begin_probe(self.now) {
                    self.schedule(Duration::from_millis(25), Event::Probed(instance));
                }
                if let Some(change) = change.filter(|change| change.to == HealthState::Ejected) {
                    self.record_ejection(instance, change.cause);
                }
            }
            self.apply_actions(instance, actions);
            self.publish(instance);
        }
        self.views.push_back(self.records.clone());
        if self.views.len() > self.gossip_ticks {
            self.views.pop_front();
        }
        self.schedule(TICK, Event::Tick);
    }

    fn publish(&mut self, instance: usize) {
        let model = &mut self.instances[instance];
        let record = &mut self.records[instance];
        if model.health.should_publish_median() {
            let median = model.health.median().unwrap_or_default();
            record.median_micros = u32::try_from(median.as_micros()).unwrap();
            self.publications += 1;
        }
        record.health = match self.policy.detects_outliers {
            true => model.health.state(),
            false if model.baseline_ejection.has_passed(self.now) => HealthState::Healthy,
            false => HealthState::Ejected,
        };
    }
}
