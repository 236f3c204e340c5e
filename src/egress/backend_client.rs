//! The HTTP client towards the instances beside the daemon.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Uri};

use crate::egress::backend_connection::{BackendConnection, ResponseBody};
use crate::egress::backend_response::{self, BackendResponse};
use crate::hash::FastMap;
use crate::http::HeaderRules;
use crate::ids::{AccountId, ServiceId};
use crate::logs::part;
use crate::settings::ProxySettings;
use crate::time::{Deadline, ProcessClock};
use crate::verdict::Verdict;
use crate::wire::{FailureCause, RequestOffer};

/// How long an idle connection is kept where the instance grants no time of its own: below the
/// keep-alive of usual servers, so that it is not closed under a request.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// How long before the end of the time granted an idle connection is given up: a request on its
/// way takes milliseconds, and instances count whole seconds.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept to one instance: more than any instance has slots to use them.
const MAX_KEPT: usize = 16;
/// Answers to other requests that are skipped on one connection before it is given up.
const MAX_FOREIGN: usize = 4;

type KeptConnections = FastMap<SocketAddr, Vec<(BackendConnection, Deadline)>>;

/// How requests look to instances, and which answers count.
#[derive(Debug, Clone, Default)]
pub struct ClientOptions {
    /// Names of headers.
    pub headers: Rc<HeaderRules>,
    /// Whether an answer without a length may end with its connection.
    pub accept_unframed: bool,
}

impl ClientOptions {
    /// The rules of the settings.
    #[must_use]
    pub fn open(headers: Rc<HeaderRules>, proxy: &ProxySettings) -> Self {
        Self {
            headers,
            accept_unframed: proxy.accept_unframed,
        }
    }
}

/// Sends requests to instances; only connections that brought a whole answer are used again.
#[derive(Clone)]
pub struct BackendClient {
    clock: ProcessClock,
    options: ClientOptions,
    kept: Rc<RefCell<KeptConnections>>,
}

/// Why a request got no answer head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendFailure {
    /// What is known about the execution.
    pub verdict: Verdict,
    /// What went wrong.
    pub cause: FailureCause,
}

impl SendFailure {
    const fn not_run(cause: FailureCause) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause,
        }
    }

    /// A failure after the first byte may have left.
    #[must_use]
    pub const fn may_have_run(cause: FailureCause) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            cause,
        }
    }
}

impl BackendClient {
    /// Opens a client without connections that keeps to the usual rules.
    #[must_use]
    pub fn open(clock: ProcessClock) -> Self {
        Self::open_with(clock, ClientOptions::default())
    }

    /// Opens a client without connections that keeps to `rules`.
    #[must_use]
    pub fn open_with(clock: ProcessClock, options: ClientOptions) -> Self {
        Self {
            clock,
            options,
            kept: Rc::default(),
        }
    }

    /// Sends the offered request to the instance at `address` and waits for the answer's head.
    ///
    /// # Errors
    /// `SendFailure` says whether the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        offer: &RequestOffer,
        deadline: Deadline,
    ) -> Result<BackendResponse, SendFailure> {
        let head = self
            .head(address, offer, deadline)
            .ok_or(SendFailure::not_run(FailureCause::BadAnswer))?;
        let connection = match self.take(address) {
            Some(connection) => connection,
            None => BackendConnection::open(address)
                .await
                .map_err(|_| SendFailure::not_run(FailureCause::ConnectionLost))?,
        };
        let remaining = deadline.remaining(self.clock.now());
        let skipped = Cell::new(0);
        let exchange = exchange(connection, head, offer, &self.options, &skipped);
        let result = actix_rt::time::timeout(remaining, exchange)
            .await
            .unwrap_or(Err(FailureCause::Timeout));
        // Answers to other requests came instead, and none to this one.
        let is_crossed = skipped.get() > 0;
        result.map_err(|cause| match is_crossed {
            true => SendFailure::may_have_run(FailureCause::BadAnswer),
            false => SendFailure::may_have_run(cause),
        })
    }

    /// Keeps the connection of a whole answer for the next request.
    pub fn release(&self, address: SocketAddr, answer: BackendResponse) {
        let Some(connection) = answer.finish() else {
            return;
        };
        let granted = connection
            .keeps_for
            .unwrap_or(KEEP_ALIVE + KEEP_ALIVE_MARGIN);
        let idle = granted.saturating_sub(KEEP_ALIVE_MARGIN);
        let deadline = self.clock.now().after(idle);
        let mut kept = self.kept.borrow_mut();
        let connections = kept.entry(address).or_default();
        if connections.len() < MAX_KEPT {
            connections.push((connection, deadline));
        }
    }

    /// Closes connections that were idle for too long.
    pub fn close_idle(&self) {
        let now = self.clock.now();
        self.kept.borrow_mut().retain(|_, connections| {
            connections.retain(|(_, deadline)| !deadline.has_passed(now));
            !connections.is_empty()
        });
    }

    fn take(&self, address: SocketAddr) -> Option<BackendConnection> {
        let now = self.clock.now();
        let mut kept = self.kept.borrow_mut();
        let connections = kept.get_mut(&address)?;
        while let Some((connection, deadline)) = connections.pop() {
            if !deadline.has_passed(now) && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    fn head(
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
        set(headers, HOST, host.unwrap_or(&own_host));
        set(headers, rules.request(), &offer.name);
        set(headers, rules.deadline(), &millis);
        let optional = [
            (rules.expected_instance(), Some(offer.instance.as_str())),
            (
                rules.account(),
                offer.holder.as_ref().map(AccountId::as_str),
            ),
            (rules.caller(), offer.caller.as_ref().map(ServiceId::as_str)),
        ];
        for (name, text) in optional {
            if let (Some(name), Some(text)) = (name, text) {
                set(headers, name, text);
            }
        }
        Some(head)
    }
}

/// Sends the request and receives the head of its answer; answers to other requests, which come
/// late or twice, are skipped.
async fn exchange(
    mut connection: BackendConnection,
    head: RequestHead,
    offer: &RequestOffer,
    options: &ClientOptions,
    skipped: &Cell<usize>,
) -> Result<BackendResponse, FailureCause> {
    connection
        .send(head, &offer.body)
        .await
        .map_err(|_| FailureCause::ConnectionLost)?;
    while skipped.get() < MAX_FOREIGN {
        let (head, rest) = connection.receive().await?;
        if !backend_response::is_foreign(&head, options, &offer.name) {
            return BackendResponse::open(&head, rest, offer, options);
        }
        log::info!(target: part::EGRESS, request = offer.name, instance:% = offer.instance; "Answer to another request skipped.");
        skipped.set(skipped.get() + 1);
        connection = skip(rest).await?;
    }
    Err(FailureCause::BadAnswer)
}

/// Reads the rest of an answer that nobody waits for.
async fn skip(rest: ResponseBody) -> Result<BackendConnection, FailureCause> {
    let connection = match rest {
        ResponseBody::Empty(connection) => connection,
        ResponseBody::Streaming(mut body) => {
            while body.next().await?.is_some() {}
            body.into_open()
        }
    };
    connection.ok_or(FailureCause::BadAnswer)
}

fn set(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
