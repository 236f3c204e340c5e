//! More connections of clients than a real daemon has descriptors.

mod common;
mod crowd_kit;

use crowd_kit::{CrowdDesk, CrowdInput};

/// Guards against connections that leave no descriptor for instances, peers and the platform, or for
/// callers that come later.
#[actix_rt::test]
async fn more_connections_than_descriptors() {
    let mut desk = CrowdDesk::open_small("crowd-idle").await;
    let crowd = desk.press(desk.callers(), 400, &CrowdInput::once("")).await;
    desk.check(crowd).await;
}

/// As above, on the listener that answers whether the daemon is ready.
#[actix_rt::test]
async fn more_connections_to_admin_than_descriptors() {
    let mut desk = CrowdDesk::open_small("crowd-idle-admin").await;
    let admin = desk.desk.fleet.daemons[0].admin();
    let crowd = desk.press(admin, 400, &CrowdInput::once("")).await;
    desk.check_ready().await;
    desk.check(crowd).await;
}

/// As above, on the listener for announcements.
#[actix_rt::test]
async fn more_connections_to_announce_than_descriptors() {
    let mut desk = CrowdDesk::open_small("crowd-idle-announce").await;
    let announce = desk.desk.fleet.daemons[0].announce();
    let crowd = desk.press(announce, 400, &CrowdInput::once("")).await;
    desk.check(crowd).await;
}

/// As above, on the listener for other daemons, where the clients know no secret.
#[actix_rt::test]
async fn more_connections_to_peers_than_descriptors() {
    let mut desk = CrowdDesk::open_small("crowd-idle-peers").await;
    let peers = desk.desk.fleet.daemons[0].peers();
    let crowd = desk.press(peers, 400, &CrowdInput::once("")).await;
    desk.check(crowd).await;
}

/// Guards against connections that are accepted before those that are closed for them have gone.
#[actix_rt::test]
async fn connections_at_once() {
    let mut desk = CrowdDesk::open_small("crowd-at-once").await;
    let daemon = &desk.desk.fleet.daemons[0];
    let listeners = [
        daemon.callers(),
        daemon.admin(),
        daemon.announce(),
        daemon.peers(),
    ];
    for listener in listeners {
        let idle = desk.press(listener, 400, &CrowdInput::once("")).await;
        let crowd = desk.connect_at_once(listener).await;
        drop(idle);
        desk.check(crowd).await;
    }
}
