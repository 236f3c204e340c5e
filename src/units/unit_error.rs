//! Why a text is no quantity.

use quick_error::quick_error;

quick_error! {
    /// A quantity that could not be read; names the text and the remedy.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnitError {
        /// The text does not have the form of the quantity.
        Syntax(kind: &'static str, text: String, example: &'static str) {
            display("{kind} '{text}' is not understood; write it like '{example}'")
        }
        /// The rate is too low or too high.
        Rate(text: String) {
            display("rate '{text}' is out of range; use '4 per hour' to '10000000 per second'")
        }
        /// The number lies outside what is allowed.
        Range(kind: &'static str, text: String, least: u64, most: u64) {
            display("{kind} '{text}' is out of range; use {least} to {most}")
        }
    }
}
