//! A stand-in BGP peer on loopback. It uses another project's codec, so that this project's codec is not tested against
//! itself, and it records what it receives with its own timestamps.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use netgauze_bgp_pkt::BgpMessage;
use netgauze_bgp_pkt::capabilities::{
    BgpCapability, FourOctetAsCapability, MultiProtocolExtensionsCapability,
};
use netgauze_bgp_pkt::codec::BgpCodec;
use netgauze_bgp_pkt::open::{BgpOpenMessage, BgpOpenMessageParameter};
use netgauze_bgp_pkt::path_attribute::{MpReach, MpUnreach, PathAttributeValue};
use netgauze_iana::address_family::AddressType;
use tokio_util::codec::{Decoder, Encoder};

/// The `GRACEFUL_SHUTDOWN` community of RFC 8326.
const GRACEFUL_SHUTDOWN: u32 = 0xFFFF_0000;
/// AS and identifier of a mixer under test.
const MIXER_ASN: u32 = 64_512;
const MIXER_ID: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
/// AS and identifier of the peer.
const PEER_ASN: u32 = 64_513;
const PEER_ID: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);
/// An AS that the mixer does not expect.
const WRONG_ASN: u32 = 64_999;
/// Hold time that the peer proposes.
const HOLD_TIME_S: u16 = 9;
/// How long [`Peer::next_event`] and [`Peer::wait_for`] wait for an event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Routes in one UPDATE of a flood.
const FLOOD_ROUTES_PER_UPDATE: u32 = 1000;

/// What a peer does on a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerBehavior {
    /// Follows the protocol.
    Conforms,
    /// Establishes the session, then closes the connection without a NOTIFICATION.
    Flaps,
    /// Sends an OPEN with an unexpected AS.
    WrongAs,
    /// Sends an incomplete message and then nothing.
    SendsPartialMessage,
    /// Sends an UPDATE whose length fields are inconsistent.
    SendsMalformedUpdate,
    /// Announces this many routes, a thousand per message.
    FloodsRoutes(u32),
    /// Establishes the session and never reads again.
    StopsReading,
    /// Sends nothing at all.
    Silent,
    /// Sends an OPEN and no KEEPALIVE.
    SendsOpenOnly,
    /// Sends an administrative reset in place of its OPEN.
    ResetsBeforeOpen,
    /// Sends an administrative reset after its OPEN.
    ResetsAfterOpen,
    /// Sends an administrative reset once the session is established.
    ResetsEstablished,
    /// Uses the mixer's own AS and identifier.
    DuplicateIdentity,
}

/// A message or a change of state, as text, and when the peer saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerEvent {
    pub at: Instant,
    pub text: String,
}

/// A listening peer.
pub struct Peer {
    pub address: SocketAddr,
    events: Receiver<PeerEvent>,
    /// The connection of the established session.
    established: Arc<Mutex<Option<TcpStream>>>,
}

impl Peer {
    /// Starts a peer. The nth connection gets the nth behavior, and all further ones the last.
    ///
    /// # Panics
    /// If no port is free.
    pub fn start(behaviors: &[PeerBehavior]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener's address");
        let (sender, events) = mpsc::channel();
        let behaviors = behaviors.to_vec();
        let established: Arc<Mutex<Option<TcpStream>>> = Arc::default();
        let shared = established.clone();
        thread::spawn(move || {
            for (nth, stream) in listener.incoming().flatten().enumerate() {
                let behavior = behaviors[nth.min(behaviors.len() - 1)];
                let (sender, established) = (sender.clone(), shared.clone());
                thread::spawn(move || {
                    serve(BgpConnection::new(stream), behavior, &sender, &established);
                    // The test may have ended.
                    let _ = sender.send(PeerEvent { at: Instant::now(), text: "closed".to_owned() });
                });
            }
        });
        Self { address, events, established }
    }

    /// The next event.
    ///
    /// # Panics
    /// If there is none within 20 s.
    pub fn next_event(&self) -> PeerEvent {
        self.events.recv_timeout(EVENT_TIMEOUT).expect("an event within 20 s")
    }

    /// Waits for an event whose text starts with `prefix`; returns it and the texts of those before it.
    ///
    /// # Panics
    /// If no event arrives for 20 s.
    pub fn wait_for(&self, prefix: &str) -> (PeerEvent, Vec<String>) {
        let mut before = Vec::new();
        loop {
            let event = self.events.recv_timeout(EVENT_TIMEOUT);
            let event = event.unwrap_or_else(|_| panic!("no event {prefix:?} in time, received {before:?}"));
            if event.text.starts_with(prefix) {
                return (event, before);
            }
            before.push(event.text);
        }
    }

    /// The events that have not been read yet.
    pub fn pending_events(&self) -> Vec<PeerEvent> {
        self.events.try_iter().collect()
    }

    /// Sends these bytes on the established session.
    ///
    /// # Panics
    /// If there is none.
    pub fn send(&self, bytes: &[u8]) {
        let mut connection = self.established.lock().expect("no thread panics while it holds the lock");
        connection
            .as_mut()
            .expect("an established session")
            .write_all(bytes)
            .expect("the connection accepts bytes");
    }
}

/// An UPDATE that announces another speaker's /32 route to `address`: its AS path does not contain the mixer's AS. A route
/// of last resort carries the `GRACEFUL_SHUTDOWN` community.
pub fn announce_update(address: Ipv4Addr, next_hop: Ipv4Addr, is_last_resort: bool) -> Vec<u8> {
    let mut attributes = vec![0x40, 1, 1, 0, 0x40, 2, 6, 2, 1, 0, 0, 0xFC, 1, 0x40, 3, 4];
    attributes.extend(next_hop.octets());
    if is_last_resort {
        attributes.extend([0xC0, 8, 4]);
        attributes.extend(GRACEFUL_SHUTDOWN.to_be_bytes());
    }
    let mut body = vec![0, 0, 0, attributes.len() as u8];
    body.extend(attributes);
    body.push(32);
    body.extend(address.octets());
    update(&body)
}

/// An UPDATE that withdraws the /32 route to `address`.
pub fn withdraw_update(address: Ipv4Addr) -> Vec<u8> {
    let mut body = vec![0, 5, 32];
    body.extend(address.octets());
    body.extend([0, 0]);
    update(&body)
}

fn update(body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0xFF; 16];
    bytes.extend((19 + body.len() as u16).to_be_bytes());
    bytes.push(2);
    bytes.extend(body);
    bytes
}

/// One end of a BGP connection, encoded and decoded by the other project's codec.
pub struct BgpConnection {
    stream: TcpStream,
    codec: BgpCodec,
    buffer: BytesMut,
}

impl BgpConnection {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, codec: BgpCodec::new(true), buffer: BytesMut::new() }
    }

    fn write(&mut self, message: BgpMessage) -> bool {
        let mut bytes = BytesMut::new();
        self.codec.encode(message, &mut bytes).is_ok() && self.stream.write_all(&bytes).is_ok()
    }

    /// Sends an OPEN with both address families and a hold time of 9 s; whether it was written.
    pub fn open(&mut self, asn: u32, id: Ipv4Addr) -> bool {
        let multiprotocol =
            |family| BgpCapability::MultiProtocolExtensions(MultiProtocolExtensionsCapability::new(family));
        let capabilities: Vec<BgpCapability> = vec![
            multiprotocol(AddressType::Ipv4Unicast),
            multiprotocol(AddressType::Ipv6Unicast),
            BgpCapability::RouteRefresh,
            BgpCapability::FourOctetAs(FourOctetAsCapability::new(asn)),
        ];
        let parameters = vec![BgpOpenMessageParameter::Capabilities(capabilities.into())];
        self.write(BgpMessage::Open(BgpOpenMessage::new(asn as u16, HOLD_TIME_S, id, parameters)))
    }

    pub fn keepalive(&mut self) -> bool {
        self.write(BgpMessage::KeepAlive)
    }

    /// Sends a NOTIFICATION: cease, administrative reset.
    pub fn reset(&mut self) -> bool {
        let mut bytes = vec![0xFF; 16];
        bytes.extend([0, 21, 3, 6, 4]);
        self.stream.write_all(&bytes).is_ok()
    }

    /// The next message; `None` at the end of the connection, an error for a message that can't be decoded.
    pub fn next_message(&mut self) -> Result<Option<BgpMessage>, String> {
        let mut chunk = [0; 4096];
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some((message, _))) => return Ok(Some(message)),
                Ok(None) => match self.stream.read(&mut chunk) {
                    Ok(count) if count > 0 => self.buffer.extend_from_slice(&chunk[..count]),
                    _ => return Ok(None),
                },
                Err(error) => return Err(format!("can't be decoded: {error}")),
            }
        }
    }

    /// A description of the next message; `closed` at the end of the connection.
    pub fn describe_next(&mut self) -> String {
        match self.next_message() {
            Ok(Some(message)) => describe(&message).join(", "),
            Ok(None) => "closed".to_owned(),
            Err(error) => error,
        }
    }
}

/// One line for each change that a message makes.
fn describe(message: &BgpMessage) -> Vec<String> {
    match message {
        BgpMessage::Open(open) => vec![format!("open {} hold {}", open.my_asn4(), open.hold_time())],
        BgpMessage::Update(update) => describe_update(update),
        BgpMessage::Notification(notification) => vec![format!("notification {notification:?}")],
        BgpMessage::KeepAlive => vec!["keepalive".to_owned()],
        BgpMessage::RouteRefresh(_) => vec!["refresh".to_owned()],
    }
}

fn serve(
    mut connection: BgpConnection,
    behavior: PeerBehavior,
    events: &Sender<PeerEvent>,
    established: &Mutex<Option<TcpStream>>,
) {
    let mut is_up = false;
    // The test may have ended.
    let report = |text: String| drop(events.send(PeerEvent { at: Instant::now(), text }));
    loop {
        let message = match connection.next_message() {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(error) => return report(error),
        };
        match message {
            BgpMessage::Open(_) => {
                describe(&message).into_iter().for_each(report);
                answer_open(&mut connection, behavior);
            }
            BgpMessage::KeepAlive => {
                if behavior == PeerBehavior::SendsOpenOnly || std::mem::replace(&mut is_up, true) {
                    if !matches!(behavior, PeerBehavior::SendsPartialMessage | PeerBehavior::SendsOpenOnly) {
                        connection.keepalive();
                    }
                    continue;
                }
                *established.lock().expect("no thread panics while it holds the lock") =
                    connection.stream.try_clone().ok();
                report("up".to_owned());
                if behavior == PeerBehavior::Flaps {
                    return;
                }
                act_when_established(&mut connection, behavior);
            }
            other => describe(&other).into_iter().for_each(report),
        }
    }
}

/// Answers the mixer's OPEN.
fn answer_open(connection: &mut BgpConnection, behavior: PeerBehavior) {
    let (asn, id) = match behavior {
        PeerBehavior::WrongAs => (WRONG_ASN, PEER_ID),
        PeerBehavior::DuplicateIdentity => (MIXER_ASN, MIXER_ID),
        _ => (PEER_ASN, PEER_ID),
    };
    match behavior {
        PeerBehavior::Silent => return,
        PeerBehavior::ResetsBeforeOpen => drop(connection.reset()),
        _ => drop(connection.open(asn, id)),
    }
    match behavior {
        PeerBehavior::SendsOpenOnly | PeerBehavior::ResetsBeforeOpen => {}
        PeerBehavior::ResetsAfterOpen => drop(connection.reset()),
        _ => drop(connection.keepalive()),
    }
}

/// What the peer does as soon as the session is established.
fn act_when_established(connection: &mut BgpConnection, behavior: PeerBehavior) {
    match behavior {
        PeerBehavior::ResetsEstablished => drop(connection.reset()),
        PeerBehavior::SendsPartialMessage => drop(connection.stream.write_all(&[0xFF; 9])),
        PeerBehavior::SendsMalformedUpdate => {
            drop(connection.stream.write_all(&update(&[0, 9, 0, 0])));
        }
        PeerBehavior::FloodsRoutes(routes) => flood(&mut connection.stream, routes),
        PeerBehavior::StopsReading => loop {
            thread::park();
        },
        _ => {}
    }
}

/// Announces /24 routes, a thousand per message, with only the mandatory attributes.
fn flood(stream: &mut TcpStream, routes: u32) {
    for first in (0..routes).step_by(FLOOD_ROUTES_PER_UPDATE as usize) {
        let attributes = [0x40, 1, 1, 0, 0x40, 2, 6, 2, 1, 0, 0, 0xFC, 1, 0x40, 3, 4, 10, 0, 0, 9];
        let mut body = vec![0, 0, 0, attributes.len() as u8];
        body.extend(attributes);
        for route in first..(first + FLOOD_ROUTES_PER_UPDATE).min(routes) {
            body.extend([24, (route >> 16) as u8, (route >> 8) as u8, route as u8]);
        }
        if stream.write_all(&update(&body)).is_err() {
            return;
        }
    }
}

/// One line for each route that an UPDATE withdraws or announces.
fn describe_update(update: &netgauze_bgp_pkt::update::BgpUpdateMessage) -> Vec<String> {
    let withdrawn = update.withdraw_routes().iter();
    let mut lines: Vec<String> =
        withdrawn.map(|route| format!("withdraw {}", route.network().address())).collect();
    let (mut announced, mut preference, mut path_length) = (Vec::new(), "", 0);
    announced.extend(update.nlri().iter().map(|route| route.network().address().to_string()));
    for attribute in update.path_attributes() {
        match attribute.value() {
            PathAttributeValue::Communities(communities)
                if communities.communities().iter().any(|c| c.value() == GRACEFUL_SHUTDOWN) =>
            {
                preference = ", depreferenced";
            }
            PathAttributeValue::AsPath(netgauze_bgp_pkt::path_attribute::AsPath::As4PathSegments(
                segments,
            )) => {
                path_length = segments.iter().map(|segment| segment.as_numbers().len()).sum();
            }
            PathAttributeValue::MpReach(MpReach::Ipv6Unicast { nlri, .. }) => {
                announced.extend(nlri.iter().map(|route| route.network().address().to_string()));
            }
            PathAttributeValue::MpUnreach(MpUnreach::Ipv6Unicast { nlri }) => {
                lines.extend(nlri.iter().map(|route| format!("withdraw {}", route.network().address())));
            }
            _ => {}
        }
    }
    lines.extend(
        announced.into_iter().map(|prefix| format!("announce {prefix}, path of {path_length}{preference}")),
    );
    lines
}
