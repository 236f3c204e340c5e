//! Errors of the communication between daemons.

use std::io;

use quick_error::quick_error;

use crate::wire::CodecError;

quick_error! {
    /// Reason why the communication with a peer failed.
    #[derive(Debug)]
    pub enum PeerError {
        /// The TCP connection or the exchange of nonces failed.
        Connect(cause: io::Error) {
            display("cannot connect to peer: {cause}")
            source(cause)
        }
        /// The HTTP/2 connection or stream failed.
        Stream(cause: h2::Error) {
            display("stream to peer failed: {cause}")
            source(cause)
            from()
        }
        /// The stream was not opened, or ended before its first message was sent completely.
        Unsent(cause: Box<PeerError>) {
            display("the first message to peer was not sent: {cause}")
            source(cause)
        }
        /// The peer ended the stream before or within an expected message, or while one was being
        /// sent.
        UnexpectedEnd {
            display("peer ended the stream before the exchange was complete")
        }
        /// The MAC of a message is wrong, for example because the fleet secrets differ.
        AuthenticationFailed {
            display("message failed its authentication; check fleet_secret on both sides")
        }
        /// A message could not be encoded or decoded.
        Codec(cause: CodecError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The peer sent a message of another kind than expected, or a message is too large.
        UnexpectedMessage {
            display("peer sent an unexpected message")
        }
        /// The reply to a call did not arrive within its timeout.
        Timeout {
            display("peer did not reply within the timeout")
        }
    }
}

impl PeerError {
    /// Whether it is certain that the peer never processed the first message of the stream.
    #[must_use]
    pub fn is_undelivered(&self) -> bool {
        match self {
            Self::Connect(_) | Self::Unsent(_) => true,
            Self::Stream(cause) => is_refused(cause),
            _ => false,
        }
    }

    /// Adds that the first message of the stream was not sent.
    pub(crate) fn unsent(self) -> Self {
        Self::Unsent(Box::new(self))
    }
}

/// Whether the peer refused the stream before it processed anything of it: by a reset that says so, or
/// by a GOAWAY. HTTP/2 fails a stream by a GOAWAY only if its ID is beyond those that the peer will
/// process.
fn is_refused(cause: &h2::Error) -> bool {
    let refused_by_reset = cause.reason() == Some(h2::Reason::REFUSED_STREAM);
    let is_closing = cause.reason() == Some(h2::Reason::NO_ERROR);
    refused_by_reset || (is_closing && cause.is_go_away() && cause.is_remote())
}
