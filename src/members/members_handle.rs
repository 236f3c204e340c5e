//! The running membership.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_rt::net::UdpSocket;
use serde_json::json;

use crate::ids::{Incarnation, InstanceId, RegionId, ServiceId};
use crate::logs::part;
use crate::members::{
    DatagramCodec, DatagramError, GossipAction, GossipCore, LiveMember, MAX_DATAGRAM_BYTES,
    MemberRow, MemberRows, MemberSources,
};
use crate::wire::{
    GossipMessage, InstanceRecord, InstancesCall, InstancesReply, MemberRecord, MemberState,
    PeerCall, PeerReply,
};

const TICK: Duration = Duration::from_millis(100);
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
const MOST_PAGES: usize = 64;
const ROW_RETRY: Duration = Duration::from_secs(10);
const ROW_POLL: Duration = Duration::from_secs(120);
const MOST_CONTACTS: usize = 8;
const LEAVE_WAIT: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

struct MembersState {
    sources: MemberSources,
    codec: DatagramCodec,
    socket: UdpSocket,
    core: RefCell<GossipCore>,
    rng: RefCell<fastrand::Rng>,
}

/// Membership of this daemon; clones share it.
#[derive(Clone)]
pub struct MembersHandle {
    state: Rc<MembersState>,
}

impl MembersHandle {
    /// Binds the UDP socket and starts to probe.
    ///
    /// # Errors
    /// Any I/O error of binding.
    pub async fn spawn(sources: MemberSources) -> io::Result<Self> {
        let socket = UdpSocket::bind(sources.address).await?;
        let mut rng = fastrand::Rng::with_seed(sources.seed);
        let own = own_record(&sources);
        let now = sources.clock.now();
        let core = GossipCore::open(own, sources.seeds.clone(), now, &mut rng);
        let state = Rc::new(MembersState {
            codec: DatagramCodec::open(sources.key.clone()),
            sources,
            socket,
            core: RefCell::new(core),
            rng: RefCell::new(rng),
        });
        let handle = Self { state };
        actix_rt::spawn(handle.clone().run_receiver());
        actix_rt::spawn(handle.clone().run_ticks());
        actix_rt::spawn(handle.clone().run_rows());
        Ok(handle)
    }

    /// The live members, this daemon first.
    #[must_use]
    pub fn live(&self) -> Vec<LiveMember> {
        self.state.core.borrow().live()
    }

    /// The records of `service` whose daemons are live; shared until a change.
    #[must_use]
    pub fn instances_of(&self, service: &ServiceId) -> Rc<[InstanceRecord]> {
        let now = self.state.sources.clock.now();
        self.state.core.borrow_mut().instances_of(service, now)
    }

    /// Publishes the record of an instance beside this daemon, under a higher incarnation.
    pub fn publish(&self, record: InstanceRecord) {
        let actions = self.decide(|core, rng, now| core.publish(&record, now, rng));
        self.carry_out(actions);
    }

    /// Publishes that an instance beside this daemon is gone.
    pub fn remove(&self, instance: &InstanceId) {
        let actions = self.decide(|core, rng, now| core.remove(instance, now, rng));
        self.carry_out(actions);
    }

    /// Answers a peer's call.
    pub async fn serve(&self, call: InstancesCall) -> InstancesReply {
        self.state.core.borrow().serve(&call)
    }

    /// Tells other daemons at once that this one leaves, and deletes its row.
    pub async fn leave(&self) {
        let actions = self.decide(|core, rng, now| core.leave(now, rng));
        self.carry_out(actions);
        let rows = MemberRows::open(Rc::clone(&self.state.sources.platform));
        let deletion = rows.delete(&self.state.sources.daemon);
        // The platform may be away; a stale row only costs the next newcomer a ping.
        let _ = actix_rt::time::timeout(LEAVE_WAIT, deletion).await;
    }

    /// The state for operators.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let core = self.state.core.borrow();
        let members: Vec<_> = core.view().members().entries().collect();
        let members: Vec<_> = members.iter().map(|entry| &entry.record).collect();
        json!({
            "own": core.view().own(),
            "members": members,
            "live": core.view().members().live_count() + 1,
            "instance_records": core.view().records().len(),
            "queued_changes": core.queued(),
            "counters": core.counters(),
        })
    }

    async fn run_ticks(self) {
        loop {
            let actions = self.decide(|core, rng, now| core.tick(now, rng));
            self.carry_out(actions);
            actix_rt::time::sleep(TICK).await;
        }
    }

    async fn run_receiver(self) {
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
        match self.state.codec.unseal(datagram) {
            Ok(message) => {
                self.count_received(datagram.len());
                let actions = self.decide(|core, rng, now| core.receive(&message, from, now, rng));
                self.carry_out(actions);
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

    fn decide(
        &self,
        decision: impl FnOnce(
            &mut GossipCore,
            &mut fastrand::Rng,
            crate::time::MonoTime,
        ) -> Vec<GossipAction>,
    ) -> Vec<GossipAction> {
        let revision = (self.state.sources.own_revision)();
        let now = self.state.sources.clock.now();
        let mut core = self.state.core.borrow_mut();
        core.set_revision(revision);
        decision(&mut core, &mut self.state.rng.borrow_mut(), now)
    }

    fn carry_out(&self, actions: Vec<GossipAction>) {
        for action in actions {
            match action {
                GossipAction::Send { to, message } => self.send(to, &message),
                GossipAction::Revision(revision, from) => {
                    (self.state.sources.on_revision)(revision, from);
                }
                GossipAction::Pull(from) => {
                    actix_rt::spawn(self.clone().pull(from));
                }
                GossipAction::PullService {
                    service,
                    region,
                    peer,
                } => {
                    actix_rt::spawn(self.clone().pull_service(service, region, peer));
                }
            }
        }
    }

    fn send(&self, to: SocketAddr, message: &GossipMessage) {
        let datagram = match self.state.codec.seal(message) {
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

    /// Pulls what this daemon lacks, page by page.
    async fn pull(self, from: SocketAddr) {
        let mut next = Some(0);
        for _ in 0..MOST_PAGES {
            let Some(page) = next else {
                return;
            };
            next = self.pull_page(from, page).await;
        }
    }

    async fn pull_page(&self, peer: SocketAddr, from: u32) -> Option<u32> {
        let call = self.state.core.borrow().pull_call(peer, from);
        let call = PeerCall::Instances(call);
        let reply = self
            .state
            .sources
            .peers
            .call(peer, call, PULL_TIMEOUT)
            .await;
        match reply {
            Ok(PeerReply::Instances(InstancesReply::Owners { owners, next })) => {
                let actions = self.decide(|core, rng, now| core.absorb(&owners, now, rng));
                self.carry_out(actions);
                next
            }
            Ok(_) => None,
            Err(cause) => {
                log::info!(target: part::MEMBERS, peer:%, cause:%; "Cannot pull the view.");
                None
            }
        }
    }

    async fn pull_service(self, service: ServiceId, region: RegionId, peer: SocketAddr) {
        let call = PeerCall::Instances(InstancesCall::Service(service.clone()));
        let reply = self
            .state
            .sources
            .peers
            .call(peer, call, PULL_TIMEOUT)
            .await;
        if let Ok(PeerReply::Instances(InstancesReply::Service(records))) = reply {
            let mut core = self.state.core.borrow_mut();
            core.absorb_service(&service, region, records);
        }
    }

    /// Writes the own row once, then looks for daemons in the table, rarely.
    async fn run_rows(self) {
        let rows = MemberRows::open(Rc::clone(&self.state.sources.platform));
        let sources = &self.state.sources;
        let row = MemberRow {
            address: sources.address,
            boot: sources.boot,
            zone: sources.zone.clone(),
            region: sources.region.clone(),
        };
        let mut written = false;
        loop {
            if !written {
                written = rows.write(&sources.daemon, &row).await.is_ok();
            }
            let read = self.read_rows(&rows).await;
            let wait = match written && read {
                true => ROW_POLL,
                false => ROW_RETRY,
            };
            let factor = 0.5 + self.state.rng.borrow_mut().f64();
            actix_rt::time::sleep(wait.mul_f64(factor)).await;
        }
    }

    /// Reads a few rows from a random place on; whether the platform answered.
    async fn read_rows(&self, rows: &MemberRows) -> bool {
        let own = &self.state.sources.daemon;
        let place = match self.state.rng.borrow_mut().bool() {
            true => Some(own),
            false => None,
        };
        match rows.addresses(place, MOST_CONTACTS).await {
            Ok(addresses) => {
                self.state.core.borrow_mut().add_contacts(addresses);
                true
            }
            Err(cause) => {
                log::debug!(target: part::MEMBERS, cause:%; "Cannot read the rows of members.");
                false
            }
        }
    }
}

/// The own record; the wall clock only hints at an incarnation above earlier boots.
fn own_record(sources: &MemberSources) -> MemberRecord {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = wall.map_or(0, |wall| wall.as_millis());
    MemberRecord {
        daemon: sources.daemon.clone(),
        boot: sources.boot,
        incarnation: Incarnation(u64::try_from(millis).unwrap_or(0)),
        address: sources.address,
        zone: sources.zone.clone(),
        region: sources.region.clone(),
        state: MemberState::Alive,
    }
}
