//! A client for the platform's table and object store over HTTP and JSON.

use std::time::Duration;

use async_trait::async_trait;
use awc::http::{Method, StatusCode};
use awc::{Client, Connector};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::platform::{
    CallEffect, CommitOutcome, PlatformError, PlatformService, ReadRequest, ReadResponse, RowKey,
    ScanRequest, TableRow, Transaction, object_from_response,
};
use crate::settings::PlatformSettings;

/// Largest response body accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP client for the platform's service; docs/PLATFORM.md describes the protocol.
pub struct HttpPlatform {
    client: Client,
    base: String,
}

impl HttpPlatform {
    /// Creates a client that connects when the first call is made.
    #[must_use]
    pub fn open(settings: &PlatformSettings) -> Self {
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .connector(connector)
            .timeout(settings.timeout.get())
            .finish();
        Self {
            client,
            base: format!("http://{}", settings.address),
        }
    }

    async fn post<Q: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
        effect: CallEffect,
    ) -> Result<R, PlatformError> {
        let body = serde_json::to_vec(request)
            .map_err(|cause| PlatformError::Unavailable(cause.to_string()))?;
        let (status, response) = self.send(Method::POST, path, body, effect).await?;
        if status != StatusCode::OK {
            return Err(effect.error_status(status));
        }
        serde_json::from_slice(&response).map_err(|cause| effect.response_lost(&cause.to_string()))
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        effect: CallEffect,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let url = format!("{}{path}", self.base);
        let mut response = self
            .client
            .request(method, url)
            .content_type("application/json")
            .send_body(body)
            .await
            .map_err(|cause| effect.send_failed(&cause))?;
        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|cause| effect.response_lost(&cause.to_string()))?;
        Ok((response.status(), body))
    }
}

#[async_trait(?Send)]
impl PlatformService for HttpPlatform {
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<TableRow>>, PlatformError> {
        let request = ReadRequest {
            keys: keys.to_vec(),
        };
        let response: ReadResponse = self.post("/read", &request, CallEffect::Read).await?;
        if response.rows.len() != keys.len() {
            return Err(PlatformError::Unavailable(format!(
                "{} rows requested, {} returned",
                keys.len(),
                response.rows.len()
            )));
        }
        Ok(response.rows)
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError> {
        let request = ScanRequest {
            prefix: prefix.to_owned(),
            after: after.cloned(),
            limit,
        };
        let response: ReadResponse = self.post("/scan", &request, CallEffect::Read).await?;
        Ok(response.rows.into_iter().flatten().collect())
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        self.post("/commit", transaction, CallEffect::Write).await
    }

    async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let path = format!("/objects/{name}");
        let call = self.send(Method::GET, &path, Vec::new(), CallEffect::Read);
        let (status, bytes) = call.await?;
        object_from_response(status, &bytes)
    }

    async fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        let path = format!("/objects/{name}");
        let call = self.send(Method::PUT, &path, bytes.to_vec(), CallEffect::Write);
        match call.await? {
            (StatusCode::OK | StatusCode::NO_CONTENT, _) => Ok(()),
            (status, _) => Err(CallEffect::Write.error_status(status)),
        }
    }
}
