//! What the announcement listener is opened with.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::instances::{AnnounceError, Announcement, LocalInstance};
use crate::time::ProcessClock;

/// Reads an announcement from a body.
pub type AnnounceReader = Rc<dyn Fn(&[u8]) -> Result<Announcement, AnnounceError>>;

/// The listener's address and its edges.
#[derive(Clone)]
pub struct AnnounceSources {
    /// Where backend servers on this VM announce themselves.
    pub address: SocketAddr,
    /// Reads the body of an announcement.
    pub reader: AnnounceReader,
    /// The process's clock.
    pub clock: ProcessClock,
    /// Told each instance that changed, at once; renewals without a change are not told.
    pub on_change: Rc<dyn Fn(LocalInstance)>,
    /// Whether the daemon stops and takes no further instance.
    pub is_stopping: Rc<dyn Fn() -> bool>,
}
