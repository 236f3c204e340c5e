//! The way of one request through the simulation.

use std::time::Duration;

use wagtailtrack::balance::{
    OtherZone, PickCriteria, PickScope, WaitLimits, ZoneChoice, ZoneRoom, ZoneStart, ZoneStep,
};
use wagtailtrack::ids::{BootId, RequestId};
use wagtailtrack::ingress::{AttemptHistory, MAX_OFFERS};
use wagtailtrack::queue::{EnqueueOutcome, QueuedRequest, RequestKey};
use wagtailtrack::resource::RequestClass;
use wagtailtrack::time::{Deadline, MonoTime};
use wagtailtrack::units::Percent;
use wagtailtrack::wire::InstanceRecord;

use super::ZoneService;
use super::zone_service::Event;

const DEADLINE: Duration = Duration::from_secs(2);
pub(super) const HOME_DELAY: Duration = Duration::from_micros(300);
pub(super) const CROSSING_DELAY: Duration = Duration::from_millis(3);
/// Time after which an offer to an unreachable instance is given up.
const LOST_AFTER: Duration = Duration::from_millis(250);
const CLASS: RequestClass = RequestClass::Lookup;

pub(super) struct ZoneRequest {
    pub(super) ingress: usize,
    pub(super) choice: ZoneChoice,
    pub(super) history: AttemptHistory,
    pub(super) limits: WaitLimits,
    pub(super) room: ZoneRoom,
    pub(super) has_told: bool,
    pub(super) sent: MonoTime,
    pub(super) goal: Deadline,
    pub(super) deadline: Deadline,
    pub(super) instance: usize,
    /// Longest expected wait that the present offer permits.
    pub(super) max_wait: Option<Duration>,
    pub(super) is_brief_offer: bool,
    pub(super) offers: usize,
}

impl ZoneService {
    pub(super) fn arrive(&mut self, number: usize) {
        let now = self.now;
        let ingress = &mut self.ingresses[number];
        let own = ingress.picker_zone();
        let room = ZoneRoom::of(&self.records, &own, |record| {
            ingress.picker.is_reachable(record, now)
        });
        let start = ZoneStart {
            has_home: room.is_usable(),
            is_planned: ingress.zones.draw_overflow(now, &mut self.rng),
            is_sample: false,
            no_wait_offers: 4,
        };
        self.results[ingress.home].arrived += 1;
        let key = RequestKey {
            boot: BootId(1),
            request: RequestId(self.rng.u64(..)),
        };
        let goal = now.after(self.goal);
        let request = ZoneRequest {
            ingress: number,
            choice: ZoneChoice::open(start),
            history: AttemptHistory::default().with_no_wait_offers(4),
            limits: WaitLimits::open(None, DEADLINE, room.median(), false),
            has_told: !room.is_usable(),
            room,
            sent: now,
            goal,
            deadline: now.after(DEADLINE),
            instance: 0,
            max_wait: None,
            is_brief_offer: false,
            offers: 0,
        };
        self.requests.insert(key, request);
        self.offer(key);
    }

    /// Offers the request to the next instance.
    pub(super) fn offer(&mut self, key: RequestKey) {
        let now = self.now;
        let Some(mut request) = self.requests.remove(&key) else {
            return;
        };
        let home = self.ingresses[request.ingress].home;
        let left = Some(request.goal.remaining(now));
        let remaining = request.deadline.remaining(now);
        let (median, is_reduced) = (request.room.median(), request.room.is_reduced());
        request.limits = WaitLimits::open(left, remaining, median, is_reduced);
        let is_last = request.history.is_last() || request.offers >= MAX_OFFERS;
        request.offers += 1;
        let picked = match is_last || remaining.is_zero() {
            true => None,
            false => self.pick(&mut request),
        };
        let Some(instance) = picked else {
            self.results[home].refused += 1;
            return;
        };
        let name = self.records[instance].instance.clone();
        self.ingresses[request.ingress].picker.on_start(&name, now);
        request.history.record_attempt(name);
        request.instance = instance;
        let is_crossing = self.instances[instance].home != home;
        let (delay, event) = match is_crossing {
            true if self.is_partitioned => (LOST_AFTER, Event::Refused(key, None)),
            true => (CROSSING_DELAY, Event::Offered(key)),
            false => (HOME_DELAY, Event::Offered(key)),
        };
        if is_crossing {
            Self::count(&mut self.results[home].crossings, now);
        }
        self.requests.insert(key, request);
        self.schedule(delay, event);
    }

    fn pick(&mut self, request: &mut ZoneRequest) -> Option<usize> {
        let now = self.now;
        loop {
            let ingress = &mut self.ingresses[request.ingress];
            let own = ingress.picker_zone();
            let step = request.choice.next_step(&request.limits, &mut self.rng)?;
            if request.choice.is_past_home_offers() && !request.has_told {
                request.has_told = true;
                let limit = request.limits.home;
                let wait = request.choice.home_wait().unwrap_or(limit * 2);
                let room = &request.room;
                ingress
                    .zones
                    .on_home_busy(wait, limit, room, now, &mut self.rng);
            }
            request.is_brief_offer = matches!(step, ZoneStep::Home | ZoneStep::Away);
            request.max_wait = Some(Duration::ZERO);
            let is_reachable = |record: &InstanceRecord| ingress.picker.is_reachable(record, now);
            let zone =
                ingress
                    .zones
                    .draw_other(&self.records, &own, is_reachable, now, &mut self.rng);
            let mut may_wait = true;
            let scope = match &step {
                ZoneStep::Home => PickScope::Zone(&own),
                ZoneStep::Sample | ZoneStep::Away => {
                    request.max_wait = Some(request.limits.service_time);
                    match &zone {
                        OtherZone::Found(zone) => PickScope::Zone(zone),
                        OtherZone::Full => {
                            request.choice.on_full();
                            continue;
                        }
                        OtherZone::Missing => {
                            request.choice.on_none();
                            continue;
                        }
                    }
                }
                ZoneStep::Wait(instance, bound) => {
                    request.history.retry_instance(instance);
                    request.max_wait = *bound;
                    may_wait = !self.idempotent;
                    PickScope::Instance(instance)
                }
                ZoneStep::HomeQueue => {
                    request.max_wait = None;
                    PickScope::Zone(&own)
                }
                ZoneStep::Anywhere => {
                    request.max_wait = None;
                    may_wait = !self.idempotent && request.history.has_busy();
                    PickScope::All
                }
            };
            let criteria = PickCriteria {
                floor: Percent::new(50).unwrap(),
                tried: request.history.tried(),
                idempotent: self.idempotent,
                may_wait,
                allows_trial: true,
                is_bulk: false,
                scope,
            };
            let picked = ingress
                .picker
                .pick(&self.records, &criteria, now, &mut self.rng);
            if let Some(picked) = picked {
                return Some(picked.index);
            }
            if step == ZoneStep::Anywhere && !request.history.retry_busy() {
                return None;
            }
            request.choice.on_none();
        }
    }

    /// The egress takes the offer or refuses it.
    pub(super) fn offered(&mut self, key: RequestKey) {
        let now = self.now;
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let instance = request.instance;
        let delay = self.delay(request);
        let queue = &mut self.instances[instance].queue;
        let account = "a".parse().unwrap();
        let wait = queue.expected_wait(CLASS, &account, now);
        if request.max_wait.is_some_and(|bound| wait > bound) {
            self.schedule(delay, Event::Refused(key, Some(wait)));
            return;
        }
        let queued = QueuedRequest {
            key,
            account,
            class: CLASS,
            deadline: request.deadline,
        };
        match queue.enqueue(queued, now) {
            EnqueueOutcome::Start => self.start(instance, key),
            EnqueueOutcome::Wait => {}
            EnqueueOutcome::Refuse { .. } => self.schedule(delay, Event::Overloaded(key)),
        }
    }

    pub(super) fn start(&mut self, instance: usize, key: RequestKey) {
        let span = self.service_time.mul_f64(0.5 + self.rng.f64());
        self.schedule(span, Event::Done(instance, key));
    }
}
