//! Which instances a request is offered to, one after another, to stay in its zone if it can.

use std::time::Duration;

use crate::balance::WaitLimits;
use crate::ids::InstanceId;

/// Offers in the own zone of a request that belongs to the overflow share.
const PLANNED_HOME_OFFERS: usize = 2;
/// Part of the permitted wait in the own zone that such a request uses.
const PLANNED_WAIT_PART: f64 = 0.3;
/// Offers in other zones that may hardly wait.
const AWAY_OFFERS: usize = 2;
/// Offers in other zones of one request, unless its own zone has no usable instance.
const MAX_AWAY_OFFERS: usize = 4;
/// Offers that may wait, each at the instance with the shortest known wait, before the next stage.
const WAIT_OFFERS: usize = 2;
/// Factor by which the known wait of an instance, with the service time, may have grown.
const ALLOWED_GROWTH: u32 = 2;

/// The next offer of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneStep {
    /// Another zone, without a wait, to learn of its instances.
    Sample,
    /// The own zone, without a wait.
    Home,
    /// Another zone, with a short wait at most.
    Away,
    /// An instance that was busy, with a wait up to the bound, if there is one.
    Wait(InstanceId, Option<Duration>),
    /// The own zone, with any wait.
    HomeQueue,
    /// Any instance, with any wait.
    Anywhere,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ZoneStage {
    Home,
    HomeWait,
    Away,
    TimelyWait,
    AnyWait,
    HomeQueue,
    Anywhere,
    End,
}

/// How the choice of zones begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneStart {
    /// Whether an instance of the own zone is usable.
    pub has_home: bool,
    /// Whether the request belongs to the overflow share: it hardly waits in its zone.
    pub is_planned: bool,
    /// Whether the request goes to another zone first, to learn of its instances.
    pub is_sample: bool,
    /// Instances of the own zone found busy before the request waits.
    pub no_wait_offers: usize,
}

#[derive(Debug, Clone)]
struct BusyInstance {
    instance: InstanceId,
    is_home: bool,
    /// The wait that its egress expected.
    wait: Duration,
}

/// The way of one request: free slots of the own zone, a wait there that leaves enough time, free
/// slots of other zones, and then the shortest wait anywhere.
#[derive(Debug, Clone)]
pub struct ZoneChoice {
    stage: ZoneStage,
    start: ZoneStart,
    busy: Vec<BusyInstance>,
    /// Offers in the present stage that found no room.
    offers: usize,
    /// Offers in other zones.
    away_offers: usize,
    /// Whether the other zones have too little room.
    is_away_full: bool,
    /// Whether the sample is still to be sent.
    is_sample_due: bool,
    /// Whether the last step was the sample.
    is_sampling: bool,
}

impl ZoneChoice {
    /// Returns the choice of a new request.
    #[must_use]
    pub const fn open(start: ZoneStart) -> Self {
        Self {
            stage: match start.has_home {
                true => ZoneStage::Home,
                false => ZoneStage::Away,
            },
            away_offers: 0,
            is_away_full: false,
            is_sample_due: start.is_sample,
            is_sampling: false,
            start,
            busy: Vec::new(),
            offers: 0,
        }
    }

    /// Returns the next offer to make; none when the request is to be refused.
    pub fn next_step(&mut self, limits: &WaitLimits, rng: &mut fastrand::Rng) -> Option<ZoneStep> {
        self.is_sampling = std::mem::take(&mut self.is_sample_due);
        if self.is_sampling {
            return Some(ZoneStep::Sample);
        }
        while self.stage != ZoneStage::End {
            if let Some(step) = self.step(limits, rng) {
                return Some(step);
            }
            self.advance();
        }
        None
    }

    /// Records that the other zones have too little room for the last step.
    pub fn on_full(&mut self) {
        self.is_away_full = true;
        self.on_none();
    }

    /// Records that no instance fits the last step.
    pub fn on_none(&mut self) {
        if !self.is_sampling {
            self.advance();
        }
    }

    /// Records that the instance offered last was busy and that its egress expected `wait`.
    pub fn on_busy(&mut self, instance: &InstanceId, is_home: bool, wait: Duration) {
        self.forget(instance);
        self.busy.push(BusyInstance {
            instance: instance.clone(),
            is_home,
            wait,
        });
        self.count_offer(is_home);
    }

    /// Records that the instance offered last failed in another way.
    pub fn on_failure(&mut self, instance: &InstanceId, is_home: bool) {
        self.forget(instance);
        self.count_offer(is_home);
    }

    /// Leaves the own zone, where attempts have failed.
    pub fn leave_home(&mut self) {
        if self.stage < ZoneStage::Away {
            self.offers = 0;
            self.stage = ZoneStage::Away;
        }
    }

    /// Returns the shortest wait that the instances of the own zone expected; none if none was busy.
    #[must_use]
    pub fn home_wait(&self) -> Option<Duration> {
        let home = self.busy.iter().filter(|busy| busy.is_home);
        home.map(|busy| busy.wait).min()
    }

    /// Whether the offers in the own zone that must start without waiting are over.
    #[must_use]
    pub fn is_past_home_offers(&self) -> bool {
        self.stage > ZoneStage::Home
    }

    fn step(&self, limits: &WaitLimits, rng: &mut fastrand::Rng) -> Option<ZoneStep> {
        let home_offers = match self.start.is_planned {
            true => PLANNED_HOME_OFFERS.min(self.start.no_wait_offers.max(1)),
            false => self.start.no_wait_offers.max(1),
        };
        match self.stage {
            ZoneStage::Home => (self.offers < home_offers).then_some(ZoneStep::Home),
            ZoneStage::HomeWait => {
                let limit = match self.start.is_planned {
                    true => limits.home.mul_f64(PLANNED_WAIT_PART),
                    false => limits.home,
                };
                self.wait(Some(limit), true, limits.service_time, rng)
            }
            ZoneStage::Away => (self.offers < AWAY_OFFERS).then_some(ZoneStep::Away),
            ZoneStage::TimelyWait => self
                .wait(Some(limits.timely), true, limits.service_time, rng)
                .or_else(|| self.wait(Some(limits.timely), false, limits.service_time, rng)),
            ZoneStage::AnyWait => {
                self.wait(None, !self.is_far_shorter_away(), limits.service_time, rng)
            }
            ZoneStage::HomeQueue => self.start.has_home.then_some(ZoneStep::HomeQueue),
            ZoneStage::Anywhere => self.may_cross().then_some(ZoneStep::Anywhere),
            ZoneStage::End => None,
        }
    }

    /// Returns an offer to an instance whose wait is within `bound` and about the shortest of these,
    /// if `is_home` only of the own zone. It is drawn at random, as the requests of a burst know
    /// the same waits.
    fn wait(
        &self,
        bound: Option<Duration>,
        is_home: bool,
        service_time: Duration,
        rng: &mut fastrand::Rng,
    ) -> Option<ZoneStep> {
        let fits = |busy: &&BusyInstance| {
            (busy.is_home || (!is_home && self.has_away_offers()))
                && bound.is_none_or(|bound| busy.wait <= bound)
        };
        let shortest = self.busy.iter().filter(fits).map(|busy| busy.wait).min()?;
        let is_near = |busy: &&BusyInstance| busy.wait <= shortest + service_time;
        let near: Vec<_> = self.busy.iter().filter(fits).filter(is_near).collect();
        let drawn = near.get(rng.usize(0..near.len()))?;
        // An instance whose wait has grown further is asked again only if none is better, and one that
        // has stopped responding is given up early. The last offer takes any wait within the bound.
        let growth = (drawn.wait + service_time).saturating_mul(ALLOWED_GROWTH);
        let is_last = self.offers + 1 == WAIT_OFFERS;
        let bound = bound.map(|bound| if is_last { bound } else { bound.min(growth) });
        (self.offers < WAIT_OFFERS).then(|| ZoneStep::Wait(drawn.instance.clone(), bound))
    }

    fn advance(&mut self) {
        self.offers = 0;
        self.stage = match self.stage {
            ZoneStage::Home => ZoneStage::HomeWait,
            ZoneStage::HomeWait => ZoneStage::Away,
            ZoneStage::Away => ZoneStage::TimelyWait,
            ZoneStage::TimelyWait => ZoneStage::AnyWait,
            ZoneStage::AnyWait => ZoneStage::HomeQueue,
            ZoneStage::HomeQueue => ZoneStage::Anywhere,
            ZoneStage::Anywhere | ZoneStage::End => ZoneStage::End,
        };
    }

    /// Whether an instance of another zone expects less than half of the wait in the own zone.
    fn is_far_shorter_away(&self) -> bool {
        if !self.has_away_offers() {
            return false;
        }
        let mut away = self.busy.iter().filter(|busy| !busy.is_home);
        let home_wait = self.home_wait();
        away.any(|busy| home_wait.is_none_or(|home_wait| busy.wait * 2 < home_wait))
    }

    /// Whether a request that no instance has taken may still be offered to any zone.
    fn may_cross(&self) -> bool {
        !self.start.has_home || (!self.is_away_full && self.has_away_offers())
    }

    /// Whether the request may make another offer in other zones.
    const fn has_away_offers(&self) -> bool {
        !self.start.has_home || self.away_offers < MAX_AWAY_OFFERS
    }

    fn count_offer(&mut self, is_home: bool) {
        self.offers += usize::from(!self.is_sampling);
        self.away_offers += usize::from(!is_home);
    }

    fn forget(&mut self, instance: &InstanceId) {
        self.busy.retain(|busy| busy.instance != *instance);
    }
}
