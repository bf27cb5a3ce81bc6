//! HTTP/1.1, as far as clients and discovery speak it.

use std::fmt::Write;

use serde_json::Value;

/// Longest head and longest body that are taken.
const HEAD: usize = 16 * 1024;
const BODY: usize = 64 * 1024;
const HEADERS: usize = 64;

/// A scan as its client asks for it.
#[derive(Clone, Debug, PartialEq)]
pub struct ScanAsk {
    pub id: String,
    pub table_type: String,
    pub customer: Option<String>,
    /// How long its client still waits.
    pub wait_ms: f64,
    pub retry: bool,
    pub text: String,
    pub parts: Vec<PartAsk>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct PartAsk {
    pub shard: u32,
    pub weight: f64,
    pub work_ms: Option<f64>,
}

/// What a client asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    Scan(ScanAsk),
    Ready,
    Healthy,
    Counters,
    /// It can't be used: a status and a line on why.
    Unusable(u16, String),
}

/// A request, whether its connection ends with it, and how many bytes it took.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub ask: Ask,
    pub close: bool,
    pub used: usize,
}

/// A status and a line on what is wrong.
type Fault = (u16, String);

/// How the bytes of a body are told from what follows.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length(usize),
    Chunked,
}

fn all<'a>(headers: &'a [httparse::Header], name: &str) -> impl Iterator<Item = &'a [u8]> {
    headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
}

/// A header that must be single.
fn header<'a>(headers: &'a [httparse::Header], name: &str) -> Result<Option<&'a str>, String> {
    let mut found = all(headers, name);
    let Some(value) = found.next() else { return Ok(None) };
    if found.next().is_some() {
        return Err(format!("{name} is given twice"));
    }
    let text = std::str::from_utf8(value).map_err(|_| format!("{name} is not text"))?;
    Ok(Some(text.trim()))
}

fn must<'a>(headers: &'a [httparse::Header], name: &str) -> Result<&'a str, String> {
    header(headers, name)?.ok_or_else(|| format!("{name} is missing"))
}

/// A whole number of digits alone.
fn digits<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

fn framing(headers: &[httparse::Header]) -> Result<Option<Framing>, Fault> {
    let bad = |why| (400, why);
    let length = header(headers, "Content-Length").map_err(bad)?;
    match (header(headers, "Transfer-Encoding").map_err(bad)?, length) {
        (Some(_), Some(_)) => Err(bad("the length of the body is told twice".to_owned())),
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
        (Some(coding), None) => Err((501, format!("Transfer-Encoding {coding}"))),
        (None, None) => Ok(None),
        (None, Some(length)) if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) => {
            Err(bad("Content-Length can't be read".to_owned()))
        }
        (None, Some(length)) => match length.parse().unwrap_or(usize::MAX) {
            length if length > BODY => Err((413, format!("a body over {BODY} bytes"))),
            length => Ok(Some(Framing::Length(length))),
        },
    }
}

/// How far the reading of a request has come, so that its bytes are not read again at each piece.
#[derive(Default)]
pub struct Progress {
    /// Of these bytes nothing can come yet.
    seen: usize,
    /// Nor of fewer than these.
    wanted: usize,
    /// Chunks taken so far, and where the next begins in the body.
    whole: Vec<u8>,
    at: usize,
}

impl Progress {
    /// Reads the first request of these bytes; none while it is not whole. To be asked with the same bytes and
    /// more until it is, then with what follows it.
    pub fn request(&mut self, bytes: &[u8]) -> Option<Request> {
        // Lines end heads and chunk sizes; a body told by length ends where it says.
        let idle = bytes.len() <= HEAD && !bytes.get(self.seen..).is_some_and(|new| new.contains(&b'\n'));
        if bytes.is_empty() || bytes.len() < self.wanted || self.wanted == 0 && self.seen > 0 && idle {
            self.seen = self.seen.max(bytes.len());
            return None;
        }
        let request = self.read(bytes);
        self.seen = bytes.len();
        if request.is_some() {
            *self = Self::default();
        }
        request
    }

    /// A body and how many bytes it took; none while it is not whole.
    fn body(
        &mut self,
        bytes: &[u8],
        from: usize,
        framing: Framing,
    ) -> Result<Option<(Vec<u8>, usize)>, Fault> {
        let bytes = &bytes[from..];
        if let Framing::Length(length) = framing {
            self.wanted = from + length;
            return Ok(bytes.get(..length).map(|b| (b.to_vec(), length)));
        }
        self.wanted = from + self.at + 1;
        let long = || (413, format!("a body over {BODY} bytes"));
        loop {
            match chunk(&bytes[self.at..]).map_err(|why| (400, why))? {
                _ if self.at > HEAD + BODY => return Err(long()),
                None if bytes.len() - self.at > HEAD + BODY => return Err(long()),
                None => return Ok(None),
                Some(([], used)) => return Ok(Some((std::mem::take(&mut self.whole), self.at + used))),
                Some((data, used)) => {
                    self.at += used;
                    self.whole.extend_from_slice(data);
                    if self.whole.len() > BODY {
                        return Err(long());
                    }
                }
            }
        }
    }
    fn read(&mut self, bytes: &[u8]) -> Option<Request> {
        let unusable = |status: u16, why: String, used: usize, close: bool| {
            Some(Request { ask: Ask::Unusable(status, why), close, used })
        };
        // Whatever breaks the framing uses up all that came, and ends the connection.
        let lost = |status: u16, why: String| unusable(status, why, bytes.len(), true);
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let from = match head.parse(bytes) {
            Ok(httparse::Status::Complete(from)) if from > HEAD => {
                return lost(431, "a head too long".into());
            }
            Ok(httparse::Status::Complete(from)) => from,
            Ok(httparse::Status::Partial) if bytes.len() > HEAD => {
                return lost(431, "a head without end".into());
            }
            Ok(httparse::Status::Partial) => return None,
            Err(httparse::Error::TooManyHeaders) => return lost(431, "too many headers".into()),
            Err(error) => return lost(400, error.to_string()),
        };
        if head.version == Some(0) && all(head.headers, "Transfer-Encoding").next().is_some() {
            return lost(400, "HTTP/1.0 knows no Transfer-Encoding".into());
        }
        let (method, path) = (head.method.unwrap_or_default(), head.path.unwrap_or_default());
        let headers = &*head.headers;
        let (body, used) = match framing(headers) {
            Err((status, why)) => return lost(status, why),
            Ok(None) => (Vec::new(), from),
            Ok(Some(framing)) => match self.body(bytes, from, framing) {
                Err((status, why)) => return lost(status, why),
                Ok(None) => return None,
                Ok(Some((body, used))) => (body, from + used),
            },
        };
        let says = |word: &str| {
            let mut words = all(headers, "Connection").flat_map(|v| v.split(|b| *b == b','));
            words.any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        };
        let close = says("close") || head.version == Some(0) && !says("keep-alive");
        let path = path.split('?').next().unwrap_or_default();
        let ask = match (method, path) {
            ("GET", "/-/ready") => Ask::Ready,
            ("GET", "/-/healthy") => Ask::Healthy,
            ("GET", "/-/counters") => Ask::Counters,
            (_, path) if path.starts_with("/-/") => Ask::Unusable(404, format!("no page {path}")),
            ("POST", path) => {
                let table_type = path.trim_start_matches('/').split('/').next().unwrap_or_default();
                scan(table_type, headers, &body).unwrap_or_else(|why| Ask::Unusable(400, why))
            }
            (method, _) => Ask::Unusable(405, format!("{method} is not for scans")),
        };
        Some(Request { ask, close, used })
    }
}

/// The next chunk and how many bytes it took; the last one, which is empty, with its trailers.
pub fn chunk(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, String> {
    let (from, size) = match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((from, size))) => (from, usize::try_from(size).unwrap_or(usize::MAX)),
        Ok(httparse::Status::Partial) if bytes.len() > HEAD => {
            return Err("a chunk's head is too long".into());
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err("the size of a chunk can't be read".into()),
    };
    if size == 0 {
        let mut trailers = [httparse::EMPTY_HEADER; HEADERS];
        return match httparse::parse_headers(&bytes[from..], &mut trailers) {
            Ok(httparse::Status::Complete((used, _))) => Ok(Some((&[], from + used))),
            Ok(httparse::Status::Partial) if bytes.len() > HEAD => Err("trailers without end".into()),
            Ok(httparse::Status::Partial) => Ok(None),
            Err(error) => Err(format!("trailers: {error}")),
        };
    }
    let end = from.checked_add(size).ok_or("a chunk is too long")?;
    match bytes.get(end..) {
        Some([b'\r', b'\n', ..]) => Ok(Some((&bytes[from..end], end + 2))),
        Some([] | [b'\r']) | None => Ok(None),
        Some(_) => Err("a chunk is longer than told".into()),
    }
}

/// Reads the first request of these bytes at one go; none while it is not whole.
pub fn request(bytes: &[u8]) -> Option<Request> {
    Progress::default().request(bytes)
}

/// Longest id of a request that is taken.
const ID: usize = 128;
/// A sum of weights may be off by so much, however few they are.
const ROUNDING: f64 = 1e-3;
/// Weights are written with six digits: each may be off by half of the last one, and by as much again where it was cut off.
const ROUNDING_PER_PART: f64 = 1e-6;

fn scan(table_type: &str, headers: &[httparse::Header], body: &[u8]) -> Result<Ask, String> {
    let id = must(headers, "Req-Id")?;
    if id.is_empty() || id.len() > ID || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(format!("Req-Id {id:?} can't be used"));
    }
    let wait = must(headers, "Req-Deadline-Ms")?;
    let wait: u32 = digits(wait)
        .filter(|wait| *wait > 0)
        .ok_or_else(|| format!("Req-Deadline-Ms {wait:?} can't be used"))?;
    let body: Value = serde_json::from_slice(body).map_err(|error| format!("the body: {error}"))?;
    let text = body["expr"].as_str().ok_or("expr is missing")?;
    let parts = body["parts"].as_array().ok_or("parts is missing")?;
    let mut parts = parts.iter().map(part).collect::<Result<Vec<_>, _>>()?;
    if parts.is_empty() {
        return Err("no parts".to_owned());
    }
    let mut shards: Vec<u32> = parts.iter().map(|p| p.shard).collect();
    shards.sort_unstable();
    if shards.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err("a part twice".to_owned());
    }
    normalize_weights(&mut parts)?;
    Ok(Ask::Scan(ScanAsk {
        id: id.to_owned(),
        table_type: table_type.to_owned(),
        customer: header(headers, "Req-Owner")?.map(str::to_owned),
        wait_ms: f64::from(wait),
        retry: header(headers, "Req-Retry")? == Some("1"),
        text: text.to_owned(),
        parts,
    }))
}

/// Brings the weights to a sum of one. They come rounded, and the error of the sum grows with the number of parts: a query that
/// needs all of its parts would fall short of the whole though each of them is in.
fn normalize_weights(parts: &mut [PartAsk]) -> Result<(), String> {
    let sum: f64 = parts.iter().map(|p| p.weight).sum();
    let tolerance = ROUNDING.max(ROUNDING_PER_PART * parts.len() as f64);
    if (sum - 1.0).abs() > tolerance {
        return Err(format!("weights come to {sum}"));
    }
    for part in parts {
        part.weight /= sum;
    }
    Ok(())
}

fn part(part: &Value) -> Result<PartAsk, String> {
    let shard = part["id"].as_u64().and_then(|id| u32::try_from(id).ok());
    let weight = part["w"].as_f64().filter(|w| (0.0..=1.0).contains(w));
    let hint = &part["hint"];
    match (shard, weight) {
        _ if !hint.is_null() && !hint.is_number() => Err(format!("a part's hint is {hint}")),
        (Some(shard), Some(weight)) => {
            Ok(PartAsk { shard, weight, work_ms: hint.as_f64().map(|us| us / 1000.0) })
        }
        (None, _) => Err(format!("a part's id is {}", part["id"])),
        (_, None) => Err(format!("a part's weight is {}", part["w"])),
    }
}

/// A whole answer to a client. With `close`, the connection ends with it.
pub fn answer(status: u16, back_in_ms: Option<f64>, body: &[u8], close: bool) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Internal Server Error",
    };
    let kind = if body.first() == Some(&b'{') { "application/json" } else { "text/plain" };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\n");
    let mut line = |text: std::fmt::Arguments| {
        let _ = head.write_fmt(text); // a string takes all
    };
    line(format_args!("Content-Length: {}\r\n", body.len()));
    if let Some(ms) = back_in_ms {
        line(format_args!("Retry-After: {}\r\n", (ms.max(0.0)).round() / 1000.0));
    }
    if status == 405 {
        line(format_args!("Allow: POST\r\n"));
    }
    line(format_args!("{}\r\n", if close { "Connection: close\r\n" } else { "" }));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The body of a completed scan.
pub fn rows<'a>(whole: bool, values: impl Iterator<Item = (u32, &'a str)>) -> Vec<u8> {
    let rows: Vec<Value> =
        values.map(|(shard, value)| serde_json::json!({"id": shard, "data": value})).collect();
    serde_json::json!({"exact": whole, "rows": rows}).to_string().into_bytes()
}

/// How the body of discovery's answer is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Body {
    Length(usize),
    Chunked,
}

/// The head of discovery's answer: its status, its body, how many bytes it took.
pub fn response(bytes: &[u8]) -> Result<Option<(u16, Body, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(used)) => {
            let said = |name| header(head.headers, name);
            let chunked = said("Transfer-Encoding")?.is_some_and(|c| c.eq_ignore_ascii_case("chunked"));
            let length = said("Content-Length")?.and_then(digits).unwrap_or(0);
            let body = if chunked { Body::Chunked } else { Body::Length(length) };
            Ok(Some((head.code.unwrap_or_default(), body, used)))
        }
        Ok(httparse::Status::Partial) if bytes.len() > HEAD => Err("a head without end".into()),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}
