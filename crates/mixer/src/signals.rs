//! The thread that hears the signals a mixer goes by: reports, new configurations, the end.

use std::collections::VecDeque;
use std::io;
use std::time::{Duration, Instant};

use anyhow::{Context, Error, Result};
use pewterwharf_settings::Settings;
use pewterwharf_terms::{ConfigChange, StartupConfig};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

use crate::inputs::Input;
use crate::messages::{Message, MessageSender};

/// A configuration that can't be read as it stands may still be written: it is read again for so long, well within the 4 s in which
/// a new one has to count.
const BEING_WRITTEN: Duration = Duration::from_millis(1500);
/// How often.
const AGAIN: Duration = Duration::from_millis(50);

/// Reads files anew, for a mixer that runs.
#[derive(Clone, Copy)]
pub struct Reloaders {
    /// The platform's, of a mixer that was started on this one.
    pub config: fn(&StartupConfig) -> Result<ConfigChange>,
    /// The operator's own.
    pub settings: fn() -> Result<Settings>,
}

/// Catches the signals that a mixer goes by.
///
/// # Errors
/// If the system refuses a handler.
pub fn register_handlers() -> Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP]).context("signals")
}

/// Whether a signal asks for the end.
pub fn is_end(signal: i32) -> bool {
    matches!(signal, SIGTERM | SIGINT)
}

/// Hears signals, one after the other.
pub struct Hearing {
    signals: Signals,
    /// Those that have come and were not heard yet.
    waiting: VecDeque<i32>,
    start: StartupConfig,
    again: Reloaders,
    messages: MessageSender,
}

impl Hearing {
    /// `missed`: those that came before, in their order.
    pub fn new(
        signals: Signals,
        missed: Vec<i32>,
        start: StartupConfig,
        again: Reloaders,
        messages: MessageSender,
    ) -> Self {
        Self { signals, waiting: missed.into(), start, again, messages }
    }

    /// Runs for as long as the program does.
    pub fn run(mut self) {
        loop {
            while self.waiting.is_empty() {
                self.waiting.extend(self.signals.wait());
            }
            let Some(signal) = self.waiting.pop_front() else { continue };
            let input = match signal {
                SIGUSR1 => Input::PrintCounters,
                SIGHUP => self.reload(),
                _ => Input::Stop,
            };
            if !self.messages.send(input) {
                return;
            }
        }
    }

    /// Reads both files anew.
    fn reload(&mut self) -> Input {
        let settings = (self.again.settings)().map(Box::new);
        let settings = Message::Settings(settings.map_err(|error| format!("{error:#}")));
        let _ = self.messages.to.send(settings); // or the program has ended
        let since = Instant::now();
        loop {
            match (self.again.config)(&self.start) {
                Err(error)
                    if is_unreadable(&error) && since.elapsed() < BEING_WRITTEN && !self.is_to_end() =>
                {
                    std::thread::sleep(AGAIN);
                }
                read => return Input::ConfigReloaded(read.map_err(|error| format!("{error:#}"))),
            }
        }
    }

    /// Whether it was asked to end meanwhile.
    fn is_to_end(&mut self) -> bool {
        self.waiting.extend(self.signals.pending());
        self.waiting.iter().any(|signal| is_end(*signal))
    }
}

/// Whether a file could not be read, or not as what it is: one that is whole and wrong is told at once.
fn is_unreadable(error: &Error) -> bool {
    error.chain().any(|cause| cause.is::<io::Error>() || cause.is::<serde_json::Error>())
}
