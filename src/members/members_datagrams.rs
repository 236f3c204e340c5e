//! How `MembersHandle` sends and receives datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use crate::logs::part;
use crate::members::{DatagramError, MAX_DATAGRAM_BYTES, MembersHandle};
use crate::wire::GossipMessage;

const TICK: Duration = Duration::from_millis(100);
const BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

impl MembersHandle {
    /// Moves the protocol on, many times a second.
    pub(super) async fn run_ticks(self) {
        loop {
            let actions = self.with_core(|core, rng, now| core.tick(now, rng));
            self.execute(actions);
            actix_rt::time::sleep(TICK).await;
        }
    }

    /// Takes in datagrams.
    pub(super) async fn run_receiver(self) {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            match self.state.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.accept(&buffer[..length], from),
                // A refused port of a peer that is down shows up here.
                Err(cause) => {
                    log::debug!(target: part::MEMBERS, cause:%; "Cannot receive a datagram.");
                    actix_rt::time::sleep(Duration::from_millis(1)).await;
                }
            }
        }
    }

    fn accept(&self, datagram: &[u8], from: SocketAddr) {
        match self.state.codec.decode(datagram) {
            Ok(message) => {
                self.count_received(datagram.len());
                let actions =
                    self.with_core(|core, rng, now| core.receive(&message, from, now, rng));
                self.execute(actions);
            }
            Err(cause) => self.drop_datagram(&cause, from),
        }
    }

    fn count_received(&self, bytes: usize) {
        let mut core = self.state.core.borrow_mut();
        let counters = core.counters_mut();
        counters.received += 1;
        counters.received_bytes += bytes as u64;
    }

    fn drop_datagram(&self, cause: &DatagramError, from: SocketAddr) {
        log::debug!(target: part::MEMBERS, from:%, cause:%; "Datagram dropped.");
        let mut core = self.state.core.borrow_mut();
        match cause {
            DatagramError::Forged => core.counters_mut().forged += 1,
            _ => core.counters_mut().malformed += 1,
        }
    }

    /// Sends a datagram.
    pub(super) fn send(&self, to: SocketAddr, message: &GossipMessage) {
        let datagram = match self.state.codec.encode(message) {
            Ok(datagram) => datagram,
            Err(cause) => {
                log::warn!(target: part::MEMBERS, cause:%; "Cannot encode a datagram.");
                return;
            }
        };
        // A full send buffer loses the datagram, as the network may.
        if self.state.socket.try_send_to(&datagram, to).is_ok() {
            let mut core = self.state.core.borrow_mut();
            let counters = core.counters_mut();
            counters.sent += 1;
            counters.sent_bytes += datagram.len() as u64;
        }
    }
}
