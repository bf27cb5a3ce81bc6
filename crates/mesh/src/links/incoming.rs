//! Links from peers: accepting, reading, handling what arrives, closing.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr};

use mio::net::TcpStream;
use mio::{Interest, Token};
use pewterwharf_peers::{Hello, Incarnation, KnownIncarnation, LinkRejection};
use tracing::debug;

use super::{EventLoop, MAX_INCOMING_LINKS};
use crate::frame::{Frame, FrameError, MAX_FRAME_BYTES};

/// Bytes of incomplete frames that may be buffered for all links together.
const MAX_BUFFERED_BYTES_TOTAL: usize = 2 << 20;
/// Rate and burst at which one link is read, so that one peer can't keep the thread from the others.
const READ_BYTES_PER_S: f64 = 4.0 * 1024.0 * 1024.0;
const READ_BURST_BYTES: f64 = 256.0 * 1024.0;

/// The sender of an incoming link.
#[derive(Clone)]
pub(super) struct LinkPeer {
    pub(super) name: String,
    incarnation: Incarnation,
}

/// A link from a peer.
pub(super) struct IncomingLink {
    pub(super) stream: TcpStream,
    /// Known once the peer has sent its hello.
    pub(super) peer: Option<LinkPeer>,
    pub(super) ip: IpAddr,
    buffer: Vec<u8>,
    pub(super) since_ms: f64,
    received_at_ms: f64,
    read_tokens_bytes: f64,
    refilled_at_ms: f64,
}

impl IncomingLink {
    pub(super) fn new(stream: TcpStream, ip: IpAddr, now_ms: f64) -> Self {
        Self {
            stream,
            peer: None,
            ip,
            buffer: Vec::new(),
            since_ms: now_ms,
            received_at_ms: now_ms,
            read_tokens_bytes: READ_BURST_BYTES,
            refilled_at_ms: now_ms,
        }
    }

    /// Reads into the buffer, within the allowance of the link and the size of two frames.
    pub(super) fn read(&mut self, now_ms: f64) -> ReadResult {
        let elapsed_ms = now_ms - self.refilled_at_ms;
        self.read_tokens_bytes =
            (self.read_tokens_bytes + elapsed_ms * READ_BYTES_PER_S / 1000.0).min(READ_BURST_BYTES);
        self.refilled_at_ms = now_ms;
        let mut chunk = [0; 8192];
        let mut bytes = 0;
        loop {
            if self.read_tokens_bytes <= 0.0 {
                return ReadResult { bytes, has_more: true, is_closed: false };
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return ReadResult { bytes, has_more: false, is_closed: true },
                Ok(count) => {
                    bytes += count;
                    self.read_tokens_bytes -= count as f64;
                    self.received_at_ms = now_ms;
                    self.buffer.extend_from_slice(&chunk[..count]);
                    if self.buffer.len() > 2 * MAX_FRAME_BYTES {
                        return ReadResult { bytes, has_more: true, is_closed: false };
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return ReadResult { bytes, has_more: false, is_closed: false };
                }
                Err(_) => return ReadResult { bytes, has_more: false, is_closed: true },
            }
        }
    }

    pub(super) fn is_from(&self, name: &str) -> bool {
        self.peer.as_ref().is_some_and(|peer| peer.name == name)
    }
}

/// Result of reading a link from a peer.
pub(super) struct ReadResult {
    pub(super) bytes: usize,
    /// More bytes may be available; reading stopped at a limit.
    has_more: bool,
    /// The link has ended or failed.
    pub(super) is_closed: bool,
}

/// Why a link from a peer is closed.
pub(super) enum CloseReason {
    Closed,
    Unreadable(FrameError),
    Rejected(LinkRejection),
    BuffersFull,
}

impl EventLoop {
    pub(super) fn accept(&mut self, now_ms: f64) {
        loop {
            match self.listener.accept() {
                Ok((stream, address)) => self.accepted(now_ms, stream, address),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => {
                    // For example because no descriptors are left. The listener becomes ready again with the
                    // next connection.
                    self.warn("accept", &format!("accepting a link failed: {error}"));
                    return;
                }
            }
        }
    }

    pub(super) fn accepted(&mut self, now_ms: f64, mut stream: TcpStream, address: SocketAddr) {
        if !self.peer_ips.contains(&address.ip()) {
            self.counters.add("links_of_strangers");
            let line = format!("rejecting a link from {address}: no configured peer has this address");
            self.warn("stranger", &line);
            return;
        }
        if self.incoming.len() >= MAX_INCOMING_LINKS {
            self.close_longest_silent_incoming();
            self.counters.add("links_made_room");
        }
        self.last_token += 1;
        let token = self.last_token;
        if self.poll.registry().register(&mut stream, Token(token), Interest::READABLE).is_err() {
            return;
        }
        self.incoming.insert(token, IncomingLink::new(stream, address.ip(), now_ms));
        self.readable.insert(token);
        self.counters.add("links_taken");
    }

    fn close_longest_silent_incoming(&mut self) {
        let oldest = self.incoming.iter().min_by(|a, b| a.1.received_at_ms.total_cmp(&b.1.received_at_ms));
        if let Some(token) = oldest.map(|(token, _)| *token) {
            self.incoming.remove(&token);
        }
    }

    /// Reads a link from a peer within its allowance.
    pub(super) fn read_incoming(&mut self, now_ms: f64, token: usize) {
        let buffered_bytes: usize = self.incoming.values().map(|link| link.buffer.len()).sum();
        let Some(link) = self.incoming.get_mut(&token) else { return };
        let ReadResult { bytes, has_more, is_closed } = link.read(now_ms);
        if has_more {
            self.readable.insert(token);
        }
        let mut close_reason = is_closed.then_some(CloseReason::Closed);
        if buffered_bytes + bytes > MAX_BUFFERED_BYTES_TOTAL {
            close_reason = Some(CloseReason::BuffersFull);
        }
        if let Err(reason) = self.handle_frames(now_ms, token) {
            close_reason = Some(reason);
        }
        if let Some(reason) = close_reason {
            self.close_incoming(token, reason);
        }
    }

    /// Handles the complete frames in the buffer of a link.
    fn handle_frames(&mut self, now_ms: f64, token: usize) -> Result<(), CloseReason> {
        let Some(link) = self.incoming.get_mut(&token) else { return Ok(()) };
        let mut buffer = std::mem::take(&mut link.buffer);
        let mut used = 0;
        let result = loop {
            match Frame::decode(&buffer[used..]) {
                Ok(None) => break Ok(()),
                Ok(Some((frame, length))) => {
                    used += length;
                    if let Err(reason) = self.handle_frame(now_ms, token, frame) {
                        break Err(reason);
                    }
                }
                Err(FrameError::FormatMismatch(theirs)) => {
                    let ours = pewterwharf_peers::FORMAT;
                    break Err(CloseReason::Rejected(LinkRejection::FormatMismatch { theirs, ours }));
                }
                Err(error) => break Err(CloseReason::Unreadable(error)),
            }
        };
        buffer.drain(..used);
        if buffer.is_empty() {
            buffer = Vec::new(); // frees the memory
        }
        if let Some(link) = self.incoming.get_mut(&token) {
            link.buffer = buffer;
        }
        result
    }

    fn handle_frame(&mut self, now_ms: f64, token: usize, frame: Frame) -> Result<(), CloseReason> {
        let Some(link) = self.incoming.get(&token) else { return Ok(()) };
        match (frame, link.peer.clone()) {
            (Frame::Hello(hello), peer) => self.handle_hello(now_ms, token, hello, peer),
            (_, None) => Err(CloseReason::Unreadable(FrameError::Malformed)),
            (frame, Some(peer)) => {
                self.counters.add("words_heard");
                let output = self.node.handle_frame(now_ms, &peer.name, peer.incarnation, frame);
                self.apply_output(now_ms, output);
                Ok(())
            }
        }
    }

    fn handle_hello(
        &mut self,
        now_ms: f64,
        token: usize,
        hello: Hello,
        peer: Option<LinkPeer>,
    ) -> Result<(), CloseReason> {
        let Some(link) = self.incoming.get(&token) else { return Ok(()) };
        let has_configured_ip =
            self.outgoing.get(&hello.name).is_none_or(|outgoing| outgoing.address.ip() == link.ip);
        if !has_configured_ip || peer.is_some_and(|peer| peer.name != hello.name) {
            return Err(CloseReason::Rejected(LinkRejection::UnknownName(hello.name)));
        }
        self.node.handle_hello(now_ms, &hello).map_err(CloseReason::Rejected)?;
        // A new link of a mixer replaces its earlier one.
        let earlier = self.incoming.iter().filter(|(t, link)| **t != token && link.is_from(&hello.name));
        let earlier: Vec<usize> = earlier.map(|(t, _)| *t).collect();
        for token in &earlier {
            self.incoming.remove(token);
        }
        if let Some(link) = self.incoming.get_mut(&token) {
            link.peer = Some(LinkPeer { name: hello.name, incarnation: hello.incarnation });
        }
        Ok(())
    }

    /// Closes the links from earlier incarnations of a name, with the reason.
    pub(super) fn close_superseded_links(&mut self, now_ms: f64, name: &str, by: KnownIncarnation) {
        let is_earlier = |link: &IncomingLink| {
            link.peer.as_ref().is_some_and(|peer| peer.name == name && peer.incarnation < by.incarnation)
        };
        let earlier = self.incoming.iter().filter(|(_, link)| is_earlier(link));
        let tokens: Vec<usize> = earlier.map(|(token, _)| *token).collect();
        for token in tokens {
            self.close_incoming(token, CloseReason::Rejected(LinkRejection::Superseded(by)));
        }
        // Droppable frames that were queued for the earlier incarnation are of no use to the later one.
        if let Some(link) = self.outgoing.get_mut(name)
            && link.written == 0
        {
            let queued = link.queue.len();
            link.queue.retain(|frame| !frame.droppable);
            link.queued_bytes = link.queue.iter().map(|frame| frame.bytes.len()).sum();
            if queued != link.queue.len() {
                link.used_at_ms = now_ms;
            }
        }
    }

    pub(super) fn close_incoming(&mut self, token: usize, reason: CloseReason) {
        let Some(mut link) = self.incoming.remove(&token) else { return };
        let from = link.peer.as_ref().map_or_else(|| link.ip.to_string(), |peer| peer.name.clone());
        match reason {
            CloseReason::Closed => debug!(target: "fleet", "link from {from} closed"),
            CloseReason::Unreadable(error) => {
                self.counters.add("links_unreadable");
                self.warn("unreadable", &format!("closing the link from {from}: {error}"));
            }
            CloseReason::BuffersFull => {
                self.counters.add("links_no_room");
                let line = format!("closing the link from {from}: too many bytes of incomplete frames");
                self.warn("no room", &line);
            }
            CloseReason::Rejected(rejection) => {
                self.counters.add("links_refused");
                self.warn("refused", &format!("rejecting the link from {from}: {rejection}"));
                // Best effort: the frame fits into the socket's send buffer.
                let _ = link.stream.write(&Frame::Rejected(rejection).encode());
                let _ = link.stream.shutdown(Shutdown::Write);
            }
        }
    }
}
