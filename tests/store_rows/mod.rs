//! A small store of rows over HTTP: reads of a range and the feed of changes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Rows by partition and key, each with its version and its value unless it was removed.
type Rows = BTreeMap<(String, String), (u64, Option<String>)>;

/// What the store holds.
#[derive(Debug, Clone, Default)]
pub struct StoreState {
    era: u64,
    newest: u64,
    rows: Rows,
    is_down: bool,
    limit: Option<usize>,
    calls: usize,
}

/// The running store.
pub struct StoreRows {
    pub address: SocketAddr,
    state: Rc<RefCell<StoreState>>,
}

impl StoreRows {
    pub async fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(RefCell::new(StoreState {
            era: 1,
            ..StoreState::default()
        }));
        let shared = Rc::clone(&state);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serve(stream, Rc::clone(&shared)));
            }
        });
        Self { address, state }
    }

    /// Writes a valid configuration document.
    pub fn put_document(&self, revision: u64) {
        let document = json!({"version": revision, "listeners": [], "clusters": []});
        self.put("config", &document.to_string());
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write("", key, Some(value));
    }

    /// Writes a row of another partition.
    pub fn put_elsewhere(&self, key: &str) {
        self.write("other", key, Some("{}"));
    }

    pub fn remove(&self, key: &str) {
        self.write("", key, None);
    }

    fn write(&self, part: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.borrow_mut();
        state.newest += 1;
        let row = (state.newest, value.map(str::to_owned));
        state.rows.insert((part.to_owned(), key.to_owned()), row);
    }

    /// Makes every call fail.
    pub fn set_down(&self, is_down: bool) {
        self.state.borrow_mut().is_down = is_down;
    }

    /// Bounds the rows of a response.
    pub fn limit_rows(&self, limit: usize) {
        self.state.borrow_mut().limit = Some(limit);
    }

    pub fn calls(&self) -> usize {
        self.state.borrow().calls
    }

    pub fn copy(&self) -> StoreState {
        self.state.borrow().clone()
    }

    /// Puts a copy in place, under the next era.
    pub fn restore(&self, copy: &StoreState) {
        let mut state = self.state.borrow_mut();
        let era = state.era + 1;
        *state = StoreState {
            era,
            ..copy.clone()
        };
    }
}

impl StoreState {
    fn range(&self, from: &str, to: &str) -> Vec<Value> {
        let rows = self.rows.iter().filter(|((part, key), (_, value))| {
            part.is_empty() && from <= key.as_str() && key.as_str() < to && value.is_some()
        });
        rows.map(row_json).collect()
    }

    fn changes(&self, after: u64) -> Vec<Value> {
        let mut rows: Vec<_> = self.rows.iter().collect();
        rows.sort_by_key(|(_, (version, _))| *version);
        let rows = rows
            .into_iter()
            .filter(|(_, (version, _))| *version > after);
        rows.map(row_json).collect()
    }

    fn body(&self, mut rows: Vec<Value>) -> String {
        let limit = self.limit.unwrap_or(usize::MAX);
        let truncated = rows.len() > limit;
        rows.truncate(limit);
        let body =
            json!({"rows": rows, "truncated": truncated, "ver": self.newest, "nowMs": 1_000});
        body.to_string()
    }
}

fn row_json(row: (&(String, String), &(u64, Option<String>))) -> Value {
    let ((part, key), (version, value)) = row;
    match value {
        Some(value) => json!({"table": "op", "part": part, "key": key, "ver": version,
            "value": STANDARD.encode(value)}),
        None => json!({"table": "op", "part": part, "key": key, "ver": version, "deleted": true}),
    }
}

async fn serve(mut stream: TcpStream, state: Rc<RefCell<StoreState>>) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        let head = String::from_utf8_lossy(&buffer[..count]).into_owned();
        let target = head.split(' ').nth(1).unwrap_or_default();
        state.borrow_mut().calls += 1;
        let (status, body) = respond(target, &state).await;
        let era = state.borrow().era;
        let length = body.len();
        let head =
            format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nstore-era: {era}\r\n\r\n");
        let sent = stream.write_all(format!("{head}{body}").as_bytes()).await;
        if sent.is_err() {
            return;
        }
    }
}

async fn respond(target: &str, state: &Rc<RefCell<StoreState>>) -> (&'static str, String) {
    if state.borrow().is_down {
        return ("503 Service Unavailable", String::new());
    }
    let number = |name: &str| parameter(target, name).parse::<u64>().unwrap_or_default();
    if target.starts_with("/v1/rows-get") {
        let state = state.borrow();
        let rows = state.range(&parameter(target, "from"), &parameter(target, "to"));
        return ("200 OK", state.body(rows));
    }
    let after = number("after");
    if after > state.borrow().newest {
        return ("410 Gone", "{}".to_owned());
    }
    let polls = number("waitMs") / POLL_INTERVAL.as_millis() as u64;
    let era = state.borrow().era;
    let has_news =
        |state: &StoreState| !state.changes(after).is_empty() || state.era != era || state.is_down;
    for _ in 0..polls {
        if has_news(&state.borrow()) {
            break;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let state = state.borrow();
    ("200 OK", state.body(state.changes(after)))
}

/// The decoded parameter `name` of the request target.
fn parameter(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(found, _)| *found == name);
    let value = value.map_or("", |(_, value)| value);
    value.replace("%2F", "/").replace("%00", "\0")
}
