//! Links to peers: opening, sending, closing.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::{Interest, Token};
use tracing::debug;

use super::{EventLoop, MAX_OUTGOING_LINKS};
use crate::frame::Frame;

/// Bytes that may be queued for one link, and for all links together.
const MAX_QUEUED_BYTES: usize = 128 * 1024;
const MAX_QUEUED_BYTES_TOTAL: usize = 2 << 20;
/// Delay before a link is opened again. It doubles with each failure and is jittered by [`RETRY_JITTER`].
const MIN_RETRY_DELAY_MS: f64 = 100.0;
const MAX_RETRY_DELAY_MS: f64 = 2000.0;
const RETRY_JITTER: f64 = 0.25;
/// A link that was open for at least this long counts as a success, which resets its retry delay. One that breaks
/// earlier may only have appeared to work.
const STABLE_LINK_MS: f64 = 2000.0;

pub(super) enum LinkState {
    Closed { retry_at_ms: f64 },
    Connecting { stream: TcpStream, since_ms: f64 },
    Open { stream: TcpStream, since_ms: f64 },
}

pub(super) struct QueuedFrame {
    pub(super) droppable: bool,
    pub(super) bytes: Vec<u8>,
}

/// The link to a peer.
pub(super) struct OutgoingLink {
    pub(super) address: SocketAddr,
    pub(super) state: LinkState,
    pub(super) token: usize,
    retry_delay_ms: f64,
    pub(super) queue: VecDeque<QueuedFrame>,
    /// Bytes of the first queued frame that are already written.
    pub(super) written: usize,
    pub(super) queued_bytes: usize,
    /// Bytes received in the reverse direction.
    reverse_buffer: Vec<u8>,
    pub(super) used_at_ms: f64,
    /// Why it was closed last.
    pub(super) close_reason: String,
}

impl OutgoingLink {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            state: LinkState::Closed { retry_at_ms: 0.0 },
            token: 0,
            retry_delay_ms: MIN_RETRY_DELAY_MS,
            queue: VecDeque::new(),
            written: 0,
            queued_bytes: 0,
            reverse_buffer: Vec::new(),
            used_at_ms: 0.0,
            close_reason: "not tried yet".to_owned(),
        }
    }

    pub(super) fn is_closed(&self) -> bool {
        matches!(self.state, LinkState::Closed { .. })
    }

    fn is_open(&self) -> bool {
        matches!(self.state, LinkState::Open { .. })
    }

    /// Whether it has been open for at least that long.
    pub(super) fn open_for(&self, duration_ms: f64, now_ms: f64) -> bool {
        matches!(self.state, LinkState::Open { since_ms, .. } if now_ms - since_ms >= duration_ms)
    }
}

impl EventLoop {
    pub(super) fn send(&mut self, now_ms: f64, name: &str, frame: &Frame) {
        let permanent = self.keeps_permanent_links();
        let Some(link) = self.outgoing.get_mut(name) else { return };
        link.used_at_ms = now_ms;
        if let LinkState::Closed { retry_at_ms } = link.state {
            // In a large fleet the link is opened on demand; the hello is queued before this frame.
            if permanent || now_ms < retry_at_ms {
                self.counters.add("words_unsent");
                return;
            }
            self.open(now_ms, name);
        }
        self.enqueue(name, frame);
    }

    /// Queues a frame. If the queues are full, the oldest droppable frames of this link are dropped.
    fn enqueue(&mut self, name: &str, frame: &Frame) {
        let total_bytes: usize = self.outgoing.values().map(|link| link.queued_bytes).sum();
        let Some(link) = self.outgoing.get_mut(name) else { return };
        let bytes = frame.encode();
        let excess_on_link = (link.queued_bytes + bytes.len()).saturating_sub(MAX_QUEUED_BYTES);
        let excess_in_total = (total_bytes + bytes.len()).saturating_sub(MAX_QUEUED_BYTES_TOTAL);
        let mut excess = excess_on_link.max(excess_in_total);
        link.queued_bytes += bytes.len();
        link.queue.push_back(QueuedFrame { droppable: frame.is_droppable(), bytes });
        let mut index = usize::from(link.written > 0); // a partly written frame has to be completed
        while excess > 0 && index < link.queue.len() {
            if link.queue[index].droppable {
                let dropped = link.queue.remove(index).map_or(0, |frame| frame.bytes.len());
                link.queued_bytes -= dropped;
                excess = excess.saturating_sub(dropped);
                self.counters.add("words_dropped");
            } else {
                index += 1;
            }
        }
    }

    /// Closes an open link that no longer reaches the peer, so that it is opened again. A link that is connecting
    /// already is the new one.
    pub(super) fn reopen(&mut self, now_ms: f64, name: &str) {
        if self.outgoing.get(name).is_some_and(OutgoingLink::is_open) {
            self.close(now_ms, name, "the peer at the other end is down", true);
        }
    }

    pub(super) fn send_hello(&mut self, now_ms: f64, name: &str) {
        let Some(link) = self.outgoing.get_mut(name) else { return };
        match &mut link.state {
            LinkState::Closed { retry_at_ms } => {
                // A message from the peer has just arrived, so the link is retried without delay.
                *retry_at_ms = now_ms;
                link.retry_delay_ms = MIN_RETRY_DELAY_MS;
                if !self.keeps_permanent_links() {
                    self.open(now_ms, name);
                }
            }
            LinkState::Connecting { .. } | LinkState::Open { .. } => {
                let hello = Frame::Hello(self.node.membership.hello_to(now_ms, name));
                self.enqueue(name, &hello);
            }
        }
    }

    pub(super) fn open_closed_links(&mut self, now_ms: f64) {
        if !self.keeps_permanent_links() || !self.node.membership.is_active() {
            return;
        }
        let is_due = |link: &OutgoingLink| matches!(link.state, LinkState::Closed { retry_at_ms } if now_ms >= retry_at_ms);
        let due = self.outgoing.iter().filter(|(_, link)| is_due(link));
        let names: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.open(now_ms, name);
        }
    }

    pub(super) fn open(&mut self, now_ms: f64, name: &str) {
        if self.outgoing.values().filter(|link| !link.is_closed()).count() >= MAX_OUTGOING_LINKS {
            self.close_least_recently_used(now_ms, name);
        }
        let Some(link) = self.outgoing.get_mut(name) else { return };
        self.last_token += 1;
        let token = self.last_token;
        let opened = TcpStream::connect(link.address).and_then(|mut stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(token), interest)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => {
                link.token = token;
                link.state = LinkState::Connecting { stream, since_ms: now_ms };
                self.peer_by_token.insert(token, name.to_owned());
                let hello = Frame::Hello(self.node.membership.hello_to(now_ms, name));
                self.enqueue(name, &hello);
            }
            Err(error) => self.close(now_ms, name, &error.to_string(), false),
        }
    }

    fn close_least_recently_used(&mut self, now_ms: f64, except: &str) {
        let candidates = self.outgoing.iter().filter(|(name, link)| *name != except && !link.is_closed());
        let oldest = candidates.min_by(|a, b| a.1.used_at_ms.total_cmp(&b.1.used_at_ms));
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.close(now_ms, &name, "closed for a link to another peer", true);
        }
    }

    /// Closes the link to a peer and schedules the next attempt.
    pub(super) fn close(&mut self, now_ms: f64, name: &str, reason: &str, retry_soon: bool) {
        let spread = (1.0 - RETRY_JITTER) + 2.0 * RETRY_JITTER * self.rng.rand_float();
        let Some(link) = self.outgoing.get_mut(name) else { return };
        link.retry_delay_ms = if link.open_for(STABLE_LINK_MS, now_ms) || retry_soon {
            MIN_RETRY_DELAY_MS
        } else {
            (link.retry_delay_ms * 2.0).min(MAX_RETRY_DELAY_MS)
        };
        self.peer_by_token.remove(&link.token);
        link.state = LinkState::Closed { retry_at_ms: now_ms + link.retry_delay_ms * spread };
        link.written = 0;
        link.queued_bytes = 0;
        link.queue.clear();
        link.reverse_buffer.clear();
        reason.clone_into(&mut link.close_reason);
        self.counters.add("links_closed");
        debug!(target: "fleet", "link to {name} closed: {reason}");
    }

    /// Handles readiness of the link to a peer.
    pub(super) fn outgoing_ready(&mut self, now_ms: f64, token: usize, writable: bool, readable: bool) {
        let Some(name) = self.peer_by_token.get(&token).cloned() else { return };
        let Some(link) = self.outgoing.get_mut(&name) else { return };
        if writable && let LinkState::Connecting { stream, .. } = &link.state {
            match connection_result(stream) {
                Ok(()) => {
                    let _ = stream.set_nodelay(true); // without it frames are only delayed
                    let closed = LinkState::Closed { retry_at_ms: now_ms };
                    if let LinkState::Connecting { stream, .. } = std::mem::replace(&mut link.state, closed) {
                        link.state = LinkState::Open { stream, since_ms: now_ms };
                    }
                    self.counters.add("links_opened");
                }
                Err(error) if error.kind() == ErrorKind::NotConnected => return,
                Err(error) => return self.close(now_ms, &name, &error.to_string(), false),
            }
        }
        if readable {
            self.read_reverse(now_ms, &name);
        }
        self.flush(now_ms, &name);
    }

    /// Reads the reverse direction of the link to a peer: a rejection or the end of the link.
    fn read_reverse(&mut self, now_ms: f64, name: &str) {
        let Some(link) = self.outgoing.get_mut(name) else { return };
        let LinkState::Open { stream, .. } = &mut link.state else { return };
        let mut chunk = [0; 1024];
        let ended = loop {
            match stream.read(&mut chunk) {
                Ok(0) => break Some("closed by the peer".to_owned()),
                Ok(count) if link.reverse_buffer.len() + count > chunk.len() => {
                    break Some("the peer sends more than a rejection".to_owned());
                }
                Ok(count) => link.reverse_buffer.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break None,
                Err(error) => break Some(error.to_string()),
            }
        };
        match Frame::decode(&link.reverse_buffer) {
            Ok(Some((Frame::Rejected(rejection), _))) => {
                self.counters.add("links_refused_there");
                self.warn("refused there", &format!("{name} rejects the link: {rejection}"));
                self.node.link_rejected(now_ms, &rejection);
                self.close(now_ms, name, &format!("refused: {rejection}"), false);
            }
            Ok(None) if ended.is_none() => {}
            Ok(None) => self.close(now_ms, name, &ended.unwrap_or_default(), false),
            _ => self.close(now_ms, name, "the peer's answer can't be decoded", false),
        }
    }

    pub(super) fn flush(&mut self, now_ms: f64, name: &str) {
        let Some(link) = self.outgoing.get_mut(name) else { return };
        let LinkState::Open { stream, .. } = &mut link.state else { return };
        while let Some(frame) = link.queue.front() {
            match stream.write(&frame.bytes[link.written..]) {
                Ok(0) => return self.close(now_ms, name, "the socket accepts no data", false),
                Ok(count) => {
                    link.written += count;
                    if link.written == frame.bytes.len() {
                        link.queued_bytes -= frame.bytes.len();
                        link.written = 0;
                        link.queue.pop_front();
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => return self.close(now_ms, name, &error.to_string(), false),
            }
        }
    }
}

/// Whether a non-blocking connect has succeeded; `NotConnected` while it is still in progress.
fn connection_result(stream: &TcpStream) -> io::Result<()> {
    if let Some(error) = stream.take_error()? {
        return Err(error);
    }
    stream.peer_addr().map(|_| ())
}
