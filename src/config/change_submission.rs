//! One operator's change from the first read to a true answer.

use crate::config::{
    Catalog, ChangeOutcome, ChangePlan, ChangeRefusal, ChangeRequest, ConfigChange,
    OperationRecord, PlanRows, plan_change,
};
use crate::ids::{Revision, Version};
use crate::platform::{CommitOutcome, PlatformError, RowKey, TableRow, Transaction};
use crate::time::{Deadline, MonoTime};

/// What the driver of an attempt does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmissionAction {
    /// Reads these rows from one state, then calls `rows_read`.
    Read(Vec<RowKey>),
    /// Brings the catalog to this revision, then calls `caught_up`.
    CatchUp(Revision),
    /// Sends the transaction, then calls `commit_ended`.
    Commit(Transaction),
    /// Answers the operator; the change is applied here if there is one.
    Finish(ChangeOutcome, Option<Box<ConfigChange>>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum AttemptStep {
    Reading,
    CatchingUp(Box<PlanRows>),
    Committing,
    Done,
}

/// A pure state machine; it never answers yes or no to what it does not know.
///
/// A transaction whose answer is lost may still take effect later. It is sent again as it
/// is, for its checks let it take effect only once, until the operation's row proves that it
/// did, or a moved head proves that it never can.
#[derive(Debug)]
pub struct ChangeSubmission {
    request: ChangeRequest,
    deadline: Deadline,
    step: AttemptStep,
    plan: Option<ChangePlan>,
    in_doubt: bool,
}

impl ChangeSubmission {
    /// Begins `request`, to be answered by `deadline`.
    #[must_use]
    pub fn begin(request: ChangeRequest, deadline: Deadline) -> (Self, SubmissionAction) {
        let action = SubmissionAction::Read(PlanRows::keys(&request));
        let attempt = Self {
            request,
            deadline,
            step: AttemptStep::Reading,
            plan: None,
            in_doubt: false,
        };
        (attempt, action)
    }

    /// Takes the rows that were asked for.
    pub fn rows_read(
        &mut self,
        rows: Result<Vec<Option<TableRow>>, PlatformError>,
        catalog: &Catalog,
        now: MonoTime,
    ) -> SubmissionAction {
        let parsed = match rows {
            Ok(rows) => PlanRows::from_rows(&self.request, &rows),
            Err(cause) => Err(cause.to_string()),
        };
        match parsed {
            Ok(rows) => self.decide(rows, catalog, now),
            Err(cause) => self.retry_if_in_doubt(&cause, now),
        }
    }

    /// Goes on once the catalog was brought forward, or could not be.
    pub fn caught_up(&mut self, catalog: &Catalog, now: MonoTime) -> SubmissionAction {
        match std::mem::replace(&mut self.step, AttemptStep::Reading) {
            AttemptStep::CatchingUp(rows) if rows.head.revision == catalog.revision() => {
                self.plan_from(&rows, catalog)
            }
            _ => self.retry_if_in_doubt("the configuration's log could not be read", now),
        }
    }

    /// Takes the answer to the transaction.
    pub fn commit_ended(
        &mut self,
        outcome: Result<CommitOutcome, PlatformError>,
        now: MonoTime,
    ) -> SubmissionAction {
        match outcome {
            Ok(CommitOutcome::Committed) => self.accepted_plan(),
            // Another change moved the head, or this one took effect before its answer was lost.
            Ok(CommitOutcome::Conflict(_)) => self.read_again("operators' changes collide", now),
            Err(PlatformError::Unavailable(cause)) => self.retry_if_in_doubt(&cause, now),
            Err(PlatformError::Unknown(cause)) => {
                self.in_doubt = true;
                self.read_again(&cause, now)
            }
        }
    }

    fn decide(&mut self, rows: PlanRows, catalog: &Catalog, now: MonoTime) -> SubmissionAction {
        if let Some(record) = &rows.operation {
            if record.fingerprint != self.request.fingerprint() {
                let reused = ChangeRefusal::OperationReused(self.request.operation.clone());
                return self.finish(ChangeOutcome::Refused(reused), None);
            }
            return self.accepted(record);
        }
        match self.planned_head().filter(|_| self.in_doubt) {
            Some(planned) if rows.head.row_version == planned => return self.send_again(now),
            Some(planned) if rows.head.row_version < planned => {
                return self.read_again("the platform answered from an old state", now);
            }
            // The head moved without this operation: what was sent before fails its check for ever.
            _ => self.in_doubt = false,
        }
        if rows.head.revision > catalog.revision() {
            let revision = rows.head.revision;
            self.step = AttemptStep::CatchingUp(Box::new(rows));
            return SubmissionAction::CatchUp(revision);
        }
        if rows.head.revision < catalog.revision() {
            return self.read_again("the platform answered from an old state", now);
        }
        self.plan_from(&rows, catalog)
    }

    fn plan_from(&mut self, rows: &PlanRows, catalog: &Catalog) -> SubmissionAction {
        match plan_change(&self.request, rows, catalog) {
            Ok(plan) => {
                let transaction = plan.transaction.clone();
                self.plan = Some(plan);
                self.step = AttemptStep::Committing;
                SubmissionAction::Commit(transaction)
            }
            Err(refusal) => self.finish(ChangeOutcome::Refused(refusal), None),
        }
    }

    fn send_again(&mut self, now: MonoTime) -> SubmissionAction {
        match &self.plan {
            Some(plan) if !self.deadline.has_passed(now) => {
                self.step = AttemptStep::Committing;
                SubmissionAction::Commit(plan.transaction.clone())
            }
            _ => self.give_up("no time left"),
        }
    }

    fn read_again(&mut self, cause: &str, now: MonoTime) -> SubmissionAction {
        if self.deadline.has_passed(now) {
            return self.give_up(cause);
        }
        self.step = AttemptStep::Reading;
        SubmissionAction::Read(PlanRows::keys(&self.request))
    }

    /// An outage is answered at once, unless an earlier answer was lost.
    fn retry_if_in_doubt(&mut self, cause: &str, now: MonoTime) -> SubmissionAction {
        if self.in_doubt {
            return self.read_again(cause, now);
        }
        self.give_up(cause)
    }

    fn give_up(&mut self, cause: &str) -> SubmissionAction {
        let outcome = if self.in_doubt {
            ChangeOutcome::Unknown(self.request.operation.clone())
        } else {
            ChangeOutcome::NotAccepted(cause.to_owned())
        };
        self.finish(outcome, None)
    }

    fn accepted_plan(&mut self) -> SubmissionAction {
        let change = self.plan.take().map(|plan| plan.change);
        let revision = change
            .as_ref()
            .map_or_else(Revision::default, |made| made.revision);
        let outcome = ChangeOutcome::Accepted {
            revision,
            repeated: false,
        };
        self.finish(outcome, change)
    }

    /// The operation's row exists; it may be of this attempt or of an earlier request.
    fn accepted(&mut self, record: &OperationRecord) -> SubmissionAction {
        match &self.plan {
            Some(plan) if plan.change.content_hash() == record.content => self.accepted_plan(),
            _ => {
                let revision = record.revision;
                let repeated = true;
                self.finish(ChangeOutcome::Accepted { revision, repeated }, None)
            }
        }
    }

    fn planned_head(&self) -> Option<Version> {
        let plan = self.plan.as_ref()?;
        let head = plan.transaction.checks.last()?;
        Some(head.version)
    }

    fn finish(&mut self, outcome: ChangeOutcome, change: Option<ConfigChange>) -> SubmissionAction {
        self.step = AttemptStep::Done;
        SubmissionAction::Finish(outcome, change.map(Box::new))
    }
}
