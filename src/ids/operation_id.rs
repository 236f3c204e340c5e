//! The `OperationId` identifier.

use crate::name_id;

name_id!(
    /// Names one operator's change, so that a lost answer can be settled.
    OperationId,
    "operation"
);
