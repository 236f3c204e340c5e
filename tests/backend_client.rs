//! HTTP client for backend instances: what it reports for incomplete and mismatched responses.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::sample_offer;
use wagtailtrack::egress::{BackendClient, BackendResponse, ClientOptions, SendFailure};
use wagtailtrack::execution_verdict::ExecutionVerdict;
use wagtailtrack::http::HeaderRules;
use wagtailtrack::settings::HeaderSettings;
use wagtailtrack::time::ProcessClock;
use wagtailtrack::wire::{FailureCause, RequestOffer};

const HEAD: &str = "HTTP/1.1 200 OK\r\n";

fn offer() -> RequestOffer {
    RequestOffer {
        body: b"lane".to_vec(),
        ..sample_offer()
    }
}

/// An instance that responds to every request with the same bytes, and then closes the connection
/// if `closes` is set.
struct RawInstance {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl RawInstance {
    fn open(response: String, closes: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&connections);
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let mut socket = socket.unwrap();
                count.fetch_add(1, Ordering::SeqCst);
                let mut request = [0; 4096];
                while socket.read(&mut request).is_ok_and(|count| count > 0) {
                    let _ = socket.write_all(response.as_bytes());
                    if closes {
                        break;
                    }
                }
            }
        });
        Self {
            address,
            connections,
        }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

async fn send(client: &BackendClient, address: SocketAddr) -> Result<BackendResponse, SendFailure> {
    let deadline = ProcessClock::open().now().after(Duration::from_secs(5));
    client.send(address, &offer(), deadline).await
}

async fn read(response: &mut BackendResponse) -> Result<Vec<u8>, FailureCause> {
    let mut body = Vec::new();
    while let Some(chunk) = response.next_chunk().await? {
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// The body that the client reads when the instance sends `bytes` after the status line and closes.
async fn body_of(bytes: &str) -> Result<Vec<u8>, FailureCause> {
    let instance = RawInstance::open(format!("{HEAD}{bytes}"), true);
    let client = BackendClient::open(ProcessClock::open());
    let mut response = send(&client, instance.address).await.ok().unwrap();
    read(&mut response).await
}

/// A complete body is returned without loss, whether a length or chunked encoding marks its end.
#[actix_rt::test]
async fn complete_bodies() {
    assert_eq!(
        body_of("content-length: 4\r\n\r\nlane").await,
        Ok(b"lane".to_vec())
    );
    let chunked = "transfer-encoding: chunked\r\n\r\n4\r\nlane\r\n0\r\n\r\n";
    assert_eq!(body_of(chunked).await, Ok(b"lane".to_vec()));
}

/// A connection that closes before the end of the body yields an error, not a shorter body.
#[actix_rt::test]
async fn truncated_bodies() {
    assert!(body_of("content-length: 9\r\n\r\nlane").await.is_err());
    assert!(
        body_of("transfer-encoding: chunked\r\n\r\n4\r\nlane\r\n")
            .await
            .is_err()
    );
    assert!(
        body_of("transfer-encoding: chunked\r\n\r\n9\r\nlane")
            .await
            .is_err()
    );
}

/// A response whose end only the end of the connection marks could be truncated, so the client
/// rejects it by default.
#[actix_rt::test]
async fn unframed_response_rejected() {
    let instance = RawInstance::open(format!("{HEAD}\r\nlane"), true);
    let client = BackendClient::open(ProcessClock::open());
    let failure = send(&client, instance.address).await.err().unwrap();
    assert_eq!(failure.cause, FailureCause::BadResponse);
}

/// The header in which an instance states its coldness is read, and one that cannot be read states
/// nothing.
#[actix_rt::test]
async fn stated_coldness() {
    for (value, expected) in [
        ("0", Some(0)),
        ("2500", Some(2_500)),
        ("-1", None),
        ("x", None),
    ] {
        let head = format!("{HEAD}x-instance-cold-ms: {value}\r\ncontent-length: 0\r\n\r\n");
        let instance = RawInstance::open(head, true);
        let client = BackendClient::open(ProcessClock::open());
        let response = send(&client, instance.address).await.ok().unwrap();
        assert_eq!(
            response.cold,
            expected.map(Duration::from_millis),
            "{value}"
        );
    }
}

/// With `accept_unframed`, a response without a length is complete when its connection closes in
/// order, and bytes that were read along with the head are part of its body.
#[actix_rt::test]
async fn unframed_response_accepted() {
    let options = ClientOptions {
        accept_unframed: true,
        ..ClientOptions::default()
    };
    let instance = RawInstance::open(format!("{HEAD}\r\nlane"), true);
    let client = BackendClient::open_with(ProcessClock::open(), options);
    let mut response = send(&client, instance.address).await.ok().unwrap();
    assert_eq!(read(&mut response).await, Ok(b"lane".to_vec()));
}

/// Once the request was sent, a missing or malformed response head proves nothing: the instance may
/// have executed the request.
#[actix_rt::test]
async fn lost_before_head() {
    for response in ["", "HTTP/1.1 20", "garbage\r\n\r\n"] {
        let instance = RawInstance::open(response.to_owned(), true);
        let client = BackendClient::open(ProcessClock::open());
        let failure = send(&client, instance.address).await.err().unwrap();
        assert_eq!(failure.verdict, ExecutionVerdict::MayHaveRun, "{response}");
    }
}

/// A refused connection proves that the request was not executed, so it may be repeated elsewhere.
#[actix_rt::test]
async fn connection_refused() {
    let address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let client = BackendClient::open(ProcessClock::open());
    let failure = send(&client, address).await.err().unwrap();
    assert_eq!(failure.verdict, ExecutionVerdict::NotRun);
}

/// A late or duplicate response to another request is never returned as the response to this one.
/// Without a matching response the request may have been executed.
#[actix_rt::test]
async fn mismatched_response() {
    let other = format!("{HEAD}x-request-id: 7-8\r\ncontent-length: 0\r\n\r\n");
    let instance = RawInstance::open(other, false);
    let client = BackendClient::open(ProcessClock::open());
    let failure = send(&client, instance.address).await.err().unwrap();
    assert_eq!(failure.cause, FailureCause::BadResponse);
    assert_eq!(failure.verdict, ExecutionVerdict::MayHaveRun);
    let own = format!("{HEAD}x-request-id: 7-9\r\ncontent-length: 0\r\n\r\n");
    let instance = RawInstance::open(own, false);
    // By the first client's clock the new deadline has passed, so a new client is needed.
    let client = BackendClient::open(ProcessClock::open());
    assert!(send(&client, instance.address).await.is_ok());
}

/// Bytes after a complete response are not taken for the next response: the connection is reused
/// only if there are none.
#[actix_rt::test]
async fn surplus_bytes() {
    for (surplus, connections) in [("", 1), ("HTTP/1.1 200 OK\r\n", 3)] {
        let bytes = format!("{HEAD}content-length: 4\r\n\r\nlane{surplus}");
        let instance = RawInstance::open(bytes, false);
        let client = BackendClient::open(ProcessClock::open());
        for _ in 0..3 {
            let mut response = send(&client, instance.address).await.ok().unwrap();
            assert_eq!(read(&mut response).await, Ok(b"lane".to_vec()));
            client.release(instance.address, response);
        }
        assert_eq!(instance.connections(), connections, "surplus '{surplus}'");
    }
}

/// An instance that answers the first request on a connection with `refusal`, and sends the same once more
/// when the next request has arrived there, before it runs that one.
fn repeating_instance(refusal: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, socket) in listener.incoming().enumerate() {
            let mut socket = socket.unwrap();
            std::thread::spawn(move || {
                let mut request = [0; 4096];
                while let Ok(1..) = socket.read(&mut request) {
                    let served =
                        format!("{HEAD}x-request-id: 7-9\r\ncontent-length: 4\r\n\r\nlane");
                    let answer = if number == 0 { refusal } else { &served };
                    let _ = socket.write_all(answer.as_bytes());
                }
            });
        }
    });
    address
}

/// Guards against a request that is told as not run although it runs: the instance sends the refusal of an
/// earlier attempt once more, which has the same name.
#[actix_rt::test]
async fn repeated_refusal() {
    let headers = HeaderSettings {
        not_run: Some("x-not-run".parse().unwrap()),
        ..HeaderSettings::default()
    };
    let options = ClientOptions {
        headers: Rc::new(HeaderRules::open(&headers)),
        ..ClientOptions::default()
    };
    let refusal =
        "HTTP/1.1 503 Full\r\nx-request-id: 7-9\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let address = repeating_instance(refusal);
    let client = BackendClient::open_with(ProcessClock::open(), options);
    let first = send(&client, address).await.ok().unwrap();
    assert!(first.is_not_run);
    client.release(address, first);
    let second = send(&client, address).await.ok().unwrap();
    assert!(!second.is_not_run, "the refusal of the first attempt");
}

/// Guards against a response that names no request and is taken for that of the request that waits, where
/// instances name the request in each response.
#[actix_rt::test]
async fn unnamed_response() {
    let headers = HeaderSettings {
        echoes_request: true,
        ..HeaderSettings::default()
    };
    let options = ClientOptions {
        headers: Rc::new(HeaderRules::open(&headers)),
        ..ClientOptions::default()
    };
    let unnamed = format!("{HEAD}content-length: 0\r\n\r\n");
    let instance = RawInstance::open(unnamed, false);
    let client = BackendClient::open_with(ProcessClock::open(), options);
    let failure = send(&client, instance.address).await.err().unwrap();
    assert_eq!(failure.cause, FailureCause::BadResponse);
    assert_eq!(failure.verdict, ExecutionVerdict::MayHaveRun);
}

/// Guards against a success of a process that is no instance of the service, where instances stamp each
/// success: the caller must not take it for an answer to its request.
#[actix_rt::test]
async fn unstamped_success() {
    let headers = HeaderSettings {
        stamp: Some("x-stamp".parse().unwrap()),
        ..HeaderSettings::default()
    };
    let options = ClientOptions {
        headers: Rc::new(HeaderRules::open(&headers)),
        ..ClientOptions::default()
    };
    let responses = [
        ("HTTP/1.1 200 OK\r\n", false),
        ("HTTP/1.1 204 No Content\r\n", false),
        ("HTTP/1.1 200 OK\r\nx-stamp: 1\r\n", true),
        ("HTTP/1.1 500 Failed\r\n", true),
    ];
    for (head, is_accepted) in responses {
        let response = format!("{head}content-length: 0\r\n\r\n");
        let instance = RawInstance::open(response, false);
        let client = BackendClient::open_with(ProcessClock::open(), options.clone());
        let result = send(&client, instance.address).await;
        assert_eq!(result.is_ok(), is_accepted, "{head}");
        if let Err(failure) = result {
            assert_eq!(failure.cause, FailureCause::BadResponse);
            assert_eq!(failure.verdict, ExecutionVerdict::MayHaveRun);
        }
    }
}
