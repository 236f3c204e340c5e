//! Sends benchmark requests and checks the responses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::ClientResponse;
use awc::http::StatusCode;

use crate::load_stream::LoadStream;
use crate::request_record::{RequestOutcome, RequestRecord};

/// Deadline that every request carries.
pub const DEADLINE: Duration = Duration::from_secs(1);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of a recorded failure reason.
const REASON_BYTES: usize = 100;
/// [`DEADLINE`] as a header value.
const DEADLINE_MILLIS: &str = "1000";

/// HTTP client for benchmark requests, with keep-alive connections.
pub struct RequestSender {
    client: awc::Client,
    origin: Instant,
}

impl RequestSender {
    /// Creates a sender whose records count time from `origin`.
    pub fn open(origin: Instant) -> Self {
        let connector = awc::Connector::new().limit(0).timeout(REQUEST_TIMEOUT);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .timeout(REQUEST_TIMEOUT)
            .finish();
        Self { client, origin }
    }

    /// Sends request number `serial` of the load, due at `intended`, and records its outcome.
    pub async fn send(
        &self,
        stream: &LoadStream,
        target: SocketAddr,
        serial: u64,
        intended: Duration,
    ) -> RequestRecord {
        let tag = format!("{}-{serial}", stream.account);
        let mut record = RequestRecord {
            account: stream.account,
            kind: stream.kind,
            intended,
            lag: self.origin.elapsed().saturating_sub(intended),
            ended: intended,
            service: Duration::ZERO,
            outcome: RequestOutcome::Lost,
            instance: None,
            reason: String::new(),
        };
        self.exchange(stream, target, &tag, &mut record).await;
        record.ended = self.origin.elapsed();
        record
    }

    async fn exchange(
        &self,
        stream: &LoadStream,
        target: SocketAddr,
        tag: &str,
        record: &mut RequestRecord,
    ) {
        let url = format!("http://{target}/{}", stream.kind.route());
        let mut request = self.client.request(stream.kind.method(), url);
        if !stream.secret.is_empty() {
            request = request.bearer_auth(&stream.secret);
        }
        let request = request
            .insert_header(("x-tag", tag))
            .insert_header(("x-deadline-ms", DEADLINE_MILLIS));
        let mut response = match request.send_body(tag.to_owned()).await {
            Ok(response) => response,
            Err(cause) => {
                record.reason = cause.to_string();
                return;
            }
        };
        record.instance = header(&response, "x-instance");
        record.service = service_time(&response);
        let body = match response.body().await {
            Ok(body) => body,
            Err(cause) => {
                record.reason = cause.to_string();
                return;
            }
        };
        let verdict = header(&response, "x-wagtailtrack-verdict").unwrap_or_default();
        record.outcome = match response.status() {
            StatusCode::OK if is_matching(&response, tag, &body) => RequestOutcome::Answered,
            StatusCode::OK => RequestOutcome::Wrong,
            StatusCode::TOO_MANY_REQUESTS => RequestOutcome::OverRate,
            StatusCode::SERVICE_UNAVAILABLE if verdict != "ran" => RequestOutcome::NoCapacity,
            status => RequestOutcome::Failed(status.as_u16()),
        };
        if record.outcome != RequestOutcome::Answered {
            let start = &body[..body.len().min(REASON_BYTES)];
            record.reason = format!("{verdict}: {}", String::from_utf8_lossy(start).trim());
        }
    }
}

fn is_matching<S>(response: &ClientResponse<S>, tag: &str, body: &[u8]) -> bool {
    let expected = format!("{tag}\n{tag}");
    header(response, "x-tag").as_deref() == Some(tag) && body == expected.as_bytes()
}

fn service_time<S>(response: &ClientResponse<S>) -> Duration {
    let micros = header(response, "x-service-micros").and_then(|text| text.parse().ok());
    Duration::from_micros(micros.unwrap_or(0))
}

fn header<S>(response: &ClientResponse<S>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}
