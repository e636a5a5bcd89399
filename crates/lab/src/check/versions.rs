//! What activators obey: no two contradict each other beyond T, never on hard keys, and halves publish once.
//!
//! What a version says is read off the changes of the history. Of a version that no answered change explains, as its
//! proposer was killed or made it by itself, it is taken that it changed all that an unexplained change sets.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use super::{Figures, Flaws, Lives};
use crate::history::{Line, Obeys, Saw, Setup, Turn};

const ONE_CONTENT: &str = "a version has one content";
const HARD: &str = "no two obey contradicting hard keys";
const SOFT: &str = "no two obey contradicting versions beyond T";
const MAJORITY: &str = "only a majority publishes";
const BACK: &str = "nobody goes back to an older version";
const AGREE: &str = "in the end all obey one version";
const COUNT: &str = "the number of versions";

/// Whether both the old and the new value of this key must be obeyed in a change.
pub fn is_hard(key: &str) -> bool {
    let words: Vec<_> = key.split('/').collect();
    match words[..] {
        ["class", _, last] => matches!(last, "effect" | "scope" | "window_ms" | "attempts"),
        ["tenant", _, "quota_milli"] | ["limit", _] | ["out", ..] | ["voter", _] => true,
        _ => false,
    }
}

type Document = BTreeMap<String, Value>;

/// What each version says.
struct Versions {
    known: BTreeMap<u64, Document>,
    /// Keys of changes of which it is not known what became of them.
    open: BTreeSet<String>,
    /// Who votes in each: the first ones, with those that changes added by keys `voter/mN`, without those they dropped.
    voters: BTreeMap<u64, BTreeSet<usize>>,
}

/// The activator that a key makes a voter.
fn voter(key: &str) -> Option<usize> {
    key.strip_prefix("voter/m")?.parse().ok()
}

impl Versions {
    fn of(setup: &Setup, lines: &[Line]) -> Self {
        // What all begin with is not in the history; each version is held as what differs from it.
        let first = lines.iter().find_map(|l| match &l.saw {
            Saw::Acts { obeys, .. } => newest(obeys),
            _ => None,
        });
        let known = [(first.unwrap_or(0), Document::new())].into();
        let voters = [(first.unwrap_or(0), (0..setup.voters).collect())].into();
        let mut versions = Self { known, open: BTreeSet::new(), voters };
        let changes = lines.iter().filter_map(|l| match &l.saw {
            Saw::Change { base, set, dropped, became, status, said, .. } => {
                // One that was refused, at once or later, changes nothing.
                let refused = (400..500).contains(status)
                    || said.contains("\"reason\":") && !said.contains("may still come into force");
                Some((base, set, dropped, became, refused))
            }
            _ => None,
        });
        // A change may be answered after one that rests on it.
        let mut changes: Vec<_> = changes.collect();
        changes.sort_by_key(|c| (c.3.is_none(), *c.3));
        for (base, set, dropped, became, refused) in changes {
            match (became, versions.known.get(base)) {
                (Some(number), Some(before)) => {
                    let mut document = before.clone();
                    document.retain(|key, _| !dropped.contains(key));
                    document.extend(set.clone());
                    versions.known.insert(*number, document);
                    let mut voters = versions.voters.get(base).cloned().unwrap_or_default();
                    voters.extend(set.keys().filter_map(|key| voter(key)));
                    voters.retain(|who| !dropped.iter().any(|key| voter(key) == Some(*who)));
                    versions.voters.insert(*number, voters);
                }
                _ if refused => {}
                _ => versions.open.extend(set.keys().chain(dropped).cloned()),
            }
        }
        versions
    }

    /// Whose word brings this version into force: a majority of the voters before it, and one of its own.
    fn deciding(&self, setup: &Setup, number: u64) -> [BTreeSet<usize>; 2] {
        let before = self.known.range(..number).next_back().map_or(number, |(before, _)| *before);
        let of = |n| self.voters.get(&n).cloned().unwrap_or_else(|| (0..setup.voters).collect());
        [of(before), of(number)]
    }

    /// Whether two differ on a key of this kind.
    fn differ(&self, a: u64, b: u64, hard: bool) -> bool {
        if a == b {
            return false;
        }
        let own = |document: &Document| -> Document {
            document
                .iter()
                .filter(|(key, _)| is_hard(key) == hard)
                .map(|(k, v)| (k.clone(), v.clone()))
                .collect()
        };
        match (self.known.get(&a), self.known.get(&b)) {
            (Some(a), Some(b)) => own(a) != own(b),
            // Drafts change soft keys; what came from nobody knows where is held to those.
            _ => !hard || self.open.iter().any(|key| is_hard(key)),
        }
    }
}

/// The versions whose hard keys these terms keep to.
fn keeps(obeys: &Obeys) -> Vec<u64> {
    match obeys {
        Obeys::Floor(_) => Vec::new(),
        Obeys::One(number, _) => vec![*number],
        Obeys::Both(old, new) => vec![*old, *new],
    }
}

/// The version whose soft keys these terms are.
fn newest(obeys: &Obeys) -> Option<u64> {
    keeps(obeys).last().copied()
}

/// A time in which an activator obeyed something and could act.
struct Span<'a> {
    who: usize,
    from: u64,
    to: u64,
    obeys: &'a Obeys,
}

fn spans<'a>(setup: &Setup, lines: &'a [Line], lives: &Lives) -> Vec<Span<'a>> {
    let end = lines.last().map_or(0, |l| l.at);
    let mut spans = Vec::new();
    for who in 0..setup.activators {
        let mut now: Option<(u64, &Obeys)> = None;
        let mut close = |now: &mut Option<(u64, &'a Obeys)>, at: u64| {
            if let Some((from, obeys)) = now.take() {
                if at > from {
                    spans.push(Span { who, from, to: at, obeys });
                }
            }
        };
        let mut held: Option<&Obeys> = None;
        for line in lines {
            match &line.saw {
                Saw::Acts { who: w, obeys } if *w == who => {
                    close(&mut now, line.at);
                    (now, held) = (Some((line.at, obeys)), Some(obeys));
                }
                Saw::Life { who: w, turn } if *w == who => match turn {
                    // What stands still does nothing; let go, it has a moment to look at its clock.
                    Turn::Stopped => close(&mut now, line.at),
                    Turn::Continued => now = held.map(|obeys| (line.at + setup.grace_us, obeys)),
                    Turn::Killed | Turn::Ended | Turn::Started => {
                        close(&mut now, line.at);
                        held = None;
                    }
                    Turn::Told => {}
                },
                _ => {}
            }
        }
        close(&mut now, end);
    }
    debug_assert!(lives.each.len() == setup.activators);
    spans
}

pub(super) fn check(setup: &Setup, lines: &[Line], lives: &Lives, flaws: &mut Flaws, figures: &mut Figures) {
    if setup.voters == 0 {
        return;
    }
    let end = lines.last().map_or(0, |l| l.at);
    let versions = Versions::of(setup, lines);
    let spans = spans(setup, lines, lives);
    if spans.is_empty() {
        flaws.add(AGREE, end, "nobody said what it obeys".into());
    }
    let mut digests: BTreeMap<u64, &str> = BTreeMap::new();
    let mut firsts: BTreeMap<u64, (u64, usize)> = BTreeMap::new();
    let mut reached: Vec<u64> = vec![0; setup.activators];
    for line in lines {
        match &line.saw {
            Saw::Acts { who, obeys } => {
                if let Obeys::One(number, digest) = obeys {
                    let first = digests.entry(*number).or_insert(digest);
                    if first != digest {
                        let said = format!("version {number} is {first} and, with activator {who}, {digest}");
                        flaws.add(ONE_CONTENT, line.at, said);
                    }
                }
                if let Some(number) = keeps(obeys).last() {
                    firsts.entry(*number).or_insert((line.at, *who));
                    if *number < reached[*who] {
                        let said =
                            format!("activator {who} had come to {} and obeys {number}", reached[*who]);
                        flaws.add(BACK, line.at, said);
                    }
                    reached[*who] = reached[*who].max(*number);
                }
            }
            Saw::Life { who, turn: Turn::Started } => reached[*who] = 0,
            _ => {}
        }
    }
    let first_of_all = firsts.keys().next().copied();
    figures.versions = firsts.len().saturating_sub(1) as u64;
    hard(setup, &versions, &spans, flaws);
    soft(setup, &versions, &spans, &firsts, flaws, figures);
    for (number, (at, who)) in firsts.iter().filter(|(n, _)| Some(**n) != first_of_all) {
        if !had_majority(setup, lines, &versions.deciding(setup, *number), *who, *at) {
            let said =
                format!("activator {who} was the first to obey version {number}, cut off from a majority");
            flaws.add(MAJORITY, *at, said);
        }
    }
    let hold = &setup.hold;
    if figures.versions < hold.versions || hold.versions_most > 0 && figures.versions > hold.versions_most {
        let most = if hold.versions_most > 0 { hold.versions_most.to_string() } else { "any".into() };
        let said = format!("{} came into force, wanted {} to {most}", figures.versions, hold.versions);
        flaws.add(COUNT, end, said);
    }
    if hold.agree {
        let last = |who: usize| {
            let obeys = lines.iter().rev().find_map(|l| match &l.saw {
                Saw::Acts { who: w, obeys } if *w == who => Some(obeys),
                _ => None,
            });
            (who, obeys)
        };
        // One whose file has no accord never says anything, and is left out.
        let all: Vec<_> = (0..setup.activators).filter(|w| lives.runs(*w, end)).map(last).collect();
        let said: Vec<_> = all.iter().filter_map(|(who, obeys)| Some((who, (*obeys)?))).collect();
        let newest = firsts.keys().last();
        let one = |o: &Obeys| matches!(o, Obeys::One(n, _) if Some(n) == newest);
        if said.len() <= setup.voters / 2 || !said.iter().all(|(_, obeys)| one(obeys)) {
            flaws.add(AGREE, end, format!("the newest is {newest:?}; obeyed are {said:?}"));
        }
    }
}

/// No two at a time that keep to versions of different hard keys, with none in common. The moment between two lines of
/// two logs is no time; the lab's own resolution, the grace, is.
fn hard(setup: &Setup, versions: &Versions, spans: &[Span], flaws: &mut Flaws) {
    for (i, a) in spans.iter().enumerate() {
        for b in &spans[i + 1..] {
            let (from, to) = (a.from.max(b.from), a.to.min(b.to));
            if a.who == b.who || to < from.saturating_add(setup.grace_us) {
                continue;
            }
            let (x, y) = (keeps(a.obeys), keeps(b.obeys));
            if x.is_empty() || y.is_empty() {
                continue;
            }
            if x.iter().all(|x| y.iter().all(|y| versions.differ(*x, *y, true))) {
                let said = format!(
                    "activator {} obeys {:?} and activator {} {:?}, for {} ms",
                    a.who,
                    a.obeys,
                    b.who,
                    b.obeys,
                    (to - from) / 1_000
                );
                flaws.add(HARD, from, said);
            }
        }
    }
}

/// Once one obeys a version, after T none obeys an older one that differs.
fn soft(
    setup: &Setup,
    versions: &Versions,
    spans: &[Span],
    firsts: &BTreeMap<u64, (u64, usize)>,
    flaws: &mut Flaws,
    figures: &mut Figures,
) {
    for span in spans {
        let Some(own) = newest(span.obeys) else { continue };
        for (number, (first, by)) in firsts.range(own + 1..) {
            if span.to <= *first
                || !versions.differ(own, *number, false) && !versions.differ(own, *number, true)
            {
                continue;
            }
            let lasted = span.to - first;
            // A span that begins anew after the bound, as of one let go again, counts from where it begins.
            figures.longest_us = figures.longest_us.max(lasted);
            if setup.bound_us > 0 && lasted > setup.bound_us + setup.grace_us {
                let said = format!(
                    "activator {} obeyed {:?} for {} ms after activator {by} obeyed {number}; T is {} ms",
                    span.who,
                    span.obeys,
                    lasted / 1_000,
                    setup.bound_us / 1_000
                );
                flaws.add(SOFT, span.to, said);
            }
        }
    }
}

/// Whether an activator could reach a majority of each of these lists of voters, itself or by way of others, at some moment of the last T.
fn had_majority(setup: &Setup, lines: &[Line], lists: &[BTreeSet<usize>], who: usize, at: u64) -> bool {
    let n = setup.activators;
    let (mut cut, mut up) = (vec![vec![false; n]; n], vec![false; n]);
    let since = at.saturating_sub(setup.bound_us + setup.grace_us);
    let majority = |cut: &[Vec<bool>], up: &[bool]| {
        let (mut reached, mut open) = (BTreeSet::from([who]), vec![who]);
        while let Some(a) = open.pop() {
            for b in 0..n {
                if up[b] && !cut[a][b] && !cut[b][a] && reached.insert(b) {
                    open.push(b);
                }
            }
        }
        let of = |list: &BTreeSet<usize>| reached.iter().filter(|v| list.contains(v) && up[**v]).count();
        lists.iter().all(|list| of(list) * 2 > list.len())
    };
    for line in lines.iter().take_while(|l| l.at <= at) {
        // What stood before this line stood until it.
        let changes = matches!(line.saw, Saw::Link { .. } | Saw::Life { .. });
        if changes && line.at >= since && majority(&cut, &up) {
            return true;
        }
        match &line.saw {
            Saw::Link { from, to, faults } => cut[*from][*to] = faults.is_cut(),
            Saw::Life { who, turn } => {
                up[*who] = matches!(turn, Turn::Started | Turn::Continued | Turn::Told)
            }
            _ => {}
        }
    }
    majority(&cut, &up)
}

#[cfg(test)]
mod tests;
