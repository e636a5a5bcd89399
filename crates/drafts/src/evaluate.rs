//! Evaluates the evidence of one workload: which members' counts are used, since when the rates have been stable, and which draft
//! yields the most useful tokens per second in each load band.
//!
//! The result depends only on the rows, the table in force and the settings, so that members with the same evidence reach the same
//! result.

use crate::confidence;
use crate::settings::Settings;
use crate::tally::{Rate, Row, Tally};
use crate::types::{Draft, LOAD_BANDS, MAX_DRAFT_TOKENS};

/// The maximum number of cuts of older evidence in one evaluation: enough for two changes within a window, plus one.
const MAX_CUTS: usize = 3;
/// The minimum number of members with enough evidence before one of them can be an outlier.
const MIN_REPORTERS: usize = 3;

/// A reporter whose counts are excluded, and why.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Outlier {
    pub reporter: usize,
    pub why: String,
}

/// The evaluation of one load band.
#[derive(Clone, Debug, Default)]
pub(crate) struct BandResult {
    /// The draft with the highest estimated throughput, without regard to confidence intervals, and its tokens per second.
    pub best: Option<(Draft, f64)>,
    /// Tokens per second of the draft in force.
    pub in_force_value: Option<f64>,
    /// The draft that should replace the one in force.
    pub better: Option<Draft>,
    /// The estimated lead over the draft in force, as a fraction, and its lower confidence bound.
    pub lead: f64,
    pub min_lead: f64,
    /// The best length by drafter (from 1).
    pub best_lengths: Vec<Option<u8>>,
    /// Whether the evidence about some drafter is insufficient.
    pub uncertain: bool,
    pub why: &'static str,
}

/// The evaluation of one workload; see the module documentation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evaluation {
    pub bands: Vec<BandResult>,
    pub outliers: Vec<Outlier>,
    /// The number of epochs of evidence that are used, by drafter.
    pub stable_epochs: Vec<u32>,
    /// The acceptance rate by drafter and position, without outliers.
    pub acceptance: Vec<Vec<f64>>,
    pub rounds: f64,
    pub reporters: usize,
}

/// Weights under which no reporter has more than its maximum share of the rounds.
fn weights(rounds: &[f64], settings: &Settings) -> Vec<f64> {
    let reporting = rounds.iter().filter(|r| **r > 0.0).count().max(1) as f64;
    let share = settings.share.max(1.5 / reporting).min(1.0);
    let mut cap = rounds.iter().copied().fold(0.0, f64::max);
    for _ in 0..32 {
        cap = cap.min(share * rounds.iter().map(|r| r.min(cap)).sum::<f64>());
    }
    rounds.iter().map(|r| if *r > cap { cap / r } else { 1.0 }).collect()
}

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    let half = of.len() / 2;
    if of.len() % 2 == 1 {
        of[half]
    } else {
        (of[half - 1] + of[half]) / 2.0
    }
}

/// A metric that is checked for changes: the acceptance rate of a position (drafter, position) or the time per round (band, draft).
#[derive(Clone, Copy)]
enum Metric {
    Rate(u8, usize),
    Cost(u8, Draft),
}

/// Count, sum and sum of squares of a metric.
#[derive(Clone, Copy, Default)]
struct Moments {
    n: f64,
    sum: f64,
    squares: f64,
}

impl Moments {
    fn of(tally: &Tally, metric: Metric, settings: &Settings) -> Self {
        match metric {
            Metric::Rate(drafter, at) => {
                let Rate { rounds, hits } = tally.rates(drafter)[at];
                let (n, sum) = (rounds / settings.cluster, hits / settings.cluster);
                Self { n, sum, squares: sum }
            }
            Metric::Cost(band, draft) => {
                let cost = tally.cost(band, draft);
                Self { n: cost.calls, sum: cost.mean() * cost.calls, squares: cost.squares }
            }
        }
    }

    fn minus(self, other: Self) -> Self {
        Self { n: self.n - other.n, sum: self.sum - other.sum, squares: self.squares - other.squares }
    }

    fn mean(&self) -> f64 {
        self.sum / self.n.max(1e-9)
    }

    fn variance(&self) -> f64 {
        (self.squares / self.n.max(1e-9) - self.mean().powi(2)).max(0.0)
    }

    /// The squared difference of the means in standard errors, or `None` if the difference may be chance.
    fn distance(&self, other: &Self, least: f64, alpha: f64) -> Option<f64> {
        if self.n < least || other.n < least {
            return None;
        }
        let error = (self.variance() / self.n + other.variance() / other.n).sqrt();
        let gap = (self.mean() - other.mean()).abs();
        // A difference below 1 % is not a change, however significant.
        let min_gap = 0.01 * self.mean().max(other.mean());
        (gap > min_gap + error * confidence::standard_errors(self.n.min(other.n), alpha))
            .then(|| (gap / error.max(1e-9)).powi(2))
    }
}

/// Whether a row contributes to a metric.
fn contributes(row: &Row, metric: Metric) -> bool {
    match metric {
        Metric::Rate(drafter, at) => row.draft.drafter == drafter && (row.draft.length as usize) > at,
        Metric::Cost(band, draft) => row.band == band && row.draft == draft,
    }
}

fn tally<'a>(rows: impl Iterator<Item = &'a Row>, metric: Metric, weights: &[f64]) -> Tally {
    let mut tally = Tally::default();
    for row in rows.filter(|r| contributes(r, metric)) {
        match metric {
            Metric::Rate(..) => tally.count_rates(row, weights[row.reporter]),
            Metric::Cost(..) => tally.count_cost(row, weights[row.reporter]),
        }
    }
    tally
}

/// The number of latest epochs during which the metrics are stable; the whole window if nothing changed. A change counts only if it
/// is still significant without any single reporter; otherwise one reporter alone could discard the evidence of the others.
fn stable_window(rows: &[Row], metrics: &[Metric], weights: &[f64], alone: bool, settings: &Settings) -> u32 {
    let mut window = settings.window;
    let least = f64::from(settings.least_rounds) / 4.0 / settings.cluster;
    let alpha = settings.alpha / (f64::from(settings.window) * metrics.len().max(1) as f64);
    for _ in 0..MAX_CUTS {
        let mut strongest: Option<(f64, u32, Metric)> = None;
        for metric in metrics {
            let least = if matches!(metric, Metric::Cost(..)) { least / 5.0 } else { least };
            let mut ages = vec![Moments::default(); window as usize];
            let mut by_age: Vec<Vec<&Row>> = vec![Vec::new(); window as usize];
            for row in rows.iter().filter(|r| r.age < window && contributes(r, *metric)) {
                by_age[row.age as usize].push(row);
            }
            for (moments, rows) in ages.iter_mut().zip(&by_age) {
                if !rows.is_empty() {
                    *moments = Moments::of(&tally(rows.iter().copied(), *metric, weights), *metric, settings);
                }
            }
            let sum = |of: &[Moments]| {
                let zero = Moments::default();
                of.iter().fold(zero, |a, b| Moments {
                    n: a.n + b.n,
                    sum: a.sum + b.sum,
                    squares: a.squares + b.squares,
                })
            };
            for split in 1..window {
                let (new, old) = (sum(&ages[..split as usize]), sum(&ages[split as usize..]));
                if let Some(distance) = new.distance(&old, least, alpha) {
                    if strongest.as_ref().is_none_or(|s| distance > s.0) {
                        strongest = Some((distance, split, *metric));
                    }
                }
            }
        }
        let Some((_, split, metric)) = strongest else { break };
        let least = if matches!(metric, Metric::Cost(..)) { least / 5.0 } else { least };
        let half = |new: bool, reporter: Option<usize>| {
            let rows = rows.iter().filter(move |r| r.age < window && (r.age < split) == new);
            let rows = rows.filter(move |r| reporter.is_none_or(|i| r.reporter == i));
            Moments::of(&tally(rows, metric, weights), metric, settings)
        };
        let (new, old) = (half(true, None), half(false, None));
        let without = |i: usize| {
            let (new, old) = (new.minus(half(true, Some(i))), old.minus(half(false, Some(i))));
            new.distance(&old, least / 2.0, alpha.max(0.01)).is_some()
        };
        if !alone && !(0..weights.len()).filter(|i| weights[*i] > 0.0).all(without) {
            break;
        }
        window = split;
    }
    window
}

/// The reporters whose rates or times deviate from the median of all.
fn outliers(tallies: &[Tally], settings: &Settings) -> Vec<Outlier> {
    let mut found: Vec<Outlier> = Vec::new();
    let least = f64::from(settings.least_rounds) / 4.0;
    let mut add = |reporter: usize, why: String| {
        if !found.iter().any(|o| o.reporter == reporter) {
            found.push(Outlier { reporter, why });
        }
    };
    for drafter in 1..=settings.drafters {
        for at in 0..settings.longest as usize {
            let of = |t: &Tally| t.rates(drafter)[at];
            let known: Vec<usize> = (0..tallies.len()).filter(|i| of(&tallies[*i]).rounds >= least).collect();
            if known.len() < MIN_REPORTERS {
                continue;
            }
            let center = median(known.iter().map(|i| of(&tallies[*i]).rate()).collect());
            for i in known {
                let Rate { rounds, hits } = of(&tallies[i]);
                let n = rounds / settings.cluster;
                let (low, high) = confidence::rate_interval(hits / settings.cluster, n, settings.alpha);
                if low > center + settings.tolerance || high < center - settings.tolerance {
                    let (at, rate) = (at + 1, hits / rounds);
                    add(i, format!("drafter {drafter}, position {at}: accepted {rate:.2}, the members' median is {center:.2}"));
                }
            }
        }
    }
    for band in 0..LOAD_BANDS {
        let lengths = (0..=settings.drafters).flat_map(|d| (0..=settings.longest).map(move |l| (d, l)));
        for (drafter, length) in lengths.filter(|(d, l)| (*d == 0) == (*l == 0)) {
            let draft = Draft { drafter, length };
            let known = |i: &usize| tallies[*i].cost(band, draft).calls >= least / 5.0;
            let known: Vec<usize> = (0..tallies.len()).filter(known).collect();
            if known.len() < MIN_REPORTERS {
                continue;
            }
            let center = median(known.iter().map(|i| tallies[*i].cost(band, draft).mean()).collect());
            for i in known {
                let mean = tallies[i].cost(band, draft).mean();
                if mean > center * (1.0 + settings.cost_tolerance)
                    || mean < center / (1.0 + settings.cost_tolerance)
                {
                    add(i, format!("draft {draft}, band {band}: {mean:.0} us a round, the members' median is {center:.0} us"));
                }
            }
        }
    }
    found
}

/// The time per round as a linear function of the draft length, fitted by least squares.
#[derive(Clone, Copy, Debug)]
struct CostModel {
    /// Microseconds per round without drafting.
    base: f64,
    /// Microseconds per drafted token.
    slope: f64,
    /// The variance of the time per round.
    variance: f64,
    /// The number of calls.
    calls: f64,
    /// The mean draft length of the calls.
    center: f64,
    /// The sum over calls of the squared deviation from `center`.
    spread: f64,
    /// The shortest and the longest length with enough calls.
    shortest: u8,
    longest: u8,
}

impl CostModel {
    /// Fits the model. `None` without enough calls at two different lengths.
    fn of(tally: &Tally, band: u8, drafter: u8, least: f64) -> Option<Self> {
        let drafts = (0..=MAX_DRAFT_TOKENS)
            .map(|length| Draft { drafter: if length == 0 { 0 } else { drafter }, length });
        let known: Vec<_> =
            drafts.map(|d| (d.length, *tally.cost(band, d))).filter(|(_, c)| c.calls >= least).collect();
        let (shortest, longest) = (known.first()?.0, known.last()?.0);
        if shortest == longest {
            return None;
        }
        let calls: f64 = known.iter().map(|(_, c)| c.calls).sum();
        let mean = |of: &dyn Fn(f64, f64) -> f64| {
            known.iter().map(|(l, c)| c.calls * of(f64::from(*l), c.mean())).sum::<f64>() / calls
        };
        let (center, time) = (mean(&|l, _| l), mean(&|_, t| t));
        let spread = mean(&|l, _| (l - center).powi(2)) * calls;
        let slope = mean(&|l, t| (l - center) * (t - time)) * calls / spread.max(1e-9);
        let variance = known.iter().map(|(_, c)| c.calls * c.variance()).sum::<f64>() / calls;
        Some(Self { base: time - slope * center, slope, variance, calls, center, spread, shortest, longest })
    }

    fn at(&self, length: u8) -> f64 {
        (self.base + self.slope * f64::from(length)).max(1.0)
    }

    fn error(&self, length: u8, alpha: f64) -> f64 {
        let off = f64::from(length) - self.center;
        (self.variance * (1.0 / self.calls + off * off / self.spread.max(1e-9))).sqrt()
            * confidence::standard_errors(self.calls, alpha)
    }
}

/// Compares the drafts of one load band by one tally.
struct ThroughputModel<'a> {
    tally: &'a Tally,
    costs: Vec<Option<CostModel>>,
    least: f64,
    settings: &'a Settings,
}

impl<'a> ThroughputModel<'a> {
    fn new(tally: &'a Tally, band: u8, least: f64, settings: &'a Settings) -> Self {
        let costs = (1..=settings.drafters).map(|d| CostModel::of(tally, band, d, least / 20.0)).collect();
        Self { tally, costs, least, settings }
    }

    fn cost_model(&self, draft: Draft, other: Draft) -> Option<&CostModel> {
        let drafter = if draft.drafter > 0 { draft.drafter } else { other.drafter };
        match drafter {
            // Without drafting, the cost model of any drafter gives the base time.
            0 => self.costs.iter().flatten().next(),
            d => self.costs[(d - 1) as usize].as_ref(),
        }
    }

    /// Whether the evidence about a draft is sufficient and its length is within the range of tried lengths or one below it.
    fn covers(&self, draft: Draft, other: Draft) -> bool {
        let known = |cost: &CostModel| draft.length + 1 >= cost.shortest && draft.length <= cost.longest;
        let rates = &self.tally.rates(draft.drafter)[..draft.length as usize];
        self.cost_model(draft, other).is_some_and(known) && rates.iter().all(|r| r.rounds >= self.least)
    }

    /// The accepted tokens per round at the positions after `from` and up to `to`, and the half width of the confidence interval.
    fn tokens(&self, drafter: u8, from: u8, to: u8) -> (f64, f64) {
        let rates = &self.tally.rates(drafter)[from as usize..to as usize];
        let Some(last) = rates.last() else { return (0.0, 0.0) };
        let mean: f64 = rates.iter().map(Rate::rate).sum();
        // Tokens are accepted in sequence: position k is accepted only after all positions before it, so that the second moment is
        // the sum of (2k + 1) times the rate of position k, counted from 0.
        let second: f64 = rates.iter().enumerate().map(|(k, r)| (2 * k + 1) as f64 * r.rate()).sum();
        let n = (last.rounds / self.settings.cluster).max(1.0);
        let variance = (second - mean * mean).max(0.0) + 1.0 / n;
        (mean, (variance / n).sqrt() * confidence::standard_errors(n, self.settings.alpha))
    }

    /// Useful tokens per second.
    fn value(&self, draft: Draft, other: Draft) -> f64 {
        let tokens = 1.0 + self.tokens(draft.drafter, 0, draft.length).0;
        self.cost_model(draft, other).map_or(0.0, |cost| 1e6 * tokens / cost.at(draft.length))
    }

    /// The lead of `to` over `from` as a fraction, and its lower confidence bound.
    fn lead(&self, from: Draft, to: Draft) -> (f64, f64) {
        let (Some(a), Some(b)) = (self.cost_model(from, to), self.cost_model(to, from)) else {
            return (0.0, -1.0);
        };
        let alpha = self.settings.alpha;
        let low = if from.drafter == to.drafter || from.length == 0 || to.length == 0 {
            // The positions that both drafts have in common contribute to both throughputs, so that only the difference is
            // uncertain.
            let drafter = from.drafter.max(to.drafter);
            let (short, long) = (from.length.min(to.length), from.length.max(to.length));
            let ((common, c), (more, m)) =
                (self.tokens(drafter, 0, short), self.tokens(drafter, short, long));
            if to.length > from.length {
                1.0 + (more - m) / (1.0 + common + c)
            } else {
                let common = 1.0 + (common - c).max(0.0);
                common / (common + more + m)
            }
        } else {
            let ((was, w), (will, v)) =
                (self.tokens(from.drafter, 0, from.length), self.tokens(to.drafter, 0, to.length));
            (1.0 + will - v) / (1.0 + was + w)
        };
        let cost_low = (a.at(from.length) - a.error(from.length, alpha)).max(0.0);
        let cost_high = b.at(to.length) + b.error(to.length, alpha);
        (self.value(to, from) / self.value(from, to).max(1e-9) - 1.0, low * cost_low / cost_high - 1.0)
    }
}

/// All drafts that the settings allow.
pub(crate) fn all_drafts(settings: &Settings) -> impl Iterator<Item = Draft> + use<> {
    let (drafters, longest) = (settings.drafters, settings.longest);
    let drafted =
        (1..=drafters).flat_map(move |drafter| (1..=longest).map(move |length| Draft { drafter, length }));
    std::iter::once(Draft::OFF).chain(drafted)
}

/// Evaluates one load band.
fn evaluate_band(
    at: u8,
    in_force: Draft,
    all: &Tally,
    parts: &[Tally],
    alone: bool,
    settings: &Settings,
) -> BandResult {
    let least = f64::from(settings.least_rounds);
    let model = ThroughputModel::new(all, at, least, settings);
    let mut result = BandResult { why: "too little is known", uncertain: true, ..BandResult::default() };
    let candidates: Vec<Draft> = all_drafts(settings).filter(|d| model.covers(*d, *d)).collect();
    let best_of = |drafts: &mut dyn Iterator<Item = Draft>| {
        drafts.map(|d| (d, model.value(d, d))).max_by(|a, b| a.1.total_cmp(&b.1).then(b.0.cmp(&a.0)))
    };
    result.best = best_of(&mut candidates.iter().copied());
    let best_lengths = (1..=settings.drafters).map(|drafter| {
        best_of(&mut candidates.iter().copied().filter(|d| d.drafter == drafter)).map(|(d, _)| d.length)
    });
    result.best_lengths = best_lengths.collect();
    let fully_tried = |drafter: u8| {
        let longest_tried = model.covers(Draft { drafter, length: settings.longest }, Draft::OFF);
        longest_tried && model.costs[(drafter - 1) as usize].is_some_and(|c| c.shortest == 0)
    };
    result.uncertain = !(1..=settings.drafters).all(fully_tried);
    if !model.covers(in_force, in_force) {
        return result;
    }
    result.in_force_value = Some(model.value(in_force, in_force));
    let mut leads: Vec<_> =
        candidates.iter().filter(|d| **d != in_force).map(|d| (*d, model.lead(in_force, *d))).collect();
    leads.sort_by(|a, b| b.1 .0.total_cmp(&a.1 .0).then(a.0.cmp(&b.0)));
    if let Some((_, (lead, low))) = leads.first() {
        (result.lead, result.min_lead) = (*lead, *low);
    }
    result.why = "nothing is better by the hysteresis";
    for (draft, (lead, low)) in leads {
        if lead < settings.hysteresis {
            break;
        }
        if low <= 0.0 {
            result.why = "what looks better may be chance";
            continue;
        }
        let without = |part: &Tally| {
            let mut rest = all.clone();
            rest.add(part, -1.0);
            let model = ThroughputModel::new(&rest, at, least / 2.0, settings);
            model.covers(in_force, draft)
                && model.covers(draft, in_force)
                && model.lead(in_force, draft).0 >= settings.hysteresis / 2.0
        };
        if alone || parts.iter().filter(|p| p.rounds > 0.0).all(without) {
            (result.better, result.lead, result.min_lead) = (Some(draft), lead, low);
            result.why = "a better draft is known";
            break;
        }
        result.why = "it rests on the counts of one member";
    }
    result
}

/// Evaluates the rows of one workload. `alone`: the fleet has no other member, so that the counts of one reporter suffice.
pub(crate) fn evaluate(
    rows: &[Row],
    reporters: usize,
    alone: bool,
    in_force: impl Fn(u8) -> Draft,
    settings: &Settings,
) -> Evaluation {
    let mut rounds = vec![0.0; reporters];
    rows.iter().for_each(|r| rounds[r.reporter] += r.rounds);
    let first = weights(&rounds, settings);
    let rate_epochs: Vec<u32> = (1..=settings.drafters)
        .map(|drafter| {
            let metrics: Vec<Metric> =
                (0..settings.longest as usize).map(|at| Metric::Rate(drafter, at)).collect();
            stable_window(rows, &metrics, &first, alone, settings)
        })
        .collect();
    let cost_epochs: Vec<u32> = (0..LOAD_BANDS)
        .map(|band| {
            let metrics: Vec<Metric> = all_drafts(settings).map(|draft| Metric::Cost(band, draft)).collect();
            stable_window(rows, &metrics, &first, alone, settings)
        })
        .collect();
    let mut tallies = vec![Tally::default(); reporters];
    for row in rows {
        let tally = &mut tallies[row.reporter];
        if row.draft.length > 0 && row.age < rate_epochs[(row.draft.drafter - 1) as usize] {
            tally.count_rates(row, 1.0);
        }
        if row.age < cost_epochs[row.band as usize] {
            tally.count_cost(row, 1.0);
            tally.rounds += row.rounds;
        }
    }
    let outliers = outliers(&tallies, settings);
    let mut rounds: Vec<f64> = tallies.iter().map(|t| t.rounds).collect();
    outliers.iter().for_each(|o| rounds[o.reporter] = 0.0);
    let mut all = Tally::default();
    let parts: Vec<Tally> = tallies
        .iter()
        .zip(weights(&rounds, settings).iter().zip(&rounds))
        .map(|(tally, (weight, rounds))| {
            let mut part = Tally::default();
            part.add(tally, if *rounds > 0.0 { *weight } else { 0.0 });
            all.add(&part, 1.0);
            part
        })
        .collect();
    let bands =
        (0..LOAD_BANDS).map(|at| evaluate_band(at, in_force(at), &all, &parts, alone, settings)).collect();
    let rates = |d: u8| all.rates(d)[..settings.longest as usize].iter().map(Rate::rate).collect();
    Evaluation {
        bands,
        outliers,
        stable_epochs: rate_epochs,
        acceptance: (1..=settings.drafters).map(rates).collect(),
        rounds: all.rounds,
        reporters: rounds.iter().filter(|r| **r > 0.0).count(),
    }
}

#[cfg(test)]
mod tests;
