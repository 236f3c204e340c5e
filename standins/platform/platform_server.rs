//! HTTP server of the simulated platform.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::stream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wagtailtrack::http::{HttpServer, json_response, read_body, text_response};
use wagtailtrack::platform::{ReadRequest, ReadResponse, ScanRequest, Transaction};
use wagtailtrack::units::ByteSize;

use crate::call_counts::CallCounts;
use crate::platform_mode::PlatformMode;
use crate::platform_table::PlatformTable;

const MAX_BODY: ByteSize = ByteSize::from_kib(256 * 1024);

type HttpResponse = Response<BoxBody>;

#[derive(Default)]
struct ServerState {
    table: PlatformTable,
    mode: PlatformMode,
    counts: CallCounts,
}

/// Binds `address` and serves an empty table and object store.
///
/// # Errors
/// Any I/O error of binding.
pub async fn bind(address: SocketAddr) -> io::Result<HttpServer> {
    let state = Rc::new(RefCell::new(ServerState::default()));
    let handler = move |request| -> futures_util::future::LocalBoxFuture<'static, HttpResponse> {
        Box::pin(handle(Rc::clone(&state), request))
    };
    HttpServer::bind(address, Rc::new(handler)).await
}

async fn handle(state: Rc<RefCell<ServerState>>, mut request: Request) -> HttpResponse {
    let path = request.path().to_owned();
    let method = request.method().clone();
    let body = match read_body(&mut request.take_payload(), MAX_BODY).await {
        Ok(body) => body,
        Err(cause) => return text_response(StatusCode::BAD_REQUEST, &cause.to_string()),
    };
    match (&method, path.as_str()) {
        (&Method::POST, "/control") => control(&state, &body),
        (&Method::GET, "/counts") => json_response(StatusCode::OK, &state.borrow().counts),
        _ => serve(&state, &method, &path, &body).await,
    }
}

fn control(state: &Rc<RefCell<ServerState>>, body: &Bytes) -> HttpResponse {
    match serde_json::from_slice(body) {
        Ok(mode) => {
            state.borrow_mut().mode = mode;
            text_response(StatusCode::OK, "set")
        }
        Err(cause) => text_response(StatusCode::BAD_REQUEST, &cause.to_string()),
    }
}

/// Executes a request as the mode says.
async fn serve(
    state: &Rc<RefCell<ServerState>>,
    method: &Method,
    path: &str,
    body: &Bytes,
) -> HttpResponse {
    let mode = state.borrow().mode;
    match mode {
        PlatformMode::Down => return text_response(StatusCode::SERVICE_UNAVAILABLE, "down"),
        PlatformMode::Slow(millis) => {
            actix_rt::time::sleep(Duration::from_millis(millis)).await;
        }
        PlatformMode::Up | PlatformMode::LoseAnswers => {}
    }
    let is_write = path == "/commit" || *method == Method::PUT;
    let response = execute(&mut state.borrow_mut(), method, path, body);
    if is_write && mode == PlatformMode::LoseAnswers {
        return truncated_response();
    }
    response
}

/// Counts a request and executes it on the table or the object store.
fn execute(state: &mut ServerState, method: &Method, path: &str, body: &Bytes) -> HttpResponse {
    if path == "/commit" || *method == Method::PUT {
        state.counts.writes += 1;
    } else {
        state.counts.reads += 1;
    }
    let table = &mut state.table;
    match (method, path) {
        (&Method::POST, "/read") => respond_json(body, |query: ReadRequest| ReadResponse {
            rows: table.read(&query.keys),
        }),
        (&Method::POST, "/scan") => respond_json(body, |query: ScanRequest| {
            let rows = table.scan(&query.prefix, query.after.as_ref(), query.limit);
            ReadResponse {
                rows: rows.into_iter().map(Some).collect(),
            }
        }),
        (&Method::POST, "/commit") => respond_json(body, |query: Transaction| table.commit(&query)),
        _ => serve_object(table, method, path, body),
    }
}

fn serve_object(
    table: &mut PlatformTable,
    method: &Method,
    path: &str,
    body: &Bytes,
) -> HttpResponse {
    let Some(name) = path.strip_prefix("/objects/") else {
        return text_response(StatusCode::NOT_FOUND, "no such path");
    };
    match *method {
        Method::GET => match table.get_object(name) {
            Some(bytes) => Response::with_body(StatusCode::OK, BoxBody::new(bytes)),
            None => text_response(StatusCode::NOT_FOUND, "no such object"),
        },
        Method::PUT => {
            table.put_object(name, body.to_vec());
            text_response(StatusCode::OK, "written")
        }
        _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET or PUT"),
    }
}

/// Decodes the JSON body and responds with the result of `handler`.
fn respond_json<Q: DeserializeOwned, A: Serialize>(
    body: &Bytes,
    handler: impl FnOnce(Q) -> A,
) -> HttpResponse {
    match serde_json::from_slice(body) {
        Ok(query) => json_response(StatusCode::OK, &handler(query)),
        Err(cause) => text_response(StatusCode::BAD_REQUEST, &cause.to_string()),
    }
}

/// A response whose body fails at once, so that the connection closes before it is complete.
fn truncated_response() -> HttpResponse {
    let broken = stream::once(async { Err::<Bytes, _>(io::Error::other("answer lost")) });
    Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(broken)))
}
