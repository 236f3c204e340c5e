//! Which connections a server keeps when they take more than they may.

use std::time::Duration;

use serde::Serialize;

use crate::hash::FastMap;
use crate::http::ConnectionLimits;
use crate::time::MonoTime;

/// Part of the limit that is accepted beyond it so that the requests can be refused.
const REFUSED_PART: usize = 8;
/// Time for which a client that is in the middle of a request or a response may do nothing before its
/// connection can be closed for others. It is not waited for when the memory is exceeded by a quarter.
const STALL: Duration = Duration::from_secs(1);
/// Time after a refusal in which connections make way: the refused client is told to come back after a
/// second.
const MAKE_WAY: Duration = Duration::from_secs(2);
/// Memory of a connection without a request.
pub const IDLE_BYTES: usize = 8 * 1024;

/// Number of a connection in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnectionId(u64);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionWait {
    /// The server: it handles a request.
    Server,
    /// The client, since this time, to begin a request.
    NextRequest(MonoTime),
    /// The client, since this time, to send more of a request or to read more of a response.
    Client(MonoTime),
}

/// A connection that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedConnection {
    /// Its number.
    pub id: ConnectionId,
    /// Whether its requests are refused.
    pub is_refused: bool,
    /// Connections that are to be closed for it.
    pub closed: Vec<ConnectionId>,
}

/// Whether a connection that needs more memory can be refused it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryGrowth {
    /// It can: nothing is closed for it in vain.
    Refusable,
    /// It cannot: a response that is there takes its memory. Whatever may be closed for it is closed.
    Unavoidable,
}

/// The outcome of a change of a connection's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryChange {
    /// Whether all connections together take no more than they may.
    pub fits: bool,
    /// Connections that are to be closed for it.
    pub closed: Vec<ConnectionId>,
}

/// Counters of a table since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ConnectionCounts {
    /// Open connections.
    pub open: u64,
    /// Memory that the open ones are expected to take, in bytes.
    pub bytes: u64,
    /// Connections closed for others.
    pub closed: u64,
    /// Connections and requests refused because nothing could be closed for them.
    pub refused: u64,
}

#[derive(Debug)]
struct ConnectionEntry {
    bytes: usize,
    wait: ConnectionWait,
}

/// The connections of a server, with their memory and what they wait for.
///
/// When a connection needs what is not there, those that have waited for their clients longest are closed:
/// an idle one at once, one in the middle of a message after a second without progress. If there is none,
/// the newcomer is refused. A client that opens or blocks all connections thus shuts nobody out for long.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    entries: FastMap<ConnectionId, ConnectionEntry>,
    next: u64,
    bytes: usize,
    closed: u64,
    refused: u64,
    /// Refusals for which no connection has made way, up to the number of connections.
    unmet: usize,
    /// When the last of them was counted.
    last_refusal: MonoTime,
}

impl ConnectionTable {
    /// Creates an empty table.
    #[must_use]
    pub fn open(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            entries: FastMap::default(),
            next: 0,
            bytes: 0,
            closed: 0,
            refused: 0,
            unmet: 0,
            last_refusal: MonoTime::default(),
        }
    }

    /// Adds a connection; none if it is to be closed at once.
    pub fn accept(&mut self, now: MonoTime) -> Option<AcceptedConnection> {
        let connections = (self.entries.len() + 1).saturating_sub(self.limits.connections);
        let bytes = self.excess_bytes(IDLE_BYTES);
        let closed = self.make_room(connections, bytes, now, None);
        let closed = self.close(closed.unwrap_or_default());
        let is_refused = closed.is_empty() && (connections > 0 || bytes > 0);
        if is_refused {
            self.count_refusal(now);
            let refused = self.limits.connections / REFUSED_PART + 1;
            if self.entries.len() >= self.limits.connections + refused {
                return None;
            }
        }
        let id = ConnectionId(self.next);
        self.next += 1;
        let entry = ConnectionEntry {
            bytes: IDLE_BYTES,
            wait: match is_refused {
                true => ConnectionWait::Client(now),
                false => ConnectionWait::NextRequest(now),
            },
        };
        self.entries.insert(id, entry);
        self.bytes += IDLE_BYTES;
        Some(AcceptedConnection {
            id,
            is_refused,
            closed,
        })
    }

    /// Removes a connection that has ended. One that the table has closed is gone already.
    pub fn end(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.bytes -= entry.bytes;
        }
    }

    /// Sets what a connection waits for.
    pub fn set_wait(&mut self, id: ConnectionId, wait: ConnectionWait) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.wait = wait;
        }
    }

    /// Sets the memory of a connection. If it does not fit, `growth` says what is closed for it.
    pub fn set_bytes(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        growth: MemoryGrowth,
        now: MonoTime,
    ) -> MemoryChange {
        let Some(entry) = self.entries.get_mut(&id) else {
            return MemoryChange {
                fits: false,
                closed: Vec::new(),
            };
        };
        let grows = bytes > entry.bytes;
        self.bytes = self.bytes - entry.bytes + bytes;
        entry.bytes = bytes;
        let excess = if grows { self.excess_bytes(0) } else { 0 };
        let room = self.make_room(0, excess, now, Some(id));
        let fits = room.is_ok();
        let closed = match (room, growth) {
            (Ok(closed), _) | (Err(closed), MemoryGrowth::Unavoidable) => self.close(closed),
            (Err(_), MemoryGrowth::Refusable) => Vec::new(),
        };
        MemoryChange { fits, closed }
    }

    /// Counts a connection or a request that is refused for want of room.
    pub fn count_refusal(&mut self, now: MonoTime) {
        self.refused += 1;
        self.unmet = (self.unmet + 1).min(self.limits.connections);
        self.last_refusal = now;
    }

    /// Whether a connection that has sent its next request ahead makes way for clients that were refused a
    /// moment ago; it has been closed then. Such a connection is never idle.
    pub fn make_way(&mut self, id: ConnectionId, now: MonoTime) -> bool {
        if self.unmet == 0 || !self.entries.contains_key(&id) {
            return false;
        }
        if now.since(self.last_refusal) > MAKE_WAY {
            self.unmet = 0;
            return false;
        }
        self.unmet -= 1;
        self.close(vec![id]);
        true
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            open: self.entries.len() as u64,
            bytes: self.bytes as u64,
            closed: self.closed,
            refused: self.refused,
        }
    }

    /// Bytes by which the connections exceed their memory if they take `more`.
    fn excess_bytes(&self, more: usize) -> usize {
        (self.bytes + more).saturating_sub(self.limits.memory.as_usize())
    }

    /// Returns the connections other than `keep` that have waited for their clients longest and whose end
    /// frees as many connections and bytes; as an error all that may be closed, if they are not enough.
    fn make_room(
        &self,
        connections: usize,
        bytes: usize,
        now: MonoTime,
        keep: Option<ConnectionId>,
    ) -> Result<Vec<ConnectionId>, Vec<ConnectionId>> {
        let mut freed = 0;
        let mut closed = Vec::new();
        if connections == 0 && bytes == 0 {
            return Ok(closed);
        }
        for (id, freeable) in self.closable(now) {
            if Some(id) == keep {
                continue;
            }
            freed += freeable;
            closed.push(id);
            if closed.len() >= connections && freed >= bytes {
                return Ok(closed);
            }
        }
        Err(closed)
    }

    /// Removes connections that are to be closed for others.
    fn close(&mut self, closed: Vec<ConnectionId>) -> Vec<ConnectionId> {
        for id in &closed {
            self.end(*id);
        }
        self.closed += closed.len() as u64;
        closed
    }

    /// The connections that may be closed with their bytes, those that have waited longest first.
    fn closable(&self, now: MonoTime) -> Vec<(ConnectionId, usize)> {
        let memory = self.limits.memory.as_usize();
        let stall = match self.bytes > memory + memory / 4 {
            true => Duration::ZERO,
            false => STALL,
        };
        let waits = self.entries.iter().filter_map(|(id, entry)| {
            let since = entry.wait.closable_since(now, stall)?;
            Some((since, id.0, entry.bytes))
        });
        let mut waits: Vec<_> = waits.collect();
        waits.sort_unstable();
        let closable = waits.into_iter();
        closable
            .map(|(_, id, bytes)| (ConnectionId(id), bytes))
            .collect()
    }
}

impl ConnectionWait {
    /// The time since when the connection has waited for its client; none if it may not be closed. One in
    /// the middle of a message may be closed after `stall`.
    fn closable_since(self, now: MonoTime, stall: Duration) -> Option<MonoTime> {
        match self {
            Self::NextRequest(since) => Some(since),
            Self::Client(since) if now.since(since) >= stall => Some(since),
            Self::Client(_) | Self::Server => None,
        }
    }
}
