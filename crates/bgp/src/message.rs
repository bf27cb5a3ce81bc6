//! Encoding and decoding of BGP messages (RFC 4271 section 4).
//!
//! Decoding never allocates more than the size of the message. A message that cannot be decoded yields a [`MessageError`]
//! with the NOTIFICATION to send in reply (section 6). An UPDATE with malformed attributes is handled by RFC 7606: where
//! the RFC allows it, its routes are treated as withdrawn and the session stays up.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};

/// Length of a message header in bytes: marker, length, type.
pub const HEADER_LEN: usize = 19;
/// Maximum length of a message in bytes (RFC 4271 section 4.1).
pub const MAX_MESSAGE_LEN: usize = 4096;
/// Replaces an AS number above 65,535 in a two-octet field (RFC 6793 section 9).
pub const AS_TRANS: u16 = 23456;
/// Well-known community GRACEFUL_SHUTDOWN, attached to depreferenced routes (RFC 8326 section 5).
pub const GRACEFUL_SHUTDOWN: u32 = 0xFFFF_0000;
/// Maximum length in bytes of a shutdown communication (RFC 9003 section 2).
pub const MAX_SHUTDOWN_TEXT_LEN: usize = 255;

/// Length of the marker at the start of each message, in bytes.
const MARKER_LEN: usize = 16;
/// Protocol version in OPEN.
const VERSION: u8 = 4;
/// Optional parameter of OPEN that holds capabilities (RFC 5492).
const PARAMETER_CAPABILITIES: u8 = 2;
/// Subsequent address family identifier of unicast routes.
const SAFI_UNICAST: u8 = 1;
/// ORIGIN value IGP.
const ORIGIN_IGP: u8 = 0;
/// AS_PATH segment type AS_SEQUENCE.
const AS_SEQUENCE: u8 = 2;

/// Message types (RFC 4271 section 4.1, RFC 2918).
mod kind {
    pub const OPEN: u8 = 1;
    pub const UPDATE: u8 = 2;
    pub const NOTIFICATION: u8 = 3;
    pub const KEEPALIVE: u8 = 4;
    pub const ROUTE_REFRESH: u8 = 5;
}

/// Capability codes (RFC 5492).
mod capability {
    pub const MULTIPROTOCOL: u8 = 1;
    pub const ROUTE_REFRESH: u8 = 2;
    pub const FOUR_OCTET_ASN: u8 = 65;
}

/// Attribute flags (RFC 4271 section 4.3).
mod flag {
    pub const OPTIONAL: u8 = 0x80;
    pub const TRANSITIVE: u8 = 0x40;
    pub const EXTENDED_LENGTH: u8 = 0x10;
}

const OPTIONAL_TRANSITIVE: u8 = flag::OPTIONAL | flag::TRANSITIVE;

/// Attribute type codes.
mod attribute {
    pub const ORIGIN: u8 = 1;
    pub const AS_PATH: u8 = 2;
    pub const NEXT_HOP: u8 = 3;
    pub const MULTI_EXIT_DISC: u8 = 4;
    pub const LOCAL_PREF: u8 = 5;
    pub const COMMUNITIES: u8 = 8;
    pub const ORIGINATOR_ID: u8 = 9;
    pub const MP_REACH_NLRI: u8 = 14;
    pub const MP_UNREACH_NLRI: u8 = 15;
    pub const AS4_PATH: u8 = 17;
    pub const LARGE_COMMUNITIES: u8 = 32;
}

/// Address family of routes (RFC 4760).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Family {
    V4,
    V6,
}

impl Family {
    pub fn of(prefix: &IpNet) -> Self {
        if matches!(prefix, IpNet::V4(_)) { Self::V4 } else { Self::V6 }
    }

    fn afi(self) -> u16 {
        match self {
            Self::V4 => 1,
            Self::V6 => 2,
        }
    }

    fn from_afi_safi(afi: u16, safi: u8) -> Option<Self> {
        match (afi, safi) {
            (1, 1) => Some(Self::V4),
            (2, 1) => Some(Self::V6),
            _ => None,
        }
    }
}

/// OPEN (section 4.2) with the capabilities used here (RFC 5492).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    pub asn: u32,
    /// Seconds: zero, or at least three.
    pub hold_time_s: u16,
    /// BGP Identifier.
    pub bgp_id: Ipv4Addr,
    pub families: Vec<Family>,
    /// Four-octet AS numbers are supported (RFC 6793).
    pub four_octets: bool,
    /// ROUTE-REFRESH is supported (RFC 2918).
    pub route_refresh: bool,
}

/// Path attributes of the routes that this speaker originates.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attributes {
    /// AS_PATH with the nearest AS first; empty towards an internal peer.
    pub as_path: Vec<u32>,
    pub next_hop: IpAddr,
    pub med: Option<u32>,
    /// Sent to internal peers only.
    pub local_pref: Option<u32>,
    /// RFC 1997, in ascending order.
    pub communities: Vec<u32>,
    /// RFC 8092, in ascending order.
    pub large_communities: Vec<LargeCommunity>,
}

/// Large community (RFC 8092): Global Administrator, Local Data Part 1, Local Data Part 2.
pub type LargeCommunity = (u32, u32, u32);

/// UPDATE (section 4.3): withdrawn prefixes, and announced prefixes that share one set of attributes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    pub withdrawn: Vec<IpNet>,
    pub announced: Vec<IpNet>,
    /// Present if `announced` is not empty.
    pub attributes: Option<Attributes>,
}

/// Content of a received UPDATE: the number of routes, and details of the watched prefixes only (see [`decode_update`]).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpdateSummary {
    pub announced: u32,
    pub withdrawn: u32,
    /// Attributes that were discarded, or that turned the announcement into a withdrawal (RFC 7606).
    pub faulty_attributes: u32,
    /// Watched prefixes in the message, ordered by prefix; `None` is a withdrawal.
    pub watched: Vec<(IpNet, Option<ObservedRoute>)>,
}

/// Properties of a received route from which its originator can be inferred.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedRoute {
    pub next_hop: Option<IpAddr>,
    /// ORIGINATOR_ID set by a route reflector (RFC 4456 section 8).
    pub originator_id: Option<Ipv4Addr>,
    /// AS_PATH contains the local AS.
    pub own_as_in_path: bool,
    /// The route carries [`GRACEFUL_SHUTDOWN`].
    pub graceful_shutdown: bool,
}

impl ObservedRoute {
    /// Sets the properties that a valid attribute determines.
    fn add_attribute(&mut self, kind: u8, value: &[u8], four_octets: bool, own_asn: u32) {
        match kind {
            attribute::AS_PATH => self.own_as_in_path = as_path_contains(value, four_octets, own_asn),
            attribute::NEXT_HOP => {
                self.next_hop = decode_u32(value).map(|hop| IpAddr::V4(Ipv4Addr::from(hop)));
            }
            attribute::COMMUNITIES => {
                self.graceful_shutdown = value.chunks(4).any(|c| decode_u32(c) == Some(GRACEFUL_SHUTDOWN));
            }
            attribute::ORIGINATOR_ID => self.originator_id = decode_u32(value).map(Ipv4Addr::from),
            _ => {}
        }
    }
}

/// Prefixes for which received routes are reported, and the local AS.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchedPrefixes {
    pub prefixes: Vec<IpNet>,
    pub own_asn: u32,
}

/// NOTIFICATION (section 4.5).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification {
    pub code: u8,
    pub subcode: u8,
    pub data: Vec<u8>,
}

/// Error codes of RFC 4271 section 4.5 and subcodes of its sections 6.1 to 6.6 and of RFC 4486, RFC 6608 and RFC 5492.
pub mod code {
    pub const HEADER: u8 = 1;
    pub const OPEN: u8 = 2;
    pub const UPDATE: u8 = 3;
    pub const HOLD_TIMER_EXPIRED: u8 = 4;
    pub const FSM_ERROR: u8 = 5;
    pub const CEASE: u8 = 6;
    pub const CONNECTION_NOT_SYNCHRONIZED: u8 = 1;
    pub const BAD_MESSAGE_LENGTH: u8 = 2;
    pub const BAD_MESSAGE_TYPE: u8 = 3;
    pub const UNSUPPORTED_VERSION: u8 = 1;
    pub const BAD_PEER_AS: u8 = 2;
    pub const BAD_BGP_IDENTIFIER: u8 = 3;
    pub const UNSUPPORTED_PARAMETER: u8 = 4;
    pub const UNACCEPTABLE_HOLD_TIME: u8 = 6;
    pub const UNSUPPORTED_CAPABILITY: u8 = 7;
    pub const MALFORMED_ATTRIBUTE_LIST: u8 = 1;
    pub const OPTIONAL_ATTRIBUTE_ERROR: u8 = 9;
    pub const INVALID_NETWORK_FIELD: u8 = 10;
    pub const MAX_PREFIXES_REACHED: u8 = 1;
    pub const ADMINISTRATIVE_SHUTDOWN: u8 = 2;
    pub const PEER_DECONFIGURED: u8 = 3;
    pub const OTHER_CONFIG_CHANGE: u8 = 6;
    pub const CONNECTION_COLLISION: u8 = 7;
}

impl Notification {
    pub fn new(code: u8, subcode: u8) -> Self {
        Self { code, subcode, data: Vec::new() }
    }

    /// Cease with subcode Administrative Shutdown and a shutdown communication (RFC 9003). A text that is too long is cut
    /// at a character boundary.
    pub fn shutdown(text: &str) -> Self {
        let mut end = text.len().min(MAX_SHUTDOWN_TEXT_LEN);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let mut data = vec![end as u8];
        data.extend_from_slice(&text.as_bytes()[..end]);
        Self { code: code::CEASE, subcode: code::ADMINISTRATIVE_SHUTDOWN, data }
    }

    /// Shutdown communication of an administrative shutdown or reset, if there is one in valid UTF-8.
    pub fn shutdown_text(&self) -> Option<&str> {
        let (2 | 4, code::CEASE) = (self.subcode, self.code) else { return None };
        let (length, rest) = self.data.split_first()?;
        std::str::from_utf8(rest.get(..usize::from(*length))?).ok().filter(|text| !text.is_empty())
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
            (6, 1) => "maximum number of prefixes reached",
            (6, 2) => "administrative shutdown",
            (6, 3) => "peer de-configured",
            (6, 4) => "administrative reset",
            (6, 5) => "connection rejected",
            (6, 6) => "other configuration change",
            (6, 7) => "connection collision",
            (6, 8) => "out of resources",
            _ => "unknown error",
        };
        write!(f, "{}/{} {name}", self.code, self.subcode)?;
        self.shutdown_text().map_or(Ok(()), |text| write!(f, ": {text}"))
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    Open(Open),
    /// Routes received from a peer; they are counted, not stored.
    Update(UpdateSummary),
    Notification(Notification),
    Keepalive,
    Refresh(Family),
    /// ROUTE-REFRESH for an address family that is not supported.
    RefreshUnsupported,
}

/// A message that cannot be decoded, with the NOTIFICATION to send in reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageError(pub Notification);

fn error<T>(code: u8, subcode: u8, data: &[u8]) -> Result<T, MessageError> {
    Err(MessageError(Notification { code, subcode, data: data.to_vec() }))
}

/// Returns the length of the first message, or `None` until its header is complete (section 6.1).
///
/// # Errors
/// If the marker, length or type is invalid.
pub fn message_length(bytes: &[u8]) -> Result<Option<usize>, MessageError> {
    let marker_len = bytes.len().min(MARKER_LEN);
    if bytes[..marker_len].iter().any(|b| *b != 0xFF) {
        return error(code::HEADER, code::CONNECTION_NOT_SYNCHRONIZED, &[]);
    }
    let Some(header) = bytes.get(..HEADER_LEN) else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes([header[16], header[17]]));
    // RFC 4271 section 4; RFC 2918 section 3 for ROUTE-REFRESH.
    let min_length = match header[18] {
        kind::OPEN => 29,
        kind::UPDATE | kind::ROUTE_REFRESH => 23,
        kind::NOTIFICATION => 21,
        kind::KEEPALIVE => 19,
        _ => return error(code::HEADER, code::BAD_MESSAGE_TYPE, &header[18..19]),
    };
    let fixed_length = matches!(header[18], kind::KEEPALIVE | kind::ROUTE_REFRESH);
    if length < min_length || length > MAX_MESSAGE_LEN || fixed_length && length != min_length {
        return error(code::HEADER, code::BAD_MESSAGE_LENGTH, &header[16..18]);
    }
    Ok(Some(length))
}

/// Decodes one complete message of the length given by [`message_length`].
///
/// `four_octets` is whether both sides support four-octet AS numbers; `watch` names the prefixes whose routes are
/// reported.
///
/// # Errors
/// If the message is malformed.
pub fn decode(bytes: &[u8], four_octets: bool, watch: &WatchedPrefixes) -> Result<Message, MessageError> {
    let Some(length) = message_length(bytes)?.filter(|l| *l == bytes.len()) else {
        return error(code::HEADER, code::BAD_MESSAGE_LENGTH, &[]);
    };
    let body = &bytes[HEADER_LEN..length];
    match bytes[18] {
        kind::OPEN => decode_open(body).map(Message::Open),
        kind::UPDATE => decode_update(body, four_octets, watch).map(Message::Update),
        kind::NOTIFICATION => Ok(Message::Notification(Notification {
            code: body[0],
            subcode: body[1],
            data: body[2..].to_vec(),
        })),
        kind::KEEPALIVE => Ok(Message::Keepalive),
        _ => {
            let family = Family::from_afi_safi(u16::from_be_bytes([body[0], body[1]]), body[3]);
            Ok(family.map_or(Message::RefreshUnsupported, Message::Refresh))
        }
    }
}

/// Cursor over the remaining bytes of a field.
struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (front, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(front)
    }

    fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }

    fn u16(&mut self) -> Option<u16> {
        self.take(2).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }
}

fn decode_u32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}

fn decode_open(body: &[u8]) -> Result<Open, MessageError> {
    if body[0] != VERSION {
        return error(code::OPEN, code::UNSUPPORTED_VERSION, &[0, VERSION]);
    }
    let asn = u16::from_be_bytes([body[1], body[2]]);
    let hold_time_s = u16::from_be_bytes([body[3], body[4]]);
    if hold_time_s == 1 || hold_time_s == 2 {
        return error(code::OPEN, code::UNACCEPTABLE_HOLD_TIME, &[]);
    }
    let bgp_id = Ipv4Addr::new(body[5], body[6], body[7], body[8]);
    if bgp_id.is_unspecified() {
        return error(code::OPEN, code::BAD_BGP_IDENTIFIER, &[]);
    }
    let mut open = Open {
        asn: u32::from(asn),
        hold_time_s,
        bgp_id,
        families: Vec::new(),
        four_octets: false,
        route_refresh: false,
    };
    let mut has_multiprotocol = false;
    let mut has_four_octet_asn = false;
    for_each_capability(&body[9..], |capability, value| match (capability, value) {
        (capability::MULTIPROTOCOL, [afi_high, afi_low, _, safi]) => {
            has_multiprotocol = true;
            let family = Family::from_afi_safi(u16::from_be_bytes([*afi_high, *afi_low]), *safi);
            open.families.extend(family.filter(|f| !open.families.contains(f)));
        }
        (capability::ROUTE_REFRESH, []) => open.route_refresh = true,
        (capability::FOUR_OCTET_ASN, value) if value.len() == 4 => {
            has_four_octet_asn = true;
            open.asn = decode_u32(value).unwrap_or(0);
            open.four_octets = true;
        }
        _ => {}
    })?;
    // Without the multiprotocol capability the session carries IPv4 unicast (RFC 4760 section 8).
    if !has_multiprotocol {
        open.families.push(Family::V4);
    }
    open.families.sort();
    if open.asn == 0 || has_four_octet_asn && asn != AS_TRANS && u32::from(asn) != open.asn {
        return error(code::OPEN, code::BAD_PEER_AS, &[]);
    }
    Ok(open)
}

/// Calls `visit` for the code and value of each capability in the optional parameters of an OPEN, which begin with their
/// total length.
///
/// # Errors
/// If a length is wrong, or a parameter does not hold capabilities. Capabilities before it may have been visited.
fn for_each_capability(field: &[u8], mut visit: impl FnMut(u8, &[u8])) -> Result<(), MessageError> {
    let malformed = || MessageError(Notification::new(code::OPEN, 0));
    let mut parameters = Cursor(field);
    let mut total_length = usize::from(parameters.u8().ok_or_else(malformed)?);
    // Optional parameters longer than 255 bytes (RFC 9072).
    let extended = total_length == 255 && parameters.0.first() == Some(&255);
    if extended {
        parameters.u8();
        total_length = usize::from(parameters.u16().ok_or_else(malformed)?);
    }
    if parameters.0.len() != total_length {
        return Err(malformed());
    }
    while let Some(parameter) = parameters.u8() {
        let length = if extended { parameters.u16() } else { parameters.u8().map(u16::from) };
        let value = length.and_then(|l| parameters.take(usize::from(l))).ok_or_else(malformed)?;
        if parameter != PARAMETER_CAPABILITIES {
            return error(code::OPEN, code::UNSUPPORTED_PARAMETER, &[]);
        }
        let mut capabilities = Cursor(value);
        while let Some(capability) = capabilities.u8() {
            let length = capabilities.u8().ok_or_else(malformed)?;
            visit(capability, capabilities.take(usize::from(length)).ok_or_else(malformed)?);
        }
    }
    Ok(())
}

/// Calls `visit` for each prefix of a field and returns their number, or `None` if a prefix is malformed.
fn decode_nlri(field: &[u8], family: Family, mut visit: impl FnMut(IpNet)) -> Option<u32> {
    let mut field = Cursor(field);
    let mut count = 0;
    while let Some(bits) = field.u8() {
        let max_bits = if family == Family::V4 { 32 } else { 128 };
        if bits > max_bits {
            return None;
        }
        let octets = field.take(usize::from(bits).div_ceil(8))?;
        let mut address = [0; 16];
        address[..octets.len()].copy_from_slice(octets);
        let net = match family {
            Family::V4 => Ipv4Net::new(Ipv4Addr::new(address[0], address[1], address[2], address[3]), bits)
                .ok()
                .map(IpNet::V4),
            Family::V6 => Ipv6Net::new(Ipv6Addr::from(address), bits).ok().map(IpNet::V6),
        };
        // Bits beyond the prefix length are ignored (RFC 4271 section 4.3).
        net.into_iter().for_each(|net| visit(net.trunc()));
        count += 1;
    }
    Some(count)
}

/// Watched prefixes that occur in an UPDATE.
struct WatchedInUpdate<'a> {
    watch: &'a WatchedPrefixes,
    /// Each with whether it is announced (`true`) or withdrawn.
    found: Vec<(IpNet, bool)>,
}

impl WatchedInUpdate<'_> {
    /// Records a prefix if it is watched. Each is recorded once as announced and once as withdrawn at most, so the cost of a
    /// message is bounded by the watched prefixes.
    fn record(&mut self, net: IpNet, announced: bool) {
        if self.watch.prefixes.contains(&net) && !self.found.contains(&(net, announced)) {
            self.found.push((net, announced));
        }
    }
}

/// The path attributes of an UPDATE, checked by RFC 7606.
struct CheckedAttributes {
    observed: ObservedRoute,
    /// By attribute type: whether the message has it.
    seen: [bool; 256],
    faulty: u32,
    /// Numbers of routes in MP_REACH_NLRI and MP_UNREACH_NLRI.
    announced: u32,
    withdrawn: u32,
    /// The announced routes have to be treated as withdrawn.
    treat_as_withdrawn: bool,
    /// The field ended inside an attribute.
    truncated: bool,
}

impl CheckedAttributes {
    fn decode(field: &[u8], four_octets: bool, watched: &mut WatchedInUpdate) -> Result<Self, MessageError> {
        let mut attributes = Self {
            observed: ObservedRoute::default(),
            seen: [false; 256],
            faulty: 0,
            announced: 0,
            withdrawn: 0,
            treat_as_withdrawn: false,
            truncated: false,
        };
        let mut field = Cursor(field);
        while !field.0.is_empty() {
            let Some(attribute) = next_attribute(&mut field) else {
                // The attributes before the truncated one are still evaluated, and the routes are withdrawn.
                attributes.faulty += 1;
                attributes.treat_as_withdrawn = true;
                attributes.truncated = true;
                break;
            };
            attributes.add(&attribute, four_octets, watched)?;
        }
        Ok(attributes)
    }

    fn add(
        &mut self,
        attribute: &RawAttribute,
        four_octets: bool,
        watched: &mut WatchedInUpdate,
    ) -> Result<(), MessageError> {
        let RawAttribute { flags, kind, value } = *attribute;
        if std::mem::replace(&mut self.seen[usize::from(kind)], true) {
            if matches!(kind, attribute::MP_REACH_NLRI | attribute::MP_UNREACH_NLRI) {
                return error(code::UPDATE, code::MALFORMED_ATTRIBUTE_LIST, &[]);
            }
            // Any other repeated attribute is discarded (RFC 7606 section 3).
            self.faulty += 1;
            return Ok(());
        }
        let invalid = || MessageError(Notification::new(code::UPDATE, code::OPTIONAL_ATTRIBUTE_ERROR));
        let is_optional = flags & OPTIONAL_TRANSITIVE == flag::OPTIONAL;
        let valid = match kind {
            attribute::MP_REACH_NLRI => {
                let MultiprotocolRoutes { count, next_hop } =
                    decode_multiprotocol(value, true, |net| watched.record(net, true)).ok_or_else(invalid)?;
                self.announced = count;
                self.observed.next_hop = next_hop.or(self.observed.next_hop);
                is_optional
            }
            attribute::MP_UNREACH_NLRI => {
                let MultiprotocolRoutes { count, .. } =
                    decode_multiprotocol(value, false, |net| watched.record(net, false))
                        .ok_or_else(invalid)?;
                self.withdrawn = count;
                is_optional
            }
            _ => is_valid_attribute(flags, kind, value, four_octets),
        };
        if valid {
            self.observed.add_attribute(kind, value, four_octets, watched.watch.own_asn);
        } else {
            self.faulty += 1;
            self.treat_as_withdrawn = true;
        }
        Ok(())
    }

    /// Checks that the mandatory attributes are there if routes are announced, `announced` of them outside MP_REACH_NLRI.
    fn check_mandatory(&mut self, announced: u32) {
        let has = |kind: u8| self.seen[usize::from(kind)];
        let complete =
            has(attribute::ORIGIN) && has(attribute::AS_PATH) && (announced == 0 || has(attribute::NEXT_HOP));
        if announced + self.announced > 0 && !complete && !self.truncated {
            self.faulty += 1;
            self.treat_as_withdrawn = true;
        }
    }
}

/// A path attribute as received.
struct RawAttribute<'a> {
    flags: u8,
    kind: u8,
    value: &'a [u8],
}

/// Reads the next attribute; `None` if the field ends inside it.
fn next_attribute<'a>(field: &mut Cursor<'a>) -> Option<RawAttribute<'a>> {
    let flags = field.u8()?;
    let kind = field.u8()?;
    let length = if flags & flag::EXTENDED_LENGTH != 0 { field.u16()? } else { u16::from(field.u8()?) };
    Some(RawAttribute { flags, kind, value: field.take(usize::from(length))? })
}

/// Counts the routes of an UPDATE and checks its attributes by RFC 7606; no routes are stored.
///
/// # Errors
/// If the fields cannot be parsed or a prefix is malformed: the session has to be reset (RFC 7606 section 5.3).
pub fn decode_update(
    body: &[u8],
    four_octets: bool,
    watch: &WatchedPrefixes,
) -> Result<UpdateSummary, MessageError> {
    let malformed = || MessageError(Notification::new(code::UPDATE, code::MALFORMED_ATTRIBUTE_LIST));
    let mut rest = Cursor(body);
    let length = rest.u16().ok_or_else(malformed)?;
    let withdrawn_field = rest.take(usize::from(length)).ok_or_else(malformed)?;
    let length = rest.u16().ok_or_else(malformed)?;
    let attributes_field = rest.take(usize::from(length)).ok_or_else(malformed)?;
    let invalid_nlri = || MessageError(Notification::new(code::UPDATE, code::INVALID_NETWORK_FIELD));
    let mut watched = WatchedInUpdate { watch, found: Vec::new() };
    let withdrawn = decode_nlri(withdrawn_field, Family::V4, |net| watched.record(net, false))
        .ok_or_else(invalid_nlri)?;
    let announced =
        decode_nlri(rest.0, Family::V4, |net| watched.record(net, true)).ok_or_else(invalid_nlri)?;
    let mut attributes = CheckedAttributes::decode(attributes_field, four_octets, &mut watched)?;
    attributes.check_mandatory(announced);
    let CheckedAttributes { observed, treat_as_withdrawn, .. } = attributes;
    let mut summary = UpdateSummary {
        announced: announced + attributes.announced,
        withdrawn: withdrawn + attributes.withdrawn,
        faulty_attributes: attributes.faulty,
        watched: Vec::new(),
    };
    if treat_as_withdrawn {
        summary.withdrawn += std::mem::take(&mut summary.announced);
    }
    let route = |announced: bool| Some(observed).filter(|_| announced && !treat_as_withdrawn);
    summary.watched = watched.found.into_iter().map(|(net, announced)| (net, route(announced))).collect();
    // For a prefix that is both withdrawn and announced, the announcement applies (RFC 4271 section 4.3).
    summary.watched.sort_by_key(|(net, route)| (*net, route.is_some()));
    Ok(summary)
}

/// Whether an attribute other than MP_REACH_NLRI and MP_UNREACH_NLRI has valid flags and a valid value.
fn is_valid_attribute(flags: u8, kind: u8, value: &[u8], four_octets: bool) -> bool {
    let class = flags & OPTIONAL_TRANSITIVE;
    match kind {
        attribute::ORIGIN => class == flag::TRANSITIVE && matches!(value, [0..=2]),
        attribute::AS_PATH => class == flag::TRANSITIVE && is_valid_as_path(value, four_octets),
        attribute::NEXT_HOP => class == flag::TRANSITIVE && value.len() == 4,
        attribute::MULTI_EXIT_DISC => class == flag::OPTIONAL && value.len() == 4,
        attribute::LOCAL_PREF => value.len() == 4,
        attribute::COMMUNITIES => {
            class == OPTIONAL_TRANSITIVE && !value.is_empty() && value.len().is_multiple_of(4)
        }
        attribute::LARGE_COMMUNITIES => {
            class == OPTIONAL_TRANSITIVE && !value.is_empty() && value.len().is_multiple_of(12)
        }
        attribute::ORIGINATOR_ID => class == flag::OPTIONAL && value.len() == 4,
        // All well-known attributes are listed above, so any other one has to be optional.
        _ => flags & flag::OPTIONAL != 0,
    }
}

fn is_valid_as_path(value: &[u8], four_octets: bool) -> bool {
    let mut path = Cursor(value);
    while let Some(segment_type) = path.u8() {
        let Some(count) = path.u8().filter(|c| *c > 0) else { return false };
        let size = if four_octets { 4 } else { 2 };
        if !(1..=4).contains(&segment_type) || path.take(usize::from(count) * size).is_none() {
            return false;
        }
    }
    true
}

fn as_path_contains(value: &[u8], four_octets: bool, asn: u32) -> bool {
    let mut path = Cursor(value);
    let size = if four_octets { 4 } else { 2 };
    while let (Some(_), Some(count)) = (path.u8(), path.u8()) {
        let Some(numbers) = path.take(usize::from(count) * size) else { return false };
        let number = |n: &[u8]| n.iter().fold(0, |sum, b| sum << 8 | u32::from(*b));
        if numbers.chunks(size).any(|n| number(n) == asn) {
            return true;
        }
    }
    false
}

/// Content of MP_REACH_NLRI or MP_UNREACH_NLRI.
struct MultiprotocolRoutes {
    count: u32,
    next_hop: Option<IpAddr>,
}

/// Decodes MP_REACH_NLRI (`reach`) or MP_UNREACH_NLRI (RFC 4760 sections 3 and 4), and calls `visit` for each prefix.
fn decode_multiprotocol(value: &[u8], reach: bool, visit: impl FnMut(IpNet)) -> Option<MultiprotocolRoutes> {
    let mut field = Cursor(value);
    let afi = field.u16()?;
    let safi = field.u8()?;
    let mut next_hop = None;
    if reach {
        let length = field.u8()?;
        let octets = field.take(usize::from(length))?;
        // A link-local address may follow the global one (RFC 2545 section 3).
        let ipv6 = octets.get(..16).and_then(|o| <[u8; 16]>::try_from(o).ok()).map(Ipv6Addr::from);
        let ipv4 = || decode_u32(octets).map(|hop| IpAddr::V4(Ipv4Addr::from(hop)));
        next_hop = ipv6.map(IpAddr::V6).or_else(ipv4);
        field.u8()?;
    }
    let count = match Family::from_afi_safi(afi, safi) {
        Some(family) => decode_nlri(field.0, family, visit)?,
        None => 0,
    };
    Some(MultiprotocolRoutes { count, next_hop })
}

/// Encodes a message of the given type with its header.
fn encode_message(kind: u8, body: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = vec![0xFF; MARKER_LEN];
    bytes.extend([0, 0, kind]);
    body(&mut bytes);
    let length = (bytes.len() as u16).to_be_bytes();
    bytes[16..18].copy_from_slice(&length);
    bytes
}

impl Open {
    /// Encodes the message; all capabilities are in one optional parameter.
    pub fn encode(&self) -> Vec<u8> {
        encode_message(kind::OPEN, |bytes| {
            let two_octet_asn = u16::try_from(self.asn).unwrap_or(AS_TRANS);
            bytes.push(VERSION);
            bytes.extend(two_octet_asn.to_be_bytes());
            bytes.extend(self.hold_time_s.to_be_bytes());
            bytes.extend(self.bgp_id.octets());
            let mut capabilities = Vec::new();
            for family in &self.families {
                let afi = family.afi().to_be_bytes();
                capabilities.extend([capability::MULTIPROTOCOL, 4, afi[0], afi[1], 0, SAFI_UNICAST]);
            }
            if self.route_refresh {
                capabilities.extend([capability::ROUTE_REFRESH, 0]);
            }
            if self.four_octets {
                capabilities.extend([capability::FOUR_OCTET_ASN, 4]);
                capabilities.extend(self.asn.to_be_bytes());
            }
            if capabilities.is_empty() {
                bytes.push(0);
                return;
            }
            let length = capabilities.len() as u8;
            bytes.extend([length + 2, PARAMETER_CAPABILITIES, length]);
            bytes.extend(capabilities);
        })
    }
}

impl Notification {
    pub fn encode(&self) -> Vec<u8> {
        encode_message(kind::NOTIFICATION, |bytes| {
            bytes.extend([self.code, self.subcode]);
            bytes.extend(&self.data[..self.data.len().min(MAX_MESSAGE_LEN - HEADER_LEN - 2)]);
        })
    }
}

/// Encodes a KEEPALIVE (section 4.4).
pub fn encode_keepalive() -> Vec<u8> {
    encode_message(kind::KEEPALIVE, |_| {})
}

/// Encodes a ROUTE-REFRESH (RFC 2918 section 3).
pub fn encode_route_refresh(family: Family) -> Vec<u8> {
    encode_message(kind::ROUTE_REFRESH, |bytes| {
        bytes.extend(family.afi().to_be_bytes());
        bytes.extend([0, SAFI_UNICAST]);
    })
}

fn encode_prefix(bytes: &mut Vec<u8>, prefix: &IpNet) {
    let octets = usize::from(prefix.prefix_len()).div_ceil(8);
    bytes.push(prefix.prefix_len());
    match prefix.trunc() {
        IpNet::V4(net) => bytes.extend(&net.addr().octets()[..octets]),
        IpNet::V6(net) => bytes.extend(&net.addr().octets()[..octets]),
    }
}

/// Encodes an attribute; a value over 255 bytes gets an extended length.
fn encode_attribute(bytes: &mut Vec<u8>, flags: u8, kind: u8, value: &[u8]) {
    match u8::try_from(value.len()) {
        Ok(length) => bytes.extend([flags, kind, length]),
        Err(_) => {
            bytes.extend([flags | flag::EXTENDED_LENGTH, kind]);
            bytes.extend((value.len() as u16).to_be_bytes());
        }
    }
    bytes.extend(value);
}

/// Maximum size of an encoded prefix in bytes: the length and sixteen octets.
const MAX_PREFIX_BYTES: usize = 17;
/// Bytes left free in an UPDATE for attribute headers and the multiprotocol next hop.
const UPDATE_RESERVE_BYTES: usize = 64;

impl Update {
    /// Encodes the update as one or more messages, each for one address family and within the maximum length.
    pub fn encode(&self, four_octets: bool) -> Vec<Vec<u8>> {
        let mut messages = Vec::new();
        for family in [Family::V4, Family::V6] {
            let in_family = |routes: &[IpNet]| -> Vec<IpNet> {
                routes.iter().copied().filter(|p| Family::of(p) == family).collect()
            };
            let withdrawn = in_family(&self.withdrawn);
            let announced = in_family(&self.announced);
            let max_bytes = MAX_MESSAGE_LEN - HEADER_LEN - 4 - UPDATE_RESERVE_BYTES;
            for chunk in withdrawn.chunks(max_bytes / MAX_PREFIX_BYTES) {
                messages.push(encode_update(family, chunk, &[], None, four_octets));
            }
            let Some(attributes) = &self.attributes else { continue };
            let max_prefixes = max_bytes.saturating_sub(attributes.max_size()) / MAX_PREFIX_BYTES;
            for chunk in announced.chunks(max_prefixes.max(1)) {
                messages.push(encode_update(family, &[], chunk, Some(attributes), four_octets));
            }
        }
        messages
    }

    /// Encodes the End-of-RIB marker of a family (RFC 4724 section 2).
    pub fn end_of_rib(family: Family) -> Vec<u8> {
        encode_update(family, &[], &[], None, true)
    }
}

impl Attributes {
    /// Upper bound of the encoded size in bytes.
    fn max_size(&self) -> usize {
        self.as_path.len() * 4 + self.communities.len() * 4 + self.large_communities.len() * 12 + 64
    }

    fn encode(&self, bytes: &mut Vec<u8>, with_next_hop: bool, four_octets: bool) {
        encode_attribute(bytes, flag::TRANSITIVE, attribute::ORIGIN, &[ORIGIN_IGP]);
        let segments = |four_octets: bool| {
            let mut value = Vec::new();
            for segment in self.as_path.chunks(255) {
                value.extend([AS_SEQUENCE, segment.len() as u8]);
                for asn in segment {
                    if four_octets {
                        value.extend(asn.to_be_bytes());
                    } else {
                        value.extend(u16::try_from(*asn).unwrap_or(AS_TRANS).to_be_bytes());
                    }
                }
            }
            value
        };
        encode_attribute(bytes, flag::TRANSITIVE, attribute::AS_PATH, &segments(four_octets));
        if let (true, IpAddr::V4(hop)) = (with_next_hop, self.next_hop) {
            encode_attribute(bytes, flag::TRANSITIVE, attribute::NEXT_HOP, &hop.octets());
        }
        if let Some(med) = self.med {
            encode_attribute(bytes, flag::OPTIONAL, attribute::MULTI_EXIT_DISC, &med.to_be_bytes());
        }
        if let Some(pref) = self.local_pref {
            encode_attribute(bytes, flag::TRANSITIVE, attribute::LOCAL_PREF, &pref.to_be_bytes());
        }
        if !self.communities.is_empty() {
            let value: Vec<u8> = self.communities.iter().flat_map(|c| c.to_be_bytes()).collect();
            encode_attribute(bytes, OPTIONAL_TRANSITIVE, attribute::COMMUNITIES, &value);
        }
        // AS4_PATH carries the full path to speakers behind a two-octet peer (RFC 6793 section 4.2.2).
        if !four_octets && self.as_path.iter().any(|asn| *asn > u32::from(u16::MAX)) {
            encode_attribute(bytes, OPTIONAL_TRANSITIVE, attribute::AS4_PATH, &segments(true));
        }
        if !self.large_communities.is_empty() {
            let encode = |c: &LargeCommunity| {
                [c.0, c.1, c.2].into_iter().flat_map(u32::to_be_bytes).collect::<Vec<_>>()
            };
            let value: Vec<u8> = self.large_communities.iter().flat_map(encode).collect();
            encode_attribute(bytes, OPTIONAL_TRANSITIVE, attribute::LARGE_COMMUNITIES, &value);
        }
    }
}

/// Encodes one UPDATE with prefixes of one address family.
fn encode_update(
    family: Family,
    withdrawn: &[IpNet],
    announced: &[IpNet],
    attributes: Option<&Attributes>,
    four_octets: bool,
) -> Vec<u8> {
    let encode_nlri = |routes: &[IpNet]| {
        let mut bytes = Vec::new();
        routes.iter().for_each(|p| encode_prefix(&mut bytes, p));
        bytes
    };
    let mut encoded_attributes = Vec::new();
    let is_ipv4 = family == Family::V4;
    if let Some(attributes) = attributes.filter(|_| !announced.is_empty()) {
        if !is_ipv4 {
            let mut reach = vec![0, 2, SAFI_UNICAST, 16];
            let hop = match attributes.next_hop {
                IpAddr::V6(hop) => hop,
                IpAddr::V4(hop) => hop.to_ipv6_mapped(),
            };
            reach.extend(hop.octets());
            reach.push(0);
            reach.extend(encode_nlri(announced));
            encode_attribute(&mut encoded_attributes, flag::OPTIONAL, attribute::MP_REACH_NLRI, &reach);
        }
        attributes.encode(&mut encoded_attributes, is_ipv4, four_octets);
    } else if !is_ipv4 {
        let mut unreach = vec![0, 2, SAFI_UNICAST];
        unreach.extend(encode_nlri(withdrawn));
        encode_attribute(&mut encoded_attributes, flag::OPTIONAL, attribute::MP_UNREACH_NLRI, &unreach);
    }
    encode_message(kind::UPDATE, |bytes| {
        let withdrawn = if is_ipv4 { encode_nlri(withdrawn) } else { Vec::new() };
        bytes.extend((withdrawn.len() as u16).to_be_bytes());
        bytes.extend(withdrawn);
        bytes.extend((encoded_attributes.len() as u16).to_be_bytes());
        bytes.extend(encoded_attributes);
        if is_ipv4 {
            bytes.extend(encode_nlri(announced));
        }
    })
}

/// Prefixes of an UPDATE.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpdatePrefixes {
    pub withdrawn: Vec<IpNet>,
    pub announced: Vec<IpNet>,
}

/// Decodes the withdrawn and the announced prefixes of an UPDATE, for tests. Returns `None` if it is malformed.
pub fn decode_prefixes(message: &[u8]) -> Option<UpdatePrefixes> {
    let mut rest = Cursor(message.get(HEADER_LEN..)?);
    let mut withdrawn = Vec::new();
    let mut announced = Vec::new();
    let length = rest.u16()?;
    decode_nlri(rest.take(usize::from(length))?, Family::V4, |net| withdrawn.push(net))?;
    let length = rest.u16()?;
    let mut field = Cursor(rest.take(usize::from(length))?);
    decode_nlri(rest.0, Family::V4, |net| announced.push(net))?;
    while !field.0.is_empty() {
        let attribute = next_attribute(&mut field)?;
        match (attribute.kind, attribute.value) {
            (attribute::MP_REACH_NLRI, [0, 2, SAFI_UNICAST, hop_len, rest @ ..]) => {
                let rest = rest.get(usize::from(*hop_len) + 1..)?;
                decode_nlri(rest, Family::V6, |net| announced.push(net))?;
            }
            (attribute::MP_UNREACH_NLRI, [0, 2, SAFI_UNICAST, rest @ ..]) => {
                decode_nlri(rest, Family::V6, |net| withdrawn.push(net))?;
            }
            _ => {}
        }
    }
    Some(UpdatePrefixes { withdrawn, announced })
}
