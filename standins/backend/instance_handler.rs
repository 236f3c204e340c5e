//! HTTP request handler of a simulated backend instance.

use std::future::pending;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use wagtailtrack::http::{json_response, read_body, text_response};
use wagtailtrack::units::ByteSize;

use crate::execution_record::{ExecutionOutcome, ExecutionRecord};
use crate::instance_state::InstanceState;
use crate::response_builder::{ResponseBuilder, TAG, header_text};
use crate::server_fault::FaultEffect;

const MAX_BODY: ByteSize = ByteSize::from_kib(64 * 1024);
/// Request header with the time left until the deadline, in milliseconds.
const DEADLINE: &str = "x-deadline-ms";
/// Response header with the time that the instance stays cold, in milliseconds.
const COLD: HeaderName = HeaderName::from_static("x-instance-cold-ms");
/// Query of a request that ends the process once it has run.
const CRASH_QUERY: &str = "crash";
/// Longest wait for a slot of a request without a deadline.
const MAX_WAIT: Duration = Duration::from_secs(3600);
/// Upper bound of `bytes=N`, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Handles one request: an endpoint of the simulation or, at any other path, simulated work.
pub async fn handle(state: Rc<InstanceState>, mut request: Request) -> Response<BoxBody> {
    let arrived = Instant::now();
    let mut payload = request.take_payload();
    let body = match read_body(&mut payload, MAX_BODY).await {
        Ok(body) => body,
        Err(cause) => return text_response(StatusCode::BAD_REQUEST, &cause.to_string()),
    };
    match request.path() {
        "/control" => control(&state, &body),
        "/ran" => json_response(StatusCode::OK, &state.log.records()),
        "/ran/count" => json_response(StatusCode::OK, &state.log.len()),
        "/health" => health(&state, &request).await,
        "/load" => json_response(StatusCode::OK, &state.reported_load()),
        _ => serve(&state, &request, &body, arrived).await,
    }
}

fn control(state: &InstanceState, body: &Bytes) -> Response<BoxBody> {
    match serde_json::from_slice(body) {
        Ok(request) => {
            state.apply(&request);
            json_response(StatusCode::OK, &state.injector.fault())
        }
        Err(cause) => text_response(StatusCode::BAD_REQUEST, &cause.to_string()),
    }
}

async fn health(state: &InstanceState, request: &Request) -> Response<BoxBody> {
    if state.injector.effect(request.peer_addr()) == FaultEffect::Hang {
        return pending().await;
    }
    let mut response = match state.reports_healthy() {
        true => text_response(StatusCode::OK, "healthy"),
        false => text_response(StatusCode::SERVICE_UNAVAILABLE, "sick"),
    };
    let cold_millis = state.cold_left().get().as_millis();
    if let Ok(value) = HeaderValue::from_str(&cold_millis.to_string()) {
        response.headers_mut().insert(COLD, value);
    }
    response
}

/// Simulates the work of a request: waits for a slot, then for the sampled service time.
async fn serve(
    state: &InstanceState,
    request: &Request,
    body: &Bytes,
    arrived: Instant,
) -> Response<BoxBody> {
    let effect = state.injector.effect(request.peer_addr());
    match effect {
        FaultEffect::Hang => return pending().await,
        FaultEffect::Fail => return text_response(StatusCode::INTERNAL_SERVER_ERROR, "failing"),
        FaultEffect::Shed => return shed(),
        _ => {}
    }
    let limit = time_left(request, arrived).unwrap_or(MAX_WAIT);
    let _slot = match timeout(limit, state.pool.acquire()).await {
        Ok(Some(slot)) => slot,
        Ok(None) => return shed(),
        Err(_) => return deadline_passed("the deadline passed in the queue"),
    };
    let time =
        requested_work(request).unwrap_or_else(|| state.sample_service_time(slowdown(effect)));
    let left = time_left(request, arrived);
    let entry = state.log.start(record(request, body, time));
    if let Some(left) = left.filter(|left| *left < time) {
        sleep(left).await;
        return deadline_passed("the deadline passed");
    }
    let started = Instant::now();
    sleep(time).await;
    if request.uri().query() == Some(CRASH_QUERY) {
        // Ends without closing anything in order, as a crash does.
        std::process::abort();
    }
    entry.complete();
    let builder = ResponseBuilder {
        headers: request.headers(),
        body,
        instance: state.spec.instance.as_str(),
        service_time: started.elapsed(),
        min_bytes: requested_bytes(request),
        limit: state.named_limit(),
        says_leaving: state.says_leaving(),
    };
    builder.build(effect)
}

fn deadline_passed(message: &str) -> Response<BoxBody> {
    text_response(StatusCode::GATEWAY_TIMEOUT, message)
}

fn shed() -> Response<BoxBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "shedding load");
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Multiple of the service time under `effect`.
const fn slowdown(effect: FaultEffect) -> f64 {
    match effect {
        FaultEffect::Serve(slowdown) => slowdown,
        _ => 1.0,
    }
}

/// Time until the deadline of a request that arrived at `arrived`; none without a deadline header.
fn time_left(request: &Request, arrived: Instant) -> Option<Duration> {
    let millis = header_text(request.headers(), DEADLINE).parse().ok()?;
    Some(Duration::from_millis(millis).saturating_sub(arrived.elapsed()))
}

fn record(request: &Request, body: &Bytes, work: Duration) -> ExecutionRecord {
    let headers = request.headers();
    let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    ExecutionRecord {
        method: request.method().to_string(),
        target: request.uri().to_string(),
        headers: headers
            .iter()
            .map(|(name, value)| {
                (
                    name.to_string(),
                    String::from_utf8_lossy(value.as_bytes()).into_owned(),
                )
            })
            .collect(),
        tag: header_text(headers, TAG),
        body_bytes: body.len(),
        started_ms: started.map_or(0, whole_millis),
        work_ms: whole_millis(work),
        outcome: ExecutionOutcome::Running,
    }
}

/// The response length requested by `bytes=N` in the query, in bytes; 0 without it.
fn requested_bytes(request: &Request) -> usize {
    let bytes = query_number(request, "bytes").unwrap_or(0);
    MAX_RESPONSE_BYTES.min(usize::try_from(bytes).unwrap_or(MAX_RESPONSE_BYTES))
}

/// The service time requested by `work=N` in the query, in milliseconds.
fn requested_work(request: &Request) -> Option<Duration> {
    query_number(request, "work").map(Duration::from_millis)
}

fn query_number(request: &Request, field: &str) -> Option<u64> {
    let query = request.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == field)?;
    value.parse().ok()
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
