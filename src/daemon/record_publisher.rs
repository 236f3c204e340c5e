//! Builds the records of this VM's instances for the membership.

use crate::ids::Incarnation;
use crate::instances::{LeftRuns, LocalInstance};
use crate::members::MembersHandle;
use crate::settings::DaemonSettings;
use crate::units::Rate;
use crate::wire::{HealthState, InstanceRecord};

/// Publishes the records of this VM's instances to the membership.
pub(crate) struct RecordPublisher {
    pub(crate) settings: DaemonSettings,
    pub(crate) members: MembersHandle,
    pub(crate) left_runs: LeftRuns,
}

impl RecordPublisher {
    /// Builds the record of an instance.
    pub(crate) fn record(
        &self,
        local: &LocalInstance,
        health: HealthState,
        median: Option<std::time::Duration>,
        cold_rate: Option<Rate>,
    ) -> InstanceRecord {
        let settings = &self.settings;
        let health = if settings.baseline.no_ejection {
            HealthState::Healthy
        } else {
            health
        };
        InstanceRecord {
            instance: local.instance.clone(),
            service: local.service.clone(),
            daemon: settings.daemon.clone(),
            egress: settings.listen.advertised.unwrap_or(settings.listen.peers),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            incarnation: Incarnation::default(),
            phase: local.phase,
            health,
            slots: local.slots,
            median_micros: median.map_or(0, |median| {
                u32::try_from(median.as_micros()).unwrap_or(u32::MAX)
            }),
            cold_rate,
            left_run: self.left_runs.newest(&local.instance),
        }
    }
}
