//! What activators believe of sites: all of them are known, whoever disagreed agrees in time, and tables keep to their
//! memory. And what sites compute anew, as they count it themselves.

use std::collections::BTreeMap;

use super::{Figures, Flaws, Lives};
use crate::history::{Line, Saw, Setup};

const AGREE: &str = "after the last fault all agree on sites";
const LOADS: &str = "after the last fault all agree on the load of sites";
const MEMORY: &str = "tables of turns keep to their memory";
const ANEW: &str = "what a site computes anew in a second";

pub(super) fn check(setup: &Setup, lines: &[Line], lives: &Lives, flaws: &mut Flaws, figures: &mut Figures) {
    let hold = &setup.hold;
    anew(setup, lines, flaws, figures);
    if hold.turns_mb > 0.0 {
        memory(lines, hold.turns_mb, flaws);
    }
    if hold.sites_agree_s > 0.0 {
        agree(setup, lines, lives, flaws);
    }
}

/// Blocks that were not found, by site and second.
fn anew(setup: &Setup, lines: &[Line], flaws: &mut Flaws, figures: &mut Figures) {
    let most = setup.hold.anew_per_s;
    let (mut second, mut counts, mut seen) = (0, vec![0; setup.sites], false);
    let end = lines.last().map_or(0, |l| l.at);
    for line in lines {
        if line.at / 1_000_000 != second {
            second = line.at / 1_000_000;
            counts.fill(0);
        }
        let Saw::Came { site, repeat: false, blocks, found, .. } = &line.saw else { continue };
        let Some(count) = counts.get_mut(*site) else { continue };
        seen |= *blocks > 0;
        let before = *count;
        *count += blocks - found;
        figures.anew_per_s = figures.anew_per_s.max(*count);
        // Told once a second, when it is passed.
        if most > 0.0 && *count as f64 > most && before as f64 <= most {
            flaws.add(
                ANEW,
                line.at,
                format!("site {site} computed {count} blocks in a second, bound {most}"),
            );
        }
    }
    if most > 0.0 && !seen {
        flaws.add(ANEW, end, "no call had blocks".into());
    }
}

fn memory(lines: &[Line], mb: f64, flaws: &mut Flaws) {
    let mut seen = false;
    for line in lines {
        if let Saw::Beliefs { who, bytes, .. } = &line.saw {
            seen = true;
            if *bytes as f64 > mb * f64::from(1 << 20) {
                flaws.add(MEMORY, line.at, format!("activator {who} takes {bytes} bytes, bound {mb} MB"));
            }
        }
    }
    if !seen {
        flaws.add(MEMORY, lines.last().map_or(0, |l| l.at), "nobody said what it believes".into());
    }
}

/// Sites and whether they are there, at each look from some time after the last fault on; their load at the last look.
fn agree(setup: &Setup, lines: &[Line], lives: &Lives, flaws: &mut Flaws) {
    let hold = &setup.hold;
    let end = lines.last().map_or(0, |l| l.at);
    let fault = |l: &&Line| {
        matches!(l.saw, Saw::Link { .. } | Saw::Site { .. } | Saw::Life { .. } | Saw::Tamper { .. })
    };
    let settled = lines.iter().rev().find(fault).map_or(0, |l| l.at) + (hold.sites_agree_s * 1e6) as u64;
    let mut there = vec![true; setup.sites];
    let mut last: BTreeMap<usize, &BTreeMap<String, (bool, f64)>> = BTreeMap::new();
    for line in lines {
        match &line.saw {
            Saw::Site { site, there: now } => {
                if let Some(t) = there.get_mut(*site) {
                    *t = *now;
                }
            }
            Saw::Beliefs { who, sites, .. } if line.at >= settled => {
                last.insert(*who, sites);
                let held: BTreeMap<_, _> =
                    sites.iter().map(|(site, (there, _))| (site.clone(), *there)).collect();
                let real: BTreeMap<_, _> =
                    there.iter().enumerate().map(|(site, there)| (site.to_string(), *there)).collect();
                if held != real {
                    let said = format!("activator {who} holds {held:?}, it is {real:?}");
                    flaws.add(AGREE, line.at, said);
                }
            }
            _ => {}
        }
    }
    let running = (0..setup.activators).filter(|who| lives.runs(*who, end));
    for who in running.filter(|who| !last.contains_key(who)) {
        flaws.add(AGREE, end, format!("activator {who} did not say what it believes by then"));
    }
    if hold.loads_apart <= 0.0 {
        return;
    }
    for site in 0..setup.sites {
        let loads: Vec<_> =
            last.iter().filter_map(|(who, of)| Some((of.get(&site.to_string())?.1, *who))).collect();
        let least = loads.iter().copied().min_by(|a, b| a.0.total_cmp(&b.0));
        let most = loads.iter().copied().max_by(|a, b| a.0.total_cmp(&b.0));
        if let (Some(least), Some(most)) = (least, most) {
            if most.0 - least.0 > hold.loads_apart {
                let said = format!(
                    "of site {site} activator {} holds {} and activator {} {}, bound {} apart",
                    least.1, least.0, most.1, most.0, hold.loads_apart
                );
                flaws.add(LOADS, end, said);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests_of::{broken, setup};
    use super::*;
    use crate::history::Turn;
    use crate::scenario::Hold;

    fn say(who: usize, first: (bool, f64), bytes: u64) -> Saw {
        Saw::Beliefs { who, sites: [("0".into(), first), ("1".into(), (true, 1.0))].into(), bytes }
    }

    fn of(hold: Hold) -> Setup {
        Setup { hold, ..setup() }
    }

    #[test]
    fn who_disagreed_must_agree_in_time() {
        let setup = || of(Hold { sites_agree_s: 1.5, ..Hold::default() });
        let site = |there| Saw::Site { site: 0, there };
        let all = |there| (0..3).map(|who| say(who, (there, 1.0), 9)).collect::<Vec<_>>();
        assert!(broken(setup(), [vec![site(false)], all(true), all(false)].concat()[..1].to_vec())
            .contains(&AGREE));
        // One second after the fault is too early to tell, two are not.
        let late = |first| [vec![site(false), say(0, (first, 1.0), 9)], all(false)].concat();
        assert!(broken(setup(), late(true)).is_empty());
        assert_eq!(broken(setup(), [late(true), vec![say(2, (true, 1.0), 9)]].concat()), [AGREE]);
        let unknown = Saw::Beliefs { who: 1, sites: [("1".into(), (true, 1.0))].into(), bytes: 9 };
        assert_eq!(broken(setup(), [late(true), vec![unknown]].concat()), [AGREE]);
        assert_eq!(broken(setup(), vec![]), [AGREE], "nobody said anything");
        // One that does not run need not say anything.
        let killed = Saw::Life { who: 2, turn: Turn::Killed };
        let rest = vec![say(0, (true, 1.0), 9), say(0, (true, 1.0), 9), say(1, (true, 1.0), 9)];
        assert!(broken(setup(), [vec![killed], rest].concat()).is_empty());
    }

    #[test]
    fn loads_must_not_be_far_apart_in_the_end() {
        let setup = || of(Hold { sites_agree_s: 0.5, loads_apart: 0.2, ..Hold::default() });
        let all = |last| {
            vec![
                say(0, (true, 1.0), 9),
                say(1, (true, 1.9), 9),
                say(2, (true, 1.1), 9),
                say(1, (true, last), 9),
            ]
        };
        assert!(broken(setup(), all(1.15)).is_empty());
        assert_eq!(broken(setup(), all(1.25)), [LOADS]);
    }

    #[test]
    fn tables_beyond_their_memory_are_a_flaw() {
        let setup = || of(Hold { turns_mb: 1.0, ..Hold::default() });
        assert!(broken(setup(), vec![say(0, (true, 1.0), 1 << 20)]).is_empty());
        assert_eq!(broken(setup(), vec![say(0, (true, 1.0), (1 << 20) + 1)]), [MEMORY]);
        assert_eq!(broken(setup(), vec![]), [MEMORY]);
    }

    #[test]
    fn blocks_computed_anew_are_bounded_by_second_and_site() {
        let setup = || of(Hold { anew_per_s: 20.0, ..Hold::default() });
        let call = |id, site, found| {
            let came = Saw::Came { id, site, host: 0, repeat: false, blocks: 30, found };
            vec![
                Saw::Sent { id, to: 0, class: "s".into() },
                came,
                Saw::Answered { id, status: 200, found: None },
            ]
        };
        assert!(broken(setup(), [call(5, 0, 10), call(6, 0, 10), call(7, 1, 10)].concat()).is_empty());
        assert_eq!(broken(setup(), call(5, 0, 9)), [ANEW]);
        assert_eq!(broken(setup(), vec![]), [ANEW], "no call had blocks");
        let repeat = Saw::Came { id: 0, site: 0, host: 0, repeat: true, blocks: 30, found: 0 };
        assert!(broken(setup(), [call(5, 0, 10), vec![repeat]].concat()).is_empty());
    }
}
