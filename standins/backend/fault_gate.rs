//! The fault in force and the connections that it silenced.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Instant;

use wagtailtrack::hash::FastSet;

use crate::server_fault::{FaultEffect, ServerFault};

/// Decides what happens to each request.
pub struct FaultGate {
    fault: Cell<ServerFault>,
    set_at: Cell<Instant>,
    open: RefCell<FastSet<SocketAddr>>,
    silenced: RefCell<FastSet<SocketAddr>>,
    rng: RefCell<fastrand::Rng>,
}

impl FaultGate {
    /// Opens a gate without a fault.
    pub fn open(seed: u64) -> Self {
        Self {
            fault: Cell::default(),
            set_at: Cell::new(Instant::now()),
            open: RefCell::default(),
            silenced: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
        }
    }

    /// Puts `fault` in force.
    pub fn set(&self, fault: ServerFault) {
        self.fault.set(fault);
        self.set_at.set(Instant::now());
        if fault == ServerFault::Silent {
            let open = self.open.borrow();
            self.silenced.borrow_mut().extend(open.iter().copied());
        }
    }

    /// The fault in force.
    pub fn fault(&self) -> ServerFault {
        self.fault.get()
    }

    /// Notes that the connection from `peer` opened.
    pub fn opened(&self, peer: SocketAddr) {
        self.open.borrow_mut().insert(peer);
    }

    /// Notes that the connection from `peer` closed.
    pub fn closed(&self, peer: SocketAddr) {
        self.open.borrow_mut().remove(&peer);
        self.silenced.borrow_mut().remove(&peer);
    }

    /// The effect on a request on the connection from `peer`.
    pub fn effect(&self, peer: Option<SocketAddr>) -> FaultEffect {
        if peer.is_some_and(|peer| self.silenced.borrow().contains(&peer)) {
            return FaultEffect::Hang;
        }
        let since = self.set_at.get().elapsed();
        self.fault.get().effect(since, &mut self.rng.borrow_mut())
    }
}
