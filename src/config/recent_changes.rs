//! The newest changes, for peers and watchers that are a little behind.

use std::collections::VecDeque;

use crate::config::ConfigChange;
use crate::ids::Revision;

/// Changes kept.
const MOST_CHANGES: usize = 1_000;

/// Changes without a gap, up to the revision in force.
#[derive(Debug, Default)]
pub struct RecentChanges {
    changes: VecDeque<ConfigChange>,
}

impl RecentChanges {
    /// Adds the change that was just applied.
    pub fn push(&mut self, change: ConfigChange) {
        if self.changes.len() == MOST_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Forgets all changes, after a snapshot has skipped some.
    pub fn clear(&mut self) {
        self.changes.clear();
    }

    /// The lowest revision after which every change is kept, given the revision in force.
    #[must_use]
    pub fn oldest(&self, in_force: Revision) -> Revision {
        self.changes.front().map_or(in_force, |change| {
            Revision(change.revision.0.saturating_sub(1))
        })
    }

    /// Up to `most` changes that follow `after`; none when the first of them is not kept.
    #[must_use]
    pub fn after(&self, after: Revision, most: usize) -> Vec<ConfigChange> {
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
            .take(most)
            .cloned()
            .collect()
    }
}
