//! Frames and records of the simulator's protocol 'lichen-5113': little-endian, packed, without padding.

use std::io::{ErrorKind, Read};
use std::net::{Ipv4Addr, SocketAddrV4};

use anyhow::{Context, Result, bail, ensure};
use byteorder::{ByteOrder, LE, ReadBytesExt, WriteBytesExt};
use pewterwharf::interface::{Action, DispatchOutcome, ListKind, ListedSearcher, SearcherStatus};

/// Length of a batch header: number, body length, record count and time.
const HEADER_BYTES: usize = 20;
/// Length of a reply header: number, record count and body length.
const REPLY_HEADER_BYTES: usize = 12;
/// Number of searcher lists that can be stored.
const MAX_LISTS: u32 = 16;

/// Codes of the records in a batch.
mod record {
    pub const CREATE: u8 = 1;
    pub const LIST_UPDATE: u8 = 2;
    pub const SCAN_OR_PART: u8 = 3;
    pub const DISPATCH_STARTED: u8 = 4;
    pub const DISPATCH_ENDED: u8 = 5;
    pub const CLIENT_TIMED_OUT: u8 = 6;
    pub const WAKE: u8 = 7;
    pub const PROBE_ENDED: u8 = 8;
    pub const DATAGRAM: u8 = 9;
    pub const EXIT: u8 = 10;
    pub const LIST: u8 = 11;
    pub const FOR_MIXER: u8 = 12;
}

/// Codes of the records in a reply.
mod action {
    pub const DISPATCH: u8 = 65;
    pub const THROTTLE: u8 = 66;
    pub const ABANDON: u8 = 67;
    pub const CANCEL: u8 = 68;
    pub const WAKE_AT: u8 = 69;
    pub const PROBE: u8 = 70;
    pub const CLOSE_IDLE_CONNECTIONS: u8 = 71;
    pub const LOG: u8 = 73;
    pub const SUBSCRIBE: u8 = 75;
    pub const COMPLETE: u8 = 77;
    pub const FOR_MIXER: u8 = 78;
}

/// A received batch with its records in order.
#[derive(Debug)]
pub struct Batch {
    pub number: u32,
    /// Simulated time in milliseconds.
    pub now: f64,
    pub records: Vec<Record>,
}

/// A record of a batch, with the fields in the order of the protocol.
#[derive(Debug)]
pub enum Record {
    /// The following records are for this mixer.
    ForMixer(u32),
    Create {
        seed: u64,
        settings: String,
    },
    /// A searcher list, stored under a number that other records refer to.
    List {
        slot: u32,
        searchers: Vec<ListedSearcher>,
    },
    /// The mixer receives the list stored under this number.
    ListUpdate {
        kind: ListKind,
        slot: u32,
    },
    ScanOrPart(ScanOrPart),
    /// The mixer's process has ended.
    Exit,
    DispatchStarted,
    DispatchEnded {
        part: u64,
        dispatch: u8,
        searcher: SocketAddrV4,
        outcome: DispatchOutcome,
        took_ms: f64,
        load_report: Vec<f32>,
    },
    ClientTimedOut {
        scan: u64,
    },
    /// A message from another mixer.
    Datagram,
    ProbeEnded {
        searcher: SocketAddrV4,
        took_ms: f64,
        outcome: DispatchOutcome,
    },
    Wake,
}

/// A scan, or a part of one if `shard` is not negative.
#[derive(Debug)]
pub struct ScanOrPart {
    pub id: u64,
    pub table_type: u8,
    pub customer: u32,
    pub key: u64,
    pub deadline_at: f64,
    pub work_ms: f64,
    pub number: f32,
    pub shard: f32,
    pub weight: f32,
    pub flags: u8,
}

/// Reads one frame; `None` if the input ends before it.
///
/// # Errors
/// If reading fails, the input ends inside the frame, or a record is malformed.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>> {
    let mut header = [0u8; HEADER_BYTES];
    let mut filled = 0;
    while filled < header.len() {
        match input.read(&mut header[filled..]) {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) => bail!("the input ends inside a batch header ({filled} of {} bytes)", header.len()),
            Ok(count) => filled += count,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e).context("reading a batch header"),
        }
    }
    let number = LE::read_u32(&header[0..]);
    let len = LE::read_u32(&header[4..]);
    let count = LE::read_u32(&header[8..]);
    let now = LE::read_f64(&header[12..]);
    ensure!(now.is_finite(), "batch {number}: the clock is not a number");
    let mut body = Vec::new();
    input.take(u64::from(len)).read_to_end(&mut body).context("reading a batch")?;
    ensure!(body.len() == len as usize, "batch {number}: the input ends after {} of {len} bytes", body.len());
    let mut rest = body.as_slice();
    let mut records = Vec::new();
    for i in 0..count {
        let record = read_record(&mut rest).with_context(|| format!("batch {number}, record {i}"))?;
        records.push(record);
    }
    ensure!(rest.is_empty(), "batch {number}: {} bytes are left after its {count} records", rest.len());
    Ok(Some(Batch { number, now, records }))
}

fn read_record(input: &mut &[u8]) -> Result<Record> {
    let code = input.read_u8().context("cut short")?;
    read_fields(input, code).with_context(|| format!("code {code}"))
}

fn read_fields(input: &mut &[u8], code: u8) -> Result<Record> {
    Ok(match code {
        record::CREATE => {
            let seed = input.read_u64::<LE>()?;
            let n = input.read_u32::<LE>()? as usize;
            let settings =
                std::str::from_utf8(bytes(input, n)?).context("the settings are not text")?.to_owned();
            Record::Create { seed, settings }
        }
        record::LIST_UPDATE => {
            let kind = match input.read_u8()? {
                0 => ListKind::Changes,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                3 => ListKind::Failed,
                other => bail!("list kind {other} is unknown"),
            };
            let _revision = input.read_u32::<LE>()?;
            Record::ListUpdate { kind, slot: input.read_u32::<LE>()? }
        }
        record::SCAN_OR_PART => Record::ScanOrPart(ScanOrPart {
            id: input.read_u64::<LE>()?,
            table_type: input.read_u8()?,
            customer: input.read_u32::<LE>()?,
            key: input.read_u64::<LE>()?,
            deadline_at: finite(input)?,
            work_ms: finite(input)?,
            number: input.read_f32::<LE>()?,
            shard: input.read_f32::<LE>()?,
            weight: input.read_f32::<LE>()?,
            flags: input.read_u8()?,
        }),
        record::DISPATCH_STARTED => {
            let _part = input.read_u64::<LE>()?;
            let _dispatch = input.read_u8()?;
            let _searcher = address(input)?;
            let _at = input.read_f64::<LE>()?;
            Record::DispatchStarted
        }
        record::DISPATCH_ENDED => {
            let part = input.read_u64::<LE>()?;
            let dispatch = input.read_u8()?;
            let searcher = address(input)?;
            let outcome = outcome(input)?;
            let took_ms = finite(input)?;
            let _over = input.read_u8()?;
            let load_report = load_report(input)?;
            Record::DispatchEnded { part, dispatch, searcher, outcome, took_ms, load_report }
        }
        record::CLIENT_TIMED_OUT => Record::ClientTimedOut { scan: input.read_u64::<LE>()? },
        record::WAKE => {
            input.read_u64::<LE>()?;
            Record::Wake
        }
        record::PROBE_ENDED => {
            let searcher = address(input)?;
            let took_ms = finite(input)?;
            let outcome = outcome(input)?;
            load_report(input)?;
            Record::ProbeEnded { searcher, took_ms, outcome }
        }
        record::DATAGRAM => {
            input.read_u32::<LE>()?;
            let n = input.read_u16::<LE>()? as usize;
            bytes(input, n)?;
            Record::Datagram
        }
        record::EXIT => Record::Exit,
        record::LIST => {
            let slot = input.read_u32::<LE>()?;
            ensure!(slot < MAX_LISTS, "list number {slot} is over 15");
            let n = input.read_u32::<LE>()?;
            let searchers = (0..n).map(|_| searcher(input)).collect::<Result<_>>()?;
            Record::List { slot, searchers }
        }
        record::FOR_MIXER => Record::ForMixer(input.read_u32::<LE>()?),
        _ => bail!("no such record"),
    })
}

fn bytes<'a>(input: &mut &'a [u8], n: usize) -> Result<&'a [u8]> {
    let (head, tail) = input.split_at_checked(n).context("cut short")?;
    *input = tail;
    Ok(head)
}

fn finite(input: &mut &[u8]) -> Result<f64> {
    let value = input.read_f64::<LE>()?;
    ensure!(value.is_finite(), "a time is not a number");
    Ok(value)
}

fn address(input: &mut &[u8]) -> Result<SocketAddrV4> {
    let mut ip = [0u8; 4];
    input.read_exact(&mut ip)?;
    Ok(SocketAddrV4::new(Ipv4Addr::from(ip), input.read_u16::<LE>()?))
}

fn outcome(input: &mut &[u8]) -> Result<DispatchOutcome> {
    Ok(match input.read_u16::<LE>()? {
        0 => DispatchOutcome::Error,
        1 => DispatchOutcome::Ok,
        2 => DispatchOutcome::Full,
        3 => DispatchOutcome::TimedOut,
        4 => DispatchOutcome::ConnectFailed,
        5 => DispatchOutcome::Reset,
        6 => DispatchOutcome::Cancelled,
        7 => DispatchOutcome::Moot,
        other => bail!("ending {other} is unknown"),
    })
}

/// The values of a load report, in the order given in the settings.
fn load_report(input: &mut &[u8]) -> Result<Vec<f32>> {
    let n = input.read_u8()?;
    (0..n).map(|_| Ok(input.read_f32::<LE>()?)).collect()
}

fn searcher(input: &mut &[u8]) -> Result<ListedSearcher> {
    let cell = u32::from(input.read_u16::<LE>()?);
    let started_at = finite(input)?;
    let _kind = input.read_u16::<LE>()?;
    let zone = input.read_u16::<LE>()?;
    let _weight = input.read_f32::<LE>()?;
    let searcher = address(input)?;
    let status = match input.read_u8()? {
        0 => SearcherStatus::Gone,
        1 => SearcherStatus::Ready,
        2 => SearcherStatus::Draining,
        other => bail!("state {other} of a searcher is unknown"),
    };
    Ok(ListedSearcher { searcher, cell, zone, started_at, status })
}

/// Encoder of a reply frame.
#[derive(Debug, Default)]
pub struct Reply {
    number: u32,
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    pub fn to(number: u32) -> Self {
        Self { number, ..Self::default() }
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        self.count += 1;
        self.body.push(code);
        for field in fields {
            self.body.extend_from_slice(field);
        }
    }

    /// Appends one mixer's actions; a mixer without actions adds nothing.
    pub fn actions(&mut self, mixer: u32, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        self.record(action::FOR_MIXER, &[&mixer.to_le_bytes()]);
        for action in actions {
            self.action(action);
        }
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Dispatch { part, searcher, timeout_ms } => {
                self.record(
                    action::DISPATCH,
                    &[&part.to_le_bytes(), &encode_address(searcher), &timeout_ms.to_le_bytes()],
                );
            }
            Action::Throttle { scan, retry_after_ms } => {
                self.record(
                    action::THROTTLE,
                    &[&scan.to_le_bytes(), &retry_after_ms.unwrap_or(0.0).to_le_bytes()],
                );
            }
            Action::Abandon { scan } => self.record(action::ABANDON, &[&scan.to_le_bytes()]),
            Action::Cancel { part, dispatch } => {
                self.record(action::CANCEL, &[&part.to_le_bytes(), &[*dispatch]])
            }
            Action::WakeAt { at } => self.record(action::WAKE_AT, &[&at.to_le_bytes(), &0u64.to_le_bytes()]),
            Action::Probe { searcher } => self.record(action::PROBE, &[&encode_address(searcher)]),
            Action::CloseIdleConnections { searcher } => {
                self.record(action::CLOSE_IDLE_CONNECTIONS, &[&encode_address(searcher)])
            }
            Action::Log { line } => {
                let text = &line.as_bytes()[..line.len().min(usize::from(u16::MAX))];
                self.record(action::LOG, &[&(text.len() as u16).to_le_bytes(), text]);
            }
            Action::Subscribe => self.record(action::SUBSCRIBE, &[&[1]]),
            Action::Complete { scan, whole } => {
                self.record(action::COMPLETE, &[&scan.to_le_bytes(), &[u8::from(*whole)]]);
            }
        }
    }

    /// Encodes the frame.
    pub fn finish(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(REPLY_HEADER_BYTES + self.body.len());
        for field in [self.number, self.count, self.body.len() as u32] {
            frame.write_u32::<LE>(field).expect("writing to a vector cannot fail");
        }
        frame.extend_from_slice(&self.body);
        frame
    }
}

/// Encodes an address as four octets and a port.
fn encode_address(searcher: &SocketAddrV4) -> [u8; 6] {
    let mut out = [0u8; 6];
    out[..4].copy_from_slice(&searcher.ip().octets());
    LE::write_u16(&mut out[4..], searcher.port());
    out
}
