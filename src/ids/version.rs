//! The `Version` identifier.

use crate::number_id;

number_id!(
    /// Counts the changes of one resource; 0 means absent.
    Version
);
