//! Tests with real processes: a daemon that exits delivers the last responses, and accepts no request that
//! its exit would cut off.

mod common;

use std::time::{Duration, Instant};

use awc::http::Method;
use common::{DeskFleet, FleetPlan, RelayMode, eventually};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Requests that run at the same time.
const REQUESTS: usize = 8;
/// Size of a response; it fits into the flow control window of a stream, so that the daemon beside the
/// instance hands it over at once.
const RESPONSE_BYTES: usize = 240_000;
/// Rate of the link between the daemons. The responses take 4 s together, and the daemon beside the
/// instance has nothing else to wait for after 2.3 s.
const BYTES_PER_SECOND: u64 = 480_000;
/// Median time that a request takes at an instance where that matters.
const WORK: Duration = Duration::from_millis(600);

/// Two daemons whose only ready instance is beside the second, with relays between the daemons.
async fn open_desk(name: &str) -> DeskFleet {
    let plan = FleetPlan {
        has_relays: true,
        tables: "[proxy]\nshutdown = \"6s\"\n".to_owned(),
        ..FleetPlan::of(2)
    };
    let desk = DeskFleet::open_with(name, plan, |plan| plan.slots = 12).await;
    let order = "{\"phase\":\"draining\"}";
    desk.fleet.backends[0].control(order).await;
    let mut served_in_a_row = 0;
    eventually("an instance that drains", async || {
        let answer = desk.caller(0).get("/lookups/1").await.unwrap();
        let is_other = answer.header("x-instance") == "desk-2";
        served_in_a_row = if is_other { served_in_a_row + 1 } else { 0 };
        served_in_a_row > 20
    })
    .await;
    desk
}

/// Guards against a response of an instance that is lost when the daemon beside it exits, because its
/// bytes are still on their way to the other daemon.
#[actix_rt::test]
async fn response_on_its_way() {
    let mut desk = open_desk("closing-response").await;
    desk.fleet.request_relays[1].set(RelayMode::Rate(BYTES_PER_SECOND));
    let caller = desk.caller(0).with_header("x-deadline-ms", "30000");
    let send = |number: usize| {
        let caller = caller.clone();
        actix_rt::spawn(async move {
            let (target, tag) = (format!("/filings?bytes={RESPONSE_BYTES}"), tag(number));
            caller.send(Method::POST, &target, &tag, b"").await
        })
    };
    let sending: Vec<_> = (0..REQUESTS).map(send).collect();
    eventually("the work of the instance", async || {
        desk.times_ran(&tag(REQUESTS - 1)).await == 1
    })
    .await;
    let stopped_at = Instant::now();
    desk.fleet.daemons[1].process.terminate();
    let status = desk.fleet.daemons[1].process.ended().await;
    let stopped_after = stopped_at.elapsed();
    for (number, sending) in sending.into_iter().enumerate() {
        let answer = sending.await.unwrap().unwrap();
        assert!(
            answer.answers(&tag(number), b""),
            "{number}: {}",
            answer.status
        );
    }
    assert!(status.success(), "{status}");
    assert!(stopped_after < Duration::from_secs(6), "{stopped_after:?}");
}

fn tag(number: usize) -> String {
    format!("last-{number}")
}

/// Guards against a request that a daemon accepts on a kept connection after it has seen that no request is
/// left: an instance ran it, and the process ended without its response.
#[actix_rt::test]
async fn request_after_last_check() {
    let plan = FleetPlan {
        tables: "[proxy]\nshutdown = \"6s\"\n".to_owned(),
        ..FleetPlan::of(3)
    };
    let mut desk = DeskFleet::open_with("closing-late-request", plan, |plan| {
        plan.service_time = format!("{}ms", WORK.as_millis());
    })
    .await;
    let key = unlimited_key(&desk).await;
    let callers = desk.fleet.daemons[0].callers();
    let mut socket = TcpStream::connect(callers).await.unwrap();
    post(&mut socket, &key, "before").await.unwrap();
    let before = read_head(&mut socket).await;
    assert!(before.starts_with("HTTP/1.1 200"), "{before}");
    for index in [0, 2] {
        let order = "{\"phase\":\"draining\"}";
        desk.fleet.backends[index].control(order).await;
    }
    // The stopping daemon waits for a connection of this one, on which nothing arrives.
    desk.fleet.daemons[2].process.pause();
    desk.fleet.daemons[0].process.terminate();
    eventually("the last check", async || {
        let output = desk.fleet.daemons[0].process.output();
        output.contains("Stopped.")
    })
    .await;
    let sent = post(&mut socket, &key, "after").await;
    let after = read_head(&mut socket).await;
    desk.fleet.daemons[2].process.resume();
    // An instance records a request at the end of its work.
    actix_rt::time::sleep(2 * WORK).await;
    let runs = desk.times_ran("after").await;
    let is_served = after.starts_with("HTTP/1.1 200");
    assert!(
        is_served || runs == 0,
        "ran {runs} times: {sent:?} '{after}'"
    );
    let status = desk.fleet.daemons[0].process.ended().await;
    assert!(status.success(), "{status}");
}

/// Issues a key of a client account without a limit: a stopping daemon has no tokens of the others.
async fn unlimited_key(desk: &DeskFleet) -> String {
    let resources = desk.fleet.resources(0);
    let account = serde_json::json!({"id": "unlimited", "unlimited": true});
    resources.create("account", account).await;
    let key = resources.issue_key("unlimited", "unlimited").await;
    let caller = desk.fleet.daemons[0].caller().with_key(&key);
    eventually("the key in force", async || {
        let answer = caller.get("/lookups/1").await;
        answer.is_ok_and(|answer| answer.status.is_success())
    })
    .await;
    key
}

async fn post(socket: &mut TcpStream, key: &str, tag: &str) -> std::io::Result<()> {
    let request = format!(
        "POST /filings HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\nx-tag: {tag}\r\ncontent-length: 0\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).await
}

/// Reads the head of a response with what arrives beside it; empty if the connection ends first.
async fn read_head(socket: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|part| part == b"\r\n\r\n") {
        match socket.read_buf(&mut bytes).await {
            Ok(0) | Err(_) => return String::new(),
            Ok(_) => {}
        }
    }
    String::from_utf8(bytes).unwrap()
}

/// Time that a filing takes where bodies end late, and sizes and pauses of their parts.
const LATE_WORK: Duration = Duration::from_secs(1);
const BODY_PARTS: usize = 10;
const PART: [u8; 1_000] = [b'x'; 1_000];

/// Files a request on `socket` whose body takes `span`. Returns the status, and when it came.
async fn post_slowly(
    mut socket: TcpStream,
    key: String,
    tag: String,
    span: Duration,
) -> (String, Instant) {
    let length = BODY_PARTS * PART.len();
    let head = format!(
        "POST /filings HTTP/1.1\r\nhost: desk\r\nauthorization: Bearer {key}\r\nx-tag: {tag}\r\nx-deadline-ms: 20000\r\ncontent-length: {length}\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    let (mut reader, mut writer) = socket.into_split();
    let writing = actix_rt::spawn(async move {
        for part in 0..BODY_PARTS {
            if part > 0 {
                actix_rt::time::sleep(span / (BODY_PARTS as u32 - 1)).await;
            }
            // The daemon may have refused the request and closed the connection.
            if writer.write_all(&PART).await.is_err() {
                break;
            }
        }
        writer
    });
    let mut status = [0; 12];
    let has_status = reader.read_exact(&mut status).await.is_ok();
    let answered = Instant::now();
    writing.abort();
    let status = String::from_utf8_lossy(&status[9..]).into_owned();
    (if has_status { status } else { String::new() }, answered)
}

/// Guards against requests whose bodies end late in a shutdown: they were passed on to an instance, and cut off
/// while it ran them. Those that would end in time must still be served.
#[actix_rt::test]
async fn bodies_that_end_late() {
    let plan = FleetPlan {
        tables: "[proxy]\nshutdown = \"6s\"\n".to_owned(),
        ..FleetPlan::of(2)
    };
    let mut desk = DeskFleet::open_with("closing-late-bodies", plan, |plan| {
        plan.service_time = format!("{}ms", LATE_WORK.as_millis());
        plan.slots = 12;
    })
    .await;
    let warm = (0..8).map(|number| {
        let caller = desk.caller(0);
        actix_rt::spawn(async move {
            let tag = format!("warm-{number}");
            caller.send(Method::POST, "/filings", &tag, b"").await
        })
    });
    for sending in warm.collect::<Vec<_>>() {
        assert!(sending.await.unwrap().unwrap().status.is_success());
    }
    let key = unlimited_key(&desk).await;
    let mut sockets = Vec::new();
    for _ in 0..2 {
        let callers = desk.fleet.daemons[0].callers();
        sockets.push(TcpStream::connect(callers).await.unwrap());
    }
    let post = |socket, tag: &str, span| {
        actix_rt::spawn(post_slowly(socket, key.clone(), tag.to_owned(), span))
    };
    // The daemon answers all requests 5.35 s after the signal.
    let late = post(sockets.remove(0), "late", Duration::from_millis(4_800));
    let in_time = post(sockets.remove(0), "in-time", Duration::from_millis(3_000));
    let stopped_at = Instant::now();
    desk.fleet.daemons[0].process.terminate();
    let (status, answered) = late.await.unwrap();
    assert_eq!(status, "503");
    let answered_after = answered.duration_since(stopped_at);
    assert!(
        answered_after < Duration::from_millis(4_700),
        "refused {answered_after:?} after the signal, after its last byte"
    );
    assert_eq!(in_time.await.unwrap().0, "200");
    assert!(desk.fleet.daemons[0].process.ended().await.success());
    assert_eq!(desk.times_ran("late").await, 0);
    assert_eq!(desk.times_ran("in-time").await, 1);
}
