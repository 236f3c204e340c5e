//! Serves one caller's request from its head to its answer.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{ConnectionType, HttpMessage, Request, Response};
use bytes::Bytes;

use crate::http::{BodyError, ConnectionMark, read_body};
use crate::ids::RequestId;
use crate::ingress::caller_request::CallerRequest;
use crate::ingress::header_rules::{self, DEADLINE_HEADER, REQUEST_HEADER};
use crate::ingress::ingress_handle::UnderWay;
use crate::ingress::{IngressHandle, RequestPlan, RequestRefusal, caller_key};
use crate::limits::{Admission, AdmittedToken};
use crate::logs::part;
use crate::resource::KeyHash;
use crate::time::Deadline;
use crate::verdict::Verdict;

/// Answers one request.
pub(crate) async fn answer(
    ingress: &IngressHandle,
    mut request: Request,
    count: UnderWay,
) -> Response<BoxBody> {
    ingress.state.borrow_mut().totals.requests += 1;
    let id = ingress.next_request();
    let name = name_of(ingress, id, request.headers());
    let result = serve(ingress, id, &mut request, count).await;
    let (verdict, mut response) = match result {
        Ok(response) => (Verdict::Ran, response),
        Err(refusal) => (refusal.verdict(), refused(ingress, &refusal)),
    };
    ingress.state.borrow_mut().totals.answered(verdict);
    if let Some(name) = name {
        let header = HeaderName::from_static(REQUEST_HEADER);
        response.headers_mut().insert(header, name);
    }
    if ingress.is_stopping() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        if let Some(mark) = request.conn_data::<ConnectionMark>() {
            mark.set();
        }
    }
    response
}

fn refused(ingress: &IngressHandle, refusal: &RequestRefusal) -> Response<BoxBody> {
    if matches!(refusal, RequestRefusal::OverRate(_)) {
        ingress.state.borrow_mut().totals.over_rate += 1;
    }
    log::debug!(target: part::INGRESS, verdict:% = refusal.verdict(), cause:% = refusal; "Request refused.");
    refusal.response()
}

/// The caller's own name of the request, else ours; operators find it in the logs.
fn name_of(ingress: &IngressHandle, id: RequestId, headers: &HeaderMap) -> Option<HeaderValue> {
    let own = headers.get(REQUEST_HEADER).cloned();
    own.or_else(|| HeaderValue::from_str(&format!("{}-{id}", ingress.sources.boot)).ok())
}

async fn serve(
    ingress: &IngressHandle,
    id: RequestId,
    request: &mut Request,
    count: UnderWay,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let secret = caller_key(request.headers())?.to_owned();
    let plan = plan(ingress, request, &secret)?;
    let deadline = deadline_of(ingress, request.headers())?;
    let body = body_of(ingress, request).await?;
    check_exposure(request, &body, &secret)?;
    let headers = header_rules::crossing_request(request.headers(), &secret);
    let token = admit(ingress, &plan, deadline).await?;
    let call = CallerRequest {
        ingress,
        id,
        plan,
        deadline,
        method: request.method().as_str().to_owned(),
        target: target_of(request),
        headers,
        body,
    };
    let result = call.attempt_all(count).await;
    if let Err(refusal) = &result
        && refusal.verdict() == Verdict::NotRun
        && let Some(token) = token
    {
        ingress.sources.limits.give_back(token);
    }
    result
}

fn plan(
    ingress: &IngressHandle,
    request: &Request,
    secret: &str,
) -> Result<RequestPlan, RequestRefusal> {
    let config = &ingress.sources.config;
    if !config.is_loaded() || !config.is_fresh(ingress.sources.clock.now()) {
        return Err(RequestRefusal::NotConfigured);
    }
    let hash = KeyHash::of_secret(secret);
    RequestPlan::open(
        &config.catalog(),
        &hash,
        request.path(),
        request.method().as_str(),
    )
}

fn deadline_of(ingress: &IngressHandle, headers: &HeaderMap) -> Result<Deadline, RequestRefusal> {
    let proxy = &ingress.sources.proxy;
    let span = match headers.get(DEADLINE_HEADER) {
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
    Ok(ingress.sources.clock.now().after(span))
}

async fn body_of(ingress: &IngressHandle, request: &mut Request) -> Result<Bytes, RequestRefusal> {
    let most = ingress.sources.proxy.max_request;
    let mut payload = request.take_payload();
    read_body(&mut payload, most)
        .await
        .map_err(|error| match error {
            BodyError::TooLarge(most) => RequestRefusal::BodyTooLarge(most),
            BodyError::Malformed(cause) => RequestRefusal::BadBody(cause),
        })
}

fn check_exposure(request: &Request, body: &Bytes, secret: &str) -> Result<(), RequestRefusal> {
    let target = target_of(request);
    if header_rules::contains(target.as_bytes(), secret) || header_rules::contains(body, secret) {
        return Err(RequestRefusal::KeyExposed);
    }
    Ok(())
}

/// Takes a token of the client account's rate; the plain split has none to give back.
async fn admit(
    ingress: &IngressHandle,
    plan: &RequestPlan,
    deadline: Deadline,
) -> Result<Option<AdmittedToken>, RequestRefusal> {
    let sources = &ingress.sources;
    if sources.baseline.static_split {
        return admit_split(ingress, plan).map(|()| None);
    }
    match sources.limits.admit(&plan.account, deadline).await {
        Admission::Admitted(token) => Ok(Some(token)),
        Admission::Refused { retry_after } => Err(RequestRefusal::OverRate(retry_after)),
        Admission::NoLimit => Err(RequestRefusal::NoRate),
    }
}

fn admit_split(ingress: &IngressHandle, plan: &RequestPlan) -> Result<(), RequestRefusal> {
    let sources = &ingress.sources;
    let limit = sources.config.catalog().rate_of(&plan.account);
    let limit = limit.ok_or(RequestRefusal::NoRate)?;
    let parts = u32::try_from(sources.members.live().len())
        .unwrap_or(1)
        .max(1);
    let now = sources.clock.now();
    let mut state = ingress.state.borrow_mut();
    state
        .split
        .admit(&limit, parts, now)
        .map_err(RequestRefusal::OverRate)
}

fn target_of(request: &Request) -> String {
    let uri = request.uri();
    uri.path_and_query()
        .map_or_else(|| "/".to_owned(), ToString::to_string)
}
