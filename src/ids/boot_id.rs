//! Random identifiers of process runs.

use crate::number_id;

number_id!(
    /// Identifies one run of a process; a random number generated at its start.
    BootId
);
