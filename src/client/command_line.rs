//! The client's command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::ids::{AccountId, KeyId, OperationId, Revision, Version};
use crate::resource::ResourceKind;
use crate::units::TimeSpan;

/// Drives a fleet of wagtailtrack daemons through the operators' API of any one of them.
#[derive(Debug, FromArgs)]
pub struct CommandLine {
    /// operators' address of a daemon, by default 127.0.0.1:7003
    #[argh(option, default = "default_daemon()")]
    pub daemon: SocketAddr,
    /// file that holds the operators' token; else the variable WAGTAILTRACK_TOKEN does
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON for programs
    #[argh(switch)]
    pub json: bool,
    /// wait so long, for example 3s, until a change is in force on every reachable daemon
    #[argh(option)]
    pub wait: Option<TimeSpan>,
    /// name of the change, to repeat one whose outcome is unknown
    #[argh(option)]
    pub operation: Option<OperationId>,
    /// what to do
    #[argh(subcommand)]
    pub command: ClientCommand,
}

impl CommandLine {
    /// Reads the process's arguments.
    ///
    /// # Errors
    /// What to print, and whether it was asked for.
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

/// What to do.
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
    /// Follows the changes.
    Watch(WatchCommand),
    /// Shows the state of the daemon.
    Dump(DumpCommand),
    /// Checks a daemon's settings file.
    CheckConfig(CheckCommand),
    /// Prints the hash of the operators' token for a daemon's settings.
    HashToken(HashCommand),
    /// Asks whether a change was accepted.
    Operation(OperationCommand),
}

/// Create a resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "create")]
pub struct CreateCommand {
    /// account, rate, route or service
    #[argh(positional)]
    pub kind: ResourceKind,
    /// name; a rate has its account's
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
    /// account, key, rate, route or service
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
    /// account, key, rate, route or service
    #[argh(positional)]
    pub kind: ResourceKind,
}

/// Change some fields of a resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "update")]
pub struct UpdateCommand {
    /// version that the change builds on, by default the one found
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
    /// version to delete, by default the one found
    #[argh(option)]
    pub version: Option<Version>,
    /// account, key, rate, route or service
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
    /// what to do with the key
    #[argh(subcommand)]
    pub action: KeyAction,
}

/// What to do with a key.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum KeyAction {
    /// Issues it.
    Issue(IssueCommand),
    /// Withdraws it.
    Withdraw(WithdrawCommand),
}

/// Issue a key and show its secret, this once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "issue")]
pub struct IssueCommand {
    /// client account that the key stands for
    #[argh(option)]
    pub account: AccountId,
    /// name of the key
    #[argh(positional)]
    pub id: KeyId,
}

/// Withdraw a key for good.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct WithdrawCommand {
    /// name of the key
    #[argh(positional)]
    pub id: KeyId,
}

/// Follow the changes until interrupted.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct WatchCommand {
    /// revision after which to begin, by default the present one
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

/// Ask whether a change was accepted.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "operation")]
pub struct OperationCommand {
    /// name of the change
    #[argh(positional)]
    pub id: OperationId,
}

/// Print the hash of the operators' token, for the daemons' settings; needs no daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-token")]
pub struct HashCommand {}
