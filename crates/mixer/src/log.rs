//! Log output to standard error, written by one thread: code that logs neither waits for a reader nor fails
//! with it.
//!
//! Texts go through a bounded queue. While nobody reads them the queue fills, and further texts are dropped
//! and counted. A write that fails (the reader is gone, the disk is full) loses that text alone.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};
use tracing_subscriber::fmt::MakeWriter;

use crate::messages::{STACK_BYTES, spawn};

/// Texts that may wait to be written.
const MAX_QUEUED_TEXTS: usize = 128;
/// Longer texts are cut off, so that the queue is bounded in bytes as well.
const MAX_TEXT_BYTES: usize = 32 * 1024;
/// At the end of the process, queued texts have this long to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static QUEUE: OnceLock<Sender<Queued>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

enum Queued {
    Text(Vec<u8>),
    /// Answered once everything before it is written.
    Flush(Sender<()>),
}

/// Starts the thread that writes. If it can't be started, the logging threads write themselves.
pub fn start() {
    let (sender, texts) = bounded(MAX_QUEUED_TEXTS);
    if spawn("log", STACK_BYTES, move || write_all(&texts)).is_ok() {
        let _ = QUEUE.set(sender); // fails if a thread was started before, which then writes
    }
}

fn write_all(texts: &Receiver<Queued>) {
    for queued in texts {
        match queued {
            Queued::Text(text) => write(&text),
            Queued::Flush(done) => drop(done.send(())),
        }
    }
}

fn write(text: &[u8]) {
    let _ = io::stderr().write_all(text); // a log that can't be written is no reason to stop
}

/// Writes a text to standard error without waiting for it.
pub fn print(text: &str) {
    enqueue(text.as_bytes());
}

fn enqueue(text: &[u8]) {
    let text = &text[..text.len().min(MAX_TEXT_BYTES)];
    match QUEUE.get() {
        None => write(text),
        Some(queue) => {
            if queue.try_send(Queued::Text(text.to_vec())).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// The number of texts dropped because nobody read the log.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits a little for queued texts to be written, at the end of the process.
pub fn flush() {
    let (done, written) = bounded(1);
    if let Some(queue) = QUEUE.get()
        && queue.send_timeout(Queued::Flush(done), FLUSH_TIMEOUT).is_ok()
    {
        let _ = written.recv_timeout(FLUSH_TIMEOUT); // fails if nobody reads the log
    }
}

/// Writes log lines to the queue.
#[derive(Clone, Copy, Default)]
pub struct LogWriter;

impl Write for LogWriter {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        enqueue(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        *self
    }
}
