//! The counterexamples of the mutants in spec/config.pml, step by step against the real machines.

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
    ConfigResource::Account(ClientAccount::named(id.parse().unwrap()))
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

/// Reads what the attempt asks for and returns the transaction that it plans.
fn plan(
    platform: &MemoryPlatform,
    attempt: &mut ChangeSubmission,
    action: SubmissionAction,
    catalog: &Catalog,
) -> Transaction {
    match read(platform, attempt, action, catalog) {
        SubmissionAction::Commit(transaction) => transaction,
        other => panic!("no commit but {other:?}"),
    }
}

fn read(
    platform: &MemoryPlatform,
    attempt: &mut ChangeSubmission,
    action: SubmissionAction,
    catalog: &Catalog,
) -> SubmissionAction {
    let SubmissionAction::Read(keys) = action else {
        panic!("no read but {action:?}");
    };
    attempt.rows_read(platform.read_now(&keys), catalog, NOW)
}

fn log_length(platform: &MemoryPlatform) -> usize {
    platform.table.borrow().scan("config/log/", None, 100).len()
}

/// LOST_IS_FAILURE: the commit takes effect, its answer and the next read are lost.
#[test]
fn lost_answer() {
    let (platform, catalog) = (MemoryPlatform::default(), Catalog::default());
    let (mut attempt, action) = begin("a1");
    let transaction = plan(&platform, &mut attempt, action, &catalog);
    platform.mode.set(MemoryMode::LoseAnswers);
    let outcome = platform.commit_now(&transaction);
    let action = attempt.commit_ended(outcome, NOW);
    let SubmissionAction::Read(_) = action else {
        panic!("answered without a proof: {action:?}");
    };
    let away = || Err(PlatformError::Unavailable("away".to_owned()));
    let action = attempt.rows_read(away(), &catalog, NOW);
    assert!(matches!(action, SubmissionAction::Read(_)), "{action:?}");
    let action = attempt.rows_read(away(), &catalog, LATE);
    let unknown = ChangeOutcome::Unknown("op-a1".parse().unwrap());
    assert_eq!(action, SubmissionAction::Finish(unknown, None));
    assert_eq!(log_length(&platform), 1);
}

/// BLIND_RETRY: the first transaction is only late; what is sent next is the same one.
#[test]
fn late_commit() {
    let (platform, catalog) = (MemoryPlatform::default(), Catalog::default());
    let (mut attempt, action) = begin("a1");
    let late = plan(&platform, &mut attempt, action, &catalog);
    let lost = Err(PlatformError::Unknown("lost".to_owned()));
    let action = attempt.commit_ended(lost, NOW);
    let again = plan(&platform, &mut attempt, action, &catalog);
    assert_eq!(again, late);
    platform.commit_now(&late).unwrap();
    let action = attempt.commit_ended(platform.commit_now(&again), NOW);
    let action = read(&platform, &mut attempt, action, &catalog);
    let accepted = ChangeOutcome::Accepted {
        revision: Revision(1),
        repeated: false,
    };
    assert!(matches!(action, SubmissionAction::Finish(found, Some(_)) if found == accepted));
    assert_eq!(log_length(&platform), 1);
}

/// HEAD_UNCHECKED: two attempts plan on the same head.
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

/// LOWER_APPLIED: a change that is known already arrives once more, and one too far ahead.
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
