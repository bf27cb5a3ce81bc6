//! A stand-in BGP peer on loopback. It reads and writes with another project's codec, so that ours is not held against
//! itself, and records what it is told with its own times.

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

/// RFC 8326, by its number.
const GRACEFUL_SHUTDOWN: u32 = 0xFFFF_0000;

/// What a peer does on each of its connections, one after the other; the last goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerBehavior {
    /// Speaks as it should.
    Conforms,
    /// Is up, and then ends the connection without a word.
    Flaps,
    /// Names another AS.
    WrongAs,
    /// Sends half a message and then nothing.
    SendsPartialMessage,
    /// Sends an UPDATE of which a field can't be told from the next.
    SendsMalformedUpdate,
    /// Sends as many routes as this, some thousand at a time.
    FloodsRoutes(u32),
    /// Is up, and never reads again.
    StopsReading,
    /// Says nothing at all.
    Silent,
    /// Sends its OPEN, and no KEEPALIVE.
    SendsOpenOnly,
    /// Ends the session with an administrative reset: before its OPEN, after it, once it is up.
    ResetsBeforeOpen,
    ResetsAfterOpen,
    ResetsEstablished,
    /// Has the mixer's own AS and identifier.
    DuplicateIdentity,
}

/// What was heard, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerEvent {
    pub at: Instant,
    pub text: String,
}

/// A peer that listens, and what it has heard.
pub struct Peer {
    pub address: SocketAddr,
    heard: Receiver<PeerEvent>,
    /// The connection that is up, for what the test wants said on it.
    up: Arc<Mutex<Option<TcpStream>>>,
}

impl Peer {
    /// # Panics
    /// If no port is to be had.
    pub fn start(manners: &[PeerBehavior]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (to, heard) = mpsc::channel();
        let manners = manners.to_vec();
        let up: Arc<Mutex<Option<TcpStream>>> = Arc::default();
        let held = up.clone();
        thread::spawn(move || {
            for (nth, stream) in listener.incoming().flatten().enumerate() {
                let manner = manners[nth.min(manners.len() - 1)];
                let (to, held) = (to.clone(), held.clone());
                thread::spawn(move || {
                    serve(BgpConnection::new(stream), manner, &to, &held);
                    let _ = to.send(PeerEvent { at: Instant::now(), text: "closed".to_owned() }); // or the test is over
                });
            }
        });
        Self { address, heard, up }
    }

    /// The next that is heard.
    ///
    /// # Panics
    /// If nothing is for 20 s.
    pub fn next_event(&self) -> PeerEvent {
        self.heard.recv_timeout(Duration::from_secs(20)).expect("something is heard")
    }

    /// Waits for one thing; what was heard before it.
    pub fn wait_for(&self, what: &str) -> (PeerEvent, Vec<String>) {
        let mut before = Vec::new();
        loop {
            let heard = self.heard.recv_timeout(Duration::from_secs(20));
            let heard = heard.unwrap_or_else(|_| panic!("waits for {what:?}, heard {before:?}"));
            if heard.text.starts_with(what) {
                return (heard, before);
            }
            before.push(heard.text);
        }
    }

    pub fn pending_events(&self) -> Vec<PeerEvent> {
        self.heard.try_iter().collect()
    }

    /// Says this on the connection that is up.
    ///
    /// # Panics
    /// If none is.
    pub fn send(&self, bytes: &[u8]) {
        let mut up = self.up.lock().expect("no holder fails");
        up.as_mut().expect("a session is up").write_all(bytes).expect("it takes bytes");
    }
}

/// An UPDATE by which somebody else's route to an address of /32 is told: over that next hop, by a path without the
/// mixer's AS, and as a last resort if it is so.
pub fn announce_update(address: Ipv4Addr, next_hop: Ipv4Addr, last: bool) -> Vec<u8> {
    let mut attributes = vec![0x40, 1, 1, 0, 0x40, 2, 6, 2, 1, 0, 0, 0xFC, 1, 0x40, 3, 4];
    attributes.extend(next_hop.octets());
    if last {
        attributes.extend([0xC0, 8, 4]);
        attributes.extend(GRACEFUL_SHUTDOWN.to_be_bytes());
    }
    let mut body = vec![0, 0, 0, attributes.len() as u8];
    body.extend(attributes);
    body.push(32);
    body.extend(address.octets());
    update(&body)
}

/// An UPDATE by which a route to an address of /32 goes.
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

/// One end of a connection, spoken with the other codec.
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

    /// Sends an OPEN of both families with a hold time of 9 s; whether it went out.
    pub fn open(&mut self, asn: u32, id: Ipv4Addr) -> bool {
        let multi =
            |family| BgpCapability::MultiProtocolExtensions(MultiProtocolExtensionsCapability::new(family));
        let capabilities: Vec<BgpCapability> = vec![
            multi(AddressType::Ipv4Unicast),
            multi(AddressType::Ipv6Unicast),
            BgpCapability::RouteRefresh,
            BgpCapability::FourOctetAs(FourOctetAsCapability::new(asn)),
        ];
        let parameters = vec![BgpOpenMessageParameter::Capabilities(capabilities.into())];
        self.write(BgpMessage::Open(BgpOpenMessage::new(asn as u16, 9, id, parameters)))
    }

    pub fn keepalive(&mut self) -> bool {
        self.write(BgpMessage::KeepAlive)
    }

    /// Cease, administrative reset.
    pub fn reset(&mut self) -> bool {
        let mut bytes = vec![0xFF; 16];
        bytes.extend([0, 21, 3, 6, 4]);
        self.stream.write_all(&bytes).is_ok()
    }

    /// The next message; none at the connection's end, or where it can't be read.
    pub fn next_message(&mut self) -> Result<Option<BgpMessage>, String> {
        let mut piece = [0; 4096];
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some((message, _))) => return Ok(Some(message)),
                Ok(None) => match self.stream.read(&mut piece) {
                    Ok(count) if count > 0 => self.buffer.extend_from_slice(&piece[..count]),
                    _ => return Ok(None),
                },
                Err(error) => return Err(format!("can't be read: {error}")),
            }
        }
    }

    /// The next message in words; `closed` at the end.
    pub fn describe_next(&mut self) -> String {
        match self.next_message() {
            Ok(Some(message)) => words(&message).join(", "),
            Ok(None) => "closed".to_owned(),
            Err(error) => error,
        }
    }
}

fn words(message: &BgpMessage) -> Vec<String> {
    match message {
        BgpMessage::Open(open) => vec![format!("open {} hold {}", open.my_asn4(), open.hold_time())],
        BgpMessage::Update(update) => lines(update),
        BgpMessage::Notification(told) => vec![format!("notification {told:?}")],
        BgpMessage::KeepAlive => vec!["keepalive".to_owned()],
        BgpMessage::RouteRefresh(_) => vec!["refresh".to_owned()],
    }
}

fn serve(
    mut wire: BgpConnection,
    manner: PeerBehavior,
    to: &Sender<PeerEvent>,
    held: &Mutex<Option<TcpStream>>,
) {
    let mut up = false;
    let tell = |what: String| drop(to.send(PeerEvent { at: Instant::now(), text: what })); // or the test is over
    loop {
        let message = match wire.next_message() {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(error) => return tell(error),
        };
        match message {
            BgpMessage::Open(_) => {
                words(&message).into_iter().for_each(tell);
                let (asn, id) = match manner {
                    PeerBehavior::WrongAs => (64_999, Ipv4Addr::new(10, 0, 0, 9)),
                    PeerBehavior::DuplicateIdentity => (64_512, Ipv4Addr::new(10, 0, 0, 1)),
                    _ => (64_513, Ipv4Addr::new(10, 0, 0, 9)),
                };
                match manner {
                    PeerBehavior::Silent => continue,
                    PeerBehavior::ResetsBeforeOpen => drop(wire.reset()),
                    _ => drop(wire.open(asn, id)),
                }
                match manner {
                    PeerBehavior::SendsOpenOnly | PeerBehavior::ResetsBeforeOpen => {}
                    PeerBehavior::ResetsAfterOpen => drop(wire.reset()),
                    _ => drop(wire.keepalive()),
                }
            }
            BgpMessage::KeepAlive => {
                if manner == PeerBehavior::SendsOpenOnly || std::mem::replace(&mut up, true) {
                    if !matches!(manner, PeerBehavior::SendsPartialMessage | PeerBehavior::SendsOpenOnly) {
                        wire.keepalive();
                    }
                    continue;
                }
                *held.lock().expect("no holder fails") = wire.stream.try_clone().ok();
                tell("up".to_owned());
                match manner {
                    PeerBehavior::Flaps => return,
                    PeerBehavior::ResetsEstablished => drop(wire.reset()),
                    PeerBehavior::SendsPartialMessage => drop(wire.stream.write_all(&[0xFF; 9])),
                    PeerBehavior::SendsMalformedUpdate => drop(wire.stream.write_all(&update(&[0, 9, 0, 0]))),
                    PeerBehavior::FloodsRoutes(routes) => flood(&mut wire.stream, routes),
                    PeerBehavior::StopsReading => loop {
                        thread::park();
                    },
                    _ => {}
                }
            }
            other => words(&other).into_iter().for_each(tell),
        }
    }
}

/// Routes of /24, a thousand in a message, with the three attributes that must be there.
fn flood(stream: &mut TcpStream, routes: u32) {
    for from in (0..routes).step_by(1000) {
        let attributes = [0x40, 1, 1, 0, 0x40, 2, 6, 2, 1, 0, 0, 0xFC, 1, 0x40, 3, 4, 10, 0, 0, 9];
        let mut body = vec![0, 0, 0, attributes.len() as u8];
        body.extend(attributes);
        for n in from..(from + 1000).min(routes) {
            body.extend([24, (n >> 16) as u8, (n >> 8) as u8, n as u8]);
        }
        if stream.write_all(&update(&body)).is_err() {
            return;
        }
    }
}

fn lines(update: &netgauze_bgp_pkt::update::BgpUpdateMessage) -> Vec<String> {
    let mut lines: Vec<String> =
        update.withdraw_routes().iter().map(|r| format!("withdraw {}", r.network().address())).collect();
    let (mut announced, mut shut, mut path) = (Vec::new(), "", 0);
    announced.extend(update.nlri().iter().map(|r| r.network().address().to_string()));
    for attribute in update.path_attributes() {
        match attribute.value() {
            PathAttributeValue::Communities(communities)
                if communities.communities().iter().any(|c| c.value() == GRACEFUL_SHUTDOWN) =>
            {
                shut = ", depreferenced";
            }
            PathAttributeValue::AsPath(netgauze_bgp_pkt::path_attribute::AsPath::As4PathSegments(
                segments,
            )) => {
                path = segments.iter().map(|s| s.as_numbers().len()).sum();
            }
            PathAttributeValue::MpReach(MpReach::Ipv6Unicast { nlri, .. }) => {
                announced.extend(nlri.iter().map(|r| r.network().address().to_string()));
            }
            PathAttributeValue::MpUnreach(MpUnreach::Ipv6Unicast { nlri }) => {
                lines.extend(nlri.iter().map(|r| format!("withdraw {}", r.network().address())));
            }
            _ => {}
        }
    }
    lines.extend(announced.into_iter().map(|p| format!("announce {p}, path of {path}{shut}")));
    lines
}
