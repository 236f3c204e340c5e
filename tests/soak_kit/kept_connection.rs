//! A caller's connection that is read slowly and kept open until the daemon has exited.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use awc::http::header::{HeaderMap, HeaderName, HeaderValue};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::common::{CallerAnswer, CallerError, PATIENCE};

/// Size of the receive buffer; a larger one would take whole responses off the daemon at once.
const RECEIVE_BYTES: u32 = 8 * 1024;
/// Largest part of a response that is read at once.
const PART_BYTES: usize = 16 * 1024;
/// Pause after each part.
const PART_PAUSE: Duration = Duration::from_millis(40);

/// An open connection.
pub struct KeptConnection(TcpStream);

impl KeptConnection {
    /// Connects to `address`.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BYTES)?;
        Ok(Self(socket.connect(address).await?))
    }

    /// Gets `target` with `headers` and reads the response slowly. Returns it with whether the connection
    /// takes no further request.
    pub async fn get(
        &mut self,
        target: &str,
        headers: &[(&str, &str)],
    ) -> Result<(CallerAnswer, bool), CallerError> {
        let exchange = actix_rt::time::timeout(PATIENCE, self.exchange(target, headers));
        let answer = exchange.await.map_err(|_| "no answer".to_owned())?;
        let answer = answer.map_err(|cause| cause.to_string())?;
        let closes = answer.header("connection").eq_ignore_ascii_case("close");
        Ok((answer, closes))
    }

    async fn exchange(
        &mut self,
        target: &str,
        headers: &[(&str, &str)],
    ) -> io::Result<CallerAnswer> {
        let mut request = format!("GET {target} HTTP/1.1\r\nhost: x\r\n");
        for (name, value) in headers {
            request.push_str(&format!("{name}: {value}\r\n"));
        }
        self.0.write_all((request + "\r\n").as_bytes()).await?;
        let mut bytes = Vec::new();
        loop {
            if let Some(answer) = parse(&bytes) {
                return Ok(answer);
            }
            let mut part = [0; PART_BYTES];
            let count = self.0.read(&mut part).await?;
            if count == 0 {
                let cause = format!("closed after {} bytes", bytes.len());
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, cause));
            }
            bytes.extend_from_slice(&part[..count]);
            if count > PART_BYTES / 4 {
                actix_rt::time::sleep(PART_PAUSE).await;
            }
        }
    }
}

/// The response in `bytes`; none until it is complete.
fn parse(bytes: &[u8]) -> Option<CallerAnswer> {
    let head_end = bytes.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..head_end]).unwrap();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?;
    let mut headers = HeaderMap::new();
    for (name, value) in lines.filter_map(|line| line.split_once(": ")) {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        headers.append(name, HeaderValue::from_str(value).unwrap());
    }
    let length = headers.get("content-length")?.to_str().unwrap();
    let body = &bytes[head_end + 4..];
    (body.len() >= length.parse().unwrap()).then(|| CallerAnswer {
        status: StatusCode::from_bytes(status.as_bytes()).unwrap(),
        headers,
        body: body.to_vec(),
    })
}
