//! Command-line arguments of the operators' client.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::ids::{AccountId, KeyId, OperationId, Revision, Version};
use crate::resource::ResourceKind;
use crate::units::TimeSpan;
use crate::wire::RequestDigest;

/// Drives a fleet of wagtailtrack daemons through the operators' API of any one of them.
#[derive(Debug, FromArgs)]
pub struct CommandLine {
    /// admin address of a daemon, by default 127.0.0.1:7003
    #[argh(option, default = "default_daemon()")]
    pub daemon: SocketAddr,
    /// file with the operators' token, by default the variable WAGTAILTRACK_TOKEN is used
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// how long to wait, for example 3s, until a change is in force on every reachable daemon
    #[argh(option)]
    pub wait: Option<TimeSpan>,
    /// operation id of the change, to repeat one whose outcome is unknown
    #[argh(option)]
    pub operation: Option<OperationId>,
    /// command to execute
    #[argh(subcommand)]
    pub command: ClientCommand,
}

impl CommandLine {
    /// Parses the arguments of the process.
    ///
    /// # Errors
    /// Returns the text to print: the help when it was requested, otherwise a usage error.
    pub fn open() -> Result<Self, argh::EarlyExit> {
        let arguments: Vec<String> = std::env::args().collect();
        let rest: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
        Self::from_args(&["wagtailtrack"], &rest)
    }
}

const fn default_daemon() -> SocketAddr {
    use std::net::{IpAddr, Ipv4Addr};
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7003)
}

/// A command of the client.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ClientCommand {
    /// Creates a resource.
    Create(CreateCommand),
    /// Shows a resource.
    Get(GetCommand),
    /// Lists the resources of a kind.
    List(ListCommand),
    /// Changes some fields of a resource.
    Update(UpdateCommand),
    /// Deletes a resource.
    Delete(DeleteCommand),
    /// Issues and withdraws keys.
    Key(KeyCommand),
    /// Takes availability zones out of service and puts them back.
    Zone(ZoneCommand),
    /// Lists and clears requests that are suspected of ending instances.
    Suspect(SuspectCommand),
    /// Prints configuration changes as they are committed.
    Watch(WatchCommand),
    /// Shows the state of the daemon.
    Dump(DumpCommand),
    /// Checks a daemon's settings file.
    CheckConfig(CheckCommand),
    /// Prints the hash of the operators' token for a daemon's settings.
    HashToken(HashCommand),
    /// Shows whether a change was accepted.
    Operation(OperationCommand),
}

/// Create a resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "create")]
pub struct CreateCommand {
    /// account, rate, route, service or evacuation
    #[argh(positional)]
    pub kind: ResourceKind,
    /// name; for a rate the name of its account
    #[argh(positional)]
    pub id: String,
    /// fields, written like slots=3 or weights.lookup=10
    #[argh(positional)]
    pub fields: Vec<String>,
}

/// Show a resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetCommand {
    /// account, key, rate, route, service or evacuation
    #[argh(positional)]
    pub kind: ResourceKind,
    /// name
    #[argh(positional)]
    pub id: String,
}

/// List the resources of a kind.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListCommand {
    /// account, key, rate, route, service or evacuation
    #[argh(positional)]
    pub kind: ResourceKind,
}

/// Change some fields of a resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "update")]
pub struct UpdateCommand {
    /// version that the resource must have, by default the current one
    #[argh(option)]
    pub version: Option<Version>,
    /// rate, route or service
    #[argh(positional)]
    pub kind: ResourceKind,
    /// name
    #[argh(positional)]
    pub id: String,
    /// fields to change, written like slots=3
    #[argh(positional)]
    pub fields: Vec<String>,
}

/// Delete a resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct DeleteCommand {
    /// version that the resource must have, by default the current one
    #[argh(option)]
    pub version: Option<Version>,
    /// account, key, rate, route, service or evacuation
    #[argh(positional)]
    pub kind: ResourceKind,
    /// name
    #[argh(positional)]
    pub id: String,
}

/// Issue or withdraw a key.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct KeyCommand {
    /// action on the key
    #[argh(subcommand)]
    pub action: KeyAction,
}

/// An action on a key.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum KeyAction {
    /// Issues a new key.
    Issue(IssueCommand),
    /// Withdraws a key permanently.
    Withdraw(WithdrawCommand),
}

/// Issue a key and show its secret, which is not shown again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "issue")]
pub struct IssueCommand {
    /// client account that the key belongs to
    #[argh(option)]
    pub account: AccountId,
    /// name of the key
    #[argh(positional)]
    pub id: KeyId,
}

/// Withdraw a key permanently.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct WithdrawCommand {
    /// name of the key
    #[argh(positional)]
    pub id: KeyId,
}

/// Take an availability zone out of service, put it back, or list those that are out.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "zone")]
pub struct ZoneCommand {
    /// action on the zone
    #[argh(subcommand)]
    pub action: ZoneAction,
}

/// An action on an availability zone.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ZoneAction {
    /// Takes a zone out of service.
    Evacuate(EvacuateCommand),
    /// Puts a zone back into service.
    Restore(RestoreCommand),
    /// Lists the zones that are out of service.
    List(ListZonesCommand),
}

/// Take a zone out of service: its instances get no further requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "evacuate")]
pub struct EvacuateCommand {
    /// name of the zone
    #[argh(positional)]
    pub zone: String,
}

/// Put a zone back into service; its instances ramp up.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "restore")]
pub struct RestoreCommand {
    /// name of the zone
    #[argh(positional)]
    pub zone: String,
}

/// List the zones that are out of service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListZonesCommand {}

/// List the requests that were running when instances ended, or clear one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "suspect")]
pub struct SuspectCommand {
    /// action on the suspects
    #[argh(subcommand)]
    pub action: SuspectAction,
}

/// An action on the requests that are suspected of ending instances.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum SuspectAction {
    /// Lists them.
    List(ListSuspectsCommand),
    /// Clears one, on all daemons.
    Clear(ClearCommand),
}

/// List the requests that were running when instances ended, as the daemon knows them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListSuspectsCommand {}

/// Clear a request, so that it may run again, for example after a release that mends the service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "clear")]
pub struct ClearCommand {
    /// digest of the request, from the list or a log line
    #[argh(positional)]
    pub digest: RequestDigest,
}

/// Print changes until interrupted.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct WatchCommand {
    /// revision after which to begin, by default the current one
    #[argh(option)]
    pub from: Option<Revision>,
}

/// Show the state of the daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct DumpCommand {}

/// Check a daemon's settings file; needs no daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check-config")]
pub struct CheckCommand {
    /// settings file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Show whether a change was accepted.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "operation")]
pub struct OperationCommand {
    /// operation id of the change
    #[argh(positional)]
    pub id: OperationId,
}

/// Print the hash of the operators' token, for the daemons' settings; needs no daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-token")]
pub struct HashCommand {}
