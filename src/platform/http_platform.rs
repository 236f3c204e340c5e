//! The platform over HTTP and JSON.

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

const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of the platform's HTTP service; see docs/PLATFORM.md for the protocol.
pub struct HttpPlatform {
    client: Client,
    base: String,
}

impl HttpPlatform {
    /// Opens a client; connections are made on demand.
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

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
        effect: CallEffect,
    ) -> Result<A, PlatformError> {
        let body = serde_json::to_vec(question)
            .map_err(|cause| PlatformError::Unavailable(cause.to_string()))?;
        let (status, answer) = self.send(Method::POST, path, body, effect).await?;
        if status != StatusCode::OK {
            return Err(effect.error_status(status));
        }
        serde_json::from_slice(&answer).map_err(|cause| effect.response_lost(&cause.to_string()))
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
        let answer = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|cause| effect.response_lost(&cause.to_string()))?;
        Ok((response.status(), answer))
    }
}

#[async_trait(?Send)]
impl PlatformService for HttpPlatform {
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<TableRow>>, PlatformError> {
        let question = ReadRequest {
            keys: keys.to_vec(),
        };
        let answer: ReadResponse = self.post("/read", &question, CallEffect::Read).await?;
        if answer.rows.len() != keys.len() {
            return Err(PlatformError::Unavailable("rows are missing".to_owned()));
        }
        Ok(answer.rows)
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError> {
        let question = ScanRequest {
            prefix: prefix.to_owned(),
            after: after.cloned(),
            limit,
        };
        let answer: ReadResponse = self.post("/scan", &question, CallEffect::Read).await?;
        Ok(answer.rows.into_iter().flatten().collect())
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
