//! The share of its full load that a cold instance takes.

use std::time::Duration;

use crate::units::Percent;
use crate::wire::InstanceRecord;

/// Service time that is assumed while no instance of the service has a median.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(25);

/// Returns the median service time of the warm instances; of all instances if no warm one has a
/// median. Not computed while no instance is cold, since it is not needed then.
pub(super) fn typical_time(records: &[InstanceRecord]) -> Duration {
    if records.iter().all(|record| record.cold_rate.is_none()) {
        return DEFAULT_SERVICE_TIME;
    }
    let median_of = |is_counted: fn(&InstanceRecord) -> bool| {
        let counted = records.iter().filter(|record| is_counted(record));
        let mut medians: Vec<u32> = counted
            .map(|record| record.median_micros)
            .filter(|micros| *micros > 0)
            .collect();
        medians.sort_unstable();
        medians.get(medians.len().saturating_sub(1) / 2).copied()
    };
    let warm = median_of(|record| record.cold_rate.is_none());
    let micros = warm.or_else(|| median_of(|_| true));
    micros.map_or(DEFAULT_SERVICE_TIME, |micros| {
        Duration::from_micros(u64::from(micros))
    })
}

/// Returns what a cold instance takes, as a share of what its slots could serve with requests of
/// `typical_time`; at least 1%. None if the instance is not limited.
pub(super) fn cold_share(record: &InstanceRecord, typical_time: Duration) -> Option<Percent> {
    let rate = record.cold_rate?;
    let busy_slots = rate.over_span(typical_time);
    let fraction = (busy_slots / f64::from(record.slots.get())).clamp(0.01, 1.0);
    Percent::from_fraction(fraction)
}
