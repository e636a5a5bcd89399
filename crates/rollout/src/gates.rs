//! The gates: whether the new version is as good as the old one, by class and for all classes together.
//!
//! Three answers: it fails (an e-process says so, at a stated error rate for the whole rollout), it holds
//! (enough calls, and the difference is below the margin at a stated chance), or it is not known. Too few calls
//! are never good.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use wheellink::Micros;

use crate::evidence::{deviations, upper_difference, upper_rate, worst_first, Count, Evidence};
use crate::plan::{GateRequirement, GateSettings};
use crate::Version;

/// Classes that are looked at one by one; calls of further ones count for all together only.
pub const MOST_CLASSES: usize = 32;
/// Calls of each version below which nothing is known to be good, whatever the interval says.
const FEWEST: u64 = 50;
/// The longest time that a histogram tells apart, in microseconds; longer ones count as this.
const LONGEST: u64 = 120_000_000;
/// The old version's times above this part of all are slow.
const SLOW: f64 = 0.95;
/// Old calls before which nothing is called slow: the percentile would be chance.
const SLOW_KNOWN: u64 = 100;

/// How a call ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Served.
    Served,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed, or not answered in time.
    Failed,
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Metric {
    /// Failed, of all calls.
    Failed,
    /// Refused, of all calls.
    Refused,
    /// Served after the class's aim or failed for want of time, of all calls.
    Late,
    /// Slower than 95 in 100 of the old version's, of served calls.
    Slow,
}

impl Metric {
    /// All of them.
    pub const ALL: [Metric; 4] = [Metric::Failed, Metric::Refused, Metric::Late, Metric::Slow];

    /// As it is told to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Metric::Failed => "failed",
            Metric::Refused => "refused",
            Metric::Late => "late",
            Metric::Slow => "slow",
        }
    }

    fn margin(self, table: &GateSettings) -> Option<f64> {
        match self {
            Metric::Failed => table.failed,
            Metric::Refused => table.refused,
            Metric::Late => table.late,
            Metric::Slow => table.slow,
        }
    }
}

/// What is known of one comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too little.
    Inconclusive,
    /// The new version is not worse by the margin or more.
    Passes,
    /// The new version is worse.
    Fails,
}

/// One comparison, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Gate {
    /// The class; `None` for all together.
    pub class: Option<String>,
    /// What is compared.
    pub metric: Metric,
    /// What is known.
    pub verdict: Verdict,
    /// Counts since the step began.
    pub old: Count,
    /// Of the new version.
    pub new: Count,
    /// Natural logarithm of the evidence against the new version, since the rollout began.
    pub log_e: f64,
}

struct Row {
    evidence: [Evidence; 4],
    /// Since the step began.
    step: [(Count, Count); 4],
    /// The old version's, of the last step in which it had calls.
    baseline: [Count; 4],
    times: [Histogram<u32>; 2],
    /// Old calls above this are slow, once it is known.
    slow: Option<u64>,
}

impl Row {
    fn new(cluster: f64) -> Self {
        // Two significant digits: 1 in 100, in some 20 KiB.
        let times = || Histogram::new_with_bounds(1, LONGEST, 2).expect("the bounds are in order");
        Self {
            evidence: std::array::from_fn(|_| Evidence::new(cluster)),
            step: Default::default(),
            baseline: Default::default(),
            times: [times(), times()],
            slow: None,
        }
    }

    fn record_call(&mut self, version: Version, outcome: CallOutcome, took: Micros, aim: Micros) {
        let micros = (took.max(1) as u64).min(LONGEST);
        let served = outcome == CallOutcome::Served;
        let late = took > aim && outcome != CallOutcome::Refused;
        let slow = self.slow.filter(|_| served).map(|limit| micros > limit);
        let hits =
            [Some(outcome == CallOutcome::Failed), Some(outcome == CallOutcome::Refused), Some(late), slow];
        for (i, hit) in hits.into_iter().enumerate().filter_map(|(i, hit)| Some((i, hit?))) {
            match version {
                Version::Old => {
                    self.evidence[i].record_old(hit);
                    self.step[i].0.add(hit);
                }
                Version::New => {
                    self.evidence[i].record_new(hit);
                    self.step[i].1.add(hit);
                }
            }
        }
        if served {
            self.times[usize::from(version == Version::New)].saturating_record(micros);
        }
    }

    fn close_blocks(&mut self, whole: bool, z: f64) {
        for (i, evidence) in self.evidence.iter_mut().enumerate() {
            let known = self.baseline[i].calls >= FEWEST;
            evidence.close_block((whole && known).then(|| upper_rate(self.baseline[i], z)));
        }
        let old = &self.times[0];
        if old.len() >= SLOW_KNOWN {
            self.slow = Some(old.value_at_quantile(SLOW));
        }
    }
}

/// See the module's page.
pub struct Gates {
    table: GateSettings,
    rows: BTreeMap<Option<String>, Row>,
    /// The share is 100%: there are no old calls to set new ones against.
    whole: bool,
}

impl Gates {
    /// Nothing counted yet.
    pub fn new(table: GateSettings) -> Self {
        let all = Row::new(table.max_cluster_size);
        Self { table, rows: BTreeMap::from([(None, all)]), whole: false }
    }

    /// A call has ended. `took` is the time from its arrival, `aim` its class's.
    pub fn record_call(
        &mut self,
        version: Version,
        class: &str,
        outcome: CallOutcome,
        took: Micros,
        aim: Micros,
    ) {
        let cluster = self.table.max_cluster_size;
        if !self.rows.contains_key(&Some(class.to_string())) && self.rows.len() <= MOST_CLASSES {
            self.rows.insert(Some(class.to_string()), Row::new(cluster));
        }
        for key in [None, Some(class.to_string())] {
            if let Some(row) = self.rows.get_mut(&key) {
                row.record_call(version, outcome, took, aim);
            }
        }
    }

    /// Ends the blocks that can be ended: to be called a few times a second, so that both versions are compared
    /// over the same time.
    pub fn close_blocks(&mut self) {
        let (whole, z) = (self.whole, deviations(self.table.beta));
        self.rows.values_mut().for_each(|row| row.close_blocks(whole, z));
    }

    /// Another step begins: what is good has to be shown again. Evidence against stays.
    pub fn begin_step(&mut self, whole: bool) {
        self.close_blocks();
        self.whole = whole;
        for row in self.rows.values_mut() {
            for (step, baseline) in row.step.iter_mut().zip(&mut row.baseline) {
                let (old, _) = std::mem::take(step);
                if old.calls > 0 {
                    *baseline = old;
                }
            }
        }
    }

    /// New calls finished since the step began.
    pub fn candidate_calls(&self) -> u64 {
        self.rows.get(&None).map_or(0, |row| row.step[0].1.calls)
    }

    fn tests(&self) -> usize {
        let kinds = Metric::ALL.iter().filter(|metric| metric.margin(&self.table).is_some()).count();
        // As many as there may ever be, so that the bound does not move when a class comes up.
        kinds * (MOST_CLASSES + 1)
    }

    /// All comparisons, those that speak most against the new version first.
    pub fn evaluate(&self) -> Vec<Gate> {
        let limit = (self.tests() as f64 / self.table.alpha).ln();
        let z = deviations(self.table.beta);
        let mut gates = Vec::new();
        for (class, row) in &self.rows {
            for (i, metric) in Metric::ALL.into_iter().enumerate() {
                let Some(margin) = metric.margin(&self.table) else { continue };
                let (own, new) = row.step[i];
                let old = if self.whole { row.baseline[i] } else { own };
                let log_e = row.evidence[i].log_e();
                let enough = old.calls >= FEWEST && new.calls >= FEWEST;
                let verdict = if log_e >= limit {
                    Verdict::Fails
                } else if enough && upper_difference(old, new, z) < margin {
                    Verdict::Passes
                } else {
                    Verdict::Inconclusive
                };
                gates.push(Gate { class: class.clone(), metric, verdict, old, new, log_e });
            }
        }
        worst_first(&mut gates);
        gates
    }

    /// What all of them say together: one that fails is enough to fail; to hold, all that the plan needs must.
    pub fn verdict(&self) -> (Verdict, Option<Gate>) {
        let gates = self.evaluate();
        if let Some(worst) = gates.iter().find(|g| g.verdict == Verdict::Fails) {
            return (Verdict::Fails, Some(worst.clone()));
        }
        let needed = |g: &&Gate| match self.table.requirement {
            GateRequirement::AllTogether => g.class.is_none(),
            // A class that nobody called in this step has nothing to show.
            GateRequirement::EveryClass => g.class.is_none() || g.old.calls + g.new.calls > 0,
        };
        let open = gates.iter().filter(needed).find(|g| g.verdict != Verdict::Passes);
        match open {
            Some(gate) => (Verdict::Inconclusive, Some(gate.clone())),
            None => (Verdict::Passes, None),
        }
    }

    /// Served calls' times in microseconds since the rollout began, all classes: median and 99th percentile of
    /// the old version and of the new one.
    pub fn latencies(&self) -> [(u64, u64); 2] {
        let row = self.rows.get(&None);
        let of = |i: usize| {
            row.map_or((0, 0), |r| (r.times[i].value_at_quantile(0.5), r.times[i].value_at_quantile(0.99)))
        };
        [of(0), of(1)]
    }
}
