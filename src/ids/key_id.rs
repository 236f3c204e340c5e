//! The `KeyId` identifier.

use crate::name_id;

name_id!(
    /// Names a key of a client account; not the secret.
    KeyId,
    "key"
);
