//! What a member tells is bounded whatever happens to it, documents keep to their pace, and tampering that was asked for
//! took place.

use std::collections::{BTreeMap, VecDeque};

use super::{Figures, Flaws};
use crate::history::{Line, Saw, Setup};
use crate::tamper::{Kind, Tamper, Tampered};

const STORM: &str = "no member tells more than it may";
const PACE: &str = "documents keep to their pace";
const TAMPERED: &str = "what was to be tampered with was";

/// How long the count of a datagram may come after it was sent: a relay of a busy machine reads late.
const LATE_US: u64 = 300_000;
/// Over how long datagrams are counted, at least.
const WHILE_US: u64 = 1_000_000;
/// The longest time over which a pace is held against what was told: a burst shows in a short one.
const FAR_US: u64 = 4_000_000;

/// What one member had told by when.
type Looks = VecDeque<(u64, [u64; 4], u64)>;

pub(super) fn check(setup: &Setup, lines: &[Line], flaws: &mut Flaws, figures: &mut Figures) {
    let end = lines.last().map_or(0, |l| l.at);
    let (mut looks, mut seen) = (BTreeMap::<usize, Looks>::new(), false);
    let mut asked: Vec<&Tamper> = Vec::new();
    for line in lines {
        match &line.saw {
            Saw::Told { who, kinds, chunks } => {
                seen = true;
                let looks = looks.entry(*who).or_default();
                looks.push_back((line.at, *kinds, *chunks));
                while looks.front().is_some_and(|(at, ..)| at + FAR_US < line.at) {
                    looks.pop_front();
                }
                if let Some(most) = setup.told_most {
                    storm(*who, looks, most, flaws, figures);
                }
                if setup.pace.0 > 0 {
                    pace(*who, looks, setup.pace, flaws, figures);
                }
            }
            Saw::Tamper { how, .. } => asked.push(how),
            Saw::Tampered { tampered, .. } => {
                figures.tampered.spoilt += tampered.spoilt;
                figures.tampered.replayed += tampered.replayed;
                figures.tampered.forged += tampered.forged;
            }
            _ => {}
        }
    }
    if setup.told_most.is_some() && !seen {
        flaws.add(STORM, end, "nobody's datagrams were counted".into());
    }
    let Tampered { spoilt, replayed, forged } = figures.tampered;
    let wanted = [
        (spoilt, asked.iter().any(|how| how.spoil > 0.0), "spoilt"),
        (replayed, asked.iter().any(|how| how.replay_per_s > 0.0), "sent again"),
        (forged, asked.iter().any(|how| how.forge_per_s > 0.0), "made up"),
    ];
    for (_, _, what) in wanted.into_iter().filter(|(number, wanted, _)| *wanted && *number == 0) {
        flaws.add(TAMPERED, end, format!("no datagram was {what}"));
    }
}

/// Datagrams of the last second, against what may be told in that time and in the time by which counts may be late.
fn storm(who: usize, looks: &Looks, most: [f64; 4], flaws: &mut Flaws, figures: &mut Figures) {
    let Some((now, kinds, _)) = looks.back() else { return };
    let Some((at, before, _)) = looks.iter().rev().find(|(at, ..)| at + WHILE_US <= *now) else { return };
    let s = (now - at + LATE_US) as f64 / 1e6;
    for kind in Kind::ALL {
        let told = (kinds[kind as usize] - before[kind as usize]) as f64;
        let most = most[kind as usize] * s;
        figures.told = figures.told.max(if most > 0.0 { told / most } else { 0.0 });
        if told > most {
            let said =
                format!("activator {who} told {told} datagrams of {kind:?} in {s:.2} s, bound {most:.0}");
            flaws.add(STORM, *now, said);
        }
    }
}

/// Bytes of documents between any look and the last: whole periods of the time, one that had begun and one that begins.
fn pace(who: usize, looks: &Looks, (bytes, period_us): (u64, u64), flaws: &mut Flaws, figures: &mut Figures) {
    let Some((now, _, chunks)) = looks.back() else { return };
    for (at, _, before) in looks.iter().rev().skip(1) {
        let periods = (now - at + LATE_US) / period_us.max(1) + 2;
        let (told, most) = (chunks - before, bytes * periods);
        figures.paced = figures.paced.max(told as f64 / most as f64);
        if told > most {
            let said =
                format!("activator {who} told {told} bytes of documents in {periods} periods, pace {bytes}");
            flaws.add(PACE, *now, said);
            return;
        }
    }
}

#[cfg(test)]
mod tests;
