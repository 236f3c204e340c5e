//! The answer to a request that asks for a token.

use crate::ids::{AccountId, BootId};
use crate::limits::RateRefusal;

/// Whether a request is within its client account's rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It is; the token is spent.
    Admitted(AdmittedToken),
    /// It is not, or no home could be reached.
    Refused(RateRefusal),
    /// The client account has no rate limit and so no rate.
    NoLimit,
}

/// A spent token; it can be given back while its grant lives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmittedToken {
    pub(crate) account: AccountId,
    pub(crate) home: BootId,
    pub(crate) grant: u64,
}
