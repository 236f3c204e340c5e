//! An instance on the same VM as this daemon.

use std::net::SocketAddr;

use serde::Serialize;

use crate::ids::{InstanceId, ServiceId};
use crate::units::Slots;
use crate::wire::InstancePhase;

/// An instance on this VM, as of its last announcement and the state of its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LocalInstance {
    /// Name of the instance.
    pub instance: InstanceId,
    /// The service that the instance belongs to.
    pub service: ServiceId,
    /// Address at which the instance accepts requests.
    pub address: SocketAddr,
    /// Lifecycle phase. `Draining`, and later `Gone`, also if the lease expired.
    pub phase: InstancePhase,
    /// Maximum number of requests that the instance processes concurrently.
    pub slots: Slots,
}
