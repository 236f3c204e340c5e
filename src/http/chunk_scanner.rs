//! Finds the end of a request's body in chunks.

/// Follows the framing of chunks, in bytes that arrive in parts. What is malformed is left to the decoder,
/// which ends the connection.
#[derive(Debug, Default)]
pub(crate) struct ChunkScanner {
    state: ChunkState,
    /// Size of the chunk, or what is left of it.
    size: u64,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    #[default]
    Size,
    /// After the size, up to the end of its line.
    Extension,
    Data,
    /// The end of the line after the data.
    DataEnd,
    /// At the start of a line after the last chunk.
    LastLine,
    /// In a line of the trailers.
    Trailer,
    /// At the line feed of the last line.
    LastEnd,
    Ended,
    Malformed,
}

impl ChunkScanner {
    /// Whether the body has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.state == ChunkState::Ended
    }

    /// Takes bytes up to the end of the body, or until `most` chunks have begun. Returns the number of
    /// bytes taken and of chunks that began.
    pub(crate) fn advance(&mut self, bytes: &[u8], most: usize) -> (usize, usize) {
        let mut taken = 0;
        let mut chunks = 0;
        while taken < bytes.len() && chunks < most && !self.has_ended() {
            match self.state {
                ChunkState::Malformed => taken = bytes.len(),
                ChunkState::Data => taken += self.skip_data(bytes.len() - taken),
                _ => {
                    self.state = self.next_state(bytes[taken]);
                    taken += 1;
                    chunks += usize::from(self.state == ChunkState::Data);
                }
            }
        }
        (taken, chunks)
    }

    fn skip_data(&mut self, available: usize) -> usize {
        let length = usize::try_from(self.size).map_or(available, |size| size.min(available));
        self.size -= length as u64;
        if self.size == 0 {
            self.state = ChunkState::DataEnd;
        }
        length
    }

    fn next_state(&mut self, byte: u8) -> ChunkState {
        match (self.state, byte) {
            (ChunkState::Size, b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F') => self.add_digit(byte),
            (ChunkState::Size, b';' | b' ' | b'\t' | b'\r') => ChunkState::Extension,
            (ChunkState::Extension, b'\n') if self.size == 0 => ChunkState::LastLine,
            (ChunkState::Extension, b'\n') => ChunkState::Data,
            (ChunkState::Extension, _) => ChunkState::Extension,
            (ChunkState::DataEnd, b'\r') => ChunkState::DataEnd,
            (ChunkState::DataEnd, b'\n') => ChunkState::Size,
            (ChunkState::LastLine, b'\r') => ChunkState::LastEnd,
            (ChunkState::Trailer, b'\n') => ChunkState::LastLine,
            (ChunkState::LastLine | ChunkState::Trailer, _) => ChunkState::Trailer,
            (ChunkState::LastEnd, b'\n') => ChunkState::Ended,
            _ => ChunkState::Malformed,
        }
    }

    fn add_digit(&mut self, byte: u8) -> ChunkState {
        let digit = char::from(byte).to_digit(16).map_or(0, u64::from);
        match self.size.checked_mul(16) {
            Some(size) => {
                self.size = size + digit;
                ChunkState::Size
            }
            None => ChunkState::Malformed,
        }
    }
}
