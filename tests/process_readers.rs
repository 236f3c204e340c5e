//! Callers that are slow to read, in a fleet of real processes.
//!
//! The load: ten callers that ask for 16 MB each and read nothing, beside one that reads.

mod common;

use std::io::Write;
use std::net::TcpStream;

use awc::http::StatusCode;
use common::{CallerClient, DeskFleet, FleetPlan, eventually};

const READERS: usize = 10;
/// Memory for the answers held for callers, in bytes.
const ANSWER_MEMORY: f64 = 1024.0 * 1024.0;

/// The bytes that the daemon holds for callers, from its metrics.
async fn held_bytes(desk: &DeskFleet) -> f64 {
    let admin = CallerClient::open(desk.fleet.daemons[0].admin());
    let metrics = admin.get("/metrics").await.unwrap().text();
    let mut lines = metrics.lines();
    let line = lines.find(|line| line.starts_with("answer_bytes_held"));
    line.unwrap().rsplit(' ').next().unwrap().parse().unwrap()
}

fn stalled_reader(desk: &DeskFleet) -> TcpStream {
    let mut socket = TcpStream::connect(desk.fleet.daemons[0].callers()).unwrap();
    let request = format!(
        "GET /extracts/all?bytes=16000000 HTTP/1.1\r\nhost: x\r\nx-deadline-ms: 60000\r\n\
         authorization: Bearer {}\r\n\r\n",
        desk.secret
    );
    socket.write_all(request.as_bytes()).unwrap();
    socket
}

/// Guards against answers that take more memory than the settings allow while callers do not read
/// them, or for longer; and against other callers that get nothing meanwhile.
#[actix_rt::test]
async fn stalled_readers() {
    let plan = FleetPlan {
        tables: "[proxy]\nanswer_memory = \"1MiB\"\nanswer_progress = \"5s\"\n".to_owned(),
        ..FleetPlan::of(1)
    };
    let desk = DeskFleet::open_with("stalled-readers", plan, |plan| plan.slots = 40).await;
    let sockets: Vec<TcpStream> = (0..READERS).map(|_| stalled_reader(&desk)).collect();
    eventually("answers that are held", async || {
        held_bytes(&desk).await > ANSWER_MEMORY / 2.0
    })
    .await;
    for _ in 0..10 {
        assert!(held_bytes(&desk).await <= ANSWER_MEMORY);
        let answer = desk
            .caller(0)
            .get("/extracts/all?bytes=600000")
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.answers("", b""));
    }
    eventually("the end of the stalled answers", async || {
        held_bytes(&desk).await < 1.0
    })
    .await;
    drop(sockets);
}
