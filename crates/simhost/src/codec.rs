//! Frames and records of wire 'lichen-5113': little-endian, packed, no padding.

use std::io::{ErrorKind, Read};
use std::net::{Ipv4Addr, SocketAddrV4};

use anyhow::{Context, Result, bail, ensure};
use byteorder::{ByteOrder, LE, ReadBytesExt, WriteBytesExt};
use pewterwharf::interface::{Action, DispatchOutcome, ListKind, ListedSearcher, SearcherStatus};

/// A batch as it came in; its records keep their order.
#[derive(Debug)]
pub struct Batch {
    pub number: u32,
    pub now: f64,
    pub records: Vec<Record>,
}

/// A record of a batch, in the wire's order of fields.
#[derive(Debug)]
pub enum Record {
    At(u32),
    Create {
        seed: u64,
        settings: String,
    },
    Table {
        slot: u32,
        lines: Vec<ListedSearcher>,
    },
    PeersKnown {
        kind: ListKind,
        slot: u32,
    },
    Knock(Knock),
    Exit,
    Begun,
    Settled {
        part: u64,
        dispatch: u8,
        searcher: SocketAddrV4,
        ending: DispatchOutcome,
        took_ms: f64,
        report: Vec<f32>,
    },
    TimedOutClient {
        scan: u64,
    },
    Datagram,
    Pong {
        searcher: SocketAddrV4,
        took_ms: f64,
        ending: DispatchOutcome,
    },
    Wakeup,
}

/// A scan, or a part of one where `slab` is not below zero.
#[derive(Debug)]
pub struct Knock {
    pub id: u64,
    pub table_type: u8,
    pub customer: u32,
    pub key: u64,
    pub gone_at: f64,
    pub work_ms: f64,
    pub number: f32,
    pub slab: f32,
    pub measure: f32,
    pub flags: u8,
}

/// Reads one frame; `None` where the input ends between frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>> {
    let mut head = [0u8; 20];
    let mut have = 0;
    while have < head.len() {
        match input.read(&mut head[have..]) {
            Ok(0) if have == 0 => return Ok(None),
            Ok(0) => bail!("the input ends inside a batch header ({have} of {} bytes)", head.len()),
            Ok(n) => have += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e).context("reading a batch header"),
        }
    }
    let number = LE::read_u32(&head[0..]);
    let len = LE::read_u32(&head[4..]);
    let count = LE::read_u32(&head[8..]);
    let now = LE::read_f64(&head[12..]);
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

fn read_record(r: &mut &[u8]) -> Result<Record> {
    let code = r.read_u8().context("cut short")?;
    read_fields(r, code).with_context(|| format!("code {code}"))
}

fn read_fields(r: &mut &[u8], code: u8) -> Result<Record> {
    Ok(match code {
        1 => {
            let seed = r.read_u64::<LE>()?;
            let n = r.read_u32::<LE>()? as usize;
            let settings = std::str::from_utf8(bytes(r, n)?).context("the settings are not text")?.to_owned();
            Record::Create { seed, settings }
        }
        2 => {
            let kind = match r.read_u8()? {
                0 => ListKind::Changes,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                3 => ListKind::Failed,
                other => bail!("list kind {other} is unknown"),
            };
            let _revision = r.read_u32::<LE>()?;
            Record::PeersKnown { kind, slot: r.read_u32::<LE>()? }
        }
        3 => Record::Knock(Knock {
            id: r.read_u64::<LE>()?,
            table_type: r.read_u8()?,
            customer: r.read_u32::<LE>()?,
            key: r.read_u64::<LE>()?,
            gone_at: finite(r)?,
            work_ms: finite(r)?,
            number: r.read_f32::<LE>()?,
            slab: r.read_f32::<LE>()?,
            measure: r.read_f32::<LE>()?,
            flags: r.read_u8()?,
        }),
        4 => {
            let _ = (r.read_u64::<LE>()?, r.read_u8()?, address(r)?, r.read_f64::<LE>()?);
            Record::Begun
        }
        5 => {
            let (part, dispatch, searcher) = (r.read_u64::<LE>()?, r.read_u8()?, address(r)?);
            let ending = ending(r)?;
            let took_ms = finite(r)?;
            let _over = r.read_u8()?;
            let report = load_report(r)?;
            Record::Settled { part, dispatch, searcher, ending, took_ms, report }
        }
        6 => Record::TimedOutClient { scan: r.read_u64::<LE>()? },
        7 => {
            r.read_u64::<LE>()?;
            Record::Wakeup
        }
        8 => {
            let (searcher, took_ms) = (address(r)?, finite(r)?);
            let ending = ending(r)?;
            load_report(r)?;
            Record::Pong { searcher, took_ms, ending }
        }
        9 => {
            r.read_u32::<LE>()?;
            let n = r.read_u16::<LE>()? as usize;
            bytes(r, n)?;
            Record::Datagram
        }
        10 => Record::Exit,
        11 => {
            let slot = r.read_u32::<LE>()?;
            ensure!(slot < 16, "list number {slot} is over 15");
            let n = r.read_u32::<LE>()?;
            let lines = (0..n).map(|_| entry(r)).collect::<Result<_>>()?;
            Record::Table { slot, lines }
        }
        12 => Record::At(r.read_u32::<LE>()?),
        _ => bail!("no such record"),
    })
}

fn bytes<'a>(r: &mut &'a [u8], n: usize) -> Result<&'a [u8]> {
    let (head, tail) = r.split_at_checked(n).context("cut short")?;
    *r = tail;
    Ok(head)
}

fn finite(r: &mut &[u8]) -> Result<f64> {
    let value = r.read_f64::<LE>()?;
    ensure!(value.is_finite(), "a time is not a number");
    Ok(value)
}

fn address(r: &mut &[u8]) -> Result<SocketAddrV4> {
    let mut ip = [0u8; 4];
    r.read_exact(&mut ip)?;
    Ok(SocketAddrV4::new(Ipv4Addr::from(ip), r.read_u16::<LE>()?))
}

fn ending(r: &mut &[u8]) -> Result<DispatchOutcome> {
    Ok(match r.read_u16::<LE>()? {
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

/// The values of a load report, in the order that the settings name.
fn load_report(r: &mut &[u8]) -> Result<Vec<f32>> {
    let n = r.read_u8()?;
    (0..n).map(|_| Ok(r.read_f32::<LE>()?)).collect()
}

fn entry(r: &mut &[u8]) -> Result<ListedSearcher> {
    let cell = u32::from(r.read_u16::<LE>()?);
    let since = finite(r)?;
    let _kind = r.read_u16::<LE>()?;
    let zone = r.read_u16::<LE>()?;
    let _weight = r.read_f32::<LE>()?;
    let searcher = address(r)?;
    let life = match r.read_u8()? {
        0 => SearcherStatus::Gone,
        1 => SearcherStatus::Ready,
        2 => SearcherStatus::Draining,
        other => bail!("state {other} of a searcher is unknown"),
    };
    Ok(ListedSearcher { searcher, cell, zone, started_at: since, status: life })
}

/// A reply that grows record by record.
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

    /// Adds one mixer's actions.
    pub fn actions(&mut self, mixer: u32, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        self.record(78, &[&mixer.to_le_bytes()]);
        for action in actions {
            self.action(action);
        }
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Dispatch { part, searcher, timeout_ms } => {
                self.record(65, &[&part.to_le_bytes(), &packed(searcher), &timeout_ms.to_le_bytes()]);
            }
            Action::Throttle { scan, retry_after_ms } => {
                self.record(66, &[&scan.to_le_bytes(), &retry_after_ms.unwrap_or(0.0).to_le_bytes()]);
            }
            Action::Abandon { scan } => self.record(67, &[&scan.to_le_bytes()]),
            Action::Cancel { part, dispatch } => self.record(68, &[&part.to_le_bytes(), &[*dispatch]]),
            Action::WakeAt { at } => self.record(69, &[&at.to_le_bytes(), &0u64.to_le_bytes()]),
            Action::Probe { searcher } => self.record(70, &[&packed(searcher)]),
            Action::CloseIdleConnections { searcher } => self.record(71, &[&packed(searcher)]),
            Action::Log { line } => {
                let text = &line.as_bytes()[..line.len().min(usize::from(u16::MAX))];
                self.record(73, &[&(text.len() as u16).to_le_bytes(), text]);
            }
            Action::Subscribe => self.record(75, &[&[1]]),
            Action::Complete { scan, whole } => {
                self.record(77, &[&scan.to_le_bytes(), &[u8::from(*whole)]]);
            }
        }
    }

    /// The frame, ready to be written.
    pub fn finish(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(12 + self.body.len());
        for word in [self.number, self.count, self.body.len() as u32] {
            frame.write_u32::<LE>(word).expect("a vector takes all");
        }
        frame.extend_from_slice(&self.body);
        frame
    }
}

fn packed(searcher: &SocketAddrV4) -> [u8; 6] {
    let mut out = [0u8; 6];
    out[..4].copy_from_slice(&searcher.ip().octets());
    LE::write_u16(&mut out[4..], searcher.port());
    out
}
