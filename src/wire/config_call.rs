//! Calls between daemons about the configuration.

use bincode::{Decode, Encode};

use crate::config::ConfigChange;
use crate::ids::{AccountId, Revision};
use crate::resource::{ClientAccount, KeyHash, RateLimit, ServiceRoute, ServiceSpec};

/// What a daemon asks.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum ConfigCall {
    /// Asks for a sign of life.
    Ping,
    /// Asks for the state and for the changes that follow a revision.
    Follow(Revision),
    /// Brings committed changes, in the order of their revisions.
    Push(Vec<ConfigChange>),
    /// Asks for one part of a snapshot.
    Snapshot(SnapshotPart),
}

/// What it is answered.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum ConfigReply {
    /// The sign of life.
    Pong,
    /// The state of the answering daemon.
    State(ConfigState),
    /// A part of a snapshot.
    Page(SnapshotPage),
    /// The answering daemon has no configuration yet.
    NotLoaded,
}

/// How far a daemon is.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigState {
    /// The revision in force.
    pub revision: Revision,
    /// Time since the platform is known to have had no newer revision, in microseconds; none when never.
    pub age_micros: Option<u64>,
    /// Size of the fleet when that was last known.
    pub members: u32,
    /// The changes asked for, as many as fit.
    pub changes: Vec<ConfigChange>,
}

/// A part of a snapshot; the parts are asked for in turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum SnapshotPart {
    /// All services.
    Services,
    /// Routes from this place on.
    Routes(u32),
    /// Client accounts and their rates from this place on.
    Accounts(u32),
    /// The keys whose hash falls into this one of so many equal ranges.
    Keys(u32, u32),
}

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct SnapshotPage {
    /// The revision at which the part was taken.
    pub revision: Revision,
    /// Changes when the places of resources do; parts of different epochs do not fit together.
    pub epoch: u64,
    /// The resources.
    pub items: Vec<SnapshotItem>,
    /// The next part, or none after the last.
    pub next: Option<SnapshotPart>,
}

/// What a request needs of a resource.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum SnapshotItem {
    /// A service.
    Service(ServiceSpec),
    /// A route.
    Route(ServiceRoute),
    /// A client account and its rate.
    Account(ClientAccount, Option<RateLimit>),
    /// A key.
    Key(SnapshotKey),
}

/// A key without its name.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotKey {
    /// Hash of the secret.
    pub hash: KeyHash,
    /// The client account.
    pub account: AccountId,
    /// Whether it is withdrawn.
    pub withdrawn: bool,
}
