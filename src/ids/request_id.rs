//! The `RequestId` identifier.

use crate::number_id;

number_id!(
    /// Identifies one request within the boot of its ingress.
    RequestId
);
