//! Gates: TCP proxies on the paths between processes, which forward connections or inject faults into them.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, Builder};
use std::time::Duration;

/// Stack of a gate's thread.
const STACK_BYTES: usize = 128 * 1024;
/// Size of the buffer of one forwarding step.
const BUFFER_BYTES: usize = 16 * 1024;
/// Bits that a corrupted byte has flipped.
const CORRUPTION_MASK: u8 = 0x15;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What a path does with connections and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Pass,
    /// Closes open connections, and new ones at once.
    Cut,
    /// Closes new connections at once; open ones stay.
    Refuse,
    /// Accepts connections and discards their bytes.
    Drop,
    /// As `Drop`, and closes the far side of open connections while the near side stays open.
    HalfOpen,
}

/// The faults of a path.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathBehavior {
    pub mode: Mode,
    pub delay_ms: f64,
    /// Maximum rate; unlimited if zero.
    pub bytes_per_s: f64,
    /// Corrupts one byte of each forwarded buffer.
    pub flip_bits: bool,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A directed path between two processes: its behavior, and the connections that were opened along it.
#[derive(Default)]
pub struct NetworkPath {
    behavior: Mutex<PathBehavior>,
    connections: Mutex<Vec<Arc<Connection>>>,
}

/// A connection through a gate.
struct Connection {
    /// To the process that opened the connection.
    near: TcpStream,
    /// To the process that it was opened to; `None` if the path discarded bytes when it was opened.
    far: Option<TcpStream>,
    /// Whether bytes of the stream were discarded. No further bytes are forwarded after that.
    lost_bytes: AtomicBool,
    closed: AtomicBool,
}

impl Connection {
    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = self.near.shutdown(Shutdown::Both); // fails only if it is closed already
        if let Some(far) = &self.far {
            let _ = far.shutdown(Shutdown::Both);
        }
    }
}

impl NetworkPath {
    pub fn behavior(&self) -> PathBehavior {
        *locked(&self.behavior)
    }

    /// Sets the behavior, for open connections too.
    pub fn set(&self, behavior: PathBehavior) {
        let previous = std::mem::replace(&mut *locked(&self.behavior), behavior);
        let mut connections = locked(&self.connections);
        connections.retain(|c| !c.closed.load(Ordering::SeqCst));
        match behavior.mode {
            Mode::Cut => connections.iter().for_each(|c| c.close()),
            Mode::HalfOpen => {
                for connection in connections.iter() {
                    connection.lost_bytes.store(true, Ordering::SeqCst);
                    if let Some(far) = &connection.far {
                        let _ = far.shutdown(Shutdown::Both); // fails only if it is closed already
                    }
                }
            }
            Mode::Pass if previous.mode != Mode::Pass => {
                connections.iter().filter(|c| c.lost_bytes.load(Ordering::SeqCst)).for_each(|c| c.close());
            }
            Mode::Pass | Mode::Refuse | Mode::Drop => {}
        }
    }
}

/// The address that a gate forwards to; `None` while no process listens there.
pub type Target = Arc<Mutex<Option<SocketAddr>>>;

/// Opens a gate and returns its address. Bytes from the process that opens a connection follow `path`, those in the other
/// direction `return_path`. The gate stays for the life of the program; its connections end with those on either side.
pub fn open(target: Target, path: Arc<NetworkPath>, return_path: Arc<NetworkPath>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let accept_all = move || {
        for near in listener.incoming().flatten() {
            let (target, path, return_path) = (target.clone(), path.clone(), return_path.clone());
            // If no thread can be started, the connection closes.
            let _ = spawn(move || serve(near, &target, &path, &return_path));
        }
    };
    spawn(accept_all)?;
    Ok(address)
}

fn spawn(run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    Builder::new().name("gate".to_owned()).stack_size(STACK_BYTES).spawn(run).map(drop)
}

/// Serves one connection until it ends.
fn serve(near: TcpStream, target: &Target, path: &Arc<NetworkPath>, return_path: &Arc<NetworkPath>) {
    let mode = path.behavior().mode;
    if matches!(mode, Mode::Cut | Mode::Refuse) {
        return;
    }
    let discards_bytes = matches!(mode, Mode::Drop | Mode::HalfOpen);
    let far = if discards_bytes {
        None
    } else {
        let Some(address) = *locked(target) else { return };
        let Ok(far) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else { return };
        let _ = far.set_nodelay(true); // a failure only delays bytes
        Some(far)
    };
    let _ = near.set_nodelay(true); // a failure only delays bytes
    let connection = Arc::new(Connection {
        near,
        far,
        lost_bytes: AtomicBool::new(discards_bytes),
        closed: AtomicBool::new(false),
    });
    {
        let mut connections = locked(&path.connections);
        connections.retain(|c| !c.closed.load(Ordering::SeqCst));
        connections.push(connection.clone());
    }
    if connection.far.is_some() {
        let (connection, return_path) = (connection.clone(), return_path.clone());
        // If no thread can be started, nothing is sent back.
        let _ = spawn(move || {
            forward(&connection, connection.far.as_ref(), Some(&connection.near), &return_path);
        });
    }
    forward(&connection, Some(&connection.near), connection.far.as_ref(), path);
}

/// Forwards one direction of a connection until it ends.
fn forward(connection: &Connection, from: Option<&TcpStream>, to: Option<&TcpStream>, path: &NetworkPath) {
    let Some(mut from) = from else { return };
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        let behavior = path.behavior();
        if behavior.delay_ms > 0.0 {
            thread::sleep(Duration::from_secs_f64(behavior.delay_ms / 1000.0));
        }
        if behavior.bytes_per_s > 0.0 {
            thread::sleep(Duration::from_secs_f64(count as f64 / behavior.bytes_per_s));
        }
        // The behavior may have changed during the delay.
        let behavior = path.behavior();
        match behavior.mode {
            Mode::Drop | Mode::HalfOpen => connection.lost_bytes.store(true, Ordering::SeqCst),
            _ if connection.lost_bytes.load(Ordering::SeqCst) => {}
            _ => {
                if behavior.flip_bits {
                    buffer[count / 2] ^= CORRUPTION_MASK;
                }
                let Some(mut to) = to else { continue };
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
        }
    }
    // On a path that discards bytes, the other side is not closed when one side ends.
    let discards = matches!(path.behavior().mode, Mode::Drop | Mode::HalfOpen);
    if !discards || connection.closed.load(Ordering::SeqCst) {
        connection.close();
    }
    connection.lost_bytes.store(true, Ordering::SeqCst);
}
