//! The thread that handles signals: to print the counters, to reload the configuration, to end.

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

/// For how long an unreadable configuration is read again, as it may still be being written. This is well
/// within the 4 s after which a new one has to take effect.
const RELOAD_TIMEOUT: Duration = Duration::from_millis(1500);
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Functions that read the files of a running mixer again.
#[derive(Clone, Copy)]
pub struct Reloaders {
    /// Reads the platform's configuration, for a mixer that was started with the given one.
    pub config: fn(&StartupConfig) -> Result<ConfigChange>,
    /// Reads the operator's own file.
    pub settings: fn() -> Result<Settings>,
}

/// Registers handlers for the signals that a mixer handles.
///
/// # Errors
/// If the system refuses a handler.
pub fn register_handlers() -> Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP]).context("signals")
}

/// Whether a signal asks the process to end.
pub fn is_stop(signal: i32) -> bool {
    matches!(signal, SIGTERM | SIGINT)
}

/// Handles signals, one after the other.
pub struct SignalThread {
    signals: Signals,
    /// Signals that have arrived and are not handled yet.
    waiting: VecDeque<i32>,
    startup: StartupConfig,
    reloaders: Reloaders,
    messages: MessageSender,
}

impl SignalThread {
    /// `missed_signals`: signals that were received before and are not handled yet, in their order.
    pub fn new(
        signals: Signals,
        missed_signals: Vec<i32>,
        startup: StartupConfig,
        reloaders: Reloaders,
        messages: MessageSender,
    ) -> Self {
        Self { signals, waiting: missed_signals.into(), startup, reloaders, messages }
    }

    /// Runs for as long as the process does.
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

    /// Reads both files again. The operator's file is reported at once, the configuration by the input.
    fn reload(&mut self) -> Input {
        let settings = (self.reloaders.settings)().map(Box::new);
        let message = Message::SettingsReloaded(settings.map_err(|error| format!("{error:#}")));
        let _ = self.messages.sender.send(message); // fails once the service has ended
        let since = Instant::now();
        loop {
            match (self.reloaders.config)(&self.startup) {
                Err(error)
                    if is_unreadable(&error)
                        && since.elapsed() < RELOAD_TIMEOUT
                        && !self.has_stop_waiting() =>
                {
                    std::thread::sleep(RELOAD_RETRY_INTERVAL);
                }
                read => return Input::ConfigReloaded(read.map_err(|error| format!("{error:#}"))),
            }
        }
    }

    /// Whether a signal to end the process waits to be handled.
    fn has_stop_waiting(&mut self) -> bool {
        self.waiting.extend(self.signals.pending());
        self.waiting.iter().any(|signal| is_stop(*signal))
    }
}

/// Whether a file could not be read or is not JSON. An error in a complete file is reported at once.
fn is_unreadable(error: &Error) -> bool {
    error.chain().any(|cause| cause.is::<io::Error>() || cause.is::<serde_json::Error>())
}
