//! Crowds of clients that send ahead and read nothing, before a real daemon with lowered limits: the process
//! lives within its memory and descriptors, and ordinary requests are answered.

mod common;
mod crowd_kit;

use crowd_kit::{CROWD, CrowdDesk, CrowdInput, LARGE_CROWD, MOST, press_callers, usual_head};

/// Connections that send the smallest requests.
const SMALL_CROWD: usize = 40;
/// The longest head that the server's parser reads, less a little.
const LONG_HEAD: usize = 120 * 1024;
/// Headers of a request that the parser takes.
const MANY_HEADERS: usize = 90;

/// Guards against requests sent ahead that are all decoded at once, and their refusals that nobody reads.
#[actix_rt::test]
async fn refused_requests_sent_ahead() {
    press_callers("crowd-refused", CROWD, |_| {
        CrowdInput::repeat(&usual_head("wrong", "GET", "/lookups/1", ""), MOST)
    })
    .await;
}

/// As above, for requests that are served.
#[actix_rt::test]
async fn served_requests_sent_ahead() {
    press_callers("crowd-served", CROWD, |key| {
        CrowdInput::repeat(&usual_head(key, "GET", "/lookups/1", ""), MOST)
    })
    .await;
}

/// As above, for long responses.
#[actix_rt::test]
async fn long_responses_unread() {
    press_callers("crowd-long", CROWD, |key| {
        let target = "/extracts/all?bytes=2000000";
        CrowdInput::repeat(&usual_head(key, "GET", target, ""), MOST)
    })
    .await;
}

/// Guards against responses that wait in the buffers between two daemons, one for each of many connections.
#[actix_rt::test]
async fn responses_of_many_connections_unread() {
    let change = |plan: &mut common::BackendPlan| plan.slots = 200;
    let mut desk = CrowdDesk::open_with("crowd-windows", change).await;
    let head = usual_head(desk.desk.key(), "GET", "/extracts/all?bytes=250000", "");
    let input = CrowdInput::once(&head.replace("ms: 4000", "ms: 30000"));
    let crowd = desk.press(desk.callers(), LARGE_CROWD, &input).await;
    desk.check(crowd).await;
}

/// Guards against the smallest requests, which take the most memory for each byte sent.
#[actix_rt::test]
async fn smallest_requests_to_callers() {
    press_callers("crowd-smallest", SMALL_CROWD, |_| {
        CrowdInput::repeat("GET / HTTP/1.1\r\nhost: x\r\n\r\n", MOST)
    })
    .await;
}

/// As above, on the listener that answers whether the daemon is ready.
#[actix_rt::test]
async fn smallest_requests_to_admin() {
    let mut desk = CrowdDesk::open("crowd-admin").await;
    let input = CrowdInput::repeat("GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n", MOST);
    let admin = desk.desk.fleet.daemons[0].admin();
    let crowd = desk.press(admin, SMALL_CROWD, &input).await;
    desk.check_ready().await;
    desk.check(crowd).await;
}

/// As above, on the listener for announcements.
#[actix_rt::test]
async fn smallest_requests_to_announce() {
    let mut desk = CrowdDesk::open("crowd-announce").await;
    let input = CrowdInput::repeat("GET /v1/instances HTTP/1.1\r\nhost: x\r\n\r\n", MOST);
    let announce = desk.desk.fleet.daemons[0].announce();
    let crowd = desk.press(announce, SMALL_CROWD, &input).await;
    desk.check(crowd).await;
}

/// Guards against memory for heads that never end.
#[actix_rt::test]
async fn unfinished_heads() {
    press_callers("crowd-heads", LARGE_CROWD, |_| {
        let start = "GET /lookups/1 HTTP/1.1\r\nhost: x\r\nx-long: ";
        CrowdInput::begin(start, "a", LONG_HEAD)
    })
    .await;
}

/// As above, where a whole request came first.
#[actix_rt::test]
async fn unfinished_second_heads() {
    press_callers("crowd-second-heads", LARGE_CROWD, |key| {
        let first = usual_head(key, "GET", "/lookups/1", "");
        let start = format!("{first}GET /lookups/2 HTTP/1.1\r\nhost: x\r\nx-long: ");
        CrowdInput::begin(&start, "a", LONG_HEAD)
    })
    .await;
}

/// Guards against memory for the headers of requests that wait.
#[actix_rt::test]
async fn waiting_requests_with_many_headers() {
    let change = |plan: &mut common::BackendPlan| plan.service_time = "400ms".to_owned();
    let mut desk = CrowdDesk::open_with("crowd-headers", change).await;
    let names = (0..MANY_HEADERS).map(|number| format!("x-{number}: {}\r\n", "b".repeat(100)));
    let further: String = names.collect();
    let head = usual_head(desk.desk.key(), "GET", "/lookups/1", &further);
    let input = CrowdInput::once(&head);
    let crowd = desk.press(desk.callers(), LARGE_CROWD, &input).await;
    desk.check(crowd).await;
}

/// Guards against memory for bodies in chunks of one byte.
#[actix_rt::test]
async fn bodies_in_small_chunks() {
    press_callers("crowd-chunks", LARGE_CROWD, |key| {
        let chunked = "transfer-encoding: chunked\r\n";
        let start = usual_head(key, "POST", "/filings", chunked);
        CrowdInput::begin(&start, "1\r\nx\r\n", LONG_HEAD)
    })
    .await;
}

/// Guards against memory for bodies of requests that are refused before their body is read.
#[actix_rt::test]
async fn bodies_of_refused_requests() {
    press_callers("crowd-bodies", LARGE_CROWD, |_| {
        let length = "content-length: 100000000\r\n";
        let start = usual_head("wrong", "POST", "/filings", length);
        CrowdInput::begin(&start, "x", LONG_HEAD)
    })
    .await;
}

/// Guards against memory for trailers that never end.
#[actix_rt::test]
async fn endless_trailers() {
    press_callers("crowd-trailers", LARGE_CROWD, |key| {
        let chunked = "transfer-encoding: chunked\r\n";
        let start = usual_head(key, "POST", "/filings", chunked) + "1\r\nx\r\n0\r\n";
        CrowdInput::begin(&start, "x-trailer: a\r\n", LONG_HEAD)
    })
    .await;
}

/// Guards against bodies sent ahead by clients that ask for a word before they send them.
#[actix_rt::test]
async fn expecting_requests_sent_ahead() {
    press_callers("crowd-expect", CROWD, |key| {
        let further = "expect: 100-continue\r\ncontent-length: 4\r\n";
        let unit = usual_head(key, "POST", "/filings", further) + "body";
        CrowdInput::repeat(&unit, MOST)
    })
    .await;
}

/// Guards against clients that send ahead and shut down their sending side.
#[actix_rt::test]
async fn half_closed_requests_sent_ahead() {
    let mut desk = CrowdDesk::open("crowd-half-closed").await;
    let head = usual_head(desk.desk.key(), "GET", "/lookups/1", "");
    let input = CrowdInput::repeat(&head, MOST);
    let crowd = desk.press(desk.callers(), CROWD, &input).await;
    crowd.finish_sending();
    desk.check(crowd).await;
}

/// Guards against memory that one crowd after the other adds.
#[actix_rt::test]
async fn crowds_in_succession() {
    let mut desk = CrowdDesk::open("crowd-succession").await;
    let head = usual_head(desk.desk.key(), "GET", "/lookups/1", "");
    let input = CrowdInput::repeat(&head, MOST);
    for _ in 0..5 {
        let crowd = desk.press(desk.callers(), CROWD, &input).await;
        desk.check(crowd).await;
    }
}

/// Guards against memory of the kernel for what many clients send ahead, which counts for the process.
#[actix_rt::test]
async fn requests_of_many_connections_sent_ahead() {
    press_own_service("crowd-many", "").await;
}

/// As above, behind long requests that are being served, whose next ones follow at once.
#[actix_rt::test]
async fn bytes_behind_long_requests() {
    press_own_service("crowd-behind", "?work=20000").await;
}

/// Presses with many connections of a client account that calls a service of its own, so that it takes
/// neither slots nor rate from ordinary requests.
async fn press_own_service(name: &str, query: &str) {
    let mut desk = CrowdDesk::open(name).await;
    let resources = desk.desk.fleet.resources(0);
    resources.create_service("works", 3).await;
    resources.create_route("works", "works", "lookup").await;
    let key = resources.create_caller("crowd", 5_000, 5_000).await;
    let mut plan = common::BackendPlan::new("works", "works-1");
    plan.slots = 2_000;
    desk.desk.fleet.add_backend(0, plan).await;
    desk.check_answered("/works/1").await;
    let head = usual_head(&key, "GET", &format!("/works/1{query}"), "");
    let head = head.replace("ms: 4000", "ms: 30000");
    let input = CrowdInput::repeat(&head, MOST);
    let crowd = desk.press(desk.callers(), LARGE_CROWD, &input).await;
    desk.check(crowd).await;
}
