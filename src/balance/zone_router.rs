//! Zone-local routing of an ingress: the zones of each service, and when to sample other zones.

use std::time::Duration;

use crate::balance::{ServiceZones, ZoneLine};
use crate::hash::FastMap;
use crate::ids::ServiceId;
use crate::time::{Deadline, MonoTime};

/// Mean time between requests that are sent to another zone to learn of its instances.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(30);

/// The state of zone-local routing.
#[derive(Debug, Default)]
pub struct ZoneRouter {
    services: FastMap<ServiceId, ServiceZones>,
    /// When the next sample is due; none before the first request.
    sample_at: Option<Deadline>,
}

impl ZoneRouter {
    /// Returns the zones of `service`.
    pub fn service(&mut self, service: &ServiceId) -> &mut ServiceZones {
        self.services.entry(service.clone()).or_default()
    }

    /// Whether a request that may be a sample is to be one. Samples come at random times, so that
    /// those of all ingresses are spread evenly.
    pub fn take_sample(&mut self, now: MonoTime, rng: &mut fastrand::Rng) -> bool {
        let is_due = self
            .sample_at
            .is_some_and(|deadline| deadline.has_passed(now));
        if is_due || self.sample_at.is_none() {
            let factor = match is_due {
                true => 0.5 + rng.f64(),
                false => rng.f64(),
            };
            self.sample_at = Some(now.after(SAMPLE_INTERVAL.mul_f64(factor)));
        }
        is_due
    }

    /// Returns the counts and overflow shares, ordered by service.
    #[must_use]
    pub fn lines(&self, now: MonoTime) -> Vec<ZoneLine> {
        let mut lines: Vec<_> = self
            .services
            .iter()
            .map(|(service, zones)| ZoneLine {
                service: service.clone(),
                counts: zones.counts,
                share_permille: permille(zones.share(now)),
            })
            .collect();
        lines.sort_by(|line, other| line.service.cmp(&other.service));
        lines
    }

    /// The internal state as JSON, for the diagnostic dump.
    #[must_use]
    pub fn dump(&self, now: MonoTime) -> serde_json::Value {
        self.services
            .iter()
            .map(|(service, zones)| (service.to_string(), zones.dump(now)))
            .collect::<serde_json::Map<_, _>>()
            .into()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share is from 0 to 1"
)]
fn permille(share: f64) -> u64 {
    (share * 1_000.0).round() as u64
}
