//! Leaves the instances of evacuated zones out of a service's records.

use std::rc::Rc;

use crate::evacuation::EvacuatedZones;
use crate::hash::FastMap;
use crate::ids::ServiceId;
use crate::wire::InstanceRecord;

/// Filters the records of services, and keeps the result while records and zones stay the same.
#[derive(Debug, Default)]
pub struct RecordFilter {
    zones: EvacuatedZones,
    cache: FastMap<ServiceId, FilteredRecords>,
}

#[derive(Debug)]
struct FilteredRecords {
    all: Rc<[InstanceRecord]>,
    usable: Rc<[InstanceRecord]>,
}

impl RecordFilter {
    /// The `records` of `service` whose instances are not in `zones`.
    pub fn usable(
        &mut self,
        service: &ServiceId,
        records: Rc<[InstanceRecord]>,
        zones: &EvacuatedZones,
    ) -> Rc<[InstanceRecord]> {
        if self.zones != *zones {
            self.zones.clone_from(zones);
            self.cache.clear();
        }
        if zones.is_empty() {
            return records;
        }
        if let Some(cached) = self.cache.get(service)
            && Rc::ptr_eq(&cached.all, &records)
        {
            return Rc::clone(&cached.usable);
        }
        let usable = records
            .iter()
            .filter(|record| !zones.contains(&record.zone))
            .cloned();
        let usable: Rc<[InstanceRecord]> = usable.collect();
        let filtered = FilteredRecords {
            all: records,
            usable: Rc::clone(&usable),
        };
        self.cache.insert(service.clone(), filtered);
        usable
    }
}
