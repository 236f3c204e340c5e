//! Secret key shared by all daemons of a fleet, for message authentication codes (MACs).

use std::fmt;

/// Length of a message authentication code, in bytes.
pub const MAC_BYTES: usize = 16;

/// Context string of the BLAKE3 key derivation.
const KEY_CONTEXT: &str = "wagtailtrack 2026-12 fleet key";

/// Message authentication code: a keyed BLAKE3 hash, truncated to `MAC_BYTES`.
pub type Mac = [u8; MAC_BYTES];

/// A key that authenticates messages between daemons.
#[derive(Clone)]
pub struct FleetKey([u8; blake3::KEY_LEN]);

impl FleetKey {
    /// Derives the key from the `fleet_secret` in the settings.
    #[must_use]
    pub fn open(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Computes the MAC of the concatenation of `parts`.
    #[must_use]
    pub fn mac(&self, parts: &[&[u8]]) -> Mac {
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&self.hash(parts).as_bytes()[..MAC_BYTES]);
        mac
    }

    /// Whether `mac` is the MAC of the concatenation of `parts`. The comparison takes constant
    /// time.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], mac: &Mac) -> bool {
        let expected = self.mac(parts);
        let difference = expected
            .iter()
            .zip(mac)
            .fold(0, |bits, (left, right)| bits | (left ^ right));
        difference == 0
    }

    /// Derives another key from this key and `parts`, for use on one connection.
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
