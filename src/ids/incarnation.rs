//! The `Incarnation` identifier.

use crate::number_id;

number_id!(
    /// Orders the records that one daemon or instance publishes of itself.
    Incarnation
);
