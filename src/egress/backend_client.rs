//! The HTTP client towards the instances beside the daemon.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::error::PayloadError;
use actix_http::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientRequest, ClientResponse, Connector};
use bytes::Bytes;
use futures_util::StreamExt;

use crate::ids::BootId;
use crate::ingress::header_rules::{self, DEADLINE_HEADER, REQUEST_HEADER};
use crate::verdict::Verdict;
use crate::wire::{AnswerHead, FailureCause, RequestOffer};

/// Below the keep-alive of usual servers, so that a kept connection is not closed under a request.
const KEEP_ALIVE: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_CONNECTIONS: usize = 64;

/// Sends requests to instances; connections that saw an error are closed.
#[derive(Clone)]
pub struct BackendClient {
    client: Rc<Client>,
}

/// Why a request got no answer head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendFailure {
    /// What is known about the execution.
    pub verdict: Verdict,
    /// What went wrong.
    pub cause: FailureCause,
}

/// An answer whose body is still to come.
pub struct BackendAnswer {
    /// The head.
    pub head: AnswerHead,
    response: ClientResponse,
    has_end: bool,
    received: u64,
}

impl BackendClient {
    /// Opens a client without connections.
    #[must_use]
    pub fn open() -> Self {
        let connector = Connector::new()
            .limit(MAX_CONNECTIONS)
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(KEEP_ALIVE);
        let client = Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .finish();
        Self {
            client: Rc::new(client),
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
        remaining: Duration,
    ) -> Result<BackendAnswer, SendFailure> {
        let request = self.request(address, offer, remaining).ok_or(SendFailure {
            verdict: Verdict::NotRun,
            cause: FailureCause::BadAnswer,
        })?;
        let sending = request.send_body(offer.body.clone());
        match actix_rt::time::timeout(remaining, sending).await {
            Ok(Ok(response)) => BackendAnswer::open(response, offer),
            Ok(Err(error)) => Err(failure_of(&error)),
            Err(_) => Err(SendFailure {
                verdict: Verdict::MayHaveRun,
                cause: FailureCause::Timeout,
            }),
        }
    }

    fn request(
        &self,
        address: SocketAddr,
        offer: &RequestOffer,
        remaining: Duration,
    ) -> Option<ClientRequest> {
        let method = Method::from_bytes(offer.method.as_bytes()).ok()?;
        let uri = format!("http://{address}{}", offer.target);
        let mut request = self.client.request(method, uri);
        for (name, value) in &offer.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(value).ok()?;
            request.headers_mut().append(name, value);
        }
        let name = request_name(offer.boot, offer);
        let millis = remaining.as_millis().to_string();
        Some(
            request
                .insert_header((REQUEST_HEADER, name))
                .insert_header((DEADLINE_HEADER, millis)),
        )
    }
}

impl BackendAnswer {
    fn open(response: ClientResponse, offer: &RequestOffer) -> Result<Self, SendFailure> {
        let headers = response.headers();
        if let Some(echoed) = headers.get(REQUEST_HEADER)
            && echoed.as_bytes() != request_name(offer.boot, offer).as_bytes()
        {
            return Err(SendFailure {
                verdict: Verdict::MayHaveRun,
                cause: FailureCause::BadAnswer,
            });
        }
        let length = headers
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let status = response.status();
        let bodiless = offer.method == "HEAD" || matches!(status.as_u16(), 100..=199 | 204 | 304);
        let has_end = bodiless || length.is_some() || headers.contains_key(TRANSFER_ENCODING);
        let head = AnswerHead {
            status: status.as_u16(),
            headers: header_rules::crossing(headers),
            length: if bodiless { Some(0) } else { length },
        };
        Ok(Self {
            head,
            response,
            has_end,
            received: 0,
        })
    }

    /// The next bytes, or none at the end of the whole answer.
    ///
    /// # Errors
    /// `FailureCause` when the body is cut, malformed, or has no mark of its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, FailureCause> {
        match self.response.next().await {
            Some(Ok(chunk)) => {
                self.received += chunk.len() as u64;
                Ok(Some(chunk))
            }
            Some(Err(error)) => Err(body_cause(&error)),
            None if self.is_whole() => Ok(None),
            None => Err(FailureCause::BadAnswer),
        }
    }

    /// Bytes of the body received so far.
    #[must_use]
    pub const fn received(&self) -> u64 {
        self.received
    }

    /// An answer that only ends with its connection cannot be told from a cut one.
    fn is_whole(&self) -> bool {
        self.has_end
            && self
                .head
                .length
                .is_none_or(|length| length == self.received)
    }
}

fn request_name(boot: BootId, offer: &RequestOffer) -> String {
    format!("{boot}-{}", offer.request)
}

const fn body_cause(error: &PayloadError) -> FailureCause {
    match error {
        PayloadError::Io(_) => FailureCause::ConnectionLost,
        _ => FailureCause::BadAnswer,
    }
}

fn failure_of(error: &SendRequestError) -> SendFailure {
    let (verdict, cause) = match error {
        SendRequestError::Url(_) => (Verdict::NotRun, FailureCause::BadAnswer),
        // The client reports a connection lost after sending as `Disconnected`, too.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            (Verdict::MayHaveRun, FailureCause::ConnectionLost)
        }
        SendRequestError::Connect(_) => (Verdict::NotRun, FailureCause::ConnectionLost),
        SendRequestError::Response(_) => (Verdict::MayHaveRun, FailureCause::BadAnswer),
        SendRequestError::Timeout => (Verdict::MayHaveRun, FailureCause::Timeout),
        _ => (Verdict::MayHaveRun, FailureCause::ConnectionLost),
    };
    SendFailure { verdict, cause }
}
