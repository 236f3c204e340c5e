//! Identity and dependencies of the membership.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::crashes::SuspectsHandle;
use crate::ids::{BootId, DaemonId, InstanceId, InstanceRun, RegionId, Revision, ZoneId};
use crate::peers::{FleetKey, PeerPool};
use crate::platform::PlatformService;
use crate::time::ProcessClock;

/// Takes in that a run of an instance has left.
pub type LeaveObserver = Rc<dyn Fn(&InstanceId, InstanceRun)>;

/// Identity of this daemon and the dependencies of `MembersHandle`.
#[derive(Clone)]
pub struct MemberSources {
    /// Name of this daemon.
    pub daemon: DaemonId,
    /// Identifies this run of the process.
    pub boot: BootId,
    /// Availability zone in which this daemon runs.
    pub zone: ZoneId,
    /// Region in which this daemon runs.
    pub region: RegionId,
    /// Its TCP and UDP address for other daemons.
    pub address: SocketAddr,
    /// Configured peer addresses that are pinged to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates datagrams between the daemons of the fleet.
    pub key: FleetKey,
    /// Monotonic clock of the process.
    pub clock: ProcessClock,
    /// Connections for calls to other daemons.
    pub peers: PeerPool,
    /// Platform whose table holds the member directory.
    pub platform: Rc<dyn PlatformService>,
    /// Returns the newest configuration revision of this daemon, sent with each message.
    pub own_revision: Rc<dyn Fn() -> Revision>,
    /// Called on each message received, with the revision and the address of the sender.
    pub on_revision: Rc<dyn Fn(Revision, SocketAddr)>,
    /// The requests that may end instances, as this daemon knows them.
    pub suspects: SuspectsHandle,
    /// Called with each run of an instance beside this daemon that has left, as other daemons heard from an
    /// earlier process of it.
    pub on_left: LeaveObserver,
    /// Time over which daemons that start together spread their first read of the directory.
    pub start_spread: Duration,
    /// Seed of the random generator.
    pub seed: u64,
}
