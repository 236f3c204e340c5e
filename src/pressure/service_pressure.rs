//! Admission control for a whole service by the urgency of requests.

use std::time::Duration;

use serde::Serialize;

use crate::hash::FastMap;
use crate::ids::{InstanceId, ZoneId};
use crate::resource::Priority;
use crate::time::{Deadline, MonoTime};

/// How long what an instance reported holds.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Instances that must report that they have no room before the service counts as full. One busy
/// instance says nothing of the others.
const MIN_FULL_INSTANCES: usize = 3;
/// Interval at which a request is offered although the service counts as full, to learn anew.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of priorities.
const ALL_PRIORITIES: u16 = 256;

/// What one instance reported last.
#[derive(Debug, Clone, Copy, Serialize)]
struct PressureReport {
    /// Lowest priority number that would not get a slot in time.
    closed_from: u16,
    until: Deadline,
}

/// Refuses requests that a service has no room for, before they are offered to an instance.
///
/// A priority is refused while all recent reports agree that it would get no slot in time. More urgent
/// priorities are not affected.
#[derive(Debug, Default)]
pub struct ServicePressure {
    reports: FastMap<InstanceId, PressureReport>,
    trial_at: Option<Deadline>,
    refused: u64,
}

impl ServicePressure {
    /// Records how many priorities, from the least urgent on, an instance reported as closed.
    pub fn record(&mut self, instance: &InstanceId, closed_priorities: u16, now: MonoTime) {
        let report = PressureReport {
            closed_from: ALL_PRIORITIES.saturating_sub(closed_priorities),
            until: now.after(REPORT_LIFETIME),
        };
        self.prune(now);
        if closed_priorities > 0 || !self.reports.is_empty() {
            self.reports.insert(instance.clone(), report);
        }
    }

    /// Admits a request of `priority` to a service with the usable `instances`, each with its zone.
    ///
    /// The service counts as full only when an instance in each of their zones has reported so: other
    /// zones may have room that the own one lacks.
    ///
    /// # Errors
    /// The time until requests are offered again, if the service has no room for this priority.
    pub fn admit<'a>(
        &mut self,
        priority: Priority,
        instances: impl Iterator<Item = (&'a InstanceId, &'a ZoneId)> + Clone,
        now: MonoTime,
    ) -> Result<(), Duration> {
        self.prune(now);
        let needed = MIN_FULL_INSTANCES.min(instances.clone().count()).max(1);
        let is_closed = |report: &PressureReport| u16::from(priority.0) >= report.closed_from;
        let is_full = self.reports.len() >= needed && self.reports.values().all(is_closed) && {
            let heard =
                |(instance, _): &(&InstanceId, &ZoneId)| self.reports.contains_key(*instance);
            let heard_zones: Vec<_> = instances.clone().filter(heard).collect();
            instances.clone().all(|(_, zone)| {
                heard_zones
                    .iter()
                    .any(|(_, heard_zone)| *heard_zone == zone)
            })
        };
        if !is_full || self.takes_trial(now) {
            return Ok(());
        }
        self.refused += 1;
        let ends = self.reports.values().map(|report| report.until);
        let end = ends
            .max()
            .map_or(Duration::ZERO, |until| until.remaining(now));
        Err(end)
    }

    fn prune(&mut self, now: MonoTime) {
        self.reports
            .retain(|_, report| !report.until.has_passed(now));
    }

    /// Number of requests refused since the start.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    /// The internal state as JSON, for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let reports = self.reports.iter();
        let reports: serde_json::Map<_, _> = reports
            .map(|(instance, report)| (instance.to_string(), serde_json::json!(report)))
            .collect();
        serde_json::json!({ "refused": self.refused, "reports": reports })
    }

    fn takes_trial(&mut self, now: MonoTime) -> bool {
        let is_due = self.trial_at.is_none_or(|due| due.has_passed(now));
        if is_due {
            self.trial_at = Some(now.after(TRIAL_INTERVAL));
        }
        is_due
    }
}
