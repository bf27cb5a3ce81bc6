//! A stand-in BGP peer on loopback. It reads and writes with another project's codec, so that ours is not held against
//! itself, and records what it is told with its own times.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
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
pub enum Manner {
    /// Speaks as it should.
    Speaks,
    /// Is up, and then ends the connection without a word.
    Flaps,
    /// Names another AS.
    WrongAs,
    /// Sends half a message and then nothing.
    Half,
    /// Sends an UPDATE of which a field can't be told from the next.
    Malformed,
    /// Sends as many routes as this, some thousand at a time.
    Floods(u32),
    /// Is up, and never reads again.
    Deaf,
}

/// What was heard, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Heard {
    pub at: Instant,
    pub what: String,
}

/// A peer that listens, and what it has heard.
pub struct Peer {
    pub address: SocketAddr,
    heard: Receiver<Heard>,
}

impl Peer {
    /// # Panics
    /// If no port is to be had.
    pub fn start(manners: &[Manner]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (to, heard) = mpsc::channel();
        let manners = manners.to_vec();
        thread::spawn(move || {
            for (nth, stream) in listener.incoming().flatten().enumerate() {
                let manner = manners[nth.min(manners.len() - 1)];
                let to = to.clone();
                thread::spawn(move || {
                    serve(stream, manner, &to);
                    let _ = to.send(Heard { at: Instant::now(), what: "closed".to_owned() }); // or the test is over
                });
            }
        });
        Self { address, heard }
    }

    /// The next that is heard.
    ///
    /// # Panics
    /// If nothing is for 20 s.
    pub fn next(&self) -> Heard {
        self.heard.recv_timeout(Duration::from_secs(20)).expect("something is heard")
    }

    /// Waits for one thing; what was heard before it.
    pub fn until(&self, what: &str) -> (Heard, Vec<String>) {
        let mut before = Vec::new();
        loop {
            let heard = self.next();
            if heard.what.starts_with(what) {
                return (heard, before);
            }
            before.push(heard.what);
        }
    }

    pub fn rest(&self) -> Vec<Heard> {
        self.heard.try_iter().collect()
    }
}

fn write(stream: &mut TcpStream, codec: &mut BgpCodec, message: BgpMessage) -> bool {
    let mut bytes = BytesMut::new();
    codec.encode(message, &mut bytes).is_ok() && stream.write_all(&bytes).is_ok()
}

fn serve(mut stream: TcpStream, manner: Manner, to: &Sender<Heard>) {
    let mut codec = BgpCodec::new(true);
    let (mut buffer, mut piece) = (BytesMut::new(), [0; 4096]);
    let mut up = false;
    let tell = |what: String| to.send(Heard { at: Instant::now(), what }).is_ok();
    loop {
        match codec.decode(&mut buffer) {
            Ok(Some((message, _))) => match message {
                BgpMessage::Open(open) => {
                    tell(format!("open {} hold {}", open.my_asn4(), open.hold_time()));
                    let asn = if manner == Manner::WrongAs { 64_999 } else { 64_513 };
                    let multi = |family| {
                        BgpCapability::MultiProtocolExtensions(MultiProtocolExtensionsCapability::new(family))
                    };
                    let capabilities: Vec<BgpCapability> = vec![
                        multi(AddressType::Ipv4Unicast),
                        multi(AddressType::Ipv6Unicast),
                        BgpCapability::FourOctetAs(FourOctetAsCapability::new(asn)),
                    ];
                    let parameters = vec![BgpOpenMessageParameter::Capabilities(capabilities.into())];
                    let id = Ipv4Addr::new(10, 0, 0, 9);
                    let open = BgpOpenMessage::new(asn as u16, 9, id, parameters);
                    if !write(&mut stream, &mut codec, BgpMessage::Open(open)) {
                        return;
                    }
                    write(&mut stream, &mut codec, BgpMessage::KeepAlive);
                }
                BgpMessage::KeepAlive => {
                    if std::mem::replace(&mut up, true) {
                        if manner != Manner::Half {
                            write(&mut stream, &mut codec, BgpMessage::KeepAlive);
                        }
                        continue;
                    }
                    tell("up".to_owned());
                    match manner {
                        Manner::Flaps => return,
                        Manner::Half => drop(stream.write_all(&[0xFF; 9])),
                        Manner::Malformed => {
                            let mut bytes = vec![0xFF; 16];
                            bytes.extend([0, 23, 2, 0, 9, 0, 0]);
                            drop(stream.write_all(&bytes));
                        }
                        Manner::Floods(routes) => flood(&mut stream, routes),
                        Manner::Deaf => loop {
                            thread::park();
                        },
                        Manner::Speaks | Manner::WrongAs => {}
                    }
                }
                BgpMessage::Update(update) => {
                    for line in lines(&update) {
                        tell(line);
                    }
                }
                BgpMessage::Notification(told) => drop(tell(format!("notification {told:?}"))),
                BgpMessage::RouteRefresh(_) => drop(tell("refresh".to_owned())),
            },
            Ok(None) => match stream.read(&mut piece) {
                Ok(count) if count > 0 => buffer.extend_from_slice(&piece[..count]),
                _ => return,
            },
            Err(error) => {
                tell(format!("can't be read: {error}"));
                return;
            }
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
        let mut bytes = vec![0xFF; 16];
        bytes.extend((19 + body.len() as u16).to_be_bytes());
        bytes.push(2);
        bytes.extend(body);
        if stream.write_all(&bytes).is_err() {
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
