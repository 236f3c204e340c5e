//! The HTTP client towards the instances beside the daemon.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Uri};

use crate::egress::backend_answer::BackendAnswer;
use crate::egress::backend_connection::BackendConnection;
use crate::hash::FastMap;
use crate::ingress::header_rules::{DEADLINE_HEADER, REQUEST_HEADER};
use crate::time::{Deadline, ProcessClock};
use crate::verdict::Verdict;
use crate::wire::{FailureCause, RequestOffer};

/// Below the keep-alive of usual servers, so that a kept connection is not closed under a request.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
const MAX_KEPT: usize = 16;

type KeptConnections = FastMap<SocketAddr, Vec<(BackendConnection, Deadline)>>;

/// Sends requests to instances; only connections that brought a whole answer are used again.
#[derive(Clone)]
pub struct BackendClient {
    clock: ProcessClock,
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
    /// Opens a client without connections.
    #[must_use]
    pub fn open(clock: ProcessClock) -> Self {
        Self {
            clock,
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
    ) -> Result<BackendAnswer, SendFailure> {
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
        let exchange = exchange(connection, head, offer);
        actix_rt::time::timeout(remaining, exchange)
            .await
            .unwrap_or(Err(FailureCause::Timeout))
            .map_err(SendFailure::may_have_run)
    }

    /// Keeps the connection of a whole answer for the next request.
    pub fn release(&self, address: SocketAddr, answer: BackendAnswer) {
        let Some(connection) = answer.finish() else {
            return;
        };
        let deadline = self.clock.now().after(KEEP_ALIVE);
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
        let remaining = deadline.remaining(self.clock.now());
        set(&mut head.headers, HOST, &address.to_string());
        set(
            &mut head.headers,
            HeaderName::from_static(REQUEST_HEADER),
            &request_name(offer),
        );
        let millis = remaining.as_millis().to_string();
        set(
            &mut head.headers,
            HeaderName::from_static(DEADLINE_HEADER),
            &millis,
        );
        Some(head)
    }
}

async fn exchange(
    mut connection: BackendConnection,
    head: RequestHead,
    offer: &RequestOffer,
) -> Result<BackendAnswer, FailureCause> {
    connection
        .send(head, &offer.body)
        .await
        .map_err(|_| FailureCause::ConnectionLost)?;
    let (head, rest) = connection.receive().await?;
    BackendAnswer::open(&head, rest, offer, &request_name(offer))
}

fn set(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn request_name(offer: &RequestOffer) -> String {
    format!("{}-{}", offer.boot, offer.request)
}
