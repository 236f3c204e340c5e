//! Whom to ask for tokens of a key.

use crate::ids::DaemonId;
use crate::limits::{HomeCandidate, HomeMap, HomeRole, PoolKey};

/// A daemon to ask; ordered, so that asks to one daemon are sent together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct GrantTarget {
    /// The daemon.
    pub home: HomeCandidate,
    /// What it is to the key.
    pub role: HomeRole,
    /// Whether there is no other daemon to ask instead.
    pub is_last: bool,
}

impl GrantTarget {
    /// The home of `key`; its backup while the home is silent or `prefers_backup` says that it has
    /// no loans yet.
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
