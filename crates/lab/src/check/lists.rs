//! Nothing comes to a host that is to be sent nothing new, once that was told and everybody had time to take it up.

use std::collections::BTreeMap;

use super::Flaws;
use crate::history::{Line, Saw, Setup};
use crate::list::Be;

const DRAINED: &str = "nothing comes to a drained host after its grace";

pub(super) fn check(setup: &Setup, lines: &[Line], flaws: &mut Flaws) {
    // Since when each host is to be left alone, and whether anything came to it before.
    let mut drained: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    let mut used: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    for line in lines {
        match &line.saw {
            Saw::Listed { site, host, be: Be::Draining | Be::Gone } => {
                if !used.contains_key(&(*site, *host)) {
                    let said =
                        format!("site {site} host {host} had been sent nothing before, so nothing is shown");
                    flaws.add(DRAINED, line.at, said);
                }
                // One that drains and then goes is drained from the first on.
                drained.entry((*site, *host)).or_insert(line.at);
            }
            Saw::Listed { site, host, be: Be::Up | Be::Replaced } => {
                drained.remove(&(*site, *host));
            }
            Saw::Came { id, site, host, .. } => {
                *used.entry((*site, *host)).or_default() += 1;
                let since = drained.get(&(*site, *host));
                if let Some(since) = since.filter(|since| line.at > **since + setup.list_grace_us) {
                    let late = (line.at - since) / 1_000;
                    let said =
                        format!("call {id} came to site {site} host {host} {late} ms after it was told");
                    flaws.add(DRAINED, line.at, said);
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests_of::{broken, setup};
    use super::*;

    fn listed(be: Be) -> Saw {
        Saw::Listed { site: 0, host: 0, be }
    }

    fn call(id: u64, host: usize) -> Vec<Saw> {
        let came = Saw::Came { id, site: 0, host, repeat: false, blocks: 0, found: 0 };
        vec![Saw::Sent { id, to: 0, class: "s".into() }, came, Saw::Answered { id, status: 200, found: None }]
    }

    fn with(grace_us: u64, saw: &[Vec<Saw>]) -> Vec<&'static str> {
        broken(Setup { list_grace_us: grace_us, ..setup() }, saw.concat())
    }

    #[test]
    fn what_comes_after_the_grace_is_a_flaw_and_what_comes_before_is_none() {
        // Two seconds after it was told, one of them for what is under way.
        let drained = [vec![listed(Be::Draining)], call(5, 0)];
        assert_eq!(with(1_500_000, &drained), [DRAINED]);
        assert!(with(2_500_000, &drained).is_empty());
        assert!(with(1_500_000, &[vec![listed(Be::Draining)], call(5, 1)]).is_empty(), "another host");
        assert_eq!(with(1_500_000, &[vec![listed(Be::Gone)], call(5, 0)]), [DRAINED]);
    }

    #[test]
    fn one_that_is_back_or_whose_address_another_has_may_be_sent_to() {
        for be in [Be::Up, Be::Replaced] {
            let back = [vec![listed(Be::Draining)], vec![listed(be)], call(5, 0)];
            assert!(with(0, &back).is_empty(), "{be:?}");
        }
        // Drained again within the grace: it counts from then on.
        let twice =
            [vec![listed(Be::Draining)], vec![listed(Be::Up)], vec![listed(Be::Draining)], call(5, 0)];
        assert!(with(2_500_000, &twice).is_empty());
        assert_eq!(with(1_500_000, &twice), [DRAINED]);
        // First told to drain, then that it is gone: it counts from the first.
        let then_gone = [vec![listed(Be::Draining)], vec![listed(Be::Gone)], call(5, 0)];
        assert_eq!(with(2_500_000, &then_gone), [DRAINED]);
    }

    #[test]
    fn a_host_that_was_never_used_proves_nothing() {
        let unused = Saw::Listed { site: 1, host: 1, be: Be::Draining };
        assert_eq!(with(0, &[vec![unused]]), [DRAINED]);
    }
}
