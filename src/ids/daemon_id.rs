//! Names of daemons.

use crate::name_id;

name_id!(
    /// The name of a daemon's place in the fleet; a replacement on the same address keeps the name.
    DaemonId,
    "daemon"
);
