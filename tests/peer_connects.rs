//! Connections to daemons that cannot be reached.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use wagtailtrack::peers::{FleetKey, PeerPool};

/// Requests that wait for the same connection.
const WAITING: usize = 8;
/// Two attempts to connect, of which each takes a second, and some time for a busy machine.
const LIMIT: Duration = Duration::from_secs(4);

/// Guards against requests that wait one after another, a second each, for a daemon that cannot be reached,
/// although the first wait has shown it.
#[actix_rt::test]
async fn failure_is_shared() {
    // Accepts connections, by its backlog, and never says a word.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    let pool = PeerPool::open(FleetKey::open("0123456789abcdef"));
    let begin = Instant::now();
    let opened = join_all((0..WAITING).map(|_| pool.open_stream(address))).await;
    assert!(begin.elapsed() < LIMIT, "{:?}", begin.elapsed());
    for result in opened {
        let error = result.err().expect("a stream was opened");
        assert!(error.is_undelivered(), "{error}");
    }
}
