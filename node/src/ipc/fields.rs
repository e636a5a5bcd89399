//! Extra fields of a passed call and of its answer: pairs of a name and a text, as on a host's line. Unknown names are
//! ignored, so that a later version can add fields without a new protocol. An invalid field is refused on its own,
//! with the reason; the call goes on without it. No I/O.

use serde::{Deserialize, Serialize};
use wheellink::LoadReport;
use wheellink_drafts::Draft;
use wheellink_turns::{Turn, MAX_CHOICES};

/// Fields of one frame; more than this version writes, because a later version may add some.
pub const MAX_FIELDS: usize = 16;
/// Bytes of all names and texts together. This version writes less: a turn takes 1,114, a draft 10, three sites 777.
pub const MAX_TEXT_BYTES: usize = 2_048;
/// Bytes of an encoded [`Fields`]: a count, and a length of two bytes before each name and each text.
pub const MAX_ENCODED_BYTES: usize = MAX_TEXT_BYTES + 4 * MAX_FIELDS + 1;
/// Longest text of a turn: 64 hashes of 16 digits, without the blank space that the client's header may have had.
pub const MAX_TURN_BYTES: usize = 1_110;
/// Longest name of a host or zone that is sent.
const MAX_NAME_BYTES: usize = 255;
/// Longest number or list of numbers from a host that is sent.
const MAX_FIGURES_BYTES: usize = 160;

/// The fields of one frame, in order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fields(Vec<(String, String)>);

/// A site that placement advice names. Zones are sent by name because their indexes may differ between the versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Site {
    Cell(i64),
    Zone(String),
    Host(String),
}

/// Extra fields of a passed call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallFields {
    /// The conversation turn that the call carries: conversation, number of new blocks, prefix hashes.
    pub turn: Option<(u64, u16, Vec<u64>)>,
    /// The draft that the call is to use.
    pub draft: Option<Draft>,
    /// The preferred sites for the turn, the best first; at most [`MAX_CHOICES`].
    pub sites: Vec<Site>,
}

/// Extra fields of an answer, with the texts that the host sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFields {
    /// The fields `found` and `accepted`.
    pub fields: Vec<(String, String)>,
    /// Calls in flight at the host; sent as `held`.
    pub in_flight: Option<f64>,
}

/// Formats a turn as in the header `Wheellink-Turn`, without blank space.
fn turn_text(conversation: u64, new: u16, prefix: &[u64]) -> String {
    let hashes: Vec<String> = prefix.iter().map(|h| format!("{h:x}")).collect();
    format!("{conversation:x};{new};{}", hashes.join(","))
}

impl Fields {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a field. Leaves it out if it exceeds the limits; the call or answer is served without it.
    fn push(&mut self, name: &str, text: String) {
        let size = self.size() + name.len() + text.len();
        if self.0.len() < MAX_FIELDS && size <= MAX_TEXT_BYTES {
            self.0.push((name.into(), text));
        }
    }

    fn size(&self) -> usize {
        self.0.iter().map(|(name, text)| name.len() + text.len()).sum()
    }

    /// Returns the fields. If they exceed the limits, returns none and adds the reason.
    fn bounded(&self, faults: &mut Vec<String>) -> &[(String, String)] {
        if self.0.len() > MAX_FIELDS || self.size() > MAX_TEXT_BYTES {
            faults.push(format!("{} fields of {} bytes", self.0.len(), self.size()));
            return &[];
        }
        &self.0
    }
}

impl CallFields {
    pub fn to_fields(&self) -> Fields {
        let mut fields = Fields::default();
        if let Some((conversation, new, prefix)) = &self.turn {
            fields.push("turn", turn_text(*conversation, *new, prefix));
        }
        if let Some(draft) = self.draft {
            fields.push("draft", draft.to_string());
        }
        for site in self.sites.iter().take(MAX_CHOICES) {
            match site {
                Site::Cell(cell) => fields.push("cell", cell.to_string()),
                Site::Zone(name) if name.len() <= MAX_NAME_BYTES => fields.push("zone", name.clone()),
                Site::Host(name) if name.len() <= MAX_NAME_BYTES => fields.push("host", name.clone()),
                Site::Zone(_) | Site::Host(_) => {}
            }
        }
        fields
    }

    /// Parses the fields. Also returns the refused ones, each with the reason.
    pub fn parse(fields: &Fields) -> (Self, Vec<String>) {
        let (mut parsed, mut faults) = (Self::default(), Vec::new());
        for (name, text) in fields.bounded(&mut faults) {
            if let Err(why) = parsed.parse_field(name, text) {
                faults.push(format!("{name}: {why}"));
            }
        }
        (parsed, faults)
    }

    fn parse_field(&mut self, name: &str, text: &str) -> Result<(), String> {
        match name {
            "turn" if self.turn.is_some() => return Err("duplicate field".into()),
            "turn" if text.len() > MAX_TURN_BYTES => return Err(format!("{} bytes", text.len())),
            "turn" => self.turn = Some(Turn::parse(text).map_err(|e| e.to_string())?),
            "draft" if self.draft.is_some() => return Err("duplicate field".into()),
            "draft" => self.draft = Some(text.parse().map_err(|_| "not DRAFTER:LENGTH".to_string())?),
            "cell" => self.add_site(Site::Cell(text.parse().map_err(|_| "not a number".to_string())?))?,
            "zone" => self.add_site(Site::Zone(text.into()))?,
            "host" => self.add_site(Site::Host(text.into()))?,
            _ => {}
        }
        Ok(())
    }

    fn add_site(&mut self, site: Site) -> Result<(), String> {
        let long = match &site {
            Site::Cell(_) => false,
            Site::Zone(name) | Site::Host(name) => name.len() > MAX_NAME_BYTES,
        };
        if self.sites.len() >= MAX_CHOICES || long {
            return Err("too many sites, or a name that is too long".into());
        }
        self.sites.push(site);
        Ok(())
    }
}

impl AnswerFields {
    /// Selects what is sent of a host's answer.
    pub fn from_answer(fields: &[(String, String)], report: Option<LoadReport>) -> Self {
        let sent = fields.iter().filter(|(name, _)| name == "found" || name == "accepted");
        Self { fields: sent.cloned().collect(), in_flight: report.map(|r| r.in_flight) }
    }

    pub fn to_fields(&self) -> Fields {
        let mut fields = Fields::default();
        for (name, text) in self.fields.iter().take(2) {
            // A text that is too long is sent empty, which the receiver refuses; cut short it might pass as valid.
            let text = if text.len() <= MAX_FIGURES_BYTES { text.clone() } else { String::new() };
            fields.push(name, text);
        }
        if let Some(in_flight) = self.in_flight {
            fields.push("held", format!("{in_flight:.3}"));
        }
        fields
    }

    /// Parses the fields. Also returns the refused ones, each with the reason.
    pub fn parse(fields: &Fields) -> (Self, Vec<String>) {
        let (mut parsed, mut faults) = (Self::default(), Vec::new());
        for (name, text) in fields.bounded(&mut faults) {
            let twice = parsed.fields.iter().any(|(n, _)| n == name)
                || (name == "held" && parsed.in_flight.is_some());
            let known = matches!(name.as_str(), "found" | "accepted" | "held");
            let fault = match name.as_str() {
                _ if known && twice => Some("duplicate field"),
                _ if known && text.len() > MAX_FIGURES_BYTES => Some("too long"),
                "found" if text.parse::<u32>().is_err() => Some("not a number"),
                // The numbers in `accepted` are checked where they are counted.
                "found" | "accepted" => {
                    parsed.fields.push((name.clone(), text.clone()));
                    None
                }
                "held" => {
                    parsed.in_flight =
                        text.parse().ok().and_then(|calls| LoadReport::new(calls, 0.0)).map(|r| r.in_flight);
                    parsed.in_flight.is_none().then_some("not a number of calls")
                }
                _ => None,
            };
            faults.extend(fault.map(|why| format!("{name}: {why}")));
        }
        (parsed, faults)
    }

    /// The host's load, as its own answer would report it.
    pub fn load_report(&self) -> Option<LoadReport> {
        self.in_flight.and_then(|calls| LoadReport::new(calls, 0.0))
    }
}

#[cfg(test)]
mod tests;
