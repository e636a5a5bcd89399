//! What must hold, read off a history alone.
//!
//! A rule that had nothing to look at does not pass: a history without answered calls, or of a fleet with voters in which
//! nobody said what it obeys, is a flaw in itself.

mod calls;
mod lists;
mod members;
mod programs;
mod sums;
mod told;
mod turns;
mod versions;

use std::fmt;

use crate::held_up::HeldUp;
use crate::history::{Line, Saw, Turn};
use crate::tamper::Tampered;

/// Something that must not be.
#[derive(Clone, Debug, PartialEq)]
pub struct Flaw {
    /// The rule that was broken.
    pub rule: &'static str,
    /// When, in microseconds since the run began.
    pub at: u64,
    /// What was seen.
    pub said: String,
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {}: {}", self.at as f64 / 1e6, self.rule, self.said)
    }
}

/// What a history shows, in figures.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Calls that were sent.
    pub sent: u64,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that the lab itself did not send, as it could not keep up.
    pub shed: u64,
    /// Share that was served, by phase, in the order of phases.
    pub served: Vec<(String, f64)>,
    /// Versions that came into force after the first.
    pub versions: u64,
    /// The longest time for which a version was obeyed beyond the first act on one that contradicts it, in
    /// microseconds. It is held against T.
    pub longest_us: u64,
    /// Share of blocks that were found, in all.
    pub found: Option<f64>,
    /// Spoilt, sent again and made up by relays.
    pub tampered: Tampered,
    /// The most that a member told in a second, as a share of what it may, of all kinds.
    pub told: f64,
    /// The most bytes with parts of documents that a member told within a time, as a share of its pace.
    pub paced: f64,
    /// The most blocks that a site computed anew in a second.
    pub anew_per_s: u64,
    /// The most calls of a site in a second over the mean.
    pub site_over_mean: f64,
    /// Microseconds from a call to its answer, half of them and 99 of 100.
    pub time_us: (u64, u64),
}

/// Flaws of one rule that are told at the most.
const MOST_OF_A_RULE: usize = 20;

/// Flaws as they are found, so many of each rule.
#[derive(Default)]
struct Flaws(Vec<Flaw>);

impl Flaws {
    fn add(&mut self, rule: &'static str, at: u64, said: String) {
        if self.0.iter().filter(|f| f.rule == rule).count() < MOST_OF_A_RULE {
            self.0.push(Flaw { rule, at, said });
        }
    }
}

/// When a process ran and when it did not.
#[derive(Clone, Default)]
struct Lives {
    /// What happened to each, in order.
    each: Vec<Vec<(u64, Turn)>>,
}

impl Lives {
    fn of(lines: &[Line], activators: usize) -> Self {
        let mut lives = Self { each: vec![Vec::new(); activators] };
        for line in lines {
            if let Saw::Life { who, turn } = line.saw {
                if let Some(life) = lives.each.get_mut(who) {
                    life.push((line.at, turn));
                }
            }
        }
        lives
    }

    /// The last thing that happened to it by then.
    fn last(&self, who: usize, at: u64) -> Option<Turn> {
        self.each[who].iter().rev().find(|(when, _)| *when <= at).map(|(_, turn)| *turn)
    }

    /// Whether it runs and is not stopped.
    fn runs(&self, who: usize, at: u64) -> bool {
        matches!(self.last(who, at), Some(Turn::Started | Turn::Continued))
    }

    /// Whether any of these happened to it in that time.
    fn had(&self, who: usize, from: u64, to: u64, turns: &[Turn]) -> bool {
        self.each[who].iter().any(|(when, turn)| (from..=to).contains(when) && turns.contains(turn))
    }
}

/// Checks a history: its flaws, none if it passes, and its figures.
///
/// # Errors
/// When it is not whole, so that nothing can be said.
pub fn check(lines: &[Line]) -> Result<(Vec<Flaw>, Figures), String> {
    let Some(Line { saw: Saw::Setup(setup), .. }) = lines.first() else {
        return Err("a history begins with its setup".into());
    };
    if lines.iter().any(|l| l.saw == Saw::Full) {
        return Err("more was seen than a history may hold".into());
    }
    if !lines.last().is_some_and(|l| l.saw == Saw::End) {
        return Err("the history breaks off before its end".into());
    }
    let (mut flaws, mut figures) = (Flaws::default(), Figures::default());
    for line in lines {
        if let Saw::Trouble { said } = &line.saw {
            flaws.add("the lab itself works", line.at, said.clone());
        }
    }
    let lives = Lives::of(lines, setup.activators);
    calls::check(setup, lines, &lives, &mut flaws, &mut figures);
    versions::check(setup, lines, &lives, &mut flaws, &mut figures);
    lists::check(setup, lines, &mut flaws);
    members::check(setup, lines, &lives, &mut flaws);
    programs::check(setup, lines, &lives, &mut flaws);
    sums::check(setup, lines, &mut flaws, &mut figures);
    told::check(setup, lines, &mut flaws, &mut figures);
    turns::check(setup, lines, &lives, &mut flaws, &mut figures);
    flaws.0.sort_by_key(|f| f.at);
    Ok((flaws.0, figures))
}

/// When the lab was not scheduled, as a history says.
fn held_up(lines: &[Line]) -> HeldUp {
    let mut all = HeldUp::default();
    for line in lines {
        if let Saw::HeldUp { held_us } = line.saw {
            all.add(line.at.saturating_sub(held_us), line.at);
        }
    }
    all
}

/// Phases of a history, each with its beginning and end.
fn phases(lines: &[Line]) -> Vec<(String, u64, u64)> {
    let mut phases: Vec<(String, u64, u64)> = vec![("calm".into(), 0, u64::MAX)];
    for line in lines {
        if let Saw::Phase { name } = &line.saw {
            phases.last_mut().expect("the first").2 = line.at;
            phases.push((name.clone(), line.at, u64::MAX));
        }
    }
    phases
}

/// Histories for tests.
#[cfg(test)]
mod tests_of {
    use super::*;
    use crate::history::{Obeys, Setup, Terms};

    /// Three activators that vote, with calls of each effect, that run all the time.
    pub fn setup() -> Setup {
        let terms = |effect: &str| Terms { effect: effect.into(), window_ms: 1_000 };
        let classes = [("s", "safe"), ("k", "keyed"), ("u", "unsafe")];
        Setup {
            activators: 3,
            voters: 3,
            bound_us: 1_000_000,
            grace_us: 100_000,
            classes: classes.map(|(name, effect)| (name.to_string(), terms(effect))).into(),
            sites: 2,
            ..Setup::default()
        }
    }

    /// That it starts like this, then these, each a second after the one before.
    pub fn history(setup: Setup, saw: Vec<Saw>) -> Vec<Line> {
        let mut all = vec![Saw::Setup(Box::new(setup.clone()))];
        for who in 0..setup.activators {
            all.push(Saw::Life { who, turn: Turn::Started });
            all.push(Saw::Acts { who, obeys: Obeys::One(0, "00".into()) });
        }
        all.extend([
            Saw::Sent { id: 0, to: 0, class: "s".into() },
            Saw::Came { id: 0, site: 0, host: 0, repeat: false, blocks: 0, found: 0 },
            Saw::Answered { id: 0, status: 200, found: None },
        ]);
        let before = all.len();
        all.extend(saw);
        all.push(Saw::End);
        let at = |i: usize| if i < before { 0 } else { (i - before + 1) as u64 * 1_000_000 };
        all.into_iter().enumerate().map(|(i, saw)| Line { at: at(i), saw }).collect()
    }

    /// The rules that this breaks.
    pub fn broken(setup: Setup, saw: Vec<Saw>) -> Vec<&'static str> {
        let mut rules: Vec<_> = check(&history(setup, saw)).unwrap().0.into_iter().map(|f| f.rule).collect();
        rules.dedup();
        rules
    }

    #[test]
    fn a_quiet_history_passes_and_one_that_is_not_whole_proves_nothing() {
        assert_eq!(check(&history(setup(), vec![])).unwrap().0, vec![]);
        let whole = history(setup(), vec![]);
        assert!(check(&whole[1..]).unwrap_err().contains("setup"));
        assert!(check(&whole[..whole.len() - 1]).unwrap_err().contains("breaks off"));
        let full = history(setup(), vec![Saw::Full]);
        assert!(check(&full).unwrap_err().contains("more was seen"));
    }

    #[test]
    fn trouble_of_the_lab_does_not_pass() {
        assert_eq!(broken(setup(), vec![Saw::Trouble { said: "x".into() }]), ["the lab itself works"]);
    }
}
