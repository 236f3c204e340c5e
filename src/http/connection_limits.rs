//! What the connections of a listener may take together.

use crate::units::ByteSize;

/// Limits on the connections of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections. An eighth more are accepted to refuse their requests.
    pub connections: usize,
    /// Memory for the connections together: buffers, heads, and what waits to be read.
    pub memory: ByteSize,
}

impl ConnectionLimits {
    /// Returns the limits of the callers' listener if the settings name none, in a process that may have
    /// `descriptors`; none stands for any number.
    #[must_use]
    pub fn callers(descriptors: Option<u64>) -> Self {
        Self {
            connections: share_of(descriptors, 2, 1_000),
            memory: ByteSize::from_kib(32 * 1024),
        }
    }

    /// Returns the limits of a listener for operators, probes or instances, which few clients use, in a
    /// process that may have `descriptors`; none stands for any number.
    #[must_use]
    pub fn control(descriptors: Option<u64>) -> Self {
        Self {
            connections: share_of(descriptors, 16, 128),
            memory: ByteSize::from_kib(8 * 1024),
        }
    }

    /// Returns the limits of the connections from other daemons that have yet to show that they belong to
    /// the fleet, in a process that may have `descriptors`; none stands for any number.
    #[must_use]
    pub fn unauthenticated(descriptors: Option<u64>) -> Self {
        Self {
            connections: share_of(descriptors, 8, 1_000),
            memory: ByteSize::from_kib(16 * 1024),
        }
    }
}

impl Default for ConnectionLimits {
    /// Returns the limits of a callers' listener in a process with any number of descriptors.
    fn default() -> Self {
        Self::callers(None)
    }
}

/// One part in `parts` of the descriptors, at most `most`.
fn share_of(descriptors: Option<u64>, parts: u64, most: usize) -> usize {
    let share = descriptors.and_then(|descriptors| usize::try_from(descriptors / parts).ok());
    share.map_or(most, |share| share.clamp(1, most))
}
