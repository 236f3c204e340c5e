//! The cells that ingresses ask a daemon for.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::DaemonId;
use crate::limits::{HomeMap, HomeRole, PoolKey};
use crate::time::{Deadline, MonoTime};

/// How long a home keeps loans for accounts that went quiet: pauses of a caller are shorter.
const HOME_RETENTION: Duration = Duration::from_secs(60);
/// The same for a backup: ingresses try the home again every second, and a key that is kept for
/// longer keeps the home waiting.
const BACKUP_RETENTION: Duration = Duration::from_secs(2);

/// A daemon borrows only for cells that are asked for: loans for all others would cost a message to
/// each lender twice in the life of a loan.
#[derive(Debug, Default)]
pub struct ActivePools {
    pools: FastMap<PoolKey, ActivePool>,
}

#[derive(Debug, Clone, Copy)]
struct ActivePool {
    until: Deadline,
    /// What the daemon was to the key when it was asked last.
    role: HomeRole,
}

impl ActivePools {
    /// Notes that `daemon` was asked for `key`; whether that is news.
    pub fn record_request(
        &mut self,
        key: PoolKey,
        map: &HomeMap,
        daemon: &DaemonId,
        now: MonoTime,
    ) -> bool {
        let Some(role) = map.role(key, daemon) else {
            return false;
        };
        let span = match role {
            HomeRole::Home => HOME_RETENTION,
            HomeRole::Backup => BACKUP_RETENTION,
        };
        let until = now.after(span);
        let before = self.pools.insert(key, ActivePool { until, role });
        before.is_none_or(|before| before.role != role)
    }

    /// Forgets what was not asked for in a while; whether there was any.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let before = self.pools.len();
        self.pools.retain(|_, active| !active.until.has_passed(now));
        self.pools.len() < before
    }

    /// The cells for which `daemon` should have loans, in order, with what it is to them.
    #[must_use]
    pub fn served(&self, map: &HomeMap, daemon: &DaemonId) -> Vec<(PoolKey, HomeRole)> {
        let role_of = |key: PoolKey| {
            let active = self.pools.get(&key)?;
            let role = map.role(key, daemon)?;
            // A home that has become a backup leaves the key to the new home.
            let is_yielded = active.role == HomeRole::Home && role == HomeRole::Backup;
            (!is_yielded).then_some((key, role))
        };
        PoolKey::all().filter_map(role_of).collect()
    }
}
