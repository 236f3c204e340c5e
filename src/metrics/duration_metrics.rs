//! Duration histograms of requests, rate limit waits, instances and platform calls.

use std::fmt;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter};

use crate::execution_verdict::ExecutionVerdict;
use crate::health::SampleOutcome;
use crate::resource::RequestClass;

/// Upper bounds of the histogram buckets in seconds, from the fastest lookup to the longest deadline.
/// Each is about twice the previous one.
const BUCKET_BOUNDS_SECS: [f64; 13] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0, 60.0,
];

/// Duration histograms, in seconds. Clones record into the same histograms.
///
/// Each label has a fixed set of values, so that the number of series does not grow with client
/// accounts or routes.
#[derive(Clone)]
pub struct DurationMetrics {
    request: Histogram<f64>,
    rate_wait: Histogram<f64>,
    instance: Histogram<f64>,
    platform: Histogram<f64>,
}

impl DurationMetrics {
    /// Creates the histograms with `meter`.
    #[must_use]
    pub fn open(meter: &Meter) -> Self {
        let histogram = |name: &'static str, about: &'static str| {
            let builder = meter.f64_histogram(name).with_unit("s");
            builder
                .with_description(about)
                .with_boundaries(BUCKET_BOUNDS_SECS.to_vec())
                .build()
        };
        Self {
            request: histogram("request_duration", "From a request's head to its answer."),
            rate_wait: histogram(
                "rate_wait",
                "Wait for a token of the client account's rate.",
            ),
            instance: histogram(
                "instance_duration",
                "Time that an instance beside this daemon took.",
            ),
            platform: histogram("platform_call_duration", "Calls to the platform."),
        }
    }

    /// Records the time from a request's head to its response.
    pub fn record_request(&self, verdict: ExecutionVerdict, span: Duration) {
        let labels = [KeyValue::new("verdict", verdict.as_str())];
        self.request.record(span.as_secs_f64(), &labels);
    }

    /// Records how long a request waited for its client account's rate limit until it was admitted or
    /// refused.
    pub fn record_rate_wait(&self, is_admitted: bool, span: Duration) {
        let labels = [KeyValue::new("admitted", is_admitted)];
        self.rate_wait.record(span.as_secs_f64(), &labels);
    }

    /// Records the time that an instance on this VM took for a request.
    pub fn record_instance(&self, class: RequestClass, outcome: SampleOutcome, span: Duration) {
        let labels = [
            KeyValue::new("class", class.to_string()),
            KeyValue::new("outcome", outcome.as_str()),
        ];
        self.instance.record(span.as_secs_f64(), &labels);
    }

    /// Records the time of a call to the platform, answered or failed.
    pub fn record_platform(&self, call: &'static str, is_answered: bool, span: Duration) {
        let labels = [
            KeyValue::new("call", call),
            KeyValue::new("answered", is_answered),
        ];
        self.platform.record(span.as_secs_f64(), &labels);
    }
}

impl fmt::Debug for DurationMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("DurationMetrics(..)")
    }
}
