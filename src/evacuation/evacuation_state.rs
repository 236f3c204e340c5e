//! State machine that holds the evacuated zones as the store and the other daemons report them.

use std::time::Duration;

use crate::evacuation::{
    EvacuatedZones, EvacuationDigest, EvacuationMark, EvacuationReport, EvacuationUpdate,
    ZoneChange,
};
use crate::time::MonoTime;

/// The evacuated zones, with the newest state of the store in which they were known.
///
/// Knowledge of an earlier state never replaces knowledge of a later one, whichever way it comes.
#[derive(Debug, Default)]
pub struct EvacuationState {
    zones: EvacuatedZones,
    /// None before the first reading or report.
    known: Option<KnownState>,
}

#[derive(Debug, Clone, Copy)]
struct KnownState {
    mark: EvacuationMark,
    /// A time at which the store was in this state.
    known_at: MonoTime,
}

impl EvacuationState {
    /// Takes in a response of the store, which was in the state `mark` at `known_at`. Returns whether
    /// it was taken: one that is older than what is known is dropped.
    ///
    /// Changes are taken only on top of a set of the same era: after the store came back from a copy
    /// the whole set is read first.
    pub fn apply_reading(
        &mut self,
        mark: EvacuationMark,
        update: &EvacuationUpdate,
        known_at: MonoTime,
    ) -> bool {
        if self.known.is_some_and(|known| mark < known.mark) {
            return false;
        }
        match update {
            EvacuationUpdate::Whole(zones) => self.zones.clone_from(zones),
            EvacuationUpdate::Changes(changes) => {
                if self.known.is_none_or(|known| known.mark.era != mark.era) {
                    return false;
                }
                changes.iter().for_each(|change| self.apply_change(change));
            }
        }
        self.advance(mark, known_at);
        true
    }

    /// Takes in what another daemon knows, which the store confirmed at `known_at`. Returns whether it
    /// was taken: a report that is older than what is known is dropped.
    pub fn merge_report(&mut self, report: &EvacuationReport, known_at: MonoTime) -> bool {
        match self.known {
            Some(known) if report.mark < known.mark => return false,
            Some(known) if report.mark == known.mark => {}
            _ => self.zones.clone_from(&report.zones),
        }
        self.advance(report.mark, known_at);
        true
    }

    /// Whether the evacuated zones are known, so that requests may be served.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// The evacuated zones; empty before they are known.
    #[must_use]
    pub const fn zones(&self) -> &EvacuatedZones {
        &self.zones
    }

    /// The newest state of the store that is known.
    #[must_use]
    pub fn mark(&self) -> Option<EvacuationMark> {
        self.known.map(|known| known.mark)
    }

    /// Time since the store was last known to be in this state.
    #[must_use]
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.known.map(|known| now.since(known.known_at))
    }

    /// What a question to another daemon says of this state.
    #[must_use]
    pub fn digest(&self) -> Option<EvacuationDigest> {
        self.known.map(|known| EvacuationDigest {
            mark: known.mark,
            digest: self.zones.digest(),
        })
    }

    /// What other daemons are told.
    #[must_use]
    pub fn report(&self, now: MonoTime) -> Option<EvacuationReport> {
        let age = self.age(now)?;
        self.known.map(|known| EvacuationReport {
            mark: known.mark,
            zones: self.zones.clone(),
            age_micros: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
        })
    }

    fn apply_change(&mut self, change: &ZoneChange) {
        match change {
            ZoneChange::Out(zone) => self.zones.insert(zone.clone()),
            ZoneChange::Back(zone) => self.zones.remove(zone),
        }
    }

    fn advance(&mut self, mark: EvacuationMark, known_at: MonoTime) {
        let known_at = self
            .known
            .map_or(known_at, |known| known.known_at.max(known_at));
        self.known = Some(KnownState { mark, known_at });
    }
}
