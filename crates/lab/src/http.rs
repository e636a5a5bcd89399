//! HTTP as a client of the invoke front and an operator speak it, to the byte.

use std::io::Read;

/// An HTTP answer.
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its first line and headers as they came.
    pub head: String,
    /// Its body.
    pub body: Vec<u8>,
}

impl Reply {
    /// The first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(": "));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v).next()
    }
}

/// Reads the first byte of something; `None` at the end. A wait with a time-out may be broken off by any signal.
pub(crate) fn first_byte(stream: &mut impl Read) -> Option<u8> {
    let mut byte = [0];
    loop {
        match stream.read(&mut byte) {
            Ok(n) => return (n > 0).then_some(byte[0]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => panic!("nothing in time: {e}"),
        }
    }
}

/// Reads one response; `None` at the end of the connection.
pub fn read_reply(stream: &mut impl Read) -> Option<Reply> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Some(byte) = first_byte(stream) else {
            assert!(head.is_empty(), "cut off: {}", String::from_utf8_lossy(&head));
            return None;
        };
        head.push(byte);
    }
    let head = String::from_utf8(head).unwrap();
    let mut reply = Reply { status: head[9..12].parse().unwrap(), head, body: Vec::new() };
    reply.body = vec![0; reply.header("content-length").map_or(0, |n| n.parse().unwrap())];
    stream.read_exact(&mut reply.body).unwrap();
    Some(reply)
}

/// An HTTP request with these header lines.
pub fn request(method: &str, path: &str, headers: &[&str], body: &str) -> String {
    let extra: String = headers.iter().map(|h| format!("{h}\r\n")).collect();
    format!("{method} {path} HTTP/1.1\r\nHost: x\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A call to the invoke front.
pub fn call(function: &str, class: &str, headers: &[&str], body: &str) -> String {
    let class = format!("Wheellink-Class: {class}");
    let headers: Vec<&str> = headers.iter().copied().chain([class.as_str()]).collect();
    request("POST", &format!("/v1/functions/{function}/calls"), &headers, body)
}
