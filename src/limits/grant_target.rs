//! Choice of the daemon to request rate limit tokens from: the assigned one or its backup.

use crate::ids::DaemonId;
use crate::limits::{HomeCandidate, HomeMap, HomeRole, PoolKey};

/// A daemon to call. Ordered, so that all requests to one daemon go into one call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct GrantTarget {
    /// The daemon and its peer address.
    pub home: HomeCandidate,
    /// The daemon's role for the pool.
    pub role: HomeRole,
    /// Whether no other daemon can be called if this one fails.
    pub is_last: bool,
}

impl GrantTarget {
    /// Chooses the home of `key`, or its backup while the home does not answer or has no loans yet
    /// (`prefers_backup`). `None` if no daemon is live.
    pub(super) fn choose(
        map: &HomeMap,
        key: PoolKey,
        prefers_backup: bool,
        is_silent: impl Fn(&DaemonId) -> bool,
    ) -> Option<Self> {
        let home = map.home(key)?;
        let backup = map.backup(key);
        let backup = backup.filter(|backup| !is_silent(&backup.daemon));
        let (chosen, role) = match backup {
            Some(backup) if prefers_backup || is_silent(&home.daemon) => (backup, HomeRole::Backup),
            _ => (home, HomeRole::Home),
        };
        Some(Self {
            home: chosen.clone(),
            role,
            is_last: role == HomeRole::Backup || backup.is_none(),
        })
    }
}
