//! Names of API keys.

use crate::name_id;

name_id!(
    /// The name of a client account's API key, which is not its secret.
    KeyId,
    "key"
);
