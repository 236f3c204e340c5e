//! Errors of the command-line client and their exit statuses.

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
    /// A failed command; the message names the cause and a remedy.
    #[derive(Debug)]
    pub enum ClientError {
        /// Neither a token file nor the environment variable provides a token.
        NoToken {
            display("no operators' token; pass a file with --token-file or set WAGTAILTRACK_TOKEN")
        }
        /// The token file cannot be read.
        TokenFile(path: PathBuf, cause: std::io::Error) {
            display("cannot read token file '{}': {cause}; check --token-file", path.display())
            source(cause)
        }
        /// The daemon cannot be reached. A change that fails like this was not sent.
        Unreachable(daemon: String, cause: String) {
            display("cannot reach the daemon at {daemon}: {cause}; check --daemon, or use another daemon")
        }
        /// The response to a change was lost, and the change may have been accepted.
        ResponseLost(operation: OperationId, cause: String) {
            display("outcome unknown, operation id {operation}: {cause}; check with 'wagtailtrack operation {operation}', or repeat the command with --operation {operation}")
        }
        /// The response is not the JSON expected.
        Malformed(cause: String) {
            display("invalid response from the daemon: {cause}; check that --daemon is its admin address")
        }
        /// The daemon refused the request with this HTTP status.
        Refused(status: u16, body: ErrorBody) {
            display("{}", body.message)
        }
        /// A resource field on the command line is invalid.
        Field(cause: FieldError) {
            display("{cause}")
            from()
        }
        /// The settings file cannot be read or is invalid.
        Settings(cause: SettingsError) {
            display("{cause}")
            from()
        }
        /// No random operation id could be generated.
        Random(cause: ApiError) {
            display("{cause}")
            from()
        }
        /// The command does not apply to the kind of resource; `remedy` is the message.
        UnsupportedCommand(remedy: &'static str) {
            display("{remedy}")
        }
    }
}

impl ClientError {
    /// Returns the exit status of the process for this error.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::NoToken
            | Self::TokenFile(..)
            | Self::Field(_)
            | Self::Settings(_)
            | Self::UnsupportedCommand(_) => ExitStatus::Usage,
            Self::Unreachable(..) => ExitStatus::Unavailable,
            Self::ResponseLost(..) => ExitStatus::Unknown,
            Self::Malformed(_) | Self::Random(_) => ExitStatus::Failure,
            Self::Refused(status, body) => status_of_refusal(*status, body),
        }
    }
}

fn status_of_refusal(status: u16, body: &ErrorBody) -> ExitStatus {
    match status {
        BAD_REQUEST | UNPROCESSABLE => ExitStatus::Usage,
        NOT_FOUND => ExitStatus::NotFound,
        CONFLICT | PRECONDITION_FAILED => ExitStatus::Conflict,
        UNAVAILABLE if body.operation.is_some() => ExitStatus::Unknown,
        UNAVAILABLE => ExitStatus::Unavailable,
        _ => ExitStatus::Failure,
    }
}
