//! Handle of the running membership: socket, background tasks and queries.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::UdpSocket;
use serde_json::json;

use crate::ids::{Incarnation, InstanceId, ServiceId, ZoneId};
use crate::members::{
    DatagramCodec, GossipAction, GossipCore, LiveMember, MemberDirectory, MemberSources,
};
use crate::time::unix_millis;
use crate::wire::{
    InstanceRecord, InstancesCall, InstancesReply, MemberRecord, MemberState, RunReport,
};

// Longest wait for the deletion of the own row when the daemon leaves.
const ROW_DELETE_TIMEOUT: Duration = Duration::from_millis(50);

pub(super) struct MembersState {
    pub(super) sources: MemberSources,
    /// Whether membership passes between zones through relays.
    pub(super) has_relays: bool,
    pub(super) codec: DatagramCodec,
    pub(super) socket: UdpSocket,
    pub(super) core: RefCell<GossipCore>,
    pub(super) rng: RefCell<fastrand::Rng>,
    /// Whether this process has written its row of the member directory.
    pub(super) has_row: Cell<bool>,
}

/// Handle of this daemon's membership; clones share one state.
#[derive(Clone)]
pub struct MembersHandle {
    pub(super) state: Rc<MembersState>,
}

impl MembersHandle {
    /// Binds the UDP socket and spawns the receiver, the ticks and the discovery.
    ///
    /// # Errors
    /// The I/O error when the address cannot be bound.
    pub async fn spawn(sources: MemberSources) -> io::Result<Self> {
        Self::spawn_with_relays(sources, 0).await
    }

    /// As `spawn`, with membership that passes between zones through `relays` daemons of each; 0
    /// means without relays.
    ///
    /// # Errors
    /// As `spawn`.
    pub async fn spawn_with_relays(sources: MemberSources, relays: usize) -> io::Result<Self> {
        let socket = UdpSocket::bind(sources.address).await?;
        let mut rng = fastrand::Rng::with_seed(sources.seed);
        let own = own_record(&sources);
        let now = sources.clock.now();
        let mut core = GossipCore::open(own, sources.seeds.clone(), now, &mut rng);
        if relays > 0 {
            core.set_relays(relays, now, &mut rng);
        }
        let state = Rc::new(MembersState {
            codec: DatagramCodec::open(sources.key.clone()),
            sources,
            has_relays: relays > 0,
            socket,
            core: RefCell::new(core),
            rng: RefCell::new(rng),
            has_row: Cell::new(false),
        });
        let handle = Self { state };
        actix_rt::spawn(handle.clone().run_receiver());
        actix_rt::spawn(handle.clone().run_ticks());
        actix_rt::spawn(handle.clone().run_discovery());
        Ok(handle)
    }

    /// Returns the live members, this daemon first.
    #[must_use]
    pub fn live(&self) -> Vec<LiveMember> {
        self.state.core.borrow().live()
    }

    /// Returns the availability zones of all known members, live or not.
    #[must_use]
    pub fn zones(&self) -> BTreeSet<ZoneId> {
        let core = self.state.core.borrow();
        let view = core.view();
        let others = view.members().entries().map(|entry| &entry.record);
        std::iter::once(view.own())
            .chain(others)
            .map(|record| record.zone.clone())
            .collect()
    }

    /// Returns a number that changes whenever a daemon joins, moves or stops being live.
    #[must_use]
    pub fn liveness_version(&self) -> u64 {
        self.state.core.borrow().view().liveness_version()
    }

    /// Returns the number of live members, this daemon included.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.state.core.borrow().view().members().live_count() + 1
    }

    /// Returns the records of `service` whose daemons are live.
    ///
    /// When this daemon's region has no ready instance, records of other regions are added.
    #[must_use]
    pub fn instances_of(&self, service: &ServiceId) -> Rc<[InstanceRecord]> {
        let now = self.state.sources.clock.now();
        self.state.core.borrow_mut().instances_of(service, now)
    }

    /// Returns the records of `service` whose daemons are live, in all regions.
    #[must_use]
    pub fn instances_of_regions(&self, service: &ServiceId) -> Rc<[InstanceRecord]> {
        let now = self.state.sources.clock.now();
        let mut core = self.state.core.borrow_mut();
        core.instances_of_regions(service, now)
    }

    /// Publishes the record of a local instance under a higher incarnation, if it has changed.
    pub fn publish(&self, record: InstanceRecord) {
        let actions = self.with_core(|core, rng, now| core.publish(&record, now, rng));
        self.execute(actions);
    }

    /// Publishes reports of this daemon on requests that may end instances.
    pub fn publish_runs(&self, reports: &[RunReport]) {
        let actions = self.with_core(|core, rng, now| core.publish_runs(reports, now, rng));
        self.execute(actions);
    }

    /// Publishes that a local instance is gone.
    pub fn remove(&self, instance: &InstanceId) {
        let actions = self.with_core(|core, rng, now| core.remove(instance, now, rng));
        self.execute(actions);
    }

    /// Answers a pull or a service query of a peer.
    pub async fn serve(&self, call: InstancesCall) -> InstancesReply {
        let mut reply = self.state.core.borrow().serve(&call);
        if let (InstancesCall::Pull { from: 0, .. }, InstancesReply::Owners { runs, .. }) =
            (&call, &mut reply)
        {
            *runs = self.state.sources.suspects.known_runs();
        }
        reply
    }

    /// Tells several daemons that this one leaves, then deletes its row of the member directory if
    /// it has written one.
    ///
    /// Waits at most `ROW_DELETE_TIMEOUT` for the deletion.
    pub async fn leave(&self) {
        let actions = self.with_core(|core, rng, now| core.leave(now, rng));
        self.execute(actions);
        if !self.state.has_row.get() {
            return;
        }
        let directory = MemberDirectory::open(Rc::clone(&self.state.sources.platform));
        let sources = &self.state.sources;
        let deletion = directory.delete(&sources.daemon, sources.boot);
        // A row that stays because the platform is unavailable only costs a starting daemon a ping.
        let _ = actix_rt::time::timeout(ROW_DELETE_TIMEOUT, deletion).await;
    }

    /// Returns the membership state for the admin dump.
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
            "is_relay": core.is_relay(self.state.sources.clock.now()),
            "zones_contacted_directly": core.open_zones().collect::<Vec<_>>(),
            "queued_changes": core.queued_changes(),
            "counters": core.counters(),
        })
    }

    /// Runs `operation` on the protocol at the current time and configuration revision.
    pub(super) fn with_core(
        &self,
        operation: impl FnOnce(
            &mut GossipCore,
            &mut fastrand::Rng,
            crate::time::MonoTime,
        ) -> Vec<GossipAction>,
    ) -> Vec<GossipAction> {
        let revision = (self.state.sources.own_revision)();
        let now = self.state.sources.clock.now();
        let mut core = self.state.core.borrow_mut();
        core.set_revision(revision);
        operation(&mut core, &mut self.state.rng.borrow_mut(), now)
    }

    /// Carries out actions: sends datagrams, spawns pulls and reports revisions.
    pub(super) fn execute(&self, actions: Vec<GossipAction>) {
        for action in actions {
            match action {
                GossipAction::Send { to, message } => self.send(to, &message),
                GossipAction::ReportRevision(revision, from) => {
                    (self.state.sources.on_revision)(revision, from);
                }
                GossipAction::ReportRuns(runs) => self.state.sources.suspects.receive(&runs),
                GossipAction::ReportLeft(instance, run) => {
                    (self.state.sources.on_left)(&instance, run);
                }
                GossipAction::PullView(peer) => {
                    actix_rt::spawn(self.clone().pull(peer));
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
}

/// Builds the own record. The wall clock is only a first guess at an incarnation above those of
/// earlier boots; `GossipCore` raises it when it hears of a higher one.
fn own_record(sources: &MemberSources) -> MemberRecord {
    MemberRecord {
        daemon: sources.daemon.clone(),
        boot: sources.boot,
        incarnation: Incarnation(unix_millis()),
        address: sources.address,
        zone: sources.zone.clone(),
        region: sources.region.clone(),
        state: MemberState::Alive,
        runs: Vec::new(),
    }
}
