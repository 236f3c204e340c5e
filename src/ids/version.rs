//! Version numbers of rows and resources.

use crate::number_id;

number_id!(
    /// Distinguishes the successive states of a row or resource; 0 means that it does not exist.
    Version
);
