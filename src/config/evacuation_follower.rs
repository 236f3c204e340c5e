//! The evacuated zones of a daemon, and the log lines about them.

use std::cell::{Cell, Ref, RefCell};
use std::time::Duration;

use crate::config::WatcherUpdate;
use crate::evacuation::{
    EvacuatedZones, EvacuationDigest, EvacuationMark, EvacuationReport, EvacuationState,
};
use crate::logs::log_target;
use crate::time::{Deadline, MonoTime};

/// Interval between two log lines while the evacuated zones cannot be confirmed.
const AGE_LOG_INTERVAL: Duration = Duration::from_secs(30);

/// What the log tells with a change or the age of the evacuated zones.
#[derive(Debug, Clone, Copy)]
pub(super) struct EvacuationInputs {
    /// Where the knowledge comes from.
    pub(super) source: &'static str,
    /// Era of the store; 0 where the zones are resources.
    pub(super) era: u64,
    /// Version of the store, or revision of the resources.
    pub(super) version: u64,
    /// Time since the last confirmation.
    pub(super) age: Option<Duration>,
}

/// Holds the evacuated zones that the store of a document reports, and logs changes of them.
pub(super) struct EvacuationFollower {
    state: RefCell<EvacuationState>,
    /// The zones of the last log line.
    logged: RefCell<EvacuatedZones>,
    /// When the age may be logged again.
    age_log_at: Cell<Deadline>,
}

impl EvacuationFollower {
    pub(super) fn open(now: MonoTime) -> Self {
        Self {
            state: RefCell::default(),
            logged: RefCell::default(),
            age_log_at: Cell::new(Deadline::at(now)),
        }
    }

    pub(super) fn is_known(&self) -> bool {
        self.state.borrow().is_known()
    }

    pub(super) fn zones(&self) -> Ref<'_, EvacuatedZones> {
        Ref::map(self.state.borrow(), EvacuationState::zones)
    }

    pub(super) fn mark(&self) -> Option<EvacuationMark> {
        self.state.borrow().mark()
    }

    pub(super) fn age(&self, now: MonoTime) -> Option<Duration> {
        self.state.borrow().age(now)
    }

    pub(super) fn digest(&self) -> Option<EvacuationDigest> {
        self.state.borrow().digest()
    }

    pub(super) fn report(&self, now: MonoTime) -> Option<EvacuationReport> {
        self.state.borrow().report(now)
    }

    /// Takes in what a response of the store says of the evacuated zones.
    pub(super) fn apply_update(&self, update: &WatcherUpdate, now: MonoTime) {
        let mark = update.mark;
        let known = self.mark();
        let is_taken =
            self.state
                .borrow_mut()
                .apply_reading(mark, &update.evacuations, update.answered_at);
        if !is_taken {
            log::info!(target: log_target::CONFIG, era:% = mark.era, version:% = mark.version, known:?; "Evacuated zones of the store are older than the known ones, dropped.");
        }
        self.log_changes(&self.zones(), &self.inputs("store", now));
    }

    /// Takes in what another daemon knows, by an answer to a question that was sent at `sent`.
    /// `confirmed_at` is the time of the document's confirmation in this answer. Returns whether it is
    /// news for those who ask this daemon.
    pub(super) fn merge_report(
        &self,
        report: &EvacuationReport,
        sent: MonoTime,
        confirmed_at: Option<MonoTime>,
        now: MonoTime,
    ) -> bool {
        let is_news = report.is_news_to(self.digest());
        // The answer may have waited at the peer, which makes the age too high. A confirmation of the
        // document is one of the zones, and its time is known more closely.
        let micros = sent.micros().saturating_sub(report.age_micros);
        let known_at = MonoTime::from_micros(micros);
        let known_at = confirmed_at.map_or(known_at, |time| time.max(known_at));
        self.state.borrow_mut().merge_report(report, known_at);
        if is_news {
            self.log_changes(&self.zones(), &self.inputs("peer", now));
        }
        is_news
    }

    /// Logs the age of the zones of the document's store at intervals while it exceeds `lease`.
    pub(super) fn log_own_age(&self, lease: Duration, now: MonoTime) {
        self.log_age(&self.zones(), &self.inputs("document", now), lease, now);
    }

    /// What the log tells of the state that `source` has brought.
    fn inputs(&self, source: &'static str, now: MonoTime) -> EvacuationInputs {
        let mark = self.mark().unwrap_or_default();
        EvacuationInputs {
            source,
            era: mark.era.0,
            version: mark.version.0,
            age: self.age(now),
        }
    }

    /// Logs one line for each zone that was taken out of service or put back.
    pub(super) fn log_changes(&self, zones: &EvacuatedZones, inputs: &EvacuationInputs) {
        let mut logged = self.logged.borrow_mut();
        if *logged == *zones {
            return;
        }
        let age_ms = inputs.age.map(|age| age.as_millis());
        let EvacuationInputs {
            source,
            era,
            version,
            ..
        } = *inputs;
        for zone in zones.difference(&logged) {
            log::info!(target: log_target::CONFIG, zone:%, era, version, source, age_ms:?; "Availability zone is taken out of service.");
        }
        for zone in logged.difference(zones) {
            log::info!(target: log_target::CONFIG, zone:%, era, version, source, age_ms:?; "Availability zone is put back into service.");
        }
        logged.clone_from(zones);
    }

    /// Logs the age of the zones at intervals while it exceeds `lease`.
    pub(super) fn log_age(
        &self,
        zones: &EvacuatedZones,
        inputs: &EvacuationInputs,
        lease: Duration,
        now: MonoTime,
    ) {
        let Some(age) = inputs.age.filter(|age| *age > lease) else {
            return;
        };
        if !self.age_log_at.get().has_passed(now) {
            return;
        }
        self.age_log_at.set(now.after(AGE_LOG_INTERVAL));
        log::warn!(target: log_target::CONFIG, zones:%, era = inputs.era, version = inputs.version, age_ms = age.as_millis(); "Evacuated zones cannot be confirmed, the last known ones hold.");
    }
}
