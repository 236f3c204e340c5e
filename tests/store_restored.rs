//! The users' store when it comes back from a copy: its versions go back and are given out again.
#![allow(
    dead_code,
    reason = "the tests use only some functions of each included module"
)]

#[path = "../platform/config_entries.rs"]
mod config_entries;
#[path = "../platform/config_wire.rs"]
mod config_wire;
#[path = "../platform/document_store.rs"]
mod document_store;
#[path = "../platform/store_client.rs"]
mod store_client;
#[path = "../platform/store_response.rs"]
mod store_response;
#[path = "../platform/store_wire.rs"]
mod store_wire;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use document_store::DocumentStore;
use fastrand::Rng;
use serde_json::json;
use store_client::StoreClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wagtailtrack::config::{DocumentSource, DocumentWatcher, WatchResponse, WatcherStep};
use wagtailtrack::ids::Revision;
use wagtailtrack::settings::{PlatformSettings, ServiceSettings};
use wagtailtrack::time::ProcessClock;

const LEASE: Duration = Duration::from_secs(5);

/// What the store holds of the configuration.
#[derive(Debug, Clone, Copy)]
struct StoreState {
    era: u64,
    /// Newest version of the whole store.
    newest: u64,
    /// Version of the row that holds the document.
    row: u64,
    /// Revision of the document.
    revision: u64,
}

impl StoreState {
    /// The status and the body of the response to a read, or to a watch after a version.
    fn response(self, after: Option<u64>) -> (&'static str, String) {
        if after.is_some_and(|after| after > self.newest) {
            return ("410 Gone", "{}".to_owned());
        }
        let document = json!({"version": self.revision, "listeners": [],
            "clusters": [{"name": "desk"}]});
        let row = json!({"table": "op", "part": "", "key": "config", "ver": self.row,
            "value": STANDARD.encode(document.to_string())});
        let rows = match after.is_none_or(|after| self.row > after) {
            true => vec![row],
            false => Vec::new(),
        };
        let body = json!({"rows": rows, "truncated": false, "ver": self.newest, "nowMs": 1_000});
        ("200 OK", body.to_string())
    }
}

/// Answers the calls on one connection; watches are answered at once.
async fn serve(mut stream: TcpStream, state: Rc<RefCell<StoreState>>) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        let head = String::from_utf8_lossy(&buffer[..count]);
        let query = head.split_once("after=").map(|(_, query)| query);
        let digits = query.map(|query| query.split(|letter: char| !letter.is_ascii_digit()));
        let after = digits.and_then(|mut digits| digits.next()?.parse().ok());
        let state = *state.borrow();
        let (status, body) = state.response(after);
        let head = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {}\r\nstore-era: {}\r\n\r\n",
            body.len(),
            state.era
        );
        let sent = stream.write_all(format!("{head}{body}").as_bytes()).await;
        if sent.is_err() {
            return;
        }
    }
}

async fn bind_store(state: &Rc<RefCell<StoreState>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let state = Rc::clone(state);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream, Rc::clone(&state)));
        }
    });
    address
}

/// Follows the document in the store call by call.
struct Follower {
    clock: ProcessClock,
    source: DocumentStore,
    watcher: DocumentWatcher,
    rng: Rng,
    newest: Option<Revision>,
}

impl Follower {
    fn open(address: SocketAddr) -> Self {
        let settings: PlatformSettings =
            toml::from_str(&format!("address = \"{address}\"")).unwrap();
        let clock = ProcessClock::open();
        Self {
            clock,
            source: DocumentStore::open(StoreClient::open(&settings), ServiceSettings::default()),
            watcher: DocumentWatcher::open(LEASE, clock.now()),
            rng: Rng::with_seed(1),
            newest: None,
        }
    }

    /// Makes one call. Returns whether it confirmed the document that was read last as the newest.
    async fn call(&mut self) -> bool {
        let sent = self.clock.now();
        let response = match self.watcher.next_step(sent) {
            WatcherStep::Read => self.source.read().await.map(WatchResponse::Reading),
            WatcherStep::Watch(position, wait) => self.source.watch(position, wait).await,
            WatcherStep::Pause(until) => {
                actix_rt::time::sleep(until.remaining(sent)).await;
                return false;
            }
        };
        let now = self.clock.now();
        let update = self.watcher.answered(sent, now, response, &mut self.rng);
        let Some(update) = update else {
            return false;
        };
        let revision = update.document.map(|document| document.revision);
        self.newest = self.newest.max(revision);
        update.confirmed_at.is_some()
    }
}

/// Guards against a change that is never put in force, while it is confirmed as known, because the
/// restored store gave the change a version that the daemon had already seen.
#[actix_rt::test]
async fn change_below_known_version() {
    let state = Rc::new(RefCell::new(StoreState {
        era: 1,
        newest: 90,
        row: 40,
        revision: 7,
    }));
    let mut follower = Follower::open(bind_store(&state).await);
    assert!(follower.call().await);
    assert_eq!(follower.newest, Some(Revision(7)));
    *state.borrow_mut() = StoreState {
        era: 2,
        newest: 95,
        row: 85,
        revision: 8,
    };
    for _ in 0..4 {
        let is_confirmed = follower.call().await;
        let is_newest = follower.newest == Some(Revision(8));
        assert!(
            is_newest || !is_confirmed,
            "revision 7 was confirmed as the newest"
        );
    }
    assert_eq!(follower.newest, Some(Revision(8)));
}
