//! HTTP/1.1 as the invoke front and the control address speak it. Pure: bytes in, values out.

use std::fmt::Write;
use std::time::SystemTime;

use crate::ring::Ring;

/// Longest request line and header fields together.
pub const LONGEST_HEAD: usize = 8 << 10;
const MOST_HEADERS: usize = 64;

/// A request with its whole body.
#[derive(Debug, PartialEq)]
pub struct Request {
    pub method: String,
    pub path: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The client may send another request on this connection.
    pub keep_alive: bool,
}

impl Request {
    /// The value of a header that stands once, or the first of several.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name).next()
    }

    /// The preferences of RFC 7240: names in lower case, with their values.
    pub fn preferences(&self) -> Vec<(String, String)> {
        let all = find(&self.headers, "prefer").flat_map(|v| v.split(','));
        let name = |p: &str| p.split(';').next().unwrap_or_default().trim().to_string();
        let pair = |p: String| {
            let (name, value) = p.split_once('=').unwrap_or((&p, ""));
            (name.trim().to_ascii_lowercase(), value.trim().trim_matches('"').to_string())
        };
        all.map(name).map(pair).filter(|(name, _)| !name.is_empty()).collect()
    }
}

fn find<'a, 'n>(
    headers: &'a [(String, String)],
    name: &'n str,
) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
    headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// What the bytes so far amount to.
#[derive(Debug, PartialEq)]
pub enum Parsed {
    /// Not whole yet; the client may be waiting to be told to go on with the body.
    Partial {
        expects_continue: bool,
        /// Its head, where that is whole, and how long its body is said to be.
        head: Option<Box<(Request, usize)>>,
    },
    Whole(Request),
}

/// Why a request cannot be taken. The connection ends with it, as what follows cannot be made out.
#[derive(Debug, PartialEq)]
pub struct Bad(pub u16, pub &'static str);

/// Takes the next request off the ring.
pub fn next_request(ring: &mut Ring, longest_body: usize) -> Result<Parsed, Bad> {
    let bytes = ring.copy(0, ring.len()).unwrap_or_default();
    // Empty lines before a request are passed over (RFC 9112, 2.2).
    let skipped = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    let bytes = &bytes[skipped..];
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let size = match head.parse(bytes) {
        Ok(httparse::Status::Complete(size)) if size <= LONGEST_HEAD => size,
        Ok(httparse::Status::Partial) if bytes.len() <= LONGEST_HEAD => {
            return Ok(Parsed::Partial { expects_continue: false, head: None })
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Bad(431, "the header is too large")),
        Err(httparse::Error::Version) => return Err(Bad(505, "only HTTP/1.1 and 1.0 are spoken")),
        Err(_) => return Err(Bad(400, "no HTTP request")),
    };
    let (method, path, version) = (head.method, head.path, head.version);
    let mut headers = Vec::new();
    for h in head.headers.iter() {
        let value = std::str::from_utf8(h.value).map_err(|_| Bad(400, "a header that is no text"))?;
        headers.push((h.name.to_string(), value.trim().to_string()));
    }
    let modern = version == Some(1);
    if modern && find(&headers, "host").count() != 1 {
        return Err(Bad(400, "there must be one Host"));
    }
    let expects_continue = find(&headers, "expect").any(|v| v.eq_ignore_ascii_case("100-continue"));
    let Some((body, length)) = body(&bytes[size..], &headers, modern, longest_body)? else {
        let length = find(&headers, "content-length").next().and_then(|l| l.parse().ok()).unwrap_or(0);
        let expects_continue = expects_continue && bytes.len() == size;
        let (method, path) = (method.unwrap_or_default().to_string(), path.unwrap_or_default().to_string());
        let head = Request { method, path, headers, body: Vec::new(), keep_alive: false };
        return Ok(Parsed::Partial { expects_continue, head: Some(Box::new((head, length))) });
    };
    let close = find(&headers, "connection").flat_map(|v| v.split(',')).map(str::trim);
    let (mut closes, mut keeps) = (false, false);
    for word in close {
        closes |= word.eq_ignore_ascii_case("close");
        keeps |= word.eq_ignore_ascii_case("keep-alive");
    }
    let request = Request {
        method: method.unwrap_or_default().to_string(),
        path: path.unwrap_or_default().to_string(),
        headers,
        body,
        keep_alive: !closes && (modern || keeps),
    };
    ring.consume(skipped + size + length);
    Ok(Parsed::Whole(request))
}

/// The body and how many bytes it took up; `None` while it is not whole.
fn body(
    bytes: &[u8],
    headers: &[(String, String)],
    modern: bool,
    longest: usize,
) -> Result<Option<(Vec<u8>, usize)>, Bad> {
    let codings: Vec<_> = find(headers, "transfer-encoding").collect();
    let mut lengths: Vec<_> = find(headers, "content-length").collect();
    lengths.dedup();
    match (codings.as_slice(), lengths.as_slice()) {
        ([], []) => Ok(Some((Vec::new(), 0))),
        ([], [length]) => {
            let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            let length = if digits {
                length.parse().unwrap_or(usize::MAX)
            } else {
                return Err(Bad(400, "Content-Length is no number"));
            };
            if length > longest {
                return Err(Bad(413, "the body is too large"));
            }
            Ok(bytes.get(..length).map(|b| (b.to_vec(), length)))
        }
        ([coding], []) if coding.eq_ignore_ascii_case("chunked") && modern => chunked(bytes, longest),
        ([_, ..], []) if modern => Err(Bad(501, "no transfer coding but chunked is known")),
        // Two ways to tell the length are how requests are smuggled (RFC 9112, 6.3).
        _ => Err(Bad(400, "the length of the body is told twice")),
    }
}

fn chunked(bytes: &[u8], longest: usize) -> Result<Option<(Vec<u8>, usize)>, Bad> {
    const BROKEN: Bad = Bad(400, "a broken chunk");
    // Chunks of a byte each take up several times their body; more than this is a flood.
    if bytes.len() > 2 * longest + LONGEST_HEAD {
        return Err(Bad(413, "the body is too large"));
    }
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let (start, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(BROKEN),
        };
        at += start;
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > longest - body.len().min(longest) {
            return Err(Bad(413, "the body is too large"));
        }
        if size == 0 {
            break;
        }
        let Some(chunk) = bytes.get(at..at + size + 2) else { return Ok(None) };
        if !chunk.ends_with(b"\r\n") {
            return Err(BROKEN);
        }
        body.extend_from_slice(&chunk[..size]);
        at += size + 2;
    }
    // Trailers mean nothing here; they end with an empty line.
    loop {
        let Some(end) = bytes[at..].windows(2).position(|w| w == b"\r\n") else { return Ok(None) };
        at += end + 2;
        if end == 0 {
            return Ok(Some((body, at)));
        }
    }
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16) -> Self {
        Self { status, headers: Vec::new(), body: Vec::new() }
    }

    /// A body that a script host gave.
    pub fn served(body: Vec<u8>) -> Self {
        Self { status: 200, headers: Vec::new(), body }.with("Content-Type", "application/octet-stream")
    }

    /// A problem, as of RFC 9457.
    pub fn problem(status: u16, detail: &str) -> Self {
        let body = serde_json::json!({"status": status, "title": reason(status), "detail": detail});
        Self { status, headers: Vec::new(), body: body.to_string().into_bytes() }
            .with("Content-Type", "application/problem+json")
    }

    pub fn json(status: u16, value: serde_json::Value) -> Self {
        Self { status, headers: Vec::new(), body: value.to_string().into_bytes() }
            .with("Content-Type", "application/json")
    }

    pub fn text(status: u16, kind: &str, body: String) -> Self {
        Self { status, headers: Vec::new(), body: body.into_bytes() }.with("Content-Type", kind)
    }

    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Its bytes on the wire. To HEAD, no body follows.
    pub fn encode(&self, keep_alive: bool, head_only: bool) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        let date = httpdate::fmt_http_date(SystemTime::now());
        let mut line = |name: &str, value: &str| {
            write!(head, "{name}: {value}\r\n").expect("writing to a string cannot fail");
        };
        line("Date", &date);
        self.headers.iter().for_each(|(name, value)| line(name, value));
        // An answer without content has no length either (RFC 9110, 8.6).
        if self.status != 204 {
            line("Content-Length", &self.body.len().to_string());
        }
        if !keep_alive {
            line("Connection", "close");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        if !head_only && self.status != 204 {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

/// Tells a client to go on with its body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Unknown",
    }
}

#[cfg(test)]
#[path = "http/tests.rs"]
mod tests;
