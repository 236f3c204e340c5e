//! UDP tasks of `MembersHandle`: protocol ticks, receiving and sending.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::ZoneId;
use crate::logs::log_target;
use crate::members::{DatagramError, MAX_DATAGRAM_BYTES, MembersHandle};
use crate::peers::ZoneTraffic;
use crate::wire::GossipMessage;

const TICK: Duration = Duration::from_millis(100);
// One byte more than the limit, so that longer datagrams are noticed.
const BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

impl MembersHandle {
    /// Ticks the protocol every `TICK`.
    pub(super) async fn run_ticks(self) {
        loop {
            let actions = self.with_core(|core, rng, now| core.tick(now, rng));
            self.execute(actions);
            actix_rt::time::sleep(TICK).await;
        }
    }

    /// Receives datagrams and passes them to the protocol.
    pub(super) async fn run_receiver(self) {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            match self.state.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.accept(&buffer[..length], from),
                // An ICMP port-unreachable reply to an earlier send is reported here too.
                Err(cause) => {
                    log::debug!(target: log_target::MEMBERS, cause:%; "Cannot receive a datagram from the UDP socket.");
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
                self.count_zone_datagram(from, |traffic, zone| {
                    traffic.count_received_datagram(zone, datagram.len());
                });
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

    /// Passes the zone of the member at `address` to `count`; a daemon that is not yet known is not
    /// counted.
    fn count_zone_datagram(&self, address: SocketAddr, count: impl Fn(&ZoneTraffic, &ZoneId)) {
        let core = self.state.core.borrow();
        if let Some(member) = core.view().members().live_by_address(address) {
            count(self.state.sources.peers.traffic(), &member.zone);
        }
    }

    fn drop_datagram(&self, cause: &DatagramError, from: SocketAddr) {
        log::debug!(target: log_target::MEMBERS, from:%, cause:%; "Datagram dropped.");
        let mut core = self.state.core.borrow_mut();
        match cause {
            DatagramError::Forged => core.counters_mut().forged += 1,
            _ => core.counters_mut().malformed += 1,
        }
    }

    /// Encodes and sends a datagram without waiting.
    pub(super) fn send(&self, to: SocketAddr, message: &GossipMessage) {
        let datagram = match self.state.codec.encode(message) {
            Ok(datagram) => datagram,
            Err(cause) => {
                log::warn!(target: log_target::MEMBERS, cause:%; "Cannot encode a datagram; it is not sent.");
                return;
            }
        };
        // A full send buffer drops the datagram; the protocol tolerates loss.
        if self.state.socket.try_send_to(&datagram, to).is_ok() {
            let mut core = self.state.core.borrow_mut();
            let counters = core.counters_mut();
            counters.sent += 1;
            counters.sent_bytes += datagram.len() as u64;
            drop(core);
            self.count_zone_datagram(to, |traffic, zone| {
                traffic.count_sent_datagram(zone, datagram.len());
            });
        }
    }
}
