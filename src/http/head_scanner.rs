//! Finds the end of a request's head.

use memchr::memchr;

/// Looks for the empty line that ends a head, in bytes that arrive in parts.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
    /// Whether a line with text has ended. Empty lines before the request line are no end.
    has_text: bool,
    /// Whether the present line has text.
    is_text: bool,
}

impl HeadScanner {
    /// Takes the next bytes. Returns the number of bytes up to the end of the head; none if it does not
    /// end in `bytes`.
    pub(crate) fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut start = 0;
        while let Some(length) = memchr(b'\n', &bytes[start..]) {
            let is_text = self.is_text || has_text(&bytes[start..start + length]);
            start += length + 1;
            self.is_text = false;
            match is_text {
                true => self.has_text = true,
                false if self.has_text => return Some(start),
                false => {}
            }
        }
        self.is_text |= has_text(&bytes[start..]);
        None
    }
}

fn has_text(line: &[u8]) -> bool {
    line.iter().any(|byte| *byte != b'\r')
}
