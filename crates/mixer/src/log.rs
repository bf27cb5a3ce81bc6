//! Log output to standard error. One thread does all writing, so that code that logs does not block while
//! nobody reads standard error, and does not fail if it can't be written to.
//!
//! Texts go to that thread through a bounded queue. When it is full, further texts are dropped and counted. A
//! write that fails (the reader is gone, the disk is full) loses only its own text.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};
use tracing_subscriber::fmt::MakeWriter;

use crate::messages::{STACK_BYTES, spawn};

/// Maximum number of texts that wait to be written.
const MAX_QUEUED_TEXTS: usize = 128;
/// Longer texts are cut off, so that the queue is bounded in bytes as well.
const MAX_TEXT_BYTES: usize = 32 * 1024;
/// At the end of the process, this is the time limit for queueing the flush, and again for the queued texts to
/// be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The queue to the writing thread; unset if there is no such thread.
static QUEUE: OnceLock<Sender<LogCommand>> = OnceLock::new();
/// Number of texts that did not fit into the queue.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// What the writing thread has to do.
enum LogCommand {
    Write(Vec<u8>),
    /// Send a message, once everything before this command is written.
    Flush(Sender<()>),
}

/// Starts the thread that writes. If it can't be started, each thread writes what it logs itself.
pub fn start() {
    let (sender, commands) = bounded(MAX_QUEUED_TEXTS);
    if spawn("log", STACK_BYTES, move || run_commands(&commands)).is_ok() {
        let _ = QUEUE.set(sender); // fails if a thread was started before, which then writes
    }
}

fn run_commands(commands: &Receiver<LogCommand>) {
    for command in commands {
        match command {
            LogCommand::Write(text) => write(&text),
            LogCommand::Flush(done) => drop(done.send(())),
        }
    }
}

fn write(text: &[u8]) {
    let _ = io::stderr().write_all(text); // the mixer also runs without a log
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
            if queue.try_send(LogCommand::Write(text.to_vec())).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// The number of texts that were dropped because the queue was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits until the queued texts are written, for a limited time. To be called at the end of the process.
pub fn flush() {
    let (done, written) = bounded(1);
    if let Some(queue) = QUEUE.get()
        && queue.send_timeout(LogCommand::Flush(done), FLUSH_TIMEOUT).is_ok()
    {
        let _ = written.recv_timeout(FLUSH_TIMEOUT); // fails if nobody reads the log
    }
}

/// The writer for the log lines of `tracing`, which puts them into the queue.
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
