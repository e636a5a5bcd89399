//! The codec of the platform's frames. No I/O: bytes in, values out. Numbers are little-endian.

use crate::hosts::lines::is_word;
use crate::ring::Ring;

/// Length of a frame header: frame length, type and stream.
pub const HEADER_BYTES: usize = 9;
/// Valid values of the length field, which counts the bytes after itself.
const LENGTH_RANGE: std::ops::RangeInclusive<usize> = 5..=262_144;
/// Maximum length of a request body.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Maximum length of a frame that is buffered: a request body and its fields.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + (8 << 10);

/// The header of a frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    pub length: usize,
    pub kind: u8,
    pub stream: u32,
}

/// A frame from a client.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// A request. An error in it affects only its stream.
    Request(Result<Box<Request>, String>),
    /// The client no longer waits for the answer on this stream.
    Cancel,
    /// The client asks whether the activator takes requests.
    ReadinessQuery,
}

/// The fields and the body of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    pub id: String,
    pub class: String,
    pub tenant: Option<String>,
    pub function: String,
    /// How long the client waits for the answer.
    pub timeout_ms: i64,
    pub repeat: bool,
    pub key: Option<String>,
    pub lanes: u32,
    /// Expected run time in microseconds; 0 if the client gives none.
    pub hint: i64,
    pub body: Vec<u8>,
}

/// Result codes of answers, with their values on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    Served = 79,
    Refused = 66,
    Failed = 69,
}

/// Reads the header of the next frame; `None` while it is incomplete. An invalid length is an error as soon as the
/// length field has arrived.
pub fn header(ring: &Ring) -> Result<Option<Header>, String> {
    let length = ring.copy(0, 4).map(|b| u32::from_le_bytes(b.try_into().unwrap()) as usize);
    match length {
        Some(length) if !LENGTH_RANGE.contains(&length) => Err(format!("a frame of {length} bytes")),
        None => Ok(None),
        Some(length) => Ok(ring.copy(4, 5).map(|b| Header {
            length,
            kind: b[0],
            stream: u32::from_le_bytes(b[1..].try_into().unwrap()),
        })),
    }
}

/// Takes the frame off the ring and returns its payload; `None` while it is incomplete.
pub fn payload(ring: &mut Ring, header: &Header) -> Option<Vec<u8>> {
    let payload = ring.copy(HEADER_BYTES, header.length + 4 - HEADER_BYTES)?;
    ring.consume(header.length + 4);
    Some(payload)
}

/// Decodes a complete frame. The error is one that belongs to no request.
pub fn frame(header: &Header, payload: &[u8]) -> Result<Frame, String> {
    match header.kind {
        1 => Ok(Frame::Request(request(payload).map(Box::new))),
        3 => Ok(Frame::Cancel),
        4 => Ok(Frame::ReadinessQuery),
        other => Err(format!("a frame of type {other}")),
    }
}

fn request(payload: &[u8]) -> Result<Request, String> {
    let mut rest = payload;
    let fields = fields(&mut rest).ok_or("its fields cannot be read")?;
    if rest.len() > MAX_BODY_BYTES {
        return Err("a body of over 16 KiB".into());
    }
    let mut request = Request { lanes: 1, timeout_ms: -1, body: rest.to_vec(), ..Request::default() };
    let mut numeric_ok = true;
    for (name, value) in fields {
        match name {
            "req" => request.id = value.into(),
            "kind" => request.class = value.into(),
            "owner" => request.tenant = Some(value.into()),
            "subject" => request.function = value.into(),
            "timeout" => request.timeout_ms = value.parse().unwrap_or(-1),
            "resent" => request.repeat = value == "1",
            "opkey" => request.key = Some(value.into()),
            "props" => match lanes(value) {
                Some(lanes) => request.lanes = lanes,
                None => numeric_ok = false,
            },
            "ms" => match number(value) {
                Some(ms) => request.hint = (ms * 1000.0) as i64,
                None => numeric_ok = false,
            },
            // Unknown fields are ignored.
            _ => {}
        }
    }
    let hex = |s: &str| s.len() == 16 && s.bytes().all(|b| b.is_ascii_hexdigit());
    let wrong = [
        (!hex(&request.id), "req is not 16 hex digits"),
        (!hex(&request.function), "subject is not 16 hex digits"),
        (!(0..=86_400_000).contains(&request.timeout_ms), "timeout is no time in milliseconds"),
        (!is_word(&request.class), "kind is no class"),
        (request.key.as_ref().is_some_and(|k| !is_word(k)), "opkey is no key"),
        (!numeric_ok, "a figure is out of range or not a number"),
    ];
    match wrong.iter().find(|(wrong, _)| *wrong) {
        Some((_, what)) => Err(what.to_string()),
        None => Ok(request),
    }
}

/// Parses a numeric field; `None` if it is no number or out of range.
fn number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|n| (0.0..=1e9).contains(n))
}

/// Reads `lanes` from the `props` field; 1 if it is absent, `None` if any property is no valid number.
fn lanes(props: &str) -> Option<u32> {
    let mut lanes = 1.0;
    for pair in props.split(';').filter(|p| !p.is_empty()) {
        let (name, n) = pair.split_once(':')?;
        let n = number(n)?;
        if name == "lanes" {
            lanes = Some(n).filter(|n| (1.0..=1e6).contains(n))?;
        }
    }
    Some(lanes as u32)
}

fn fields<'a>(rest: &mut &'a [u8]) -> Option<Vec<(&'a str, &'a str)>> {
    fn split<'b>(rest: &mut &'b [u8], n: usize) -> Option<&'b [u8]> {
        let (taken, left) = rest.split_at_checked(n)?;
        *rest = left;
        Some(taken)
    }
    let count = split(rest, 1)?[0];
    let mut out = Vec::with_capacity(count.into());
    for _ in 0..count {
        let size = split(rest, 1)?[0];
        let name = std::str::from_utf8(split(rest, size.into())?).ok()?;
        let size = split(rest, 2)?;
        let value = split(rest, u16::from_le_bytes([size[0], size[1]]).into())?;
        out.push((name, std::str::from_utf8(value).ok()?));
    }
    Some(out)
}

fn encode(kind: u8, stream: u32, code: Option<(Code, &[(&str, &str)])>, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    bytes.push(kind);
    bytes.extend(stream.to_le_bytes());
    if let Some((code, fields)) = code {
        bytes.extend([code as u8, fields.len() as u8]);
        for (name, value) in fields {
            bytes.push(name.len() as u8);
            bytes.extend(name.as_bytes());
            bytes.extend((value.len() as u16).to_le_bytes());
            bytes.extend(value.as_bytes());
        }
    }
    bytes.extend(body);
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// Encodes the answer to a request or, on stream 0, an error that belongs to no request.
pub fn answer(stream: u32, code: Code, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    encode(2, stream, Some((code, fields)), body)
}

/// Encodes the answer to a readiness query.
pub fn readiness(stream: u32, code: Code) -> Vec<u8> {
    encode(5, stream, Some((code, &[])), &[])
}

/// Encodes the notice that asks the client to open no new request on this connection.
pub fn drain_notice() -> Vec<u8> {
    encode(6, 0, None, &[])
}

#[cfg(test)]
#[path = "frames/tests.rs"]
mod tests;
