//! One answer to each call, unsafe calls once, keyed ones within their window and site, and the served share.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use super::{held_up, phases, Figures, Flaws, Lives};
use crate::history::{Line, Saw, Setup, Turn};

const ONE: &str = "one answer to each call";
const ONCE: &str = "unsafe calls run once";
const KEYED: &str = "keyed calls run once, within their window and site";
const SHARE: &str = "the served share";
const LOAD: &str = "the bounded load of sites";
const FOUND: &str = "the share of blocks found";

/// Before this a process that ends may still have had the call's connection in its backlog, unseen.
const CLOSING_US: u64 = 50_000;
/// Calls of a second, over all sites, from which a share of it says something: chance alone is then within a tenth or so.
const LEAST_CALLS: u64 = 150;

/// What an activator's log says of a repeated attempt.
struct Repeat<'a> {
    class: &'a str,
    /// Since the first attempt.
    after_ms: u64,
}

impl<'a> Repeat<'a> {
    /// `None` if the line tells of none.
    fn read(line: &'a str) -> Option<Self> {
        let field = |name: &str| {
            let fields = line.split(' ').filter_map(|word| word.split_once('='));
            fields.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
        };
        Some(Self { class: field("class")?, after_ms: field("since_first_ms")?.parse().ok()? })
    }
}

struct Call<'a> {
    at: u64,
    to: usize,
    class: &'a str,
    ends: u32,
    /// Runs, with site and time.
    runs: Vec<(usize, u64)>,
    /// Times at which it came, repeats among them, with the site.
    came: Vec<(usize, u64)>,
    served: bool,
}

pub(super) fn check(setup: &Setup, lines: &[Line], lives: &Lives, flaws: &mut Flaws, figures: &mut Figures) {
    let mut calls: HashMap<u64, Call> = HashMap::new();
    let mut times = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).expect("bounds that make sense");
    let end = lines.last().map_or(0, |l| l.at);
    let held_up = held_up(lines);
    for line in lines {
        match &line.saw {
            Saw::Sent { id, to, class } => {
                figures.sent += 1;
                let call = Call {
                    at: line.at,
                    to: *to,
                    class,
                    ends: 0,
                    runs: Vec::new(),
                    came: Vec::new(),
                    served: false,
                };
                if calls.insert(*id, call).is_some() {
                    flaws.add(ONE, line.at, format!("call {id} was sent twice"));
                }
            }
            Saw::Answered { id, status, .. } => {
                figures.answered += 1;
                let Some(call) = calls.get_mut(id) else {
                    flaws.add(ONE, line.at, format!("call {id} was answered and never sent"));
                    continue;
                };
                call.ends += 1;
                call.served = *status == 200;
                times.saturating_record((line.at - call.at).max(1));
                if call.ends > 1 {
                    flaws.add(ONE, line.at, format!("call {id} was answered {} times", call.ends));
                }
                if call.served && call.came.is_empty() {
                    flaws.add(ONE, line.at, format!("call {id} was answered as done and came to no host"));
                }
            }
            Saw::Broken { id, why, written_us, idle } => {
                let Some(call) = calls.get_mut(id) else { continue };
                call.ends += 1;
                // A process that is killed, or stands still, can't answer; nor one that is not there. One that was told
                // to end answers what came before, whatever its end looks like from outside.
                let gone = [Turn::Killed, Turn::Stopped];
                let from = call.at.saturating_sub(CLOSING_US);
                let written = call.at + written_us;
                let excused = *idle
                    || !lives.runs(call.to, call.at)
                    || lives.had(call.to, from, line.at, &gone)
                    || lives.had(call.to, from, written + CLOSING_US, &[Turn::Told, Turn::Ended]);
                if !excused {
                    flaws.add(ONE, line.at, format!("call {id} to activator {} got none: {why}", call.to));
                }
            }
            Saw::Shed { calls } => figures.shed += calls,
            Saw::Came { id, site, repeat, .. } => {
                let Some(call) = calls.get_mut(id) else {
                    flaws.add(ONE, line.at, format!("call {id} came to a host and was never sent"));
                    continue;
                };
                call.came.push((*site, line.at));
                if !repeat {
                    call.runs.push((*site, line.at));
                }
                let terms = setup.classes.get(call.class);
                match terms.map(|t| (t.effect.as_str(), t.window_ms)) {
                    Some(("unsafe", _)) if call.came.len() > 1 => {
                        flaws.add(
                            ONCE,
                            line.at,
                            format!("call {id} came to hosts {} times", call.came.len()),
                        );
                    }
                    Some(("keyed", window_ms)) => {
                        let (first_site, first) = call.came[0];
                        let after = line.at - first;
                        let after_at_least = after - held_up.within(first, line.at);
                        let window = window_ms * 1_000;
                        // A host forgets a key after the window, by its own clock.
                        let run_within_window = call.runs.len() > 1 && after <= window;
                        if run_within_window || *site != first_site {
                            let said = format!("call {id} came to sites {:?}", call.came);
                            flaws.add(KEYED, line.at, said);
                        } else if after_at_least > window {
                            let late = after_at_least / 1_000;
                            flaws.add(KEYED, line.at, format!("call {id} came again after {late} ms"));
                        }
                    }
                    Some(_) => {}
                    None => flaws.add(ONCE, line.at, format!("nothing is known of class {}", call.class)),
                }
            }
            Saw::Logged { who, said } => {
                let repeat = Repeat::read(said);
                let window = |class: &str| setup.classes.get(class).filter(|terms| terms.effect == "keyed");
                let late =
                    repeat.filter(|r| window(r.class).is_some_and(|terms| r.after_ms > terms.window_ms));
                if let Some(late) = late {
                    flaws.add(
                        KEYED,
                        line.at,
                        format!("activator {who} repeats after {} ms: {said}", late.after_ms),
                    );
                }
            }
            _ => {}
        }
    }
    for (id, call) in &calls {
        if call.ends == 0 {
            flaws.add(ONE, end, format!("call {id} to activator {} got none by the end", call.to));
        }
    }
    if figures.answered == 0 {
        flaws.add(ONE, end, "no call was answered at all".into());
    }
    figures.time_us = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    share(setup, lines, &calls, flaws, figures);
    sites(setup, lines, flaws, figures);
}

/// The share of calls of each phase that were served.
fn share(
    setup: &Setup,
    lines: &[Line],
    calls: &HashMap<u64, Call>,
    flaws: &mut Flaws,
    figures: &mut Figures,
) {
    for (name, from, to) in phases(lines) {
        let of: Vec<_> = calls.values().filter(|c| (from..to).contains(&c.at)).collect();
        let served = of.iter().filter(|c| c.served).count() as f64 / of.len().max(1) as f64;
        let wanted = setup.hold.served.get(&name).copied().unwrap_or(0.0);
        if wanted > 0.0 && (of.is_empty() || served < wanted) {
            let said = format!("{name}: {served:.3} of {} calls, wanted {wanted}", of.len());
            flaws.add(SHARE, from, said);
        }
        figures.served.push((name, served));
    }
}

/// How even calls come to the sites that are there, second by second but for the phase `faults`, and how many blocks are
/// found.
fn sites(setup: &Setup, lines: &[Line], flaws: &mut Flaws, figures: &mut Figures) {
    let mut there = vec![true; setup.sites];
    let (mut second, mut counts, mut whole) = (0, vec![0u64; setup.sites], true);
    let (mut blocks, mut found) = ((0, 0), (0, 0));
    let mut phase = "calm";
    for line in lines {
        if line.at / 1_000_000 != second {
            let all: u64 = counts.iter().sum();
            if whole && phase != "faults" && all >= LEAST_CALLS {
                let mean = all as f64 / there.iter().filter(|t| **t).count().max(1) as f64;
                let most = counts.iter().max().copied().unwrap_or(0) as f64 / mean;
                figures.site_over_mean = figures.site_over_mean.max(most);
                let bound = setup.hold.site_over_mean;
                if bound > 0.0 && most > bound {
                    flaws.add(
                        LOAD,
                        line.at,
                        format!("{counts:?} in a second: {most:.2} of the mean, bound {bound}"),
                    );
                }
            }
            second = line.at / 1_000_000;
            counts.fill(0);
            whole = true;
        }
        match &line.saw {
            Saw::Site { site, there: now } => {
                if let Some(t) = there.get_mut(*site) {
                    *t = *now;
                }
                // A second in which a site goes or comes is neither the one nor the other.
                whole = false;
            }
            Saw::Phase { name } => {
                phase = name;
                whole = false;
            }
            Saw::Came { site, repeat: false, blocks: n, found: hit, .. } => {
                if let Some(count) = counts.get_mut(*site) {
                    *count += 1;
                }
                let after = phase == "after";
                blocks = (blocks.0 + n, blocks.1 + if after { *n } else { 0 });
                found = (found.0 + hit, found.1 + if after { *hit } else { 0 });
            }
            _ => {}
        }
    }
    figures.found = (blocks.0 > 0).then(|| found.0 as f64 / blocks.0 as f64);
    let late = found.1 as f64 / (blocks.1 as f64).max(1.0);
    if setup.hold.found > 0.0 && late < setup.hold.found {
        let said = format!("{late:.3} of {} blocks, wanted {}", blocks.1, setup.hold.found);
        flaws.add(FOUND, lines.last().map_or(0, |l| l.at), said);
    }
}

#[cfg(test)]
mod tests;
