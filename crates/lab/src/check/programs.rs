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
mod tests {
    use super::super::tests_of::{broken, setup};
    use super::*;
    use crate::scenario::Hold;

    fn runs(who: usize, program: Which) -> Saw {
        Saw::Runs { who, program }
    }

    fn call(id: u64, to: usize, status: u16) -> Vec<Saw> {
        let came = Saw::Came { id, site: 0, host: 0, repeat: false, blocks: 0, found: 0 };
        vec![Saw::Sent { id, to, class: "s".into() }, came, Saw::Answered { id, status, found: None }]
    }

    #[test]
    fn one_that_ends_by_itself_is_a_flaw() {
        assert_eq!(broken(setup(), vec![Saw::Crashed { who: 1, said: "x".into() }]), [ENDS]);
    }

    #[test]
    fn in_the_end_all_run_what_is_wanted() {
        let setup = Setup { hold: Hold { runs: Some(Which::This), ..Hold::default() }, ..setup() };
        let all = || (0..3).map(|who| runs(who, Which::This)).collect::<Vec<_>>();
        assert!(broken(setup.clone(), all()).is_empty());
        assert_eq!(broken(setup.clone(), all()[..2].to_vec()), [RUNS], "of one it is not known");
        let back = || [all(), vec![runs(1, Which::Before)]].concat();
        assert_eq!(broken(setup.clone(), back()), [RUNS]);
        assert!(broken(setup, [back(), vec![runs(1, Which::This)]].concat()).is_empty());
    }

    #[test]
    fn a_program_that_answered_nothing_proves_nothing() {
        let setup = || Setup { hold: Hold { mixed: true, ..Hold::default() }, ..setup() };
        let both = |status| {
            let begun = vec![runs(1, Which::Before), runs(2, Which::This)];
            broken(setup(), [begun, call(7, 1, 200), call(8, 2, status)].concat())
        };
        assert!(both(200).is_empty());
        assert_eq!(both(503), [MIXED]);
    }
}
