//! What makes two requests of callers the same.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::hash::name_hash;
use crate::ids::AccountId;

/// Digest of a request's client account, method, path, query and body, and of its route's host. Equal
/// requests have equal digests at every daemon, whichever of them the caller sends them to.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct RequestDigest {
    /// Hash of the client account, so that each account's requests can be counted apart.
    pub account: u32,
    /// Hash of the rest.
    pub content: u64,
}

impl RequestDigest {
    /// Computes the digest of a request with its whole body. `host` is that of the route, if it has one: in
    /// the request it may be the daemon's own address.
    #[must_use]
    pub fn open(
        account: &AccountId,
        method: &str,
        host: Option<&str>,
        target: &str,
        body: &[u8],
    ) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method, host.unwrap_or_default(), target] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        let mut content = [0; 8];
        content.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        #[expect(
            clippy::cast_possible_truncation,
            reason = "half of the hash tells the accounts apart"
        )]
        let account = name_hash(account.as_str()) as u32;
        Self {
            account,
            content: u64::from_le_bytes(content),
        }
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}{:016x}", self.account, self.content)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (account, content) = text.split_at_checked(8).unwrap_or((text, ""));
        Ok(Self {
            account: u32::from_str_radix(account, 16)?,
            content: u64::from_str_radix(content, 16)?,
        })
    }
}

impl From<RequestDigest> for String {
    fn from(digest: RequestDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for RequestDigest {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
