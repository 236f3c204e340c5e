//! A report that a daemon passes on to one that starts.

use bincode::{Decode, Encode};

use crate::wire::RunReport;

/// A report with the time for which it still counts, so that it lapses at the same time everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct KnownRun {
    /// The report.
    pub report: RunReport,
    /// Time left, in milliseconds.
    pub left_millis: u32,
}
