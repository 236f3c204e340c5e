//! The measurement of one request at an instance.

use std::time::Duration;

use crate::health::SampleOutcome;
use crate::resource::RequestClass;

/// Outcome and duration of one request, as the egress measured them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceSample {
    /// How the request ended.
    pub outcome: SampleOutcome,
    /// Time from sending the request to its end, without queue wait and without waits for a slow
    /// reader of the response.
    pub service_time: Duration,
    /// The class of the request.
    pub class: RequestClass,
}
