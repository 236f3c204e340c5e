//! HTTP server that receives the announcements of backend servers.

use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{ALLOW, HeaderValue, RETRY_AFTER};
use actix_http::{Method, Request, Response, StatusCode};
use serde_json::json;

use crate::http::{
    self, ConnectionLimits, HttpHandler, HttpServer, HttpTimeouts, ServerConnections,
};
use crate::ids::InstanceId;
use crate::instances::{
    AnnounceError, AnnounceSources, AnnounceTable, Announcement, LocalInstance,
};
use crate::logs::log_target;
use crate::units::ByteSize;

const PATH: &str = "/v1/instances";
/// Maximum size of an announcement's body.
const MAX_BODY: ByteSize = ByteSize::from_kib(4);
/// Interval at which expired leases are looked for.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

struct AnnounceState {
    sources: AnnounceSources,
    table: RefCell<AnnounceTable>,
}

/// Handle of the running server. Dropping it stops the server and the task that expires leases.
pub struct AnnounceServer {
    state: Rc<AnnounceState>,
    server: HttpServer,
    lease_task: actix_rt::task::JoinHandle<()>,
}

impl AnnounceServer {
    /// Binds the configured address and starts to accept announcements.
    ///
    /// # Errors
    /// The I/O error if the address cannot be bound.
    pub async fn bind(sources: AnnounceSources) -> io::Result<Self> {
        let limits = ConnectionLimits::control(None);
        Self::bind_limited(sources, ServerConnections::open("announce", limits)).await
    }

    /// As `bind`, on `connections`.
    ///
    /// # Errors
    /// As `bind`.
    pub async fn bind_limited(
        sources: AnnounceSources,
        connections: ServerConnections,
    ) -> io::Result<Self> {
        let address = sources.address;
        let left_runs = sources.journal.left_runs();
        let table = AnnounceTable::open(sources.renewal_rule.clone(), left_runs);
        let state = Rc::new(AnnounceState {
            sources,
            table: RefCell::new(table),
        });
        let handler_state = Rc::clone(&state);
        let handler: HttpHandler = Rc::new(move |request| {
            let state = Rc::clone(&handler_state);
            Box::pin(async move { state.handle_request(request).await })
        });
        let timeouts = HttpTimeouts::default();
        let server = HttpServer::bind_limited(address, handler, timeouts, connections).await?;
        let lease_task = actix_rt::spawn(expire_leases(Rc::clone(&state)));
        Ok(Self {
            state,
            server,
            lease_task,
        })
    }

    /// The address that the server is bound to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The registered instances that are not gone, sorted by name.
    #[must_use]
    pub fn instances(&self) -> Vec<LocalInstance> {
        self.state.table.borrow().present_instances()
    }

    /// Whether `instance` may start a new request now. The egress checks this right before it sends
    /// one.
    #[must_use]
    pub fn accepts_work(&self, instance: &InstanceId) -> bool {
        let now = self.state.sources.clock.now();
        self.state.table.borrow().accepts_work(instance, now)
    }

    /// Drains `instance`, which said in a response that it leaves; its next announcement may be late.
    pub fn drain_leaving(&self, instance: &InstanceId) {
        let now = self.state.sources.clock.now();
        let drained = self.state.table.borrow_mut().drain_leaving(instance, now);
        if let Some(local) = drained {
            log::info!(target: log_target::INSTANCES, instance:%, service:% = local.service, phase:? = local.phase; "Instance says in a response that it leaves.");
            (self.state.sources.on_change)(local);
        }
    }

    /// The registered instances as JSON, for the operators' dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        json!({ "instances": self.instances() })
    }
}

impl Drop for AnnounceServer {
    fn drop(&mut self) {
        self.lease_task.abort();
    }
}

/// Periodically reports the instances whose lease has expired.
async fn expire_leases(state: Rc<AnnounceState>) {
    loop {
        actix_rt::time::sleep(LEASE_CHECK_INTERVAL).await;
        let now = state.sources.clock.now();
        let drained = state.table.borrow_mut().drain_left(now);
        for local in drained {
            log::warn!(target: log_target::INSTANCES, instance:% = local.instance, phase:? = local.phase; "Instance out of use: it left before this process started, and its announcement was a late one.");
            (state.sources.on_change)(local);
        }
        let unconfirmed = state.table.borrow_mut().end_unconfirmed(now);
        for local in unconfirmed {
            log::warn!(target: log_target::INSTANCES, instance:% = local.instance, phase:? = local.phase; "Instance out of use until it announces itself again: its first announcement since the start may be a late one.");
            (state.sources.on_change)(local);
        }
        let changed = state.table.borrow_mut().expire_leases(now);
        for local in changed {
            log::warn!(target: log_target::INSTANCES, instance:% = local.instance, phase:? = local.phase; "Lease missed.");
            (state.sources.on_change)(local);
        }
    }
}

impl AnnounceState {
    async fn handle_request(&self, mut request: Request) -> Response<BoxBody> {
        let path = request.path().to_owned();
        match (request.method().clone(), path.strip_prefix(PATH)) {
            (Method::GET, Some("")) => {
                http::json_response(StatusCode::OK, &self.table.borrow().present_instances())
            }
            (Method::PUT, Some(rest)) if rest.len() > 1 && rest.starts_with('/') => {
                match self.announce(&rest[1..], &mut request).await {
                    Ok(local) => http::json_response(StatusCode::OK, &local),
                    Err(error) => refuse(&error),
                }
            }
            (Method::DELETE, Some(rest)) if rest.len() > 1 && rest.starts_with('/') => {
                match self.remove(&rest[1..], &request).await {
                    Ok(local) => http::json_response(StatusCode::OK, &local),
                    Err(error) => refuse(&error),
                }
            }
            (_, Some(rest)) if rest.is_empty() || rest.starts_with('/') => method_not_allowed(),
            _ => http::text_response(
                StatusCode::NOT_FOUND,
                "unknown path; use PUT /v1/instances/{instance}",
            ),
        }
    }

    async fn announce(
        &self,
        name: &str,
        request: &mut Request,
    ) -> Result<LocalInstance, AnnounceError> {
        check_client(request.peer_addr())?;
        let instance: InstanceId = name.parse()?;
        let body = http::read_body(request.payload(), MAX_BODY).await?;
        let announcement = (self.sources.reader)(&body)?;
        if !is_on_this_vm(announcement.address.ip()) {
            return Err(AnnounceError::AddressNotLocal(announcement.address));
        }
        let local = self.apply(&instance, &announcement)?;
        self.record_leave(&instance).await;
        Ok(local)
    }

    fn apply(
        &self,
        instance: &InstanceId,
        announcement: &Announcement,
    ) -> Result<LocalInstance, AnnounceError> {
        let now = self.sources.clock.now();
        let is_new = self.table.borrow().get(instance).is_none();
        if is_new && (self.sources.is_stopping)() {
            return Err(AnnounceError::Stopping);
        }
        let may_be_late = self.table.borrow().may_be_late(instance, announcement, now);
        if may_be_late {
            self.sources.journal.recall();
        }
        let outcome = self
            .table
            .borrow_mut()
            .announce(instance, announcement, now);
        let (local, changed) = outcome?;
        if changed {
            let replaced = self.table.borrow_mut().end_replaced(&local, now);
            for ended in replaced {
                log::info!(target: log_target::INSTANCES, instance:% = ended.instance, by:% = instance; "Instance ended: one that started later announced its address.");
                (self.sources.on_change)(ended);
            }
            log::info!(target: log_target::INSTANCES, instance:%, service:% = local.service, phase:? = local.phase, address:% = local.address; "Instance registered or changed.");
            (self.sources.on_change)(local.clone());
        }
        if self.table.borrow().is_newest(instance, announcement) {
            (self.sources.on_announcement)(instance, announcement);
        }
        Ok(local)
    }

    /// Marks the instance as gone; it gets no further requests.
    async fn remove(&self, name: &str, request: &Request) -> Result<LocalInstance, AnnounceError> {
        check_client(request.peer_addr())?;
        let instance: InstanceId = name.parse()?;
        let now = self.sources.clock.now();
        let removed = self.table.borrow_mut().remove(&instance, now);
        let local = removed.ok_or_else(|| AnnounceError::UnknownInstance(instance.clone()))?;
        log::info!(target: log_target::INSTANCES, instance:%; "Instance removed at its own request.");
        (self.sources.on_change)(local.clone());
        self.record_leave(&instance).await;
        Ok(local)
    }

    /// Has the leave of `instance` written, if it has announced one, before it is acknowledged.
    async fn record_leave(&self, instance: &InstanceId) {
        let run = self.table.borrow().leaving_run(instance);
        if let Some(run) = run {
            self.sources.journal.record(instance, run).await;
        }
    }
}

fn refuse(error: &AnnounceError) -> Response<BoxBody> {
    log::debug!(target: log_target::INSTANCES, error:%; "Announcement refused.");
    let mut response = http::text_response(error.status(), &error.to_string());
    if error.status() == StatusCode::SERVICE_UNAVAILABLE {
        let second = HeaderValue::from_static("1");
        response.headers_mut().insert(RETRY_AFTER, second);
    }
    response
}

fn method_not_allowed() -> Response<BoxBody> {
    let message = "use PUT or DELETE /v1/instances/{instance}, or GET /v1/instances";
    let mut response = http::text_response(StatusCode::METHOD_NOT_ALLOWED, message);
    let allowed = HeaderValue::from_static("GET, PUT, DELETE");
    response.headers_mut().insert(ALLOW, allowed);
    response
}

/// Checks that the client of the request runs on this VM.
fn check_client(client: Option<SocketAddr>) -> Result<(), AnnounceError> {
    match client {
        Some(client) if is_on_this_vm(client.ip()) => Ok(()),
        Some(client) => Err(AnnounceError::RemoteCaller(client.ip().to_string())),
        None => Err(AnnounceError::RemoteCaller("unknown".to_owned())),
    }
}

/// Whether `ip` is an address of this VM. Binding a socket succeeds for such addresses only.
fn is_on_this_vm(ip: IpAddr) -> bool {
    ip.is_loopback() || UdpSocket::bind((ip, 0)).is_ok()
}
