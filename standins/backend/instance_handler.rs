//! Answers the requests of one instance.

use std::future::pending;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, RETRY_AFTER};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use wagtailtrack::http::{json_response, read_body, text_response};
use wagtailtrack::units::ByteSize;

use crate::answer_form::{AnswerForm, TAG, header_text};
use crate::instance_state::InstanceState;
use crate::run_record::{RunOutcome, RunRecord};
use crate::server_fault::FaultEffect;

const MAX_BODY: ByteSize = ByteSize::from_kib(64 * 1024);
const DEADLINE: &str = "x-deadline-ms";
const LONGEST_WAIT: Duration = Duration::from_secs(3600);
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// Answers one request.
pub async fn answer(state: Rc<InstanceState>, mut request: Request) -> Response<BoxBody> {
    let arrived = Instant::now();
    let mut payload = request.take_payload();
    let body = match read_body(&mut payload, MAX_BODY).await {
        Ok(body) => body,
        Err(cause) => return text_response(StatusCode::BAD_REQUEST, &cause.to_string()),
    };
    match request.path() {
        "/control" => control(&state, &body),
        "/ran" => json_response(StatusCode::OK, &state.ledger.records()),
        "/ran/count" => json_response(StatusCode::OK, &state.ledger.len()),
        "/health" => health(&state, &request).await,
        "/load" => json_response(StatusCode::OK, &state.told_load()),
        _ => serve(&state, &request, &body, arrived).await,
    }
}

fn control(state: &InstanceState, body: &Bytes) -> Response<BoxBody> {
    match serde_json::from_slice(body) {
        Ok(order) => {
            state.obey(&order);
            json_response(StatusCode::OK, &state.gate.fault())
        }
        Err(cause) => text_response(StatusCode::BAD_REQUEST, &cause.to_string()),
    }
}

async fn health(state: &InstanceState, request: &Request) -> Response<BoxBody> {
    if state.gate.effect(request.peer_addr()) == FaultEffect::Hang {
        return pending().await;
    }
    match state.looks_healthy() {
        true => text_response(StatusCode::OK, "healthy"),
        false => text_response(StatusCode::SERVICE_UNAVAILABLE, "sick"),
    }
}

async fn serve(
    state: &InstanceState,
    request: &Request,
    body: &Bytes,
    arrived: Instant,
) -> Response<BoxBody> {
    let effect = state.gate.effect(request.peer_addr());
    match effect {
        FaultEffect::Hang => return pending().await,
        FaultEffect::Fail => return text_response(StatusCode::INTERNAL_SERVER_ERROR, "failing"),
        FaultEffect::Shed => return shed(),
        _ => {}
    }
    let limit = time_left(request, arrived).unwrap_or(LONGEST_WAIT);
    let _slot = match timeout(limit, state.pool.take()).await {
        Ok(Some(slot)) => slot,
        Ok(None) => return shed(),
        Err(_) => return late("the deadline passed in the queue"),
    };
    let time = state.draw_time(factor(effect));
    let left = time_left(request, arrived);
    let entry = state.ledger.start(record(request, body));
    if let Some(left) = left.filter(|left| *left < time) {
        sleep(left).await;
        return late("the deadline passed");
    }
    let started = Instant::now();
    sleep(time).await;
    entry.complete();
    let form = AnswerForm {
        headers: request.headers(),
        body,
        instance: state.spec.instance.as_str(),
        time: started.elapsed(),
        least_bytes: asked_bytes(request),
    };
    form.respond(effect)
}

fn late(message: &str) -> Response<BoxBody> {
    text_response(StatusCode::GATEWAY_TIMEOUT, message)
}

fn shed() -> Response<BoxBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "shedding load");
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

const fn factor(effect: FaultEffect) -> f64 {
    match effect {
        FaultEffect::Serve(factor) => factor,
        _ => 1.0,
    }
}

fn time_left(request: &Request, arrived: Instant) -> Option<Duration> {
    let millis = header_text(request.headers(), DEADLINE).parse().ok()?;
    Some(Duration::from_millis(millis).saturating_sub(arrived.elapsed()))
}

fn record(request: &Request, body: &Bytes) -> RunRecord {
    let headers = request.headers();
    RunRecord {
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
        outcome: RunOutcome::Running,
    }
}

/// The length asked for by `bytes=N` in the query.
fn asked_bytes(request: &Request) -> usize {
    let query = request.uri().query().unwrap_or_default();
    let bytes = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("bytes="))
        .and_then(|count| count.parse().ok())
        .unwrap_or(0);
    MAX_ANSWER_BYTES.min(bytes)
}
