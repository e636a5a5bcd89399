//! Nothing comes to a host that is to be sent nothing new, once that was told and everybody had time to take it up.

use std::collections::BTreeMap;

use super::{held_up, Flaws};
use crate::history::{Line, Saw, Setup};
use crate::list::Be;

const DRAINED: &str = "nothing comes to a drained host after its grace";

pub(super) fn check(setup: &Setup, lines: &[Line], flaws: &mut Flaws) {
    let held_up = held_up(lines);
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
                let bound = |since: u64| since + setup.list_grace_us + held_up.within(since, line.at);
                if let Some(since) = since.filter(|since| line.at > bound(**since)) {
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
mod tests;
