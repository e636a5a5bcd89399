//! No count of drafts twice: what an activator sums up for the fleet is never more than what hosts served in the time that
//! sums reach back; and no draft is longer than it should be.

use std::collections::{BTreeMap, VecDeque};

use super::{Figures, Flaws};
use crate::history::{Line, Saw, Setup};

const TWICE: &str = "no count of drafts twice";
const LEFT_OUT: &str = "who is left out of the sums";
const LENGTH: &str = "the length of drafts";

pub(super) fn check(setup: &Setup, lines: &[Line], flaws: &mut Flaws, _figures: &mut Figures) {
    let (mut rounds, mut seen) = (0, false);
    let reach = (setup.hold.counts_reach_s * 1e6) as u64;
    // What had been served by when, as far back as sums reach, and one before that.
    let mut before: VecDeque<(u64, u64)> = VecDeque::from([(0, 0)]);
    let end = lines.last().map_or(0, |l| l.at);
    // What hosts served is written once a sum was read, so each sum is held against the next of these.
    let mut open: Vec<(u64, usize, u64)> = Vec::new();
    for line in lines {
        match line.saw {
            Saw::Sums { who, rounds } => open.push((line.at, who, rounds)),
            Saw::Served { rounds: r } => {
                rounds = r;
                before.push_back((line.at, r));
                let read = open.first().map_or(line.at, |sum| sum.0);
                while reach > 0 && before.get(1).is_some_and(|(at, _)| at + reach < read) {
                    before.pop_front();
                }
                let lately = r - if reach > 0 { before[0].1 } else { 0 };
                for (at, who, summed) in open.drain(..) {
                    seen |= summed > 0;
                    if setup.hold.counts && summed > lately {
                        let said = format!("activator {who} sums up {summed} rounds; hosts served {lately}");
                        flaws.add(TWICE, at, said);
                    }
                }
            }
            _ => {}
        }
    }
    if let Some(wanted) = &setup.hold.left_out {
        left_out(setup, lines, wanted, flaws);
    }
    if let Some(most) = setup.hold.draft_most {
        lengths(lines, most, flaws);
    }
    if setup.hold.counts && !(seen && open.is_empty()) {
        flaws.add(TWICE, end, format!("nothing was summed up; hosts served {rounds} rounds"));
    }
}

/// In the end each leaves out these, itself aside, and nobody else.
fn left_out(setup: &Setup, lines: &[Line], wanted: &[usize], flaws: &mut Flaws) {
    let end = lines.last().map_or(0, |l| l.at);
    for who in (0..setup.activators).filter(|who| !wanted.contains(who)) {
        let last = lines.iter().rev().find_map(|l| match &l.saw {
            Saw::LeftOut { who: w, of } if *w == who => Some(of.as_slice()),
            _ => None,
        });
        if last != Some(wanted) {
            flaws.add(LEFT_OUT, end, format!("activator {who} leaves out {last:?}, wanted {wanted:?}"));
        }
    }
}

/// In the phase `after` no table has a longer draft than this, and some table has one at all.
fn lengths(lines: &[Line], most: u64, flaws: &mut Flaws) {
    let end = lines.last().map_or(0, |l| l.at);
    let begun = lines.iter().find(|l| matches!(&l.saw, Saw::Phase { name } if name == "after"));
    let begun = begun.map_or(end, |l| l.at);
    // Until when each table was run by: seen from the end, up to the next of the same activator.
    let (mut until, mut seen) = (BTreeMap::new(), false);
    for line in lines.iter().rev() {
        let Saw::Table { who, entries } = &line.saw else { continue };
        if until.insert(*who, line.at).is_some_and(|until| until < begun) {
            continue;
        }
        for (place, draft) in entries {
            seen = true;
            let length = draft.split_once(':').and_then(|(_, l)| l.parse::<u64>().ok());
            if length.is_none_or(|l| l > most) {
                flaws.add(
                    LENGTH,
                    line.at,
                    format!("activator {who} runs {place} by {draft}, wanted {most} at most"),
                );
            }
        }
    }
    if !seen {
        flaws.add(LENGTH, end, "nobody ran by a table".into());
    }
}

#[cfg(test)]
mod tests;
