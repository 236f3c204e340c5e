//! Why an offer is made.

/// Why an instance is offered a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OfferKind {
    /// To have the request served.
    Regular,
    /// To find out whether a suspect instance has recovered.
    Trial,
    /// To have the request served although an earlier attempt is still running.
    Backup,
}

impl OfferKind {
    /// Whether the outcome tells of the room of the instance's zone. Instances that are not healthy tell
    /// nothing of it, and backup offers go anywhere.
    pub(crate) const fn tells_of_zones(self) -> bool {
        matches!(self, Self::Regular)
    }
}
