//! What the membership is opened with.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::ids::{BootId, DaemonId, RegionId, Revision, ZoneId};
use crate::peers::{FleetKey, PeerPool};
use crate::platform::PlatformService;
use crate::time::ProcessClock;

/// The daemon's own place and its edges.
#[derive(Clone)]
pub struct MemberSources {
    /// This daemon.
    pub daemon: DaemonId,
    /// Its boot.
    pub boot: BootId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Its TCP and UDP address for other daemons.
    pub address: SocketAddr,
    /// Daemons to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's key.
    pub key: FleetKey,
    /// The process's clock.
    pub clock: ProcessClock,
    /// Connections to other daemons.
    pub peers: PeerPool,
    /// The platform's service.
    pub platform: Rc<dyn PlatformService>,
    /// The newest configuration revision of this daemon.
    pub own_revision: Rc<dyn Fn() -> Revision>,
    /// Told the revision and address of a peer, on each message.
    pub on_revision: Rc<dyn Fn(Revision, SocketAddr)>,
    /// Seed of the random choices.
    pub seed: u64,
}
