//! What a daemon meets outside the fleet, by whichever protocols.

use std::rc::Rc;

use crate::config::DocumentSource;
use crate::instances::{AnnounceReader, Announcement};
use crate::platform::{HttpPlatform, PlatformService};
use crate::settings::DaemonSettings;

/// The edges of a daemon.
#[derive(Clone)]
pub struct DaemonEdges {
    /// The platform's table.
    pub platform: Rc<dyn PlatformService>,
    /// The store of a configuration that is one document; without one the configuration stands
    /// as resources in the platform's table.
    pub document: Option<Rc<dyn DocumentSource>>,
    /// Reads announcements.
    pub announcements: AnnounceReader,
}

impl DaemonEdges {
    /// The project's own protocols.
    #[must_use]
    pub fn open(settings: &DaemonSettings) -> Self {
        Self {
            platform: Rc::new(HttpPlatform::open(&settings.platform)),
            document: None,
            announcements: Rc::new(Announcement::parse),
        }
    }
}
