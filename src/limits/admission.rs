//! The decision whether a request is admitted under its client account's rate limit.

use crate::ids::{AccountId, BootId};
use crate::limits::RateRefusal;

/// Whether a request is admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The request is within the rate. Its token is spent.
    Admitted(AdmittedToken),
    /// The request is over the rate, or no home could be reached to decide.
    Refused(RateRefusal),
    /// No rate limit is configured for the client account, so it has no rate.
    NoLimit,
}

/// A spent token, which can be given back until its grant expires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmittedToken {
    pub(crate) account: AccountId,
    pub(crate) home: BootId,
    pub(crate) grant: u64,
}
