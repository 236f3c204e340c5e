//! Connections that send without reading.

use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use futures_util::future::join_all;
use tokio::net::TcpSocket;

/// Rounds in a row without progress after which a crowd has sent all that its server takes.
const QUIET_ROUNDS: usize = 10;
const ROUND: Duration = Duration::from_millis(100);
const MAX_ROUNDS: usize = 150;
/// Receive buffer of each connection, in bytes, which responses that nobody reads fill soon.
const RECEIVE_BUFFER: u32 = 4 * 1024;
/// Time for a connection to be established. One that the server does not accept counts as closed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Processor time of the server in a round, in clock ticks, below which it counts as idle.
const IDLE_TICKS: u64 = 2;
const BLOCK_BYTES: usize = 64 * 1024;

/// What each connection of a crowd sends.
pub struct CrowdInput {
    /// Sent once, first.
    pub start: Vec<u8>,
    /// Sent over and over after that; nothing if empty.
    pub rest: Vec<u8>,
    /// Bytes after which a connection sends nothing more.
    pub most: usize,
}

impl CrowdInput {
    /// Sends `unit` over and over.
    pub fn repeat(unit: &str, most: usize) -> Self {
        Self {
            start: Vec::new(),
            rest: unit.as_bytes().to_vec(),
            most,
        }
    }

    /// Sends `start` once, and then `unit` over and over.
    pub fn begin(start: &str, unit: &str, most: usize) -> Self {
        Self {
            start: start.as_bytes().to_vec(),
            ..Self::repeat(unit, most)
        }
    }

    /// Sends `text` once.
    pub fn once(text: &str) -> Self {
        Self::begin(text, "", text.len())
    }
}

struct CrowdSocket {
    stream: TcpStream,
    sent: usize,
    is_closed: bool,
}

/// Connections to one address; dropping it closes them.
pub struct ClientCrowd {
    sockets: Vec<CrowdSocket>,
}

impl ClientCrowd {
    /// Opens `count` connections, less those that the server does not accept.
    pub async fn open(address: SocketAddr, count: usize) -> Self {
        let streams = join_all((0..count).map(|_| connect(address))).await;
        let socket = |stream| CrowdSocket {
            stream,
            sent: 0,
            is_closed: false,
        };
        Self {
            sockets: streams.into_iter().flatten().map(socket).collect(),
        }
    }

    /// Sends `input` on each connection until the server, the process `pid`, takes no more and is idle.
    /// Calls `observe` in each round.
    pub async fn press(&mut self, input: &CrowdInput, pid: u32, mut observe: impl FnMut()) {
        let block = repeated(&input.rest);
        let mut quiet_rounds = 0;
        let mut ticks = busy_ticks(pid);
        for _ in 0..MAX_ROUNDS {
            let mut progress = 0;
            for socket in &mut self.sockets {
                progress += socket.send(input, &block);
            }
            observe();
            actix_rt::time::sleep(ROUND).await;
            let now = busy_ticks(pid);
            let is_quiet = progress == 0 && now.saturating_sub(ticks) < IDLE_TICKS;
            ticks = now;
            quiet_rounds = if is_quiet { quiet_rounds + 1 } else { 0 };
            if quiet_rounds == QUIET_ROUNDS {
                return;
            }
        }
    }

    /// Shuts down the sending side of each connection.
    pub fn finish_sending(&self) {
        for socket in &self.sockets {
            let _ = socket.stream.shutdown(Shutdown::Write);
        }
    }
}

impl CrowdSocket {
    /// Sends what the socket takes, and returns the number of bytes.
    fn send(&mut self, input: &CrowdInput, block: &[u8]) -> usize {
        let begun = self.sent;
        while !self.is_closed && self.sent < input.most {
            let bytes = match input.start.get(self.sent..) {
                Some(start) if !start.is_empty() => start,
                _ if input.rest.is_empty() => break,
                _ => &block[(self.sent - input.start.len()) % input.rest.len()..],
            };
            let length = bytes.len().min(input.most - self.sent);
            match self.stream.write(&bytes[..length]) {
                Ok(written) => self.sent += written,
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.is_closed = true,
            }
        }
        self.sent - begun
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    let connecting = socket.connect(address);
    let connected = actix_rt::time::timeout(CONNECT_TIMEOUT, connecting).await;
    // The stream stays non-blocking.
    connected??.into_std()
}

fn repeated(unit: &[u8]) -> Vec<u8> {
    match unit.len() {
        0 => Vec::new(),
        length => unit.repeat(BLOCK_BYTES / length + 2),
    }
}

/// Processor time of the process so far, in clock ticks.
fn busy_ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The fields follow the name, which stands in brackets: user time is the 12th, system time the 13th.
    let (_, fields) = stat.rsplit_once(')').unwrap_or_default();
    let mut fields = fields.split_ascii_whitespace().skip(11);
    let mut next = || fields.next().and_then(|field| field.parse().ok());
    next().unwrap_or(0) + next().unwrap_or(0)
}
