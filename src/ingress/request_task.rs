//! Serves one caller's request: checks it, admits it and returns the response.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{HOST, HeaderMap, HeaderValue};
use actix_http::{ConnectionType, HttpMessage, Request, Response};
use bytes::Bytes;
use futures_util::future::{Either, select};

use crate::execution_verdict::ExecutionVerdict;
use crate::http::{
    BusyConnection, DisconnectSignal, LateConnection, ServerFull, header_rules, read_body_with,
};
use crate::ids::{HostName, RequestId};
use crate::ingress::caller_request::CallerRequest;
use crate::ingress::ingress_handle::InFlightGuard;
use crate::ingress::{
    BodyReservation, IngressHandle, RequestArrival, RequestFacts, RequestPlan, RequestRefusal,
    bearer_secret,
};
use crate::limits::{Admission, AdmittedToken, RateRefusal};
use crate::logs::log_target;
use crate::resource::KeyHash;
use crate::time::{Deadline, MonoTime};
use crate::wire::RequestDigest;

/// Serves one request and records its verdict and duration. When the caller disconnects, the request
/// and its attempt are cancelled at once.
pub(crate) async fn handle_request(
    ingress: &IngressHandle,
    mut request: Request,
    guard: InFlightGuard,
) -> Response<BoxBody> {
    ingress.state.borrow_mut().totals.requests += 1;
    let id = ingress.next_request_id();
    let name = request_name(ingress, id, request.headers());
    let begin = ingress.sources.clock.now();
    let result = serve_until_disconnect(ingress, id, &name, &mut request, guard).await;
    let duration = ingress.sources.clock.now().since(begin);
    let (verdict, mut response) = match result {
        Ok(response) => (ExecutionVerdict::Ran, response),
        Err(refusal) => (
            refusal.verdict(),
            refusal_response(ingress, &name, &refusal, duration),
        ),
    };
    ingress.state.borrow_mut().totals.record(verdict);
    ingress.sources.durations.record_request(verdict, duration);
    if let Ok(value) = HeaderValue::from_str(&name) {
        let header = ingress.sources.headers.request();
        response.headers_mut().insert(header, value);
    }
    if ingress.is_stopping() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        if let Some(connection) = request.conn_data::<BusyConnection>() {
            connection.mark_closing();
        }
    }
    response
}

/// Serves the request unless the server has no room for it, or cancels it when the caller disconnects.
async fn serve_until_disconnect(
    ingress: &IngressHandle,
    id: RequestId,
    name: &str,
    request: &mut Request,
    guard: InFlightGuard,
) -> Result<Response<BoxBody>, RequestRefusal> {
    if request.extensions().contains::<ServerFull>() {
        return Err(RequestRefusal::ServerFull);
    }
    let Some(signal) = request.conn_data::<DisconnectSignal>().cloned() else {
        return serve(ingress, id, name, request, guard).await;
    };
    let serving = pin!(serve(ingress, id, name, request, guard));
    match select(serving, pin!(signal.wait())).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(RequestRefusal::CallerDisconnected),
    }
}

fn refusal_response(
    ingress: &IngressHandle,
    name: &str,
    refusal: &RequestRefusal,
    duration: Duration,
) -> Response<BoxBody> {
    if matches!(refusal, RequestRefusal::RateLimited(..)) {
        ingress.state.borrow_mut().totals.over_rate += 1;
    }
    if matches!(refusal, RequestRefusal::ServiceFull(..)) {
        ingress.state.borrow_mut().totals.service_full += 1;
    }
    if matches!(refusal, RequestRefusal::EndsInstances) {
        ingress.state.borrow_mut().totals.ends_instances += 1;
    }
    if let RequestRefusal::ResponseLost(Some(loss)) = refusal {
        ingress.state.borrow_mut().totals.record_loss(*loss);
    }
    log::info!(
        target: log_target::INGRESS,
        request = name,
        verdict:% = refusal.verdict(),
        status = refusal.status().as_u16(),
        retry_after_ms:? = refusal.retry_after().map(|span| span.as_millis()),
        held_ms = duration.as_millis(),
        inputs:? = refusal.log_details(),
        cause:% = refusal;
        "Request refused."
    );
    refusal.response(ingress.sources.proxy.exact_retry_after)
}

/// Returns the request name from the caller's request header, or else one made from the boot and the
/// request ID. Operators find the request in the logs by it.
fn request_name(ingress: &IngressHandle, id: RequestId, headers: &HeaderMap) -> String {
    let header = headers.get(ingress.sources.headers.request());
    let header = header.and_then(|value| value.to_str().ok());
    header.map_or_else(|| format!("{}-{id}", ingress.sources.boot), str::to_owned)
}

async fn serve(
    ingress: &IngressHandle,
    id: RequestId,
    name: &str,
    request: &mut Request,
    guard: InFlightGuard,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let rules = Rc::clone(&ingress.sources.headers);
    let secret = bearer_secret(request.headers()).map(str::to_owned);
    let arrived = ingress.sources.clock.now();
    let (plan, deadline) = accept(ingress, request, secret.as_deref(), arrived).await?;
    let secret = secret.ok();
    let goal = plan.goal.map(|span| arrived.after(span));
    let mut reservation = ingress.body_budget.reserve();
    let reading = request_body(ingress, request, &mut reservation);
    let body = ingress.while_startable(&plan, deadline, reading).await?;
    let target = request_target(request);
    if let Some(secret) = &secret {
        check_key_exposure(&target, &body, secret)?;
    }
    let headers = rules.forwardable_request(request.headers(), secret.as_deref());
    let digest = digest(request.method().as_str(), &target, &plan, &body);
    if ingress.sources.suspects.standing(digest).is_refused() {
        return Err(RequestRefusal::EndsInstances);
    }
    let admission = admit(ingress, &plan, deadline);
    let token = ingress.while_startable(&plan, deadline, admission).await?;
    let call = CallerRequest {
        ingress,
        id,
        digest,
        name: instance_name(ingress, id, name),
        host: host_header(request).map(str::to_owned),
        plan,
        deadline,
        goal,
        method: request.method().as_str().to_owned(),
        target,
        headers,
        body,
    };
    let result = call.run_attempts(guard).await;
    if let Err(refusal) = &result
        && refusal.verdict() == ExecutionVerdict::NotRun
        && let Some(token) = token
    {
        ingress.sources.limits.give_back(token);
    }
    result
}

/// Plans a request that arrived at `arrived` and returns its deadline, or refuses it because the daemon
/// shuts down.
async fn accept(
    ingress: &IngressHandle,
    request: &Request,
    secret: Result<&str, &RequestRefusal>,
    arrived: MonoTime,
) -> Result<(RequestPlan, Deadline), RequestRefusal> {
    let late_connection = request.conn_data::<LateConnection>();
    let is_late = late_connection.map(LateConnection::mark_request).is_some();
    let serves_only_calls = ingress.shutdown.serves_only_calls(arrived, is_late);
    if !serves_only_calls {
        ingress.sources.config.wait_loaded().await;
    }
    let planned = plan(ingress, request, secret).and_then(|plan| {
        let deadline = request_deadline(ingress, &plan, request.headers(), arrived)?;
        Ok((plan, deadline))
    });
    let is_accepted = |(plan, deadline): &(RequestPlan, Deadline)| {
        ingress.shutdown.accepts(&RequestArrival {
            at: arrived,
            is_late,
            class: plan.class,
            deadline: *deadline,
        })
    };
    match serves_only_calls && !planned.as_ref().is_ok_and(is_accepted) {
        true => Err(RequestRefusal::Stopping),
        false => planned,
    }
}

/// Returns the request name that the instance sees: made from the boot and the request ID, as the
/// caller's may not be unique, unless the settings keep the caller's.
fn instance_name(ingress: &IngressHandle, id: RequestId, name: &str) -> String {
    match ingress.sources.headers.keeps_request_name() {
        true => name.to_owned(),
        false => format!("{}-{id}", ingress.sources.boot),
    }
}

fn digest(method: &str, target: &str, plan: &RequestPlan, body: &Bytes) -> RequestDigest {
    let host = plan.host.as_ref().map(HostName::as_str);
    RequestDigest::open(&plan.account, method, host, target, body)
}

fn plan(
    ingress: &IngressHandle,
    request: &Request,
    secret: Result<&str, &RequestRefusal>,
) -> Result<RequestPlan, RequestRefusal> {
    let config = &ingress.sources.config;
    if !config.is_loaded() {
        return Err(RequestRefusal::NotConfigured);
    }
    let hash = secret.map(KeyHash::hash_secret);
    let host = host_header(request).and_then(host_name);
    let facts = RequestFacts {
        host: host.as_ref(),
        path: request.path(),
        method: request.method().as_str(),
        key: hash.as_ref().map_err(|refusal| *refusal),
        is_fresh: config.is_fresh(ingress.sources.clock.now()),
    };
    RequestPlan::open(&config.catalog(), &facts, |route| {
        ingress.next_split_service(route)
    })
}

/// Returns the `Host` header as it was sent, with its port.
fn host_header(request: &Request) -> Option<&str> {
    let host = request.headers().get(HOST)?;
    host.to_str().ok()
}

fn host_name(host: &str) -> Option<HostName> {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase().parse().ok()
}

/// Returns the deadline of a request that arrived at `arrived`: the caller's, or the default, bounded by the
/// settings and the route's timeout.
fn request_deadline(
    ingress: &IngressHandle,
    plan: &RequestPlan,
    headers: &HeaderMap,
    arrived: MonoTime,
) -> Result<Deadline, RequestRefusal> {
    let proxy = &ingress.sources.proxy;
    let span = match headers.get(ingress.sources.headers.deadline()) {
        None => proxy.default_deadline.get(),
        Some(value) => {
            let text = String::from_utf8_lossy(value.as_bytes());
            let millis: u64 = text.trim().parse().unwrap_or(0);
            if millis == 0 {
                return Err(RequestRefusal::BadDeadline(text.into_owned()));
            }
            Duration::from_millis(millis).min(proxy.max_deadline.get())
        }
    };
    let span = plan.timeout.map_or(span, |timeout| span.min(timeout));
    Ok(arrived.after(span))
}

async fn request_body(
    ingress: &IngressHandle,
    request: &mut Request,
    reservation: &mut BodyReservation,
) -> Result<Bytes, RequestRefusal> {
    let proxy = &ingress.sources.proxy;
    let mut payload = request.take_payload();
    let progress_timeout = Some(proxy.body_progress);
    let reserve = |bytes| reservation.grow(bytes);
    read_body_with(&mut payload, proxy.max_request, progress_timeout, reserve)
        .await
        .map_err(RequestRefusal::BadBody)
}

fn check_key_exposure(target: &str, body: &Bytes, secret: &str) -> Result<(), RequestRefusal> {
    if header_rules::contains_secret(target.as_bytes(), secret)
        || header_rules::contains_secret(body, secret)
    {
        return Err(RequestRefusal::KeyExposed);
    }
    Ok(())
}

/// Takes a token from the client account's rate limit. Returns none when the account is unlimited or
/// the static limiter decides, which takes no tokens back.
async fn admit(
    ingress: &IngressHandle,
    plan: &RequestPlan,
    deadline: Deadline,
) -> Result<Option<AdmittedToken>, RequestRefusal> {
    let sources = &ingress.sources;
    if plan.is_unlimited {
        return Ok(None);
    }
    if sources.baseline.static_split {
        return admit_by_static_limiter(ingress, plan).map(|()| None);
    }
    let begin = sources.clock.now();
    let admission = sources.limits.admit(&plan.account, deadline).await;
    let waited = sources.clock.now().since(begin);
    let is_admitted = matches!(admission, Admission::Admitted(_));
    sources.durations.record_rate_wait(is_admitted, waited);
    match admission {
        Admission::Admitted(token) => Ok(Some(token)),
        Admission::Refused(refusal) => Err(RequestRefusal::RateLimited(refusal)),
        Admission::NoLimit => Err(RequestRefusal::NoRateLimit),
    }
}

fn admit_by_static_limiter(
    ingress: &IngressHandle,
    plan: &RequestPlan,
) -> Result<(), RequestRefusal> {
    let sources = &ingress.sources;
    let limit = sources.config.catalog().rate_limit(&plan.account);
    let limit = limit.ok_or(RequestRefusal::NoRateLimit)?;
    let daemons = u32::try_from(sources.members.live().len())
        .unwrap_or(1)
        .max(1);
    let now = sources.clock.now();
    let mut state = ingress.state.borrow_mut();
    state
        .static_limiter
        .admit(&limit, daemons, now)
        .map_err(|retry_after| {
            RequestRefusal::RateLimited(RateRefusal::without_answers(limit, retry_after))
        })
}

fn request_target(request: &Request) -> String {
    let uri = request.uri();
    uri.path_and_query()
        .map_or_else(|| "/".to_owned(), ToString::to_string)
}
