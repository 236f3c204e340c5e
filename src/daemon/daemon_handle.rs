//! Wires the builder of one daemon together.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use crate::admin::AdminServer;
use crate::config::ConfigHandle;
use crate::daemon::ProtocolAdapters;
use crate::daemon::daemon_builder::{DaemonBuilder, bind_error};
use crate::daemon::daemon_view::DaemonView;
use crate::daemon::peer_calls;
use crate::egress::EgressHandle;
use crate::exit::ExitStatus;
use crate::ingress::IngressHandle;
use crate::instances::AnnounceServer;
use crate::limits::LimitsHandle;
use crate::logs::part;
use crate::members::MembersHandle;
use crate::peers::PeerListener;
use crate::settings::DaemonSettings;
use crate::time::{Deadline, ProcessClock};

/// How often a stopping daemon looks whether its work is done.
const STOP_POLL: Duration = Duration::from_millis(20);
/// How long a stopping daemon serves on, so that callers and the other daemons learn of it.
const STOP_LINGER: Duration = Duration::from_secs(2);
/// Part of the time for a stop that is left for the farewell, so that the daemon ends by itself
/// before it is killed.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// How long it serves open connections once it has stopped listening.
const CLOSE_LINGER: Duration = Duration::from_millis(300);

/// A running daemon.
pub struct DaemonHandle {
    settings: DaemonSettings,
    clock: ProcessClock,
    config: ConfigHandle,
    members: MembersHandle,
    limits: LimitsHandle,
    egress: EgressHandle,
    ingress: IngressHandle,
    stopping: Rc<Cell<bool>>,
    _listener: Rc<PeerListener>,
    _admin: AdminServer,
    _announce: Rc<AnnounceServer>,
}

impl DaemonHandle {
    /// Binds every listener and starts every part.
    ///
    /// # Errors
    /// Any I/O error of binding names the setting and its address.
    pub async fn open(settings: DaemonSettings, adapters: ProtocolAdapters) -> io::Result<Self> {
        let builder = DaemonBuilder::open(&settings, adapters)?;
        let config = builder.spawn_config(&settings);
        let members = builder.spawn_members(&settings, &config).await?;
        let limits = builder.spawn_limits(&settings, &config, &members);
        let egress = builder.spawn_egress(&settings, &config, &members);
        let announce = builder.bind_announce(&settings, &egress).await?;
        let handler = peer_calls::handler(&config, &members, &limits, &egress);
        let peers_address = settings.listen.peers;
        let listener = PeerListener::bind(peers_address, builder.key.clone(), handler)
            .await
            .map_err(|cause| bind_error("listen.peers", peers_address, &cause))?;
        let listener = Rc::new(listener);
        let ingress = builder
            .bind_ingress(&settings, &config, &limits, &members)
            .await?;
        let view = DaemonView {
            config: config.clone(),
            members: members.clone(),
            limits: limits.clone(),
            egress: egress.clone(),
            ingress: ingress.clone(),
            announce: Rc::clone(&announce),
            listener: Rc::clone(&listener),
            settings: settings.clone(),
            boot: builder.boot,
        };
        let admin = builder.bind_admin(&settings, view).await?;
        Ok(Self {
            settings,
            clock: builder.clock,
            config,
            members,
            limits,
            egress,
            ingress,
            stopping: builder.stopping,
            _listener: listener,
            _admin: admin,
            _announce: announce,
        })
    }

    /// Waits until the first configuration is in force.
    pub async fn wait_ready(&self) {
        while !self.config.is_loaded() {
            actix_rt::time::sleep(STOP_POLL).await;
        }
        log::info!(
            target: part::DAEMON,
            daemon:% = self.settings.daemon,
            callers:% = self.settings.listen.callers,
            revision:% = self.config.revision();
            "Ready."
        );
    }

    /// Stops gracefully: takes no new work, finishes what runs, hands over.
    pub async fn stop(&self) -> ExitStatus {
        log::info!(target: part::DAEMON, "Stopping.");
        let now = self.clock.now();
        let longest = self.settings.proxy.shutdown.get();
        let deadline = now.after(longest.saturating_sub(STOP_MARGIN));
        self.stopping.set(true);
        self.egress.stop();
        self.ingress.stop();
        self.limits.hand_over().await;
        actix_rt::time::sleep(STOP_LINGER).await;
        self.ingress.stop_listening();
        let status = self.finish_work(deadline).await;
        self.members.leave().await;
        status
    }

    /// Waits until all work is done and callers have had time to send what was on its way.
    async fn finish_work(&self, deadline: Deadline) -> ExitStatus {
        let linger = self.clock.now().after(CLOSE_LINGER);
        while !(self.is_idle() && linger.has_passed(self.clock.now())) {
            if deadline.has_passed(self.clock.now()) {
                log::error!(target: part::DAEMON, under_way = self.under_way(); "Stop took too long, work is cut off.");
                return ExitStatus::ShutdownTimeout;
            }
            actix_rt::time::sleep(STOP_POLL).await;
        }
        log::info!(target: part::DAEMON, "Stopped.");
        ExitStatus::Success
    }

    fn is_idle(&self) -> bool {
        self.under_way() == 0
    }

    fn under_way(&self) -> usize {
        self.ingress.in_flight() + self.egress.in_flight()
    }
}
