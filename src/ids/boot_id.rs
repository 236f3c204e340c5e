//! The `BootId` identifier.

use crate::number_id;

number_id!(
    /// Identifies one run of a process, drawn at random when it starts.
    BootId
);
