//! Nobody ends by itself, whatever it hears; and of two programs each did its part.

use std::collections::HashMap;

use super::{Flaws, Lives};
use crate::history::{Line, Saw, Setup};
use crate::scenario::Which;

const ENDS: &str = "nobody ends by itself";
const RUNS: &str = "in the end all run one program";
const MIXED: &str = "both programs answer calls";

pub(super) fn check(setup: &Setup, lines: &[Line], lives: &Lives, flaws: &mut Flaws) {
    let end = lines.last().map_or(0, |l| l.at);
    let mut runs = vec![None; setup.activators];
    let mut sent_to: HashMap<u64, Option<Which>> = HashMap::new();
    let mut served = [0u64; 2];
    for line in lines {
        match &line.saw {
            Saw::Crashed { who, said } => flaws.add(ENDS, line.at, format!("activator {who}: {said}")),
            Saw::Runs { who, program } => {
                if let Some(runs) = runs.get_mut(*who) {
                    *runs = Some(*program);
                }
            }
            Saw::Sent { id, to, .. } => {
                sent_to.insert(*id, runs.get(*to).copied().flatten());
            }
            Saw::Answered { id, status: 200, .. } => match sent_to.get(id).copied().flatten() {
                Some(Which::This) => served[0] += 1,
                Some(Which::Before) => served[1] += 1,
                None => {}
            },
            _ => {}
        }
    }
    if let Some(wanted) = setup.hold.runs {
        for who in (0..setup.activators).filter(|who| lives.runs(*who, end)) {
            if runs[who] != Some(wanted) {
                flaws.add(RUNS, end, format!("activator {who} runs {:?}, wanted {wanted:?}", runs[who]));
            }
        }
    }
    if setup.hold.mixed && served.contains(&0) {
        let [this, before] = served;
        flaws.add(MIXED, end, format!("this one answered {this} calls, the one of before {before}"));
    }
}

#[cfg(test)]
mod tests;
