//! A gate: what one process says to another passes through it, or does not.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, Builder};
use std::time::Duration;

const STACK: usize = 128 * 1024;
/// Bytes that pass in one piece.
const PIECE: usize = 16 * 1024;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Pass,
    Cut,
    Refuse,
    Drop,
    HalfOpen,
}

/// What a path does with what comes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathBehavior {
    pub mode: Mode,
    pub delay_ms: f64,
    /// Bytes a second; no bound where it is zero.
    pub rate: f64,
    pub flip: bool,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A directed path: how it does, and the connections that were opened along it.
#[derive(Default)]
pub struct NetworkPath {
    behavior: Mutex<PathBehavior>,
    conns: Mutex<Vec<Arc<Conn>>>,
}

/// A connection through a gate.
struct Conn {
    near: TcpStream,
    far: Option<TcpStream>,
    /// Bytes of it were swallowed: it can't go on, as no stream has holes.
    holed: AtomicBool,
    over: AtomicBool,
}

impl Conn {
    fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
        let _ = self.near.shutdown(Shutdown::Both); // it may be over already
        if let Some(far) = &self.far {
            let _ = far.shutdown(Shutdown::Both);
        }
    }
}

impl NetworkPath {
    pub fn behavior(&self) -> PathBehavior {
        *locked(&self.behavior)
    }

    /// Sets how it does from now on.
    pub fn set(&self, behavior: PathBehavior) {
        let before = std::mem::replace(&mut *locked(&self.behavior), behavior);
        let mut conns = locked(&self.conns);
        conns.retain(|c| !c.over.load(Ordering::SeqCst));
        match behavior.mode {
            Mode::Cut => conns.iter().for_each(|c| c.end()),
            Mode::HalfOpen => {
                for conn in conns.iter() {
                    conn.holed.store(true, Ordering::SeqCst);
                    if let Some(far) = &conn.far {
                        let _ = far.shutdown(Shutdown::Both); // it may be over already
                    }
                }
            }
            Mode::Pass if before.mode != Mode::Pass => {
                conns.iter().filter(|c| c.holed.load(Ordering::SeqCst)).for_each(|c| c.end());
            }
            Mode::Pass | Mode::Refuse | Mode::Drop => {}
        }
    }
}

/// Where a gate leads: nowhere while nobody listens there.
pub type Target = Arc<Mutex<Option<SocketAddr>>>;

/// Opens a gate; `path` is what goes through it, `back` what comes back on the same connections. It stands for as long as the
/// program runs; connections end with those at their ends.
pub fn open(target: Target, path: Arc<NetworkPath>, back: Arc<NetworkPath>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    let run = move || {
        for near in listener.incoming().flatten() {
            let (target, path, back) = (target.clone(), path.clone(), back.clone());
            // One that can't be served ends here.
            let _ = spawn(move || pass(near, &target, &path, &back));
        }
    };
    spawn(run)?;
    Ok(at)
}

fn spawn(run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    Builder::new().name("gate".to_owned()).stack_size(STACK).spawn(run).map(drop)
}

fn pass(near: TcpStream, target: &Target, path: &Arc<NetworkPath>, back: &Arc<NetworkPath>) {
    let mode = path.behavior().mode;
    if matches!(mode, Mode::Cut | Mode::Refuse) {
        return;
    }
    let holds = matches!(mode, Mode::Drop | Mode::HalfOpen);
    let far = if holds {
        None
    } else {
        let Some(at) = *locked(target) else { return };
        let Ok(far) = TcpStream::connect_timeout(&at, Duration::from_secs(1)) else { return };
        let _ = far.set_nodelay(true); // it only makes bytes later
        Some(far)
    };
    let _ = near.set_nodelay(true); // as above
    let conn = Arc::new(Conn { near, far, holed: AtomicBool::new(holds), over: AtomicBool::new(false) });
    {
        let mut conns = locked(&path.conns);
        conns.retain(|c| !c.over.load(Ordering::SeqCst));
        conns.push(conn.clone());
    }
    if conn.far.is_some() {
        let (conn, back) = (conn.clone(), back.clone());
        let _ = spawn(move || carry(&conn, conn.far.as_ref(), Some(&conn.near), &back)); // or nothing comes back
    }
    carry(&conn, Some(&conn.near), conn.far.as_ref(), path);
}

fn carry(conn: &Conn, from: Option<&TcpStream>, to: Option<&TcpStream>, path: &NetworkPath) {
    let Some(mut from) = from else { return };
    let mut piece = [0; PIECE];
    loop {
        let count = match from.read(&mut piece) {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        let behavior = path.behavior();
        if behavior.delay_ms > 0.0 {
            thread::sleep(Duration::from_secs_f64(behavior.delay_ms / 1000.0));
        }
        if behavior.rate > 0.0 {
            thread::sleep(Duration::from_secs_f64(count as f64 / behavior.rate));
        }
        // It may have changed meanwhile.
        let behavior = path.behavior();
        match behavior.mode {
            Mode::Drop | Mode::HalfOpen => conn.holed.store(true, Ordering::SeqCst),
            _ if conn.holed.load(Ordering::SeqCst) => {}
            _ => {
                if behavior.flip {
                    piece[count / 2] ^= 0x15;
                }
                let Some(mut to) = to else { continue };
                if to.write_all(&piece[..count]).is_err() {
                    break;
                }
            }
        }
    }
    // What is swallowed tells nobody of its end; a half-open connection is just that.
    let silent = matches!(path.behavior().mode, Mode::Drop | Mode::HalfOpen);
    if !silent || conn.over.load(Ordering::SeqCst) {
        conn.end();
    }
    conn.holed.store(true, Ordering::SeqCst);
}
