//! What the fleet knows of one instance.

use std::fmt;
use std::net::SocketAddr;

use bincode::{Decode, Encode};
use serde::Serialize;

use crate::ids::{DaemonId, Incarnation, InstanceId, RegionId, ServiceId, ZoneId};
use crate::units::{Percent, Slots};

/// The phase that an instance announces of itself.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode, Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum InstancePhase {
    /// It starts cold and takes no work yet.
    Starting,
    /// It takes work.
    Ready,
    /// It finishes its work and takes no new.
    Draining,
    /// It has left.
    Gone,
}

/// What its egress thinks of its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthState {
    /// It takes its full part.
    Healthy,
    /// It has just failed: it takes requests that may be repeated.
    Suspect,
    /// It takes no work but probes.
    Ejected,
    /// It comes back with this part of its work.
    Ramping(Percent),
}

/// An instance as its egress publishes it; a higher incarnation replaces a lower one.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize)]
pub struct InstanceRecord {
    /// The instance.
    pub instance: InstanceId,
    /// Its service.
    pub service: ServiceId,
    /// The daemon beside it, its only egress.
    pub daemon: DaemonId,
    /// The peer address of that daemon.
    pub egress: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Orders the records of this instance.
    pub incarnation: Incarnation,
    /// Its announced phase.
    pub phase: InstancePhase,
    /// Its health.
    pub health: HealthState,
    /// Requests that it runs at the same time.
    pub slots: Slots,
    /// Its median service time without queue wait, in microseconds; 0 while unknown.
    pub median_micros: u32,
}

impl HealthState {
    /// Whether an instance in this state takes a request without being forced.
    #[must_use]
    pub const fn accepts(self, idempotent: bool) -> bool {
        match self {
            Self::Healthy => true,
            Self::Suspect | Self::Ramping(_) => idempotent,
            Self::Ejected => false,
        }
    }
}

impl InstanceRecord {
    /// Whether ingresses must hear of the record at once: work goes where it should not.
    #[must_use]
    pub const fn is_urgent(&self) -> bool {
        self.is_leaving() || matches!(self.health, HealthState::Suspect | HealthState::Ejected)
    }

    /// Whether the instance takes no new work any more.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        matches!(self.phase, InstancePhase::Draining | InstancePhase::Gone)
    }
}

impl fmt::Display for InstanceRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} of {} at {}",
            self.instance, self.service, self.egress
        )
    }
}
