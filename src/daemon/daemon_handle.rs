//! Starts one daemon of the fleet, reports when it is ready, and shuts it down gracefully.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join3;

use crate::admin::AdminServer;
use crate::config::ConfigHandle;
use crate::daemon::ProtocolAdapters;
use crate::daemon::daemon_builder::{DaemonBuilder, bind_error};
use crate::daemon::daemon_view::DaemonView;
use crate::daemon::peer_calls;
use crate::egress::EgressHandle;
use crate::exit::ExitStatus;
use crate::ingress::{IngressHandle, ShutdownLimits};
use crate::instances::{AnnounceServer, LeaveJournal};
use crate::limits::LimitsHandle;
use crate::logs::log_target;
use crate::members::MembersHandle;
use crate::peers::PeerListener;
use crate::settings::DaemonSettings;
use crate::time::{Deadline, ProcessClock};

/// Interval at which the daemon polls for its first configuration and, during shutdown, for
/// requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a daemon that shuts down keeps its listeners open, so that callers notice that it is not
/// ready. Its instances stay in use meanwhile.
const DRAIN_NOTICE: Duration = Duration::from_secs(2);
/// Part of the shutdown timeout that is reserved for leaving the membership, so that the daemon
/// exits before it is killed.
const LEAVE_RESERVE: Duration = Duration::from_millis(500);
/// Minimum time that open connections are served after the drain has begun, and connections without a
/// request after the listener is closed, so that requests already sent by callers still arrive.
const CONNECTION_GRACE: Duration = Duration::from_millis(300);

/// A running daemon with its listeners and background tasks.
pub struct DaemonHandle {
    settings: DaemonSettings,
    clock: ProcessClock,
    config: ConfigHandle,
    members: MembersHandle,
    limits: LimitsHandle,
    egress: EgressHandle,
    ingress: IngressHandle,
    stopping: Rc<Cell<bool>>,
    listener: Rc<PeerListener>,
    _admin: AdminServer,
    _announce: Rc<AnnounceServer>,
    journal: LeaveJournal,
}

impl DaemonHandle {
    /// Binds every listener and starts every background task.
    ///
    /// # Errors
    /// Returns the I/O error of a listener that cannot be bound, with its settings field and address,
    /// or the error of the metrics exporter.
    pub async fn open(settings: DaemonSettings, adapters: ProtocolAdapters) -> io::Result<Self> {
        let builder = DaemonBuilder::open(&settings, adapters)?;
        let config = builder.spawn_config(&settings);
        let members = builder.spawn_members(&settings, &config).await?;
        let limits = builder.spawn_limits(&settings, &config, &members);
        let egress = builder.spawn_egress(&settings, &config, &members);
        let announce = builder.bind_announce(&settings, &egress).await?;
        let handler = peer_calls::handler(&config, &members, &limits, &egress);
        let peers_address = settings.listen.peers;
        let key = builder.key.clone();
        let traffic = Rc::clone(&builder.zone_traffic);
        let unauthenticated = builder.connections.peers.clone();
        let listener =
            PeerListener::bind_limited(peers_address, key, handler, traffic, unauthenticated)
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
            zone_traffic: Rc::clone(&builder.zone_traffic),
            suspects: builder.suspects.clone(),
            settings: settings.clone(),
            boot: builder.boot,
            connections: builder.connections.clone(),
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
            listener,
            _admin: admin,
            _announce: announce,
            journal: builder.journal,
        })
    }

    /// Waits until the first configuration is loaded.
    pub async fn wait_ready(&self) {
        while !self.config.is_loaded() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        log::info!(
            target: log_target::DAEMON,
            daemon:% = self.settings.daemon,
            callers:% = self.settings.listen.callers,
            revision:% = self.config.revision();
            "Ready."
        );
    }

    /// Shuts down gracefully: drains the instances once callers had time to leave, finishes the requests
    /// in flight and leaves the membership. Meanwhile it returns the leased rate limits, as far as the
    /// platform and the other daemons answer in time.
    ///
    /// The instances are well and may run on, so they drain as late as their requests allow.
    ///
    /// Returns [`ExitStatus::ShutdownTimeout`] if requests are still in flight shortly before
    /// `proxy.shutdown` has passed.
    pub async fn stop(&self) -> ExitStatus {
        log::info!(target: log_target::DAEMON, "Shutdown begins: callers are sent away.");
        let now = self.clock.now();
        let timeout = self.settings.proxy.shutdown.get();
        let deadline = now.after(timeout.saturating_sub(LEAVE_RESERVE));
        let limits = ShutdownLimits::between(now, deadline);
        self.stopping.set(true);
        self.ingress.stop(limits);
        self.egress.begin_stop(deadline);
        let lease_holder = self.limits.clone();
        let hand_over = actix_rt::spawn(async move { lease_holder.hand_over().await });
        let accept_until = limits.accept_until.min(now.after(DRAIN_NOTICE));
        actix_rt::time::sleep(accept_until.remaining(self.clock.now())).await;
        log::info!(target: log_target::DAEMON, under_way = self.in_flight(); "The instances of this VM drain.");
        self.egress.stop();
        self.ingress.listen_for_calls();
        let status = self.drain_requests(limits, deadline).await;
        // The egress starts nothing since its stop. From here on the ingress accepts nothing either, so
        // the rest of the shutdown and the exit cut off no request.
        self.ingress.close();
        if !hand_over.is_finished() {
            log::warn!(target: log_target::DAEMON, "Return of the rate limits abandoned: the platform or other daemons are slow. The leases expire by themselves.");
            hand_over.abort();
        }
        let closing = self.listener.close(deadline, self.clock);
        join3(closing, self.members.leave(), self.journal.delete()).await;
        status
    }

    /// Waits until no request is in flight and [`CONNECTION_GRACE`] has passed. Closes the listener when
    /// no request runs beside the daemon that may make calls.
    async fn drain_requests(&self, limits: ShutdownLimits, deadline: Deadline) -> ExitStatus {
        let drain_grace = self.clock.now().after(CONNECTION_GRACE);
        let mut close_grace = None;
        loop {
            let now = self.clock.now();
            if let Some(close_grace) = close_grace {
                let is_silent = self.ingress.silent_connections() > 0;
                let grace = if is_silent { close_grace } else { drain_grace };
                if self.is_idle() && grace.has_passed(now) {
                    break;
                }
            } else if !limits.keeps_listening(self.egress.in_flight() > 0, now) {
                self.ingress.stop_listening();
                close_grace = Some(now.after(CONNECTION_GRACE).min(deadline));
            }
            if deadline.has_passed(now) {
                log::error!(target: log_target::DAEMON, under_way = self.in_flight(); "Stop took too long, work is cut off.");
                return ExitStatus::ShutdownTimeout;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        log::info!(target: log_target::DAEMON, "Stopped.");
        ExitStatus::Success
    }

    fn is_idle(&self) -> bool {
        self.in_flight() == 0
    }

    /// Requests in flight at ingress and egress together.
    fn in_flight(&self) -> usize {
        self.ingress.in_flight() + self.egress.in_flight()
    }
}
