//! The token pools of a daemon from which tokens were requested recently.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::DaemonId;
use crate::limits::{HomeMap, HomeRole, PoolKey};
use crate::time::{Deadline, MonoTime};

/// How long a home keeps the loans of a pool without requests. Most pauses of a caller are shorter.
const HOME_RETENTION: Duration = Duration::from_secs(60);
/// How long a backup keeps them. Ingresses try the home again every second, and the home cannot
/// borrow the shares while the backup keeps them.
const BACKUP_RETENTION: Duration = Duration::from_secs(2);

/// The active pools of one daemon.
///
/// A daemon borrows shares only for these. To keep loans for a pool costs a message to each lender
/// twice in the duration of a loan.
#[derive(Debug, Default)]
pub struct ActivePools {
    pools: FastMap<PoolKey, ActivePool>,
}

#[derive(Debug, Clone, Copy)]
struct ActivePool {
    until: Deadline,
    /// The daemon's role at the last request.
    role: HomeRole,
    /// Whether the request came from this daemon, which had found no other to ask.
    is_own: bool,
}

impl ActivePools {
    /// Records a request to `daemon` for tokens from `key`. Returns whether the pool was not active
    /// before or the daemon's role has changed.
    pub fn record_request(
        &mut self,
        key: PoolKey,
        map: &HomeMap,
        daemon: &DaemonId,
        now: MonoTime,
    ) -> bool {
        match map.role(key, daemon) {
            Some(role) => self.insert(key, role, false, now),
            None => false,
        }
    }

    /// Records a request by this daemon's own ingress, which reached neither the home nor the backup
    /// of `key`: the daemon serves the pool for itself. Returns as `record_request` does.
    pub fn record_own_request(
        &mut self,
        key: PoolKey,
        map: &HomeMap,
        daemon: &DaemonId,
        now: MonoTime,
    ) -> bool {
        let role = map.role(key, daemon).unwrap_or(HomeRole::Backup);
        self.insert(key, role, true, now)
    }

    fn insert(&mut self, key: PoolKey, role: HomeRole, is_own: bool, now: MonoTime) -> bool {
        let span = match role {
            HomeRole::Home => HOME_RETENTION,
            HomeRole::Backup => BACKUP_RETENTION,
        };
        let until = now.after(span);
        let active = ActivePool {
            until,
            role,
            is_own,
        };
        let before = self.pools.insert(key, active);
        before.is_none_or(|before| before.role != role)
    }

    /// Removes pools without recent requests. Returns whether there were any.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let before = self.pools.len();
        self.pools.retain(|_, active| !active.until.has_passed(now));
        self.pools.len() < before
    }

    /// The pools for which `daemon` should hold loans, sorted, with its role for each.
    #[must_use]
    pub fn served(&self, map: &HomeMap, daemon: &DaemonId) -> Vec<(PoolKey, HomeRole)> {
        let role_of = |key: PoolKey| {
            let active = self.pools.get(&key)?;
            let own_role = active.is_own.then_some(HomeRole::Backup);
            let role = map.role(key, daemon).or(own_role)?;
            // A home that has become a backup leaves the pool to the new home.
            let is_yielded = active.role == HomeRole::Home && role == HomeRole::Backup;
            (!is_yielded).then_some((key, role))
        };
        let mut served: Vec<_> = self.pools.keys().copied().filter_map(role_of).collect();
        served.sort_unstable();
        served
    }
}
