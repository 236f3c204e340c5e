//! Tests with real processes: a daemon exits only after its responses have left the process.

mod common;

use std::time::{Duration, Instant};

use common::{DeskFleet, FleetPlan};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Size of a response that the daemon reads completely before it starts to send it.
const HELD_BYTES: usize = 200_000;
/// Longest time until the daemon starts the next request of a connection that it can still write to.
const START_LIMIT: Duration = Duration::from_millis(700);
/// Time from SIGTERM until the caller reads on. The daemon exits earlier if it has nothing to wait for.
const READ_PAUSE: Duration = Duration::from_millis(3200);

/// A fleet of one daemon, whose shutdown takes at most 6 s.
async fn open_desk(name: &str) -> DeskFleet {
    let plan = FleetPlan {
        tables: "[proxy]\nshutdown = \"6s\"\n".to_owned(),
        ..FleetPlan::of(1)
    };
    DeskFleet::open_with(name, plan, |_| {}).await
}

/// Connects with a small receive buffer, so that few bytes fit between the daemon and the caller.
async fn connect(desk: &DeskFleet) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let address = desk.fleet.daemons[0].callers();
    socket.connect(address).await.unwrap()
}

async fn ask(socket: &mut TcpStream, desk: &DeskFleet) {
    let request = format!(
        "GET /extracts/all?bytes={HELD_BYTES} HTTP/1.1\r\nhost: x\r\nx-deadline-ms: 60000\r\n\
         authorization: Bearer {}\r\n\r\n",
        desk.secret
    );
    socket.write_all(request.as_bytes()).await.unwrap();
}

/// The requests that the daemon has begun to serve, and those that are in flight.
async fn requests(desk: &DeskFleet) -> (u64, u64) {
    let dump = desk.fleet.daemons[0].operator().get("/dump").await.unwrap();
    let dump: serde_json::Value = serde_json::from_slice(&dump.body).unwrap();
    let ingress = &dump["ingress"];
    (
        ingress["totals"]["requests"].as_u64().unwrap(),
        ingress["under_way"].as_u64().unwrap(),
    )
}

/// Sends requests, without reading, until the daemon cannot write the response of the one before the
/// last. Returns their number.
async fn fill_connection(socket: &mut TcpStream, desk: &DeskFleet) -> usize {
    let (before, _) = requests(desk).await;
    for number in 1.. {
        ask(socket, desk).await;
        let sent_at = Instant::now();
        while requests(desk).await != (before + number, 0) {
            if sent_at.elapsed() > START_LIMIT {
                return usize::try_from(number).unwrap();
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }
    unreachable!()
}

/// Reads one response; returns its status and the length of its body, or why it is not complete.
async fn read_response(socket: &mut TcpStream) -> Result<(String, usize), String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(socket.read_u8().await.map_err(|cause| cause.to_string())?);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let length = head.split("content-length: ").nth(1).unwrap();
    let length = length.lines().next().unwrap().parse().unwrap();
    let mut body = vec![0; length];
    let reading = socket.read_exact(&mut body).await;
    reading.map_err(|cause| cause.to_string())?;
    Ok((head.lines().next().unwrap().to_owned(), length))
}

/// Guards against a response that was begun before the shutdown and is cut when the process exits,
/// because its caller reads slowly; and against an idle connection that delays the exit.
#[actix_rt::test]
async fn slow_reader() {
    let mut desk = open_desk("flush-slow-reader").await;
    let mut idle = connect(&desk).await;
    ask(&mut idle, &desk).await;
    read_response(&mut idle).await.unwrap();
    let mut socket = connect(&desk).await;
    let sent = fill_connection(&mut socket, &desk).await;
    desk.fleet.daemons[0].process.terminate();
    actix_rt::time::sleep(READ_PAUSE).await;
    for number in 1..=sent {
        let response = read_response(&mut socket).await;
        let (status, length) = response.unwrap_or_else(|cause| panic!("{number}/{sent}: {cause}"));
        if number < sent {
            assert_eq!((status.as_str(), length), ("http/1.1 200 ok", HELD_BYTES));
        }
    }
    let read_at = Instant::now();
    let status = desk.fleet.daemons[0].process.ended().await;
    assert!(status.success(), "{status}");
    assert!(
        read_at.elapsed() < Duration::from_secs(1),
        "ended after {:?}",
        read_at.elapsed()
    );
}

/// Guards against a caller that reads nothing and delays the exit beyond the end of the shutdown.
#[actix_rt::test]
async fn stalled_reader() {
    let mut desk = open_desk("flush-stalled").await;
    let mut socket = connect(&desk).await;
    fill_connection(&mut socket, &desk).await;
    let stopped_at = Instant::now();
    desk.fleet.daemons[0].process.terminate();
    let status = desk.fleet.daemons[0].process.ended().await;
    assert!(status.code().is_some(), "the daemon did not exit by itself");
    assert!(
        stopped_at.elapsed() < Duration::from_secs(6),
        "ended after {:?}",
        stopped_at.elapsed()
    );
    drop(socket);
}
