//! One connection of a client: what of its input the server reads, and what it takes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage, Payload, Request};

use crate::http::BusyConnection;
use crate::http::connection_table::{ConnectionWait, IDLE_BYTES, MemoryGrowth};
use crate::http::gated_payload::GatedPayload;
use crate::http::pending_body::PendingBody;
use crate::http::receive_window::LONG_BODY_BYTES;
use crate::http::request_gate::{BODY_WINDOW, BodyFraming, RequestGate};
use crate::http::server_connections::ConnectionSlot;

/// Memory of a request that is handled, beside its head and body.
const REQUEST_BYTES: usize = 24 * 1024;
/// Memory of a header of a request, beside its text.
const HEADER_BYTES: usize = 512;
/// How often the bytes of a head are held: as received, as sent to the egress, and as buffers grow.
const HEAD_COPIES: usize = 3;
/// Memory of a response that goes through, at most: the window of its stream from the egress, and the part
/// on its way to the write buffer. What is buffered of it has a budget of its own.
const RESPONSE_BYTES: usize = 128 * 1024;
/// Bytes that a client must send or read to count as going on.
const PROGRESS_BYTES: usize = 4 * 1024;

/// A connection of a client; clones share it.
///
/// The server's stream, its requests, and the bodies of both directions each have one.
#[derive(Clone)]
pub(crate) struct ClientConnection {
    share: Rc<ConnectionShare>,
}

struct ConnectionShare {
    gate: RefCell<RequestGate>,
    busy: BusyConnection,
    slot: ConnectionSlot,
    /// Wakes the stream when the gate opens.
    waker: RefCell<Option<Waker>>,
    /// Memory of the present request.
    request_bytes: Cell<usize>,
    /// Memory of the present response, beside the bytes that are not sent.
    response_bytes: Cell<usize>,
    /// Bytes of the response that the socket has not accepted.
    unsent_bytes: Cell<usize>,
    /// Bytes that arrived and wait outside the gate.
    held_bytes: Cell<usize>,
    /// Whether the socket has refused bytes of the response and has not accepted all since.
    is_write_blocked: Cell<bool>,
    stage: Cell<ConnectionStage>,
    /// Bytes sent or read by the client since the stage began, or since it last counted as going on.
    progress: Cell<usize>,
    /// Memory as the table knows it.
    bytes: Cell<usize>,
    /// Whether the stream is to take the receive buffer for a long body.
    is_widening: Cell<bool>,
}

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionStage {
    /// No byte of a request has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// The server waits for more of a body.
    Body,
    /// The server works.
    Work,
    /// The client has yet to read what is sent.
    Response,
}

/// Marks a request that is to be refused, because the connections take all that they may.
pub(crate) struct ServerFull;

impl ClientConnection {
    pub(crate) fn open(slot: ConnectionSlot, busy: BusyConnection) -> Self {
        let share = ConnectionShare {
            gate: RefCell::default(),
            busy,
            slot,
            waker: RefCell::default(),
            request_bytes: Cell::default(),
            response_bytes: Cell::default(),
            unsent_bytes: Cell::default(),
            held_bytes: Cell::default(),
            is_write_blocked: Cell::default(),
            stage: Cell::new(ConnectionStage::Idle),
            progress: Cell::default(),
            bytes: Cell::new(IDLE_BYTES),
            is_widening: Cell::default(),
        };
        Self {
            share: Rc::new(share),
        }
    }

    pub(crate) fn busy(&self) -> &BusyConnection {
        &self.share.busy
    }

    pub(crate) fn is_open(&self) -> bool {
        self.share.gate.borrow().is_open()
    }

    pub(crate) fn has_unfinished_head(&self) -> bool {
        self.share.gate.borrow().unfinished_head().is_some()
    }

    /// Whether the stream is to take the receive buffer for a long body, which it is told once.
    pub(crate) fn take_widening(&self) -> bool {
        self.share.is_widening.take()
    }

    /// Returns how many of `bytes` go on to the server.
    pub(crate) fn admit(&self, bytes: &[u8]) -> usize {
        let taken = self.share.gate.borrow_mut().admit(bytes);
        self.add_progress(taken);
        taken
    }

    /// Sets the bytes that wait outside the gate. Returns false if there is no memory for the part of a
    /// head that has arrived.
    pub(crate) fn set_held(&self, bytes: usize) -> bool {
        self.share.held_bytes.set(bytes);
        self.update(MemoryGrowth::Refusable) || self.share.stage.get() != ConnectionStage::Head
    }

    /// Keeps what wakes the stream when the gate opens.
    pub(crate) fn set_waker(&self, waker: &Waker) {
        let mut kept = self.share.waker.borrow_mut();
        match &mut *kept {
            Some(kept) => kept.clone_from(waker),
            None => *kept = Some(waker.clone()),
        }
    }

    /// Begins a request: its body goes on as it is read, and the request is marked if it is to be refused.
    pub(crate) fn begin_request(&self, request: &mut Request) {
        let framing = body_framing(request);
        if framing != BodyFraming::Empty {
            let payload = GatedPayload::open(request.take_payload(), self.clone());
            *request.payload() = Payload::Stream {
                payload: Box::pin(payload),
            };
        }
        let share = &self.share;
        let is_long = match framing {
            BodyFraming::Empty => false,
            BodyFraming::Sized(length) => length > LONG_BODY_BYTES,
            BodyFraming::Chunked | BodyFraming::Unframed => true,
        };
        if is_long && share.slot.widen() {
            share.is_widening.set(true);
        }
        share.busy.begin_request();
        share.gate.borrow_mut().begin_request(framing);
        let head_bytes = share.gate.borrow().head_bytes() * HEAD_COPIES;
        let header_bytes = request.headers().len() * HEADER_BYTES;
        let body_bytes = match framing {
            BodyFraming::Empty => 0,
            // What the handler collects of the body has a budget of its own.
            BodyFraming::Sized(length) => bounded_bytes(length, BODY_WINDOW),
            BodyFraming::Chunked | BodyFraming::Unframed => BODY_WINDOW,
        };
        share
            .request_bytes
            .set(REQUEST_BYTES + head_bytes + header_bytes + body_bytes);
        let fits = self.update(MemoryGrowth::Refusable);
        if !fits {
            share.slot.count_refusal();
        }
        if !fits || share.slot.is_refused {
            request.extensions_mut().insert(ServerFull);
        }
        self.wake();
    }

    /// Follows a response's body until it is sent.
    pub(crate) fn track(&self, body: BoxBody) -> BoxBody {
        let length = match body.size() {
            BodySize::None => 0,
            BodySize::Sized(length) => length,
            BodySize::Stream => u64::MAX,
        };
        let response_bytes = bounded_bytes(length, RESPONSE_BYTES);
        self.share.response_bytes.set(response_bytes);
        self.share.busy.begin_body();
        self.update(MemoryGrowth::Unavoidable);
        BoxBody::new(PendingBody::open(body, self.clone()))
    }

    /// Counts bytes of a response that the server took.
    pub(crate) fn add_unsent(&self, bytes: usize) {
        let unsent = &self.share.unsent_bytes;
        unsent.set(unsent.get() + bytes);
        self.update(MemoryGrowth::Unavoidable);
    }

    /// Records that the socket accepted bytes. While others wait, the client still has to read.
    pub(crate) fn record_write(&self, bytes: usize) {
        let unsent = &self.share.unsent_bytes;
        unsent.set(unsent.get().saturating_sub(bytes));
        self.add_progress(bytes);
        self.update(MemoryGrowth::Unavoidable);
    }

    /// Records that the socket accepts no bytes at present.
    pub(crate) fn record_blocked_write(&self) {
        self.share.is_write_blocked.set(true);
        self.update(MemoryGrowth::Unavoidable);
    }

    /// Records that the socket has accepted all bytes.
    pub(crate) fn record_flush(&self) {
        let share = &self.share;
        share.busy.record_flush();
        share.unsent_bytes.set(0);
        share.is_write_blocked.set(false);
        if share.busy.is_idle() {
            share.request_bytes.set(0);
            share.response_bytes.set(0);
            // The gate of a connection that makes way stays closed: its next request is not read.
            if share.held_bytes.get() == 0 || !share.slot.make_way() {
                share.gate.borrow_mut().finish_response();
                self.wake();
            }
        }
        self.update(MemoryGrowth::Unavoidable);
    }

    /// The handler has read all of the body that went on.
    pub(crate) fn drain_body(&self) {
        self.share.gate.borrow_mut().drain_body();
        self.wake();
    }

    /// The handler reads no more of the body.
    pub(crate) fn discard_body(&self) {
        self.share.gate.borrow_mut().discard_body();
        self.wake();
    }

    /// Wakes the stream if it waits for the gate, which is open now.
    fn wake(&self) {
        if self.is_open()
            && let Some(waker) = self.share.waker.borrow_mut().take()
        {
            waker.wake();
        }
    }

    /// Counts bytes that the client sent or read; enough of them start its wait anew.
    fn add_progress(&self, bytes: usize) {
        let share = &self.share;
        let progress = share.progress.get() + bytes;
        share.progress.set(progress);
        let is_message = matches!(
            share.stage.get(),
            ConnectionStage::Body | ConnectionStage::Response
        );
        if is_message && progress >= PROGRESS_BYTES {
            self.begin_stage(share.stage.get());
        }
    }

    /// Brings the table up to date. Returns whether there is memory for the connection.
    fn update(&self, growth: MemoryGrowth) -> bool {
        let share = &self.share;
        let stage = self.stage();
        if stage != share.stage.get() {
            self.begin_stage(stage);
        }
        let head_bytes = share.gate.borrow().unfinished_head().unwrap_or(0);
        let bytes = IDLE_BYTES
            + head_bytes * HEAD_COPIES
            + share.held_bytes.get()
            + share.request_bytes.get()
            + share.response_bytes.get()
            + share.unsent_bytes.get();
        if bytes == share.bytes.replace(bytes) {
            return true;
        }
        share.slot.set_bytes(bytes, growth)
    }

    fn begin_stage(&self, stage: ConnectionStage) {
        let share = &self.share;
        let now = share.slot.now();
        share.stage.set(stage);
        share.progress.set(0);
        share.slot.set_wait(match stage {
            ConnectionStage::Idle => ConnectionWait::NextRequest(now),
            ConnectionStage::Work => ConnectionWait::Server,
            ConnectionStage::Head | ConnectionStage::Body | ConnectionStage::Response => {
                ConnectionWait::Client(now)
            }
        });
    }

    fn stage(&self) -> ConnectionStage {
        let share = &self.share;
        let gate = share.gate.borrow();
        if share.is_write_blocked.get() {
            ConnectionStage::Response
        } else if gate.unfinished_head().is_some() {
            ConnectionStage::Head
        } else if gate.awaits_body() && gate.is_open() {
            ConnectionStage::Body
        } else if share.busy.is_idle() {
            ConnectionStage::Idle
        } else {
            ConnectionStage::Work
        }
    }
}

fn bounded_bytes(length: u64, most: usize) -> usize {
    usize::try_from(length).map_or(most, |length| length.min(most))
}

fn body_framing(request: &mut Request) -> BodyFraming {
    if matches!(request.payload(), Payload::None) {
        return BodyFraming::Empty;
    }
    if request.chunked().unwrap_or(false) {
        return BodyFraming::Chunked;
    }
    let length = request.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    length.map_or(BodyFraming::Unframed, BodyFraming::Sized)
}
