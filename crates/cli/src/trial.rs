//! `pewterwharf try`: a mixer, searchers and discovery in one process on loopback.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow, bail, ensure};
use clap::Args;
use pewterwharf_mixer::service::Service;
use pewterwharf_mixer::signals::{self, Reloaders};
use pewterwharf_settings::Settings;
use pewterwharf_standins::bgp::{Peer, PeerBehavior};
use pewterwharf_standins::{self as standins, DiscoveryServer, SearcherBehavior};
use pewterwharf_terms::StartupConfig;
use serde_json::json;
use signal_hook::consts::SIGTERM;
use signal_hook::low_level::raise;

#[derive(Args)]
pub struct Trial {
    /// Searchers to start
    #[arg(long, value_name = "N", default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    searchers: u16,
    /// How many of them take parts and answer none
    #[arg(long, value_name = "N", default_value_t = 1)]
    hung: u16,
    /// Scans to send, half of them replayable
    #[arg(long, value_name = "N", default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=1000))]
    scans: u32,
    /// Announces two service addresses to a stand-in peer, drains under load and prints when what happened
    #[arg(long)]
    bgp: bool,
}

/// How long the mixer may take to be ready.
const READY: Duration = Duration::from_secs(10);

const LOOKUP: &str = r#"{"parts":[{"id":0,"w":0.5},{"id":1,"w":0.25},{"id":2,"w":0.25}],"expr":"find"}"#;

fn request(table_type: &str, id: &str, body: &str) -> String {
    format!(
        "POST /{table_type} HTTP/1.1\r\nHost: mixer\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: 1500\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn ask(at: SocketAddr, request: &str) -> Result<(u16, String)> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(READY))?;
    stream.write_all(request.as_bytes())?;
    let mut input = BufReader::new(stream);
    let (mut line, mut length) = (String::new(), 0);
    input.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).context("no status in the answer")?;
    loop {
        line.clear();
        ensure!(input.read_line(&mut line)? > 0, "the answer ended in its head");
        if line.trim().is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':')
            && key.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().context("the answer's length")?;
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Terms of the trial: `lookup` is whole with three fifths of its parts, `entry` needs all and is never run twice.
fn start(discovery: SocketAddr, listen: SocketAddr) -> String {
    let service = |name: &str, repeat: &str| {
        json!({"name": name, "idempotency": repeat, "points": 1.0, "slo_ms": 500.0, "hard_limit_ms": 2000.0,
               "late_worth": 0.3})
    };
    json!({
        "name": "m1", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "7",
        "settings": {
            "peers_total": 1, "zone": 0, "zones": ["hall"], "discovery": "push",
            "services": [service("lookup", "pure"), service("entry", "side_effect")],
            "customers": [{"name": "acme", "quota_per_s": 50.0}],
            "family_info": {"positions": 1, "in_a_row": 1, "ranges": 16, "class_need": [0.6, 1.0],
                            "floor_by_class": [0.6, 1.0], "partial_earns": [0.9, 0.9]},
            "permissions": {"cancel": true, "probing": true, "parallel_tries": true, "max_attempts": 3,
                            "retry_after": true, "max_retry_after_ms": 1000.0, "open_cap": 200, "multiplex": 32},
            "rules": {"cold_from": 0.2, "warm_after_ms": 10000.0, "tip_multiple": 2.0, "fall_ms": 1000.0}
        }
    })
    .to_string()
}

/// The operator's file of the trial, with the stand-in peer in place of the one that it names.
fn announcements(peer: &Peer) -> Result<Settings> {
    const EXAMPLE: &str = include_str!("../../../examples/bgp/pewterwharf.lisp");
    let text = EXAMPLE.replace("192.0.2.254:179", &peer.address.to_string());
    Settings::read(&text).map_err(|fault| anyhow!("examples/bgp/pewterwharf.lisp:{fault}"))
}

/// Scans one after the other on connections of their own, until one is refused: when, and how many were answered 200 and
/// how many otherwise.
fn load(client: u32, mixer: SocketAddr) -> (Instant, u32, u32) {
    let (mut whole, mut other) = (0, 0);
    loop {
        let id = format!("l{client}-{}", whole + other);
        match ask(mixer, &request("lookup", &id, LOOKUP)) {
            Ok((200, _)) => whole += 1,
            Err(error) if refused(&error) => return (Instant::now(), whole, other),
            Ok(_) | Err(_) => other += 1,
        }
    }
}

/// A connection that stands in the listener's queue when that closes is reset by the system, unseen by the mixer: the door
/// was shut to it as to one that is refused.
fn refused(error: &anyhow::Error) -> bool {
    const SHUT: [io::ErrorKind; 3] =
        [io::ErrorKind::ConnectionRefused, io::ErrorKind::ConnectionReset, io::ErrorKind::BrokenPipe];
    error.downcast_ref::<io::Error>().is_some_and(|e| SHUT.contains(&e.kind()))
}

/// A drain under load, as the peer and the clients see it. Whether the withdrawals came before the first connection was
/// refused, and every scan was answered.
fn drain(peer: &Peer, mixer: SocketAddr, mixer_runs: thread::JoinHandle<Result<()>>) -> Result<bool> {
    let mut events: Vec<(Instant, String)> = Vec::new();
    for at in ["announce 198.51.100.1", "announce 198.51.100.2"] {
        events.push((peer.wait_for(at).0.at, format!("the peer heard {at}")));
    }
    let clients: Vec<_> = (0..4).map(|client| thread::spawn(move || load(client, mixer))).collect();
    let asked = Instant::now();
    raise(SIGTERM)?;
    events.push((asked, "SIGTERM; scans keep coming".to_owned()));
    let mut withdrawn = Vec::new();
    loop {
        let heard = peer.next_event();
        if heard.text.starts_with("withdraw") {
            withdrawn.push(heard.at);
        }
        let ends = heard.text == "closed";
        events.push((heard.at, format!("the peer heard {}", heard.text)));
        if ends {
            break;
        }
    }
    let (mut whole, mut other, mut refused) = (0, 0, None);
    for client in clients {
        let Ok((at, w, o)) = client.join() else { bail!("a client panicked") };
        (whole, other) = (whole + w, other + o);
        refused = Some(refused.map_or(at, |first: Instant| first.min(at)));
    }
    let refused = refused.context("no client")?;
    events.push((refused, "a connection was refused for the first time".to_owned()));
    match mixer_runs.join() {
        Ok(ended) => ended.context("the mixer")?,
        Err(_) => bail!("the mixer's thread panicked"),
    }
    events.push((Instant::now(), "the mixer has ended".to_owned()));
    events.sort_by_key(|e| e.0);
    for (at, what) in &events {
        let ms = at.saturating_duration_since(asked).as_millis() as i64
            - asked.saturating_duration_since(*at).as_millis() as i64;
        println!("{ms:>7} ms {what}");
    }
    println!("{whole} scans were answered 200 meanwhile, {other} otherwise");
    let first = withdrawn.len() == 2 && withdrawn.iter().all(|at| *at < refused);
    println!("withdrawn before the first refusal: {}", if first { "yes" } else { "no" });
    Ok(first && other == 0)
}

/// Whether every scan was answered once and the mixer ended by itself.
pub fn run(asked: &Trial) -> Result<bool> {
    let lists = DiscoveryServer::default();
    let discovery = TcpListener::bind("127.0.0.1:0")?;
    let discovery_at = discovery.local_addr()?;
    lists.serve(discovery);
    let (heard, frames) = mpsc::channel();
    let mut searchers = Vec::new();
    for nth in 0..asked.searchers {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        searchers.push((listener.local_addr()?, "up"));
        let manner = if nth < asked.hung { SearcherBehavior::Hangs } else { SearcherBehavior::Answers };
        standins::serve_searcher(listener, manner, heard.clone());
    }
    lists.publish(standins::discovery_list(1, true, &searchers));
    println!("{} searchers, {} of them hang; discovery at {discovery_at}", asked.searchers, asked.hung);

    let signals = signals::register_handlers()?;
    // A port that is free now; the mixer takes it a moment later.
    let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let start = StartupConfig::read(&start(discovery_at, listen), |_| None)?;
    // The decision module stays in the thread that opens it.
    let again = Reloaders {
        config: |_| bail!("a trial has no file to read again"),
        settings: || bail!("a trial has no file to read again"),
    };
    let peer = asked.bgp.then(|| Peer::start(&[PeerBehavior::Conforms]));
    let settings = peer.as_ref().map(announcements).transpose()?.unwrap_or_default();
    let mixer = thread::spawn(move || Service::open(start, &settings, signals, again)?.run());
    let begun = Instant::now();
    while !ask(listen, "GET /-/ready HTTP/1.1\r\nHost: mixer\r\n\r\n").is_ok_and(|(status, _)| status == 200)
    {
        ensure!(begun.elapsed() < READY, "the mixer is not ready after {READY:?}");
        thread::yield_now();
    }
    println!("mixer at {listen}, ready after {} ms", begun.elapsed().as_millis());

    let mut answered = 0;
    for nth in 0..asked.scans {
        let (table_type, body) = match nth % 2 {
            0 => ("lookup", LOOKUP),
            _ => ("entry", r#"{"parts":[{"id":3,"w":1.0}],"expr":"enter"}"#),
        };
        let request = request(table_type, &format!("q{nth}"), body);
        let asked_at = Instant::now();
        let (status, answer) = ask(listen, &request)?;
        answered += 1;
        let ms = asked_at.elapsed().as_millis();
        println!("scan q{nth} {table_type}: {status} after {ms} ms {}", answer.trim());
        for frame in frames.try_iter() {
            println!("    a searcher heard {}", frame.replace('\n', " | "));
        }
    }
    if let Some(peer) = peer {
        return Ok(drain(&peer, listen, mixer)? && answered == asked.scans);
    }
    raise(SIGTERM)?;
    match mixer.join() {
        Ok(ended) => ended.context("the mixer")?,
        Err(_) => bail!("the mixer's thread panicked"),
    }
    println!("{answered} of {} scans answered; the mixer drained and ended", asked.scans);
    Ok(answered == asked.scans)
}
