//! HTTP calls to the operators' API.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::PayloadError;
use awc::http::{Method, StatusCode};
use awc::{Client, ClientRequest, Connector};
use bytes::Bytes;
use futures_util::Stream;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::admin::{ApiPath, ChangeBody, ErrorBody, ListBody, OPERATION_HEADER, ResourceBody};
use crate::client::ClientError;
use crate::http::never_sent;
use crate::ids::{OperationId, Version};
use crate::resource::{ResourceKind, ResourceName};
use crate::units::TimeSpan;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const LONGEST_STREAM: Duration = Duration::from_secs(24 * 3_600);
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Attempts at a change whose answer is lost, all with the same operation.
const CHANGE_ATTEMPTS: usize = 3;

/// A change to send.
#[derive(Debug, Clone)]
pub struct ClientChange {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The version that it builds on.
    pub version: Option<Version>,
    /// The body.
    pub body: Option<Value>,
    /// The operation.
    pub operation: OperationId,
    /// How long to wait until it is in force.
    pub wait: Option<TimeSpan>,
}

/// A client of one daemon.
pub struct ApiClient {
    client: Client,
    daemon: SocketAddr,
    token: String,
}

impl ApiClient {
    /// Opens a client; the connection is made on demand.
    #[must_use]
    pub fn open(daemon: SocketAddr, token: String) -> Self {
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .connector(connector)
            .timeout(CALL_TIMEOUT)
            .finish();
        Self {
            client,
            daemon,
            token,
        }
    }

    /// Reads one resource.
    ///
    /// # Errors
    /// `ClientError` when it cannot be read.
    pub async fn resource(&self, name: &ResourceName) -> Result<ResourceBody, ClientError> {
        self.get(&resource_path(name)).await
    }

    /// Reads all resources of `kind`, page by page.
    ///
    /// # Errors
    /// `ClientError` when they cannot be read.
    pub async fn resources(&self, kind: ResourceKind) -> Result<Vec<ResourceBody>, ClientError> {
        let mut items = Vec::new();
        let mut query = String::new();
        loop {
            let path = format!("{}{query}", ApiPath::collection_path(kind));
            let page: ListBody = self.get(&path).await?;
            items.extend(page.items);
            match page.next {
                Some(next) => query = format!("?after={next}"),
                None => return Ok(items),
            }
        }
    }

    /// Reads the JSON at `path`.
    ///
    /// # Errors
    /// `ClientError` when it cannot be read.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let mut response = self
            .request(Method::GET, path)
            .send()
            .await
            .map_err(|cause| self.unreachable(&cause.to_string()))?;
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|cause| self.unreachable(&cause.to_string()))?;
        parse_answer(response.status(), &body)
    }

    /// Sends a change; one whose answer is lost is sent again, for its operation makes it safe.
    ///
    /// # Errors
    /// `ClientError::ResponseLost` when no answer came at all.
    pub async fn change(&self, change: &ClientChange) -> Result<ChangeBody, ClientError> {
        let mut attempt = 1;
        loop {
            match self.change_once(change).await {
                Err(ClientError::ResponseLost(..)) if attempt < CHANGE_ATTEMPTS => attempt += 1,
                // Once an answer was lost, an unreachable daemon proves nothing.
                Err(ClientError::Unreachable(_, cause)) if attempt > 1 => {
                    return Err(ClientError::ResponseLost(change.operation.clone(), cause));
                }
                outcome => return outcome,
            }
        }
    }

    /// Opens a stream of bytes that may go on for long.
    ///
    /// # Errors
    /// `ClientError` when the daemon refuses or cannot be reached.
    pub async fn stream(
        &self,
        method: Method,
        path: &str,
    ) -> Result<impl Stream<Item = Result<Bytes, PayloadError>> + use<>, ClientError> {
        let mut response = self
            .request(method, path)
            .timeout(LONGEST_STREAM)
            .send()
            .await
            .map_err(|cause| self.unreachable(&cause.to_string()))?;
        if response.status().is_success() {
            return Ok(response);
        }
        let body = response
            .body()
            .await
            .map_err(|cause| self.unreachable(&cause.to_string()))?;
        Err(refused(response.status(), &body))
    }

    async fn change_once(&self, change: &ClientChange) -> Result<ChangeBody, ClientError> {
        let lost = |cause: String| ClientError::ResponseLost(change.operation.clone(), cause);
        let wait = change.wait.map_or(Duration::ZERO, TimeSpan::get);
        let path = match change.wait {
            Some(wait) => format!("{}?wait={}ms", change.path, wait.get().as_millis()),
            None => change.path.clone(),
        };
        let mut request = self
            .request(change.method.clone(), &path)
            .timeout(CALL_TIMEOUT + wait)
            .insert_header((OPERATION_HEADER, change.operation.as_str()));
        if let Some(version) = change.version {
            request = request.insert_header(("if-match", version.to_string()));
        }
        let sending = match &change.body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut response = sending.await.map_err(|cause| {
            if never_sent(&cause) {
                return self.unreachable(&cause.to_string());
            }
            lost(cause.to_string())
        })?;
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|cause| lost(cause.to_string()))?;
        parse_answer(response.status(), &body)
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        self.client
            .request(method, format!("http://{}{path}", self.daemon))
            .insert_header(("authorization", format!("Bearer {}", self.token)))
    }

    fn unreachable(&self, cause: &str) -> ClientError {
        ClientError::Unreachable(self.daemon.to_string(), cause.to_owned())
    }
}

/// The path of one resource.
pub(super) fn resource_path(name: &ResourceName) -> String {
    format!("{}/{}", ApiPath::collection_path(name.kind), name.id)
}

fn parse_answer<T: DeserializeOwned>(status: StatusCode, body: &Bytes) -> Result<T, ClientError> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(malformed);
    }
    Err(refused(status, body))
}

fn refused(status: StatusCode, body: &Bytes) -> ClientError {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => ClientError::Refused(status.as_u16(), body),
        Err(cause) => malformed(cause),
    }
}

fn malformed(cause: serde_json::Error) -> ClientError {
    ClientError::Malformed(cause.to_string())
}
