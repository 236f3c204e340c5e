//! Incarnation numbers, which order the records that a member publishes of itself.

use crate::number_id;

number_id!(
    /// Orders the records that a daemon or instance publishes of itself; the highest is the latest.
    Incarnation
);
