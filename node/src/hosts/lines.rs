//! Codec of the line protocol: commands to a script host, and its answers. Pure: converts between bytes and values.

use wheellink::engine::AttemptEnd;
use wheellink::{Found, LoadReport, Outcome};

use crate::ring::Ring;

/// Maximum length of the first line of an answer.
const MAX_LINE_BYTES: usize = 4096;
/// Maximum length of a body: it must fit into one frame to a client.
pub const MAX_BODY_BYTES: usize = 262_144 - 64;
/// Capacity that a connection's ring needs for the largest answer.
pub const MAX_ANSWER_BYTES: usize = MAX_BODY_BYTES + MAX_LINE_BYTES + 4;

/// Whether the text can be one word of a line, or the value of a field: without separators, at most 128 bytes.
pub fn is_word(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 128
        && text.chars().all(|c| !c.is_whitespace() && !c.is_control() && c != ',' && c != '=')
}

/// A call in encoded form, except for the value of its field `limit`, which is only known when the call is written.
pub struct CallLine {
    before_limit: String,
    after_limit: Vec<u8>,
}

impl CallLine {
    /// `more` holds additional fields, each preceded by a comma.
    pub fn new(
        id: &str,
        (class, function): (&str, &str),
        key: Option<&str>,
        more: &str,
        body: &[u8],
    ) -> Self {
        let before_limit = format!("FN {id} cls={class},item={function},limit=");
        let key = key.map_or(String::new(), |key| format!(",nonce={key}"));
        let after_limit = [format!("{key}{more} {}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat();
        Self { before_limit, after_limit }
    }

    /// The whole call, with `limit` as the time in milliseconds that is left for it.
    pub fn bytes(&self, limit: i64) -> Vec<u8> {
        [self.before_limit.as_bytes(), limit.to_string().as_bytes(), &self.after_limit].concat()
    }
}

/// The field `blocks`: the hashes of the blocks of a turn's prefix.
pub fn blocks(hashes: &[u64]) -> String {
    let hashes: Vec<String> = hashes.iter().map(|h| format!("{h:x}")).collect();
    format!(",blocks={}", hashes.join(";"))
}

pub fn kill(id: &str) -> Vec<u8> {
    format!("KILL {id}\r\n").into_bytes()
}

pub fn spawn(tag: &str, function: &str, copies: u32) -> Vec<u8> {
    format!("SPAWN {tag} item={function},copies={copies}\r\n").into_bytes()
}

pub fn reap(function: &str) -> Vec<u8> {
    format!("REAP {function}\r\n").into_bytes()
}

pub fn helo(tag: &str) -> Vec<u8> {
    format!("HELO {tag}\r\n").into_bytes()
}

/// An answer to a call, an order or a probe.
#[derive(Debug, PartialEq)]
pub struct Answer {
    pub id: String,
    /// Status code.
    pub status: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The end of the attempt that this answers. An unknown status counts as an error, which does not prove that the
    /// attempt never ran.
    pub fn attempt_end(&self, says_warm: bool, counts_alike: bool) -> AttemptEnd {
        let outcome = self.outcome();
        let found = match (self.field("tell"), outcome) {
            (Some("warm"), Outcome::Done) if says_warm => Some(Found::Warm),
            (Some("cold"), Outcome::Done) if says_warm => Some(Found::BeganLoad),
            (Some("joined"), Outcome::Done) if says_warm => Some(Found::AwaitedLoad),
            (Some("load_failed"), Outcome::Miss | Outcome::Error) => Some(Found::LoadFailed),
            _ => None,
        };
        let counted = counts_alike && matches!(outcome, Outcome::Done | Outcome::Full);
        let overlap = self.field("queue_fn").and_then(|n| n.parse().ok()).unwrap_or(0);
        AttemptEnd { outcome, found, overlap: counted.then_some(overlap), report: self.report() }
    }

    /// The load report in the field `meter`, as in `outstanding:7.3;backlog:2`; other figures are ignored.
    fn report(&self) -> Option<LoadReport> {
        let figures = self.field("meter")?;
        let figure = |names: [&str; 2]| {
            let named = figures.split(';').filter_map(|f| f.split_once(':')).find(|(n, _)| names.contains(n));
            named.map(|(_, n)| n.parse().unwrap_or(f64::NAN))
        };
        let waiting = figure(["backlog", "queue"]).unwrap_or(0.0);
        LoadReport::new(figure(["outstanding", "inflight"])?, waiting)
    }

    pub fn outcome(&self) -> Outcome {
        match self.status.as_str() {
            "200" => Outcome::Done,
            "404" => Outcome::Miss,
            "503" => Outcome::Full,
            "504" => Outcome::NotSent,
            _ => Outcome::Error,
        }
    }

    /// The number of loaded copies, in the answer to an order.
    pub fn copies(&self) -> u32 {
        self.field("copies").and_then(|n| n.parse().ok()).unwrap_or(0)
    }
}

/// Drafting figures of an answer, in the form `ROUNDS;K1;...;Kn;TOKENS;MICROS`.
#[derive(Debug, PartialEq)]
pub struct Accepted {
    pub rounds: u32,
    /// Accepted tokens, by position in the draft.
    pub accepted: Vec<u32>,
    pub tokens: u32,
    pub micros: u64,
}

impl Accepted {
    /// Parses the figures; `None` if the text has another form. Does not check that they are plausible.
    pub fn read(text: &str) -> Option<Self> {
        let mut parts: Vec<&str> = text.split(';').collect();
        let micros = parts.pop()?.parse().ok()?;
        let mut figures = parts.into_iter().map(|p| p.parse().ok()).collect::<Option<Vec<u32>>>()?;
        let tokens = figures.pop()?;
        if figures.is_empty() || figures.len() > 1 + usize::from(wheellink_drafts::MAX_DRAFT_TOKENS) {
            return None;
        }
        let accepted = figures.split_off(1);
        Some(Self { rounds: figures[0], accepted, tokens, micros })
    }
}

/// The id in the first line of an answer that is incomplete; `None` while that line is.
pub fn partial_answer_id(ring: &Ring) -> Option<String> {
    let line = ring.find_line_end().and_then(|end| ring.copy(0, end))?;
    let line = String::from_utf8(line).ok()?;
    line.split(' ').next().map(str::to_string)
}

/// Takes the next answer from the ring; `None` while it is incomplete.
pub fn next_answer(ring: &mut Ring) -> Result<Option<Answer>, String> {
    let Some(end) = ring.find_line_end() else {
        return if ring.len() > MAX_LINE_BYTES { Err("a line that is too long".into()) } else { Ok(None) };
    };
    let line = ring.copy(0, end).and_then(|l| String::from_utf8(l).ok()).ok_or("a line that is not UTF-8")?;
    let mut words = line.split(' ');
    let (Some(id), Some(status), Some(fields), Some(length), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err(format!("a malformed answer: {line:?}"));
    };
    let length: usize = length.parse().map_err(|_| format!("an invalid body length: {line:?}"))?;
    if length > MAX_BODY_BYTES {
        return Err(format!("a body of {length} bytes, over the maximum"));
    }
    let fields = match fields {
        "-" => Vec::new(),
        list => list
            .split(',')
            .map(|f| f.split_once('=').map(|(n, v)| (n.to_string(), v.to_string())))
            .collect::<Option<_>>()
            .ok_or_else(|| format!("malformed fields: {line:?}"))?,
    };
    let Some(mut body) = ring.copy(end + 2, length + 2) else { return Ok(None) };
    if !body.ends_with(b"\r\n") {
        return Err("a body longer than its stated length".into());
    }
    body.truncate(length);
    let answer = Answer { id: id.into(), status: status.into(), fields, body };
    ring.consume(end + 2 + length + 2);
    Ok(Some(answer))
}

#[cfg(test)]
#[path = "lines/tests.rs"]
mod tests;
