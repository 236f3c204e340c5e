//! Starts the components of a daemon in order and passes each the dependencies that it needs.

use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::admin::{AdminServer, AdminSources};
use crate::config::{ConfigHandle, ConfigSources, DocumentPeers};
use crate::crashes::{CrashRules, SuspectsHandle};
use crate::daemon::ProtocolAdapters;
use crate::daemon::daemon_view::DaemonView;
use crate::daemon::listener_connections::ListenerConnections;
use crate::daemon::record_publisher::RecordPublisher;
use crate::egress::{ClientOptions, EgressHandle, EgressSources};
use crate::evacuation::RecordFilter;
use crate::hash::FastMap;
use crate::http::HeaderRules;
use crate::ids::{BootId, DaemonId, ZoneId};
use crate::ingress::{IngressHandle, IngressSources};
use crate::instances::{AnnounceServer, AnnounceSources, LeaveJournal, LeftRuns, RenewalRule};
use crate::limits::{HomeCandidate, LimitsHandle, LimitsSources, MemberSource};
use crate::logs::log_target;
use crate::members::{MemberSources, MembersHandle};
use crate::metrics::MetricsExport;
use crate::peers::{FleetKey, PeerPool, ZoneTraffic};
use crate::platform::{PlatformService, TimedPlatform};
use crate::retry::CallRates;
use crate::settings::DaemonSettings;
use crate::time::{ProcessClock, unix_millis};

/// Dependencies that the components of one daemon share, and the steps that start each component.
pub(crate) struct DaemonBuilder {
    pub(crate) boot: BootId,
    pub(crate) clock: ProcessClock,
    pub(crate) key: FleetKey,
    pub(crate) stopping: Rc<Cell<bool>>,
    headers: Rc<HeaderRules>,
    pub(crate) zone_traffic: Rc<ZoneTraffic>,
    peers: PeerPool,
    pub(crate) suspects: SuspectsHandle,
    call_rates: Rc<RefCell<CallRates>>,
    pub(crate) journal: LeaveJournal,
    platform: Rc<dyn PlatformService>,
    adapters: ProtocolAdapters,
    metrics: Rc<MetricsExport>,
    pub(crate) connections: ListenerConnections,
    /// Empty until the membership runs; configuration starts before it and reads it later.
    members: Rc<OnceCell<MembersHandle>>,
    /// Empty until the announcement listener is bound; the egress starts before it.
    announce: Rc<OnceCell<Rc<AnnounceServer>>>,
}

impl DaemonBuilder {
    pub(crate) fn open(settings: &DaemonSettings, adapters: ProtocolAdapters) -> io::Result<Self> {
        let key = FleetKey::open(&settings.fleet_secret);
        let clock = ProcessClock::open();
        let metrics = Rc::new(MetricsExport::open().map_err(io::Error::other)?);
        let platform = Rc::clone(&adapters.platform);
        let platform: Rc<dyn PlatformService> =
            Rc::new(TimedPlatform::open(platform, clock, metrics.durations()));
        let journal = LeaveJournal::open(
            Rc::clone(&platform),
            &settings.daemon,
            LeftRuns::default(),
            clock,
        );
        let rules = CrashRules {
            limit: settings.proxy.crash_limit as usize,
            hold: settings.proxy.crash_hold.get(),
        };
        let zone_traffic = Rc::new(ZoneTraffic::open(&settings.zone));
        Ok(Self {
            boot: BootId(fastrand::u64(1..)),
            clock,
            peers: PeerPool::open_counted(key.clone(), Rc::clone(&zone_traffic)),
            suspects: SuspectsHandle::open(rules, clock),
            call_rates: Rc::new(RefCell::new(CallRates::open(clock.now()))),
            zone_traffic,
            key,
            stopping: Rc::default(),
            headers: Rc::new(HeaderRules::open(&settings.headers)),
            journal,
            platform,
            adapters,
            metrics,
            connections: ListenerConnections::open(&settings.proxy).map_err(io::Error::other)?,
            members: Rc::default(),
            announce: Rc::default(),
        })
    }

    pub(crate) fn spawn_config(&self, settings: &DaemonSettings) -> ConfigHandle {
        let members = Rc::clone(&self.members);
        let own = settings.listen.peers;
        let sources = ConfigSources {
            settings: settings.platform.clone(),
            daemon: settings.daemon.clone(),
            boot: self.boot,
            clock: self.clock,
            peers: self.peers.clone(),
            platform: Rc::clone(&self.platform),
            peer_addresses: Rc::new(move || other_addresses(&members, own)),
        };
        match &self.adapters.document {
            Some(document) => {
                let peers = self.document_peers(settings);
                ConfigHandle::spawn_document(sources, Rc::clone(document), peers)
            }
            None => ConfigHandle::spawn(sources),
        }
    }

    /// The daemons that may pass the configuration document on; none until the membership runs.
    fn document_peers(&self, settings: &DaemonSettings) -> DocumentPeers {
        let (versions, members) = (Rc::clone(&self.members), Rc::clone(&self.members));
        DocumentPeers {
            zone: settings.zone.clone(),
            version: Rc::new(move || versions.get().map_or(0, MembersHandle::liveness_version)),
            members: Rc::new(move || members.get().map_or_else(Vec::new, MembersHandle::live)),
        }
    }

    pub(crate) async fn spawn_members(
        &self,
        settings: &DaemonSettings,
        config: &ConfigHandle,
    ) -> io::Result<MembersHandle> {
        let own = config.clone();
        let announced = config.clone();
        let (left_runs, clock) = (self.journal.left_runs(), self.clock);
        let sources = MemberSources {
            daemon: settings.daemon.clone(),
            boot: self.boot,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            address: settings.listen.peers,
            seeds: settings.seeds.clone(),
            key: self.key.clone(),
            clock: self.clock,
            peers: self.peers.clone(),
            platform: Rc::clone(&self.platform),
            own_revision: Rc::new(move || own.revision()),
            on_revision: Rc::new(move |revision, from| {
                announced.revision_announced(revision, from)
            }),
            suspects: self.suspects.clone(),
            on_left: Rc::new(move |instance, run| {
                if left_runs.recall(instance, run, clock.now()) {
                    log::info!(target: log_target::INSTANCES, instance:%, run:%; "Instance has left before the start, as other daemons report.");
                }
            }),
            start_spread: settings.start_spread.get(),
            seed: fastrand::u64(..),
        };
        let handle = MembersHandle::spawn_with_relays(sources, settings.zones.relays)
            .await
            .map_err(|cause| bind_error("listen.peers", settings.listen.peers, &cause))?;
        // The cell is still empty, since this function runs once per daemon.
        let _ = self.members.set(handle.clone());
        let publisher = handle.clone();
        self.suspects
            .publish_by(move |reports| publisher.publish_runs(reports));
        Ok(handle)
    }

    pub(crate) fn spawn_limits(
        &self,
        settings: &DaemonSettings,
        config: &ConfigHandle,
        members: &MembersHandle,
    ) -> LimitsHandle {
        let config = config.clone();
        let (versions, zoned, members) = (members.clone(), members.clone(), members.clone());
        LimitsHandle::spawn(LimitsSources {
            settings: settings.limits.clone(),
            daemon: settings.daemon.clone(),
            boot: self.boot,
            clock: self.clock,
            own_address: settings.listen.peers,
            peers: self.peers.clone(),
            platform: Rc::clone(&self.platform),
            start_spread: settings.start_spread.get(),
            members: MemberSource {
                version: Rc::new(move || versions.liveness_version()),
                list: Rc::new(move || home_candidates(&members)),
                zones: Rc::new(move || member_zones(&zoned)),
            },
            rate_of: Rc::new(move |account| config.catalog().rate_limit(account)),
        })
    }

    pub(crate) fn spawn_egress(
        &self,
        settings: &DaemonSettings,
        config: &ConfigHandle,
        members: &MembersHandle,
    ) -> EgressHandle {
        let gate = config.clone();
        let evacuations = config.clone();
        let own_zone = settings.zone.clone();
        let record_filter = RefCell::new(RecordFilter::default());
        let config = config.clone();
        let records = members.clone();
        let counted = members.clone();
        let (announce, announced) = (Rc::clone(&self.announce), Rc::clone(&self.announce));
        let publisher = RecordPublisher {
            settings: settings.clone(),
            members: members.clone(),
            left_runs: self.journal.left_runs(),
        };
        EgressHandle::spawn(EgressSources {
            clock: self.clock,
            client_options: ClientOptions::open(Rc::clone(&self.headers), &settings.proxy),
            slot_hold: settings.proxy.slot_hold.get(),
            durations: self.metrics.durations(),
            spec_of: Rc::new(move |service| config.catalog().service(service).cloned()),
            records_of: Rc::new(move |service| {
                let all = records.instances_of(service);
                let zones = evacuations.evacuated_zones();
                record_filter.borrow_mut().usable(service, all, &zones)
            }),
            zone_gate: Rc::new(move || gate.zone_gate(&own_zone)),
            suspects: self.suspects.clone(),
            call_rates: Rc::clone(&self.call_rates),
            member_count: Rc::new(move || counted.live_count()),
            accepts_work: Rc::new(move |instance| {
                announce
                    .get()
                    .is_some_and(|server| server.accepts_work(instance))
            }),
            on_leaving: Rc::new(move |instance| {
                if let Some(server) = announced.get() {
                    server.drain_leaving(instance);
                }
            }),
            publish: Rc::new(move |local, state, median, cold_rate| {
                let record = publisher.record(local, state, median, cold_rate);
                publisher.members.publish(record);
            }),
        })
    }

    pub(crate) async fn bind_announce(
        &self,
        settings: &DaemonSettings,
        egress: &EgressHandle,
    ) -> io::Result<Rc<AnnounceServer>> {
        let address = settings.listen.announce;
        let (egress, observer) = (egress.clone(), egress.clone());
        let stopping = Rc::clone(&self.stopping);
        let sources = AnnounceSources {
            address,
            reader: Rc::clone(&self.adapters.announcements),
            clock: self.clock,
            renewal_rule: RenewalRule::open(
                self.clock.now(),
                unix_millis(),
                settings.start_trust.get(),
            ),
            journal: self.journal.clone(),
            on_change: Rc::new(move |local| egress.apply_announcement(&local)),
            on_announcement: Rc::new(move |instance, announcement| {
                observer.observe_cold_announcement(instance, announcement);
            }),
            is_stopping: Rc::new(move || stopping.get()),
        };
        let server = AnnounceServer::bind_limited(sources, self.connections.announce.clone())
            .await
            .map_err(|cause| bind_error("listen.announce", address, &cause))?;
        let server = Rc::new(server);
        // The cell is still empty, since this function runs once per daemon.
        let _ = self.announce.set(Rc::clone(&server));
        Ok(server)
    }

    pub(crate) async fn bind_ingress(
        &self,
        settings: &DaemonSettings,
        config: &ConfigHandle,
        limits: &LimitsHandle,
        members: &MembersHandle,
    ) -> io::Result<IngressHandle> {
        let address = settings.listen.callers;
        let sources = IngressSources {
            clock: self.clock,
            boot: self.boot,
            zone: settings.zone.clone(),
            service: settings.service.clone(),
            headers: Rc::clone(&self.headers),
            proxy: settings.proxy.clone(),
            baseline: settings.baseline,
            peers: self.peers.clone(),
            config: config.clone(),
            limits: limits.clone(),
            members: members.clone(),
            durations: self.metrics.durations(),
            suspects: self.suspects.clone(),
            call_rates: Rc::clone(&self.call_rates),
        };
        IngressHandle::bind(address, sources, self.connections.callers.clone())
            .await
            .map_err(|cause| bind_error("listen.callers", address, &cause))
    }

    pub(crate) async fn bind_admin(
        &self,
        settings: &DaemonSettings,
        view: DaemonView,
    ) -> io::Result<AdminServer> {
        let address = settings.listen.admin;
        let view = Rc::new(view);
        let (shown, measured) = (Rc::clone(&view), Rc::clone(&view));
        let export = Rc::clone(&self.metrics);
        let stopping = Rc::clone(&self.stopping);
        let loaded = view.config.clone();
        let members = view.members.clone();
        let sources = AdminSources {
            address,
            token_hash: settings.operators.token_hash,
            config: view.config.clone(),
            zones: Rc::new(move || members.zones()),
            suspects: self.suspects.clone(),
            is_ready: Rc::new(move || loaded.is_loaded() && !stopping.get()),
            dump: Rc::new(move || shown.dump()),
            metrics: Rc::new(move || export.text(measured.metrics())),
        };
        AdminServer::bind_limited(sources, self.connections.admin.clone())
            .await
            .map_err(|cause| bind_error("listen.admin", address, &cause))
    }
}

/// Builds the error of a listener that cannot be bound, with the settings field that holds its
/// address.
pub(crate) fn bind_error(field: &str, address: SocketAddr, cause: &io::Error) -> io::Error {
    let remedy = "choose an address of this VM that is free";
    io::Error::new(
        cause.kind(),
        format!(
            "settings field '{field}' has value '{address}', which cannot be bound: {cause}; {remedy}"
        ),
    )
}

/// Peer addresses of the live members except `own`; empty until the membership runs.
fn other_addresses(members: &OnceCell<MembersHandle>, own: SocketAddr) -> Vec<SocketAddr> {
    let Some(members) = members.get() else {
        return Vec::new();
    };
    let live = members.live();
    live.iter()
        .map(|member| member.address)
        .filter(|address| *address != own)
        .collect()
}

/// The availability zones of the live members.
fn member_zones(members: &MembersHandle) -> FastMap<DaemonId, ZoneId> {
    let live = members.live().into_iter();
    live.map(|member| (member.daemon, member.zone)).collect()
}

/// The live members, any of which may serve as the home of a rate limit.
fn home_candidates(members: &MembersHandle) -> Vec<HomeCandidate> {
    members
        .live()
        .into_iter()
        .map(|member| HomeCandidate {
            daemon: member.daemon,
            address: member.address,
        })
        .collect()
}
