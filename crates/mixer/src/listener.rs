//! The listener of clients: its port may still be held by the process before.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use signal_hook::iterator::Signals;

use crate::signals::is_end;

/// The process before may hold the port for a while after the platform has begun the next one: it is waited for, well within the
/// 30 s in which a mixer has to be ready, and looked at so often.
const HELD: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(20);

/// Listens there, once the port is free, and says which signals came meanwhile.
///
/// # Errors
/// If the port can't be had, or if it is asked to end before.
pub fn listen(at: SocketAddr, signals: &mut Signals) -> Result<(TcpListener, Vec<i32>)> {
    let since = Instant::now();
    let mut missed = Vec::new();
    loop {
        match TcpListener::bind(at) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && since.elapsed() < HELD => {
                missed.extend(signals.pending());
                ensure!(
                    !missed.iter().any(|signal| is_end(*signal)),
                    "asked to end while listen={at} was held by another"
                );
                std::thread::sleep(LOOK);
            }
            bound => {
                let listener = bound.with_context(|| format!("listen={at}"))?;
                return Ok((listener, missed));
            }
        }
    }
}

/// The address that a listener has got, where its port was left open.
///
/// # Errors
/// If the system does not tell.
pub fn local(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().context("the listener's address")
}
