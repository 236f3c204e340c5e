//! Services of which the own region has no ready instance.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{RegionId, ServiceId};
use crate::time::{Deadline, MonoTime};
use crate::wire::InstanceRecord;

const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
const INTEREST_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_SERVICES: usize = 256;

#[derive(Debug)]
struct RemoteService {
    wanted_until: Deadline,
    refresh_at: Deadline,
    regions: FastMap<RegionId, Vec<InstanceRecord>>,
}

/// Records of other regions, kept while callers ask for them.
#[derive(Debug, Default)]
pub struct RemoteServices {
    services: FastMap<ServiceId, RemoteService>,
}

impl RemoteServices {
    /// Notes interest in `service`; its records as last heard.
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

    /// The services to ask other regions for now.
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

    /// Takes in the records of `service` in `region`.
    pub fn store(&mut self, service: &ServiceId, region: RegionId, records: Vec<InstanceRecord>) {
        if let Some(remote) = self.services.get_mut(service) {
            remote.regions.insert(region, records);
        }
    }
}
