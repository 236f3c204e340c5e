//! Calls between daemons that replicate the configuration.

use bincode::{Decode, Encode};

use crate::config::ConfigChange;
use crate::evacuation::{EvacuationDigest, EvacuationReport};
use crate::ids::{AccountId, BootId, Revision};
use crate::resource::{
    ClientAccount, KeyHash, RateLimit, ServiceRoute, ServiceSpec, ZoneEvacuation,
};

/// A request to another daemon about the configuration.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum ConfigCall {
    /// Checks that the peer responds.
    Ping,
    /// Requests the peer's state and the changes after this revision.
    FetchChanges(Revision),
    /// Sends committed changes, in the order of their revisions.
    PushChanges(Vec<ConfigChange>),
    /// Requests one page of a snapshot.
    Snapshot(SnapshotCursor),
    /// Waits until the peer knows more of the configuration than the caller.
    Watch(WatchRequest),
}

/// What a daemon knows that waits for news of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct WatchRequest {
    /// The revision in force at the caller; `None` before the first.
    pub have: Option<Revision>,
    /// The run of the peer that `confirmed_micros` belongs to.
    pub boot: BootId,
    /// Time of the last confirmation that the caller got from the peer, by the peer's clock.
    pub confirmed_micros: Option<u64>,
    /// Whether the caller knows that the peer's calls to the store fail.
    pub store_lost: bool,
    /// What the caller knows of the evacuated zones; `None` before the first reading.
    pub evacuations: Option<EvacuationDigest>,
    /// How long the peer may hold its reply back.
    pub wait_micros: u64,
    /// Interval at which the peer sends [`ConfigReply::Held`] meanwhile.
    pub held_interval_micros: u64,
}

/// What a daemon knows of the configuration. All times are by its own clock.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct WatchReply {
    /// The run of the replying process.
    pub boot: BootId,
    /// The clock at the reply.
    pub clock_micros: u64,
    /// The revision in force; `None` before the first.
    pub revision: Option<Revision>,
    /// Time since the last confirmation that the revision was the newest; `None` without one.
    pub age_micros: Option<u64>,
    /// Whether the replying daemon watches the store and its calls fail.
    pub store_lost: bool,
    /// The evacuated zones; `None` before the first reading.
    pub evacuations: Option<EvacuationReport>,
}

/// The reply to a [`ConfigCall`].
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum ConfigReply {
    /// Reply to `Ping`.
    Pong,
    /// The state of the replying daemon.
    State(ConfigState),
    /// A page of a snapshot.
    Page(SnapshotPage),
    /// The replying daemon has not loaded a configuration yet.
    NotLoaded,
    /// Reply to `Watch`.
    Watched(WatchReply),
    /// The peer lives and holds its reply to `Watch` back; more messages follow.
    Held,
}

/// Configuration revision of a daemon, and how fresh it is.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigState {
    /// The revision that the daemon applies.
    pub revision: Revision,
    /// Age of the last confirmation that the platform had no newer revision, in microseconds.
    /// `None` if there has been none.
    pub age_micros: Option<u64>,
    /// Largest fleet size at the confirmations of the last hour, as known to the replying daemon.
    pub members: u32,
    /// The requested changes, up to the number that fits.
    pub changes: Vec<ConfigChange>,
}

/// Position in a snapshot, which is requested page by page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum SnapshotCursor {
    /// All services and evacuations, on one page.
    Services,
    /// Routes, from this slot index on.
    Routes(u32),
    /// Client accounts and their rate limits, from this slot index on.
    Accounts(u32),
    /// API keys of one partition: its index, and the number of partitions that the range of hashes
    /// is divided into.
    Keys(u32, u32),
}

/// One page of a snapshot.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct SnapshotPage {
    /// The revision at which the page was read.
    pub revision: Revision,
    /// Changes whenever resources move to other slots. Pages of different epochs must not be
    /// combined.
    pub epoch: u64,
    /// The resources on this page.
    pub items: Vec<SnapshotItem>,
    /// Position of the next page; `None` after the last one.
    pub next: Option<SnapshotCursor>,
}

/// A resource in a snapshot, reduced to what the processing of requests needs.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum SnapshotItem {
    /// A service.
    Service(ServiceSpec),
    /// A route.
    Route(ServiceRoute),
    /// A client account and its rate limit, if it has one.
    Account(ClientAccount, Option<RateLimit>),
    /// An API key.
    Key(SnapshotKey),
    /// An evacuation of an availability zone.
    Evacuation(ZoneEvacuation),
}

/// An API key without its name.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotKey {
    /// Hash of the key's secret.
    pub hash: KeyHash,
    /// The client account that the key belongs to.
    pub account: AccountId,
    /// Whether the key has been withdrawn and is no longer accepted.
    pub withdrawn: bool,
}
