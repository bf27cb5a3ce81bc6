//! A toy to try a mixer with: a few searchers that answer at once, and the discovery that lists them.
//!
//!     cargo run -p pewterwharf-mixer --example toy

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;

use serde_json::{Value, json};

/// What a toy searcher does with a call.
#[derive(Clone, Copy, PartialEq)]
pub enum Manner {
    Answers,
    /// Takes it and says nothing.
    Hangs,
    /// Ends the connection.
    Dies,
}

/// Serves the connections of one searcher; what it is sent is told to `heard`, where somebody listens.
pub fn searcher(listener: TcpListener, manner: Manner, heard: Sender<String>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let heard = heard.clone();
            thread::spawn(move || drop(serve(stream, manner, &heard)));
        }
    });
}

fn serve(stream: TcpStream, manner: Manner, heard: &Sender<String>) -> io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    let mut output = stream;
    loop {
        let mut length = [0; 4];
        input.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        input.read_exact(&mut frame)?;
        let Some((letter, mut rest)) = frame.split_first() else { return Ok(()) };
        let _ = heard.send(format!("{} {}", char::from(*letter), String::from_utf8_lossy(rest)));
        match (letter, manner) {
            (b'K', _) | (_, Manner::Hangs) => {}
            (b'D', Manner::Dies) => return output.shutdown(std::net::Shutdown::Both),
            (b'D', Manner::Answers) => {
                while !rest.is_empty() {
                    let mut line = String::new();
                    rest.read_line(&mut line)?;
                    let mut words = line.split_whitespace();
                    let (Some(id), Some(shard)) = (words.next(), words.next()) else { return Ok(()) };
                    let length = words.last().and_then(|l| l.parse().ok()).unwrap_or(0);
                    let (text, more) = rest.split_at(rest.len().min(length));
                    rest = more;
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

/// A list of searchers in cell 0, each with its status.
pub fn list(index: u64, whole: bool, searchers: &[(SocketAddr, &str)]) -> Value {
    let entries: Vec<Value> = searchers
        .iter()
        .map(|(address, status)| {
            json!({"name": format!("s-{}", address.port()), "address": address.to_string(), "zone": "hall",
                   "type": "toy", "group": 0, "status": status, "weight": 1.0, "since_ms": 0})
        })
        .collect();
    json!({"index": index, "snapshot": whole, "endpoints": entries})
}

/// Answers every watch with these lists, one after the other, and leaves it open.
pub fn discovery(listener: TcpListener, lists: Receiver<Value>) {
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut head = String::new();
            let mut input = BufReader::new(&stream);
            while !head.ends_with("\r\n\r\n") && input.read_line(&mut head).unwrap_or(0) > 0 {}
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for list in &lists {
                let line = format!("{list}\n");
                if write!(stream, "{:x}\r\n{line}\r\n", line.len()).is_err() {
                    break;
                }
            }
        }
    });
}

#[allow(dead_code)] // the tests use the rest of this file
fn main() -> io::Result<()> {
    let (told, lists) = mpsc::channel();
    discovery(TcpListener::bind("127.0.0.1:8500")?, lists);
    let (heard, frames) = mpsc::channel();
    let mut searchers = Vec::new();
    for _ in 0..4 {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        searchers.push((listener.local_addr()?, "up"));
        searcher(listener, Manner::Answers, heard.clone());
    }
    let _ = told.send(list(1, true, &searchers));
    println!("discovery at 127.0.0.1:8500, searchers at {searchers:?}");
    for frame in frames {
        println!("{frame}");
    }
    Ok(())
}
