//! Row values as base64 text in JSON.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serializer, de};

/// Writes `bytes` as text.
pub(crate) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(bytes))
}

/// Reads bytes from text.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(source: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(source)?;
    STANDARD.decode(text).map_err(de::Error::custom)
}

/// The same for a value that may be absent.
pub(crate) mod optional {
    use base64::Engine as _;

    use super::{Deserialize, Deserializer, STANDARD, Serializer, de};

    /// Writes `bytes` as text or null.
    pub(crate) fn serialize<S: Serializer>(
        bytes: &Option<Vec<u8>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match bytes {
            Some(bytes) => serializer.serialize_some(&STANDARD.encode(bytes)),
            None => serializer.serialize_none(),
        }
    }

    /// Reads bytes from text or null.
    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        source: D,
    ) -> Result<Option<Vec<u8>>, D::Error> {
        Option::<String>::deserialize(source)?
            .map(|text| STANDARD.decode(text).map_err(de::Error::custom))
            .transpose()
    }
}
