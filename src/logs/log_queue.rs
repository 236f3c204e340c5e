//! Lines on their way to the standard output.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Lines that wait while nobody reads the output: some hundred kilobytes, a second or two of
/// decisions under the heaviest load.
const MOST_WAITING: usize = 2_048;

/// Lines dropped because the queue was full, since the process began.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that wait to be written.
static WAITING: AtomicU64 = AtomicU64::new(0);

/// How long a process that ends waits for its last lines to be written.
const LAST_WAIT: Duration = Duration::from_millis(300);

/// Waits until the lines so far are written, for a short while at most; for the end of a process.
pub fn flush() {
    let step = Duration::from_millis(5);
    let mut waited = Duration::ZERO;
    while WAITING.load(Ordering::Relaxed) > 0 && waited < LAST_WAIT {
        std::thread::sleep(step);
        waited += step;
    }
}

/// Lines dropped since the process began.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// A writer that hands each line to a thread of its own and drops it when that one is behind.
#[derive(Debug)]
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    /// The line under way; it comes in pieces.
    line: Vec<u8>,
}

impl LogQueue {
    /// Starts the thread that writes to the standard output.
    #[must_use]
    pub fn spawn() -> Self {
        let (lines, waiting) = sync_channel(MOST_WAITING);
        // Without the thread every line is dropped and counted; the daemon serves all the same.
        let _ = std::thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_all(&waiting));
        Self {
            lines,
            line: Vec::new(),
        }
    }
}

impl Write for LogQueue {
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(piece);
        if !piece.ends_with(b"\n") {
            return Ok(piece.len());
        }
        WAITING.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(std::mem::take(&mut self.line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                WAITING.fetch_sub(1, Ordering::Relaxed);
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(piece.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what waits, and after a gap how much is missing.
fn write_all(waiting: &Receiver<Vec<u8>>) {
    let mut told = 0;
    while let Ok(line) = waiting.recv() {
        let mut output = io::stdout().lock();
        let dropped = dropped_lines();
        if dropped > told {
            let missing = dropped - told;
            told = dropped;
            // A closed output has no other place to complain.
            let _ = writeln!(
                output,
                "{missing} log lines dropped here: the output was not read in time"
            );
        }
        let _ = output.write_all(&line);
        let _ = output.flush();
        WAITING.fetch_sub(1, Ordering::Relaxed);
    }
}
