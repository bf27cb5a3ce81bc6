//! Frames between mixers and searchers: a length, a letter for the kind, and the body.

/// Longest frame that is accepted: a part's value and its line. A client's answer may hold 64 KiB, so a value
/// may hold no more.
const MAX_FRAME_BYTES: usize = 68 * 1024;
/// Longest line of an answer: an id, a status, a score and a load report.
const MAX_LINE_BYTES: usize = 4 * 1024;
const MAX_REASON_CHARS: usize = 200;
const LENGTH_BYTES: usize = 4;

/// How a searcher answered a part or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Ok,
    Error,
    Full,
}

/// A frame from a searcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    Part {
        id: String,
        verdict: Verdict,
        value: String,
        /// The share of its cores that the searcher reports as busy, 1 for all; `None` if its report does not
        /// say.
        busy: Option<f64>,
    },
    /// The answer to a probe; `None` if its status is unknown.
    Probe(Option<Verdict>),
    /// The searcher could not use the last frame, and closes the connection.
    Unusable(String),
}

/// Why bytes can't be decoded as a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrameError {
    pub reason: String,
    /// No frame can begin with these bytes, but text can: if the frame before them states too short a length,
    /// they are the rest of its value.
    pub may_continue_value: bool,
}

impl FrameError {
    /// An error in a frame whose beginning is sound, so that the frame before it ended where it said.
    pub fn malformed(reason: impl Into<String>) -> Self {
        Self { reason: reason.into(), may_continue_value: false }
    }

    /// The error for bytes that state an impossible length.
    fn impossible_length(bytes: &[u8], length: usize) -> Self {
        Self { reason: format!("a frame of {length} bytes"), may_continue_value: begins_with_text(bytes) }
    }
}

/// Whether a value may contain a character. Values are text: the length of a frame is not.
fn is_allowed_in_value(character: char) -> bool {
    !character.is_control() || character.is_whitespace()
}

/// Whether the first character of these bytes, which may be incomplete, is one that a value may contain.
fn begins_with_text(bytes: &[u8]) -> bool {
    const MAX_CHARACTER_BYTES: usize = 4;
    let beginning = &bytes[..bytes.len().min(MAX_CHARACTER_BYTES)];
    let (valid_bytes, is_incomplete) = match std::str::from_utf8(beginning) {
        Ok(_) => (beginning.len(), false),
        Err(error) => (error.valid_up_to(), error.error_len().is_none()),
    };
    match String::from_utf8_lossy(&beginning[..valid_bytes]).chars().next() {
        Some(character) => is_allowed_in_value(character),
        None => is_incomplete,
    }
}

/// The stated length of the frame that these bytes begin; `None` while it is incomplete. A length that can't
/// become a possible one is reported at once, however many of its bytes are still to come.
fn decode_length(bytes: &[u8]) -> Result<Option<usize>, FrameError> {
    let mut least = [0; LENGTH_BYTES];
    let known_bytes = bytes.len().min(LENGTH_BYTES);
    least[..known_bytes].copy_from_slice(&bytes[..known_bytes]);
    let length = u32::from_be_bytes(least) as usize;
    let is_complete = known_bytes == LENGTH_BYTES;
    if length > MAX_FRAME_BYTES || is_complete && length == 0 {
        return Err(FrameError::impossible_length(bytes, length));
    }
    Ok(is_complete.then_some(length))
}

/// Decodes the first frame of these bytes, and returns it with its length; `None` while it is incomplete.
///
/// # Errors
/// If the bytes are no frame.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize)>, FrameError> {
    let Some(length) = decode_length(bytes)? else { return Ok(None) };
    let rest = &bytes[LENGTH_BYTES..];
    // Bytes that can't become a frame are reported at once, however many are still to come.
    match rest.first() {
        None | Some(b'O' | b'I' | b'Z') => {}
        Some(letter) => {
            return Err(FrameError::malformed(format!("a frame of letter {:?}", char::from(*letter))));
        }
    }
    let Some(frame) = rest.get(..length) else {
        let is_line_too_long =
            rest.len() > MAX_LINE_BYTES && rest[0] == b'O' && !rest[..MAX_LINE_BYTES].contains(&b'\n');
        if is_line_too_long {
            return Err(FrameError::malformed("an answer's line that does not end"));
        }
        return Ok(None);
    };
    let body = &frame[1..];
    let frame = match frame[0] {
        b'O' => decode_part(body).map_err(FrameError::malformed)?,
        b'I' => Frame::Probe(match body {
            b"200" => Some(Verdict::Ok),
            b"500" => Some(Verdict::Error),
            _ => None,
        }),
        _ => Frame::Unusable(String::from_utf8_lossy(body).chars().take(MAX_REASON_CHARS).collect()),
    };
    Ok(Some((frame, LENGTH_BYTES + length)))
}

/// Decodes a part's answer: a line of four fields (id, status, score, load report), and the value. An
/// unreadable load report is accepted, as the answer itself may be good.
fn decode_part(body: &[u8]) -> Result<Frame, String> {
    let line_length = body.iter().position(|b| *b == b'\n').ok_or("an answer without a line")?;
    let line = &body[..line_length];
    let mut fields = line.split(|b| *b == b' ').filter(|field| !field.is_empty());
    let (Some(id), Some(status), Some(score), Some(report)) =
        (fields.next(), fields.next(), fields.next(), fields.next())
    else {
        return Err(format!("an answer's line is {:?}", String::from_utf8_lossy(line)));
    };
    let verdict = match status {
        b"200" => Verdict::Ok,
        b"500" => Verdict::Error,
        b"503" => Verdict::Full,
        other => return Err(format!("an answer that ends {:?}", String::from_utf8_lossy(other))),
    };
    if !score.iter().all(u8::is_ascii_digit) {
        return Err(format!("an answer of score {:?}", String::from_utf8_lossy(score)));
    }
    let id = std::str::from_utf8(id).map_err(|_| "an answer's id is not text")?;
    let value = std::str::from_utf8(&body[line_length + 1..]).map_err(|_| "a value is not text")?;
    // If a frame is shorter than its stated length, the length of the next frame becomes part of the value.
    if !value.chars().all(is_allowed_in_value) {
        return Err("a value with control characters".to_owned());
    }
    Ok(Frame::Part { id: id.to_owned(), verdict, value: value.to_owned(), busy: busy_share(report) })
}

/// Names under which a load report gives the busy share: the protocol's, and the settings'.
const BUSY_SHARE_NAMES: [&str; 2] = ["util", "load_share"];

/// The busy share in a report like `inflight=7,util=0.61`; `None` if it is missing, unreadable or impossible.
fn busy_share(report: &[u8]) -> Option<f64> {
    let pairs = std::str::from_utf8(report).ok()?.split(',').filter_map(|pair| pair.split_once('='));
    let mut shares = pairs.filter(|(name, _)| BUSY_SHARE_NAMES.contains(name));
    let share: f64 = shares.find_map(|(_, value)| value.parse().ok())?;
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

pub fn encode_call(parts: &[CallPart]) -> Vec<u8> {
    let mut body = Vec::new();
    for CallPart { id, shard, wait_ms, text } in parts {
        body.extend_from_slice(format!("{id} {shard} d={wait_ms} {}\n{text}", text.len()).as_bytes());
    }
    encode(b'D', &body)
}

pub fn encode_cancel(id: &str) -> Vec<u8> {
    encode(b'K', id.as_bytes())
}

pub fn encode_probe() -> Vec<u8> {
    encode(b'I', &[])
}

fn encode(letter: u8, body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(5 + body.len());
    frame.extend_from_slice(&(body.len() as u32 + 1).to_be_bytes());
    frame.push(letter);
    frame.extend_from_slice(body);
    frame
}
