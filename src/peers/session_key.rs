//! Key of one connection between daemons, derived from the fleet key and a nonce of each side.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::peers::FleetKey;

/// First bytes of a nonce: the tag of the sender's zone, little-endian. The rest is random.
const ZONE_BYTES: usize = 4;
const NONCE_BYTES: usize = 24;
/// First bytes of a connection in each direction: the protocol and its version.
const PROTOCOL: &[u8; 8] = b"wagtail1";
/// Bytes that each side sends before HTTP/2 begins.
pub(crate) const HELLO_BYTES: usize = PROTOCOL.len() + NONCE_BYTES;

/// The key of one connection. Since each connection has its own, a message that is replayed on
/// another connection fails its authentication.
#[derive(Debug, Clone)]
pub struct SessionKey {
    key: FleetKey,
    peer_zone: u32,
}

impl SessionKey {
    /// Exchanges nonces and derives the key, as the side that opened the connection, in the zone with
    /// the tag `zone`.
    ///
    /// # Errors
    /// Any I/O error, and `InvalidData` if the peer uses another protocol or version.
    pub async fn open<S>(key: &FleetKey, zone: u32, stream: &mut S) -> io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let own_nonce = random_nonce(zone);
        send_hello(stream, &own_nonce).await?;
        let peer_nonce = receive_hello(stream).await?;
        Ok(Self {
            key: key.derive(&[&own_nonce, &peer_nonce]),
            peer_zone: zone_of(&peer_nonce),
        })
    }

    /// Exchanges nonces and derives the key, as the side that accepted the connection, in the zone
    /// with the tag `zone`.
    ///
    /// # Errors
    /// As `open`.
    pub async fn accept<S>(key: &FleetKey, zone: u32, stream: &mut S) -> io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let peer_nonce = receive_hello(stream).await?;
        let own_nonce = random_nonce(zone);
        send_hello(stream, &own_nonce).await?;
        Ok(Self {
            key: key.derive(&[&peer_nonce, &own_nonce]),
            peer_zone: zone_of(&peer_nonce),
        })
    }

    /// The key that authenticates the messages on this connection.
    #[must_use]
    pub const fn key(&self) -> &FleetKey {
        &self.key
    }

    /// Tag of the peer's zone; it counts only for statistics.
    pub(crate) const fn peer_zone(&self) -> u32 {
        self.peer_zone
    }
}

fn random_nonce(zone: u32) -> [u8; NONCE_BYTES] {
    let mut nonce = [0; NONCE_BYTES];
    nonce[..ZONE_BYTES].copy_from_slice(&zone.to_le_bytes());
    fastrand::Rng::new().fill(&mut nonce[ZONE_BYTES..]);
    nonce
}

fn zone_of(nonce: &[u8; NONCE_BYTES]) -> u32 {
    let mut zone = [0; ZONE_BYTES];
    zone.copy_from_slice(&nonce[..ZONE_BYTES]);
    u32::from_le_bytes(zone)
}

async fn send_hello<S: AsyncWrite + Unpin>(stream: &mut S, nonce: &[u8]) -> io::Result<()> {
    stream.write_all(PROTOCOL).await?;
    stream.write_all(nonce).await?;
    stream.flush().await
}

async fn receive_hello<S: AsyncRead + Unpin>(stream: &mut S) -> io::Result<[u8; NONCE_BYTES]> {
    let mut protocol = [0; PROTOCOL.len()];
    stream.read_exact(&mut protocol).await?;
    if &protocol != PROTOCOL {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "peer uses another protocol or version",
        ));
    }
    let mut nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut nonce).await?;
    Ok(nonce)
}
