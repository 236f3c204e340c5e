//! The `AccountId` identifier.

use crate::name_id;

name_id!(
    /// Names a client account.
    AccountId,
    "client account"
);
