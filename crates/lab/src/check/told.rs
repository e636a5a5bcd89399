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
mod tests {
    use super::super::check;
    use super::super::tests_of::{broken, history, setup};
    use super::*;

    fn told(kinds: [u64; 4], chunks: u64) -> Saw {
        Saw::Told { who: 1, kinds, chunks }
    }

    #[test]
    fn a_storm_of_one_kind_is_a_flaw_and_nothing_counted_proves_nothing() {
        let setup = || Setup { told_most: Some([100.0, 10.0, 0.0, 5.0]), ..setup() };
        let after = |kinds| broken(setup(), vec![told([50, 5, 0, 0], 0), told(kinds, 0)]);
        // Over one second and what may be late.
        assert!(after([50 + 130, 5 + 13, 0, 6]).is_empty());
        assert_eq!(after([50 + 131, 5, 0, 0]), [STORM]);
        assert_eq!(after([50, 5 + 14, 0, 0]), [STORM]);
        assert_eq!(after([50, 5, 1, 0]), [STORM], "it has no such part");
        assert_eq!(broken(setup(), vec![]), [STORM]);
    }

    #[test]
    fn a_slow_trickle_is_none_over_a_long_time() {
        let setup = Setup { told_most: Some([100.0; 4]), ..setup() };
        let all = (0..9).map(|k| told([k * 100; 4], 0)).collect();
        let (flaws, figures) = check(&history(setup, all)).unwrap();
        assert!(flaws.is_empty() && (0.7..0.8).contains(&figures.told), "{flaws:?} {}", figures.told);
    }

    #[test]
    fn documents_faster_than_their_pace_are_a_flaw_over_any_time() {
        // Looks are a second apart: 13 whole periods, and two.
        let setup = || Setup { pace: (1_000, 100_000), ..setup() };
        let after = |chunks: &[u64]| broken(setup(), chunks.iter().map(|c| told([0; 4], *c)).collect());
        assert!(after(&[0, 15_000]).is_empty());
        assert_eq!(after(&[0, 15_001]), [PACE]);
        assert!(after(&[0, 13_000, 25_000]).is_empty());
        assert_eq!(after(&[0, 14_000, 28_000]), [PACE], "each second alone would do");
    }

    #[test]
    fn tampering_that_did_not_take_place_proves_nothing() {
        let how = Tamper { spoil: 0.1, forge_per_s: 5.0, ..Tamper::default() };
        let with = |tampered| {
            let tamper = Saw::Tamper { from: 0, to: 1, how: how.clone() };
            broken(setup(), vec![tamper, Saw::Tampered { to: 1, tampered }])
        };
        assert!(with(Tampered { spoilt: 1, forged: 1, replayed: 0 }).is_empty());
        assert_eq!(with(Tampered { spoilt: 0, forged: 1, replayed: 0 }), [TAMPERED]);
        assert_eq!(with(Tampered { spoilt: 1, forged: 0, replayed: 9 }), [TAMPERED]);
    }
}
