//! Errors of parsing quantities and checking their bounds.

use quick_error::quick_error;

quick_error! {
    /// A quantity that does not parse or is out of range; the message names the value and a remedy.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnitError {
        /// The text does not parse as a quantity of this kind.
        Syntax(kind: &'static str, text: String, example: &'static str) {
            display("{kind} '{text}' is not understood; write it like '{example}'")
        }
        /// The rate is below the lowest or above the highest one allowed.
        Rate(text: String) {
            display("rate '{text}' is out of range; use '4 per hour' to '10000000 per second'")
        }
        /// The number lies outside of the inclusive bounds.
        Range(kind: &'static str, text: String, min: u64, max: u64) {
            display("{kind} '{text}' is out of range; use {min} to {max}")
        }
    }
}
