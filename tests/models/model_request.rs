//! The life cycle of a simulated request.

use std::time::Duration;

use wagtailtrack::health::SampleOutcome;
use wagtailtrack::ids::{AccountId, BootId, InstanceId, RequestId};
use wagtailtrack::queue::{EnqueueOutcome, QueueAction, QueuedRequest, RequestKey};
use wagtailtrack::resource::RequestClass;
use wagtailtrack::time::{Deadline, MonoTime};
use wagtailtrack::wire::HealthState;

use super::instance_fault::healthy_time;
use super::service_model::{Event, ServiceModel, WARM_UP};

/// Instances to which a request is offered before it is dropped.
const MAX_TRIES: usize = 3;
/// Requests that arrive this shortly before the end are not counted.
const COOL_DOWN: Duration = Duration::from_secs(1);

/// A request that has neither completed nor been dropped.
pub(super) struct ModelRequest {
    pub(super) stream: usize,
    pub(super) ingress: usize,
    pub(super) instance: usize,
    pub(super) tried: Vec<InstanceId>,
    pub(super) sent: MonoTime,
    pub(super) deadline: Deadline,
    /// When it started on the instance and how it will end there; `None` in the outcome if it will not.
    pub(super) started: Option<(MonoTime, Option<SampleOutcome>)>,
}

impl ServiceModel {
    /// Whether a request sent at `sent` is counted: after the warm-up and not shortly before the end.
    fn is_counted(&self, sent: MonoTime) -> bool {
        sent >= WARM_UP && sent + COOL_DOWN < self.until
    }

    pub(super) fn arrive(&mut self, stream: usize) {
        let is_counted = self.is_counted(self.now);
        let load = &mut self.streams[stream];
        load.sent += u32::from(is_counted);
        let gap = -(1.0 - self.rng.f64()).ln() / load.rate;
        let deadline = self.now.after(load.timeout);
        let timeout = load.timeout;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive(stream));
        self.budget.record_attempt(self.now);
        let key = RequestKey {
            boot: BootId(1),
            request: RequestId(self.serial),
        };
        let request = ModelRequest {
            stream,
            ingress: self.rng.usize(0..self.pickers.len()),
            instance: 0,
            tried: Vec::new(),
            sent: self.now,
            deadline,
            started: None,
        };
        self.requests.insert(key, request);
        self.schedule(timeout, Event::TimeOut(key));
        self.offer(key);
    }

    /// Offers a request to the next instance, or drops it if there is none.
    fn offer(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let (ingress, deadline) = (request.ingress, request.deadline);
        let load = &self.streams[request.stream];
        let account: AccountId = load.account.parse().unwrap();
        let class = load.class;
        let tries = request.tried.len();
        let tried = request.tried.clone();
        let picked = if tries < MAX_TRIES {
            self.pick(ingress, &tried, class)
        } else {
            None
        };
        let Some(instance) = picked else {
            self.requests.remove(&key);
            return;
        };
        let name = self.records[instance].instance.clone();
        self.pickers[ingress].on_start(&name, self.now);
        let request = self.requests.get_mut(&key).unwrap();
        request.instance = instance;
        request.tried.push(name);
        let queued = if self.policy.is_fair {
            QueuedRequest {
                key,
                account,
                class,
                deadline,
            }
        } else {
            QueuedRequest {
                key,
                account: "all".parse().unwrap(),
                class: RequestClass::Lookup,
                deadline: self.now.after(Duration::from_secs(3_600)),
            }
        };
        match self.instances[instance].queue.enqueue(queued, self.now) {
            EnqueueOutcome::Start => self.start(instance, key),
            EnqueueOutcome::Wait => {}
            EnqueueOutcome::Refuse { .. } => self.refused(instance, key),
        }
    }

    fn pick(&mut self, ingress: usize, tried: &[InstanceId], class: RequestClass) -> Option<usize> {
        let view = self.views.front().unwrap();
        if self.policy.picks_by_load {
            let picker = &mut self.pickers[ingress];
            let is_idempotent = class != RequestClass::Filing;
            let (floor, now) = (self.floor, self.now);
            let rng = &mut self.rng;
            let picked = picker.pick_id(view, floor, tried, is_idempotent, now, rng)?;
            return view.iter().position(|record| record.instance == picked);
        }
        let turn = &mut self.turns[ingress];
        for _ in 0..view.len() {
            *turn = (*turn + 1) % view.len();
            let is_in = view[*turn].health != HealthState::Ejected;
            if is_in && !tried.contains(&view[*turn].instance) {
                return Some(*turn);
            }
        }
        None
    }

    fn start(&mut self, instance: usize, key: RequestKey) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        self.starts[instance] += u32::from(self.now >= WARM_UP);
        let class = self.streams[request.stream].class;
        let nominal = healthy_time(class, &mut self.rng);
        let now = self.now;
        let active = self.instances[instance]
            .fault
            .filter(|plan| now >= plan.begins);
        let response = match active {
            Some(plan) => plan
                .fault
                .apply(nominal, now.since(plan.begins), &mut self.rng),
            None => Some((SampleOutcome::Good, nominal)),
        };
        request.started = Some((now, response.map(|(outcome, _)| outcome)));
        if let Some((_, time)) = response {
            self.schedule(time, Event::Done(instance, key));
        }
    }

    pub(super) fn done(&mut self, instance: usize, key: RequestKey) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let Some((started, Some(outcome))) = request.started else {
            return;
        };
        if request.instance != instance {
            return;
        }
        let service_time = self.now.since(started);
        let actions = self.instances[instance]
            .queue
            .finish(key, service_time, self.now);
        self.observe(instance, key, outcome, service_time);
        self.answered(instance, key);
        if outcome == SampleOutcome::Good {
            let request = self.requests.remove(&key).unwrap();
            let is_counted = self.is_counted(request.sent);
            let load = &mut self.streams[request.stream];
            if is_counted {
                load.completed += 1;
                load.latencies.push(self.now.since(request.sent));
            }
        } else if self.budget.try_retry(self.now) {
            self.requests.get_mut(&key).unwrap().started = None;
            self.offer(key);
        } else {
            self.requests.remove(&key);
        }
        self.apply_actions(instance, actions);
    }

    pub(super) fn time_out(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let instance = request.instance;
        if let Some((started, _)) = request.started {
            let service_time = self.now.since(started);
            self.observe(instance, key, SampleOutcome::Stalled, service_time);
        }
        let actions = self.instances[instance].queue.cancel(key, self.now);
        self.answered(instance, key);
        self.requests.remove(&key);
        self.apply_actions(instance, actions);
    }

    fn refused(&mut self, instance: usize, key: RequestKey) {
        self.answered(instance, key);
        self.offer(key);
    }

    fn answered(&mut self, instance: usize, key: RequestKey) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let load = self.instances[instance].queue.load();
        let name = &self.records[instance].instance;
        self.pickers[request.ingress].on_response(name, load, self.now);
    }

    pub(super) fn apply_actions(&mut self, instance: usize, actions: Vec<QueueAction>) {
        for action in actions {
            match action {
                QueueAction::Start(key) => self.start(instance, key),
                QueueAction::Refuse { key, .. } => self.refused(instance, key),
            }
        }
    }
}
