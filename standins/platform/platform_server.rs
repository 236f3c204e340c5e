//! The stand-in's HTTP side.

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

type Answer = Response<BoxBody>;

#[derive(Default)]
struct ServerState {
    table: PlatformTable,
    mode: PlatformMode,
    counts: CallCounts,
}

/// Binds the stand-in to `address`.
pub async fn bind(address: SocketAddr) -> io::Result<HttpServer> {
    let state = Rc::new(RefCell::new(ServerState::default()));
    let handler = move |request| -> futures_util::future::LocalBoxFuture<'static, Answer> {
        Box::pin(handle(Rc::clone(&state), request))
    };
    HttpServer::bind(address, Rc::new(handler)).await
}

async fn handle(state: Rc<RefCell<ServerState>>, mut request: Request) -> Answer {
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

fn control(state: &Rc<RefCell<ServerState>>, body: &Bytes) -> Answer {
    match serde_json::from_slice(body) {
        Ok(mode) => {
            state.borrow_mut().mode = mode;
            text_response(StatusCode::OK, "set")
        }
        Err(cause) => text_response(StatusCode::BAD_REQUEST, &cause.to_string()),
    }
}

async fn serve(
    state: &Rc<RefCell<ServerState>>,
    method: &Method,
    path: &str,
    body: &Bytes,
) -> Answer {
    let mode = state.borrow().mode;
    match mode {
        PlatformMode::Down => return text_response(StatusCode::SERVICE_UNAVAILABLE, "down"),
        PlatformMode::Slow(millis) => {
            actix_rt::time::sleep(Duration::from_millis(millis)).await;
        }
        PlatformMode::Up | PlatformMode::LoseAnswers => {}
    }
    let writes = path == "/commit" || *method == Method::PUT;
    let answer = carry_out(&mut state.borrow_mut(), method, path, body);
    if writes && mode == PlatformMode::LoseAnswers {
        return cut_answer();
    }
    answer
}

fn carry_out(state: &mut ServerState, method: &Method, path: &str, body: &Bytes) -> Answer {
    if path == "/commit" || *method == Method::PUT {
        state.counts.writes += 1;
    } else {
        state.counts.reads += 1;
    }
    let table = &mut state.table;
    match (method, path) {
        (&Method::POST, "/read") => answer_json(body, |question: ReadRequest| ReadResponse {
            rows: table.read(&question.keys),
        }),
        (&Method::POST, "/scan") => answer_json(body, |question: ScanRequest| {
            let rows = table.scan(&question.prefix, question.after.as_ref(), question.limit);
            ReadResponse {
                rows: rows.into_iter().map(Some).collect(),
            }
        }),
        (&Method::POST, "/commit") => {
            answer_json(body, |question: Transaction| table.commit(&question))
        }
        _ => objects(table, method, path, body),
    }
}

fn objects(table: &mut PlatformTable, method: &Method, path: &str, body: &Bytes) -> Answer {
    let Some(name) = path.strip_prefix("/objects/") else {
        return text_response(StatusCode::NOT_FOUND, "no such path");
    };
    match *method {
        Method::GET => match table.object(name) {
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

fn answer_json<Q: DeserializeOwned, A: Serialize>(
    body: &Bytes,
    answer: impl FnOnce(Q) -> A,
) -> Answer {
    match serde_json::from_slice(body) {
        Ok(question) => json_response(StatusCode::OK, &answer(question)),
        Err(cause) => text_response(StatusCode::BAD_REQUEST, &cause.to_string()),
    }
}

/// A body that fails at once, so that the connection closes before the answer is whole.
fn cut_answer() -> Answer {
    let broken = stream::once(async { Err::<Bytes, _>(io::Error::other("answer lost")) });
    Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(broken)))
}
