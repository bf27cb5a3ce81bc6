//! Stand-ins on loopback for what a mixer speaks with: searchers that answer, hang, die or spoil, and the discovery
//! that lists them. `pewterwharf try` and the tests use them; no scan of anybody's is served by one.

#[cfg(feature = "bgp")]
pub mod bgp;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// What a searcher does with a call.
#[derive(Clone, Copy, PartialEq)]
pub enum SearcherBehavior {
    Answers,
    /// Answers for shards under this one, and says nothing of others.
    AnswersShardsBelow(u32),
    /// Takes it and says nothing.
    Hangs,
    /// Ends the connection.
    DisconnectsOnCall,
    /// Answers for a part that it was not asked for.
    AnswersWrongPart,
    /// Answers after so many milliseconds of work.
    AnswersAfterMs(u64),
    /// Ends every connection as soon as anything comes.
    DisconnectsAlways,
}

/// Serves the connections of one searcher; what it is sent is told to `heard`, where somebody listens.
pub fn serve_searcher(listener: TcpListener, manner: SearcherBehavior, heard: Sender<String>) {
    serve_searcher_with(listener, move || manner, heard);
}

/// The same for one whose manner changes: it is asked for with each frame.
pub fn serve_searcher_with(
    listener: TcpListener,
    manner: impl Fn() -> SearcherBehavior + Clone + Send + 'static,
    heard: Sender<String>,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (manner, heard) = (manner.clone(), heard.clone());
            thread::spawn(move || drop(serve(stream, &manner, &heard)));
        }
    });
}

fn serve(stream: TcpStream, manner: &dyn Fn() -> SearcherBehavior, heard: &Sender<String>) -> io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    let mut output = stream;
    loop {
        let mut length = [0; 4];
        input.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        input.read_exact(&mut frame)?;
        let Some((letter, mut rest)) = frame.split_first() else { return Ok(()) };
        let manner = manner();
        if manner == SearcherBehavior::DisconnectsAlways {
            return output.shutdown(std::net::Shutdown::Both);
        }
        let _ = heard.send(format!("{} {}", char::from(*letter), String::from_utf8_lossy(rest)));
        match (letter, manner) {
            (b'K', _) | (_, SearcherBehavior::Hangs) => {}
            (b'D', SearcherBehavior::DisconnectsOnCall) => return output.shutdown(std::net::Shutdown::Both),
            (b'D', SearcherBehavior::AnswersWrongPart) => send(&mut output, b'O', "nobody.0 200 1 -\nvalue")?,
            (
                b'D',
                SearcherBehavior::Answers
                | SearcherBehavior::AnswersShardsBelow(_)
                | SearcherBehavior::AnswersAfterMs(_),
            ) => {
                if let SearcherBehavior::AnswersAfterMs(ms) = manner {
                    thread::sleep(Duration::from_millis(ms));
                }
                while !rest.is_empty() {
                    let mut line = String::new();
                    rest.read_line(&mut line)?;
                    let mut words = line.split_whitespace();
                    let (Some(id), Some(shard)) = (words.next(), words.next()) else { return Ok(()) };
                    let length = words.last().and_then(|l| l.parse().ok()).unwrap_or(0);
                    let (text, more) = rest.split_at(rest.len().min(length));
                    rest = more;
                    if matches!(manner, SearcherBehavior::AnswersShardsBelow(end) if shard.parse().is_ok_and(|s: u32| s >= end))
                    {
                        continue;
                    }
                    let value = format!("{} in {shard}", String::from_utf8_lossy(text));
                    send(&mut output, b'O', &format!("{id} 200 1 -\n{value}"))?;
                }
            }
            (letter, _) => send(&mut output, *letter, "200")?,
        }
    }
}

fn send(output: &mut TcpStream, letter: u8, rest: &str) -> io::Result<()> {
    let mut frame = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(rest.as_bytes());
    output.write_all(&frame)
}

/// A list of searchers in set 0, each with its status.
pub fn discovery_list(index: u64, whole: bool, searchers: &[(SocketAddr, &str)]) -> Value {
    let entries: Vec<Value> = searchers
        .iter()
        .map(|(address, status)| {
            json!({"name": format!("s-{}", address.port()), "address": address.to_string(), "zone": "hall",
                   "type": "toy", "group": 0, "status": status, "weight": 1.0, "since_ms": 0})
        })
        .collect();
    json!({"index": index, "snapshot": whole, "endpoints": entries})
}

/// The lists told so far; every watch gets those after the version that it holds, then what is told later.
#[derive(Clone, Default)]
pub struct DiscoveryServer(Arc<(Mutex<Vec<Value>>, Condvar)>);

impl DiscoveryServer {
    pub fn publish(&self, list: Value) {
        self.0.0.lock().expect("no holder fails").push(list);
        self.0.1.notify_all();
    }

    /// Answers watches for as long as the listener lives.
    pub fn serve(&self, listener: TcpListener) {
        let lists = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let lists = lists.clone();
                thread::spawn(move || drop(lists.watch(stream)));
            }
        });
    }

    /// All that was told, in one list.
    fn whole(&self) -> Value {
        let (mut index, mut entries) = (Value::from(0), BTreeMap::new());
        for list in self.0.0.lock().expect("no holder fails").iter() {
            index = list["index"].clone();
            if list["snapshot"] == true {
                entries.clear();
            }
            for entry in list["endpoints"].as_array().into_iter().flatten() {
                entries.insert(entry["name"].to_string(), entry.clone());
            }
        }
        entries.retain(|_, entry| entry["status"] != "removed");
        json!({"index": index, "snapshot": true, "endpoints": entries.into_values().collect::<Vec<_>>()})
    }

    fn watch(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut input = BufReader::new(stream.try_clone()?);
        let (mut request, mut line) = (String::new(), String::new());
        loop {
            request.clear();
            input.read_line(&mut request)?;
            while input.read_line(&mut line)? > 2 {
                line.clear();
            }
            if request.contains("watch=1") {
                break;
            }
            let whole = self.whole().to_string();
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len())?;
        }
        let after = request.split("after=").nth(1).and_then(|a| a.split(' ').next()?.parse().ok());
        let after: u64 = after.unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut sent = 0;
        loop {
            let (told, changed) = &*self.0;
            let told = told.lock().expect("no holder fails");
            let (told, _) = changed
                .wait_timeout_while(told, Duration::from_secs(2), |told| told.len() == sent)
                .expect("no holder fails");
            let new = told[sent..].iter().filter(|l| l["index"].as_u64() > Some(after));
            let mut lines: Vec<String> = new.map(|list| format!("{list}\n")).collect();
            sent = told.len();
            drop(told);
            if lines.is_empty() {
                lines.push("\n".to_owned());
            }
            for line in lines {
                write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
            }
        }
    }
}
