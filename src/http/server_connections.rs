//! The open connections of a running server.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::{Notify, oneshot};

use crate::hash::{FastMap, FastSet};
use crate::http::ConnectionLimits;
use crate::http::connection_closing::ConnectionClosing;
use crate::http::connection_table::{
    ConnectionCounts, ConnectionId, ConnectionTable, ConnectionWait, MemoryGrowth,
};
use crate::logs::log_target;
use crate::time::{Deadline, MonoTime, ProcessClock};

/// Minimum time between two log lines about connections that were closed or refused.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the connections that may have the receive buffer for a long body.
const UPLOAD_PART: usize = 16;

/// The connections of a server; clones share them.
#[derive(Clone)]
pub struct ServerConnections {
    share: Rc<ConnectionsShare>,
}

struct ConnectionsShare {
    clock: ProcessClock,
    /// What the log calls the listener.
    listener: &'static str,
    table: RefCell<ConnectionTable>,
    /// Dropping one closes its connection.
    closers: RefCell<FastMap<ConnectionId, oneshot::Sender<()>>>,
    /// Connections that are being closed for others and whose sockets are still open.
    closing: RefCell<FastSet<ConnectionId>>,
    /// Notified when the last of them has gone.
    closed: Notify,
    /// When the next line may be logged.
    next_log: Cell<Deadline>,
    /// Maximum number of connections with the receive buffer for a long body.
    max_wide: usize,
    /// Connections that have it.
    wide: Cell<usize>,
}

/// The counters of a listener's connections.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ConnectionLine {
    /// What the log calls the listener.
    pub listener: &'static str,
    /// The counters.
    pub counts: ConnectionCounts,
    /// Connections with the receive buffer for a long body.
    pub wide: u64,
}

/// The slot of one connection in its listener's table; dropping it frees the slot.
pub(crate) struct ConnectionSlot {
    connections: ServerConnections,
    id: ConnectionId,
    /// Whether the connection's requests are refused.
    pub(crate) is_refused: bool,
    /// Whether the connection has the receive buffer for a long body.
    is_wide: Cell<bool>,
}

impl ServerConnections {
    /// Creates the state of a listener without connections.
    #[must_use]
    pub fn open(listener: &'static str, limits: ConnectionLimits) -> Self {
        let clock = ProcessClock::open();
        let share = ConnectionsShare {
            clock,
            listener,
            table: RefCell::new(ConnectionTable::open(limits)),
            closers: RefCell::default(),
            closing: RefCell::default(),
            closed: Notify::new(),
            next_log: Cell::new(Deadline::at(clock.now())),
            max_wide: (limits.connections / UPLOAD_PART).max(1),
            wide: Cell::new(0),
        };
        Self {
            share: Rc::new(share),
        }
    }

    /// Adds a connection that was accepted. Returns its slot and what ends when it is to be closed; none
    /// if it is to be closed at once.
    pub(crate) fn accept(&self) -> Option<(ConnectionSlot, ConnectionClosing)> {
        let now = self.share.clock.now();
        let accepted = self.share.table.borrow_mut().accept(now);
        let is_refused = accepted.as_ref().is_none_or(|accepted| accepted.is_refused);
        let closed = accepted
            .as_ref()
            .map_or(&[][..], |accepted| &accepted.closed);
        if is_refused || !closed.is_empty() {
            self.close(closed);
            self.log_pressure();
        }
        let accepted = accepted?;
        let (sender, closer) = oneshot::channel();
        self.share.closers.borrow_mut().insert(accepted.id, sender);
        let closing = ConnectionClosing::open(self.clone(), accepted.id, closer);
        let slot = ConnectionSlot {
            connections: self.clone(),
            id: accepted.id,
            is_refused: accepted.is_refused,
            is_wide: Cell::new(false),
        };
        Some((slot, closing))
    }

    /// Waits until the sockets of the connections that were closed for others have gone. Without this wait
    /// before each further one is accepted, a burst of connections takes descriptors beyond the limit.
    pub(crate) async fn wait_for_closed(&self) {
        while !self.share.closing.borrow().is_empty() {
            self.share.closed.notified().await;
        }
    }

    /// Records that a connection's socket has gone, or that it is kept after all.
    pub(crate) fn finish_closing(&self, id: ConnectionId) {
        let mut closing = self.share.closing.borrow_mut();
        if closing.remove(&id) && closing.is_empty() {
            self.share.closed.notify_one();
        }
    }

    /// Returns the counters with the listener's name.
    #[must_use]
    pub fn line(&self) -> ConnectionLine {
        ConnectionLine {
            listener: self.share.listener,
            counts: self.counts(),
            wide: self.share.wide.get() as u64,
        }
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counts(&self) -> ConnectionCounts {
        self.share.table.borrow().counts()
    }

    fn close(&self, closed: &[ConnectionId]) {
        let mut closers = self.share.closers.borrow_mut();
        let mut closing = self.share.closing.borrow_mut();
        for id in closed {
            if closers.remove(id).is_some() {
                closing.insert(*id);
            }
        }
    }

    fn log_pressure(&self) {
        let now = self.share.clock.now();
        if !self.share.next_log.get().has_passed(now) {
            return;
        }
        self.share.next_log.set(now.after(LOG_INTERVAL));
        let counts = self.counts();
        log::warn!(
            target: log_target::DAEMON,
            listener = self.share.listener,
            open = counts.open,
            bytes = counts.bytes,
            closed_total = counts.closed,
            refused_total = counts.refused;
            "Clients take all connections or their memory: those that wait for their clients longest are closed, others refused."
        );
    }
}

impl ConnectionSlot {
    pub(crate) fn now(&self) -> MonoTime {
        self.connections.share.clock.now()
    }

    pub(crate) fn set_wait(&self, wait: ConnectionWait) {
        let mut table = self.connections.share.table.borrow_mut();
        table.set_wait(self.id, wait);
    }

    /// Sets the memory of the connection, for which others may be closed. Returns whether there is room
    /// for it.
    pub(crate) fn set_bytes(&self, bytes: usize, growth: MemoryGrowth) -> bool {
        let share = &self.connections.share;
        let now = share.clock.now();
        let mut table = share.table.borrow_mut();
        let change = table.set_bytes(self.id, bytes, growth, now);
        drop(table);
        if !change.closed.is_empty() {
            self.connections.close(&change.closed);
            self.connections.log_pressure();
        }
        change.fits
    }

    /// Takes the receive buffer for a long body. Returns false if the connection has it already, or if as
    /// many others have it as may; a long body then takes longer.
    pub(crate) fn widen(&self) -> bool {
        let share = &self.connections.share;
        if self.is_wide.get() || share.wide.get() == share.max_wide {
            return false;
        }
        self.is_wide.set(true);
        share.wide.set(share.wide.get() + 1);
        true
    }

    /// Counts a request that is refused for want of memory.
    pub(crate) fn count_refusal(&self) {
        let now = self.now();
        self.connections.share.table.borrow_mut().count_refusal(now);
        self.connections.log_pressure();
    }

    /// Closes the connection, which has sent its next request ahead, if clients were refused a moment ago.
    /// Returns whether it did.
    pub(crate) fn make_way(&self) -> bool {
        let now = self.now();
        let makes_way = self
            .connections
            .share
            .table
            .borrow_mut()
            .make_way(self.id, now);
        if makes_way {
            self.connections.close(&[self.id]);
        }
        makes_way
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let share = &self.connections.share;
        share.table.borrow_mut().end(self.id);
        share.closers.borrow_mut().remove(&self.id);
        self.connections.finish_closing(self.id);
        if self.is_wide.get() {
            share.wide.set(share.wide.get() - 1);
        }
    }
}
