//! Limits what a connection takes before its peer has shown that it belongs to the fleet.

use std::cell::RefCell;
use std::future::pending;
use std::io;
use std::rc::Rc;

use crate::http::{ConnectionClosing, ConnectionSlot, IDLE_BYTES, MemoryGrowth};

/// Memory of a stream whose first message has not arrived.
const STREAM_BYTES: usize = 4 * 1024;

/// The slot of an incoming connection among the unauthenticated ones, until a message on it is authenticated.
/// Clones share it.
#[derive(Clone)]
pub(crate) struct PeerAdmission {
    state: Rc<RefCell<Option<AdmissionState>>>,
}

struct AdmissionState {
    slot: ConnectionSlot,
    bytes: usize,
}

impl PeerAdmission {
    pub(crate) fn open(slot: ConnectionSlot) -> Self {
        let state = AdmissionState {
            slot,
            bytes: IDLE_BYTES,
        };
        Self {
            state: Rc::new(RefCell::new(Some(state))),
        }
    }

    /// A message on the connection was authenticated: it is no longer limited.
    pub(crate) fn trust(&self) {
        self.state.borrow_mut().take();
    }

    /// Counts bytes that were received.
    ///
    /// # Errors
    /// `OutOfMemory` if unauthenticated connections take all the memory that they may.
    pub(crate) fn add_bytes(&self, bytes: usize) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        let Some(state) = &mut *state else {
            return Ok(());
        };
        state.bytes += bytes;
        match state.slot.set_bytes(state.bytes, MemoryGrowth::Unavoidable) {
            true => Ok(()),
            false => Err(io::ErrorKind::OutOfMemory.into()),
        }
    }

    /// Counts a stream that was opened.
    ///
    /// # Errors
    /// As `add_bytes`.
    pub(crate) fn add_stream(&self) -> io::Result<()> {
        self.add_bytes(STREAM_BYTES)
    }

    /// Ends when the connection is to be closed for others, which no longer happens once it is trusted.
    pub(crate) async fn closed(&self, mut closing: ConnectionClosing) {
        closing.wait().await;
        if self.state.borrow().is_none() {
            pending::<()>().await;
        }
    }
}
