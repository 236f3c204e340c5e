//! Applies the injected fault to requests and tracks the connections that no longer respond.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Instant;

use wagtailtrack::hash::FastSet;

use crate::server_fault::{FaultEffect, ServerFault};

/// Decides how the injected fault affects each request.
pub struct FaultInjector {
    fault: Cell<ServerFault>,
    /// When the fault was injected.
    injected_at: Cell<Instant>,
    /// Peer addresses of the open connections.
    open: RefCell<FastSet<SocketAddr>>,
    /// Peer addresses of the open connections whose requests never get a response.
    silenced: RefCell<FastSet<SocketAddr>>,
    rng: RefCell<fastrand::Rng>,
}

impl FaultInjector {
    /// Creates an injector without a fault; `seed` determines its random effects.
    pub fn open(seed: u64) -> Self {
        Self {
            fault: Cell::default(),
            injected_at: Cell::new(Instant::now()),
            open: RefCell::default(),
            silenced: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
        }
    }

    /// Injects `fault` in place of the present one.
    ///
    /// `Silent` silences the open connections until they close, also after further changes.
    pub fn inject(&self, fault: ServerFault) {
        self.fault.set(fault);
        self.injected_at.set(Instant::now());
        if fault == ServerFault::Silent {
            let open = self.open.borrow();
            self.silenced.borrow_mut().extend(open.iter().copied());
        }
    }

    /// The injected fault.
    pub fn fault(&self) -> ServerFault {
        self.fault.get()
    }

    /// Records that the connection from `peer` has opened.
    pub fn connection_opened(&self, peer: SocketAddr) {
        self.open.borrow_mut().insert(peer);
    }

    /// Records that the connection from `peer` has closed.
    pub fn connection_closed(&self, peer: SocketAddr) {
        self.open.borrow_mut().remove(&peer);
        self.silenced.borrow_mut().remove(&peer);
    }

    /// The effect on a request that arrives on the connection from `peer`.
    pub fn effect(&self, peer: Option<SocketAddr>) -> FaultEffect {
        if peer.is_some_and(|peer| self.silenced.borrow().contains(&peer)) {
            return FaultEffect::Hang;
        }
        let since = self.injected_at.get().elapsed();
        self.fault.get().effect(since, &mut self.rng.borrow_mut())
    }
}
