//! JSON body of `POST /control`.

use serde::Deserialize;
use wagtailtrack::units::TimeSpan;
use wagtailtrack::wire::InstancePhase;

use crate::server_fault::ServerFault;

/// Changes to the behavior of an instance; an absent field leaves its setting unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlRequest {
    /// Fault to inject from now on.
    pub fault: Option<ServerFault>,
    /// Phase to announce to the daemon from now on.
    pub phase: Option<InstancePhase>,
    /// Whether `/load` always reports zero.
    pub hide_load: Option<bool>,
    /// Whether `/health` reports the instance as unhealthy, whatever its fault.
    #[serde(rename = "feign_sick")]
    pub report_unhealthy: Option<bool>,
    /// Requests per second that every response names as the most to be sent; 0 ends it.
    pub limit: Option<f64>,
    /// How long the instance reports to be cold, from now on.
    pub cold: Option<TimeSpan>,
    /// Whether every response says that the instance leaves.
    pub leaving: Option<bool>,
}
