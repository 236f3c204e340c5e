//! Discovery of daemons through the member directory.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::{MemoryMode, MemoryPlatform, eventually, free_address};
use wagtailtrack::ids::{BootId, DaemonId, Revision};
use wagtailtrack::members::{MemberDirectory, MemberRow, MemberSources, MembersHandle};
use wagtailtrack::peers::{FleetKey, PeerPool};
use wagtailtrack::time::ProcessClock;

async fn spawn(name: &str, platform: &Rc<MemoryPlatform>) -> MembersHandle {
    let key = FleetKey::open("a secret of the fleet");
    MembersHandle::spawn(MemberSources {
        daemon: name.parse().unwrap(),
        boot: BootId(1),
        zone: "zone-a".parse().unwrap(),
        region: "region-a".parse().unwrap(),
        address: free_address(),
        seeds: Vec::new(),
        key: key.clone(),
        clock: ProcessClock::open(),
        peers: PeerPool::open(key),
        platform: Rc::clone(platform) as _,
        own_revision: Rc::new(|| Revision(0)),
        on_revision: Rc::new(|_, _| {}),
        suspects: common::no_suspects(),
        on_left: Rc::new(|_, _| {}),
        start_spread: Duration::ZERO,
        seed: 7,
    })
    .await
    .unwrap()
}

fn row(boot: u64) -> MemberRow {
    MemberRow {
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        boot: BootId(boot),
        zone: "zone-a".parse().unwrap(),
        region: "region-a".parse().unwrap(),
    }
}

/// Guards against daemons without seeds that never find each other, and against more than one write
/// per start.
#[actix_rt::test]
async fn daemons_discover_each_other() {
    let platform = Rc::new(MemoryPlatform::default());
    let mut handles = Vec::new();
    for name in ["first", "second", "third"] {
        handles.push(spawn(name, &platform).await);
        eventually("the row", async || {
            platform.writes.get() == handles.len() as u64
        })
        .await;
    }
    let all_live = || handles.iter().all(|handle| handle.live().len() == 3);
    eventually("all members", async || all_live()).await;
    assert_eq!(platform.writes.get(), 3, "one write for each start");
}

/// Guards against a daemon that fails to start, or never writes its row, when the platform is
/// unavailable at its start.
#[actix_rt::test]
async fn platform_unavailable() {
    let platform = Rc::new(MemoryPlatform::default());
    platform.mode.set(MemoryMode::Down);
    let handle = spawn("first", &platform).await;
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(handle.live().len(), 1);
    assert_eq!(platform.writes.get(), 0);
    platform.mode.set(MemoryMode::Up);
    eventually("the row", async || platform.writes.get() == 1).await;
}

/// Guards against a late deletion by an earlier boot removing the row of its replacement.
#[actix_rt::test]
async fn late_deletion() {
    let platform = Rc::new(MemoryPlatform::default());
    let directory = MemberDirectory::open(Rc::clone(&platform) as _);
    let daemon: DaemonId = "first".parse().unwrap();
    directory.write(&daemon, &row(1)).await.unwrap();
    directory.write(&daemon, &row(2)).await.unwrap();
    directory.delete(&daemon, BootId(1)).await.unwrap();
    assert_eq!(
        directory.addresses(None, 8).await.unwrap(),
        [row(2).address]
    );
    directory.delete(&daemon, BootId(2)).await.unwrap();
    assert!(directory.addresses(None, 8).await.unwrap().is_empty());
}
