//! Console of a running mixer: a Unix socket, named in the operator's settings file, that answers requests about its state.
//!
//! A request is one line of at most [`MAX_REQUEST_BYTES`]. The response starts with a line `ok` or `refused`; its text
//! extends to the end of the connection. A thread of its own serves one request at a time, with a limit of [`TIMEOUT`] for
//! reading and for writing: a slow client delays other clients of the console, but never a scan.
//!
//! Only its owner may use the socket (mode 0600). The socket file of a dead process is replaced, one in use is not.

use std::io::{self, Error, ErrorKind, Read, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::Builder;
use std::time::{Duration, Instant};
use std::{fs, thread};

use tracing::debug;

/// Maximum length of a request in bytes, including the newline.
pub const MAX_REQUEST_BYTES: usize = 256;
/// Maximum length in bytes of a response that [`query`] accepts.
pub const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Timeout for reading a request and for writing a response.
pub const TIMEOUT: Duration = Duration::from_secs(5);
/// Stack size of the console thread.
const STACK_BYTES: usize = 128 * 1024;
/// Delay after a failed accept, which usually means that no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Response to a request: its text, or the reason for refusing it.
pub type Reply = Result<String, String>;

/// A listening console; dropping it closes and removes the socket.
pub struct Console {
    path: PathBuf,
    stopped: Arc<AtomicBool>,
}

impl Console {
    /// Serves requests at `path` until the console is dropped.
    ///
    /// # Errors
    /// If the socket cannot be created: another process answers there, the file is not a socket, or the directory is not
    /// writable.
    pub fn open(path: &Path, answer: impl FnMut(&str) -> Reply + Send + 'static) -> io::Result<Self> {
        let listener = bind(path)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let thread_stopped = stopped.clone();
        let run = move || serve(&listener, &thread_stopped, answer);
        Builder::new().name("console".to_owned()).stack_size(STACK_BYTES).spawn(run)?;
        Ok(Self { path: path.to_owned(), stopped })
    }
}

impl Drop for Console {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        // Unblocks the thread, which then ends. It is not joined, as it may be waiting for a response from the very thread
        // that drops the console.
        let _ = UnixStream::connect(&self.path); // fails if the socket file is gone
        let _ = fs::remove_file(&self.path); // fails if it was removed already
    }
}

fn bind(path: &Path) -> io::Result<UnixListener> {
    let listener = match UnixListener::bind(path) {
        Err(error) if error.kind() == ErrorKind::AddrInUse => {
            // A file that is not a socket refuses connections as well, but must not be removed.
            if !fs::symlink_metadata(path)?.file_type().is_socket() {
                return Err(Error::new(ErrorKind::AlreadyExists, "the file is not a socket"));
            }
            match UnixStream::connect(path) {
                Ok(_) => return Err(Error::new(ErrorKind::AddrInUse, "another process answers there")),
                // No process listens: the socket file is stale.
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => fs::remove_file(path)?,
                Err(error) => return Err(error),
            }
            UnixListener::bind(path)?
        }
        bound => bound?,
    };
    fs::set_permissions(path, fs::Permissions::from_mode(0o600))?;
    Ok(listener)
}

fn serve(listener: &UnixListener, stopped: &AtomicBool, mut answer: impl FnMut(&str) -> Reply) {
    for stream in listener.incoming() {
        if stopped.load(Ordering::Acquire) {
            return;
        }
        match stream {
            Ok(stream) => {
                if let Err(error) = serve_request(&stream, &mut answer) {
                    debug!("console request failed: {error}");
                }
            }
            Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
        }
    }
}

fn serve_request(mut stream: &UnixStream, answer: &mut impl FnMut(&str) -> Reply) -> io::Result<()> {
    stream.set_write_timeout(Some(TIMEOUT))?;
    let mut request = Vec::new();
    let mut chunk = [0; MAX_REQUEST_BYTES];
    let started = Instant::now();
    while !request.contains(&b'\n') {
        // The timeout applies to the whole request, however many reads it takes.
        let remaining = TIMEOUT.saturating_sub(started.elapsed()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(remaining))?;
        let count = stream.read(&mut chunk)?;
        if count == 0 || request.len() + count > MAX_REQUEST_BYTES || started.elapsed() >= TIMEOUT {
            let message = "the request is not a line, is too long or took too long";
            return Err(Error::new(ErrorKind::InvalidData, message));
        }
        request.extend_from_slice(&chunk[..count]);
    }
    let reply = match std::str::from_utf8(&request) {
        Ok(text) => answer(text.lines().next().unwrap_or_default().trim()),
        Err(_) => Err("the request is not UTF-8".to_owned()),
    };
    let (status, text) = match reply {
        Ok(text) => ("ok", text),
        Err(reason) => ("refused", reason),
    };
    stream.write_all(format!("{status}\n{text}").as_bytes())
}

/// Sends a request to the console at `path` and returns the response.
///
/// # Errors
/// If the console cannot be reached, does not respond in time, or the response is malformed or longer than
/// [`MAX_RESPONSE_BYTES`].
pub fn query(path: &Path, request: &str) -> io::Result<Reply> {
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.write_all(format!("{request}\n").as_bytes())?;
    let mut response = String::new();
    (&stream).take(MAX_RESPONSE_BYTES as u64 + 1).read_to_string(&mut response)?;
    if response.len() > MAX_RESPONSE_BYTES {
        let message = format!("the answer is longer than {MAX_RESPONSE_BYTES} bytes");
        return Err(Error::new(ErrorKind::InvalidData, message));
    }
    match response.split_once('\n') {
        Some(("ok", text)) => Ok(Ok(text.to_owned())),
        Some(("refused", reason)) => Ok(Err(reason.to_owned())),
        _ => Err(Error::new(ErrorKind::InvalidData, "no answer")),
    }
}
