//! Keeps a watch on the searcher list and hands on what it tells.

use std::io::Write;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use log::{debug, warn};
use pewterwharf::interface::Life;
use serde_json::Value;

use crate::buffer::Buffer;
use crate::http;
use crate::reducer::Input;
use crate::service::Tell;

/// One searcher as discovery describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub addr: SocketAddrV4,
    pub zone: String,
    pub cell: u32,
    pub since: f64,
    pub life: Life,
}

/// The whole list, or what has changed in it.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    pub index: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
    /// Why an entry was passed over.
    pub bad: Vec<String>,
}

/// Reads a list; an entry that can't be read does not take the others with it.
pub fn list(value: &Value) -> Result<List> {
    let entries = value["endpoints"].as_array().context("endpoints is missing")?;
    let mut list = List {
        index: value["index"].as_u64().context("index is missing")?,
        whole: value["snapshot"].as_bool().context("snapshot is missing")?,
        entries: Vec::new(),
        bad: Vec::new(),
    };
    for entry in entries {
        match read(entry) {
            Ok(entry) => list.entries.push(entry),
            Err(error) => list.bad.push(format!("{error:#} in {entry}")),
        }
    }
    Ok(list)
}

fn read(entry: &Value) -> Result<Entry> {
    let word = |key: &str| entry[key].as_str().with_context(|| format!("{key} is missing"));
    let life = match word("status")? {
        "up" => Life::Ready,
        "draining" => Life::Draining,
        "removed" => Life::Gone,
        other => bail!("status {other} is unknown"),
    };
    let since = entry["since_ms"].as_f64().unwrap_or(0.0);
    Ok(Entry {
        name: word("name")?.to_owned(),
        addr: word("address")?.parse().context("address can't be read")?,
        zone: entry["zone"].as_str().unwrap_or_default().to_owned(),
        cell: entry["group"].as_u64().and_then(|g| u32::try_from(g).ok()).context("group can't be read")?,
        since: if since > 0.0 { since } else { 0.0 },
        life,
    })
}

/// Waits between watches: the first, and the longest.
const WAITS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// A watch that says nothing for so long is begun anew: it sends an empty line every 2 s.
const SILENT: Duration = Duration::from_secs(7);

/// Longest line that is taken: thousands of searchers.
const LONGEST: usize = 4 << 20;

/// Watches for as long as the program runs; `index` is the version held.
pub fn watch(at: SocketAddrV4, mut index: u64, connect: Duration, tell: &Tell) {
    let mut wait = WAITS.0;
    loop {
        let before = index;
        match follow(at, &mut index, connect, tell) {
            Ok(()) => debug!("discovery ended the watch"),
            Err(error) => debug!("discovery: {error:#}"),
        }
        if !tell.say(Input::WatchLost) {
            return;
        }
        wait = if index == before { (wait * 2).min(WAITS.1) } else { WAITS.0 };
        std::thread::sleep(wait);
    }
}

fn follow(at: SocketAddrV4, index: &mut u64, connect: Duration, tell: &Tell) -> Result<()> {
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(at), connect)?;
    stream.set_read_timeout(Some(SILENT))?;
    stream.set_write_timeout(Some(SILENT))?;
    stream.set_nodelay(true)?;
    let request = format!("GET /api/targets?watch=1&after={index} HTTP/1.1\r\nHost: {at}\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut buffer = Buffer::default();
    let chunked = loop {
        if let Some((status, chunked, used)) = http::response(buffer.bytes()).map_err(anyhow::Error::msg)? {
            ensure!(status == 200, "status {status}");
            buffer.used(used);
            break chunked;
        }
        ensure!(buffer.fill(&mut stream)? > 0, "the watch ended in its head");
    };
    ensure!(chunked, "the watch is not chunked");
    let mut line = Vec::new();
    loop {
        while let Some((data, used)) = http::chunk(buffer.bytes()).map_err(anyhow::Error::msg)? {
            if data.is_empty() {
                return Ok(());
            }
            for byte in data {
                if *byte == b'\n' {
                    heard(&std::mem::take(&mut line), index, tell)?;
                } else {
                    line.push(*byte);
                }
            }
            buffer.used(used);
        }
        ensure!(line.len() + buffer.bytes().len() <= LONGEST, "a line over {LONGEST} bytes");
        if buffer.fill(&mut stream)? == 0 {
            return Ok(());
        }
    }
}

fn heard(line: &[u8], index: &mut u64, tell: &Tell) -> Result<()> {
    if line.iter().all(u8::is_ascii_whitespace) {
        return Ok(());
    }
    let read = serde_json::from_slice(line).context("not JSON").and_then(|value| list(&value));
    let list = read.inspect_err(|error| warn!("discovery sent a line that can't be read: {error:#}"))?;
    *index = list.index;
    tell.say(Input::List(list));
    Ok(())
}
