//! End-to-end tests of the rate limits of several daemons, over real sockets.

mod limits_kit;

use std::time::Duration;

use limits_kit::{LimitsFleet, rate_limit};
use wagtailtrack::limits::{Admission, LeaseRow, LimitsHandle, SHARE_PREFIX};
use wagtailtrack::time::{Deadline, MonoTime};

const FAR_FUTURE: Deadline = Deadline::at(MonoTime::from_millis(3_600_000));

async fn shares_held(handle: &LimitsHandle) -> usize {
    handle.dump()["shares_leased"].as_array().unwrap().len()
}

async fn until_leased(handles: &[&LimitsHandle]) {
    for _ in 0..1_000 {
        let mut held = 0;
        for handle in handles {
            held += shares_held(handle).await;
        }
        if held == 16 {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("shares were never all leased");
}

async fn admit_all(handles: &[&LimitsHandle], count: usize) -> usize {
    let account = "crew".parse().unwrap();
    let mut admitted = 0;
    for index in 0..count {
        let handle = handles[index % handles.len()];
        if matches!(
            handle.admit(&account, FAR_FUTURE).await,
            Admission::Admitted(_)
        ) {
            admitted += 1;
        }
    }
    admitted
}

/// The daemons together must admit one burst, not one each.
#[actix_rt::test]
async fn shared_burst() {
    let fleet = LimitsFleet::open(vec![rate_limit("crew", 1, 64)]);
    let [one, two, three] = fleet.spawn_three().await;
    let handles = [&one.handle, &two.handle, &three.handle];
    until_leased(&handles).await;
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    let start = one.clock.now();
    let admitted = admit_all(&handles, 120).await;
    let elapsed = one.clock.now().since(start).as_secs() as usize;
    assert!(admitted >= 60, "{admitted} admitted of a burst of 64");
    assert!(admitted <= 64 + elapsed + 1, "{admitted} admitted");
}

/// An account without a rate limit has no rate: its requests are not admitted.
#[actix_rt::test]
async fn unknown_account() {
    let fleet = LimitsFleet::open(Vec::new());
    let one = fleet.spawn("one", "127.0.0.1:0").await;
    let admission = one
        .handle
        .admit(&"nobody".parse().unwrap(), FAR_FUTURE)
        .await;
    assert_eq!(admission, Admission::NoLimit);
}

/// A daemon that shuts down releases its leases, and the others claim them long before they would
/// expire.
#[actix_rt::test]
async fn graceful_hand_over() {
    let fleet = LimitsFleet::open(vec![rate_limit("crew", 1_000, 1_000)]);
    let [one, two, three] = fleet.spawn_three().await;
    until_leased(&[&one.handle, &two.handle, &three.handle]).await;
    one.handle.hand_over().await;
    assert_eq!(shares_held(&one.handle).await, 0);
    until_leased(&[&two.handle, &three.handle]).await;
}

/// Guards against shares that nobody may use for a whole lease because their holder stops right after a
/// renewal, before it has read the versions that the renewal gave the rows.
#[actix_rt::test]
async fn hand_over_after_renewal() {
    let fleet = LimitsFleet::open(vec![rate_limit("crew", 1_000, 1_000)]);
    let [one, two, three] = fleet.spawn_three().await;
    until_leased(&[&one.handle, &two.handle, &three.handle]).await;
    fleet.table.raise_versions();
    one.handle.hand_over().await;
    let rows = fleet.table.rows(SHARE_PREFIX);
    let rows = rows.iter().map(|row| serde_json::from_slice(&row.value));
    let rows: Vec<LeaseRow> = rows.collect::<Result<_, _>>().unwrap();
    let is_kept = |row: &&LeaseRow| row.daemon.as_str() == "one" && !row.released;
    assert_eq!(rows.iter().filter(is_kept).count(), 0, "{rows:?}");
}
