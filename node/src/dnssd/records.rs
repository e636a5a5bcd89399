//! Encodes and decodes the DNS messages that the browser needs, with hickory-proto. Pure.

use std::net::Ipv4Addr;

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};

/// Maximum size of an answer over UDP, which queries announce by EDNS.
pub const MAX_PAYLOAD_BYTES: u16 = 8192;

/// A question: a name and a record type.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Question {
    /// In lower case, as names are compared case-insensitively.
    pub name: Name,
    pub kind: Kind,
}

/// A record type that the browser uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    Ptr,
    Srv,
    Txt,
    A,
}

impl Kind {
    fn record_type(self) -> RecordType {
        match self {
            Self::Ptr => RecordType::PTR,
            Self::Srv => RecordType::SRV,
            Self::Txt => RecordType::TXT,
            Self::A => RecordType::A,
        }
    }
}

/// The data of one record.
#[derive(Clone, Debug, PartialEq)]
pub enum Data {
    Ptr(Name),
    Srv { priority: u16, weight: u16, port: u16, target: Name },
    Txt(Vec<(String, String)>),
    A(Ipv4Addr),
}

/// An answer, with the question that each record belongs to, its TTL in seconds and its data.
#[derive(Debug, PartialEq)]
pub struct Reply {
    pub id: u16,
    pub question: Question,
    pub result: Result<Vec<(Question, u32, Data)>, Failure>,
}

/// Why an answer has no records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// The name, or a record of this type, does not exist; with the TTL of this in seconds, if the answer has one.
    NotFound(Option<u32>),
    /// The resolver reports an error.
    ServerError,
    /// The answer did not fit into a datagram: to be queried over TCP (RFC 7766).
    Truncated,
}

/// Parses a name: in lower case, and fully qualified.
pub fn parse_name(text: &str) -> Result<Name, String> {
    let mut name = Name::from_utf8(text).map_err(|e| format!("{text:?} is not a DNS name: {e}"))?;
    name.set_fqdn(true);
    Ok(name.to_lowercase())
}

/// Encodes a query.
pub fn encode(id: u16, question: &Question) -> Vec<u8> {
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(question.name.clone(), question.kind.record_type()));
    let mut edns = Edns::new();
    edns.set_max_payload(MAX_PAYLOAD_BYTES);
    message.set_edns(edns);
    message.to_vec().unwrap_or_default()
}

/// Decodes an answer; `None` if the message is not one, or its question is not of a supported kind.
pub fn decode(bytes: &[u8]) -> Option<Reply> {
    let message = Message::from_vec(bytes).ok()?;
    if message.metadata.message_type != MessageType::Response || message.metadata.op_code != OpCode::Query {
        return None;
    }
    let [asked] = message.queries.as_slice() else { return None };
    let kind = kind_of(asked.query_type()).filter(|_| asked.query_class() == DNSClass::IN)?;
    let question = Question { name: asked.name().to_lowercase(), kind };
    let code = message.metadata.response_code;
    let is_definite = code == ResponseCode::NoError || code == ResponseCode::NXDomain;
    let records: Vec<_> = message.answers.iter().chain(&message.additionals).filter_map(record).collect();
    let result = if message.metadata.truncation {
        // Records that were cut off would otherwise count as removed.
        Err(Failure::Truncated)
    } else if !is_definite {
        Err(Failure::ServerError)
    } else if records.iter().any(|(q, ..)| *q == question) {
        Ok(records)
    } else {
        // The TTL of a negative answer is in the SOA record (RFC 2308).
        let soa = message.authorities.iter().find_map(|r| match &r.data {
            RData::SOA(soa) => Some(r.ttl.min(soa.minimum)),
            _ => None,
        });
        Err(Failure::NotFound(soa))
    };
    Some(Reply { id: message.metadata.id, question, result })
}

fn kind_of(kind: RecordType) -> Option<Kind> {
    [Kind::Ptr, Kind::Srv, Kind::Txt, Kind::A].into_iter().find(|k| k.record_type() == kind)
}

fn record(r: &Record) -> Option<(Question, u32, Data)> {
    let kind = kind_of(r.record_type()).filter(|_| r.dns_class == DNSClass::IN)?;
    let data = match &r.data {
        RData::PTR(name) => Data::Ptr(name.0.to_lowercase()),
        RData::SRV(srv) => Data::Srv {
            priority: srv.priority,
            weight: srv.weight,
            port: srv.port,
            target: srv.target.to_lowercase(),
        },
        RData::TXT(txt) => Data::Txt(txt.txt_data.iter().filter_map(|s| pair(s)).collect()),
        RData::A(a) => Data::A(a.0),
        _ => return None,
    };
    Some((Question { name: r.name.to_lowercase(), kind }, r.ttl, data))
}

/// Parses a TXT attribute (RFC 6763, 6.3): keys are case-insensitive, and strings without a key are ignored.
fn pair(text: &[u8]) -> Option<(String, String)> {
    let text = std::str::from_utf8(text).ok()?;
    let (key, value) = text.split_once('=').unwrap_or((text, ""));
    (!key.is_empty()).then(|| (key.to_ascii_lowercase(), value.to_string()))
}

#[cfg(test)]
mod tests;
