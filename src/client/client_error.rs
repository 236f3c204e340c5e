//! Why a command failed.

use std::path::PathBuf;

use quick_error::quick_error;

use crate::admin::{ApiError, ErrorBody};
use crate::client::FieldError;
use crate::exit::ExitStatus;
use crate::ids::OperationId;
use crate::settings::SettingsError;

const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const PRECONDITION_FAILED: u16 = 412;
const UNPROCESSABLE: u16 = 422;
const UNAVAILABLE: u16 = 503;

quick_error! {
    /// A failed command.
    #[derive(Debug)]
    pub enum ClientError {
        /// No token was given.
        NoToken {
            display("no operators' token; name a file with --token-file or set WAGTAILTRACK_TOKEN")
        }
        /// The token's file cannot be read.
        TokenFile(path: PathBuf, cause: std::io::Error) {
            display("cannot read token file '{}': {cause}; check --token-file", path.display())
            source(cause)
        }
        /// The daemon cannot be reached; nothing was sent.
        Unreachable(daemon: String, cause: String) {
            display("cannot reach the daemon at {daemon}: {cause}; check --daemon, or ask another daemon")
        }
        /// The answer to a change was lost.
        ResponseLost(operation: OperationId, cause: String) {
            display("unknown, operation id {operation}: {cause}; ask with 'wagtailtrack operation {operation}', or repeat the command with --operation {operation}")
        }
        /// The answer is no such JSON.
        Malformed(cause: String) {
            display("the daemon's answer is not understood: {cause}; check that --daemon names its admin address")
        }
        /// The daemon refused.
        Refused(status: u16, body: ErrorBody) {
            display("{}", body.message)
        }
        /// A field on the command line is wrong.
        Field(cause: FieldError) {
            display("{cause}")
            from()
        }
        /// The settings file is wrong.
        Settings(cause: SettingsError) {
            display("{cause}")
            from()
        }
        /// No operation id could be drawn.
        Random(cause: ApiError) {
            display("{cause}")
            from()
        }
        /// The command does not fit the kind.
        Command(remedy: &'static str) {
            display("{remedy}")
        }
    }
}

impl ClientError {
    /// The exit status that stands for it.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::NoToken
            | Self::TokenFile(..)
            | Self::Field(_)
            | Self::Settings(_)
            | Self::Command(_) => ExitStatus::Usage,
            Self::Unreachable(..) => ExitStatus::Unavailable,
            Self::ResponseLost(..) => ExitStatus::Unknown,
            Self::Malformed(_) | Self::Random(_) => ExitStatus::Failure,
            Self::Refused(status, body) => refused_status(*status, body),
        }
    }
}

fn refused_status(status: u16, body: &ErrorBody) -> ExitStatus {
    match status {
        BAD_REQUEST | UNPROCESSABLE => ExitStatus::Usage,
        NOT_FOUND => ExitStatus::NotFound,
        CONFLICT | PRECONDITION_FAILED => ExitStatus::Conflict,
        UNAVAILABLE if body.operation.is_some() => ExitStatus::Unknown,
        UNAVAILABLE => ExitStatus::Unavailable,
        _ => ExitStatus::Failure,
    }
}
