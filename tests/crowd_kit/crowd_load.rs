//! The crowds of the tests and what they send.

use super::{CrowdDesk, CrowdInput};

/// Connections that each fill every buffer they can.
pub const CROWD: usize = 150;
/// Connections in a state in which each takes little.
pub const LARGE_CROWD: usize = 1_200;
/// What each connection of a crowd sends at most, in bytes.
pub const MOST: usize = 4 * 1024 * 1024;

/// The head of an ordinary request with `further` headers.
pub fn usual_head(key: &str, method: &str, target: &str, further: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nhost: desk.example\r\nuser-agent: crowd/1.0\r\naccept: */*\r\n\
         accept-encoding: identity\r\nx-request-id: 0123456789abcdef\r\nx-deadline-ms: 4000\r\n\
         authorization: Bearer {key}\r\n{further}\r\n"
    )
}

/// Presses the callers' listener with `count` connections that send what `input` makes of the key.
pub async fn press_callers(name: &str, count: usize, input: impl Fn(&str) -> CrowdInput) {
    let mut desk = CrowdDesk::open(name).await;
    let input = input(desk.desk.key());
    let crowd = desk.press(desk.callers(), count, &input).await;
    desk.check(crowd).await;
}
