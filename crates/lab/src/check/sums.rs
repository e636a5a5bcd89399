//! No count of drafts twice: what an activator sums up for the fleet is never more than what hosts served.

use super::{Figures, Flaws};
use crate::history::{Line, Saw, Setup};

const TWICE: &str = "no count of drafts twice";

pub(super) fn check(setup: &Setup, lines: &[Line], flaws: &mut Flaws, _figures: &mut Figures) {
    let (mut rounds, mut tokens, mut seen) = (0, 0, false);
    let end = lines.last().map_or(0, |l| l.at);
    // What hosts served is written once a sum was read, so each sum is held against the next of these.
    let mut open: Vec<(u64, usize, u64, u64)> = Vec::new();
    for line in lines {
        match line.saw {
            Saw::Sums { who, rounds, tokens } => open.push((line.at, who, rounds, tokens)),
            Saw::Served { rounds: r, tokens: t } => {
                (rounds, tokens) = (r, t);
                for (at, who, summed, useful) in open.drain(..) {
                    seen |= summed > 0;
                    if setup.hold.counts && (summed > rounds || useful > tokens) {
                        let said = format!(
                            "activator {who} sums up {summed} rounds and {useful} tokens; hosts served {rounds} and {tokens}"
                        );
                        flaws.add(TWICE, at, said);
                    }
                }
            }
            _ => {}
        }
    }
    if setup.hold.counts && !(seen && open.is_empty()) {
        flaws.add(
            TWICE,
            end,
            format!("nothing was summed up; hosts served {rounds} rounds and {tokens} tokens"),
        );
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests_of::{broken, setup};
    use super::*;
    use crate::scenario::Hold;
    use rstest::rstest;

    #[rstest]
    #[case::less(Some((90, 300)), Some((100, 320)), false)]
    #[case::as_many(Some((100, 320)), Some((100, 320)), false)]
    #[case::more_rounds(Some((101, 320)), Some((100, 320)), true)]
    #[case::more_tokens(Some((100, 321)), Some((100, 320)), true)]
    #[case::nothing(None, Some((100, 320)), true)]
    #[case::nothing_to_hold_it_against(Some((90, 300)), None, true)]
    fn sums_are_never_more_than_was_served(
        #[case] sums: Option<(u64, u64)>,
        #[case] served: Option<(u64, u64)>,
        #[case] flaw: bool,
    ) {
        let setup = Setup { hold: Hold { counts: true, ..Hold::default() }, ..setup() };
        let sums = sums.map(|(rounds, tokens)| Saw::Sums { who: 1, rounds, tokens });
        let served = served.map(|(rounds, tokens)| Saw::Served { rounds, tokens });
        assert_eq!(!broken(setup, [sums, served].into_iter().flatten().collect()).is_empty(), flaw);
    }
}
