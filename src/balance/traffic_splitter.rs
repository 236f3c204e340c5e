//! Weighted round robin over the services of a split route.

use crate::ids::ServiceId;
use crate::resource::WeightedService;

/// Distributes requests over services by weight, as evenly as whole requests allow.
///
/// Each request earns every service credit equal to its share of the weights, and costs the
/// service that takes it a credit of one. The service with the most credit takes the request, so
/// that any run of requests deviates from each share by about one request.
#[derive(Debug, Clone, Default)]
pub struct TrafficSplitter {
    parts: Vec<SplitPart>,
}

#[derive(Debug, Clone)]
struct SplitPart {
    service: ServiceId,
    weight: u32,
    /// Requests that the service is due; negative after it took one early.
    credit: f64,
}

impl TrafficSplitter {
    /// Returns the service of `split` that takes the next request; `None` if `split` is empty.
    ///
    /// When `split` differs from the last call, all credit restarts at random values, so that
    /// ingresses do not send to the same service in step.
    pub fn next(
        &mut self,
        split: &[WeightedService],
        rng: &mut fastrand::Rng,
    ) -> Option<ServiceId> {
        if !self.matches(split) {
            self.restart(split, rng);
        }
        let total: f64 = self.parts.iter().map(|part| f64::from(part.weight)).sum();
        for part in &mut self.parts {
            part.credit += f64::from(part.weight) / total;
        }
        let parts = self.parts.iter_mut();
        let selected = parts.max_by(|part, other| part.credit.total_cmp(&other.credit))?;
        selected.credit -= 1.0;
        Some(selected.service.clone())
    }

    fn matches(&self, split: &[WeightedService]) -> bool {
        let is_same = |(part, wanted): (&SplitPart, &WeightedService)| {
            part.service == wanted.service && part.weight == wanted.weight.get()
        };
        self.parts.len() == split.len() && self.parts.iter().zip(split).all(is_same)
    }

    fn restart(&mut self, split: &[WeightedService], rng: &mut fastrand::Rng) {
        let parts = split.iter().map(|wanted| SplitPart {
            service: wanted.service.clone(),
            weight: wanted.weight.get(),
            credit: rng.f64(),
        });
        self.parts = parts.collect();
    }
}
