//! The client of the users' store when its connections go silent.
#![allow(
    dead_code,
    reason = "the tests use only some functions of each included module"
)]

#[path = "../platform/store_client.rs"]
mod store_client;
#[path = "../platform/store_response.rs"]
mod store_response;
#[path = "../platform/store_wire.rs"]
mod store_wire;

use std::net::SocketAddr;
use std::time::Duration;

use store_client::StoreClient;
use store_wire::RowsQuery;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wagtailtrack::platform::RowKey;
use wagtailtrack::settings::PlatformSettings;

const RESPONSE: &str = r#"{"rows":[],"truncated":false,"ver":1,"nowMs":1}"#;

/// Answers the first request on each connection, after `ANSWER_DELAY`, and nothing after it.
async fn serve_once(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    if stream.read(&mut buffer).await.is_ok() {
        actix_rt::time::sleep(ANSWER_DELAY).await;
        let length = RESPONSE.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let _ = stream
            .write_all(format!("{head}{RESPONSE}").as_bytes())
            .await;
    }
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
}

/// Long enough for two calls to need a connection each.
const ANSWER_DELAY: Duration = Duration::from_millis(50);

async fn silent_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve_once(stream));
        }
    });
    address
}

/// All connections to the store go silent at once. One call finds out; the next must not wait on
/// another of the silent ones, or a withdrawn key is accepted for longer than allowed.
#[actix_rt::test]
async fn silent_connections() {
    let address = silent_store().await;
    let settings: PlatformSettings =
        toml::from_str(&format!("address = \"{address}\"\ntimeout = \"400ms\"")).unwrap();
    let client = StoreClient::open(&settings);
    let query = RowsQuery::for_key(&RowKey("op/config".to_owned()));
    let (first, second) = futures_util::join!(client.rows(&query), client.rows(&query));
    assert!(first.is_ok() && second.is_ok());
    assert!(
        client.rows(&query).await.is_err(),
        "a silent connection answered"
    );
    assert!(
        client.rows(&query).await.is_ok(),
        "a second silent connection was used"
    );
}
