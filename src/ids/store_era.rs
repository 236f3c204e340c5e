//! Eras of the platform's store.

use crate::number_id;

number_id!(
    /// Counts how often the store came back from a copy. Versions of different eras must not be
    /// compared: the store gives out again those that it lost.
    StoreEra
);
