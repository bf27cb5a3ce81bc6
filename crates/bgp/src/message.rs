//! Messages to bytes and back (RFC 4271 section 4).
//!
//! Reading never allocates more than the message's own bytes. A message that can't be read gives a [`Refusal`], which
//! carries the NOTIFICATION that answers it (section 6); an UPDATE whose attributes are faulty is read as far as RFC 7606
//! allows: its routes are taken as withdrawn, and the session lives on.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};

/// Bytes of a message's header: marker, length, type.
pub const HEADER: usize = 19;
/// Longest message (RFC 4271 section 4.1).
pub const LONGEST: usize = 4096;
/// In place of an AS number over 65,535 (RFC 6793 section 9).
pub const AS_TRANS: u16 = 23456;
/// Depreferenced routes carry it (RFC 8326 section 5).
pub const GRACEFUL_SHUTDOWN: u32 = 0xFFFF_0000;
/// Longest words in a shutdown (RFC 9003 section 2), in bytes.
pub const LONGEST_WORDS: usize = 255;

/// What routes a session carries (RFC 4760).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Family {
    V4,
    V6,
}

impl Family {
    pub fn of(prefix: &IpNet) -> Self {
        if matches!(prefix, IpNet::V4(_)) { Self::V4 } else { Self::V6 }
    }

    fn code(self) -> u16 {
        match self {
            Self::V4 => 1,
            Self::V6 => 2,
        }
    }

    fn read(afi: u16, safi: u8) -> Option<Self> {
        match (afi, safi) {
            (1, 1) => Some(Self::V4),
            (2, 1) => Some(Self::V6),
            _ => None,
        }
    }
}

/// OPEN (section 4.2) with the capabilities that count here (RFC 5492).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    pub asn: u32,
    /// Seconds; zero, or three at least.
    pub hold_s: u16,
    pub id: Ipv4Addr,
    pub families: Vec<Family>,
    /// Numbers of the AS have four octets (RFC 6793).
    pub four_octets: bool,
    /// ROUTE-REFRESH is understood (RFC 2918).
    pub refresh: bool,
}

/// Attributes of the routes that this speaker originates.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attributes {
    /// AS numbers, the nearest first; empty towards a peer of the same AS.
    pub path: Vec<u32>,
    pub next_hop: IpAddr,
    pub med: Option<u32>,
    /// Only towards a peer of the same AS.
    pub local_pref: Option<u32>,
    /// RFC 1997, ascending.
    pub communities: Vec<u32>,
    /// RFC 8092, ascending.
    pub large: Vec<(u32, u32, u32)>,
}

/// UPDATE (section 4.3): routes of one family with one set of attributes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    pub withdrawn: Vec<IpNet>,
    pub announced: Vec<IpNet>,
    /// Present with routes announced.
    pub attributes: Option<Attributes>,
}

/// What a peer's UPDATE came to: counted, and of no other routes than those that are watched anything kept (see
/// [`read_routes`]).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    pub announced: u32,
    pub withdrawn: u32,
    /// Attributes that were passed over or that turned the announcement into a withdrawal (RFC 7606).
    pub faulty: u32,
    /// Of the watched prefixes that it names, in its order: none is a withdrawal.
    pub watched: Vec<(IpNet, Option<Seen>)>,
}

/// What tells whose a route is that a peer holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub next_hop: Option<IpAddr>,
    /// Who brought it into the AS, by a route reflector's word (RFC 4456 section 8).
    pub originator: Option<Ipv4Addr>,
    /// The AS that watches stands in its path.
    pub own_as: bool,
    /// It carries [`GRACEFUL_SHUTDOWN`].
    pub last: bool,
}

/// Prefixes of which it counts whether a peer holds a route, and the AS that asks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Watch {
    pub prefixes: Vec<IpNet>,
    pub asn: u32,
}

/// NOTIFICATION (section 4.5).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification {
    pub code: u8,
    pub subcode: u8,
    pub data: Vec<u8>,
}

/// Codes of section 4.5 and subcodes of sections 6.1 to 6.6 and RFC 4486, 6608, 5492.
pub mod code {
    pub const HEADER: u8 = 1;
    pub const OPEN: u8 = 2;
    pub const UPDATE: u8 = 3;
    pub const HOLD: u8 = 4;
    pub const STATE: u8 = 5;
    pub const CEASE: u8 = 6;
    pub const NOT_SYNCHRONISED: u8 = 1;
    pub const BAD_LENGTH: u8 = 2;
    pub const BAD_TYPE: u8 = 3;
    pub const BAD_VERSION: u8 = 1;
    pub const BAD_PEER_AS: u8 = 2;
    pub const BAD_ID: u8 = 3;
    pub const BAD_PARAMETER: u8 = 4;
    pub const BAD_HOLD: u8 = 6;
    pub const BAD_CAPABILITY: u8 = 7;
    pub const MALFORMED_ATTRIBUTES: u8 = 1;
    pub const MOST_PREFIXES: u8 = 1;
    pub const SHUTDOWN: u8 = 2;
    pub const PEER_REMOVED: u8 = 3;
    pub const RECONFIGURED: u8 = 6;
    pub const COLLISION: u8 = 7;
}

impl Notification {
    pub fn new(code: u8, subcode: u8) -> Self {
        Self { code, subcode, data: Vec::new() }
    }

    /// Cease, administrative shutdown, with words for people (RFC 9003); cut at a letter if they are too long.
    pub fn shutdown(words: &str) -> Self {
        let mut end = words.len().min(LONGEST_WORDS);
        while !words.is_char_boundary(end) {
            end -= 1;
        }
        let mut data = vec![end as u8];
        data.extend_from_slice(&words.as_bytes()[..end]);
        Self { code: code::CEASE, subcode: code::SHUTDOWN, data }
    }

    /// The words of a shutdown or reset, if it carries any that can be read.
    pub fn words(&self) -> Option<&str> {
        let (2 | 4, code::CEASE) = (self.subcode, self.code) else { return None };
        let (length, rest) = self.data.split_first()?;
        std::str::from_utf8(rest.get(..usize::from(*length))?).ok().filter(|words| !words.is_empty())
    }
}

impl fmt::Display for Notification {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match (self.code, self.subcode) {
            (1, 1) => "connection not synchronised",
            (1, 2) => "bad message length",
            (1, 3) => "bad message type",
            (2, 1) => "unsupported version",
            (2, 2) => "bad peer AS",
            (2, 3) => "bad BGP identifier",
            (2, 4) => "unsupported optional parameter",
            (2, 6) => "unacceptable hold time",
            (2, 7) => "unsupported capability",
            (3, _) => "malformed update",
            (4, _) => "hold timer expired",
            (5, _) => "message not expected in this state",
            (6, 1) => "most prefixes reached",
            (6, 2) => "administrative shutdown",
            (6, 3) => "peer taken out of the configuration",
            (6, 4) => "administrative reset",
            (6, 5) => "connection rejected",
            (6, 6) => "other configuration change",
            (6, 7) => "connection collision",
            (6, 8) => "out of resources",
            _ => "unknown error",
        };
        write!(f, "{}/{} {name}", self.code, self.subcode)?;
        self.words().map_or(Ok(()), |words| write!(f, ": {words}"))
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    Open(Open),
    /// Of a peer: counted, not kept.
    Update(Routes),
    Notification(Notification),
    Keepalive,
    Refresh(Family),
    /// Of a family that is not spoken here.
    RefreshOther,
}

/// A message that can't be read, and what answers it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal(pub Notification);

fn refuse<T>(code: u8, subcode: u8, data: &[u8]) -> Result<T, Refusal> {
    Err(Refusal(Notification { code, subcode, data: data.to_vec() }))
}

/// The length of the first message, once its header is there (section 6.1).
///
/// # Errors
/// If marker, length or type can't be.
pub fn length(bytes: &[u8]) -> Result<Option<usize>, Refusal> {
    let seen = bytes.len().min(16);
    if bytes[..seen].iter().any(|b| *b != 0xFF) {
        return refuse(code::HEADER, code::NOT_SYNCHRONISED, &[]);
    }
    let Some(header) = bytes.get(..HEADER) else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes([header[16], header[17]]));
    let least = match header[18] {
        1 => 29,
        2 | 5 => 23,
        3 => 21,
        4 => 19,
        _ => return refuse(code::HEADER, code::BAD_TYPE, &header[18..19]),
    };
    let exact = matches!(header[18], 4 | 5);
    if length < least || length > LONGEST || exact && length != least {
        return refuse(code::HEADER, code::BAD_LENGTH, &header[16..18]);
    }
    Ok(Some(length))
}

/// Reads one whole message, of the length that [`length`] gave. `four_octets`: as agreed on in the OPENs; `watch`: what is
/// told of more than its number.
///
/// # Errors
/// What answers it.
pub fn read(bytes: &[u8], four_octets: bool, watch: &Watch) -> Result<Message, Refusal> {
    let Some(length) = length(bytes)?.filter(|l| *l == bytes.len()) else {
        return refuse(code::HEADER, code::BAD_LENGTH, &[]);
    };
    let body = &bytes[HEADER..length];
    match bytes[18] {
        1 => read_open(body).map(Message::Open),
        2 => read_routes(body, four_octets, watch).map(Message::Update),
        3 => Ok(Message::Notification(Notification {
            code: body[0],
            subcode: body[1],
            data: body[2..].to_vec(),
        })),
        4 => Ok(Message::Keepalive),
        _ => {
            let family = Family::read(u16::from_be_bytes([body[0], body[1]]), body[3]);
            Ok(family.map_or(Message::RefreshOther, Message::Refresh))
        }
    }
}

/// Takes what a reader needs from the front of bytes.
struct Cut<'a>(&'a [u8]);

impl<'a> Cut<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (front, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(front)
    }

    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }

    fn pair(&mut self) -> Option<u16> {
        self.take(2).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }
}

fn four(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}

fn read_open(body: &[u8]) -> Result<Open, Refusal> {
    if body[0] != 4 {
        return refuse(code::OPEN, code::BAD_VERSION, &[0, 4]);
    }
    let asn = u16::from_be_bytes([body[1], body[2]]);
    let hold_s = u16::from_be_bytes([body[3], body[4]]);
    if hold_s == 1 || hold_s == 2 {
        return refuse(code::OPEN, code::BAD_HOLD, &[]);
    }
    let id = Ipv4Addr::new(body[5], body[6], body[7], body[8]);
    if id.is_unspecified() {
        return refuse(code::OPEN, code::BAD_ID, &[]);
    }
    let mut open =
        Open { asn: u32::from(asn), hold_s, id, families: Vec::new(), four_octets: false, refresh: false };
    let broken = || Refusal(Notification::new(code::OPEN, 0));
    let mut parameters = Cut(&body[10..]);
    let mut length = usize::from(body[9]);
    // Parameters longer than 255 bytes (RFC 9072).
    let extended = length == 255 && parameters.0.first() == Some(&255);
    if extended {
        parameters.byte();
        length = usize::from(parameters.pair().ok_or_else(broken)?);
    }
    if parameters.0.len() != length {
        return Err(broken());
    }
    let (mut multi, mut told) = (false, false);
    while let Some(kind) = parameters.byte() {
        let length = if extended { parameters.pair() } else { parameters.byte().map(u16::from) };
        let value = length.and_then(|l| parameters.take(usize::from(l))).ok_or_else(broken)?;
        if kind != 2 {
            return refuse(code::OPEN, code::BAD_PARAMETER, &[]);
        }
        let mut capabilities = Cut(value);
        while let Some(capability) = capabilities.byte() {
            let length = capabilities.byte().ok_or_else(broken)?;
            let value = capabilities.take(usize::from(length)).ok_or_else(broken)?;
            match (capability, value) {
                (1, [a, b, _, safi]) => {
                    multi = true;
                    let family = Family::read(u16::from_be_bytes([*a, *b]), *safi);
                    open.families.extend(family.filter(|f| !open.families.contains(f)));
                }
                (2, []) => open.refresh = true,
                (65, value) if value.len() == 4 => {
                    told = true;
                    open.asn = four(value).unwrap_or(0);
                    open.four_octets = true;
                }
                _ => {}
            }
        }
    }
    // Who says nothing of families speaks of IPv4 (RFC 4760 section 8).
    if !multi {
        open.families.push(Family::V4);
    }
    open.families.sort();
    if open.asn == 0 || told && asn != AS_TRANS && u32::from(asn) != open.asn {
        return refuse(code::OPEN, code::BAD_PEER_AS, &[]);
    }
    Ok(open)
}

/// Walks the prefixes of a field; their number, or none if one can't be.
fn prefixes(field: &[u8], family: Family, mut each: impl FnMut(IpNet)) -> Option<u32> {
    let (mut field, mut count) = (Cut(field), 0);
    while let Some(bits) = field.byte() {
        let widest = if family == Family::V4 { 32 } else { 128 };
        if bits > widest {
            return None;
        }
        let octets = field.take(usize::from(bits).div_ceil(8))?;
        let mut all = [0; 16];
        all[..octets.len()].copy_from_slice(octets);
        let net = match family {
            Family::V4 => {
                Ipv4Net::new(Ipv4Addr::new(all[0], all[1], all[2], all[3]), bits).ok().map(IpNet::V4)
            }
            Family::V6 => Ipv6Net::new(Ipv6Addr::from(all), bits).ok().map(IpNet::V6),
        };
        // Bits beyond the length are of no account (RFC 4271 section 4.3).
        net.into_iter().for_each(|net| each(net.trunc()));
        count += 1;
    }
    Some(count)
}

/// Counts the routes of an UPDATE and checks its attributes (RFC 7606): what can be told is told, nothing is kept.
///
/// # Errors
/// If the fields themselves can't be told apart, or a prefix can't be read: the session has to end (section 5.3).
pub fn read_routes(body: &[u8], four_octets: bool, watch: &Watch) -> Result<Routes, Refusal> {
    let malformed = || Refusal(Notification::new(code::UPDATE, code::MALFORMED_ATTRIBUTES));
    let mut rest = Cut(body);
    let length = rest.pair().ok_or_else(malformed)?;
    let withdrawn = rest.take(usize::from(length)).ok_or_else(malformed)?;
    let length = rest.pair().ok_or_else(malformed)?;
    let attributes = rest.take(usize::from(length)).ok_or_else(malformed)?;
    let bad_field = || Refusal(Notification::new(code::UPDATE, 10));
    let mut watched: Vec<(IpNet, bool)> = Vec::new();
    let mut note = |net: IpNet, reach: bool| {
        // A prefix counts once a message and way, so that no message costs more than is watched.
        if watch.prefixes.contains(&net) && !watched.contains(&(net, reach)) {
            watched.push((net, reach));
        }
    };
    let mut routes = Routes {
        withdrawn: prefixes(withdrawn, Family::V4, |net| note(net, false)).ok_or_else(bad_field)?,
        announced: prefixes(rest.0, Family::V4, |net| note(net, true)).ok_or_else(bad_field)?,
        ..Routes::default()
    };
    let mut told = Seen::default();
    let (mut seen, mut treat_as_withdrawn) = ([false; 256], false);
    let (mut multi_announced, mut unreadable) = (0, false);
    let mut field = Cut(attributes);
    while !field.0.is_empty() {
        let head = field.take(2).map(|h| (h[0], h[1]));
        let length =
            head.and_then(
                |(flags, _)| {
                    if flags & 0x10 != 0 { field.pair() } else { field.byte().map(u16::from) }
                },
            );
        let value = length.and_then(|l| field.take(usize::from(l)));
        let (Some((flags, kind)), Some(value)) = (head, value) else {
            // The attributes end in the middle of one: what stands before it counts, the routes do not.
            (treat_as_withdrawn, unreadable) = (true, true);
            break;
        };
        if std::mem::replace(&mut seen[usize::from(kind)], true) {
            if matches!(kind, 14 | 15) {
                return Err(malformed());
            }
            routes.faulty += 1;
            continue;
        }
        let class = flags & 0xC0;
        let sound = match kind {
            1 => class == 0x40 && matches!(value, [0..=2]),
            2 => class == 0x40 && path_reads(value, four_octets),
            3 => class == 0x40 && value.len() == 4,
            4 => class == 0x80 && value.len() == 4,
            5 => value.len() == 4,
            8 => class == 0xC0 && !value.is_empty() && value.len().is_multiple_of(4),
            32 => class == 0xC0 && !value.is_empty() && value.len().is_multiple_of(12),
            9 => class == 0x80 && value.len() == 4,
            14 => {
                let (count, hop) = read_multi(value, true, |net| note(net, true))
                    .ok_or_else(|| Refusal(Notification::new(code::UPDATE, 9)))?;
                multi_announced = count;
                told.next_hop = hop.or(told.next_hop);
                class == 0x80
            }
            15 => {
                let (gone, _) = read_multi(value, false, |net| note(net, false))
                    .ok_or_else(|| Refusal(Notification::new(code::UPDATE, 9)))?;
                routes.withdrawn += gone;
                class == 0x80
            }
            // Well-known ones are all above; others that claim to be well known are not.
            _ => flags & 0x80 != 0,
        };
        if !sound {
            routes.faulty += 1;
            treat_as_withdrawn = true;
            continue;
        }
        match kind {
            2 => told.own_as = path_holds(value, four_octets, watch.asn),
            3 => told.next_hop = four(value).map(|hop| IpAddr::V4(Ipv4Addr::from(hop))),
            8 => told.last = value.chunks(4).any(|c| four(c) == Some(GRACEFUL_SHUTDOWN)),
            9 => told.originator = four(value).map(Ipv4Addr::from),
            _ => {}
        }
    }
    let announces = routes.announced + multi_announced > 0;
    let lacks = !seen[1] || !seen[2] || routes.announced > 0 && !seen[3];
    if announces && lacks && !unreadable {
        routes.faulty += 1;
        treat_as_withdrawn = true;
    }
    routes.faulty += u32::from(unreadable);
    routes.announced += multi_announced;
    if treat_as_withdrawn {
        routes.withdrawn += std::mem::take(&mut routes.announced);
    }
    let seen = |reach: bool| Some(told).filter(|_| reach && !treat_as_withdrawn);
    routes.watched = watched.into_iter().map(|(net, reach)| (net, seen(reach))).collect();
    // Of a prefix in both fields, the announcement counts (RFC 4271 section 4.3).
    routes.watched.sort_by_key(|(net, seen)| (*net, seen.is_some()));
    Ok(routes)
}

fn path_reads(value: &[u8], four_octets: bool) -> bool {
    let mut path = Cut(value);
    while let Some(kind) = path.byte() {
        let Some(count) = path.byte().filter(|c| *c > 0) else { return false };
        let size = if four_octets { 4 } else { 2 };
        if !(1..=4).contains(&kind) || path.take(usize::from(count) * size).is_none() {
            return false;
        }
    }
    true
}

fn path_holds(value: &[u8], four_octets: bool, asn: u32) -> bool {
    let mut path = Cut(value);
    let size = if four_octets { 4 } else { 2 };
    while let (Some(_), Some(count)) = (path.byte(), path.byte()) {
        let Some(numbers) = path.take(usize::from(count) * size) else { return false };
        let number = |n: &[u8]| n.iter().fold(0, |sum, b| sum << 8 | u32::from(*b));
        if numbers.chunks(size).any(|n| number(n) == asn) {
            return true;
        }
    }
    false
}

/// MP_REACH_NLRI and MP_UNREACH_NLRI (RFC 4760 sections 3 and 4): the number of prefixes, and the next hop.
fn read_multi(value: &[u8], reach: bool, each: impl FnMut(IpNet)) -> Option<(u32, Option<IpAddr>)> {
    let mut field = Cut(value);
    let (afi, safi) = (field.pair()?, field.byte()?);
    let mut hop = None;
    if reach {
        let length = field.byte()?;
        let octets = field.take(usize::from(length))?;
        // A link-local address may follow the global one (RFC 2545 section 3).
        let wide = octets.get(..16).and_then(|o| <[u8; 16]>::try_from(o).ok()).map(Ipv6Addr::from);
        hop = wide.map(IpAddr::V6).or_else(|| four(octets).map(|hop| IpAddr::V4(Ipv4Addr::from(hop))));
        field.byte()?;
    }
    let count = match Family::read(afi, safi) {
        Some(family) => prefixes(field.0, family, each)?,
        None => 0,
    };
    Some((count, hop))
}

fn framed(kind: u8, body: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = vec![0xFF; 16];
    bytes.extend([0, 0, kind]);
    body(&mut bytes);
    let length = (bytes.len() as u16).to_be_bytes();
    bytes[16..18].copy_from_slice(&length);
    bytes
}

impl Open {
    /// The message, with one parameter for each capability.
    pub fn write(&self) -> Vec<u8> {
        framed(1, |bytes| {
            let short = u16::try_from(self.asn).unwrap_or(AS_TRANS);
            bytes.push(4);
            bytes.extend(short.to_be_bytes());
            bytes.extend(self.hold_s.to_be_bytes());
            bytes.extend(self.id.octets());
            let mut capabilities = Vec::new();
            for family in &self.families {
                let code = family.code().to_be_bytes();
                capabilities.extend([1, 4, code[0], code[1], 0, 1]);
            }
            if self.refresh {
                capabilities.extend([2, 0]);
            }
            if self.four_octets {
                capabilities.extend([65, 4]);
                capabilities.extend(self.asn.to_be_bytes());
            }
            if capabilities.is_empty() {
                bytes.push(0);
                return;
            }
            bytes.extend([capabilities.len() as u8 + 2, 2, capabilities.len() as u8]);
            bytes.extend(capabilities);
        })
    }
}

impl Notification {
    pub fn write(&self) -> Vec<u8> {
        framed(3, |bytes| {
            bytes.extend([self.code, self.subcode]);
            bytes.extend(&self.data[..self.data.len().min(LONGEST - HEADER - 2)]);
        })
    }
}

/// KEEPALIVE (section 4.4).
pub fn keepalive() -> Vec<u8> {
    framed(4, |_| {})
}

/// ROUTE-REFRESH (RFC 2918 section 3).
pub fn refresh(family: Family) -> Vec<u8> {
    framed(5, |bytes| {
        bytes.extend(family.code().to_be_bytes());
        bytes.extend([0, 1]);
    })
}

fn write_prefix(bytes: &mut Vec<u8>, prefix: &IpNet) {
    let whole = usize::from(prefix.prefix_len()).div_ceil(8);
    bytes.push(prefix.prefix_len());
    match prefix.trunc() {
        IpNet::V4(net) => bytes.extend(&net.addr().octets()[..whole]),
        IpNet::V6(net) => bytes.extend(&net.addr().octets()[..whole]),
    }
}

/// An attribute with as long a length as it needs.
fn attribute(bytes: &mut Vec<u8>, flags: u8, kind: u8, value: &[u8]) {
    match u8::try_from(value.len()) {
        Ok(length) => bytes.extend([flags, kind, length]),
        Err(_) => {
            bytes.extend([flags | 0x10, kind]);
            bytes.extend((value.len() as u16).to_be_bytes());
        }
    }
    bytes.extend(value);
}

/// Bytes of a prefix at most: its length and sixteen octets.
const PREFIX: usize = 17;

impl Update {
    /// As many messages as it takes, each of one family and no longer than a message may be.
    pub fn write(&self, four_octets: bool) -> Vec<Vec<u8>> {
        let mut messages = Vec::new();
        for family in [Family::V4, Family::V6] {
            let of = |routes: &[IpNet]| routes.iter().copied().filter(|p| Family::of(p) == family).collect();
            let (withdrawn, announced): (Vec<IpNet>, Vec<IpNet>) = (of(&self.withdrawn), of(&self.announced));
            let most = (LONGEST - HEADER - 4 - 64) / PREFIX;
            for some in withdrawn.chunks(most) {
                messages.push(write_routes(family, some, &[], None, four_octets));
            }
            let Some(attributes) = &self.attributes else { continue };
            let most = (LONGEST - HEADER - 4 - 64).saturating_sub(attributes.size()) / PREFIX;
            for some in announced.chunks(most.max(1)) {
                messages.push(write_routes(family, &[], some, Some(attributes), four_octets));
            }
        }
        messages
    }

    /// End-of-RIB (RFC 4724 section 2): nothing more of this family for now.
    pub fn end(family: Family) -> Vec<u8> {
        write_routes(family, &[], &[], None, true)
    }
}

impl Attributes {
    /// Bytes that they take at most.
    fn size(&self) -> usize {
        self.path.len() * 4 + self.communities.len() * 4 + self.large.len() * 12 + 64
    }

    fn write(&self, bytes: &mut Vec<u8>, v4: bool, four_octets: bool) {
        attribute(bytes, 0x40, 1, &[0]);
        let segments = |four_octets: bool| {
            let mut value = Vec::new();
            for some in self.path.chunks(255) {
                value.extend([2, some.len() as u8]);
                for asn in some {
                    match four_octets {
                        true => value.extend(asn.to_be_bytes()),
                        false => value.extend(u16::try_from(*asn).unwrap_or(AS_TRANS).to_be_bytes()),
                    }
                }
            }
            value
        };
        attribute(bytes, 0x40, 2, &segments(four_octets));
        if let (true, IpAddr::V4(hop)) = (v4, self.next_hop) {
            attribute(bytes, 0x40, 3, &hop.octets());
        }
        if let Some(med) = self.med {
            attribute(bytes, 0x80, 4, &med.to_be_bytes());
        }
        if let Some(pref) = self.local_pref {
            attribute(bytes, 0x40, 5, &pref.to_be_bytes());
        }
        if !self.communities.is_empty() {
            let value: Vec<u8> = self.communities.iter().flat_map(|c| c.to_be_bytes()).collect();
            attribute(bytes, 0xC0, 8, &value);
        }
        // The whole path for those beyond who know four octets (RFC 6793 section 4.2.2).
        if !four_octets && self.path.iter().any(|asn| *asn > u32::from(u16::MAX)) {
            attribute(bytes, 0xC0, 17, &segments(true));
        }
        if !self.large.is_empty() {
            let four = |c: &(u32, u32, u32)| {
                [c.0, c.1, c.2].into_iter().flat_map(u32::to_be_bytes).collect::<Vec<_>>()
            };
            attribute(bytes, 0xC0, 32, &self.large.iter().flat_map(four).collect::<Vec<u8>>());
        }
    }
}

fn write_routes(
    family: Family,
    withdrawn: &[IpNet],
    announced: &[IpNet],
    attributes: Option<&Attributes>,
    four_octets: bool,
) -> Vec<u8> {
    let field = |routes: &[IpNet]| {
        let mut bytes = Vec::new();
        routes.iter().for_each(|p| write_prefix(&mut bytes, p));
        bytes
    };
    let mut values = Vec::new();
    let v4 = family == Family::V4;
    if let Some(attributes) = attributes.filter(|_| !announced.is_empty()) {
        if !v4 {
            let mut reach = vec![0, 2, 1, 16];
            let hop = match attributes.next_hop {
                IpAddr::V6(hop) => hop,
                IpAddr::V4(hop) => hop.to_ipv6_mapped(),
            };
            reach.extend(hop.octets());
            reach.push(0);
            reach.extend(field(announced));
            attribute(&mut values, 0x80, 14, &reach);
        }
        attributes.write(&mut values, v4, four_octets);
    } else if !v4 {
        let mut unreach = vec![0, 2, 1];
        unreach.extend(field(withdrawn));
        attribute(&mut values, 0x80, 15, &unreach);
    }
    framed(2, |bytes| {
        let gone = if v4 { field(withdrawn) } else { Vec::new() };
        bytes.extend((gone.len() as u16).to_be_bytes());
        bytes.extend(gone);
        bytes.extend((values.len() as u16).to_be_bytes());
        bytes.extend(values);
        if v4 {
            bytes.extend(field(announced));
        }
    })
}

/// The prefixes of an UPDATE as a stand-in or a test wants to see them: withdrawn, then announced.
pub fn routes_of(message: &[u8]) -> Option<(Vec<IpNet>, Vec<IpNet>)> {
    let mut rest = Cut(message.get(HEADER..)?);
    let (mut withdrawn, mut announced) = (Vec::new(), Vec::new());
    let length = rest.pair()?;
    prefixes(rest.take(usize::from(length))?, Family::V4, |net| withdrawn.push(net))?;
    let length = rest.pair()?;
    let mut field = Cut(rest.take(usize::from(length))?);
    prefixes(rest.0, Family::V4, |net| announced.push(net))?;
    while let Some(flags) = field.byte() {
        let kind = field.byte()?;
        let length = if flags & 0x10 != 0 { field.pair()? } else { u16::from(field.byte()?) };
        let value = field.take(usize::from(length))?;
        match (kind, value) {
            (14, [0, 2, 1, hop, rest @ ..]) => {
                let rest = rest.get(usize::from(*hop) + 1..)?;
                prefixes(rest, Family::V6, |net| announced.push(net))?;
            }
            (15, [0, 2, 1, rest @ ..]) => {
                prefixes(rest, Family::V6, |net| withdrawn.push(net))?;
            }
            _ => {}
        }
    }
    Some((withdrawn, announced))
}
