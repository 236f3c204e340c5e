//! The `DaemonId` identifier.

use crate::name_id;

name_id!(
    /// Names a daemon by its slot; a replacement on the same address keeps it.
    DaemonId,
    "daemon"
);
