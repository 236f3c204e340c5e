//! Adapters for the protocols that a daemon speaks with systems outside the fleet.

use std::rc::Rc;

use crate::config::DocumentSource;
use crate::instances::{AnnounceReader, Announcement};
use crate::platform::{HttpPlatform, PlatformService};
use crate::settings::DaemonSettings;

/// The adapters of one daemon: platform, configuration store and announcement format.
#[derive(Clone)]
pub struct ProtocolAdapters {
    /// Client of the platform's table service and object store.
    pub platform: Rc<dyn PlatformService>,
    /// Source of a configuration that is a single document. If absent, the daemon reads the
    /// configuration as resources from the platform's table.
    pub document: Option<Rc<dyn DocumentSource>>,
    /// Parses the announcements that backend servers send.
    pub announcements: AnnounceReader,
}

impl ProtocolAdapters {
    /// Uses this project's own protocols, with the platform at the address in `settings`.
    #[must_use]
    pub fn open(settings: &DaemonSettings) -> Self {
        Self {
            platform: Rc::new(HttpPlatform::open(&settings.platform)),
            document: None,
            announcements: Rc::new(Announcement::parse),
        }
    }
}
