//! Zone-local routing of one request: chooses the instance of each offer.

use std::time::Duration;

use crate::balance::{
    InstancePicker, OtherZone, PickScope, ServiceZones, WaitLimits, ZoneChoice, ZoneRoom,
    ZoneStart, ZoneStep,
};
use crate::ingress::caller_request::CallerRequest;
use crate::ingress::instance_choice::ChosenInstance;
use crate::ingress::offer_wait::OfferWait;
use crate::ingress::{AttemptHistory, MAX_OFFERS};
use crate::retry::ServiceBudgets;
use crate::settings::ZoneOverflow;
use crate::time::MonoTime;
use crate::wire::InstanceRecord;

/// Attempts that reached an instance in vain before the request goes to other zones.
const MAX_HOME_ATTEMPTS: usize = 2;
/// Only a free slot is taken; a busy instance names the expected wait.
pub(super) const NO_WAIT: OfferWait = OfferWait::AtMost(Duration::ZERO);

/// The zones that one request was offered to.
pub(crate) struct ZoneAttempts {
    pub(super) choice: ZoneChoice,
    /// The room of the own zone when the request arrived.
    pub(super) room: ZoneRoom,
    pub(super) is_sample: bool,
    /// Whether the request has told of the pressure of the own zone.
    pub(super) has_told: bool,
    /// Whether the last offer permitted hardly a wait, so that it found out whether there is room.
    pub(super) is_brief_offer: bool,
    /// Whether the request was offered to another zone.
    pub(super) has_crossed: bool,
    /// Offers so far.
    pub(super) offers: usize,
}

impl CallerRequest<'_> {
    /// Returns the state of zone-local routing for the request; none where it is off.
    pub(crate) fn open_zone_attempts(&self) -> Option<ZoneAttempts> {
        if !self.is_zone_local() {
            return None;
        }
        let sources = &self.ingress.sources;
        let records = self.usable_instances();
        let allows_trial = self.with_budget(ServiceBudgets::allows_trial);
        let may_be_sample = self.plan.idempotent
            && allows_trial
            && !self.plan.class.is_bulk()
            && self.plan.max_attempts != Some(1)
            && records.iter().any(|record| record.zone != sources.zone);
        let (room, is_planned) = self.with_zones(|zones, picker, rng, now| {
            let room = ZoneRoom::of(&records, &sources.zone, |record| {
                picker.is_reachable(record, now)
            });
            (room, zones.draw_overflow(now, rng))
        });
        let is_sample = may_be_sample && self.take_sample();
        let start = ZoneStart {
            has_home: room.is_usable(),
            // The bytes of a bulk request cost more than its wait.
            is_planned: is_planned && !self.plan.class.is_bulk(),
            is_sample,
            no_wait_offers: sources.proxy.no_wait_offers as usize,
        };
        Some(ZoneAttempts {
            choice: ZoneChoice::open(start),
            room,
            is_sample,
            has_told: !room.is_usable(),
            is_brief_offer: false,
            has_crossed: false,
            offers: 0,
        })
    }

    /// Whether requests stay in the zone of the ingress while it has room in time.
    pub(super) fn is_zone_local(&self) -> bool {
        let sources = &self.ingress.sources;
        sources.proxy.zone_overflow == ZoneOverflow::Local && !sources.baseline.round_robin
    }

    /// Chooses the instance of the next offer, from the zones that `attempts` says.
    pub(crate) fn choose_instance(
        &self,
        history: &mut AttemptHistory,
        attempts: Option<&mut ZoneAttempts>,
    ) -> Option<ChosenInstance> {
        if let Some(chosen) = self.choose_trial(history) {
            return Some(chosen);
        }
        match attempts {
            Some(attempts) => self.next_zone_instance(history, attempts),
            None => self.next_instance(history),
        }
    }

    /// Chooses the instance of the next offer; none when no instance may take the request.
    fn next_zone_instance(
        &self,
        history: &mut AttemptHistory,
        attempts: &mut ZoneAttempts,
    ) -> Option<ChosenInstance> {
        if attempts.offers >= MAX_OFFERS {
            return None;
        }
        attempts.offers += 1;
        let own = &self.ingress.sources.zone;
        let limits = self.wait_limits(&attempts.room);
        // A short wait costs less than another round trip to another zone.
        let away_wait = OfferWait::AtMost(limits.service_time.min(limits.timely));
        if history.reached() >= MAX_HOME_ATTEMPTS {
            attempts.choice.leave_home();
            attempts.has_told = true;
        }
        loop {
            let step = self.with_zones(|_, _, rng, _| attempts.choice.next_step(&limits, rng))?;
            if attempts.choice.is_past_home_offers() {
                self.tell_shortage(attempts, limits.home);
            }
            attempts.is_brief_offer =
                matches!(step, ZoneStep::Home | ZoneStep::Away | ZoneStep::Sample);
            let chosen = match &step {
                ZoneStep::Home => self.pick_preferring(history, PickScope::Zone(own), NO_WAIT),
                ZoneStep::Sample | ZoneStep::Away => match self.draw_other_zone() {
                    OtherZone::Found(zone) => {
                        let pick = |scope| self.pick_preferring(history, scope, away_wait);
                        pick(PickScope::Zone(&zone)).or_else(|| pick(PickScope::OutsideZone(own)))
                    }
                    OtherZone::Full => {
                        attempts.choice.on_full();
                        continue;
                    }
                    OtherZone::Missing => None,
                },
                ZoneStep::Wait(instance, bound) => {
                    history.retry_instance(instance);
                    let wait = bound.map_or(OfferWait::Unbounded, OfferWait::AtMost);
                    let scope = PickScope::Instance(instance);
                    self.pick_instance(history, scope, !self.plan.idempotent, wait)
                }
                ZoneStep::HomeQueue => {
                    let scope = PickScope::Zone(own);
                    self.pick_preferring(history, scope, OfferWait::Unbounded)
                }
                ZoneStep::Anywhere => self.pick_anywhere(history),
            };
            if let Some(chosen) = chosen {
                attempts.has_crossed |= chosen.record.zone != *own;
                return Some(chosen);
            }
            attempts.choice.on_none();
        }
    }

    fn wait_limits(&self, room: &ZoneRoom) -> WaitLimits {
        let now = self.ingress.sources.clock.now();
        let route = &self.plan.route;
        let times = &self.ingress.state.borrow().route_times;
        let time = times.expected(&self.plan.service, route);
        WaitLimits::open(
            self.goal.map(|goal| goal.remaining(now)),
            self.deadline.remaining(now),
            time.unwrap_or(room.median()),
            room.is_reduced(),
        )
    }

    fn draw_other_zone(&self) -> OtherZone {
        let records = self.usable_instances();
        let own = &self.ingress.sources.zone;
        self.with_zones(|zones, picker, rng, now| {
            let is_reachable = |record: &InstanceRecord| picker.is_reachable(record, now);
            zones.draw_other(&records, own, is_reachable, now, rng)
        })
    }

    /// Picks an instance in `scope`; none rather than one that is not healthy where the request
    /// prefers a healthy one.
    fn pick_preferring(
        &self,
        history: &AttemptHistory,
        scope: PickScope<'_>,
        wait: OfferWait,
    ) -> Option<ChosenInstance> {
        self.pick_instance(history, scope, true, wait)
    }

    /// Picks any instance for an offer with any wait; instances found busy are picked again when no
    /// other is left.
    fn pick_anywhere(&self, history: &mut AttemptHistory) -> Option<ChosenInstance> {
        let pick = |history: &AttemptHistory| {
            let needs_healthy = !self.plan.idempotent && history.has_busy();
            self.pick_instance(history, PickScope::All, needs_healthy, OfferWait::Unbounded)
        };
        if let Some(chosen) = pick(history) {
            return Some(chosen);
        }
        if !history.retry_busy() {
            return None;
        }
        pick(history)
    }

    fn take_sample(&self) -> bool {
        let now = self.ingress.sources.clock.now();
        let mut state = self.ingress.state.borrow_mut();
        let state = &mut *state;
        state.zones.take_sample(now, &mut state.rng)
    }

    pub(super) fn with_zones<T>(
        &self,
        act: impl FnOnce(&mut ServiceZones, &InstancePicker, &mut fastrand::Rng, MonoTime) -> T,
    ) -> T {
        let now = self.ingress.sources.clock.now();
        self.ingress
            .with_zones(&self.plan.service, |zones, picker, rng| {
                act(zones, picker, rng, now)
            })
    }
}
