//! The gates: whether the new version is as good as the old one, for each class and for all classes together.
//!
//! A gate has three verdicts. It fails if an e-process shows that the new version is worse, at a stated error rate
//! for the whole rollout. It passes if there are enough calls and the upper bound of the difference is below the
//! margin, at a stated error rate. Otherwise it is inconclusive; few calls alone never pass a gate.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use wheellink::Micros;

use crate::evidence::{difference_upper_bound, rate_upper_bound, sort_worst_first, upper_normal_quantile};
use crate::evidence::{Count, Evidence};
use crate::plan::{GateRequirement, GateSettings};
use crate::Version;

/// Classes that are compared one by one. Calls of further classes count only for all classes together.
const MAX_CLASSES: usize = 32;
/// Calls of each version below which no gate passes, whatever the confidence interval.
const MIN_CALLS: u64 = 50;
/// Longest latency that the histograms distinguish; longer ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;
/// A call is slow if it takes longer than this quantile of the old version's latencies.
const SLOW_QUANTILE: f64 = 0.95;
/// Calls of the old version below which its quantile is too uncertain to call any call slow.
const MIN_CALLS_FOR_QUANTILE: u64 = 100;

/// How a call ended, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Served.
    Served,
    /// Refused: a repeat is harmless.
    Refused,
    /// Failed, or not answered in time.
    Failed,
}

/// A rate that is compared between the versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Metric {
    /// Share of calls that failed.
    Failed,
    /// Share of calls that were refused.
    Refused,
    /// Share of calls that were served or failed after the latency target of their class.
    Late,
    /// Share of served calls that took longer than the old version's 95th percentile.
    Slow,
}

impl Metric {
    /// All metrics.
    pub const ALL: [Metric; 4] = [Metric::Failed, Metric::Refused, Metric::Late, Metric::Slow];

    /// The name that operators see.
    pub fn as_str(self) -> &'static str {
        match self {
            Metric::Failed => "failed",
            Metric::Refused => "refused",
            Metric::Late => "late",
            Metric::Slow => "slow",
        }
    }

    fn margin(self, settings: &GateSettings) -> Option<f64> {
        match self {
            Metric::Failed => settings.failed,
            Metric::Refused => settings.refused,
            Metric::Late => settings.late,
            Metric::Slow => settings.slow,
        }
    }
}

/// The verdict of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There are too few calls, or the difference is too uncertain.
    Inconclusive,
    /// The new version is not worse by the margin.
    Passes,
    /// The new version is worse.
    Fails,
}

/// A gate and its evidence, shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Gate {
    /// The class; `None` for all classes together.
    pub class: Option<String>,
    /// The compared rate.
    pub metric: Metric,
    /// Its verdict.
    pub verdict: Verdict,
    /// Calls of the old version since the step began; at a share of 100%, those of the last step that had any.
    pub old: Count,
    /// Calls of the new version since the step began.
    pub new: Count,
    /// Natural logarithm of the e-value against the new version, since the rollout began.
    pub log_e: f64,
}

/// The comparisons of one class, or of all classes together. Arrays of four are in the order of [`Metric::ALL`].
struct Comparison {
    evidence: [Evidence; 4],
    /// Calls of the old and the new version since the step began.
    step_counts: [(Count, Count); 4],
    /// Calls of the old version in the last step in which it had any.
    baseline: [Count; 4],
    /// Latencies of served calls of the old and the new version, in microseconds.
    latencies: [Histogram<u32>; 2],
    /// Calls that take longer are slow. `None` until the old version has enough calls.
    slow_above_us: Option<u64>,
}

impl Comparison {
    fn new(max_cluster_size: f64) -> Self {
        // Two significant digits: an error of 1% in some 20 KiB.
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("the bounds are in order");
        Self {
            evidence: std::array::from_fn(|_| Evidence::new(max_cluster_size)),
            step_counts: Default::default(),
            baseline: Default::default(),
            latencies: [histogram(), histogram()],
            slow_above_us: None,
        }
    }

    fn record(&mut self, version: Version, outcome: CallOutcome, took: Micros, aim: Micros) {
        let latency_us = (took.max(1) as u64).min(MAX_LATENCY_US);
        let served = outcome == CallOutcome::Served;
        let late = took > aim && outcome != CallOutcome::Refused;
        let slow = self.slow_above_us.filter(|_| served).map(|limit| latency_us > limit);
        let hits =
            [Some(outcome == CallOutcome::Failed), Some(outcome == CallOutcome::Refused), Some(late), slow];
        for (i, hit) in hits.into_iter().enumerate().filter_map(|(i, hit)| Some((i, hit?))) {
            match version {
                Version::Old => {
                    self.evidence[i].record_old(hit);
                    self.step_counts[i].0.add(hit);
                }
                Version::New => {
                    self.evidence[i].record_new(hit);
                    self.step_counts[i].1.add(hit);
                }
            }
        }
        if served {
            self.latencies[usize::from(version == Version::New)].saturating_record(latency_us);
        }
    }

    fn close_blocks(&mut self, full_share: bool, z: f64) {
        for (i, evidence) in self.evidence.iter_mut().enumerate() {
            let known = self.baseline[i].calls >= MIN_CALLS;
            evidence.close_block((full_share && known).then(|| rate_upper_bound(self.baseline[i], z)));
        }
        let old = &self.latencies[0];
        if old.len() >= MIN_CALLS_FOR_QUANTILE {
            self.slow_above_us = Some(old.value_at_quantile(SLOW_QUANTILE));
        }
    }
}

/// Compares the calls of the two versions.
pub struct Gates {
    settings: GateSettings,
    /// By class; `None` for all classes together.
    comparisons: BTreeMap<Option<String>, Comparison>,
    /// The share is 100%: the old version has no calls to compare with.
    full_share: bool,
}

impl Gates {
    /// Gates without any calls.
    pub fn new(settings: GateSettings) -> Self {
        let all = Comparison::new(settings.max_cluster_size);
        Self { settings, comparisons: BTreeMap::from([(None, all)]), full_share: false }
    }

    /// Records a call that has ended. `took` is the time since its arrival, `aim` the latency target of its class.
    pub fn record(&mut self, version: Version, class: &str, outcome: CallOutcome, took: Micros, aim: Micros) {
        let max_cluster_size = self.settings.max_cluster_size;
        if !self.comparisons.contains_key(&Some(class.to_string())) && self.comparisons.len() <= MAX_CLASSES {
            self.comparisons.insert(Some(class.to_string()), Comparison::new(max_cluster_size));
        }
        for key in [None, Some(class.to_string())] {
            if let Some(comparison) = self.comparisons.get_mut(&key) {
                comparison.record(version, outcome, took, aim);
            }
        }
    }

    /// Closes the blocks of calls that are complete. Call it a few times per second, so that the calls of both
    /// versions in a block fall into the same time.
    pub fn close_blocks(&mut self) {
        let (full_share, z) = (self.full_share, upper_normal_quantile(self.settings.beta));
        self.comparisons.values_mut().for_each(|comparison| comparison.close_blocks(full_share, z));
    }

    /// Begins a step: the gates have to pass again. The evidence against the new version is kept.
    pub fn begin_step(&mut self, full_share: bool) {
        self.close_blocks();
        self.full_share = full_share;
        for comparison in self.comparisons.values_mut() {
            for (counts, baseline) in comparison.step_counts.iter_mut().zip(&mut comparison.baseline) {
                let (old, _) = std::mem::take(counts);
                if old.calls > 0 {
                    *baseline = old;
                }
            }
        }
    }

    /// Calls of the new version that have ended since the step began.
    pub fn candidate_calls(&self) -> u64 {
        self.comparisons.get(&None).map_or(0, |all| all.step_counts[0].1.calls)
    }

    /// Number of sequential tests among which `alpha` is divided (Bonferroni correction).
    fn test_count(&self) -> usize {
        let metrics = Metric::ALL.iter().filter(|metric| metric.margin(&self.settings).is_some()).count();
        // The maximum number of classes, so that the threshold does not change when a class appears.
        metrics * (MAX_CLASSES + 1)
    }

    /// Evaluates all gates; those with the strongest evidence against the new version come first.
    pub fn evaluate(&self) -> Vec<Gate> {
        let limit = (self.test_count() as f64 / self.settings.alpha).ln();
        let z = upper_normal_quantile(self.settings.beta);
        let mut gates = Vec::new();
        for (class, comparison) in &self.comparisons {
            for (i, metric) in Metric::ALL.into_iter().enumerate() {
                let Some(margin) = metric.margin(&self.settings) else { continue };
                let (step_old, new) = comparison.step_counts[i];
                let old = if self.full_share { comparison.baseline[i] } else { step_old };
                let log_e = comparison.evidence[i].log_e();
                let enough = old.calls >= MIN_CALLS && new.calls >= MIN_CALLS;
                let verdict = if log_e >= limit {
                    Verdict::Fails
                } else if enough && difference_upper_bound(old, new, z) < margin {
                    Verdict::Passes
                } else {
                    Verdict::Inconclusive
                };
                gates.push(Gate { class: class.clone(), metric, verdict, old, new, log_e });
            }
        }
        sort_worst_first(&mut gates);
        gates
    }

    /// The combined verdict, and the gate that decides it: fails if any gate fails, passes if all gates pass that the
    /// plan requires.
    pub fn verdict(&self) -> (Verdict, Option<Gate>) {
        let gates = self.evaluate();
        if let Some(worst) = gates.iter().find(|g| g.verdict == Verdict::Fails) {
            return (Verdict::Fails, Some(worst.clone()));
        }
        let required = |g: &&Gate| match self.settings.requirement {
            GateRequirement::AllTogether => g.class.is_none(),
            // A class without calls in this step is not required.
            GateRequirement::EveryClass => g.class.is_none() || g.old.calls + g.new.calls > 0,
        };
        let undecided = gates.iter().filter(required).find(|g| g.verdict != Verdict::Passes);
        match undecided {
            Some(gate) => (Verdict::Inconclusive, Some(gate.clone())),
            None => (Verdict::Passes, None),
        }
    }

    /// Latencies of served calls of all classes since the rollout began, in microseconds: median and 99th percentile
    /// of the old version and of the new one.
    pub fn latencies(&self) -> [(u64, u64); 2] {
        let all = self.comparisons.get(&None);
        let quantiles = |i: usize| {
            let of = |h: &Histogram<u32>| (h.value_at_quantile(0.5), h.value_at_quantile(0.99));
            all.map_or((0, 0), |c| of(&c.latencies[i]))
        };
        [quantiles(0), quantiles(1)]
    }
}
