//! The other zone that a request may be offered to.

use crate::ids::ZoneId;

/// The outcome of the search for a zone with spare capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OtherZone {
    /// A zone with a usable instance.
    Found(ZoneId),
    /// The other zones have so little room that the request would probably cross in vain.
    Full,
    /// No other zone that can be reached has a usable instance.
    Missing,
}
