//! A simulated stream of requests.

use std::time::Duration;

use wagtailtrack::resource::RequestClass;

/// Requests of one account and class, arriving as a Poisson process.
#[derive(Debug, Clone)]
pub struct LoadStream {
    /// The client account that sends the requests.
    pub account: String,
    /// The class of its requests.
    pub class: RequestClass,
    /// Mean rate in requests per second.
    pub rate: f64,
    /// Time from the arrival of a request to its deadline.
    pub timeout: Duration,
    /// Requests that are counted: those sent after the warm-up.
    pub sent: u32,
    /// Counted requests that completed before their deadline.
    pub completed: u32,
    /// Times from the arrival of a request to its good response.
    pub latencies: Vec<Duration>,
}

impl LoadStream {
    /// Returns a stream of `rate` requests per second.
    pub fn open(account: &str, class: RequestClass, rate: f64, timeout_millis: u64) -> Self {
        Self {
            account: account.to_owned(),
            class,
            rate,
            timeout: Duration::from_millis(timeout_millis),
            sent: 0,
            completed: 0,
            latencies: Vec::new(),
        }
    }

    /// The share of the requests that completed before their deadline.
    pub fn completed_share(&self) -> f64 {
        f64::from(self.completed) / f64::from(self.sent.max(1))
    }

    /// The latency quantile at `share`, from 0 to 1.
    pub fn quantile(&self, share: f64) -> Duration {
        let mut times = self.latencies.clone();
        times.sort_unstable();
        let index = (share * times.len() as f64) as usize;
        times
            .get(index)
            .or(times.last())
            .copied()
            .unwrap_or_default()
    }
}
