//! Standard error, written by one thread: whoever logs neither waits for its reader nor fails with it.
//!
//! Lines go through a bounded queue. While nobody reads them the queue fills and further lines are dropped and counted; a write
//! that fails (its reader has gone, its disk is full) loses that text alone.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};
use tracing_subscriber::fmt::MakeWriter;

use crate::messages::{STACK, spawn};

/// Texts that may wait to be written.
const WAITING: usize = 128;
/// Longest text that is kept, so that what waits is bounded in bytes as well.
const LONGEST: usize = 32 * 1024;
/// At the end what waits gets so long to be written.
const LAST_WORDS: Duration = Duration::from_millis(200);

static QUEUE: OnceLock<Sender<Queued>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

enum Queued {
    Text(Vec<u8>),
    /// Answered once all before it is written.
    Flush(Sender<()>),
}

/// Starts the thread that writes. Where none is to be had, whoever logs writes.
pub fn start() {
    let (to, texts) = bounded(WAITING);
    if spawn("log", STACK, move || write_all(&texts)).is_ok() {
        let _ = QUEUE.set(to); // the first thread serves
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
    keep(text.as_bytes());
}

fn keep(text: &[u8]) {
    let text = &text[..text.len().min(LONGEST)];
    match QUEUE.get() {
        None => write(text),
        Some(queue) => {
            if queue.try_send(Queued::Text(text.to_vec())).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Texts that were dropped so far, as nobody read.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits a little for what was logged to be written, at the end of the program.
pub fn flush() {
    let (done, written) = bounded(1);
    if let Some(queue) = QUEUE.get()
        && queue.send_timeout(Queued::Flush(done), LAST_WORDS).is_ok()
    {
        let _ = written.recv_timeout(LAST_WORDS); // or nobody reads
    }
}

/// What log lines are written to.
#[derive(Clone, Copy, Default)]
pub struct Lines;

impl Write for Lines {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        keep(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        *self
    }
}
