//! Concurrent operators submit changes over a platform that loses requests and answers and delays
//! commits.

mod common;

use std::collections::BTreeMap;

use common::{MemoryMode, MemoryPlatform};
use wagtailtrack::config::{
    Catalog, ChangeOutcome, ChangeRequest, ChangeSubmission, ConfigAction, ConfigChange,
    OperationRecord, ResourceEdit, RowLayout, SubmissionAction, VersionCondition,
};
use wagtailtrack::ids::{Revision, Version};
use wagtailtrack::platform::{PlatformError, Transaction};
use wagtailtrack::resource::{ClientAccount, ConfigResource, RateLimit, ResourceName};
use wagtailtrack::time::{Deadline, MonoTime};
use wagtailtrack::units::{Burst, Rate};

const SEEDS: u64 = 400;
const OPERATORS: usize = 3;
const CHANGES_EACH: usize = 6;
const SUBMISSION_MILLIS: u64 = 60;

/// One operator's daemon: its catalog and the submission in progress.
struct Operator {
    catalog: Catalog,
    in_progress: Option<(ChangeRequest, ChangeSubmission, SubmissionAction)>,
    remaining: usize,
}

/// Simulation of one seed: operators, their platform and the answers.
struct Race {
    rng: fastrand::Rng,
    platform: MemoryPlatform,
    /// Transactions whose answer was lost and that may commit later.
    delayed: Vec<Transaction>,
    operators: Vec<Operator>,
    answers: Vec<(ChangeRequest, ChangeOutcome)>,
    now: u64,
}

impl Race {
    fn open(seed: u64) -> Self {
        let operator = || Operator {
            catalog: Catalog::default(),
            in_progress: None,
            remaining: CHANGES_EACH,
        };
        Self {
            rng: fastrand::Rng::with_seed(seed),
            platform: MemoryPlatform::default(),
            delayed: Vec::new(),
            operators: (0..OPERATORS).map(|_| operator()).collect(),
            answers: Vec::new(),
            now: 0,
        }
    }

    fn run(mut self) -> Self {
        while self.operators.iter().any(|operator| operator.remaining > 0) {
            self.now += self.rng.u64(..4);
            if !self.delayed.is_empty() && self.rng.u8(..4) == 0 {
                let late = self
                    .delayed
                    .swap_remove(self.rng.usize(..self.delayed.len()));
                self.platform.table.borrow_mut().commit(&late);
            }
            let index = self.rng.usize(..OPERATORS);
            self.step(index);
        }
        for late in std::mem::take(&mut self.delayed) {
            self.platform.table.borrow_mut().commit(&late);
        }
        self
    }

    fn step(&mut self, index: usize) {
        if self.operators[index].remaining == 0 {
            return;
        }
        let (request, mut submission, action) = match self.operators[index].in_progress.take() {
            Some(in_progress) => in_progress,
            None => self.begin(index),
        };
        let now = MonoTime::from_millis(self.now);
        let next = match action {
            SubmissionAction::Read(keys) => {
                let rows = match self.rng.u8(..10) {
                    0 => Err(PlatformError::Unavailable("slow".to_owned())),
                    _ => self.platform.read_now(&keys),
                };
                submission.rows_read(rows, &self.operators[index].catalog, now)
            }
            SubmissionAction::CatchUp(revision) => {
                self.catch_up(index, revision);
                submission.caught_up(&self.operators[index].catalog, now)
            }
            SubmissionAction::Commit(transaction) => {
                let outcome = self.commit(&transaction);
                submission.commit_ended(outcome, now)
            }
            SubmissionAction::Finish(outcome, change) => {
                if let Some(change) = change {
                    let _ = self.operators[index].catalog.apply(&change);
                }
                self.answers.push((request, outcome));
                self.operators[index].remaining -= 1;
                return;
            }
        };
        self.operators[index].in_progress = Some((request, submission, next));
    }

    fn commit(
        &mut self,
        transaction: &Transaction,
    ) -> Result<wagtailtrack::platform::CommitOutcome, PlatformError> {
        let mode = match self.rng.u8(..10) {
            0 | 1 => MemoryMode::LoseAnswers,
            2 => MemoryMode::LoseQuestions,
            3 => MemoryMode::Down,
            4 | 5 => {
                self.delayed.push(transaction.clone());
                MemoryMode::LoseQuestions
            }
            _ => MemoryMode::Up,
        };
        self.platform.mode.set(mode);
        let outcome = self.platform.commit_now(transaction);
        self.platform.mode.set(MemoryMode::Up);
        outcome
    }

    /// Starts a new change, or repeats one that another daemon has in progress or has answered.
    fn begin(&mut self, index: usize) -> (ChangeRequest, ChangeSubmission, SubmissionAction) {
        let mut known: Vec<ChangeRequest> = self
            .operators
            .iter()
            .filter_map(|operator| operator.in_progress.as_ref())
            .map(|(request, ..)| request.clone())
            .collect();
        known.extend(self.answers.last().map(|(request, _)| request.clone()));
        let request = match self.rng.u8(..4) {
            0 if !known.is_empty() => known.swap_remove(self.rng.usize(..known.len())),
            _ => self.request(index),
        };
        let deadline = Deadline::at(MonoTime::from_millis(self.now + SUBMISSION_MILLIS));
        let (submission, action) = ChangeSubmission::begin(request.clone(), deadline);
        (request, submission, action)
    }

    /// Creates one of two accounts, or changes its rate limit on top of the version that is stored.
    fn request(&mut self, index: usize) -> ChangeRequest {
        let id = ["a1", "a2"][self.rng.usize(..2)];
        let account = ConfigResource::Account(ClientAccount::new(id.parse().unwrap()));
        let rate = ConfigResource::Rate(RateLimit {
            account: id.parse().unwrap(),
            rate: Rate::per_second(self.rng.u64(1..1_000)).unwrap(),
            burst: Burst::new(1).unwrap(),
        });
        let resource = match self.version(&account.name()) {
            None => account,
            Some(_) => rate,
        };
        let condition = match self.version(&resource.name()) {
            None => VersionCondition::Absent,
            Some(version) => VersionCondition::Matches(version),
        };
        ChangeRequest {
            operation: format!("op-{index}-{}", self.operators[index].remaining)
                .parse()
                .unwrap(),
            name: resource.name(),
            edit: ResourceEdit::Put(resource),
            condition,
        }
    }

    fn version(&self, name: &ResourceName) -> Option<Version> {
        let rows = self
            .platform
            .read_now(&[RowLayout::resource(name)])
            .unwrap();
        let value: serde_json::Value = serde_json::from_slice(&rows[0].as_ref()?.value).unwrap();
        Some(Version(value["version"].as_u64().unwrap()))
    }

    fn catch_up(&mut self, index: usize, revision: Revision) {
        let catalog = &mut self.operators[index].catalog;
        while catalog.revision() < revision {
            let key = RowLayout::log(catalog.revision().next());
            let rows = self.platform.read_now(&[key]).unwrap();
            let change = serde_json::from_slice(&rows[0].as_ref().unwrap().value).unwrap();
            catalog.apply(&change).unwrap();
        }
    }

    fn log(&self) -> Vec<ConfigChange> {
        let rows = self
            .platform
            .table
            .borrow()
            .scan("config/log/", None, usize::MAX);
        rows.iter()
            .map(|row| serde_json::from_slice(&row.value).unwrap())
            .collect()
    }

    fn record(&self, request: &ChangeRequest) -> Option<OperationRecord> {
        let key = RowLayout::operation(&request.operation);
        let rows = self.platform.read_now(&[key]).unwrap();
        Some(serde_json::from_slice(&rows[0].as_ref()?.value).unwrap())
    }
}

/// Checks the change log: consecutive revisions, each operation once, and each change on top of the
/// version that its condition expects.
fn check_history(race: &Race, seed: u64) {
    let mut versions: BTreeMap<String, Version> = BTreeMap::new();
    let mut operations = std::collections::BTreeSet::new();
    let conditions: BTreeMap<_, _> = race
        .answers
        .iter()
        .map(|(request, _)| (request.operation.clone(), request.condition))
        .collect();
    for (index, change) in race.log().iter().enumerate() {
        assert_eq!(change.revision.0, index as u64 + 1, "seed {seed}");
        assert!(operations.insert(change.operation.clone()), "seed {seed}");
        let name = change.name().to_string();
        let found = versions.insert(name, Version(change.revision.0));
        let expected = match conditions[&change.operation] {
            VersionCondition::Matches(version) => Some(version),
            _ => None,
        };
        assert_eq!(
            found, expected,
            "seed {seed}: {} lost an update",
            change.operation
        );
        assert!(matches!(change.action, ConfigAction::Put(_)));
    }
}

/// Whether another submission of the same operation was or may have been accepted.
fn repeated_elsewhere(race: &Race, request: &ChangeRequest) -> bool {
    race.answers.iter().any(|(other, outcome)| {
        let may_be_accepted = matches!(
            outcome,
            ChangeOutcome::Accepted { .. } | ChangeOutcome::Unknown(_)
        );
        may_be_accepted && other.operation == request.operation
    })
}

/// An outcome must agree with the change log: accepted changes are in it, refused ones are not. A
/// lost answer must not be reported as a failure, nor a resent transaction commit twice.
#[test]
fn outcomes_match_change_log() {
    let mut unknown = 0;
    let mut accepted = 0;
    for seed in 0..SEEDS {
        let race = Race::open(seed).run();
        check_history(&race, seed);
        for (request, outcome) in &race.answers {
            let record = race.record(request);
            match outcome {
                ChangeOutcome::Accepted { revision, .. } => {
                    accepted += 1;
                    let recorded = record.map(|record| record.revision);
                    assert_eq!(
                        recorded,
                        Some(*revision),
                        "seed {seed}: accepted without a record"
                    );
                }
                // Another daemon may have committed a repeat of the request and reported that.
                ChangeOutcome::Refused(_) | ChangeOutcome::NotAccepted(_) => assert!(
                    record.is_none() || repeated_elsewhere(&race, request),
                    "seed {seed}: {} recorded, but the outcome is {outcome:?}",
                    request.operation
                ),
                ChangeOutcome::Unknown(_) => unknown += 1,
            }
        }
    }
    // Guards the test itself: answers must be lost, and enough changes must still commit.
    assert!(
        accepted > 1_000 && unknown > 0,
        "{accepted} accepted, {unknown} unknown"
    );
}
