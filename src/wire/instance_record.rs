//! State of one instance as gossip spreads it through the fleet.

use std::fmt;
use std::net::SocketAddr;

use bincode::{Decode, Encode};
use serde::Serialize;

use crate::ids::{DaemonId, Incarnation, InstanceId, InstanceRun, RegionId, ServiceId, ZoneId};
use crate::units::{Percent, Rate, Slots};

/// Lifecycle phase that an instance announces.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode, Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum InstancePhase {
    /// It is starting and accepts no requests yet.
    Starting,
    /// It accepts requests.
    Ready,
    /// It completes running requests and accepts no new ones.
    Draining,
    /// It has ended.
    Gone,
}

/// Health of an instance as detected by its egress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthState {
    /// It gets its full share of the requests.
    Healthy,
    /// It has failed recently and gets idempotent requests only.
    Suspect,
    /// It is ejected as an outlier and gets probes only.
    Ejected,
    /// It recovers from ejection and gets this percentage of its share.
    Ramping(Percent),
}

/// State of an instance as published by its egress. A record with a higher incarnation replaces one
/// with a lower.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub instance: InstanceId,
    /// The service that the instance belongs to.
    pub service: ServiceId,
    /// The daemon on the same VM, which is the instance's only egress.
    pub daemon: DaemonId,
    /// Peer address of that daemon.
    pub egress: SocketAddr,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Region of the instance.
    pub region: RegionId,
    /// Version of the record; only the egress raises it.
    pub incarnation: Incarnation,
    /// Lifecycle phase of the instance.
    pub phase: InstancePhase,
    /// Health of the instance.
    pub health: HealthState,
    /// Maximum number of requests that the instance processes concurrently.
    pub slots: Slots,
    /// Median service time of the instance, excluding the time in the queue, in microseconds; 0 if
    /// unknown.
    pub median_micros: u32,
    /// Requests per second that the instance takes while it is cold, or may be; none while it is
    /// warm or its service bounds no cold instance.
    pub cold_rate: Option<Rate>,
    /// Newest run of the instance that announced its leave, 0 if it has returned since; none if the
    /// publishing process knows of no leave. Other daemons keep it for the next process of that daemon.
    pub left_run: Option<InstanceRun>,
}

impl HealthState {
    /// Whether an instance in this state accepts a request that is not forced upon it, given
    /// whether the request is idempotent.
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
    /// Whether ingresses must learn of the record at once, because they would send requests that
    /// the instance cannot serve.
    #[must_use]
    pub const fn is_urgent(&self) -> bool {
        self.is_leaving() || matches!(self.health, HealthState::Suspect | HealthState::Ejected)
    }

    /// The newest run of the instance that has left and not returned, if the record states one.
    #[must_use]
    pub fn stated_leave(&self) -> Option<InstanceRun> {
        self.left_run.filter(|run| *run > InstanceRun::default())
    }

    /// Whether the instance is draining or gone and accepts no new requests.
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
