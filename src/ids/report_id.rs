//! Identifiers of reports on runs of suspected requests.

use crate::number_id;

number_id!(
    /// Identifies a report on a run of a suspected request, so that each is counted once. Random.
    ReportId
);
