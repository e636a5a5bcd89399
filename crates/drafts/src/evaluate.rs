//! What the evidence of one workload says: whose counts are believed, since when the rates are the same, and which draft gives the
//! most useful tokens a second in each band.
//!
//! A function of its rows alone: the same evidence gives the same verdict at any member.

use crate::confidence;
use crate::settings::Settings;
use crate::tally::{Rate, Row, Tally};
use crate::types::{Draft, LOAD_BANDS, MAX_DRAFT_TOKENS};

/// How often older evidence is cut off in one look: two changes within a window, and one more.
const CUTS: usize = 3;
/// Members of whom there must be so many before one of them can be said to disagree.
const QUORUM: usize = 3;

/// Why a teller's counts do not weigh.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Outlier {
    pub teller: usize,
    pub why: String,
}

/// What is said of one band.
#[derive(Clone, Debug, Default)]
pub(crate) struct Band {
    /// The best by what is known, bounds aside, and its tokens a second.
    pub best: Option<(Draft, f64)>,
    /// Of the draft in force.
    pub now: Option<f64>,
    /// What should take its place.
    pub better: Option<Draft>,
    /// How much better the best is than what is in force, and at least.
    pub lead: f64,
    pub lead_low: f64,
    /// By drafter, from 1: the best length.
    pub lengths: Vec<Option<u8>>,
    /// Too little is known of some drafter.
    pub insufficient: bool,
    pub why: &'static str,
}

/// See the module's page.
#[derive(Clone, Debug, Default)]
pub(crate) struct Verdict {
    pub bands: Vec<Band>,
    pub outliers: Vec<Outlier>,
    /// Epochs of evidence that count, by drafter.
    pub since: Vec<u32>,
    /// Acceptance by drafter and position, of those believed.
    pub rates: Vec<Vec<f64>>,
    pub rounds: f64,
    pub tellers: usize,
}

/// Factors by which no teller has more than its share of the rounds.
fn weights(rounds: &[f64], settings: &Settings) -> Vec<f64> {
    let told = rounds.iter().filter(|r| **r > 0.0).count().max(1) as f64;
    let share = settings.share.max(1.5 / told).min(1.0);
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

/// A figure whose change is looked for: a position's rate, or the time of a round.
#[derive(Clone, Copy)]
enum Figure {
    Rate(u8, usize),
    Cost(u8, Draft),
}

/// Count, sum and sum of squares of a figure.
#[derive(Clone, Copy, Default)]
struct Moments {
    n: f64,
    sum: f64,
    squares: f64,
}

impl Moments {
    fn of(tally: &Tally, figure: Figure, settings: &Settings) -> Self {
        match figure {
            Figure::Rate(drafter, at) => {
                let Rate { rounds, hits } = tally.rates(drafter)[at];
                let (n, sum) = (rounds / settings.cluster, hits / settings.cluster);
                Self { n, sum, squares: sum }
            }
            Figure::Cost(band, draft) => {
                let cost = tally.cost(band, draft);
                Self { n: cost.calls, sum: cost.mean() * cost.calls, squares: cost.squares }
            }
        }
    }

    fn less(self, other: Self) -> Self {
        Self { n: self.n - other.n, sum: self.sum - other.sum, squares: self.squares - other.squares }
    }

    fn mean(&self) -> f64 {
        self.sum / self.n.max(1e-9)
    }

    fn variance(&self) -> f64 {
        (self.squares / self.n.max(1e-9) - self.mean().powi(2)).max(0.0)
    }

    /// How surely two differ, in squared errors; `None` where they may be the same.
    fn apart(&self, other: &Self, least: f64, alpha: f64) -> Option<f64> {
        if self.n < least || other.n < least {
            return None;
        }
        let error = (self.variance() / self.n + other.variance() / other.n).sqrt();
        let gap = (self.mean() - other.mean()).abs();
        // Below a hundredth nothing is a change, however sure.
        let small = 0.01 * self.mean().max(other.mean());
        (gap > small + error * confidence::standard_errors(self.n.min(other.n), alpha))
            .then(|| (gap / error.max(1e-9)).powi(2))
    }
}

/// Which rows speak of a figure.
fn counts(row: &Row, figure: Figure) -> bool {
    match figure {
        Figure::Rate(drafter, at) => row.draft.drafter == drafter && (row.draft.length as usize) > at,
        Figure::Cost(band, draft) => row.band == band && row.draft == draft,
    }
}

fn tally<'a>(rows: impl Iterator<Item = &'a Row>, figure: Figure, weights: &[f64]) -> Tally {
    let mut tally = Tally::default();
    for row in rows.filter(|r| counts(r, figure)) {
        match figure {
            Figure::Rate(..) => tally.count_rates(row, weights[row.teller]),
            Figure::Cost(..) => tally.count_cost(row, weights[row.teller]),
        }
    }
    tally
}

/// Epochs since which these figures are the same: 'a window' where nothing changed. A change counts only where it is seen without
/// any one of the tellers as well, or nobody could be trusted to keep the evidence of the others.
fn since(rows: &[Row], figures: &[Figure], weights: &[f64], alone: bool, settings: &Settings) -> u32 {
    let mut window = settings.window;
    let least = f64::from(settings.least_rounds) / 4.0 / settings.cluster;
    let alpha = settings.alpha / (f64::from(settings.window) * figures.len().max(1) as f64);
    for _ in 0..CUTS {
        let mut strongest: Option<(f64, u32, Figure)> = None;
        for figure in figures {
            let least = if matches!(figure, Figure::Cost(..)) { least / 5.0 } else { least };
            let mut ages = vec![Moments::default(); window as usize];
            let mut by_age: Vec<Vec<&Row>> = vec![Vec::new(); window as usize];
            for row in rows.iter().filter(|r| r.age < window && counts(r, *figure)) {
                by_age[row.age as usize].push(row);
            }
            for (moments, rows) in ages.iter_mut().zip(&by_age) {
                if !rows.is_empty() {
                    *moments = Moments::of(&tally(rows.iter().copied(), *figure, weights), *figure, settings);
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
                let (young, old) = (sum(&ages[..split as usize]), sum(&ages[split as usize..]));
                if let Some(apart) = young.apart(&old, least, alpha) {
                    if strongest.as_ref().is_none_or(|s| apart > s.0) {
                        strongest = Some((apart, split, *figure));
                    }
                }
            }
        }
        let Some((_, split, figure)) = strongest else { break };
        let least = if matches!(figure, Figure::Cost(..)) { least / 5.0 } else { least };
        let side = |young: bool, teller: Option<usize>| {
            let rows = rows.iter().filter(move |r| r.age < window && (r.age < split) == young);
            let rows = rows.filter(move |r| teller.is_none_or(|t| r.teller == t));
            Moments::of(&tally(rows, figure, weights), figure, settings)
        };
        let (young, old) = (side(true, None), side(false, None));
        let without = |t: usize| {
            let (young, old) = (young.less(side(true, Some(t))), old.less(side(false, Some(t))));
            young.apart(&old, least / 2.0, alpha.max(0.01)).is_some()
        };
        if !alone && !(0..weights.len()).filter(|t| weights[*t] > 0.0).all(without) {
            break;
        }
        window = split;
    }
    window
}

/// Who says what the others do not.
fn outliers(tallies: &[Tally], settings: &Settings) -> Vec<Outlier> {
    let mut found: Vec<Outlier> = Vec::new();
    let least = f64::from(settings.least_rounds) / 4.0;
    let mut add = |teller: usize, why: String| {
        if !found.iter().any(|o| o.teller == teller) {
            found.push(Outlier { teller, why });
        }
    };
    for drafter in 1..=settings.drafters {
        for at in 0..settings.longest as usize {
            let of = |t: &Tally| t.rates(drafter)[at];
            let known: Vec<usize> = (0..tallies.len()).filter(|t| of(&tallies[*t]).rounds >= least).collect();
            if known.len() < QUORUM {
                continue;
            }
            let middle = median(known.iter().map(|t| of(&tallies[*t]).rate()).collect());
            for t in known {
                let Rate { rounds, hits } = of(&tallies[t]);
                let n = rounds / settings.cluster;
                let (low, high) = confidence::rate_interval(hits / settings.cluster, n, settings.alpha);
                if low > middle + settings.tolerance || high < middle - settings.tolerance {
                    let (at, rate) = (at + 1, hits / rounds);
                    add(t, format!("drafter {drafter}, position {at}: accepted {rate:.2}, the members' median is {middle:.2}"));
                }
            }
        }
    }
    for band in 0..LOAD_BANDS {
        let lengths = (0..=settings.drafters).flat_map(|d| (0..=settings.longest).map(move |l| (d, l)));
        for (drafter, length) in lengths.filter(|(d, l)| (*d == 0) == (*l == 0)) {
            let draft = Draft { drafter, length };
            let known = |t: &usize| tallies[*t].cost(band, draft).calls >= least / 5.0;
            let known: Vec<usize> = (0..tallies.len()).filter(known).collect();
            if known.len() < QUORUM {
                continue;
            }
            let middle = median(known.iter().map(|t| tallies[*t].cost(band, draft).mean()).collect());
            for t in known {
                let mean = tallies[t].cost(band, draft).mean();
                if mean > middle * (1.0 + settings.cost_tolerance)
                    || mean < middle / (1.0 + settings.cost_tolerance)
                {
                    add(t, format!("draft {draft}, band {band}: {mean:.0} us a round, the members' median is {middle:.0} us"));
                }
            }
        }
    }
    found
}

/// Time of a round by length, as a line: a base, and each drafted token.
#[derive(Clone, Copy, Debug)]
struct Line {
    base: f64,
    each: f64,
    variance: f64,
    n: f64,
    middle: f64,
    spread: f64,
    shortest: u8,
    longest: u8,
}

impl Line {
    /// `None` without two lengths of which enough is known.
    fn of(tally: &Tally, band: u8, drafter: u8, least: f64) -> Option<Self> {
        let drafts = (0..=MAX_DRAFT_TOKENS)
            .map(|length| Draft { drafter: if length == 0 { 0 } else { drafter }, length });
        let known: Vec<_> =
            drafts.map(|d| (d.length, *tally.cost(band, d))).filter(|(_, c)| c.calls >= least).collect();
        let (shortest, longest) = (known.first()?.0, known.last()?.0);
        if shortest == longest {
            return None;
        }
        let n: f64 = known.iter().map(|(_, c)| c.calls).sum();
        let mean = |of: &dyn Fn(f64, f64) -> f64| {
            known.iter().map(|(l, c)| c.calls * of(f64::from(*l), c.mean())).sum::<f64>() / n
        };
        let (middle, time) = (mean(&|l, _| l), mean(&|_, t| t));
        let spread = mean(&|l, _| (l - middle).powi(2)) * n;
        let each = mean(&|l, t| (l - middle) * (t - time)) * n / spread.max(1e-9);
        let variance = known.iter().map(|(_, c)| c.calls * c.variance()).sum::<f64>() / n;
        Some(Self { base: time - each * middle, each, variance, n, middle, spread, shortest, longest })
    }

    fn at(&self, length: u8) -> f64 {
        (self.base + self.each * f64::from(length)).max(1.0)
    }

    fn error(&self, length: u8, alpha: f64) -> f64 {
        let off = f64::from(length) - self.middle;
        (self.variance * (1.0 / self.n + off * off / self.spread.max(1e-9))).sqrt()
            * confidence::standard_errors(self.n, alpha)
    }
}

/// Drafts of one band, weighed by one tally.
struct Scale<'a> {
    tally: &'a Tally,
    lines: Vec<Option<Line>>,
    least: f64,
    settings: &'a Settings,
}

impl<'a> Scale<'a> {
    fn new(tally: &'a Tally, band: u8, least: f64, settings: &'a Settings) -> Self {
        let lines = (1..=settings.drafters).map(|d| Line::of(tally, band, d, least / 20.0)).collect();
        Self { tally, lines, least, settings }
    }

    fn line(&self, draft: Draft, beside: Draft) -> Option<&Line> {
        let drafter = if draft.drafter > 0 { draft.drafter } else { beside.drafter };
        match drafter {
            // Nothing drafted: any line that is known says what that costs.
            0 => self.lines.iter().flatten().next(),
            d => self.lines[(d - 1) as usize].as_ref(),
        }
    }

    /// Whether enough is known of it, in lengths that were tried.
    fn ready(&self, draft: Draft, beside: Draft) -> bool {
        let known = |line: &Line| draft.length + 1 >= line.shortest && draft.length <= line.longest;
        let rates = &self.tally.rates(draft.drafter)[..draft.length as usize];
        self.line(draft, beside).is_some_and(known) && rates.iter().all(|r| r.rounds >= self.least)
    }

    /// Tokens of the positions after `from` and up to `to`, a round, and their bound's half width.
    fn tokens(&self, drafter: u8, from: u8, to: u8) -> (f64, f64) {
        let rates = &self.tally.rates(drafter)[from as usize..to as usize];
        let Some(last) = rates.last() else { return (0.0, 0.0) };
        let mean: f64 = rates.iter().map(Rate::rate).sum();
        // Accepted tokens are a chain: as many as this with the rate of its position.
        let second: f64 = rates.iter().enumerate().map(|(k, r)| (2 * k + 1) as f64 * r.rate()).sum();
        let n = (last.rounds / self.settings.cluster).max(1.0);
        let variance = (second - mean * mean).max(0.0) + 1.0 / n;
        (mean, (variance / n).sqrt() * confidence::standard_errors(n, self.settings.alpha))
    }

    /// Useful tokens a second.
    fn value(&self, draft: Draft, beside: Draft) -> f64 {
        let tokens = 1.0 + self.tokens(draft.drafter, 0, draft.length).0;
        self.line(draft, beside).map_or(0.0, |line| 1e6 * tokens / line.at(draft.length))
    }

    /// By how much one is better than another, and at least, as a share.
    fn lead(&self, from: Draft, to: Draft) -> (f64, f64) {
        let (Some(a), Some(b)) = (self.line(from, to), self.line(to, from)) else { return (0.0, -1.0) };
        let alpha = self.settings.alpha;
        let low = if from.drafter == to.drafter || from.length == 0 || to.length == 0 {
            // What both have in common does not speak for either.
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

/// Everything on the menu.
pub(crate) fn menu(settings: &Settings) -> impl Iterator<Item = Draft> + use<> {
    let (drafters, longest) = (settings.drafters, settings.longest);
    let drafted =
        (1..=drafters).flat_map(move |drafter| (1..=longest).map(move |length| Draft { drafter, length }));
    std::iter::once(Draft::OFF).chain(drafted)
}

/// Looks at one band.
fn band(at: u8, in_force: Draft, all: &Tally, parts: &[Tally], alone: bool, settings: &Settings) -> Band {
    let least = f64::from(settings.least_rounds);
    let scale = Scale::new(all, at, least, settings);
    let mut verdict = Band { why: "too little is known", insufficient: true, ..Band::default() };
    let ready: Vec<Draft> = menu(settings).filter(|d| scale.ready(*d, *d)).collect();
    let best_of = |drafts: &mut dyn Iterator<Item = Draft>| {
        drafts.map(|d| (d, scale.value(d, d))).max_by(|a, b| a.1.total_cmp(&b.1).then(b.0.cmp(&a.0)))
    };
    verdict.best = best_of(&mut ready.iter().copied());
    let lengths = (1..=settings.drafters).map(|drafter| {
        best_of(&mut ready.iter().copied().filter(|d| d.drafter == drafter)).map(|(d, _)| d.length)
    });
    verdict.lengths = lengths.collect();
    let full = |drafter: u8| {
        let whole = scale.ready(Draft { drafter, length: settings.longest }, Draft::OFF);
        whole && scale.lines[(drafter - 1) as usize].is_some_and(|l| l.shortest == 0)
    };
    verdict.insufficient = !(1..=settings.drafters).all(full);
    if !scale.ready(in_force, in_force) {
        return verdict;
    }
    verdict.now = Some(scale.value(in_force, in_force));
    let mut leads: Vec<_> =
        ready.iter().filter(|d| **d != in_force).map(|d| (*d, scale.lead(in_force, *d))).collect();
    leads.sort_by(|a, b| b.1 .0.total_cmp(&a.1 .0).then(a.0.cmp(&b.0)));
    if let Some((_, (lead, low))) = leads.first() {
        (verdict.lead, verdict.lead_low) = (*lead, *low);
    }
    verdict.why = "nothing is better by the hysteresis";
    for (draft, (lead, low)) in leads {
        if lead < settings.hysteresis {
            break;
        }
        if low <= 0.0 {
            verdict.why = "what looks better may be chance";
            continue;
        }
        let without = |part: &Tally| {
            let mut rest = all.clone();
            rest.add(part, -1.0);
            let scale = Scale::new(&rest, at, least / 2.0, settings);
            scale.ready(in_force, draft)
                && scale.ready(draft, in_force)
                && scale.lead(in_force, draft).0 >= settings.hysteresis / 2.0
        };
        if alone || parts.iter().filter(|p| p.rounds > 0.0).all(without) {
            (verdict.better, verdict.lead, verdict.lead_low) = (Some(draft), lead, low);
            verdict.why = "a better draft is known";
            break;
        }
        verdict.why = "it rests on the counts of one member";
    }
    verdict
}

/// Looks at the rows of one workload. `alone`: no other member is heard, so that this one's counts have to do.
pub(crate) fn evaluate(
    rows: &[Row],
    tellers: usize,
    alone: bool,
    in_force: impl Fn(u8) -> Draft,
    settings: &Settings,
) -> Verdict {
    let mut rounds = vec![0.0; tellers];
    rows.iter().for_each(|r| rounds[r.teller] += r.rounds);
    let first = weights(&rounds, settings);
    let since_rate: Vec<u32> = (1..=settings.drafters)
        .map(|drafter| {
            let figures: Vec<Figure> =
                (0..settings.longest as usize).map(|at| Figure::Rate(drafter, at)).collect();
            since(rows, &figures, &first, alone, settings)
        })
        .collect();
    let since_cost: Vec<u32> = (0..LOAD_BANDS)
        .map(|band| {
            let figures: Vec<Figure> = menu(settings).map(|draft| Figure::Cost(band, draft)).collect();
            since(rows, &figures, &first, alone, settings)
        })
        .collect();
    let mut tallies = vec![Tally::default(); tellers];
    for row in rows {
        let tally = &mut tallies[row.teller];
        if row.draft.length > 0 && row.age < since_rate[(row.draft.drafter - 1) as usize] {
            tally.count_rates(row, 1.0);
        }
        if row.age < since_cost[row.band as usize] {
            tally.count_cost(row, 1.0);
            tally.rounds += row.rounds;
        }
    }
    let outliers = outliers(&tallies, settings);
    let mut rounds: Vec<f64> = tallies.iter().map(|t| t.rounds).collect();
    outliers.iter().for_each(|o| rounds[o.teller] = 0.0);
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
    let bands = (0..LOAD_BANDS).map(|at| band(at, in_force(at), &all, &parts, alone, settings)).collect();
    let rates = |d: u8| all.rates(d)[..settings.longest as usize].iter().map(Rate::rate).collect();
    Verdict {
        bands,
        outliers,
        since: since_rate,
        rates: (1..=settings.drafters).map(rates).collect(),
        rounds: all.rounds,
        tellers: rounds.iter().filter(|r| **r > 0.0).count(),
    }
}

#[cfg(test)]
mod tests;
