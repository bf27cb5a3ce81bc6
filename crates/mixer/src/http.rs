//! The parts of HTTP/1.1 that clients and discovery use.

use std::fmt::Write;

use serde_json::Value;

const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a chunked body as it is sent, with the heads of its chunks.
const MAX_CHUNKED_BODY_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
const MAX_HEADERS: usize = 64;

/// A scan as its client requests it.
#[derive(Clone, Debug, PartialEq)]
pub struct ScanRequest {
    pub id: String,
    pub table_type: String,
    pub customer: Option<String>,
    /// How long the client still waits for the answer.
    pub wait_ms: f64,
    pub retry: bool,
    pub text: String,
    pub parts: Vec<PartRequest>,
}

/// One part of a requested scan.
#[derive(Clone, Debug, PartialEq)]
pub struct PartRequest {
    pub shard: u32,
    /// The share of the scan's result that the part contributes.
    pub weight: f64,
    /// The client's estimate of the work, if it gives one.
    pub work_ms: Option<f64>,
}

/// What a client requests: a scan, or one of the mixer's own pages.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestKind {
    Scan(ScanRequest),
    /// Whether the mixer serves scans.
    Ready,
    /// Whether the process runs.
    Healthy,
    Counters,
    /// The request is invalid: the status of its answer and the reason.
    Unusable(u16, String),
}

/// A request that has been read completely.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub kind: RequestKind,
    /// The connection ends with the answer to this request.
    pub close: bool,
    /// Number of bytes of the request.
    pub used: usize,
}

/// Why a request is rejected, and the status of its answer.
pub struct RequestError {
    pub status: u16,
    pub reason: String,
}

impl RequestError {
    pub(crate) fn bad_request(reason: String) -> Self {
        Self { status: 400, reason }
    }

    fn body_too_large() -> Self {
        Self { status: 413, reason: format!("a body over {MAX_BODY_BYTES} bytes") }
    }
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyFraming {
    /// The length is stated.
    Length(usize),
    /// The last chunk is the end.
    Chunked,
}

fn values_of<'a>(headers: &'a [httparse::Header], name: &str) -> impl Iterator<Item = &'a [u8]> {
    headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
}

/// The value of a header that may be given once at most.
fn single_header<'a>(headers: &'a [httparse::Header], name: &str) -> Result<Option<&'a str>, String> {
    let mut values = values_of(headers, name);
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(format!("{name} is given twice"));
    }
    let text = std::str::from_utf8(value).map_err(|_| format!("{name} is not text"))?;
    Ok(Some(text.trim()))
}

fn required_header<'a>(headers: &'a [httparse::Header], name: &str) -> Result<&'a str, String> {
    single_header(headers, name)?.ok_or_else(|| format!("{name} is missing"))
}

/// Parses a whole number without a sign.
fn parse_digits<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// How the end of a request's body is found; `None` if it has no body.
fn parse_framing(headers: &[httparse::Header]) -> Result<Option<BodyFraming>, RequestError> {
    let length = single_header(headers, "Content-Length").map_err(RequestError::bad_request)?;
    let coding = single_header(headers, "Transfer-Encoding").map_err(RequestError::bad_request)?;
    match (coding, length) {
        (Some(_), Some(_)) => {
            Err(RequestError::bad_request("the length of the body is told twice".to_owned()))
        }
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(BodyFraming::Chunked)),
        (Some(coding), None) => {
            Err(RequestError { status: 501, reason: format!("Transfer-Encoding {coding}") })
        }
        (None, None) => Ok(None),
        (None, Some(length)) if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) => {
            Err(RequestError::bad_request("Content-Length can't be read".to_owned()))
        }
        (None, Some(length)) => match length.parse().unwrap_or(usize::MAX) {
            length if length > MAX_BODY_BYTES => Err(RequestError::body_too_large()),
            length => Ok(Some(BodyFraming::Length(length))),
        },
    }
}

/// Parses requests that arrive in pieces. It remembers its progress, so that bytes are not parsed again with
/// each further piece.
#[derive(Default)]
pub struct RequestParser {
    /// Number of bytes that were passed in the last call, which did not contain a whole request.
    seen: usize,
    /// Once the head is parsed: a whole request takes at least this many bytes. Zero before.
    min_bytes: usize,
    /// The data of the chunks parsed so far.
    chunked_body: Vec<u8>,
    /// The offset of the next chunk in the body as it is sent.
    next_chunk_at: usize,
}

/// The body of a request.
struct ParsedBody {
    data: Vec<u8>,
    /// Number of bytes that it takes as it is sent, with the heads of its chunks.
    used: usize,
}

impl RequestParser {
    /// Parses the first request of these bytes; `None` while it is incomplete. The next call must pass the
    /// same bytes and those that have arrived since; after a whole request, the bytes behind it.
    pub fn parse(&mut self, bytes: &[u8]) -> Option<Request> {
        if bytes.is_empty() || bytes.len() < self.min_bytes || self.is_head_still_incomplete(bytes) {
            self.seen = self.seen.max(bytes.len());
            return None;
        }
        // An error consumes all bytes and ends the connection, as the next request can't be found.
        let request = self.parse_whole(bytes).unwrap_or_else(|RequestError { status, reason }| {
            let kind = RequestKind::Unusable(status, reason);
            Some(Request { kind, close: true, used: bytes.len() })
        });
        self.seen = bytes.len();
        if request.is_some() {
            *self = Self::default();
        }
        request
    }

    /// Whether the head was incomplete in the last call and still is, as no line feed has arrived since. A head
    /// that has become too long is parsed again, and rejected.
    fn is_head_still_incomplete(&self, bytes: &[u8]) -> bool {
        let no_new_line =
            bytes.len() <= MAX_HEAD_BYTES && !bytes.get(self.seen..).is_some_and(|new| new.contains(&b'\n'));
        self.min_bytes == 0 && self.seen > 0 && no_new_line
    }

    /// Parses a request; `None` while it is incomplete. The error means that its end can't be found.
    fn parse_whole(&mut self, bytes: &[u8]) -> Result<Option<Request>, RequestError> {
        let head_error = |reason: &str| RequestError { status: 431, reason: reason.to_owned() };
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let body_start = match head.parse(bytes) {
            Ok(httparse::Status::Complete(head_bytes)) if head_bytes > MAX_HEAD_BYTES => {
                return Err(head_error("a head too long"));
            }
            Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
            Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => {
                return Err(head_error("a head without end"));
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(head_error("too many headers")),
            Err(error) => return Err(RequestError::bad_request(error.to_string())),
        };
        if head.version == Some(0) && values_of(head.headers, "Transfer-Encoding").next().is_some() {
            return Err(RequestError::bad_request("HTTP/1.0 knows no Transfer-Encoding".to_owned()));
        }
        let headers = &*head.headers;
        let body = match parse_framing(headers)? {
            None => Some(ParsedBody { data: Vec::new(), used: 0 }),
            Some(BodyFraming::Length(length)) => self.parse_body_of_length(bytes, body_start, length),
            Some(BodyFraming::Chunked) => self.parse_chunked_body(bytes, body_start)?,
        };
        let Some(body) = body else { return Ok(None) };
        let close = closes_connection(&head);
        let method = head.method.unwrap_or_default();
        let path = head.path.unwrap_or_default().split('?').next().unwrap_or_default();
        let kind = parse_kind(method, path, headers, &body.data);
        Ok(Some(Request { kind, close, used: body_start + body.used }))
    }

    /// Parses a body of known length that begins at `body_start`; `None` while it is incomplete.
    fn parse_body_of_length(&mut self, bytes: &[u8], body_start: usize, length: usize) -> Option<ParsedBody> {
        self.min_bytes = body_start + length;
        let data = bytes[body_start..].get(..length)?;
        Some(ParsedBody { data: data.to_vec(), used: length })
    }

    /// Parses the chunks of a body that begins at `body_start`, from the first that is not parsed yet; `None`
    /// while the last one is incomplete.
    fn parse_chunked_body(
        &mut self,
        bytes: &[u8],
        body_start: usize,
    ) -> Result<Option<ParsedBody>, RequestError> {
        let bytes = &bytes[body_start..];
        self.min_bytes = body_start + self.next_chunk_at + 1;
        loop {
            let unparsed = &bytes[self.next_chunk_at..];
            let chunk = parse_chunk(unparsed).map_err(RequestError::bad_request)?;
            if self.next_chunk_at > MAX_CHUNKED_BODY_BYTES {
                return Err(RequestError::body_too_large());
            }
            let Some(Chunk { data, used }) = chunk else {
                let is_too_large = unparsed.len() > MAX_CHUNKED_BODY_BYTES;
                return if is_too_large { Err(RequestError::body_too_large()) } else { Ok(None) };
            };
            if data.is_empty() {
                let data = std::mem::take(&mut self.chunked_body);
                return Ok(Some(ParsedBody { data, used: self.next_chunk_at + used }));
            }
            self.next_chunk_at += used;
            self.chunked_body.extend_from_slice(data);
            if self.chunked_body.len() > MAX_BODY_BYTES {
                return Err(RequestError::body_too_large());
            }
        }
    }
}

/// Whether the connection ends with the answer to this request.
fn closes_connection(head: &httparse::Request) -> bool {
    let has_option = |option: &str| {
        let mut options = values_of(head.headers, "Connection").flat_map(|v| v.split(|b| *b == b','));
        options.any(|o| o.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
    };
    has_option("close") || head.version == Some(0) && !has_option("keep-alive")
}

fn parse_kind(method: &str, path: &str, headers: &[httparse::Header], body: &[u8]) -> RequestKind {
    match (method, path) {
        ("GET", "/-/ready") => RequestKind::Ready,
        ("GET", "/-/healthy") => RequestKind::Healthy,
        ("GET", "/-/counters") => RequestKind::Counters,
        (_, path) if path.starts_with("/-/") => RequestKind::Unusable(404, format!("no page {path}")),
        ("POST", path) => {
            let table_type = path.trim_start_matches('/').split('/').next().unwrap_or_default();
            parse_scan(table_type, headers, body).unwrap_or_else(|reason| RequestKind::Unusable(400, reason))
        }
        (method, _) => RequestKind::Unusable(405, format!("{method} is not for scans")),
    }
}

/// One chunk of a body. The last chunk is empty and includes the trailers.
pub struct Chunk<'a> {
    pub data: &'a [u8],
    /// Number of bytes of the chunk, with its head.
    pub used: usize,
}

/// Parses the first chunk of these bytes; `None` while it is incomplete.
pub fn parse_chunk(bytes: &[u8]) -> Result<Option<Chunk<'_>>, String> {
    let (data_start, size) = match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((data_start, size))) => {
            (data_start, usize::try_from(size).unwrap_or(usize::MAX))
        }
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => {
            return Err("a chunk's head is too long".into());
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err("the size of a chunk can't be read".into()),
    };
    if size == 0 {
        return parse_last_chunk(bytes, data_start);
    }
    let end = data_start.checked_add(size).ok_or("a chunk is too long")?;
    match bytes.get(end..) {
        Some([b'\r', b'\n', ..]) => Ok(Some(Chunk { data: &bytes[data_start..end], used: end + 2 })),
        Some([] | [b'\r']) | None => Ok(None),
        Some(_) => Err("a chunk is longer than told".into()),
    }
}

/// Parses the rest of the last chunk: the trailers, which begin at `trailers_start`, behind the chunk's size.
fn parse_last_chunk(bytes: &[u8], trailers_start: usize) -> Result<Option<Chunk<'_>>, String> {
    let mut trailers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(&bytes[trailers_start..], &mut trailers) {
        Ok(httparse::Status::Complete((used, _))) => {
            Ok(Some(Chunk { data: &[], used: trailers_start + used }))
        }
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => Err("trailers without end".into()),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(error) => Err(format!("trailers: {error}")),
    }
}

/// Parses the first request of these bytes at once; `None` if it is incomplete.
pub fn parse_request(bytes: &[u8]) -> Option<Request> {
    RequestParser::default().parse(bytes)
}

const MAX_REQUEST_ID_BYTES: usize = 128;
/// The least tolerance for the sum of the weights, which applies if there are few parts.
const WEIGHT_SUM_TOLERANCE: f64 = 1e-3;
/// Weights are written with six decimals: each may be off by half of the last decimal, or by a whole one if the
/// client truncates.
const WEIGHT_SUM_TOLERANCE_PER_PART: f64 = 1e-6;

fn parse_scan(table_type: &str, headers: &[httparse::Header], body: &[u8]) -> Result<RequestKind, String> {
    let id = required_header(headers, "Req-Id")?;
    if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(format!("Req-Id {id:?} can't be used"));
    }
    let deadline_ms = required_header(headers, "Req-Deadline-Ms")?;
    let wait_ms: u32 = parse_digits(deadline_ms)
        .filter(|wait_ms| *wait_ms > 0)
        .ok_or_else(|| format!("Req-Deadline-Ms {deadline_ms:?} can't be used"))?;
    let body: Value = serde_json::from_slice(body).map_err(|error| format!("the body: {error}"))?;
    let text = body["expr"].as_str().ok_or("expr is missing")?;
    let parts = body["parts"].as_array().ok_or("parts is missing")?;
    let mut parts = parts.iter().map(parse_part).collect::<Result<Vec<_>, _>>()?;
    if parts.is_empty() {
        return Err("no parts".to_owned());
    }
    let mut shards: Vec<u32> = parts.iter().map(|p| p.shard).collect();
    shards.sort_unstable();
    if shards.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err("a part twice".to_owned());
    }
    normalize_weights(&mut parts)?;
    Ok(RequestKind::Scan(ScanRequest {
        id: id.to_owned(),
        table_type: table_type.to_owned(),
        customer: single_header(headers, "Req-Owner")?.map(str::to_owned),
        wait_ms: f64::from(wait_ms),
        retry: single_header(headers, "Req-Retry")? == Some("1"),
        text: text.to_owned(),
        parts,
    }))
}

/// Scales the weights to a sum of one. Clients round them, and the error of the sum grows with the number of
/// parts. With a sum below one, a query that needs all of its parts would never count as whole, even if all of
/// them are answered.
fn normalize_weights(parts: &mut [PartRequest]) -> Result<(), String> {
    let sum: f64 = parts.iter().map(|p| p.weight).sum();
    let tolerance = WEIGHT_SUM_TOLERANCE.max(WEIGHT_SUM_TOLERANCE_PER_PART * parts.len() as f64);
    if (sum - 1.0).abs() > tolerance {
        return Err(format!("weights come to {sum}"));
    }
    for part in parts {
        part.weight /= sum;
    }
    Ok(())
}

fn parse_part(part: &Value) -> Result<PartRequest, String> {
    let shard = part["id"].as_u64().and_then(|id| u32::try_from(id).ok());
    let weight = part["w"].as_f64().filter(|w| (0.0..=1.0).contains(w));
    let hint_us = &part["hint"];
    match (shard, weight) {
        _ if !hint_us.is_null() && !hint_us.is_number() => Err(format!("a part's hint is {hint_us}")),
        (Some(shard), Some(weight)) => {
            Ok(PartRequest { shard, weight, work_ms: hint_us.as_f64().map(|us| us / 1000.0) })
        }
        (None, _) => Err(format!("a part's id is {}", part["id"])),
        (_, None) => Err(format!("a part's weight is {}", part["w"])),
    }
}

/// Encodes an answer to a client. With `close`, the connection ends with it.
pub fn encode_answer(status: u16, retry_after_ms: Option<f64>, body: &[u8], close: bool) -> Vec<u8> {
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
    let content_type = if body.first() == Some(&b'{') { "application/json" } else { "text/plain" };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\n");
    let mut line = |text: std::fmt::Arguments| {
        let _ = head.write_fmt(text); // writing to a String never fails
    };
    line(format_args!("Content-Length: {}\r\n", body.len()));
    if let Some(ms) = retry_after_ms {
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

/// Encodes the body of a completed scan's answer.
pub fn encode_rows<'a>(whole: bool, values: impl Iterator<Item = (u32, &'a str)>) -> Vec<u8> {
    let rows: Vec<Value> =
        values.map(|(shard, value)| serde_json::json!({"id": shard, "data": value})).collect();
    serde_json::json!({"exact": whole, "rows": rows}).to_string().into_bytes()
}

/// The head of discovery's response.
pub struct ResponseHead {
    pub status: u16,
    pub framing: BodyFraming,
    /// Number of bytes of the head.
    pub used: usize,
}

/// Parses the head of discovery's response; `None` while it is incomplete.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<ResponseHead>, String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(used)) => {
            let header = |name| single_header(head.headers, name);
            let chunked = header("Transfer-Encoding")?.is_some_and(|c| c.eq_ignore_ascii_case("chunked"));
            let length = header("Content-Length")?.and_then(parse_digits).unwrap_or(0);
            let framing = if chunked { BodyFraming::Chunked } else { BodyFraming::Length(length) };
            Ok(Some(ResponseHead { status: head.code.unwrap_or_default(), framing, used }))
        }
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => Err("a head without end".into()),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}
