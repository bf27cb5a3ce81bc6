//! The listener for clients, whose port may still be held by the previous process.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use signal_hook::iterator::Signals;

use crate::signals::is_stop;

/// How long a port that is in use is waited for. The previous process may hold it for a while after the
/// platform has started the next one. This is well within the 30 s after which a mixer has to be ready.
const PORT_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The outcome of [`listen`].
pub struct BoundListener {
    pub listener: TcpListener,
    /// The signals that arrived while the port was waited for, in their order.
    pub missed_signals: Vec<i32>,
}

/// Listens at an address, once its port is free.
///
/// # Errors
/// If the port can't be used, or the process is asked to end while it waits for it.
pub fn listen(address: SocketAddr, signals: &mut Signals) -> Result<BoundListener> {
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
                return Ok(BoundListener { listener, missed_signals });
            }
        }
    }
}

/// The address of a listener, whose port the system may have chosen.
///
/// # Errors
/// If the operating system can't report it.
pub fn local_addr(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().context("the listener's address")
}
