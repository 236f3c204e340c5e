//! Which part of a split route takes the next request.

use crate::ids::ServiceId;
use crate::resource::WeightedService;

/// Deals requests to the parts by weight, as evenly as their number allows.
///
/// Each request gives every part its share of one; the part that has waited longest for its
/// next whole one takes the request. Any run of requests stays within one of each share.
#[derive(Debug, Clone, Default)]
pub struct TrafficSplitter {
    parts: Vec<SplitPart>,
}

#[derive(Debug, Clone)]
struct SplitPart {
    service: ServiceId,
    weight: u32,
    credit: f64,
}

impl TrafficSplitter {
    /// The part of `split` that takes the next request; none when there are no parts.
    ///
    /// A change of the parts begins anew, at a random point so that ingresses do not deal in step.
    pub fn next(
        &mut self,
        split: &[WeightedService],
        rng: &mut fastrand::Rng,
    ) -> Option<ServiceId> {
        if !self.matches(split) {
            self.begin(split, rng);
        }
        let total: f64 = self.parts.iter().map(|part| f64::from(part.weight)).sum();
        for part in &mut self.parts {
            part.credit += f64::from(part.weight) / total;
        }
        let parts = self.parts.iter_mut();
        let chosen = parts.max_by(|part, other| part.credit.total_cmp(&other.credit))?;
        chosen.credit -= 1.0;
        Some(chosen.service.clone())
    }

    fn matches(&self, split: &[WeightedService]) -> bool {
        let is_same = |(part, wanted): (&SplitPart, &WeightedService)| {
            part.service == wanted.service && part.weight == wanted.weight.get()
        };
        self.parts.len() == split.len() && self.parts.iter().zip(split).all(is_same)
    }

    fn begin(&mut self, split: &[WeightedService], rng: &mut fastrand::Rng) {
        let parts = split.iter().map(|wanted| SplitPart {
            service: wanted.service.clone(),
            weight: wanted.weight.get(),
            credit: rng.f64(),
        });
        self.parts = parts.collect();
    }
}
