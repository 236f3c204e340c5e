//! The key that all daemons of a fleet share.

use std::fmt;

/// Length of a message authentication code, in bytes.
pub const MAC_BYTES: usize = 16;

const KEY_CONTEXT: &str = "wagtailtrack 2026-12 fleet key";

/// A truncated keyed BLAKE3 hash.
pub type Mac = [u8; MAC_BYTES];

/// Authenticates messages between daemons.
#[derive(Clone)]
pub struct FleetKey([u8; blake3::KEY_LEN]);

impl FleetKey {
    /// The key derived from the settings' secret.
    #[must_use]
    pub fn open(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// The code of the concatenation of `parts`.
    #[must_use]
    pub fn mac(&self, parts: &[&[u8]]) -> Mac {
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&self.hash(parts).as_bytes()[..MAC_BYTES]);
        mac
    }

    /// Whether `mac` is the code of `parts`, compared in constant time.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], mac: &Mac) -> bool {
        let expected = self.mac(parts);
        let difference = expected
            .iter()
            .zip(mac)
            .fold(0, |bits, (left, right)| bits | (left ^ right));
        difference == 0
    }

    /// A key of its own for one connection.
    #[must_use]
    pub fn derive(&self, parts: &[&[u8]]) -> Self {
        Self(*self.hash(parts).as_bytes())
    }

    fn hash(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        hasher.finalize()
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetKey(..)")
    }
}
