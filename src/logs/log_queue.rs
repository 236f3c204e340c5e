//! A bounded queue of log lines and the thread that writes them to the standard output.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Capacity of the queue in lines: a few hundred kilobytes, or the lines of one to two seconds under
/// the heaviest load.
const QUEUE_CAPACITY: usize = 2_048;

/// Lines dropped since the process started, because the queue was full or had no reader.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines queued and not yet written.
static QUEUED: AtomicU64 = AtomicU64::new(0);

/// Maximum time that [`flush`] waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits until the queued lines are written, for at most 300 ms. To be called before the process exits.
pub fn flush() {
    let step = Duration::from_millis(5);
    let mut waited = Duration::ZERO;
    while QUEUED.load(Ordering::Relaxed) > 0 && waited < FLUSH_TIMEOUT {
        std::thread::sleep(step);
        waited += step;
    }
}

/// Number of lines dropped since the process started.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// A writer that queues each line for a writer thread, and drops the line if the queue is full.
#[derive(Debug)]
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    /// The incomplete line; a line arrives in several writes.
    line: Vec<u8>,
}

impl LogQueue {
    /// Starts the thread that writes to the standard output.
    #[must_use]
    pub fn spawn() -> Self {
        let (lines, waiting) = sync_channel(QUEUE_CAPACITY);
        // If the thread cannot be started, every line is dropped and counted, and the daemon still serves.
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
        QUEUED.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(std::mem::take(&mut self.line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                QUEUED.fetch_sub(1, Ordering::Relaxed);
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(piece.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the queued lines, and in place of dropped lines a line with their number.
fn write_all(waiting: &Receiver<Vec<u8>>) {
    let mut reported = 0;
    while let Ok(line) = waiting.recv() {
        let mut output = io::stdout().lock();
        let dropped = dropped_lines();
        if dropped > reported {
            let missing = dropped - reported;
            reported = dropped;
            // If the output is closed, there is nowhere else to report the error.
            let _ = writeln!(
                output,
                "{missing} log lines dropped here: the output was not read in time"
            );
        }
        let _ = output.write_all(&line);
        let _ = output.flush();
        QUEUED.fetch_sub(1, Ordering::Relaxed);
    }
}
