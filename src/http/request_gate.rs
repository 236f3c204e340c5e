//! Lets one request of a connection at a time into the server.

use crate::http::chunk_scanner::ChunkScanner;
use crate::http::head_scanner::HeadScanner;

/// Bytes of a body that may wait to be read by its handler.
pub(crate) const BODY_WINDOW: usize = 64 * 1024;
/// Parts of a body that may wait to be read by its handler. Each takes memory beside its bytes.
const PARTS_WINDOW: usize = 512;

/// How the end of a request's body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Sized(u64),
    /// The body is in chunks.
    Chunked,
    /// The body ends with the connection.
    Unframed,
}

/// Decides how many of the bytes that arrive on a connection may go on to the server's parser: those of
/// one request, and of the next one when the response has been sent. What a client sends ahead stays with
/// the socket. Of a body, as much goes on as its handler reads, and a window.
#[derive(Debug)]
pub struct RequestGate {
    state: GateState,
    /// Whether the response to the last request has been sent.
    is_answered: bool,
    /// Bytes of the present head that went on.
    head_bytes: usize,
    /// Bytes of the body that went on since its handler had read all.
    waiting_bytes: usize,
    /// Parts of the body that went on since its handler had read all.
    waiting_parts: usize,
    /// Whether the body is discarded, so that it needs no window.
    is_discarded: bool,
}

#[derive(Debug)]
enum GateState {
    Head(HeadScanner),
    /// A whole head went on; the server has yet to begin the request.
    Parsing,
    SizedBody(u64),
    ChunkedBody(ChunkScanner),
    UnframedBody,
    /// The whole request went on.
    Complete,
}

impl Default for RequestGate {
    fn default() -> Self {
        Self {
            state: GateState::Head(HeadScanner::default()),
            is_answered: true,
            head_bytes: 0,
            waiting_bytes: 0,
            waiting_parts: 0,
            is_discarded: false,
        }
    }
}

impl RequestGate {
    /// Returns how many of `bytes`, the next that arrived, may go on now, and counts these as gone on.
    pub fn admit(&mut self, bytes: &[u8]) -> usize {
        if !self.is_open() {
            return 0;
        }
        let (window, parts_window) = match self.is_discarded {
            true => (usize::MAX, usize::MAX),
            false => (
                BODY_WINDOW.saturating_sub(self.waiting_bytes),
                PARTS_WINDOW.saturating_sub(self.waiting_parts),
            ),
        };
        let (taken, parts) = match &mut self.state {
            GateState::Head(scanner) => {
                let end = scanner.advance(bytes);
                let taken = end.unwrap_or(bytes.len());
                self.head_bytes += taken;
                if end.is_some() {
                    self.state = GateState::Parsing;
                }
                return taken;
            }
            GateState::SizedBody(left) => {
                let left_bytes = usize::try_from(*left).unwrap_or(usize::MAX);
                let taken = bytes.len().min(left_bytes).min(window);
                *left -= taken as u64;
                (taken, 1)
            }
            GateState::ChunkedBody(scanner) => {
                let part = &bytes[..bytes.len().min(window)];
                let (taken, chunks) = scanner.advance(part, parts_window);
                (taken, chunks + 1)
            }
            GateState::UnframedBody => (bytes.len().min(window), 1),
            GateState::Parsing | GateState::Complete => (0, 0),
        };
        if !self.is_discarded {
            self.waiting_bytes += taken;
            self.waiting_parts += parts;
        }
        self.settle();
        taken
    }

    /// Whether bytes may go on.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        match self.state {
            GateState::Head(_) => true,
            GateState::Parsing | GateState::Complete => false,
            GateState::SizedBody(_) | GateState::ChunkedBody(_) | GateState::UnframedBody => {
                self.is_discarded
                    || (self.waiting_bytes < BODY_WINDOW && self.waiting_parts < PARTS_WINDOW)
            }
        }
    }

    /// Bytes of a head that went on and has not ended; none if the server is at another part.
    #[must_use]
    pub const fn unfinished_head(&self) -> Option<usize> {
        match self.state {
            GateState::Head(_) if self.head_bytes > 0 => Some(self.head_bytes),
            _ => None,
        }
    }

    /// Bytes of the last head that went on.
    #[must_use]
    pub const fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Whether a part of a request's body has yet to arrive.
    #[must_use]
    pub const fn awaits_body(&self) -> bool {
        matches!(
            self.state,
            GateState::SizedBody(_) | GateState::ChunkedBody(_) | GateState::UnframedBody
        )
    }

    /// The server begins a request whose body is framed by `framing`.
    pub fn begin_request(&mut self, framing: BodyFraming) {
        self.is_answered = false;
        self.is_discarded = false;
        self.waiting_bytes = 0;
        self.waiting_parts = 0;
        self.state = match framing {
            BodyFraming::Empty => GateState::Complete,
            BodyFraming::Sized(length) => GateState::SizedBody(length),
            BodyFraming::Chunked => GateState::ChunkedBody(ChunkScanner::default()),
            BodyFraming::Unframed => GateState::UnframedBody,
        };
        self.settle();
    }

    /// The handler has read all of the body that went on.
    pub const fn drain_body(&mut self) {
        self.waiting_bytes = 0;
        self.waiting_parts = 0;
    }

    /// The handler reads no more of the body.
    pub const fn discard_body(&mut self) {
        self.is_discarded = true;
    }

    /// The response has been sent.
    pub fn finish_response(&mut self) {
        self.is_answered = true;
        self.settle();
    }

    /// Ends the body, and the request if it is answered too.
    fn settle(&mut self) {
        let is_complete = match &self.state {
            GateState::SizedBody(left) => *left == 0,
            GateState::ChunkedBody(scanner) => scanner.has_ended(),
            GateState::Complete => true,
            GateState::Head(_) | GateState::Parsing | GateState::UnframedBody => false,
        };
        if !is_complete {
            return;
        }
        self.state = GateState::Complete;
        if self.is_answered {
            self.state = GateState::Head(HeadScanner::default());
            self.head_bytes = 0;
        }
    }
}
