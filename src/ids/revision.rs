//! Revision numbers of the configuration.

use crate::number_id;

number_id!(
    /// Number of changes committed to the configuration so far.
    Revision
);
