//! Scenarios: a fleet, calls, a timeline of faults and actions, and what must hold, read from TOML.

use std::collections::BTreeMap;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::list::{Be, By};
use crate::relay::Faults;
use crate::tamper::{Tamper, MOST_PER_S};

/// The most activators of a fleet: each has some 40 threads of the lab's around it.
const MOST_ACTIVATORS: usize = 9;
/// The longest run, in seconds, by which a history stays within its bound.
const LONGEST: f64 = 120.0;
/// The most clients of one activator that send calls in halves: each is a thread.
const MOST_HALVES: f64 = 16.0;
/// The farthest that a wall clock is set off, in seconds: two hours.
const LONGEST_STEP: f64 = 7_200.0;
/// The most calls a second, all activators together.
const MOST_CALLS: f64 = 2_000.0;

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name; set from the file's.
    #[serde(skip)]
    pub name: String,
    /// What it is about, in a line.
    pub about: String,
    /// Where its randomness begins.
    pub seed: u64,
    /// How long it runs, in seconds, after the fleet has met.
    pub seconds: f64,
    /// The activators.
    pub fleet: Fleet,
    /// What they agree on; without it nothing.
    pub accord: Option<Accord>,
    /// The hosts.
    #[serde(default)]
    pub sites: Sites,
    /// The calls.
    pub calls: Calls,
    /// The timeline.
    #[serde(default)]
    pub at: Vec<At>,
    /// What must hold.
    pub hold: Hold,
}

/// The activators of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many, 3 to 9.
    pub activators: usize,
    /// The time between two probes of members, in milliseconds.
    #[serde(default = "Fleet::period")]
    pub period_ms: u64,
    /// Tables that stand in each activator's file besides.
    #[serde(default)]
    pub tables: String,
    /// Activators whose files have neither these tables nor `[accord]`: programs from before there was such a thing.
    #[serde(default)]
    pub before: Vec<usize>,
    /// How they are told of hosts. By the bus they are platform activators, which know nothing of each other.
    #[serde(default)]
    pub hosts: By,
    /// The program that each is started from, by number; those that it does not reach are started from this one.
    #[serde(default)]
    pub programs: Vec<Which>,
}

impl Fleet {
    fn period() -> u64 {
        100
    }

    /// The program that an activator is started from at first.
    pub fn program(&self, who: usize) -> Which {
        self.programs.get(who).copied().unwrap_or_default()
    }
}

/// One of the two programs that a scenario may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Which {
    /// The one that is being tried.
    #[default]
    This,
    /// One of an earlier time; the same where no other is given.
    Before,
}

/// How processes are started anew.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Restart {
    /// Which; all of them at one time.
    pub who: Vec<usize>,
    /// Killed without a word rather than told to end.
    #[serde(default)]
    pub kill: bool,
    /// From this program; else from the one that they run.
    pub program: Option<Which>,
}

/// The accord of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accord {
    /// How many of the first activators are voters.
    pub voters: usize,
    /// Lines of `[accord]` besides the voters.
    pub settings: toml::Table,
    /// The document that all begin with.
    #[serde(default)]
    pub document: toml::Table,
    /// The floor.
    #[serde(default)]
    pub floor: toml::Table,
}

impl Accord {
    /// The table of an activator's file.
    pub fn table(&self) -> String {
        let voters: Vec<_> = (0..self.voters).map(|v| format!("\"m{v}\"")).collect();
        format!(
            "\n[accord]\nvoters = [{}]\n{}\n[accord.document]\n{}\n[accord.floor]\n{}\n",
            voters.join(", "),
            lines(&self.settings),
            lines(&self.document),
            lines(&self.floor)
        )
    }

    /// A setting, or what the program takes for it.
    pub fn number(&self, key: &str, else_: i64) -> i64 {
        self.settings.get(key).and_then(toml::Value::as_integer).unwrap_or(else_)
    }

    /// T, in microseconds: a lease and a period, by the slowest clock against the fastest. Where `lease_ms`, `period_ms` or
    /// `drift_ppm` are not set, it is what the program takes them for.
    pub fn bound_us(&self) -> u64 {
        let ms = self.number("lease_ms", 6_000) + self.number("period_ms", 500);
        let twice = 1.0 + 2.0 * self.number("drift_ppm", 500) as f64 / 1e6;
        (ms as f64 * 1e3 * twice) as u64
    }
}

/// A table's plain values, one a line.
fn lines(table: &toml::Table) -> String {
    // A plain value is written the same in JSON; tables are paths in keys here.
    table.iter().map(|(key, value)| format!("{key:?} = {}\n", serde_json::json!(value))).collect()
}

/// The hosts of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sites {
    /// How many sites, 1 to 8.
    pub count: usize,
    /// Hosts of each, 1 to 8.
    pub hosts: usize,
    /// Blocks that a site's cache holds.
    pub blocks: usize,
    /// Microseconds that a call works, without what its blocks take.
    pub work_us: u64,
    /// Microseconds that a block takes that is not found.
    pub block_us: u64,
    /// The chance that a drafted token is accepted, given that those before it were, by position.
    pub acceptance: Vec<f64>,
}

impl Default for Sites {
    fn default() -> Self {
        Self { count: 2, hosts: 2, blocks: 4_000, work_us: 2_000, block_us: 100, acceptance: vec![0.8] }
    }
}

/// The calls of a scenario: they are sent at their time, whether those before them were answered or not.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Calls {
    /// Calls a second, all activators together.
    pub per_s: f64,
    /// The share of keyed calls.
    #[serde(default)]
    pub keyed: f64,
    /// The share of unsafe calls; the rest is safe.
    #[serde(default, rename = "unsafe")]
    pub unsafe_: f64,
    /// How long hosts drop repeats of a keyed call, in milliseconds.
    #[serde(default = "Calls::window_ms")]
    pub window_ms: u64,
    /// Conversations that go on at a time; 0: calls are no turns.
    #[serde(default)]
    pub conversations: usize,
    /// Clients of each activator whose calls come in two halves, with a pause between them; besides `per_s`.
    #[serde(default)]
    pub halves: usize,
}

impl Calls {
    fn window_ms() -> u64 {
        8_000
    }
}

/// One entry of the timeline.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct At {
    /// Seconds after the start.
    pub s: f64,
    /// What is done then.
    #[serde(rename = "do")]
    pub act: Act,
}

/// What can be done.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Act {
    /// From here on is another phase: `calm`, `faults` or `after`.
    Phase(String),
    /// All ways between activators of different groups are cut.
    Part(Vec<Vec<usize>>),
    /// These ways, from the first to the second, are cut.
    Cut(Vec<(usize, usize)>),
    /// What all ways do.
    All(Faults),
    /// No way does anything any more, but for tampering.
    Heal,
    /// Ways tamper with what goes along them, in place of how they did.
    Tamper {
        /// From the first to the second; none named: all.
        #[serde(default)]
        ways: Vec<(usize, usize)>,
        /// How; nothing: no more.
        how: Tamper,
    },
    /// These processes stand still.
    Stop(Vec<usize>),
    /// They go on.
    GoOn(Vec<usize>),
    /// They are gone without a word.
    Kill(Vec<usize>),
    /// They are started again, from nothing.
    Start(Vec<usize>),
    /// They are told to end, and do.
    End(Vec<usize>),
    /// They end, and each is started again at its address as soon as it has.
    Restart(Restart),
    /// They take their leave of the others and serve on.
    Leave(Vec<usize>),
    /// A change is handed to an activator.
    Change(Change),
    /// These sites are cut off from all activators.
    Lose(Vec<usize>),
    /// They are back, with empty caches.
    Back(Vec<usize>),
    /// Every connection to these sites is broken off.
    Reset(Vec<usize>),
    /// The wall clocks of these activators' machines are stepped to the lab's time plus so many seconds.
    StepClock(Vec<(usize, f64)>),
    /// All activators are told something else of a host. It itself goes on as before.
    List {
        /// Its site.
        site: usize,
        /// Its number there.
        host: usize,
        /// What becomes of it.
        be: Be,
    },
    /// Acceptance of drafted tokens from now on.
    Acceptance(Vec<f64>),
    /// What hosts tell this activator of drafts is made up, with all accepted and so many rounds at a time.
    Forge {
        /// The activator that is told so, and tells others.
        to: usize,
        /// Rounds of each answer.
        rounds: u64,
    },
}

/// A change of the agreed document.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The activator that proposes it.
    pub to: usize,
    /// Keys and values.
    #[serde(default)]
    pub set: toml::Table,
    /// Keys that are dropped.
    #[serde(default)]
    pub drop: Vec<String>,
    /// A list and how many made-up entries it gets.
    pub list: Option<(String, usize)>,
    /// How long after it took the change up its proposer is killed, in milliseconds.
    pub then_kill_ms: Option<u64>,
}

/// What must hold, besides what always must.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hold {
    /// The least share of calls that are served, by phase.
    pub served: BTreeMap<String, f64>,
    /// All activators that run obey the same version at the end.
    pub agree: bool,
    /// At least so many versions came into force, besides the one that all begin with.
    pub versions: u64,
    /// At most so many; 0: any number.
    pub versions_most: u64,
    /// Activators that others may hold for gone; without it, that is not looked at.
    pub may_be_gone: Option<Vec<usize>>,
    /// Activators that may hold anybody for gone, as they hear nobody.
    pub may_accuse: Vec<usize>,
    /// At the end each that runs holds just those for there that run.
    pub together: bool,
    /// The most calls of a site in a second of any phase but `faults`, over the mean of the sites that are there; 0: any
    /// number.
    pub site_over_mean: f64,
    /// The least share of blocks that are found in the phase `after`.
    pub found: f64,
    /// Sums of drafts are looked at, and must have been seen.
    pub counts: bool,
    /// Seconds that sums of drafts reach back; 0: to the beginning.
    pub counts_reach_s: f64,
    /// Activators whose counts of drafts all others leave out at the end, and nobody else's.
    pub left_out: Option<Vec<usize>>,
    /// The longest draft that any table has in the phase `after`, if that is looked at.
    pub draft_most: Option<u64>,
    /// Within so many seconds after the last fault all know the same sites, and which are there, and keep to that; 0: not
    /// looked at.
    pub sites_agree_s: f64,
    /// How far apart two may hold the load of one site then, in means; 0: any.
    pub loads_apart: f64,
    /// What the tables of turns may take, in megabytes; 0: not looked at.
    pub turns_mb: f64,
    /// Blocks that a site may compute anew in a second; 0: any number.
    pub anew_per_s: f64,
    /// The program that all run in the end, if that is looked at.
    pub runs: Option<Which>,
    /// Both programs must have answered calls.
    pub mixed: bool,
}

impl Hold {
    /// What is wanted besides what always must hold, in a line: each key that is set, with its value.
    pub fn wanted(&self) -> String {
        let keys = |of: &Self| {
            serde_json::to_value(of).ok().and_then(|v| v.as_object().cloned()).unwrap_or_default()
        };
        let usual = keys(&Self::default());
        let set = keys(self).into_iter().filter(|(key, value)| usual.get(key) != Some(value));
        let told: Vec<_> = set.map(|(key, value)| format!("{key} {value}")).collect();
        told.join(", ").replace('"', "")
    }
}

/// Why a scenario is turned down: the file, the key and the reason.
fn refused(name: &str, key: &str, reason: impl std::fmt::Display) -> String {
    format!("{name}: {key}: {reason}")
}

impl Scenario {
    /// Reads a file.
    ///
    /// # Errors
    /// When it can't be read, has an unknown key, or one is out of bounds: file, key, reason.
    pub fn load(path: &Path) -> Result<Self, String> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| refused(&name, "the file", e))?;
        let mut scenario = Self::parse(&name, &text)?;
        scenario.name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        Ok(scenario)
    }

    /// Reads the text of a file of this name.
    ///
    /// # Errors
    /// As [`Scenario::load`].
    pub fn parse(name: &str, text: &str) -> Result<Self, String> {
        let scenario: Self = toml::from_str(text).map_err(|e| {
            let before = e.span().map_or("", |s| &text[..s.start.min(text.len())]);
            let rest = e.span().map_or("", |s| &text[s.start.min(text.len())..]);
            let key = rest.lines().next().unwrap_or_default().trim();
            refused(name, &format!("line {} `{key}`", before.matches('\n').count() + 1), e.message())
        })?;
        scenario.check(name)?;
        Ok(scenario)
    }

    /// Datagrams that a member may tell in a second, by [`crate::tamper::Kind`] and without parts of documents: what each
    /// protocol sends within a period of its own at the most, if all that can be due in it is. A storm is many times that.
    pub fn told_most(&self) -> [f64; 4] {
        let n = self.fleet.activators as f64;
        let tables: toml::Table = self.fleet.tables.parse().unwrap_or_default();
        let of = |table: &str, key: &str, else_: i64| {
            let set = tables.get(table).and_then(|t| t.get(key)).and_then(toml::Value::as_integer);
            set.unwrap_or(else_) as f64
        };
        // One probe and four by way of others, six of gossip, one that seeks; all others' probes, those by way of this
        // one there and back, and those who seek it.
        if self.fleet.hosts == By::Bus {
            return [0.0; 4];
        }
        let members = (12.0 + 8.0 * (n - 1.0)) / (self.fleet.period_ms as f64 / 1e3);
        let accord = self.accord.as_ref().map_or(0.0, |accord| {
            // To voters: a request, two steps of a round, a change, a state and its answer. To all: answers to requests,
            // to two steps, and news. Then what is wanted of a document.
            let voters = accord.voters as f64;
            (6.0 * voters + 5.0 * n + 40.0) / (accord.number("period_ms", 500) as f64 / 1e3)
        });
        let drafts = (of("drafts", "fanout", 3) + 1.0) / (of("drafts", "period_ms", 1_000) / 1e3);
        let turns = (of("turns", "told_bytes", 9_600) / 1_200.0 + n) / (of("turns", "period_ms", 500) / 1e3);
        let on = |table: &str, most: f64| if tables.contains_key(table) { most } else { 0.0 };
        [members, accord, on("drafts", drafts), on("turns", turns)]
    }

    /// Whether any wall clock is stepped.
    pub fn steps_clocks(&self) -> bool {
        self.at.iter().any(|at| matches!(at.act, Act::StepClock(_)))
    }

    /// Whether any process is started from the program of before.
    pub fn is_mixed(&self) -> bool {
        let anew = |at: &At| matches!(&at.act, Act::Restart(how) if how.program == Some(Which::Before));
        self.fleet.programs.contains(&Which::Before) || self.at.iter().any(anew)
    }

    fn check(&self, name: &str) -> Result<(), String> {
        let within = |key: &str, value: f64, least: f64, most: f64| match (least..=most).contains(&value) {
            true => Ok(()),
            false => Err(refused(name, key, format!("{value} is not within {least} to {most}"))),
        };
        let n = self.fleet.activators;
        within("fleet.activators", n as f64, 3.0, MOST_ACTIVATORS as f64)?;
        within("fleet.period_ms", self.fleet.period_ms as f64, 20.0, 60_000.0)?;
        within("seconds", self.seconds, 1.0, LONGEST)?;
        within("calls.per_s", self.calls.per_s, 1.0, MOST_CALLS)?;
        within("calls.keyed + calls.unsafe", self.calls.keyed + self.calls.unsafe_, 0.0, 1.0)?;
        within("calls.window_ms", self.calls.window_ms as f64, 100.0, 60_000.0)?;
        within("calls.conversations", self.calls.conversations as f64, 0.0, 100_000.0)?;
        within("calls.halves", self.calls.halves as f64, 0.0, MOST_HALVES)?;
        within("fleet.programs", self.fleet.programs.len() as f64, 0.0, n as f64)?;
        within("sites.count", self.sites.count as f64, 1.0, 8.0)?;
        within("sites.hosts", self.sites.hosts as f64, 1.0, 8.0)?;
        within("sites.blocks", self.sites.blocks as f64, 1.0, 1e6)?;
        if let Some(accord) = &self.accord {
            within("accord.voters", accord.voters as f64, 1.0, n as f64)?;
        }
        let agreed = self.accord.is_some() || !self.fleet.tables.is_empty();
        if self.fleet.hosts == By::Bus && (agreed || self.calls.conversations + self.calls.halves > 0) {
            return Err(refused(
                name,
                "fleet.hosts",
                "platform activators agree on nothing and take no turns",
            ));
        }
        for (phase, share) in &self.hold.served {
            within(&format!("hold.served.{phase}"), *share, 0.0, 1.0)?;
            let begins =
                phase == "calm" || self.at.iter().any(|a| matches!(&a.act, Act::Phase(p) if p == phase));
            if !begins {
                return Err(refused(name, &format!("hold.served.{phase}"), "no such phase in the timeline"));
            }
        }
        let mut last = 0.0;
        for (i, at) in self.at.iter().enumerate() {
            let key = format!("at[{i}]");
            within(&format!("{key}.s"), at.s, last, self.seconds)?;
            last = at.s;
            let known = |whose: &str, all: &[usize], most: usize| match all.iter().find(|k| **k >= most) {
                Some(k) => Err(refused(name, &format!("{key}.do"), format!("there is no {whose} {k}"))),
                None => Ok(()),
            };
            match &at.act {
                Act::Stop(who)
                | Act::GoOn(who)
                | Act::Kill(who)
                | Act::Start(who)
                | Act::End(who)
                | Act::Leave(who)
                | Act::Restart(Restart { who, .. }) => known("activator", who, n)?,
                Act::Part(groups) => groups.iter().try_for_each(|g| known("activator", g, n))?,
                Act::Cut(ways) => {
                    ways.iter().try_for_each(|(a, b)| known("activator", &[*a, *b], n))?;
                    if ways.iter().any(|(a, b)| a == b) {
                        return Err(refused(name, &format!("{key}.do.cut"), "a way is between two"));
                    }
                }
                Act::Change(change) => {
                    known("activator", &[change.to], n)?;
                    let entries = change.list.as_ref().map_or(0, |l| l.1);
                    within(&format!("{key}.do.change.list"), entries as f64, 0.0, 200_000.0)?;
                    if self.accord.is_none() {
                        return Err(refused(name, &format!("{key}.do.change"), "there is no [accord]"));
                    }
                }
                Act::List { site, host, .. } => {
                    known("site", &[*site], self.sites.count)?;
                    known("host", &[*host], self.sites.hosts)?;
                }
                Act::Tamper { ways, how } => {
                    ways.iter().try_for_each(|(a, b)| known("activator", &[*a, *b], n))?;
                    if ways.iter().any(|(a, b)| a == b) {
                        return Err(refused(name, &format!("{key}.do.tamper"), "a way is between two"));
                    }
                    within(&format!("{key}.do.tamper.spoil"), how.spoil, 0.0, 1.0)?;
                    within(&format!("{key}.do.tamper.replay_per_s"), how.replay_per_s, 0.0, MOST_PER_S)?;
                    within(&format!("{key}.do.tamper.forge_per_s"), how.forge_per_s, 0.0, MOST_PER_S)?;
                }
                Act::StepClock(steps) => {
                    steps.iter().try_for_each(|(who, seconds)| {
                        known("activator", &[*who], n)?;
                        within(&format!("{key}.do.step_clock"), *seconds, -LONGEST_STEP, LONGEST_STEP)
                    })?;
                }
                Act::Forge { to, .. } => known("activator", &[*to], n)?,
                Act::Lose(sites) | Act::Back(sites) | Act::Reset(sites) => {
                    known("site", sites, self.sites.count)?
                }
                Act::All(faults) => within(&format!("{key}.do.all.loss"), faults.loss, 0.0, 1.0)?,
                Act::Phase(_) | Act::Heal | Act::Acceptance(_) => {}
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
