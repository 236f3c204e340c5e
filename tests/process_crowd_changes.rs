//! Changes of the configuration, restarts of instances and stops beside a crowd of clients.

mod common;
mod crowd_kit;

use crowd_kit::{CROWD, CrowdDesk, CrowdInput, MOST, usual_head};

/// Guards against changes of the configuration that a crowd keeps away.
#[actix_rt::test]
async fn changes_beside_crowd() {
    let mut desk = CrowdDesk::open("crowd-changes").await;
    let head = usual_head(desk.desk.key(), "GET", "/lookups/1", "");
    let input = CrowdInput::repeat(&head, MOST);
    for round in 0..3 {
        let crowd = desk.press(desk.callers(), CROWD, &input).await;
        let resources = desk.desk.fleet.resources(0);
        let route = format!("added-{round}");
        resources.create_route(&route, "desk", "lookup").await;
        let target = format!("/{route}/1");
        desk.check_answered(&target).await;
        desk.check(crowd).await;
    }
}

/// Guards against instances whose announcements a crowd keeps away.
#[actix_rt::test]
async fn restarts_beside_crowd() {
    let mut desk = CrowdDesk::open("crowd-restarts").await;
    let head = usual_head(desk.desk.key(), "GET", "/lookups/1", "");
    let input = CrowdInput::repeat(&head, MOST);
    for round in 0..3 {
        let crowd = desk.press(desk.callers(), CROWD, &input).await;
        desk.desk.fleet.backends[round].process.kill();
        let plan = common::BackendPlan::new("desk", &format!("desk-again-{round}"));
        desk.desk.fleet.add_backend(0, plan).await;
        desk.check(crowd).await;
    }
}

/// Guards against a process that a crowd keeps from stopping.
#[actix_rt::test]
async fn stop_beside_crowd() {
    let mut desk = CrowdDesk::open("crowd-stop").await;
    let head = usual_head(desk.desk.key(), "GET", "/lookups/1", "");
    let crowd = desk
        .press(desk.callers(), CROWD, &CrowdInput::repeat(&head, MOST))
        .await;
    desk.check_bounds();
    let process = &mut desk.desk.fleet.daemons[0].process;
    process.terminate();
    process.ended().await;
    drop(crowd);
}
