//! An admitted request and the attempts at it.

use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;

use crate::ids::{InstanceId, RequestId};
use crate::ingress::answer_response::{long_response, whole_response};
use crate::ingress::attempt_task::{AttemptEnd, AttemptTask};
use crate::ingress::header_rules::HeaderList;
use crate::ingress::ingress_handle::UnderWay;
use crate::ingress::{AttemptHistory, IngressHandle, RequestPlan, RequestRefusal};
use crate::resource::RequestClass;
use crate::retry::RetryBudget;
use crate::time::{Deadline, MonoTime};
use crate::verdict::Verdict;
use crate::wire::{AnswerHead, InstanceRecord, LoadFigure, RequestOffer};

/// Shortest time given to an attempt that may be repeated elsewhere.
const LEAST_PATIENCE: Duration = Duration::from_millis(250);
/// Patience with an attempt, in medians of the instance's service time.
const PATIENCE_MEDIANS: u32 = 20;

/// A request that was admitted.
pub(crate) struct CallerRequest<'a> {
    pub(crate) ingress: &'a IngressHandle,
    pub(crate) id: RequestId,
    pub(crate) plan: RequestPlan,
    pub(crate) deadline: Deadline,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: HeaderList,
    pub(crate) body: Bytes,
}

impl CallerRequest<'_> {
    /// Tries instances in turn, as far as the verdicts, the budget and the deadline allow.
    pub(crate) async fn attempt_all(
        &self,
        count: UnderWay,
    ) -> Result<Response<BoxBody>, RequestRefusal> {
        let mut history = AttemptHistory::default();
        let mut held = None;
        self.with_budget(|budget, now| budget.first_attempt(now));
        while let Some(record) = self.next_record(&mut history) {
            let may_wait = history.may_wait();
            history.begin(record.instance.clone());
            match self.attempt(&record, &history, may_wait).await {
                AttemptEnd::Whole { head, body, load } => {
                    self.note_answer(&record.instance, load);
                    if !self.is_worth_repeating(&head)
                        || !self.may_retry(&history, Verdict::MayHaveRun)
                    {
                        self.complete(&head);
                        return Ok(whole_response(&head, body));
                    }
                    history.answered();
                    held = Some((head, body));
                }
                AttemptEnd::Long(long) => {
                    self.note_answer(&record.instance, long.head.load);
                    self.complete(&long.head);
                    let clock = self.ingress.sources.clock;
                    return Ok(long_response(long, self.deadline, clock, count));
                }
                AttemptEnd::Failed { failure, load } => {
                    self.note_failure(&record.instance, load);
                    history.fail(failure);
                    if !self.may_retry(&history, failure.verdict) {
                        break;
                    }
                }
            }
        }
        match held {
            Some((head, body)) => Ok(whole_response(&head, body)),
            None => Err(history.refusal(self.has_passed())),
        }
    }

    /// The instance to try next; busy ones again when no other is left.
    fn next_record(&self, history: &mut AttemptHistory) -> Option<InstanceRecord> {
        if let Some(record) = self.pick(history.tried()) {
            return Some(record);
        }
        if !history.recall_busy() {
            return None;
        }
        self.pick(history.tried())
    }

    fn has_passed(&self) -> bool {
        self.deadline.has_passed(self.ingress.sources.clock.now())
    }

    fn pick(&self, tried: &[InstanceId]) -> Option<InstanceRecord> {
        let records = self
            .ingress
            .sources
            .members
            .instances_of(&self.plan.service);
        if self.ingress.sources.baseline.round_robin {
            return self.pick_in_turn(&records, tried);
        }
        let now = self.ingress.sources.clock.now();
        let instance = self
            .ingress
            .with_picker(&self.plan.service, |picker, rng| {
                picker.retain(&records);
                let floor = self.plan.floor;
                let instance =
                    picker.pick(&records, floor, tried, self.plan.idempotent, now, rng)?;
                picker.started(&instance, now);
                Some(instance)
            })?;
        record_of(&records, &instance)
    }

    fn pick_in_turn(
        &self,
        records: &[InstanceRecord],
        tried: &[InstanceId],
    ) -> Option<InstanceRecord> {
        let mut state = self.ingress.state.borrow_mut();
        let turns = state.turns.entry(self.plan.service.clone()).or_default();
        let instance = turns.pick(records, tried)?;
        record_of(records, &instance)
    }

    async fn attempt(
        &self,
        record: &InstanceRecord,
        history: &AttemptHistory,
        may_wait: bool,
    ) -> AttemptEnd {
        let sources = &self.ingress.sources;
        let deadline = self.attempt_deadline(record, history);
        let task = AttemptTask {
            peers: &sources.peers,
            clock: sources.clock,
            address: record.egress,
            deadline,
            buffer_bytes: sources.proxy.buffer_answer.as_usize(),
        };
        task.run(self.offer(record, deadline, may_wait)).await
    }

    /// An idempotent request leaves time for another attempt.
    fn attempt_deadline(&self, record: &InstanceRecord, history: &AttemptHistory) -> Deadline {
        let now = self.ingress.sources.clock.now();
        let remaining = self.deadline.remaining(now);
        if !self.plan.idempotent || history.is_last() {
            return self.deadline;
        }
        let median = Duration::from_micros(u64::from(record.median_micros));
        let patience = match self.plan.class {
            RequestClass::Extract => remaining / 2,
            _ if record.median_micros == 0 => remaining / 2,
            _ => (median * PATIENCE_MEDIANS).max(LEAST_PATIENCE),
        };
        now.after(patience.min(remaining))
    }

    fn offer(&self, record: &InstanceRecord, deadline: Deadline, may_wait: bool) -> RequestOffer {
        let sources = &self.ingress.sources;
        let remaining = deadline.remaining(sources.clock.now());
        RequestOffer {
            boot: sources.boot,
            request: self.id,
            instance: record.instance.clone(),
            service: self.plan.service.clone(),
            route: self.plan.route.clone(),
            account: self.plan.account.clone(),
            class: self.plan.class,
            idempotent: self.plan.idempotent,
            may_wait,
            remaining_micros: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
            method: self.method.clone(),
            target: self.target.clone(),
            headers: self.headers.clone(),
            body: self.body.to_vec(),
        }
    }

    fn note_answer(&self, instance: &InstanceId, load: LoadFigure) {
        let now = self.ingress.sources.clock.now();
        self.ingress.with_picker(&self.plan.service, |picker, _| {
            picker.answered(instance, load, now)
        });
    }

    fn note_failure(&self, instance: &InstanceId, load: Option<LoadFigure>) {
        let now = self.ingress.sources.clock.now();
        self.ingress
            .with_picker(&self.plan.service, |picker, _| match load {
                Some(load) => picker.answered(instance, load, now),
                None => picker.unreachable(instance, now),
            });
    }

    fn is_worth_repeating(&self, head: &AnswerHead) -> bool {
        self.plan.idempotent && matches!(head.status, 500 | 502 | 503 | 504)
    }

    fn may_retry(&self, history: &AttemptHistory, verdict: Verdict) -> bool {
        if !history.allows_retry(verdict, self.plan.idempotent) || self.has_passed() {
            return false;
        }
        let allowed = verdict == Verdict::NotRun || self.with_budget(RetryBudget::try_retry);
        if allowed && !history.was_glance() {
            self.ingress.state.borrow_mut().totals.retries += 1;
        }
        allowed
    }

    fn with_budget<T>(&self, act: impl FnOnce(&mut RetryBudget, MonoTime) -> T) -> T {
        let now = self.ingress.sources.clock.now();
        let share = self.plan.retry_budget;
        self.ingress
            .with_budget(&self.plan.service, share, |budget| act(budget, now))
    }

    fn complete(&self, head: &AnswerHead) {
        if head.status < 500 {
            let mut state = self.ingress.state.borrow_mut();
            state
                .credits
                .complete(&self.plan.account, self.plan.class, self.plan.weight.get());
        }
    }
}

fn record_of(records: &[InstanceRecord], instance: &InstanceId) -> Option<InstanceRecord> {
    let mut records = records.iter();
    records.find(|record| record.instance == *instance).cloned()
}
