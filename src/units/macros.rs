//! Macros that define bounded counts and implement serde through text forms.

/// Implements serde for a type through its `Display` and `FromStr` implementations.
#[macro_export]
macro_rules! text_serde {
    ($name:ident) => {
        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
                let text = <String as serde::Deserialize>::deserialize(source)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

/// Defines a newtype over `u32` with inclusive bounds, serialized as a plain number.
#[macro_export]
macro_rules! counted_unit {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $min:literal, $max:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord,
            serde::Serialize, serde::Deserialize, bincode::Encode, bincode::Decode,
        )]
        #[serde(try_from = "u32", into = "u32")]
        pub struct $name(u32);

        impl $name {
            /// Checks `count` against the bounds of the type.
            ///
            /// # Errors
            /// Returns `UnitError::Range` when `count` is out of bounds.
            pub fn new(count: u32) -> Result<Self, $crate::units::UnitError> {
                if (u64::from(count)) < $min || u64::from(count) > $max {
                    return Err($crate::units::UnitError::Range($kind, count.to_string(), $min, $max));
                }
                Ok(Self(count))
            }

            /// Creates a value from a constant in the source; the bounds are not checked.
            #[must_use]
            pub const fn fixed(count: u32) -> Self {
                Self(count)
            }

            /// Returns the value as a number.
            #[must_use]
            pub const fn get(self) -> u32 {
                self.0
            }
        }

        impl TryFrom<u32> for $name {
            type Error = $crate::units::UnitError;

            fn try_from(count: u32) -> Result<Self, Self::Error> {
                Self::new(count)
            }
        }

        impl From<$name> for u32 {
            fn from(count: $name) -> Self {
                count.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::units::UnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let count = text
                    .parse()
                    .map_err(|_| $crate::units::UnitError::Syntax($kind, text.to_owned(), "3"))?;
                Self::new(count)
            }
        }
    };
}
