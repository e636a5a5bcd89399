//! The history of a run: one JSON object a line, in the order in which the lab saw it.
//!
//! The checkers read nothing else. It is bounded: what comes after the bound is not written, the last line says so, and a
//! history that says so does not pass. [`Saw::End`] closes it: the processes are killed after that, and what the last ones
//! log while the others go is no part of the run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::held_up::HeldUp;
use crate::list::Be;
use crate::relay::Faults;
use crate::scenario::Which;
use crate::tamper::{Tamper, Tampered};

/// Lines of a history at the most: some 100 MB. 60 s at 1,000 calls a second take 240,000.
pub const MOST_LINES: usize = 1_000_000;

/// What a class's calls may do, as the activators' file tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// Keyed: how long hosts drop repeats, in milliseconds.
    pub window_ms: u64,
}

/// What is known of a run before it begins.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Setup {
    /// The scenario's name.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// Activators; they are numbered from 0.
    pub activators: usize,
    /// How many of the first are voters; 0: nothing is agreed.
    pub voters: usize,
    /// T of the accord, in microseconds; 0: none stated.
    pub bound_us: u64,
    /// How long a process that was let go again may take to say what it obeys, in microseconds.
    pub grace_us: u64,
    /// Classes by name.
    pub classes: BTreeMap<String, Terms>,
    /// Sites; they are numbered from 0.
    pub sites: usize,
    /// Whether the program of an earlier time is another file than this one.
    #[serde(default)]
    pub two_programs: bool,
    /// Bytes with parts of documents that a member may tell in a period, and that period in microseconds; 0: none stated.
    #[serde(default)]
    pub pace: (u64, u64),
    /// How long after activators were told that a host is to be sent nothing new something may come there, in
    /// microseconds.
    #[serde(default)]
    pub list_grace_us: u64,
    /// Datagrams that a member may tell in a second, by kind and without parts of documents; none: not looked at.
    #[serde(default)]
    pub told_most: Option<[f64; 4]>,
    /// What must hold.
    pub hold: crate::scenario::Hold,
}

/// What an activator obeys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Obeys {
    /// The floor of this version.
    Floor(u64),
    /// This version, of this digest.
    One(u64, String),
    /// The stricter of both.
    Both(u64, u64),
}

/// What can happen to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Turn {
    /// It listens.
    Started,
    /// It was stopped.
    Stopped,
    /// It was let go again.
    Continued,
    /// It was killed.
    Killed,
    /// It was told to end.
    Told,
    /// It has ended.
    Ended,
}

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Saw {
    /// The run begins.
    Setup(Box<Setup>),
    /// From here on is another phase: `calm`, `faults`, `after`.
    Phase {
        /// Its name.
        name: String,
    },
    /// A client sent a call.
    Sent {
        /// The call's number.
        id: u64,
        /// The activator that it was sent to.
        to: usize,
        /// Its class.
        class: String,
    },
    /// A client was answered.
    Answered {
        /// The call's number.
        id: u64,
        /// The answer's status.
        status: u16,
        /// How many blocks of the call's turn were found, where it says so.
        found: Option<u64>,
    },
    /// A client was not answered: its connection broke, or nothing came for far too long.
    Broken {
        /// The call's number.
        id: u64,
        /// Why.
        why: String,
        /// Microseconds until it was written whole.
        #[serde(default)]
        written_us: u64,
        /// Its connection had then not been used for so long that the front may have ended it.
        #[serde(default)]
        idle: bool,
    },
    /// The lab itself could not keep up and did not send calls.
    Shed {
        /// How many.
        calls: u64,
    },
    /// A call came to a host.
    Came {
        /// The call's number.
        id: u64,
        /// The host's site.
        site: usize,
        /// The host.
        host: usize,
        /// Dropped as a repeat rather than run.
        repeat: bool,
        /// Blocks that its turn has.
        blocks: u64,
        /// Blocks that were found.
        found: u64,
    },
    /// A way between two activators changed.
    Link {
        /// From this activator.
        from: usize,
        /// To this one.
        to: usize,
        /// What it does from now on.
        faults: Faults,
    },
    /// How a way tampers changed.
    Tamper {
        /// From this activator.
        from: usize,
        /// To this one.
        to: usize,
        /// What it does from now on.
        how: Tamper,
    },
    /// What tampering made of all words on their way to an activator, up to here.
    Tampered {
        /// The activator.
        to: usize,
        /// So many of each.
        #[serde(flatten)]
        tampered: Tampered,
    },
    /// What an activator told others up to here, as relays counted it before they did anything to it.
    Told {
        /// The activator.
        who: usize,
        /// Datagrams by kind, without parts of documents.
        kinds: [u64; 4],
        /// Bytes of datagrams with parts of documents.
        chunks: u64,
    },
    /// What an activator believes of sites.
    Beliefs {
        /// The activator.
        who: usize,
        /// By site's number, as a word: whether it is there, and its load in means of those that are.
        sites: BTreeMap<String, (bool, f64)>,
        /// Bytes that its tables of turns take.
        bytes: u64,
    },
    /// All activators were told something of a host.
    Listed {
        /// The host's site.
        site: usize,
        /// The host.
        host: usize,
        /// What becomes of it.
        be: Be,
    },
    /// A site was cut off or came back.
    Site {
        /// The site.
        site: usize,
        /// Whether it is there.
        there: bool,
    },
    /// The wall clock of an activator's machine was stepped.
    ClockStepped {
        /// The activator.
        who: usize,
        /// Seconds that it is ahead of the lab's from then on.
        seconds: f64,
    },
    /// The program that an activator is started from, just before it is.
    Runs {
        /// The activator.
        who: usize,
        /// Which.
        program: Which,
    },
    /// A process ended that nobody had told to, or ended otherwise than it should.
    Crashed {
        /// The activator.
        who: usize,
        /// How it ended, and the last that it said.
        said: String,
    },
    /// Something happened to a process.
    Life {
        /// The activator.
        who: usize,
        /// What.
        turn: Turn,
    },
    /// An activator obeys something else from now on.
    Acts {
        /// The activator.
        who: usize,
        /// What it obeys.
        obeys: Obeys,
    },
    /// A change was handed to an activator.
    Change {
        /// The activator.
        to: usize,
        /// The version that it is based on.
        base: u64,
        /// Keys and values that it sets; an entry of a list that a range stands for is left out.
        set: BTreeMap<String, serde_json::Value>,
        /// Keys that it drops.
        dropped: Vec<String>,
        /// The answer's status; 0: none.
        status: u16,
        /// What it said.
        said: String,
        /// The version that it became, if it did.
        became: Option<u64>,
    },
    /// An activator holds another for gone.
    Gone {
        /// The activator that says so.
        who: usize,
        /// Whom it means.
        of: usize,
    },
    /// What an activator says of the others.
    Members {
        /// The activator.
        who: usize,
        /// Those that it holds for there, itself among them.
        there: Vec<usize>,
        /// Whether they are a majority.
        majority: bool,
    },
    /// What an activator counts of drafts, all of the fleet.
    Sums {
        /// The activator.
        who: usize,
        /// Rounds of drafting.
        rounds: u64,
    },
    /// The table of drafts that an activator runs by from now on.
    Table {
        /// The activator.
        who: usize,
        /// `DRAFTER:LENGTH` by `WORKLOAD/BAND`.
        entries: BTreeMap<String, String>,
    },
    /// Whose counts of drafts an activator leaves out from now on.
    LeftOut {
        /// The activator.
        who: usize,
        /// Whose.
        of: Vec<usize>,
    },
    /// What hosts served of drafts up to here.
    Served {
        /// Rounds of drafting.
        rounds: u64,
    },
    /// What a control address said.
    View {
        /// The activator.
        who: usize,
        /// Of what.
        of: String,
        /// What it said, cut at 2,000 bytes.
        said: String,
    },
    /// What an activator logged of a request or of a connection with a client, without its own time.
    Logged {
        /// The activator.
        who: usize,
        /// The line.
        said: String,
    },
    /// The lab itself was not scheduled for a while, up to here.
    HeldUp {
        /// Microseconds.
        held_us: u64,
    },
    /// Something of the lab's own went wrong, by which nothing is proven.
    Trouble {
        /// What.
        said: String,
    },
    /// The end.
    End,
    /// There was more than may be written.
    Full,
}

/// One line of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds since the run began.
    pub at: u64,
    /// What was seen.
    #[serde(flatten)]
    pub saw: Saw,
}

struct Inner {
    out: BufWriter<File>,
    lines: usize,
    last: u64,
    held_up: HeldUp,
    /// Set by [`Saw::End`], which stays the last line.
    closed: bool,
}

/// A history that is being written.
pub struct History {
    begun: Instant,
    most: usize,
    inner: Mutex<Inner>,
}

impl History {
    /// Into this file.
    ///
    /// # Errors
    /// When it can't be made.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Self::bounded(path, MOST_LINES)
    }

    fn bounded(path: &Path, most: usize) -> std::io::Result<Self> {
        let out = BufWriter::new(File::create(path)?);
        let inner = Inner { out, lines: 0, last: 0, held_up: HeldUp::default(), closed: false };
        Ok(Self { begun: Instant::now(), most, inner: Mutex::new(inner) })
    }

    /// Time since it began.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// For how long the lab was not scheduled since then.
    pub fn held_up_since(&self, since: Duration) -> Duration {
        let held_up = &self.inner.lock().unwrap().held_up;
        Duration::from_micros(held_up.within(since.as_micros() as u64, u64::MAX))
    }

    /// Writes what was seen just now; nothing once the end was written.
    pub fn saw(&self, saw: Saw) {
        let mut inner = self.inner.lock().unwrap();
        if inner.closed {
            return;
        }
        inner.closed = saw == Saw::End;
        // Taken under the lock, so that times never go back from line to line.
        let at = (self.begun.elapsed().as_micros() as u64).max(inner.last);
        inner.last = at;
        if let Saw::HeldUp { held_us } = saw {
            inner.held_up.add(at.saturating_sub(held_us), at);
        }
        inner.lines += 1;
        let saw = match inner.lines.cmp(&self.most) {
            std::cmp::Ordering::Less => saw,
            std::cmp::Ordering::Equal => Saw::Full,
            std::cmp::Ordering::Greater => return,
        };
        let text = serde_json::to_string(&Line { at, saw }).expect("plain data");
        // A disk that is full shows as a history without its end.
        let _ = writeln!(inner.out, "{text}");
    }

    /// Has everything written.
    ///
    /// # Errors
    /// When the disk does not take it.
    pub fn flush(&self) -> std::io::Result<()> {
        self.inner.lock().unwrap().out.flush()
    }
}

/// Reads a history.
///
/// # Errors
/// When it can't be read or a line is none: with its number.
pub fn read(path: &Path) -> Result<Vec<Line>, String> {
    let name = path.display();
    let file = File::open(path).map_err(|e| format!("{name}: {e}"))?;
    let mut lines = Vec::new();
    for (i, line) in BufReader::new(file).lines().enumerate() {
        let line = line.map_err(|e| format!("{name}: {e}"))?;
        if lines.len() == MOST_LINES {
            return Err(format!("{name}: more than {MOST_LINES} lines"));
        }
        lines.push(serde_json::from_str(&line).map_err(|e| format!("{name}: line {}: {e}", i + 1))?);
    }
    Ok(lines)
}

#[cfg(test)]
mod tests;
