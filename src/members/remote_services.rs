//! Cache of instance records of other regions, for services without a ready instance in the own.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{RegionId, ServiceId};
use crate::time::{Deadline, MonoTime};
use crate::wire::InstanceRecord;

// Interval between queries for a service.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
// Time after the last lookup until a service is no longer refreshed.
const INTEREST_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_SERVICES: usize = 256;

#[derive(Debug)]
struct RemoteService {
    wanted_until: Deadline,
    refresh_at: Deadline,
    regions: FastMap<RegionId, Vec<InstanceRecord>>,
}

/// Records of other regions, kept until `INTEREST_TIMEOUT` after the last lookup of the service.
#[derive(Debug, Default)]
pub struct RemoteServices {
    services: FastMap<ServiceId, RemoteService>,
}

impl RemoteServices {
    /// Returns the cached records of `service`, ordered by instance, and keeps it refreshed.
    ///
    /// Returns nothing for a further service while `MAX_SERVICES` are cached.
    pub fn lookup(&mut self, service: &ServiceId, now: MonoTime) -> Vec<InstanceRecord> {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(service) {
            return Vec::new();
        }
        let remote = self.services.entry(service.clone());
        let remote = remote.or_insert_with(|| RemoteService {
            wanted_until: Deadline::at(now),
            refresh_at: Deadline::at(now),
            regions: FastMap::default(),
        });
        remote.wanted_until = now.after(INTEREST_TIMEOUT);
        let mut records: Vec<_> = remote.regions.values().flatten().cloned().collect();
        records.sort_unstable_by(|left, right| left.instance.cmp(&right.instance));
        records
    }

    /// Drops services without recent lookups; returns those due for a refresh, and schedules their
    /// next one.
    pub fn take_due(&mut self, now: MonoTime) -> Vec<ServiceId> {
        self.services
            .retain(|_, remote| !remote.wanted_until.has_passed(now));
        let mut due = Vec::new();
        for (service, remote) in &mut self.services {
            if remote.refresh_at.has_passed(now) {
                remote.refresh_at = now.after(REFRESH_INTERVAL);
                due.push(service.clone());
            }
        }
        due.sort_unstable();
        due
    }

    /// Replaces the records of `service` in `region`; ignored when the service is not cached.
    pub fn store(&mut self, service: &ServiceId, region: RegionId, records: Vec<InstanceRecord>) {
        if let Some(remote) = self.services.get_mut(service) {
            remote.regions.insert(region, records);
        }
    }
}
