//! A caller of the fleet or of a stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::header::HeaderMap;
use awc::http::{Method, StatusCode};

const MAX_ANSWER_BYTES: usize = 512 * 1024 * 1024;
const LIMIT: Duration = Duration::from_secs(60);

/// Why there was no whole answer.
pub type CallerError = String;

/// A whole answer.
#[derive(Debug)]
pub struct CallerAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Vec<u8>,
}

impl CallerAnswer {
    /// The header `name`, empty when absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }

    /// The verdict of the fleet.
    pub fn verdict(&self) -> &str {
        self.header(wagtailtrack::execution_verdict::VERDICT_HEADER)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Whether this is the stand-in's whole and right answer to the request tagged `tag`.
    pub fn answers(&self, tag: &str, body: &[u8]) -> bool {
        let mut start = format!("{tag}\n").into_bytes();
        start.extend_from_slice(body);
        let checksum = blake3::hash(&self.body).to_hex();
        self.header("x-tag") == tag
            && self.body.starts_with(&start)
            && self.header("x-checksum") == checksum.as_str()
    }
}

/// Sends requests to one address; connections are kept.
#[derive(Clone)]
pub struct CallerClient {
    client: awc::Client,
    address: SocketAddr,
    headers: Vec<(String, String)>,
}

impl CallerClient {
    /// Opens a client of `address` that sends no key.
    pub fn open(address: SocketAddr) -> Self {
        let connector = awc::Connector::new().limit(0).timeout(LIMIT);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self {
            client,
            address,
            headers: Vec::new(),
        }
    }

    /// The same client, with a header that goes with every request.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The same client, with the key `secret`.
    pub fn with_key(self, secret: &str) -> Self {
        self.with_header("authorization", &format!("Bearer {secret}"))
    }

    /// Sends a request tagged `tag`.
    pub async fn send(
        &self,
        method: Method,
        target: &str,
        tag: &str,
        body: &[u8],
    ) -> Result<CallerAnswer, CallerError> {
        let url = format!("http://{}{target}", self.address);
        let mut request = self.client.request(method, url);
        for (name, value) in &self.headers {
            request = request.append_header((name.as_str(), value.as_str()));
        }
        if !tag.is_empty() {
            request = request.append_header(("x-tag", tag));
        }
        let sending = request.timeout(LIMIT).send_body(body.to_vec());
        let answer = sending.await.map_err(|cause| cause.to_string())?;
        let mut answer = answer.timeout(LIMIT);
        let receiving = answer.body().limit(MAX_ANSWER_BYTES);
        let body = receiving.await.map_err(|cause| cause.to_string())?;
        // The client library ends a cut body like a whole one.
        let named = answer.headers().get("content-length").cloned();
        if named.is_some_and(|length| length.as_bytes() != body.len().to_string().as_bytes()) {
            return Err(format!("answer cut after {} bytes", body.len()));
        }
        Ok(CallerAnswer {
            status: answer.status(),
            headers: answer.headers().clone(),
            body: body.to_vec(),
        })
    }

    /// Gets `target`.
    pub async fn get(&self, target: &str) -> Result<CallerAnswer, CallerError> {
        self.send(Method::GET, target, "", b"").await
    }
}
