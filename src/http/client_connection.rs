//! One connection of a client, and what of its input the server reads.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::Waker;

use actix_http::body::BoxBody;
use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage, Payload, Request};

use crate::http::BusyConnection;
use crate::http::gated_payload::GatedPayload;
use crate::http::pending_body::PendingBody;
use crate::http::request_gate::{BodyFraming, RequestGate};

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
    /// Wakes the stream when the gate opens.
    waker: RefCell<Option<Waker>>,
}

impl ClientConnection {
    pub(crate) fn open(busy: BusyConnection) -> Self {
        let share = ConnectionShare {
            gate: RefCell::default(),
            busy,
            waker: RefCell::default(),
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

    /// Returns how many of `bytes` go on to the server.
    pub(crate) fn admit(&self, bytes: &[u8]) -> usize {
        self.share.gate.borrow_mut().admit(bytes)
    }

    /// Keeps what wakes the stream when the gate opens.
    pub(crate) fn set_waker(&self, waker: &Waker) {
        let mut kept = self.share.waker.borrow_mut();
        match &mut *kept {
            Some(kept) => kept.clone_from(waker),
            None => *kept = Some(waker.clone()),
        }
    }

    /// Begins a request: its body goes on as it is read.
    pub(crate) fn begin_request(&self, request: &mut Request) {
        let framing = body_framing(request);
        if framing != BodyFraming::Empty {
            let payload = GatedPayload::open(request.take_payload(), self.clone());
            *request.payload() = Payload::Stream {
                payload: Box::pin(payload),
            };
        }
        self.share.busy.begin_request();
        self.share.gate.borrow_mut().begin_request(framing);
        self.wake();
    }

    /// Follows a response's body until it is sent.
    pub(crate) fn track(&self, body: BoxBody) -> BoxBody {
        self.share.busy.begin_body();
        BoxBody::new(PendingBody::open(body, self.clone()))
    }

    /// Records that the socket has accepted all bytes.
    pub(crate) fn record_flush(&self) {
        let share = &self.share;
        share.busy.record_flush();
        if share.busy.is_idle() {
            share.gate.borrow_mut().finish_response();
            self.wake();
        }
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
