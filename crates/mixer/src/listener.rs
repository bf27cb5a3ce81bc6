//! The listener for clients, whose port may still be held by the previous process.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use signal_hook::iterator::Signals;

use crate::signals::is_stop;

/// The previous process may hold the port for a while after the platform has started the next one. It is
/// waited for well within the 30 s after which a mixer has to be ready.
const PORT_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Listens at an address once its port is free. Returns the listener, and the signals that arrived meanwhile.
///
/// # Errors
/// If the port can't be had, or the process is asked to end before.
pub fn listen(address: SocketAddr, signals: &mut Signals) -> Result<(TcpListener, Vec<i32>)> {
    let since = Instant::now();
    let mut missed_signals = Vec::new();
    loop {
        match TcpListener::bind(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && since.elapsed() < PORT_TIMEOUT => {
                missed_signals.extend(signals.pending());
                ensure!(
                    !missed_signals.iter().any(|signal| is_stop(*signal)),
                    "asked to end while listen={address} was held by another"
                );
                std::thread::sleep(RETRY_INTERVAL);
            }
            bound => {
                let listener = bound.with_context(|| format!("listen={address}"))?;
                return Ok((listener, missed_signals));
            }
        }
    }
}

/// The address of a listener, whose port the system may have chosen.
///
/// # Errors
/// If the system does not tell.
pub fn local_addr(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().context("the listener's address")
}
