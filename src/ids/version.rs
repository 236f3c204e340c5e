//! The `Version` identifier.

use crate::number_id;

number_id!(
    /// Tells one state of a row or resource from an earlier one; 0 means absent.
    Version
);
