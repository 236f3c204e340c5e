//! State machine that submits one operator's change: read, plan, commit, and resolve lost answers.

use crate::config::{
    Catalog, ChangeOutcome, ChangePlan, ChangeRefusal, ChangeRequest, ConfigChange,
    OperationRecord, PlanRows, plan_change,
};
use crate::ids::{Revision, Version};
use crate::platform::{CommitOutcome, PlatformError, RowKey, TableRow, Transaction};
use crate::time::{Deadline, MonoTime};

/// What the driver of a [`ChangeSubmission`] does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmissionAction {
    /// Read these rows in one consistent read, then call `rows_read`.
    Read(Vec<RowKey>),
    /// Bring the catalog forward to this revision, then call `caught_up`.
    CatchUp(Revision),
    /// Send the transaction, then call `commit_ended`.
    Commit(Transaction),
    /// Answer the operator with the outcome, and apply the committed change to this daemon's
    /// catalog if one is given.
    Finish(ChangeOutcome, Option<Box<ConfigChange>>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum SubmissionState {
    Reading,
    CatchingUp(Box<PlanRows>),
    Committing,
    Done,
}

/// Submits one change without I/O of its own; its driver carries out each [`SubmissionAction`].
///
/// A transaction whose answer is lost may still take effect later. The same transaction is
/// resent, because its row checks let it commit only once. Resending ends when the operation's
/// row proves that it committed, or when a moved head proves that it never can. Until one of
/// these is known the outcome is `Unknown`, never accepted or refused.
#[derive(Debug)]
pub struct ChangeSubmission {
    request: ChangeRequest,
    deadline: Deadline,
    state: SubmissionState,
    plan: Option<ChangePlan>,
    /// Whether a sent transaction may still commit: its answer was lost.
    in_doubt: bool,
}

impl ChangeSubmission {
    /// Starts the submission of `request`. Once `deadline` has passed, no read or commit is retried.
    #[must_use]
    pub fn begin(request: ChangeRequest, deadline: Deadline) -> (Self, SubmissionAction) {
        let action = SubmissionAction::Read(PlanRows::row_keys(&request));
        let submission = Self {
            request,
            deadline,
            state: SubmissionState::Reading,
            plan: None,
            in_doubt: false,
        };
        (submission, action)
    }

    /// Handles the rows that `SubmissionAction::Read` asked for.
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

    /// Resumes after `SubmissionAction::CatchUp`, whether or not the catalog could be brought forward.
    pub fn caught_up(&mut self, catalog: &Catalog, now: MonoTime) -> SubmissionAction {
        match std::mem::replace(&mut self.state, SubmissionState::Reading) {
            SubmissionState::CatchingUp(rows) if rows.head.revision == catalog.revision() => {
                self.plan_from(&rows, catalog)
            }
            _ => self.retry_if_in_doubt("the change log could not be read up to the head", now),
        }
    }

    /// Handles the answer to the transaction.
    pub fn commit_ended(
        &mut self,
        outcome: Result<CommitOutcome, PlatformError>,
        now: MonoTime,
    ) -> SubmissionAction {
        match outcome {
            Ok(CommitOutcome::Committed) => self.accept_plan(),
            // Either another change moved the head, or this one committed and its answer was lost.
            Ok(CommitOutcome::Conflict(_)) => {
                self.read_again("a concurrent change was committed first", now)
            }
            Err(PlatformError::Unavailable(cause)) => self.retry_if_in_doubt(&cause, now),
            Err(PlatformError::ResponseLost(cause)) => {
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
            return self.accept_record(record);
        }
        match self.planned_head().filter(|_| self.in_doubt) {
            Some(planned) if rows.head.row_version == planned => return self.resend(now),
            Some(planned) if rows.head.row_version < planned => {
                return self.read_again("the platform returned a stale head", now);
            }
            // The head moved without this operation, so the transaction sent before can never commit.
            _ => self.in_doubt = false,
        }
        if rows.head.revision > catalog.revision() {
            let revision = rows.head.revision;
            self.state = SubmissionState::CatchingUp(Box::new(rows));
            return SubmissionAction::CatchUp(revision);
        }
        if rows.head.revision < catalog.revision() {
            return self.read_again("the platform returned a stale head", now);
        }
        self.plan_from(&rows, catalog)
    }

    fn plan_from(&mut self, rows: &PlanRows, catalog: &Catalog) -> SubmissionAction {
        match plan_change(&self.request, rows, catalog) {
            Ok(plan) => {
                let transaction = plan.transaction.clone();
                self.plan = Some(plan);
                self.state = SubmissionState::Committing;
                SubmissionAction::Commit(transaction)
            }
            Err(refusal) => self.finish(ChangeOutcome::Refused(refusal), None),
        }
    }

    fn resend(&mut self, now: MonoTime) -> SubmissionAction {
        match &self.plan {
            Some(plan) if !self.deadline.has_passed(now) => {
                self.state = SubmissionState::Committing;
                SubmissionAction::Commit(plan.transaction.clone())
            }
            _ => self.give_up("deadline exceeded"),
        }
    }

    fn read_again(&mut self, cause: &str, now: MonoTime) -> SubmissionAction {
        if self.deadline.has_passed(now) {
            return self.give_up(cause);
        }
        self.state = SubmissionState::Reading;
        SubmissionAction::Read(PlanRows::row_keys(&self.request))
    }

    /// Reads again while a transaction is in doubt; otherwise nothing was committed and the change
    /// fails at once.
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

    fn accept_plan(&mut self) -> SubmissionAction {
        let change = self.plan.take().map(|plan| plan.change);
        let revision = change
            .as_ref()
            .map_or_else(Revision::default, |change| change.revision);
        let outcome = ChangeOutcome::Accepted {
            revision,
            repeated: false,
        };
        self.finish(outcome, change)
    }

    /// Accepts the change because its operation's row exists. The row was written by this
    /// submission if the content hashes agree, else by an earlier request.
    fn accept_record(&mut self, record: &OperationRecord) -> SubmissionAction {
        match &self.plan {
            Some(plan) if plan.change.content_hash() == record.content => self.accept_plan(),
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
        self.state = SubmissionState::Done;
        SubmissionAction::Finish(outcome, change.map(Box::new))
    }
}
