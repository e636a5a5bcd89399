//! What goes with a passed call and with its answer besides: fields, each a name and a text, as on a host's line. Names
//! that are not known are passed over, so that a later version may say more without another protocol. A field that
//! cannot be is refused by itself, with the reason: the call goes on without it. Pure.

use serde::{Deserialize, Serialize};
use wheellink::LoadReport;
use wheellink_drafts::Draft;
use wheellink_turns::{Turn, MAX_CHOICES};

/// Fields of one word; more than this version writes, as a later one may have others.
pub const MOST_FIELDS: usize = 16;
/// Bytes of their names and texts. What this version writes is below: a turn 1,114, a draft 10, three spots 777.
pub const MOST_BYTES: usize = 2_048;
/// Bytes of a whole [`More`] in its frame: a count, and lengths of two bytes before each name and text.
pub const MOST_WIRE: usize = MOST_BYTES + 4 * MOST_FIELDS + 1;
/// Longest text of a turn in its shortest form: 64 hashes of 16 digits, however much blank space its header had.
pub const LONGEST_TURN: usize = 1_110;
/// Longest name of a host or zone that is told.
const LONGEST_NAME: usize = 255;
/// Longest figure or list of figures of a host that is told.
const LONGEST_FIGURES: usize = 160;

/// The fields of one word, in order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct More(Vec<(String, String)>);

/// Hosts that an advice names, by what both versions call them: numbers of zones may differ between them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    Cell(i64),
    Zone(String),
    Host(String),
}

/// What a call is given on its way.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Given {
    /// The turn of a conversation that it carries: its conversation, new blocks and prefix.
    pub turn: Option<(u64, u16, Vec<u64>)>,
    /// What it is to draft.
    pub draft: Option<Draft>,
    /// Where its turn is best served, the best first; at most [`MAX_CHOICES`].
    pub places: Vec<Place>,
}

/// What its host said in the answer, as it said it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Said {
    /// `found` and `accepted`.
    pub fields: Vec<(String, String)>,
    /// Calls that it holds.
    pub held: Option<f64>,
}

/// A turn as `Wheellink-Turn` has it, in its shortest form.
fn turn_text(conversation: u64, new: u16, prefix: &[u64]) -> String {
    let hashes: Vec<String> = prefix.iter().map(|h| format!("{h:x}")).collect();
    format!("{conversation:x};{new};{}", hashes.join(","))
}

impl More {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// One field more. What goes beyond the bounds is left out, as the call or answer is served without it.
    fn put(&mut self, name: &str, text: String) {
        let size = self.size() + name.len() + text.len();
        if self.0.len() < MOST_FIELDS && size <= MOST_BYTES {
            self.0.push((name.into(), text));
        }
    }

    fn size(&self) -> usize {
        self.0.iter().map(|(name, text)| name.len() + text.len()).sum()
    }

    /// The fields, or why there are none: a word beyond the bounds is not looked into.
    fn bounded(&self, faults: &mut Vec<String>) -> &[(String, String)] {
        if self.0.len() > MOST_FIELDS || self.size() > MOST_BYTES {
            faults.push(format!("{} fields of {} bytes", self.0.len(), self.size()));
            return &[];
        }
        &self.0
    }
}

impl Given {
    /// As fields of a word.
    pub fn more(&self) -> More {
        let mut more = More::default();
        if let Some((conversation, new, prefix)) = &self.turn {
            more.put("turn", turn_text(*conversation, *new, prefix));
        }
        if let Some(draft) = self.draft {
            more.put("draft", draft.to_string());
        }
        for place in self.places.iter().take(MAX_CHOICES) {
            match place {
                Place::Cell(cell) => more.put("cell", cell.to_string()),
                Place::Zone(name) if name.len() <= LONGEST_NAME => more.put("zone", name.clone()),
                Place::Host(name) if name.len() <= LONGEST_NAME => more.put("host", name.clone()),
                Place::Zone(_) | Place::Host(_) => {}
            }
        }
        more
    }

    /// What these fields say, and what of them is refused and why.
    pub fn read(more: &More) -> (Self, Vec<String>) {
        let (mut given, mut faults) = (Self::default(), Vec::new());
        for (name, text) in more.bounded(&mut faults) {
            if let Err(why) = given.take(name, text) {
                faults.push(format!("{name}: {why}"));
            }
        }
        (given, faults)
    }

    fn take(&mut self, name: &str, text: &str) -> Result<(), String> {
        match name {
            "turn" if self.turn.is_some() => return Err("it stands twice".into()),
            "turn" if text.len() > LONGEST_TURN => return Err(format!("{} bytes", text.len())),
            "turn" => self.turn = Some(Turn::parse(text).map_err(|e| e.to_string())?),
            "draft" if self.draft.is_some() => return Err("it stands twice".into()),
            "draft" => self.draft = Some(text.parse().map_err(|_| "not DRAFTER:LENGTH".to_string())?),
            "cell" => self.advise(Place::Cell(text.parse().map_err(|_| "no number".to_string())?))?,
            "zone" => self.advise(Place::Zone(text.into()))?,
            "host" => self.advise(Place::Host(text.into()))?,
            _ => {}
        }
        Ok(())
    }

    fn advise(&mut self, place: Place) -> Result<(), String> {
        let long = match &place {
            Place::Cell(_) => false,
            Place::Zone(name) | Place::Host(name) => name.len() > LONGEST_NAME,
        };
        if self.places.len() >= MAX_CHOICES || long {
            return Err("more than an advice has".into());
        }
        self.places.push(place);
        Ok(())
    }
}

impl Said {
    /// What of a host's answer is told.
    pub fn of(fields: &[(String, String)], report: Option<LoadReport>) -> Self {
        let told = fields.iter().filter(|(name, _)| name == "found" || name == "accepted");
        Self { fields: told.cloned().collect(), held: report.map(|r| r.in_flight) }
    }

    /// As fields of a word.
    pub fn more(&self) -> More {
        let mut more = More::default();
        for (name, text) in self.fields.iter().take(2) {
            // One that is too long says nothing that can be read, here as there; cut short it might.
            let text = if text.len() <= LONGEST_FIGURES { text.clone() } else { String::new() };
            more.put(name, text);
        }
        if let Some(held) = self.held {
            more.put("held", format!("{held:.3}"));
        }
        more
    }

    /// What these fields say, and what of them is refused and why.
    pub fn read(more: &More) -> (Self, Vec<String>) {
        let (mut said, mut faults) = (Self::default(), Vec::new());
        for (name, text) in more.bounded(&mut faults) {
            let twice = said.fields.iter().any(|(n, _)| n == name) || (name == "held" && said.held.is_some());
            let known = matches!(name.as_str(), "found" | "accepted" | "held");
            let fault = match name.as_str() {
                _ if known && twice => Some("it stands twice"),
                _ if known && text.len() > LONGEST_FIGURES => Some("too long"),
                "found" if text.parse::<u32>().is_err() => Some("no number"),
                // Whether the figures can be is looked at where they are counted.
                "found" | "accepted" => {
                    said.fields.push((name.clone(), text.clone()));
                    None
                }
                "held" => {
                    said.held =
                        text.parse().ok().and_then(|held| LoadReport::new(held, 0.0)).map(|r| r.in_flight);
                    said.held.is_none().then_some("no number of calls")
                }
                _ => None,
            };
            faults.extend(fault.map(|why| format!("{name}: {why}")));
        }
        (said, faults)
    }

    /// The host's load, as its own answer would tell it.
    pub fn report(&self) -> Option<LoadReport> {
        self.held.and_then(|held| LoadReport::new(held, 0.0))
    }
}

#[cfg(test)]
mod tests;
