//! Nobody is held for gone who is not, and in the end all know who is there.

use std::collections::BTreeMap;

use super::{Flaws, Lives};
use crate::history::{Line, Saw, Setup};
use crate::scenario::Hold;

const GONE: &str = "nobody is held for gone who may not be";
const TOGETHER: &str = "in the end each knows who is there";

/// Whether one may hold another for gone.
fn may(hold: &Hold, who: usize, of: usize) -> bool {
    hold.may_be_gone.as_ref().is_none_or(|may| may.contains(&of)) || hold.may_accuse.contains(&who)
}

pub(super) fn check(setup: &Setup, lines: &[Line], lives: &Lives, flaws: &mut Flaws) {
    let mut last: BTreeMap<usize, &Vec<usize>> = BTreeMap::new();
    for line in lines {
        match &line.saw {
            Saw::Gone { who, of } if !may(&setup.hold, *who, *of) => {
                flaws.add(GONE, line.at, format!("activator {who} holds activator {of} for gone"));
            }
            Saw::Members { who, there, .. } => {
                last.insert(*who, there);
            }
            _ => {}
        }
    }
    if !setup.hold.together {
        return;
    }
    let end = lines.last().map_or(0, |l| l.at);
    let running: Vec<_> = (0..setup.activators).filter(|who| lives.runs(*who, end)).collect();
    for who in &running {
        match last.get(who) {
            Some(there) if **there == running => {}
            Some(there) => {
                let said = format!("activator {who} holds {there:?} for there; {running:?} run");
                flaws.add(TOGETHER, end, said);
            }
            None => flaws.add(TOGETHER, end, format!("activator {who} never said who is there")),
        }
    }
}

#[cfg(test)]
mod tests;
