//! The `Revision` identifier.

use crate::number_id;

number_id!(
    /// Counts the committed changes of the configuration.
    Revision
);
