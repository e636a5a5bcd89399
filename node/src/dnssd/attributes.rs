//! The attributes of an instance in its TXT record (RFC 6763, section 6). Pure.
//!
//! All may be absent. One that makes no sense is ignored, as if it were absent, and reported.

use std::fmt;

use wheellink::Micros;

/// What the TXT record of an instance says of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Attributes {
    /// Index of its zone among the configured ones.
    pub zone: Option<u32>,
    pub cell: Option<i64>,
    /// Relative to other instances.
    pub size: f64,
    /// When it started, as Unix time.
    pub started: Option<Micros>,
    pub draining: bool,
}

/// An attribute that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed {
    key: &'static str,
    value: String,
    wanted: &'static str,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={:?} is ignored: {} is wanted", self.key, self.value, self.wanted)
    }
}

/// Reads the attributes. `pairs` are those of the record, of which the first with a key counts; `zones` are the names of
/// the configured zones. Without any, no zone is looked up.
pub fn parse(pairs: &[(String, String)], zones: &[String]) -> (Attributes, Vec<Malformed>) {
    let mut reader = Reader { pairs, malformed: Vec::new() };
    let zone = |name: &str| zones.iter().position(|zone| zone == name).map(|index| index as u32);
    let attributes = Attributes {
        zone: if zones.is_empty() {
            None
        } else {
            reader.read("zone", "the name of a configured zone", zone)
        },
        cell: reader.read("cell", "a whole number", |text| text.parse().ok()),
        size: reader.read("size", "a number above 0", parse_size).unwrap_or(1.0),
        started: reader.read("started", "a Unix time in milliseconds", parse_start),
        draining: reader.value("state") == Some("draining"),
    };
    (attributes, reader.malformed)
}

fn parse_size(text: &str) -> Option<f64> {
    text.parse().ok().filter(|size: &f64| size.is_finite() && *size > 0.0)
}

fn parse_start(text: &str) -> Option<Micros> {
    text.parse::<Micros>().ok().map(|milliseconds| milliseconds.saturating_mul(1000))
}

struct Reader<'a> {
    pairs: &'a [(String, String)],
    malformed: Vec<Malformed>,
}

impl<'a> Reader<'a> {
    fn value(&self, key: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(k, _)| k == key).map(|(_, value)| value.as_str())
    }

    fn read<T>(
        &mut self,
        key: &'static str,
        wanted: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.value(key)?;
        let parsed = parse(text);
        if parsed.is_none() {
            self.malformed.push(Malformed { key, value: text.into(), wanted });
        }
        parsed
    }
}

#[cfg(test)]
mod tests;
