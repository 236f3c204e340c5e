//! Who leased a share before.

/// Whether a share was leased by another process before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareOrigin {
    /// No process ever leased the share.
    NeverHeld,
    /// Another process leased the share before. Its loans may not have expired yet.
    PreviouslyHeld,
    /// An earlier run of this daemon leased the share, at the same address. Its last loans were made
    /// before this run bound the address.
    EarlierRun,
}
