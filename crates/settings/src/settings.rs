//! The operator's own file, as in `deploy/pewterwharf.lisp`.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;

use crate::form::{Fault, Node, read, unexpected};

/// How lines of the log are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    Text,
    Json,
}

/// The log of the command line and what comes after it.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    pub form: LogForm,
}

/// Bounds of an exploration of the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Explore {
    /// Things that may go wrong in one run: 0 to 8.
    pub departures: u32,
    /// States looked at in one exploration: 1 to 10,000,000.
    pub states: u32,
    /// Explorations that run side by side: 1 to 64.
    pub threads: u32,
}

/// Announcements of service addresses. Names and addresses are as written, checked for their form where they are used.
#[derive(Clone, Debug, PartialEq)]
pub struct Bgp {
    pub asn: u32,
    /// Identifier, and where the file names it.
    pub id: Ipv4Addr,
    pub listen: Option<SocketAddr>,
    pub peers: Vec<BgpPeer>,
    pub addresses: Vec<BgpAddress>,
    /// Shares of the slices with a usable searcher, and the milliseconds that better and worse have to last.
    pub up: (f64, f64),
    pub down: (f64, f64),
    /// Share of scans refused at the door that depreferences.
    pub pressure: f64,
    /// Changes in a minute, beyond which nothing gets better.
    pub changes: u32,
    /// Milliseconds of a drain: depreferenced, then withdrawn.
    pub drain: (f64, f64),
}

#[derive(Clone, Debug, PartialEq)]
pub struct BgpPeer {
    pub address: SocketAddr,
    pub asn: u32,
    pub hold_s: u16,
    pub next_hop: IpAddr,
}

#[derive(Clone, Debug, PartialEq)]
pub struct BgpAddress {
    /// Address and length.
    pub prefix: (IpAddr, u8),
    pub keep_last: bool,
}

/// All that operators set; what the file leaves out has the value given here.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub log: Log,
    pub explore: Explore,
    /// Off unless it is there.
    pub bgp: Option<Bgp>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            log: Log { level: "warn".to_owned(), form: LogForm::Text },
            explore: Explore { departures: 2, states: 200_000, threads: 8 },
            bgp: None,
        }
    }
}

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

impl Settings {
    /// Reads and checks the file's text.
    ///
    /// # Errors
    /// Names the place and the faulty key. A key that is given twice or not known is a fault: what an operator
    /// meant to set must not be passed over.
    pub fn read(text: &str) -> Result<Self, Fault> {
        let mut settings = Self::default();
        let mut seen = Vec::new();
        for node in read(text)? {
            let (section, keys) = node.call("a section, as (log ...)")?;
            once(&mut seen, &node, section.to_owned())?;
            match section {
                "log" => settings.log(keys)?,
                "explore" => settings.explore(keys)?,
                "bgp" => settings.bgp = Some(Bgp::read(&node, keys)?),
                other => return Err(unexpected(&node, other, &["log", "explore", "bgp"])),
            }
        }
        Ok(settings)
    }

    fn log(&mut self, keys: &[Node]) -> Result<(), Fault> {
        let mut seen = Vec::new();
        for node in keys {
            let (key, value) = pair(node)?;
            once(&mut seen, node, format!("log {key}"))?;
            match key {
                "level" => {
                    let level = value.word("log level")?;
                    if !LEVELS.contains(&level) {
                        return Err(unexpected(value, level, &LEVELS));
                    }
                    self.log.level = level.to_owned();
                }
                "form" => {
                    self.log.form = match value.word("log form")? {
                        "text" => LogForm::Text,
                        "json" => LogForm::Json,
                        other => return Err(unexpected(value, other, &["text", "json"])),
                    }
                }
                other => return Err(unexpected(node, other, &["level", "form"])),
            }
        }
        Ok(())
    }

    fn explore(&mut self, keys: &[Node]) -> Result<(), Fault> {
        let mut seen = Vec::new();
        for node in keys {
            let (key, value) = pair(node)?;
            once(&mut seen, node, format!("explore {key}"))?;
            match key {
                "departures" => self.explore.departures = value.count("explore departures", 0, 8)?,
                "states" => self.explore.states = value.count("explore states", 1, 10_000_000)?,
                "threads" => self.explore.threads = value.count("explore threads", 1, 64)?,
                other => return Err(unexpected(node, other, &["departures", "states", "threads"])),
            }
        }
        Ok(())
    }
}

/// A text in quotes that reads as something.
fn parsed<T: FromStr>(node: &Node, expected: &str) -> Result<T, Fault> {
    let text = node.text(expected)?;
    text.parse().map_err(|_| node.fault(format!("found \"{text}\", expected {expected}")))
}

fn share(node: &Node, expected: &str) -> Result<f64, Fault> {
    let share = node.figure(expected)?;
    if share > 1.0 {
        Err(node.fault(format!("found {share}, expected {expected}, a share up to 1")))
    } else {
        Ok(share)
    }
}

const BGP: [&str; 10] =
    ["as", "id", "listen", "peer", "announce", "up", "down", "pressure", "changes", "drain"];

impl Bgp {
    fn read(whole: &Node, keys: &[Node]) -> Result<Self, Fault> {
        let (mut asn, mut id, mut seen) = (None, None, Vec::new());
        let mut bgp = Self {
            asn: 0,
            id: Ipv4Addr::UNSPECIFIED,
            listen: None,
            peers: Vec::new(),
            addresses: Vec::new(),
            up: (0.9, 5000.0),
            down: (0.5, 1000.0),
            pressure: 0.5,
            changes: 6,
            drain: (2000.0, 5000.0),
        };
        for node in keys {
            let (key, values) = node.call("a key of bgp, as (as 64512)")?;
            if !matches!(key, "peer" | "announce") {
                once(&mut seen, node, format!("bgp {key}"))?;
            }
            match (key, values) {
                ("as", [value]) => asn = Some(value.count("bgp as", 1, u32::MAX - 1)?),
                ("id", [value]) => id = Some(parsed(value, "bgp id, an IPv4 address")?),
                ("listen", [value]) => bgp.listen = Some(parsed(value, "bgp listen, an address and port")?),
                ("peer", values) => bgp.peers.push(BgpPeer::read(node, values)?),
                ("announce", [prefix, rest @ ..]) => bgp.addresses.push(BgpAddress::read(prefix, rest)?),
                ("up", [at, ms]) => bgp.up = (share(at, "bgp up")?, ms.time_ms("bgp up")?),
                ("down", [at, ms]) => bgp.down = (share(at, "bgp down")?, ms.time_ms("bgp down")?),
                ("pressure", [at]) => bgp.pressure = share(at, "bgp pressure")?,
                ("changes", [n]) => bgp.changes = n.count("bgp changes", 1, 1000)?,
                ("drain", [last, leave]) => {
                    bgp.drain = (last.time_ms("bgp drain")?, leave.time_ms("bgp drain")?);
                }
                (key, values) if BGP.contains(&key) => {
                    return Err(node.fault(format!("{key} has {} values, which do not fit it", values.len())));
                }
                (other, _) => return Err(unexpected(node, other, &BGP)),
            }
        }
        bgp.asn = asn.ok_or_else(|| whole.fault("expected (as NUMBER) in (bgp ...)"))?;
        bgp.id = id.ok_or_else(|| whole.fault("expected (id \"ADDRESS\") in (bgp ...)"))?;
        if bgp.down.0 > bgp.up.0 {
            return Err(whole.fault("bgp down is a larger share than up"));
        }
        Ok(bgp)
    }
}

impl BgpPeer {
    fn read(whole: &Node, keys: &[Node]) -> Result<Self, Fault> {
        let (mut address, mut asn, mut hold_s, mut next_hop) = (None, None, 9, None);
        let mut seen = Vec::new();
        for node in keys {
            let (key, value) = pair(node)?;
            once(&mut seen, node, format!("peer {key}"))?;
            match key {
                "address" => address = Some(parsed(value, "peer address, an address and port")?),
                "as" => asn = Some(value.count("peer as", 1, u32::MAX - 1)?),
                "hold" => {
                    hold_s = (value.time_ms("peer hold")? / 1000.0) as u16;
                    if hold_s < 3 {
                        return Err(value.fault("peer hold is under 3s"));
                    }
                }
                "next-hop" => next_hop = Some(parsed(value, "peer next-hop, an address")?),
                other => return Err(unexpected(node, other, &["address", "as", "hold", "next-hop"])),
            }
        }
        let lacks = |key: &str| whole.fault(format!("expected ({key} ...) in (peer ...)"));
        Ok(Self {
            address: address.ok_or_else(|| lacks("address"))?,
            asn: asn.ok_or_else(|| lacks("as"))?,
            hold_s,
            next_hop: next_hop.ok_or_else(|| lacks("next-hop"))?,
        })
    }
}

impl BgpAddress {
    fn read(prefix: &Node, rest: &[Node]) -> Result<Self, Fault> {
        const EXPECTED: &str = "a prefix, as 198.51.100.1/32";
        let text = prefix.text(EXPECTED)?;
        let read = || -> Option<(IpAddr, u8)> {
            let (address, length) = text.split_once('/')?;
            let (address, length): (IpAddr, u8) = (address.parse().ok()?, length.parse().ok()?);
            (length <= if address.is_ipv4() { 32 } else { 128 }).then_some((address, length))
        };
        let read = read().ok_or_else(|| prefix.fault(format!("found \"{text}\", expected {EXPECTED}")))?;
        let mut keep_last = false;
        for node in rest {
            match node.call("(keep-last)")? {
                ("keep-last", []) => keep_last = true,
                (other, _) => return Err(unexpected(node, other, &["keep-last"])),
            }
        }
        Ok(Self { prefix: read, keep_last })
    }
}

fn pair(node: &Node) -> Result<(&str, &Node), Fault> {
    let (key, rest) = node.call("a key and its value, as (level info)")?;
    match rest {
        [value] => Ok((key, value)),
        _ => Err(node.fault(format!("{key} has {} values, expected one", rest.len()))),
    }
}

fn once(seen: &mut Vec<String>, node: &Node, key: String) -> Result<(), Fault> {
    if seen.contains(&key) {
        return Err(node.fault(format!("{key} is given twice")));
    }
    seen.push(key);
    Ok(())
}
