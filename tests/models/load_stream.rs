//! A stream of requests of the model.

use std::time::Duration;

use wagtailtrack::resource::RequestClass;

/// Requests of one account and class at random times.
#[derive(Debug, Clone)]
pub struct LoadStream {
    /// The account that sends.
    pub account: String,
    /// The class of its requests.
    pub class: RequestClass,
    /// Mean requests a second.
    pub rate: f64,
    /// Time that each request has.
    pub patience: Duration,
    /// What the stream has asked for and got within its deadline, after the warm-up.
    pub asked: u32,
    pub completed: u32,
    /// Times from the first offer to the answer.
    pub latencies: Vec<Duration>,
}

impl LoadStream {
    /// A stream of `rate` requests a second.
    pub fn open(account: &str, class: RequestClass, rate: f64, patience_millis: u64) -> Self {
        Self {
            account: account.to_owned(),
            class,
            rate,
            patience: Duration::from_millis(patience_millis),
            asked: 0,
            completed: 0,
            latencies: Vec::new(),
        }
    }

    /// Requests completed within their deadline for each one asked.
    pub fn completed_share(&self) -> f64 {
        f64::from(self.completed) / f64::from(self.asked.max(1))
    }

    /// The time within which `share` of the answers came.
    pub fn quantile(&self, share: f64) -> Duration {
        let mut times = self.latencies.clone();
        times.sort_unstable();
        let place = (share * times.len() as f64) as usize;
        times
            .get(place)
            .or(times.last())
            .copied()
            .unwrap_or_default()
    }
}
