//! Frames between mixers and searchers: a length, a letter, the rest.

/// Longest frame that is taken: a client's answer may hold 64 KiB and a part's value no more, with a line.
const LONGEST: usize = 68 * 1024;
/// An answer's line is shorter: an id, an end, a score and a load report.
const LINE: usize = 4 * 1024;

/// How a searcher answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Ok,
    Error,
    Full,
}

/// What a searcher sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    Part {
        id: String,
        verdict: Verdict,
        value: String,
        /// How busy the searcher says its cores are, 1 for all; none where its report does not tell.
        busy: Option<f64>,
    },
    /// What a probe was answered; none where the words are unknown.
    Probe(Option<Verdict>),
    /// It could not use the frame before, and closes the connection.
    Unusable(String),
}

/// Reads the first frame of these bytes and how long it is; none while it is not whole.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize)>, String> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if !(1..=LONGEST).contains(&length) {
        return Err(format!("a frame of {length} bytes"));
    }
    // What can't become a frame is told at once, however much of it is still to come.
    match rest.first() {
        None | Some(b'O' | b'I' | b'Z') => {}
        Some(letter) => return Err(format!("a frame of letter {:?}", char::from(*letter))),
    }
    let Some(frame) = rest.get(..length) else {
        let endless = rest.len() > LINE && rest[0] == b'O' && !rest[..LINE].contains(&b'\n');
        return if endless { Err("an answer's line that does not end".to_owned()) } else { Ok(None) };
    };
    let body = &frame[1..];
    let frame = match frame[0] {
        b'O' => part(body)?,
        b'I' => Frame::Probe(match body {
            b"200" => Some(Verdict::Ok),
            b"500" => Some(Verdict::Error),
            _ => None,
        }),
        _ => Frame::Unusable(String::from_utf8_lossy(body).chars().take(200).collect()),
    };
    Ok(Some((frame, 4 + length)))
}

/// A line of four words, of which the report may be anything: a good answer may bring one that can't be read.
fn part(body: &[u8]) -> Result<Frame, String> {
    let split = body.iter().position(|b| *b == b'\n').ok_or("an answer without a line")?;
    let mut words = body[..split].split(|b| *b == b' ').filter(|word| !word.is_empty());
    let (Some(id), Some(end), Some(score), Some(report)) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(format!("an answer's line is {:?}", String::from_utf8_lossy(&body[..split])));
    };
    let verdict = match end {
        b"200" => Verdict::Ok,
        b"500" => Verdict::Error,
        b"503" => Verdict::Full,
        other => return Err(format!("an answer that ends {:?}", String::from_utf8_lossy(other))),
    };
    if !score.iter().all(u8::is_ascii_digit) {
        return Err(format!("an answer of score {:?}", String::from_utf8_lossy(score)));
    }
    let id = std::str::from_utf8(id).map_err(|_| "an answer's id is not text")?;
    let value = std::str::from_utf8(&body[split + 1..]).map_err(|_| "a value is not text")?;
    // Longer than told, it runs into the length of the frame behind it.
    if value.chars().any(|c| c.is_control() && !c.is_whitespace()) {
        return Err("a value with control characters".to_owned());
    }
    Ok(Frame::Part { id: id.to_owned(), verdict, value: value.to_owned(), busy: busy(report) })
}

/// Words of a load report for the busy share: the protocol's own, and the settings'.
const BUSY: [&str; 2] = ["util", "load_share"];

/// The busy share in a report like `inflight=7,util=0.61`; what can't be read or can't be is no word on it.
fn busy(report: &[u8]) -> Option<f64> {
    let pairs = std::str::from_utf8(report).ok()?.split(',').filter_map(|pair| pair.split_once('='));
    let share: f64 = pairs.filter(|(name, _)| BUSY.contains(name)).find_map(|(_, v)| v.parse().ok())?;
    (share.is_finite() && share >= 0.0).then_some(share)
}

/// One part of a call.
pub struct CallPart<'a> {
    pub id: &'a str,
    pub shard: u32,
    /// Whole milliseconds that the mixer will wait.
    pub wait_ms: u64,
    pub text: &'a str,
}

pub fn encode_call(pieces: &[CallPart]) -> Vec<u8> {
    let mut body = Vec::new();
    for CallPart { id, shard, wait_ms, text } in pieces {
        body.extend_from_slice(format!("{id} {shard} d={wait_ms} {}\n{text}", text.len()).as_bytes());
    }
    framed(b'D', &body)
}

pub fn encode_cancel(id: &str) -> Vec<u8> {
    framed(b'K', id.as_bytes())
}

pub fn encode_probe() -> Vec<u8> {
    framed(b'I', &[])
}

fn framed(letter: u8, body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(5 + body.len());
    frame.extend_from_slice(&(body.len() as u32 + 1).to_be_bytes());
    frame.push(letter);
    frame.extend_from_slice(body);
    frame
}
