//! An HTTP client for the daemons' admin API.

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
/// Timeout of a call whose response is a stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);
/// Largest response body accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of attempts at a change whose response is lost. All carry the same operation id, so
/// the daemon applies the change at most once.
const CHANGE_ATTEMPTS: usize = 3;

/// A configuration change to send to a daemon.
#[derive(Debug, Clone)]
pub struct ClientChange {
    /// HTTP method of the request.
    pub method: Method,
    /// Path of the resource or action, without a query.
    pub path: String,
    /// Version that the resource must have, sent as `If-Match`; `None` sends no precondition.
    pub version: Option<Version>,
    /// JSON body, or `None` for an empty one.
    pub body: Option<Value>,
    /// Idempotency key of the change.
    pub operation: OperationId,
    /// How long the daemon waits until all reachable daemons apply the change; `None` does not wait.
    pub wait: Option<TimeSpan>,
}

/// A client for the admin API of one daemon.
pub struct ApiClient {
    client: Client,
    daemon: SocketAddr,
    token: String,
}

impl ApiClient {
    /// Creates a client that connects when the first call is made; `token` authenticates its calls.
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
    /// Returns `ClientError` when the daemon cannot be reached, refuses or sends an invalid response.
    pub async fn resource(&self, name: &ResourceName) -> Result<ResourceBody, ClientError> {
        self.get(&resource_path(name)).await
    }

    /// Reads all resources of `kind`, page by page.
    ///
    /// # Errors
    /// Returns `ClientError` when the daemon cannot be reached, refuses or sends an invalid response.
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

    /// Reads and parses the JSON at `path`.
    ///
    /// # Errors
    /// Returns `ClientError` when the daemon cannot be reached, refuses or sends an invalid response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call(Method::GET, path).await
    }

    /// Deletes what stands at `path`, which is not part of the configuration, and parses the response.
    ///
    /// # Errors
    /// Returns `ClientError` when the daemon cannot be reached, refuses or sends an invalid response.
    pub async fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call(Method::DELETE, path).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
    ) -> Result<T, ClientError> {
        let mut response = self
            .request(method, path)
            .send()
            .await
            .map_err(|cause| self.unreachable(&cause.to_string()))?;
        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|cause| self.unreachable(&cause.to_string()))?;
        parse_response(response.status(), &body)
    }

    /// Sends a change, and retries it when the response is lost.
    ///
    /// The operation id makes the retry idempotent.
    ///
    /// # Errors
    /// Returns `ClientError::ResponseLost` when the outcome stays unknown after the last attempt, and
    /// another `ClientError` when the daemon cannot be reached, refuses or sends an invalid response.
    pub async fn change(&self, change: &ClientChange) -> Result<ChangeBody, ClientError> {
        let mut attempt = 1;
        loop {
            match self.change_once(change).await {
                Err(ClientError::ResponseLost(..)) if attempt < CHANGE_ATTEMPTS => attempt += 1,
                // An earlier attempt whose response was lost may have been accepted.
                Err(ClientError::Unreachable(_, cause)) if attempt > 1 => {
                    return Err(ClientError::ResponseLost(change.operation.clone(), cause));
                }
                outcome => return outcome,
            }
        }
    }

    /// Sends a request whose response body is a stream that may last up to 24 hours.
    ///
    /// # Errors
    /// Returns `ClientError` when the daemon refuses or cannot be reached.
    pub async fn stream(
        &self,
        method: Method,
        path: &str,
    ) -> Result<impl Stream<Item = Result<Bytes, PayloadError>> + use<>, ClientError> {
        let mut response = self
            .request(method, path)
            .timeout(STREAM_TIMEOUT)
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
        Err(error_response(response.status(), &body))
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
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|cause| lost(cause.to_string()))?;
        parse_response(response.status(), &body)
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

/// Returns the API path of one resource.
pub(super) fn resource_path(name: &ResourceName) -> String {
    format!("{}/{}", ApiPath::collection_path(name.kind), name.id)
}

fn parse_response<T: DeserializeOwned>(status: StatusCode, body: &Bytes) -> Result<T, ClientError> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(malformed);
    }
    Err(error_response(status, body))
}

fn error_response(status: StatusCode, body: &Bytes) -> ClientError {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => ClientError::Refused(status.as_u16(), body),
        Err(cause) => malformed(cause),
    }
}

fn malformed(cause: serde_json::Error) -> ClientError {
    ClientError::Malformed(cause.to_string())
}
