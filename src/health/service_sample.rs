//! One answer of an instance.

use std::time::Duration;

use crate::health::SampleOutcome;
use crate::resource::RequestClass;

/// What the egress measured of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceSample {
    /// How it ended.
    pub outcome: SampleOutcome,
    /// Time on the instance, without queue wait.
    pub service_time: Duration,
    /// The class of the work.
    pub class: RequestClass,
}
