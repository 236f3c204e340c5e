//! Validation of names, and the macro that defines identifiers with a name.

use quick_error::quick_error;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

quick_error! {
    /// A text that is not a valid name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NameError {
        /// The text is empty or longer than `MAX_NAME_BYTES`.
        Length(kind: &'static str, text: String) {
            display("{kind} '{text}' has {} bytes; use 1 to {MAX_NAME_BYTES}", text.len())
        }
        /// The text contains a character that names may not have.
        Character(kind: &'static str, text: String, found: char) {
            display("{kind} '{text}' holds '{found}'; use lower-case letters, digits, '-', '_' and '.'")
        }
    }
}

/// Checks that `text` is a valid name; `kind` says in the error what the name is for.
///
/// # Errors
/// Returns `NameError` for a bad length or an invalid character.
pub fn validate_name(kind: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        let shown = text.chars().take(MAX_NAME_BYTES).collect();
        return Err(NameError::Length(kind, shown));
    }
    match text.chars().find(|found| !is_allowed(*found)) {
        Some(found) => Err(NameError::Character(kind, text.to_owned(), found)),
        None => Ok(()),
    }
}

fn is_allowed(found: char) -> bool {
    found.is_ascii_lowercase() || found.is_ascii_digit() || matches!(found, '-' | '_' | '.')
}

/// Defines a newtype over a validated name, with `Display`, `FromStr`, serde and bincode.
#[macro_export]
macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord,
            serde::Serialize, serde::Deserialize, bincode::Encode, bincode::Decode,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Creates a name from a constant in the source; `text` must be valid and is not checked.
            #[must_use]
            pub fn fixed(text: &'static str) -> Self {
                Self(text.into())
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ids::NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::ids::validate_name($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::ids::NameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}
