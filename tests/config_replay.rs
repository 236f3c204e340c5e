//! Counterexamples of the mutants in spec/config.pml, replayed step by step against the real state
//! machines.

mod common;

use common::{MemoryMode, MemoryPlatform};
use wagtailtrack::config::{
    Catalog, CatalogError, ChangeOutcome, ChangeRequest, ChangeSubmission, ConfigAction,
    ConfigChange, ResourceEdit, SubmissionAction, VersionCondition,
};
use wagtailtrack::ids::Revision;
use wagtailtrack::platform::{PlatformError, Transaction};
use wagtailtrack::resource::{ClientAccount, ConfigResource};
use wagtailtrack::time::{Deadline, MonoTime};

const NOW: MonoTime = MonoTime::from_millis(1);
const LATE: MonoTime = MonoTime::from_millis(2_000);

fn account(id: &str) -> ConfigResource {
    ConfigResource::Account(ClientAccount::new(id.parse().unwrap()))
}

fn begin(id: &str) -> (ChangeSubmission, SubmissionAction) {
    let request = ChangeRequest {
        operation: format!("op-{id}").parse().unwrap(),
        name: account(id).name(),
        edit: ResourceEdit::Put(account(id)),
        condition: VersionCondition::Absent,
    };
    ChangeSubmission::begin(request, Deadline::at(MonoTime::from_millis(1_000)))
}

/// Reads the rows that the submission asks for and returns the transaction that it plans.
fn plan(
    platform: &MemoryPlatform,
    submission: &mut ChangeSubmission,
    action: SubmissionAction,
    catalog: &Catalog,
) -> Transaction {
    match read(platform, submission, action, catalog) {
        SubmissionAction::Commit(transaction) => transaction,
        other => panic!("expected a commit, got {other:?}"),
    }
}

fn read(
    platform: &MemoryPlatform,
    submission: &mut ChangeSubmission,
    action: SubmissionAction,
    catalog: &Catalog,
) -> SubmissionAction {
    let SubmissionAction::Read(keys) = action else {
        panic!("expected a read, got {action:?}");
    };
    submission.rows_read(platform.read_now(&keys), catalog, NOW)
}

fn log_length(platform: &MemoryPlatform) -> usize {
    platform.table.borrow().scan("config/log/", None, 100).len()
}

/// LOST_IS_FAILURE: the transaction commits, but its answer and the next read are lost. The outcome
/// must be unknown, not a failure.
#[test]
fn lost_answer() {
    let (platform, catalog) = (MemoryPlatform::default(), Catalog::default());
    let (mut submission, action) = begin("a1");
    let transaction = plan(&platform, &mut submission, action, &catalog);
    platform.mode.set(MemoryMode::LoseAnswers);
    let outcome = platform.commit_now(&transaction);
    let action = submission.commit_ended(outcome, NOW);
    let SubmissionAction::Read(_) = action else {
        panic!("finished without reading the operation's row: {action:?}");
    };
    let unavailable = || Err(PlatformError::Unavailable("unreachable".to_owned()));
    let action = submission.rows_read(unavailable(), &catalog, NOW);
    assert!(matches!(action, SubmissionAction::Read(_)), "{action:?}");
    let action = submission.rows_read(unavailable(), &catalog, LATE);
    let unknown = ChangeOutcome::Unknown("op-a1".parse().unwrap());
    assert_eq!(action, SubmissionAction::Finish(unknown, None));
    assert_eq!(log_length(&platform), 1);
}

/// BLIND_RETRY: the first transaction commits late, after its answer was lost. The retry must send
/// the same transaction, so that it commits only once.
#[test]
fn late_commit() {
    let (platform, catalog) = (MemoryPlatform::default(), Catalog::default());
    let (mut submission, action) = begin("a1");
    let late = plan(&platform, &mut submission, action, &catalog);
    let lost = Err(PlatformError::ResponseLost("lost".to_owned()));
    let action = submission.commit_ended(lost, NOW);
    let again = plan(&platform, &mut submission, action, &catalog);
    assert_eq!(again, late);
    platform.commit_now(&late).unwrap();
    let action = submission.commit_ended(platform.commit_now(&again), NOW);
    let action = read(&platform, &mut submission, action, &catalog);
    let accepted = ChangeOutcome::Accepted {
        revision: Revision(1),
        repeated: false,
    };
    assert!(matches!(action, SubmissionAction::Finish(found, Some(_)) if found == accepted));
    assert_eq!(log_length(&platform), 1);
}

/// HEAD_UNCHECKED: two submissions plan on the same head. The second must conflict, catch up and
/// plan again.
#[test]
fn same_head() {
    let (platform, mut catalog) = (MemoryPlatform::default(), Catalog::default());
    let (mut first, first_action) = begin("a1");
    let (mut second, second_action) = begin("a2");
    let first_plan = plan(&platform, &mut first, first_action, &catalog);
    let second_plan = plan(&platform, &mut second, second_action, &catalog);
    let action = first.commit_ended(platform.commit_now(&first_plan), NOW);
    let SubmissionAction::Finish(_, Some(change)) = action else {
        panic!("not accepted: {action:?}");
    };
    let action = second.commit_ended(platform.commit_now(&second_plan), NOW);
    let action = read(&platform, &mut second, action, &catalog);
    assert_eq!(action, SubmissionAction::CatchUp(Revision(1)));
    catalog.apply(&change).unwrap();
    let SubmissionAction::Commit(third_plan) = second.caught_up(&catalog, NOW) else {
        panic!("no second plan");
    };
    second.commit_ended(platform.commit_now(&third_plan), NOW);
    assert_eq!(log_length(&platform), 2);
}

/// LOWER_APPLIED: a change that was applied before arrives again, and one after a gap. Neither may
/// be applied.
#[test]
fn lower_revision() {
    let change = |revision| ConfigChange {
        revision: Revision(revision),
        operation: format!("op-{revision}").parse().unwrap(),
        action: ConfigAction::Put(account(&format!("a{revision}"))),
    };
    let mut catalog = Catalog::default();
    catalog.apply(&change(1)).unwrap();
    catalog.apply(&change(2)).unwrap();
    for offered in [1, 2, 4] {
        let refused = CatalogError::OutOfSequence(Revision(2), Revision(offered));
        assert_eq!(catalog.apply(&change(offered)), Err(refused));
    }
    assert_eq!(catalog.revision(), Revision(2));
}
