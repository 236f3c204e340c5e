//! Address and callbacks of the announcement server.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::ids::InstanceId;
use crate::instances::{AnnounceError, Announcement, LeaveJournal, LocalInstance, RenewalRule};
use crate::time::ProcessClock;

/// Parses the body of an HTTP request into an announcement.
pub type AnnounceReader = Rc<dyn Fn(&[u8]) -> Result<Announcement, AnnounceError>>;

/// Takes in an announcement of an instance.
pub type AnnounceObserver = Rc<dyn Fn(&InstanceId, &Announcement)>;

/// The address that [`AnnounceServer`](crate::instances::AnnounceServer) binds, and what it depends
/// on.
#[derive(Clone)]
pub struct AnnounceSources {
    /// The address to bind, to which the backend servers on this VM send announcements.
    pub address: SocketAddr,
    /// Parses the body of an announcement.
    pub reader: AnnounceReader,
    /// The clock that leases are measured with.
    pub clock: ProcessClock,
    /// Decides from which announcement on new instances are used.
    pub renewal_rule: RenewalRule,
    /// Keeps which instances have left.
    pub journal: LeaveJournal,
    /// Called at once with each instance that changed. A renewal that changes nothing but the lease
    /// is not reported.
    pub on_change: Rc<dyn Fn(LocalInstance)>,
    /// Called with each announcement that took effect, after `on_change`.
    pub on_announcement: AnnounceObserver,
    /// Whether the daemon is shutting down. It then accepts renewals but no new instance.
    pub is_stopping: Rc<dyn Fn() -> bool>,
}
