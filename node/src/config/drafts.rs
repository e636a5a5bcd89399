//! `[drafts]` of an operator's file: how far to draft is learnt. Where it does not stand, it is off.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use wheellink_drafts::{Draft, DraftTable, Settings, Workload, LOAD_BANDS};

/// See the module's page. What is not set is as in [`Settings::default`].
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// Drafters beside off, 1 to 4.
    drafters: Option<u8>,
    /// Tokens of the longest draft.
    longest: Option<u8>,
    /// Whether each tenant of a class is a workload of its own.
    #[serde(default)]
    pub by_tenant: bool,
    /// What runs where no table says anything, as `"DRAFTER:LENGTH"`.
    start: Option<String>,
    /// What runs by `"WORKLOAD/BAND"`, until a version says otherwise and whenever none may be acted on.
    #[serde(default)]
    table: BTreeMap<String, String>,
    /// Calls at a host from which on it is in band 1, 2 and 3.
    bands: Option<[f64; 3]>,
    period_ms: Option<u64>,
    fanout: Option<usize>,
    epoch_ms: Option<u64>,
    /// Epochs.
    window: Option<u32>,
    review_ms: Option<u64>,
    least_rounds: Option<u32>,
    hysteresis: Option<f64>,
    explore: Option<f64>,
    explore_per_s: Option<f64>,
    share: Option<f64>,
    tolerance: Option<f64>,
    cost_tolerance: Option<f64>,
    versions_per_hour: Option<u32>,
    longest_round_ms: Option<u64>,
    workloads: Option<usize>,
    rows: Option<usize>,
}

/// Few, some, many calls at a host: what a machine of four cores holds.
const CALLS: [f64; 3] = [2.0, 4.0, 8.0];

fn draft(key: &str, text: &str) -> Result<Draft, String> {
    text.parse().map_err(|_| format!("drafts.{key}: {text:?} is no draft, as \"1:4\", or \"0:0\" for off"))
}

impl Setup {
    /// What the learner goes by.
    pub fn settings(&self) -> Result<Settings, String> {
        let usual = Settings::default();
        let ms = |given: Option<u64>, usual| given.map_or(usual, Duration::from_millis);
        let settings = Settings {
            drafters: self.drafters.unwrap_or(usual.drafters),
            longest: self.longest.unwrap_or(usual.longest),
            start: self.start.as_deref().map_or(Ok(usual.start), |text| draft("start", text))?,
            period: ms(self.period_ms, usual.period),
            fanout: self.fanout.unwrap_or(usual.fanout),
            epoch: ms(self.epoch_ms, usual.epoch),
            window: self.window.unwrap_or(usual.window),
            review: ms(self.review_ms, usual.review),
            least_rounds: self.least_rounds.unwrap_or(usual.least_rounds),
            hysteresis: self.hysteresis.unwrap_or(usual.hysteresis),
            explore: self.explore.unwrap_or(usual.explore),
            explore_rate: self.explore_per_s.unwrap_or(usual.explore_rate),
            share: self.share.unwrap_or(usual.share),
            tolerance: self.tolerance.unwrap_or(usual.tolerance),
            cost_tolerance: self.cost_tolerance.unwrap_or(usual.cost_tolerance),
            versions_hour: self.versions_per_hour.unwrap_or(usual.versions_hour),
            longest_round: ms(self.longest_round_ms, usual.longest_round),
            workloads: self.workloads.unwrap_or(usual.workloads),
            rows: self.rows.unwrap_or(usual.rows),
            ..usual
        };
        settings.check().map_err(|e| format!("drafts.{}: {}", key(e.key), e.wanted))?;
        Ok(settings)
    }

    /// What runs until a version says otherwise.
    pub fn floor(&self) -> Result<DraftTable, String> {
        let settings = self.settings()?;
        let entry = |(place, text): (&String, &String)| {
            let key = format!("table.{place}");
            let wrong = || format!("drafts.{key}: a place is \"WORKLOAD/BAND\" with a band of 0 to 3");
            let (word, band) = place.rsplit_once('/').ok_or_else(wrong)?;
            let band = band.parse().ok().filter(|b| *b < LOAD_BANDS).ok_or_else(wrong)?;
            let draft = draft(&key, text)?;
            if !settings.allows(draft) {
                return Err(format!("drafts.{key}: {text} is not of the drafters and lengths that are set"));
            }
            Ok(((Workload::new(word).map_err(|_| wrong())?, band), draft))
        };
        self.table.iter().map(entry).collect()
    }

    /// Calls at a host from which on it is in the next band.
    pub fn bands(&self) -> [f64; 3] {
        self.bands.unwrap_or(CALLS)
    }

    /// Checks it as a whole, with the names that make workloads.
    pub fn check(&self, classes: &[&str], tenants: &[&str]) -> Result<(), String> {
        self.floor()?;
        let bands = self.bands();
        if !bands.windows(2).all(|w| w[0] < w[1]) || bands[0].is_nan() || bands[0] <= 0.0 || bands[2] > 1e6 {
            return Err("drafts.bands: three numbers of calls that grow, above 0".into());
        }
        for class in classes {
            let alone = [""].as_slice();
            for tenant in if self.by_tenant && !tenants.is_empty() { tenants } else { alone } {
                let word = workload(class, Some(tenant).filter(|t| !t.is_empty()).copied());
                Workload::new(&word).map_err(|e| format!("drafts: {word:?} is no workload: {e}"))?;
            }
        }
        Ok(())
    }
}

/// The word of a class, or of a tenant's calls of it.
pub fn workload(class: &str, tenant: Option<&str>) -> String {
    tenant.map_or_else(|| class.to_string(), |tenant| format!("{class}.{tenant}"))
}

/// The file's key of a setting.
fn key(of: &'static str) -> &'static str {
    match of {
        "period" => "period_ms",
        "epoch" => "epoch_ms",
        "review" => "review_ms",
        "explore_rate" => "explore_per_s",
        "versions_hour" => "versions_per_hour",
        "longest_round" => "longest_round_ms",
        other => other,
    }
}

#[cfg(test)]
mod tests;
