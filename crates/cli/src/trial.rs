//! `pewterwharf try`: runs a mixer, searchers and discovery in one process on loopback.

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
pub struct TrialArgs {
    /// Number of searchers
    #[arg(long, value_name = "N", default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    searchers: u16,
    /// Number of searchers that accept parts but never answer
    #[arg(long, value_name = "N", default_value_t = 1)]
    hung: u16,
    /// Number of scans to send, half of them replayable
    #[arg(long, value_name = "N", default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=1000))]
    scans: u32,
    /// Announces two service addresses to a test peer, drains under load and prints a timeline
    #[arg(long)]
    bgp: bool,
}

/// Time for the mixer to become ready, and for an answer to arrive.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

const LOOKUP: &str = r#"{"parts":[{"id":0,"w":0.5},{"id":1,"w":0.25},{"id":2,"w":0.25}],"expr":"find"}"#;

fn request(table_type: &str, id: &str, body: &str) -> String {
    format!(
        "POST /{table_type} HTTP/1.1\r\nHost: mixer\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: 1500\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

struct Answer {
    status: u16,
    body: String,
}

/// Sends a request on a new connection and reads the answer.
fn send_request(address: SocketAddr, request: &str) -> Result<Answer> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READY_TIMEOUT))?;
    stream.write_all(request.as_bytes())?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    let mut length = 0;
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
    Ok(Answer { status, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Startup configuration of the trial: `lookup` is complete with three fifths of its parts, `entry` needs all parts and must
/// not be repeated.
fn startup_config(discovery: SocketAddr, listen: SocketAddr) -> String {
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

/// The example settings file for BGP, with the address of the test peer.
fn bgp_settings(peer: &Peer) -> Result<Settings> {
    const EXAMPLE: &str = include_str!("../../../examples/bgp/pewterwharf.lisp");
    let text = EXAMPLE.replace("192.0.2.254:179", &peer.address.to_string());
    Settings::read(&text).map_err(|error| anyhow!("examples/bgp/pewterwharf.lisp:{error}"))
}

/// Result of a client that sends scans until a connection is refused.
struct LoadResult {
    refused_at: Instant,
    /// Scans answered with status 200.
    ok: u32,
    /// Scans answered otherwise, or not at all.
    other: u32,
}

/// Sends scans one after the other, each on a new connection, until a connection is refused.
fn load(client: u32, mixer: SocketAddr) -> LoadResult {
    let mut ok = 0;
    let mut other = 0;
    loop {
        let id = format!("l{client}-{}", ok + other);
        match send_request(mixer, &request("lookup", &id, LOOKUP)) {
            Ok(Answer { status: 200, .. }) => ok += 1,
            Err(error) if is_refused(&error) => {
                return LoadResult { refused_at: Instant::now(), ok, other };
            }
            Ok(_) | Err(_) => other += 1,
        }
    }
}

/// Whether a connection was refused. The operating system resets connections that are still in the listener's backlog when
/// the listener closes; the mixer never sees them, so they count as refused.
fn is_refused(error: &anyhow::Error) -> bool {
    const REFUSED: [io::ErrorKind; 3] =
        [io::ErrorKind::ConnectionRefused, io::ErrorKind::ConnectionReset, io::ErrorKind::BrokenPipe];
    error.downcast_ref::<io::Error>().is_some_and(|e| REFUSED.contains(&e.kind()))
}

struct TimelineEvent {
    at: Instant,
    text: String,
}

/// Drains the mixer under load and prints a timeline as seen by the peer and the clients. Returns whether the routes were
/// withdrawn before the first connection was refused, and every scan was answered.
fn drain(peer: &Peer, mixer: SocketAddr, mixer_thread: thread::JoinHandle<Result<()>>) -> Result<bool> {
    let mut events: Vec<TimelineEvent> = Vec::new();
    for text in ["announce 198.51.100.1", "announce 198.51.100.2"] {
        events
            .push(TimelineEvent { at: peer.wait_for(text).0.at, text: format!("the peer received {text}") });
    }
    let clients: Vec<_> = (0..4).map(|client| thread::spawn(move || load(client, mixer))).collect();
    let drain_started = Instant::now();
    raise(SIGTERM)?;
    events.push(TimelineEvent { at: drain_started, text: "SIGTERM; clients still send scans".to_owned() });
    let mut withdrawn = Vec::new();
    loop {
        let event = peer.next_event();
        if event.text.starts_with("withdraw") {
            withdrawn.push(event.at);
        }
        let is_closed = event.text == "closed";
        events.push(TimelineEvent { at: event.at, text: format!("the peer received {}", event.text) });
        if is_closed {
            break;
        }
    }
    let mut ok = 0;
    let mut other = 0;
    let mut first_refused_at: Option<Instant> = None;
    for client in clients {
        let Ok(result) = client.join() else { bail!("a client panicked") };
        ok += result.ok;
        other += result.other;
        let refused_at = result.refused_at;
        first_refused_at = Some(first_refused_at.map_or(refused_at, |first| first.min(refused_at)));
    }
    let first_refused_at = first_refused_at.context("no client")?;
    let text = "a connection was refused for the first time".to_owned();
    events.push(TimelineEvent { at: first_refused_at, text });
    join_mixer(mixer_thread)?;
    events.push(TimelineEvent { at: Instant::now(), text: "the mixer has ended".to_owned() });
    events.sort_by_key(|e| e.at);
    for TimelineEvent { at, text } in &events {
        let ms = at.saturating_duration_since(drain_started).as_millis() as i64
            - drain_started.saturating_duration_since(*at).as_millis() as i64;
        println!("{ms:>7} ms {text}");
    }
    println!("{ok} scans were answered 200 meanwhile, {other} otherwise");
    let withdrawn_first = withdrawn.len() == 2 && withdrawn.iter().all(|at| *at < first_refused_at);
    println!("withdrawn before the first refusal: {}", if withdrawn_first { "yes" } else { "no" });
    Ok(withdrawn_first && other == 0)
}

fn join_mixer(mixer: thread::JoinHandle<Result<()>>) -> Result<()> {
    match mixer.join() {
        Ok(result) => result.context("the mixer"),
        Err(_) => bail!("the mixer's thread panicked"),
    }
}

/// Runs the trial. Returns whether every scan was answered and, with `--bgp`, the drain was in order.
pub fn run(args: &TrialArgs) -> Result<bool> {
    let discovery_server = DiscoveryServer::default();
    let discovery = TcpListener::bind("127.0.0.1:0")?;
    let discovery_address = discovery.local_addr()?;
    discovery_server.serve(discovery);
    let (frame_sender, frames) = mpsc::channel();
    let mut searchers = Vec::new();
    for nth in 0..args.searchers {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        searchers.push((listener.local_addr()?, "up"));
        let behavior = if nth < args.hung { SearcherBehavior::Hangs } else { SearcherBehavior::Answers };
        standins::serve_searcher(listener, behavior, frame_sender.clone());
    }
    discovery_server.publish(standins::discovery_list(1, true, &searchers));
    println!("{} searchers, {} of them hang; discovery at {discovery_address}", args.searchers, args.hung);

    let signals = signals::register_handlers()?;
    // A free port, which the mixer binds shortly after.
    let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let start = StartupConfig::read(&startup_config(discovery_address, listen), |_| None)?;
    let reloaders = Reloaders {
        config: |_| bail!("a trial has no file to reload"),
        settings: || bail!("a trial has no file to reload"),
    };
    let peer = args.bgp.then(|| Peer::start(&[PeerBehavior::Conforms]));
    let settings = peer.as_ref().map(bgp_settings).transpose()?.unwrap_or_default();
    // The decision module has to stay in the thread that creates it, so the service is opened there.
    let mixer = thread::spawn(move || Service::open(start, &settings, signals, reloaders)?.run());
    let started = Instant::now();
    while !send_request(listen, "GET /-/ready HTTP/1.1\r\nHost: mixer\r\n\r\n")
        .is_ok_and(|answer| answer.status == 200)
    {
        ensure!(started.elapsed() < READY_TIMEOUT, "the mixer is not ready after {READY_TIMEOUT:?}");
        thread::yield_now();
    }
    println!("mixer at {listen}, ready after {} ms", started.elapsed().as_millis());

    let mut answered = 0;
    for nth in 0..args.scans {
        let (table_type, body) = match nth % 2 {
            0 => ("lookup", LOOKUP),
            _ => ("entry", r#"{"parts":[{"id":3,"w":1.0}],"expr":"enter"}"#),
        };
        let request = request(table_type, &format!("q{nth}"), body);
        let sent_at = Instant::now();
        let Answer { status, body: answer } = send_request(listen, &request)?;
        answered += 1;
        let ms = sent_at.elapsed().as_millis();
        println!("scan q{nth} {table_type}: {status} after {ms} ms {}", answer.trim());
        for frame in frames.try_iter() {
            println!("    a searcher received {}", frame.replace('\n', " | "));
        }
    }
    if let Some(peer) = peer {
        return Ok(drain(&peer, listen, mixer)? && answered == args.scans);
    }
    raise(SIGTERM)?;
    join_mixer(mixer)?;
    println!("{answered} of {} scans answered; the mixer drained and ended", args.scans);
    Ok(answered == args.scans)
}
