//! No count of drafts twice: what an activator sums up for the fleet is never more than what hosts served.

use super::{Figures, Flaws};
use crate::history::{Line, Saw, Setup};

const TWICE: &str = "no count of drafts twice";

pub(super) fn check(setup: &Setup, lines: &[Line], flaws: &mut Flaws, _figures: &mut Figures) {
    let (mut rounds, mut seen) = (0, false);
    let end = lines.last().map_or(0, |l| l.at);
    // What hosts served is written once a sum was read, so each sum is held against the next of these.
    let mut open: Vec<(u64, usize, u64)> = Vec::new();
    for line in lines {
        match line.saw {
            Saw::Sums { who, rounds } => open.push((line.at, who, rounds)),
            Saw::Served { rounds: r } => {
                rounds = r;
                for (at, who, summed) in open.drain(..) {
                    seen |= summed > 0;
                    if setup.hold.counts && summed > rounds {
                        let said = format!("activator {who} sums up {summed} rounds; hosts served {rounds}");
                        flaws.add(TWICE, at, said);
                    }
                }
            }
            _ => {}
        }
    }
    if setup.hold.counts && !(seen && open.is_empty()) {
        flaws.add(TWICE, end, format!("nothing was summed up; hosts served {rounds} rounds"));
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests_of::{broken, setup};
    use super::*;
    use crate::scenario::Hold;
    use rstest::rstest;

    #[rstest]
    #[case::less(Some(90), Some(100), false)]
    #[case::as_many(Some(100), Some(100), false)]
    #[case::more(Some(101), Some(100), true)]
    #[case::nothing(None, Some(100), true)]
    #[case::nothing_to_hold_it_against(Some(90), None, true)]
    fn sums_are_never_more_than_was_served(
        #[case] sums: Option<u64>,
        #[case] served: Option<u64>,
        #[case] flaw: bool,
    ) {
        let setup = Setup { hold: Hold { counts: true, ..Hold::default() }, ..setup() };
        let sums = sums.map(|rounds| Saw::Sums { who: 1, rounds });
        let served = served.map(|rounds| Saw::Served { rounds });
        assert_eq!(!broken(setup, [sums, served].into_iter().flatten().collect()).is_empty(), flaw);
    }
}
