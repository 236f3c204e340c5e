//! The connections of a daemon's listeners, within the descriptors that the process may have.

use rustix::process::{Resource, getrlimit};

use crate::http::{ConnectionLimits, ConnectionLine, ServerConnections};
use crate::settings::{ProxySettings, SettingsError};

/// The connections of each listener; clones share them.
#[derive(Clone)]
pub(crate) struct ListenerConnections {
    pub(crate) callers: ServerConnections,
    pub(crate) admin: ServerConnections,
    pub(crate) announce: ServerConnections,
    /// Those of other daemons on which no message is authenticated yet.
    pub(crate) peers: ServerConnections,
}

impl ListenerConnections {
    /// Creates listeners without connections, limited by the settings and the process's descriptors.
    ///
    /// # Errors
    /// `SettingsError` if the settings ask for more connections than the process may have.
    pub(crate) fn open(proxy: &ProxySettings) -> Result<Self, SettingsError> {
        let descriptors = getrlimit(Resource::Nofile).current;
        let callers = proxy.connection_limits(descriptors)?;
        let control = ConnectionLimits::control(descriptors);
        let peers = ConnectionLimits::unauthenticated(descriptors);
        Ok(Self {
            callers: ServerConnections::open("callers", callers),
            admin: ServerConnections::open("admin", control),
            announce: ServerConnections::open("announce", control),
            peers: ServerConnections::open("peers", peers),
        })
    }

    /// Returns the counters of each listener.
    pub(crate) fn lines(&self) -> Vec<ConnectionLine> {
        let listeners = [&self.callers, &self.admin, &self.announce, &self.peers];
        listeners.map(ServerConnections::line).to_vec()
    }
}
