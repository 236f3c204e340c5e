//! Bounded buffer of the most recent changes, for peers and watchers that lag by a few revisions.

use std::collections::VecDeque;

use crate::config::ConfigChange;
use crate::ids::Revision;

/// Maximum number of changes kept.
const MAX_CHANGES: usize = 1_000;

/// The most recent changes in sequence, up to the revision in force.
#[derive(Debug, Default)]
pub struct RecentChanges {
    changes: VecDeque<ConfigChange>,
}

impl RecentChanges {
    /// Appends a change that has been applied, and drops the oldest one when the buffer is full.
    pub fn push(&mut self, change: ConfigChange) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Removes all changes, as a snapshot may have skipped revisions after them.
    pub fn clear(&mut self) {
        self.changes.clear();
    }

    /// The lowest revision after which all changes up to `in_force` are kept.
    #[must_use]
    pub fn oldest(&self, in_force: Revision) -> Revision {
        self.changes.front().map_or(in_force, |change| {
            Revision(change.revision.0.saturating_sub(1))
        })
    }

    /// Up to `limit` changes after the revision `after`; empty when the first of them is not kept.
    #[must_use]
    pub fn after(&self, after: Revision, limit: usize) -> Vec<ConfigChange> {
        let Some(first) = self.changes.front() else {
            return Vec::new();
        };
        let Some(skipped) = (after.0 + 1).checked_sub(first.revision.0) else {
            return Vec::new();
        };
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        self.changes
            .iter()
            .skip(skipped)
            .take(limit)
            .cloned()
            .collect()
    }
}
