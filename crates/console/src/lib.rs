//! Questions to a running mixer, over a Unix socket that the operator's file names.
//!
//! One line is asked, of [`LONGEST`] bytes at most; the answer begins with a line `ok` or `refused`, and its text goes on to
//! the end of the connection. One question is answered at a time, by a thread of its own, and none takes longer than
//! [`PATIENCE`] each way: whoever asks slowly holds up others who ask, and never a scan.
//!
//! The socket is its owner's alone (mode 0600). One that a dead process left behind is replaced, one at which somebody
//! answers is not.

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

/// Longest question, in bytes, its end included.
pub const LONGEST: usize = 256;
/// Longest answer that [`ask`] takes, in bytes.
pub const LONGEST_ANSWER: usize = 1 << 20;
/// A question, and an answer, take no longer.
pub const PATIENCE: Duration = Duration::from_secs(5);
/// Stack of the thread.
const STACK: usize = 128 * 1024;

/// What is said to a question: the answer, or why there is none.
pub type Said = Result<String, String>;

/// A socket that is listened at, for as long as this is held.
pub struct Console {
    path: PathBuf,
    ends: Arc<AtomicBool>,
}

impl Console {
    /// Answers at `path` until it is dropped.
    ///
    /// # Errors
    /// If the socket can't be had: somebody answers there, it is no socket, or its directory can't be written.
    pub fn open(path: &Path, answer: impl FnMut(&str) -> Said + Send + 'static) -> io::Result<Self> {
        let listener = bind(path)?;
        let ends = Arc::new(AtomicBool::new(false));
        let told = ends.clone();
        let run = move || serve(&listener, &told, answer);
        Builder::new().name("console".to_owned()).stack_size(STACK).spawn(run)?;
        Ok(Self { path: path.to_owned(), ends })
    }
}

impl Drop for Console {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Release);
        // Wakes the thread, which then sees that it has to end. It is not waited for: it may be in the midst of a question
        // to the very thread that drops this.
        let _ = UnixStream::connect(&self.path); // or it is gone
        let _ = fs::remove_file(&self.path); // or somebody has
    }
}

fn bind(path: &Path) -> io::Result<UnixListener> {
    let listener = match UnixListener::bind(path) {
        Err(error) if error.kind() == ErrorKind::AddrInUse => {
            // At a file that is no socket nobody answers either, and it is not ours to remove.
            if !fs::symlink_metadata(path)?.file_type().is_socket() {
                return Err(Error::new(ErrorKind::AlreadyExists, "a file is there that is no socket"));
            }
            match UnixStream::connect(path) {
                Ok(_) => return Err(Error::new(ErrorKind::AddrInUse, "somebody answers there")),
                // Nobody listens: it was left behind.
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

fn serve(listener: &UnixListener, ends: &AtomicBool, mut answer: impl FnMut(&str) -> Said) {
    for stream in listener.incoming() {
        if ends.load(Ordering::Acquire) {
            return;
        }
        match stream {
            Ok(stream) => {
                if let Err(error) = one(&stream, &mut answer) {
                    debug!("a question at the console: {error}");
                }
            }
            Err(_) => thread::sleep(Duration::from_millis(50)), // no descriptor may be left; another comes free
        }
    }
}

fn one(mut stream: &UnixStream, answer: &mut impl FnMut(&str) -> Said) -> io::Result<()> {
    stream.set_write_timeout(Some(PATIENCE))?;
    let (mut question, mut piece) = (Vec::new(), [0; LONGEST]);
    let begun = Instant::now();
    while !question.contains(&b'\n') {
        // The whole question has its time, however many pieces it comes in.
        let left = PATIENCE.saturating_sub(begun.elapsed()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left))?;
        let count = stream.read(&mut piece)?;
        if count == 0 || question.len() + count > LONGEST || begun.elapsed() >= PATIENCE {
            return Err(Error::new(ErrorKind::InvalidData, "it is no line, too long or too slow"));
        }
        question.extend_from_slice(&piece[..count]);
    }
    let said = match std::str::from_utf8(&question) {
        Ok(text) => answer(text.lines().next().unwrap_or_default().trim()),
        Err(_) => Err("the question is not UTF-8".to_owned()),
    };
    let (word, text) = match said {
        Ok(text) => ("ok", text),
        Err(why) => ("refused", why),
    };
    stream.write_all(format!("{word}\n{text}").as_bytes())
}

/// Asks whoever answers at `path`.
///
/// # Errors
/// If nobody does, in time, or what is said can't be read.
pub fn ask(path: &Path, question: &str) -> io::Result<Said> {
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.write_all(format!("{question}\n").as_bytes())?;
    let mut said = String::new();
    (&stream).take(LONGEST_ANSWER as u64).read_to_string(&mut said)?;
    match said.split_once('\n') {
        Some(("ok", text)) => Ok(Ok(text.to_owned())),
        Some(("refused", why)) => Ok(Err(why.to_owned())),
        _ => Err(Error::new(ErrorKind::InvalidData, "no answer")),
    }
}
