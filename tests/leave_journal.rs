//! Rows of instances that have left, by which a process that starts later knows them.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{MemoryMode, MemoryPlatform, eventually};
use wagtailtrack::ids::{InstanceId, InstanceRun};
use wagtailtrack::instances::{LeaveJournal, LeftRuns};
use wagtailtrack::platform::PlatformService;
use wagtailtrack::time::ProcessClock;

const RUN: InstanceRun = InstanceRun(77);
/// Time within which an instance takes an acknowledgement.
const ACKNOWLEDGE_BOUND: Duration = Duration::from_secs(1);

fn desk() -> InstanceId {
    "desk-1".parse().unwrap()
}

/// The journal of a process of the daemon that has just started.
fn open(platform: &Rc<MemoryPlatform>, daemon: &str) -> LeaveJournal {
    let daemon = daemon.parse().unwrap();
    let platform: Rc<dyn PlatformService> = Rc::<MemoryPlatform>::clone(platform);
    LeaveJournal::open(platform, &daemon, LeftRuns::default(), ProcessClock::open())
}

/// Whether a process of the daemon that starts now learns that the desk has left.
async fn is_recalled(platform: &Rc<MemoryPlatform>, daemon: &str) -> bool {
    let journal = open(platform, daemon);
    let reads = platform.reads.get();
    journal.recall();
    eventually("the rows are read", async || platform.reads.get() > reads).await;
    journal.left_runs().newest(&desk()) == Some(RUN)
}

/// Guards against a leave that is lost if all daemons are killed right after its acknowledgement.
#[actix_rt::test]
async fn leave_outlives_process() {
    let platform = Rc::new(MemoryPlatform::default());
    let journal = open(&platform, "daemon-1");
    for _ in 0..3 {
        journal.record(&desk(), RUN).await;
    }
    assert_eq!(platform.writes.get(), 1);
    assert!(is_recalled(&platform, "daemon-1").await);
    assert!(!is_recalled(&platform, "daemon-10").await);
}

/// Guards against an acknowledgement that waits for a platform that is away, and against a leave that is
/// not written once the platform is back.
#[actix_rt::test]
async fn acknowledged_without_platform() {
    for mode in [MemoryMode::Down, MemoryMode::LoseQuestions] {
        let platform = Rc::new(MemoryPlatform::default());
        platform.mode.set(mode);
        let clock = ProcessClock::open();
        let before = clock.now();
        open(&platform, "daemon-1").record(&desk(), RUN).await;
        assert!(clock.now().since(before) < ACKNOWLEDGE_BOUND, "{mode:?}");
        platform.mode.set(MemoryMode::Up);
        eventually("the leave is written", async || {
            is_recalled(&platform, "daemon-1").await
        })
        .await;
    }
}

/// Guards against rows that stay when a daemon is removed for good.
#[actix_rt::test]
async fn rows_deleted_at_stop() {
    let platform = Rc::new(MemoryPlatform::default());
    let journal = open(&platform, "daemon-1");
    journal.record(&desk(), RUN).await;
    let successor = open(&platform, "daemon-1");
    successor.recall();
    let left_runs = successor.left_runs();
    eventually("the leave is recalled", async || {
        left_runs.newest(&desk()).is_some()
    })
    .await;
    successor.delete().await;
    let rows = platform.scan("leaves/", None, 10).await.unwrap();
    assert!(rows.is_empty(), "{rows:?}");
}
