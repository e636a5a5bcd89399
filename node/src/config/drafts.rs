//! `[drafts]` of an operator's file: settings for learning draft lengths. Without it, learning is off.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use wheellink_drafts::{Draft, DraftTable, Settings, Workload, LOAD_BANDS};

/// `[drafts]`. Keys that are not set have the values of [`Settings::default`].
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// Number of drafters, 1 to 4, not counting "off".
    drafters: Option<u8>,
    /// Length of the longest draft, in tokens.
    longest: Option<u8>,
    /// Whether each tenant of a class is a workload of its own.
    #[serde(default)]
    pub by_tenant: bool,
    /// The draft for workloads without a table entry, as `"DRAFTER:LENGTH"`.
    start: Option<String>,
    /// The draft per `"WORKLOAD/BAND"`, used until the agreed settings contain another and whenever none of their versions
    /// is in force.
    #[serde(default)]
    table: BTreeMap<String, String>,
    /// Calls in flight at a host from which it is in load band 1, 2 and 3.
    bands: Option<[f64; 3]>,
    period_ms: Option<u64>,
    fanout: Option<usize>,
    epoch_ms: Option<u64>,
    /// Number of epochs.
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

/// Default limits of the load bands, in calls in flight, for a host with four cores.
const DEFAULT_BANDS: [f64; 3] = [2.0, 4.0, 8.0];

fn draft(key: &str, text: &str) -> Result<Draft, String> {
    text.parse().map_err(|_| format!("drafts.{key}: {text:?} is not a draft, as \"1:4\", or \"0:0\" for off"))
}

impl Setup {
    /// The settings of the learner.
    pub fn settings(&self) -> Result<Settings, String> {
        let default = Settings::default();
        let ms = |given: Option<u64>, default| given.map_or(default, Duration::from_millis);
        let settings = Settings {
            drafters: self.drafters.unwrap_or(default.drafters),
            longest: self.longest.unwrap_or(default.longest),
            start: self.start.as_deref().map_or(Ok(default.start), |text| draft("start", text))?,
            period: ms(self.period_ms, default.period),
            fanout: self.fanout.unwrap_or(default.fanout),
            epoch: ms(self.epoch_ms, default.epoch),
            window: self.window.unwrap_or(default.window),
            review: ms(self.review_ms, default.review),
            least_rounds: self.least_rounds.unwrap_or(default.least_rounds),
            hysteresis: self.hysteresis.unwrap_or(default.hysteresis),
            explore: self.explore.unwrap_or(default.explore),
            explore_rate: self.explore_per_s.unwrap_or(default.explore_rate),
            share: self.share.unwrap_or(default.share),
            tolerance: self.tolerance.unwrap_or(default.tolerance),
            cost_tolerance: self.cost_tolerance.unwrap_or(default.cost_tolerance),
            versions_hour: self.versions_per_hour.unwrap_or(default.versions_hour),
            longest_round: ms(self.longest_round_ms, default.longest_round),
            workloads: self.workloads.unwrap_or(default.workloads),
            rows: self.rows.unwrap_or(default.rows),
            ..default
        };
        settings.check().map_err(|e| format!("drafts.{}: {}", key(e.key), e.wanted))?;
        Ok(settings)
    }

    /// The table that is used until the agreed settings contain another.
    pub fn floor(&self) -> Result<DraftTable, String> {
        let settings = self.settings()?;
        let entry = |(name, text): (&String, &String)| {
            let key = format!("table.{name}");
            let wrong = || format!("drafts.{key}: an entry is \"WORKLOAD/BAND\" with a band of 0 to 3");
            let (workload, band) = name.rsplit_once('/').ok_or_else(wrong)?;
            let band = band.parse().ok().filter(|b| *b < LOAD_BANDS).ok_or_else(wrong)?;
            let draft = draft(&key, text)?;
            if !settings.allows(draft) {
                return Err(format!("drafts.{key}: {text} is not of the configured drafters and lengths"));
            }
            Ok(((Workload::new(workload).map_err(|_| wrong())?, band), draft))
        };
        self.table.iter().map(entry).collect()
    }

    /// Calls in flight at a host from which it is in the next load band.
    pub fn bands(&self) -> [f64; 3] {
        self.bands.unwrap_or(DEFAULT_BANDS)
    }

    /// Checks these settings together with the names of classes and tenants, which make up the names of workloads.
    pub fn check(&self, classes: &[&str], tenants: &[&str]) -> Result<(), String> {
        self.floor()?;
        let bands = self.bands();
        if !bands.windows(2).all(|w| w[0] < w[1]) || bands[0].is_nan() || bands[0] <= 0.0 || bands[2] > 1e6 {
            return Err("drafts.bands: three increasing numbers of calls, above 0".into());
        }
        for class in classes {
            let no_tenant = [""].as_slice();
            for tenant in if self.by_tenant && !tenants.is_empty() { tenants } else { no_tenant } {
                let name = workload(class, Some(tenant).filter(|t| !t.is_empty()).copied());
                Workload::new(&name).map_err(|e| format!("drafts: {name:?} is not a workload: {e}"))?;
            }
        }
        Ok(())
    }
}

/// The name of the workload of a class, or of a tenant's calls in it.
pub fn workload(class: &str, tenant: Option<&str>) -> String {
    tenant.map_or_else(|| class.to_string(), |tenant| format!("{class}.{tenant}"))
}

/// The file's key of a setting.
/// The key in the file for a key of [`Settings`].
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
