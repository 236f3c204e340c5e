//! An instance beside this daemon.

use std::net::SocketAddr;

use serde::Serialize;

use crate::ids::{InstanceId, ServiceId};
use crate::units::Slots;
use crate::wire::InstancePhase;

/// An instance as its announcements and its lease leave it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LocalInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Its service.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its phase; `Draining` also when it missed its lease.
    pub phase: InstancePhase,
    /// Requests that it runs at the same time.
    pub slots: Slots,
}
