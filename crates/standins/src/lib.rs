//! Stand-ins on loopback for the servers that a mixer talks to: searchers with a configurable behavior, and the
//! discovery server that lists them. `pewterwharf try` and the tests use them; they never serve production traffic.

#[cfg(feature = "bgp")]
pub mod bgp;
pub mod scripted_discovery;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// Frame types of the searcher protocol.
const FRAME_CALL: u8 = b'D';
const FRAME_CANCEL: u8 = b'K';
const FRAME_ANSWER: u8 = b'O';

/// An idle watch sends an empty line this often.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// How a searcher reacts to a call.
#[derive(Clone, Copy, PartialEq)]
pub enum SearcherBehavior {
    Answers,
    /// Answers only for shards below this number.
    AnswersShardsBelow(u32),
    /// Accepts calls and never answers.
    Hangs,
    /// Closes the connection on a call.
    DisconnectsOnCall,
    /// Answers for a part that was not in the call.
    AnswersWrongPart,
    /// Answers after this many milliseconds.
    AnswersAfterMs(u64),
    /// Closes each connection as soon as any frame arrives.
    DisconnectsAlways,
}

/// Serves the connections of one searcher in the background. Each received frame is sent to `frames` as text: its type,
/// a space and its payload.
pub fn serve_searcher(listener: TcpListener, behavior: SearcherBehavior, frames: Sender<String>) {
    serve_searcher_with(listener, move || behavior, frames);
}

/// Like [`serve_searcher`], with a behavior that is looked up for each frame.
pub fn serve_searcher_with(
    listener: TcpListener,
    behavior: impl Fn() -> SearcherBehavior + Clone + Send + 'static,
    frames: Sender<String>,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (behavior, frames) = (behavior.clone(), frames.clone());
            thread::spawn(move || drop(serve_connection(stream, &behavior, &frames)));
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    behavior: &dyn Fn() -> SearcherBehavior,
    frames: &Sender<String>,
) -> io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    let mut output = stream;
    loop {
        let mut length = [0; 4];
        input.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        input.read_exact(&mut frame)?;
        let Some((frame_type, payload)) = frame.split_first() else { return Ok(()) };
        let behavior = behavior();
        if behavior == SearcherBehavior::DisconnectsAlways {
            return output.shutdown(std::net::Shutdown::Both);
        }
        // The receiver may have been dropped.
        let _ = frames.send(format!("{} {}", char::from(*frame_type), String::from_utf8_lossy(payload)));
        match (*frame_type, behavior) {
            (FRAME_CANCEL, _) | (_, SearcherBehavior::Hangs) => {}
            (FRAME_CALL, SearcherBehavior::DisconnectsOnCall) => {
                return output.shutdown(std::net::Shutdown::Both);
            }
            (FRAME_CALL, SearcherBehavior::AnswersWrongPart) => {
                write_frame(&mut output, FRAME_ANSWER, "nobody.0 200 1 -\nvalue")?;
            }
            (FRAME_CALL, _) => {
                if !answer_call(&mut output, payload, behavior)? {
                    return Ok(());
                }
            }
            (frame_type, _) => write_frame(&mut output, frame_type, "200")?,
        }
    }
}

/// Answers each part of a call; `false` if the call can't be parsed.
fn answer_call(output: &mut TcpStream, mut payload: &[u8], behavior: SearcherBehavior) -> io::Result<bool> {
    if let SearcherBehavior::AnswersAfterMs(ms) = behavior {
        thread::sleep(Duration::from_millis(ms));
    }
    while !payload.is_empty() {
        let mut header = String::new();
        payload.read_line(&mut header)?;
        let mut fields = header.split_whitespace();
        let (Some(part), Some(shard)) = (fields.next(), fields.next()) else { return Ok(false) };
        let length = fields.last().and_then(|field| field.parse().ok()).unwrap_or(0);
        let (text, rest) = payload.split_at(payload.len().min(length));
        payload = rest;
        let is_skipped = matches!(
            behavior,
            SearcherBehavior::AnswersShardsBelow(end) if shard.parse().is_ok_and(|shard: u32| shard >= end)
        );
        if is_skipped {
            continue;
        }
        let value = format!("{} in {shard}", String::from_utf8_lossy(text));
        write_frame(output, FRAME_ANSWER, &format!("{part} 200 1 -\n{value}"))?;
    }
    Ok(true)
}

fn write_frame(output: &mut TcpStream, frame_type: u8, payload: &str) -> io::Result<()> {
    let mut frame = (payload.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(frame_type);
    frame.extend_from_slice(payload.as_bytes());
    output.write_all(&frame)
}

/// A discovery list with these searchers, each with its status, all in group 0.
pub fn discovery_list(index: u64, is_snapshot: bool, searchers: &[(SocketAddr, &str)]) -> Value {
    let endpoints: Vec<Value> = searchers
        .iter()
        .map(|(address, status)| {
            json!({"name": format!("s-{}", address.port()), "address": address.to_string(), "zone": "hall",
                   "type": "toy", "group": 0, "status": status, "weight": 1.0, "since_ms": 0})
        })
        .collect();
    json!({"index": index, "snapshot": is_snapshot, "endpoints": endpoints})
}

/// A discovery server. A watch receives the lists published after the version that it asks for, then each new one.
#[derive(Clone, Default)]
pub struct DiscoveryServer(Arc<Published>);

#[derive(Default)]
struct Published {
    lists: Mutex<Vec<Value>>,
    changed: Condvar,
}

impl DiscoveryServer {
    pub fn publish(&self, list: Value) {
        self.0.lists.lock().expect("no thread panics while it holds the lock").push(list);
        self.0.changed.notify_all();
    }

    /// Answers watches in the background for as long as the listener lives.
    pub fn serve(&self, listener: TcpListener) {
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || drop(server.serve_connection(stream)));
            }
        });
    }

    /// All published lists merged into one snapshot.
    fn snapshot(&self) -> Value {
        let (mut index, mut endpoints) = (Value::from(0), BTreeMap::new());
        for list in self.0.lists.lock().expect("no thread panics while it holds the lock").iter() {
            index = list["index"].clone();
            if list["snapshot"] == true {
                endpoints.clear();
            }
            for endpoint in list["endpoints"].as_array().into_iter().flatten() {
                endpoints.insert(endpoint["name"].to_string(), endpoint.clone());
            }
        }
        endpoints.retain(|_, endpoint| endpoint["status"] != "removed");
        json!({"index": index, "snapshot": true, "endpoints": endpoints.into_values().collect::<Vec<_>>()})
    }

    /// Answers requests for the whole list until one starts a watch, then serves that.
    fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut input = BufReader::new(stream.try_clone()?);
        let (mut request_line, mut line) = (String::new(), String::new());
        loop {
            request_line.clear();
            input.read_line(&mut request_line)?;
            while input.read_line(&mut line)? > 2 {
                line.clear();
            }
            if request_line.contains("watch=1") {
                break;
            }
            let body = self.snapshot().to_string();
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
        let after = request_line.split("after=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        self.serve_watch(stream, after.unwrap_or(0))
    }

    /// Sends the lists after this version as they are published, and an empty line when nothing changes.
    fn serve_watch(&self, mut stream: TcpStream, after: u64) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut sent = 0;
        loop {
            let lists = self.0.lists.lock().expect("no thread panics while it holds the lock");
            let (lists, _) = self
                .0
                .changed
                .wait_timeout_while(lists, KEEPALIVE_INTERVAL, |lists| lists.len() == sent)
                .expect("no thread panics while it holds the lock");
            let new = lists[sent..].iter().filter(|list| list["index"].as_u64() > Some(after));
            let mut lines: Vec<String> = new.map(|list| format!("{list}\n")).collect();
            sent = lists.len();
            drop(lists);
            if lines.is_empty() {
                lines.push("\n".to_owned());
            }
            for line in lines {
                write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
            }
        }
    }
}
