//! Idempotency keys of configuration changes.

use crate::name_id;

name_id!(
    /// The idempotency key of an operator's change. It allows a change whose response was lost to be
    /// looked up or sent again.
    OperationId,
    "operation"
);
