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
mod tests;
