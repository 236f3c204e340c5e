//! HTTP/1.1 client with connection pooling for the local backend instances.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, ResponseHead, Uri};

use crate::egress::backend_connection::{BackendBody, BackendConnection};
use crate::egress::backend_response::{self, BackendResponse};
use crate::execution_verdict::ExecutionVerdict;
use crate::hash::FastMap;
use crate::http::HeaderRules;
use crate::ids::{AccountId, ServiceId};
use crate::logs::log_target;
use crate::settings::ProxySettings;
use crate::time::{Deadline, ProcessClock};
use crate::units::ByteSize;
use crate::wire::{FailureCause, RequestOffer};

/// How long an idle connection is kept when the instance sends no `Keep-Alive` timeout. Below the
/// keep-alive of common servers, so that they do not close the connection under a request.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long before the end of the instance's `Keep-Alive` timeout an idle connection is closed:
/// requests need milliseconds to arrive, and instances count in whole seconds.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections to one instance. No instance has slots to use more.
const MAX_IDLE_PER_INSTANCE: usize = 16;
/// Maximum number of responses to other requests that are skipped on one connection.
const MAX_SKIPPED_RESPONSES: usize = 4;
/// Maximum size of the body of a skipped response, in bytes.
const MAX_SKIPPED_BYTES: usize = 1024 * 1024;

type IdleConnections = FastMap<SocketAddr, Vec<(BackendConnection, Deadline)>>;

/// Options of the client: header names and the responses to accept.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// Names of the headers that are set, read and forwarded.
    pub headers: Rc<HeaderRules>,
    /// Whether the end of the connection may mark the end of a response that has neither a
    /// `Content-Length` nor a `Transfer-Encoding`.
    pub accept_unframed: bool,
    /// Largest body of a response.
    pub max_answer: ByteSize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self::open(Rc::default(), &ProxySettings::default())
    }
}

impl ClientOptions {
    /// Takes the options from the proxy settings.
    #[must_use]
    pub fn open(headers: Rc<HeaderRules>, proxy: &ProxySettings) -> Self {
        Self {
            headers,
            accept_unframed: proxy.accept_unframed,
            max_answer: proxy.max_answer,
        }
    }
}

/// Sends requests to instances and pools their connections; clones share the pool.
///
/// A connection is reused only after a complete response.
#[derive(Clone)]
pub struct BackendClient {
    clock: ProcessClock,
    options: ClientOptions,
    idle: Rc<RefCell<IdleConnections>>,
}

/// Error for a request that got no response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendFailure {
    /// Whether the instance may have executed the request.
    pub verdict: ExecutionVerdict,
    /// Why there is no response.
    pub cause: FailureCause,
}

impl SendFailure {
    /// Creates the error for a failure before anything was sent.
    #[must_use]
    pub const fn not_run(cause: FailureCause) -> Self {
        Self {
            verdict: ExecutionVerdict::NotRun,
            cause,
        }
    }

    /// Creates the error for a failure after the first byte of the request may have been sent.
    #[must_use]
    pub const fn may_have_run(cause: FailureCause) -> Self {
        Self {
            verdict: ExecutionVerdict::MayHaveRun,
            cause,
        }
    }
}

impl BackendClient {
    /// Creates a client with an empty pool and default options.
    #[must_use]
    pub fn open(clock: ProcessClock) -> Self {
        Self::open_with(clock, ClientOptions::default())
    }

    /// Creates a client with an empty pool and the given options.
    #[must_use]
    pub fn open_with(clock: ProcessClock, options: ClientOptions) -> Self {
        Self {
            clock,
            options,
            idle: Rc::default(),
        }
    }

    /// Sends the offered request to the instance at `address` and waits for the response head.
    ///
    /// # Errors
    /// `SendFailure`, which states whether the instance may have executed the request, if the
    /// request is not valid HTTP, the connection fails, `deadline` passes or the response is
    /// malformed.
    pub async fn send(
        &self,
        address: SocketAddr,
        offer: &RequestOffer,
        deadline: Deadline,
    ) -> Result<BackendResponse, SendFailure> {
        let rules = &self.options.headers;
        let marks = ResponseMarks {
            requires_name: rules.echoes_request(),
            stamp: rules.stamp(),
        };
        self.send_checked(address, offer, deadline, marks).await
    }

    /// Sends a health question like [`Self::send`]. Its response need not have the marks of others.
    ///
    /// # Errors
    /// As [`Self::send`].
    pub(crate) async fn probe(
        &self,
        address: SocketAddr,
        offer: &RequestOffer,
        deadline: Deadline,
    ) -> Result<BackendResponse, SendFailure> {
        let marks = ResponseMarks::default();
        self.send_checked(address, offer, deadline, marks).await
    }

    async fn send_checked(
        &self,
        address: SocketAddr,
        offer: &RequestOffer,
        deadline: Deadline,
        marks: ResponseMarks,
    ) -> Result<BackendResponse, SendFailure> {
        let head = self
            .request_head(address, offer, deadline)
            .ok_or(SendFailure::not_run(FailureCause::BadResponse))?;
        let connection = match self.take_idle(address, &offer.request_name) {
            Some(connection) => connection,
            None => BackendConnection::open(address)
                .await
                .map_err(|_| SendFailure::not_run(FailureCause::ConnectionLost))?,
        };
        let remaining = deadline.remaining(self.clock.now());
        let skipped = Cell::new(0);
        let exchange = Exchange {
            offer,
            options: &self.options,
            marks,
            skipped: &skipped,
        };
        let exchange = exchange.run(connection, head);
        let result = actix_rt::time::timeout(remaining, exchange)
            .await
            .unwrap_or(Err(FailureCause::Timeout));
        // Only responses to other requests arrived: `BadResponse`, whatever ended the wait.
        let is_mismatched = skipped.get() > 0;
        result.map_err(|cause| match is_mismatched {
            true => SendFailure::may_have_run(FailureCause::BadResponse),
            false => SendFailure::may_have_run(cause),
        })
    }

    /// Returns the connection of a complete response to the pool.
    ///
    /// Closes it instead if it cannot be reused or the pool is full. A request that failed on it is not sent
    /// on it again, since the response may arrive once more.
    pub fn release(&self, address: SocketAddr, response: BackendResponse) {
        let status = response.head.status;
        let Some(mut connection) = response.into_reusable() else {
            return;
        };
        if !connection.requests.end(status) {
            return;
        }
        let keep_alive = connection
            .keep_alive
            .unwrap_or(DEFAULT_IDLE_TIMEOUT + KEEP_ALIVE_MARGIN);
        let idle_timeout = keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
        let deadline = self.clock.now().after(idle_timeout);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_INSTANCE {
            connections.push((connection, deadline));
        }
    }

    /// Closes pooled connections whose idle timeout has passed.
    pub fn close_idle(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|(_, deadline)| !deadline.has_passed(now));
            !connections.is_empty()
        });
    }

    /// Takes the connection that was used last of those on which the request `name` may be sent.
    fn take_idle(&self, address: SocketAddr, name: &str) -> Option<BackendConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let accepts = |(connection, _): &(BackendConnection, _)| connection.requests.accepts(name);
        while let Some(index) = connections.iter().rposition(accepts) {
            let (connection, deadline) = connections.remove(index);
            if !deadline.has_passed(now) && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// The head to send, or none if the offer's method, target or headers are not valid HTTP.
    fn request_head(
        &self,
        address: SocketAddr,
        offer: &RequestOffer,
        deadline: Deadline,
    ) -> Option<RequestHead> {
        let mut head = RequestHead::default();
        head.method = Method::from_bytes(offer.method.as_bytes()).ok()?;
        head.uri = offer.target.parse::<Uri>().ok()?;
        for (name, value) in &offer.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            head.headers
                .append(name, HeaderValue::from_bytes(value).ok()?);
        }
        let rules = &self.options.headers;
        let host = offer.host.as_ref().filter(|_| rules.keeps_host());
        let own_host = address.to_string();
        let millis = deadline.remaining(self.clock.now()).as_millis().to_string();
        let headers = &mut head.headers;
        set_header(headers, HOST, host.unwrap_or(&own_host));
        set_header(headers, rules.request(), &offer.request_name);
        set_header(headers, rules.deadline(), &millis);
        let optional = [
            (rules.expected_instance(), Some(offer.instance.as_str())),
            (
                rules.account(),
                offer.client_account.as_ref().map(AccountId::as_str),
            ),
            (rules.caller(), offer.caller.as_ref().map(ServiceId::as_str)),
        ];
        for (name, text) in optional {
            if let (Some(name), Some(text)) = (name, text) {
                set_header(headers, name, text);
            }
        }
        Some(head)
    }
}

/// What shows that a response is the backend server's own.
#[derive(Debug, Default)]
struct ResponseMarks {
    /// Whether a response that names no request is skipped.
    requires_name: bool,
    /// Header without which no success is one.
    stamp: Option<HeaderName>,
}

/// One request and its response.
struct Exchange<'a> {
    offer: &'a RequestOffer,
    options: &'a ClientOptions,
    marks: ResponseMarks,
    /// Number of responses to other requests that were skipped.
    skipped: &'a Cell<usize>,
}

impl Exchange<'_> {
    /// Sends the request and receives the head of its response. Late or duplicate responses to other
    /// requests are skipped.
    async fn run(
        &self,
        mut connection: BackendConnection,
        head: RequestHead,
    ) -> Result<BackendResponse, FailureCause> {
        let offer = self.offer;
        connection.requests.begin(&offer.request_name);
        connection
            .send(head, &offer.body)
            .await
            .map_err(|_| FailureCause::ConnectionLost)?;
        while self.skipped.get() < MAX_SKIPPED_RESPONSES {
            let (head, body) = connection.receive().await?;
            if !self.is_mismatched(&head) {
                self.check_stamp(&head)?;
                return BackendResponse::open(&head, body, offer, self.options);
            }
            log::info!(target: log_target::EGRESS, request = offer.request_name, instance:% = offer.instance, status = head.status.as_u16(); "Response skipped: it names another request, or none.");
            self.skipped.set(self.skipped.get() + 1);
            connection = drain_body(body).await?;
        }
        Err(FailureCause::BadResponse)
    }

    fn is_mismatched(&self, head: &ResponseHead) -> bool {
        let name = &self.offer.request_name;
        backend_response::is_mismatched(head, self.options, name, self.marks.requires_name)
    }

    /// Rejects a success without the stamp: it may come from another process than the backend server.
    fn check_stamp(&self, head: &ResponseHead) -> Result<(), FailureCause> {
        let Some(stamp) = &self.marks.stamp else {
            return Ok(());
        };
        if !head.status.is_success() || head.headers().contains_key(stamp) {
            return Ok(());
        }
        log::info!(target: log_target::EGRESS, request = self.offer.request_name, instance:% = self.offer.instance, status = head.status.as_u16(); "Response rejected: a success without the backend server's stamp.");
        Err(FailureCause::BadResponse)
    }
}

/// Reads and discards a response body of at most `MAX_SKIPPED_BYTES`, so that the next response on the
/// connection can be read.
async fn drain_body(body: BackendBody) -> Result<BackendConnection, FailureCause> {
    let connection = match body {
        BackendBody::Empty(connection) => connection,
        BackendBody::Streaming(mut body) => {
            let mut skipped = 0;
            while let Some(chunk) = body.next_chunk().await? {
                skipped += chunk.len();
                if skipped > MAX_SKIPPED_BYTES {
                    return Err(FailureCause::BadResponse);
                }
            }
            body.into_connection()
        }
    };
    connection.ok_or(FailureCause::BadResponse)
}

/// Sets a header, unless `text` is not a valid header value.
fn set_header(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
