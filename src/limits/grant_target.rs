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
    /// (`prefers_backup`), or the ingress's own daemon while neither answers. `None` if no daemon is
    /// live.
    ///
    /// The own daemon borrows what shares it can, so that in a partition the shares whose lenders are
    /// on this side are not out of use.
    pub(super) fn choose(
        map: &HomeMap,
        key: PoolKey,
        prefers_backup: bool,
        own: Option<&HomeCandidate>,
        is_silent: impl Fn(&DaemonId) -> bool,
    ) -> Option<Self> {
        let home = map.home(key)?;
        let backup = map.backup(key);
        let is_cut_off = backup.is_some_and(|backup| is_silent(&backup.daemon));
        if let Some(own) = own
            && is_cut_off
            && is_silent(&home.daemon)
        {
            return Some(Self {
                home: own.clone(),
                role: HomeRole::Backup,
                is_last: true,
            });
        }
        let backup = backup.filter(|backup| !is_silent(&backup.daemon));
        let (chosen, role) = match backup {
            Some(backup) if prefers_backup || is_silent(&home.daemon) => (backup, HomeRole::Backup),
            _ => (home, HomeRole::Home),
        };
        Some(Self {
            home: chosen.clone(),
            role,
            is_last: own.is_none_or(|own| own == chosen)
                && (role == HomeRole::Backup || backup.is_none()),
        })
    }
}
