//! What the control endpoint accepts.

use serde::Deserialize;
use wagtailtrack::wire::InstancePhase;

use crate::server_fault::ServerFault;

/// Changes of an instance; what is absent stays.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlOrder {
    /// The fault from now on.
    pub fault: Option<ServerFault>,
    /// The phase that it announces from now on.
    pub phase: Option<InstancePhase>,
    /// Whether the load endpoint always tells zero.
    pub hide_load: Option<bool>,
    /// Whether the health endpoint always tells that it is sick.
    pub feign_sick: Option<bool>,
}
