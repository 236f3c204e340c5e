//! Why an exchange between daemons failed.

use std::io;

use quick_error::quick_error;

use crate::wire::CodecError;

quick_error! {
    /// A failed exchange.
    #[derive(Debug)]
    pub enum PeerError {
        /// No connection could be made.
        Connect(cause: io::Error) {
            display("cannot connect to peer: {cause}")
            source(cause)
        }
        /// The connection or stream broke.
        Stream(cause: h2::Error) {
            display("stream to peer failed: {cause}")
            source(cause)
            from()
        }
        /// The peer ended the stream too early.
        UnexpectedEnd {
            display("peer ended the stream early")
        }
        /// A message failed its authentication.
        AuthenticationFailed {
            display("message failed its authentication; check fleet_secret on both sides")
        }
        /// A message could not be encoded or decoded.
        Codec(cause: CodecError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The peer answered a call with another kind of reply.
        UnexpectedMessage {
            display("peer sent an unexpected message")
        }
        /// No answer within the timeout.
        Timeout {
            display("peer did not answer in time")
        }
    }
}

impl PeerError {
    /// Whether the peer provably never saw the first message of the stream.
    #[must_use]
    pub fn is_undelivered(&self) -> bool {
        match self {
            Self::Connect(_) => true,
            Self::Stream(cause) => cause.reason() == Some(h2::Reason::REFUSED_STREAM),
            _ => false,
        }
    }
}
