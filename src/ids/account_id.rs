//! Names of client accounts.

use crate::name_id;

name_id!(
    /// The name of a client account.
    AccountId,
    "client account"
);
