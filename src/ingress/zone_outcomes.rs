//! Zone-local routing of one request: records what the outcomes of its offers tell of the zones.

use std::time::Duration;

use crate::balance::ZoneRoom;
use crate::ingress::AttemptFailure;
use crate::ingress::attempt_task::AttemptOutcome;
use crate::ingress::caller_request::CallerRequest;
use crate::ingress::instance_choice::ChosenInstance;
use crate::ingress::zone_attempts::{NO_WAIT, ZoneAttempts};
use crate::logs::log_target;
use crate::time::MonoTime;
use crate::wire::{InstanceRecord, RefusalReason};

impl CallerRequest<'_> {
    /// Records what the outcome of an offer, begun at `begin`, tells of the zones.
    pub(crate) fn record_zone_outcome(
        &self,
        attempts: &mut ZoneAttempts,
        chosen: &ChosenInstance,
        outcome: &AttemptOutcome,
        begin: MonoTime,
    ) {
        let record = &chosen.record;
        let is_home = record.zone == self.ingress.sources.zone;
        match outcome {
            AttemptOutcome::Complete { .. } | AttemptOutcome::Streaming(_) => {
                if is_home && attempts.is_brief_offer && !attempts.has_told {
                    attempts.has_told = true;
                    self.with_zones(|zones, _, rng, now| zones.on_home_free(now, rng));
                }
                if matches!(outcome, AttemptOutcome::Complete { .. }) && chosen.wait == NO_WAIT {
                    self.observe_time(begin);
                }
                if !is_home && attempts.is_brief_offer {
                    self.with_zones(|zones, _, _, now| zones.on_other(&record.zone, false, now));
                }
            }
            AttemptOutcome::Failed { failure, load } => {
                self.record_zone_failure(attempts, record, failure, load.is_some());
            }
        }
        self.log_share_change(&attempts.room);
    }

    /// Counts a request whose response goes to the caller by the zone that served it.
    pub(crate) fn count_zone(&self, attempts: &ZoneAttempts, record: &InstanceRecord) {
        let is_home = record.zone == self.ingress.sources.zone;
        let (is_sample, has_crossed) = (attempts.is_sample, attempts.has_crossed);
        self.with_zones(|zones, _, _, _| {
            let counts = &mut zones.counts;
            counts.kept += u64::from(is_home);
            counts.overflowed += u64::from(!is_home);
            counts.returned += u64::from(is_home && has_crossed);
            counts.sampled += u64::from(!is_home && is_sample);
        });
    }

    fn record_zone_failure(
        &self,
        attempts: &mut ZoneAttempts,
        record: &InstanceRecord,
        failure: &AttemptFailure,
        is_reached: bool,
    ) {
        let is_home = record.zone == self.ingress.sources.zone;
        let is_busy = failure.reason == Some(RefusalReason::Busy);
        match is_busy {
            true => attempts
                .choice
                .on_busy(&record.instance, is_home, failure.retry_after),
            false => attempts.choice.on_failure(&record.instance, is_home),
        }
        if is_home {
            return;
        }
        self.with_zones(|zones, _, _, now| match is_reached {
            true => zones.on_other(&record.zone, is_full(failure.reason), now),
            false => zones.on_other_unreachable(&record.zone, now),
        });
    }

    /// Records, once for each request, that the own zone had no free slot.
    pub(super) fn tell_shortage(&self, attempts: &mut ZoneAttempts, limit: Duration) {
        if std::mem::replace(&mut attempts.has_told, true) {
            return;
        }
        let wait = attempts.choice.home_wait().unwrap_or(limit * 2);
        self.with_zones(|zones, _, rng, now| {
            zones.on_home_busy(wait, limit, &attempts.room, now, rng);
        });
        self.log_share_change(&attempts.room);
    }

    fn log_share_change(&self, room: &ZoneRoom) {
        let Some(change) = self.with_zones(|zones, _, _, now| zones.take_share_change(now)) else {
            return;
        };
        log::info!(
            target: log_target::INGRESS,
            service:% = self.plan.service,
            zone:% = self.ingress.sources.zone,
            from = change.from,
            to = change.to,
            pressure = change.pressure,
            usable_slots = room.usable(),
            announced_slots = room.announced();
            "Zone overflow share changed."
        );
    }
}

/// Whether an instance refused for lack of room.
const fn is_full(reason: Option<RefusalReason>) -> bool {
    matches!(
        reason,
        Some(
            RefusalReason::Busy
                | RefusalReason::Overloaded
                | RefusalReason::Shed
                | RefusalReason::LimitReached
                | RefusalReason::Cold
        )
    )
}
