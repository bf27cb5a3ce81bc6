//! A discovery server that is slow, silent or crowded as a script says.

use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::{KEEPALIVE_INTERVAL, discovery_list};

/// How often a connection looks at the script.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The size of the pieces in which a slow answer is sent.
const PIECE_BYTES: usize = 64;

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallBehavior {
    /// It is answered this long after it came.
    Answered(Duration),
    /// It is answered in small pieces, each after this time.
    AnsweredInPieces(Duration),
    /// It is never answered.
    Hangs,
    /// Its connection is closed at once.
    Closes,
    /// It is answered once calls no longer wait for the return of discovery.
    WaitsForReturn,
    /// It is answered this long after the call before it, even if that one was ended meanwhile.
    AnsweredInTurn(Duration),
}

struct Script {
    index: u64,
    searchers: Vec<(SocketAddr, &'static str)>,
    /// The behavior of the next calls, one each.
    next_behaviors: VecDeque<CallBehavior>,
    /// The behavior of all further calls.
    behavior: CallBehavior,
    /// Watches that were answered before this time are silent.
    silent_before: Option<Instant>,
    /// When the answer to the latest call is due, if calls are answered in turn.
    turn_ends_at: Instant,
    calls: Vec<Instant>,
}

/// The discovery server. Its list and the behavior of calls can be changed at any time.
#[derive(Clone)]
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    script: Arc<Mutex<Script>>,
}

impl ScriptedDiscovery {
    /// Serves a list with these searchers, each with its status. Calls are answered at once.
    ///
    /// # Errors
    /// If no port is free.
    pub fn start(searchers: &[(SocketAddr, &'static str)]) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let script = Script {
            index: 1,
            searchers: searchers.to_vec(),
            next_behaviors: VecDeque::new(),
            behavior: CallBehavior::Answered(Duration::ZERO),
            silent_before: None,
            turn_ends_at: Instant::now(),
            calls: Vec::new(),
        };
        let discovery = Self { address: listener.local_addr()?, script: Arc::new(Mutex::new(script)) };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || drop(server.serve_connection(stream)));
            }
        });
        Ok(discovery)
    }

    fn script(&self) -> MutexGuard<'_, Script> {
        self.script.lock().expect("no thread panics while it holds the lock")
    }

    /// Sets what happens to calls that come from now on.
    pub fn set_behavior(&self, behavior: CallBehavior) {
        self.script().behavior = behavior;
    }

    /// Sets what happens to the next calls, one each, before the behavior of all others applies.
    pub fn set_next_behaviors(&self, behaviors: &[CallBehavior]) {
        self.script().next_behaviors = behaviors.iter().copied().collect();
    }

    /// Watches that are open now say nothing more.
    pub fn silence_watches(&self) {
        self.script().silent_before = Some(Instant::now());
    }

    /// Publishes a new version of the list.
    pub fn publish(&self, searchers: &[(SocketAddr, &'static str)]) {
        let mut script = self.script();
        script.index += 1;
        script.searchers = searchers.to_vec();
    }

    /// When each call came so far.
    pub fn calls(&self) -> Vec<Instant> {
        self.script().calls.clone()
    }

    fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = BufReader::new(stream.try_clone()?);
        loop {
            let (mut request_line, mut line) = (String::new(), String::new());
            if input.read_line(&mut request_line)? == 0 {
                return Ok(());
            }
            while input.read_line(&mut line)? > 2 {
                line.clear();
            }
            let piece_delay = self.wait_for_turn()?;
            if request_line.contains("watch=1") {
                let after =
                    request_line.split("after=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
                return self.serve_watch(stream, after.unwrap_or(0), piece_delay);
            }
            let body = self.list(true).1.to_string();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            write_pieces(&mut stream, &answer, piece_delay)?;
        }
    }

    /// Waits until a call that has just come is answered. Returns the delay of each piece of the answer.
    fn wait_for_turn(&self) -> io::Result<Option<Duration>> {
        let called_at = Instant::now();
        let behavior = {
            let mut script = self.script();
            script.calls.push(called_at);
            let behavior = script.next_behaviors.pop_front().unwrap_or(script.behavior);
            if let CallBehavior::AnsweredInTurn(after) = behavior {
                script.turn_ends_at = script.turn_ends_at.max(called_at) + after;
                CallBehavior::Answered(script.turn_ends_at.duration_since(called_at))
            } else {
                behavior
            }
        };
        match behavior {
            CallBehavior::Answered(after) | CallBehavior::AnsweredInTurn(after) => {
                thread::sleep(after);
                Ok(None)
            }
            CallBehavior::AnsweredInPieces(delay) => Ok(Some(delay)),
            CallBehavior::Hangs => loop {
                thread::park();
            },
            CallBehavior::Closes => Err(io::ErrorKind::ConnectionAborted.into()),
            CallBehavior::WaitsForReturn => {
                while self.script().behavior == CallBehavior::WaitsForReturn {
                    thread::sleep(POLL_INTERVAL);
                }
                Ok(None)
            }
        }
    }

    /// The version of the list, and its entries: as a whole list, or as changes since the beginning.
    fn list(&self, is_whole: bool) -> (u64, Value) {
        let script = self.script();
        (script.index, discovery_list(script.index, is_whole, &script.searchers))
    }

    /// Sends the changes if the list is newer than this version, then each time it changes, and empty lines in between.
    fn serve_watch(
        &self,
        mut stream: TcpStream,
        after: u64,
        piece_delay: Option<Duration>,
    ) -> io::Result<()> {
        let answered_at = Instant::now();
        write_pieces(&mut stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece_delay)?;
        let (mut told, mut told_at) = (after, None::<Instant>);
        loop {
            let is_silent = self.script().silent_before.is_some_and(|before| answered_at < before);
            let (index, list) = self.list(false);
            let is_due = told_at.is_none_or(|at| at.elapsed() >= KEEPALIVE_INTERVAL);
            if !is_silent && (index != told || is_due) {
                let line = if index == told { "\n".to_owned() } else { format!("{list}\n") };
                write_pieces(&mut stream, &format!("{:x}\r\n{line}\r\n", line.len()), piece_delay)?;
                (told, told_at) = (index, Some(Instant::now()));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Writes text at once, or in pieces with this delay before each.
fn write_pieces(stream: &mut TcpStream, text: &str, delay: Option<Duration>) -> io::Result<()> {
    let Some(delay) = delay else { return stream.write_all(text.as_bytes()) };
    for piece in text.as_bytes().chunks(PIECE_BYTES) {
        thread::sleep(delay);
        stream.write_all(piece)?;
    }
    Ok(())
}
