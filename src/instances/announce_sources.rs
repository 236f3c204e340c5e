//! What the announcement listener is opened with.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::instances::LocalInstance;
use crate::time::ProcessClock;

/// The listener's address and its edges.
#[derive(Clone)]
pub struct AnnounceSources {
    /// Where backend servers on this VM announce themselves.
    pub address: SocketAddr,
    /// The process's clock.
    pub clock: ProcessClock,
    /// Told each instance that changed, at once; renewals without a change are not told.
    pub on_change: Rc<dyn Fn(LocalInstance)>,
    /// Whether the daemon stops and takes no further instance.
    pub is_stopping: Rc<dyn Fn() -> bool>,
}
