//! The subset of HTTP/1.1 that the invoke front and the control address use. No I/O: bytes in, values out.

use std::fmt::Write;
use std::time::SystemTime;

use crate::ring::Ring;

/// Maximum length of the request line and the header fields together.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
const MAX_HEADERS: usize = 64;

/// A request with its complete body.
#[derive(Debug, PartialEq)]
pub struct Request {
    pub method: String,
    pub path: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the client may send another request on this connection.
    pub keep_alive: bool,
}

impl Request {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        values(&self.headers, name).next()
    }

    /// The preferences of the `Prefer` headers (RFC 7240): names in lower case, with their values.
    pub fn preferences(&self) -> Vec<(String, String)> {
        let all = values(&self.headers, "prefer").flat_map(|v| v.split(','));
        let name = |p: &str| p.split(';').next().unwrap_or_default().trim().to_string();
        let pair = |p: String| {
            let (name, value) = p.split_once('=').unwrap_or((&p, ""));
            (name.trim().to_ascii_lowercase(), value.trim().trim_matches('"').to_string())
        };
        all.map(name).map(pair).filter(|(name, _)| !name.is_empty()).collect()
    }
}

fn values<'a, 'n>(
    headers: &'a [(String, String)],
    name: &'n str,
) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
    headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// The result of parsing the bytes received so far.
#[derive(Debug, PartialEq)]
pub enum Parsed {
    /// The request is incomplete; the client may be waiting for `100 Continue`.
    Partial {
        expects_continue: bool,
        /// The head of the request, if it is complete, and the body length that it declares.
        head: Option<Box<(Request, usize)>>,
    },
    Whole(Request),
}

/// Status and detail for a request that cannot be parsed. The connection must close, as the start of the next request
/// is unknown.
#[derive(Debug, PartialEq)]
pub struct Error(pub u16, pub &'static str);

/// Takes the next request off the ring, if it is complete.
pub fn next_request(ring: &mut Ring, max_body_bytes: usize) -> Result<Parsed, Error> {
    // Empty lines before a request are ignored (RFC 9112, 2.2).
    ring.consume(ring.leading(|b| matches!(b, b'\r' | b'\n')));
    // No more than the longest head: a client may have sent many requests behind this one.
    let bytes = ring.copy(0, ring.len().min(MAX_HEAD_BYTES + 1)).unwrap_or_default();
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let size = match head.parse(&bytes) {
        Ok(httparse::Status::Complete(size)) if size <= MAX_HEAD_BYTES => size,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => {
            return Ok(Parsed::Partial { expects_continue: false, head: None })
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Error(431, "the header is too large")),
        Err(httparse::Error::Version) => return Err(Error(505, "only HTTP/1.1 and 1.0 are spoken")),
        Err(_) => return Err(Error(400, "no HTTP request")),
    };
    let (method, path, version) = (head.method, head.path, head.version);
    let mut headers = Vec::new();
    for h in head.headers.iter() {
        let value = std::str::from_utf8(h.value).map_err(|_| Error(400, "a header that is no text"))?;
        headers.push((h.name.to_string(), value.trim().to_string()));
    }
    let http_1_1 = version == Some(1);
    if http_1_1 && values(&headers, "host").count() != 1 {
        return Err(Error(400, "there must be one Host"));
    }
    let expects_continue = values(&headers, "expect").any(|v| v.eq_ignore_ascii_case("100-continue"));
    let Some((body, length)) = body(ring, size, &headers, http_1_1, max_body_bytes)? else {
        let length = values(&headers, "content-length").next().and_then(|l| l.parse().ok()).unwrap_or(0);
        let expects_continue = expects_continue && ring.len() == size;
        let (method, path) = (method.unwrap_or_default().to_string(), path.unwrap_or_default().to_string());
        let head = Request { method, path, headers, body: Vec::new(), keep_alive: false };
        return Ok(Parsed::Partial { expects_continue, head: Some(Box::new((head, length))) });
    };
    let close = values(&headers, "connection").flat_map(|v| v.split(',')).map(str::trim);
    let (mut has_close, mut has_keep_alive) = (false, false);
    for word in close {
        has_close |= word.eq_ignore_ascii_case("close");
        has_keep_alive |= word.eq_ignore_ascii_case("keep-alive");
    }
    let request = Request {
        method: method.unwrap_or_default().to_string(),
        path: path.unwrap_or_default().to_string(),
        headers,
        body,
        keep_alive: !has_close && (http_1_1 || has_keep_alive),
    };
    ring.consume(size + length);
    Ok(Parsed::Whole(request))
}

/// Reads the body, which begins at this offset. Returns it with the number of bytes that it takes up in the buffer; `None` while it is incomplete.
fn body(
    ring: &Ring,
    at: usize,
    headers: &[(String, String)],
    http_1_1: bool,
    max_bytes: usize,
) -> Result<Option<(Vec<u8>, usize)>, Error> {
    let codings: Vec<_> = values(headers, "transfer-encoding").collect();
    let mut lengths: Vec<_> = values(headers, "content-length").collect();
    lengths.dedup();
    match (codings.as_slice(), lengths.as_slice()) {
        ([], []) => Ok(Some((Vec::new(), 0))),
        ([], [length]) => {
            let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            let length = if digits {
                length.parse().unwrap_or(usize::MAX)
            } else {
                return Err(Error(400, "Content-Length is no number"));
            };
            if length > max_bytes {
                return Err(Error(413, "the body is too large"));
            }
            Ok(ring.copy(at, length).map(|body| (body, length)))
        }
        ([coding], []) if coding.eq_ignore_ascii_case("chunked") && http_1_1 => {
            chunked(&ring.copy(at, ring.len() - at).unwrap_or_default(), max_bytes)
        }
        ([_, ..], []) if http_1_1 => Err(Error(501, "no transfer coding but chunked is known")),
        // Conflicting body lengths allow request smuggling (RFC 9112, 6.3).
        _ => Err(Error(400, "the length of the body is told twice")),
    }
}

fn chunked(bytes: &[u8], max_bytes: usize) -> Result<Option<(Vec<u8>, usize)>, Error> {
    const BAD_CHUNK: Error = Error(400, "a broken chunk");
    // One-byte chunks take up several times the length of their body; a longer encoding than this is rejected.
    if bytes.len() > 2 * max_bytes + MAX_HEAD_BYTES {
        return Err(Error(413, "the body is too large"));
    }
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let (start, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(BAD_CHUNK),
        };
        at += start;
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > max_bytes - body.len().min(max_bytes) {
            return Err(Error(413, "the body is too large"));
        }
        if size == 0 {
            break;
        }
        let Some(chunk) = bytes.get(at..at + size + 2) else { return Ok(None) };
        if !chunk.ends_with(b"\r\n") {
            return Err(BAD_CHUNK);
        }
        body.extend_from_slice(&chunk[..size]);
        at += size + 2;
    }
    // Trailers are ignored; they end with an empty line.
    loop {
        let Some(end) = bytes[at..].windows(2).position(|w| w == b"\r\n") else { return Ok(None) };
        at += end + 2;
        if end == 0 {
            return Ok(Some((body, at)));
        }
    }
}

/// An HTTP response.
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

    /// A response with the body that a script host returned.
    pub fn served(body: Vec<u8>) -> Self {
        Self { status: 200, headers: Vec::new(), body }.with("Content-Type", "application/octet-stream")
    }

    /// A problem document (RFC 9457).
    pub fn problem(status: u16, detail: &str) -> Self {
        let body = serde_json::json!({"status": status, "title": reason_phrase(status), "detail": detail});
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

    /// Encodes the response; with `head_only` (an answer to HEAD) without the body.
    pub fn encode(&self, keep_alive: bool, head_only: bool) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        let date = httpdate::fmt_http_date(SystemTime::now());
        let mut line = |name: &str, value: &str| {
            write!(head, "{name}: {value}\r\n").expect("writing to a string cannot fail");
        };
        line("Date", &date);
        self.headers.iter().for_each(|(name, value)| line(name, value));
        // A 204 response must not have a Content-Length (RFC 9110, 8.6).
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

/// Interim response that asks the client to send the body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

fn reason_phrase(status: u16) -> &'static str {
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
