//! The settings object of a deployment. The simulator sends it in its first message and a real activator
//! finds it in its configuration, under the same names; both read it here.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;

pub use check::Refused;

use serde::Deserialize;
use wheellink::{
    Class, Discovery, Effect, LoadBudget, Micros, Router, Scope, Settings, SettingsError, Tenant, WhenCold,
};

/// The keys that are read; others are skipped.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Options {
    customers: Option<Vec<Customer>>,
    discovery: String,
    family_info: FamilyInfo,
    group_size: u32,
    #[serde(default)]
    ordinal: u32,
    limits: Limits,
    over_share_worth: Option<f64>,
    profiles: Vec<Profile>,
    rules: Rules,
    zone: Option<String>,
    zones: Option<Vec<String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Customer {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FamilyInfo {
    counts_alike: bool,
    free_loads: f64,
    if_cold: Option<String>,
    keep_us: Option<i64>,
    load_period_us: i64,
    load_share: f64,
    order_timeout_us: Option<i64>,
    placement_calls: bool,
    says_warm: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Limits {
    #[serde(default)]
    cancel: bool,
    conn_idle_us: Option<i64>,
    connect_timeout_us: Option<i64>,
    max_attempts: u32,
    #[serde(default)]
    may_tell: bool,
    #[serde(default)]
    max_retry_after_us: i64,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    streams_per_conn: Option<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Profile {
    name: String,
    aim_us: i64,
    give_up_us: i64,
    importance: f64,
    late_worth: Option<f64>,
    effect: String,
    dedup_scope: Option<String>,
    window_us: Option<i64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Rules {
    cold_from: f64,
    cold_us: i64,
    fall_multiple: f64,
    fall_us: i64,
}

/// Bytes that one activator may tell another at once, where it may.
pub const LONGEST_WORD: usize = 256;

/// What the settings say of connections and answers: nothing that decides.
#[derive(Clone, Debug)]
pub struct Transport {
    /// Idle connections are closed after this.
    pub conn_idle: Micros,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Micros,
    /// Activators that share the hosts, this one included.
    pub activators: usize,
    /// Attempts that one connection carries at once.
    pub streams: usize,
    /// Hosts may be asked whether they are well.
    pub probes: bool,
    /// An order that was not answered by then has ended.
    pub order_timeout: Micros,
    /// Answers tell what they found.
    pub says_warm: bool,
    /// Answers tell how many requests for the function the host held.
    pub counts_alike: bool,
    /// The longest time that refused clients would stay away, whether they are told on this wire or not.
    pub retry_after: Micros,
}

/// The settings in the library's terms, with the names that the wires use for its indexes.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// What the decision module is told.
    pub settings: Settings,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// What the adapters are told.
    pub transport: Transport,
}

impl Deployment {
    /// A router for this deployment.
    pub fn router(&self, seed: u64) -> Result<Router, SettingsError> {
        Router::new(self.settings.clone(), seed)
    }

    /// Index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c == name)
    }

    /// Index of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|t| t == name)
    }

    /// Number of a zone; one that is not told is nobody's.
    pub fn zone(&self, name: Option<&str>) -> u32 {
        zone(&self.zones, name)
    }
}

fn zone(zones: &[String], name: Option<&str>) -> u32 {
    let index = zones.iter().position(|z| Some(z.as_str()) == name);
    index.map_or(u32::MAX, |i| i as u32)
}

impl TryFrom<Options> for Deployment {
    type Error = Refused;

    fn try_from(o: Options) -> Result<Self, Refused> {
        check::check(&o)?;
        let tenants: Vec<Customer> = o.customers.unwrap_or_default();
        let zones = o.zones.unwrap_or_default();
        let budget = LoadBudget {
            free: o.family_info.free_loads,
            share: o.family_info.load_share,
            period: o.family_info.load_period_us,
        };
        let settings = Settings {
            routers: o.group_size,
            classes: o.profiles.iter().enumerate().map(class).collect::<Result<_, _>>()?,
            tenants: tenants.iter().map(|t| Tenant { quota: t.quota_per_s }).collect(),
            over_share_worth: o.over_share_worth.unwrap_or(1.0),
            zone: zone(&zones, o.zone.as_deref()),
            discovery: match o.discovery.as_str() {
                "automatic" => Discovery::Pushed,
                "subscribe" => Discovery::OnRequest,
                other => return Err(Refused::new("Discovery", format!("unknown Discovery {other:?}"))),
            },
            when_cold: match o.family_info.if_cold.as_deref() {
                None | Some("load") => WhenCold::Loads,
                Some("miss") => WhenCold::Misses,
                Some(other) => {
                    return Err(Refused::new("FamilyInfo.IfCold", format!("unknown IfCold {other:?}")))
                }
            },
            keep: o.family_info.keep_us.unwrap_or(0),
            orders: o.family_info.placement_calls,
            load_budget: (budget.period != 0).then_some(budget),
            cancel: o.limits.cancel,
            max_attempts: o.limits.max_attempts,
            max_retry_after: if o.limits.retry_after { o.limits.max_retry_after_us } else { 0 },
            cold_from: o.rules.cold_from,
            cold_for: o.rules.cold_us,
            fall_multiple: o.rules.fall_multiple,
            fall_window: o.rules.fall_us,
            router_index: o.ordinal,
            max_gossip_bytes: if o.limits.may_tell { LONGEST_WORD } else { 0 },
        };
        let transport = Transport {
            conn_idle: o.limits.conn_idle_us.unwrap_or(30_000_000),
            connect_timeout: o.limits.connect_timeout_us.unwrap_or(250_000),
            activators: o.group_size as usize,
            streams: o.limits.streams_per_conn.unwrap_or(32),
            probes: o.limits.probes,
            order_timeout: o.family_info.order_timeout_us.unwrap_or(10_000_000),
            says_warm: o.family_info.says_warm,
            counts_alike: o.family_info.counts_alike,
            retry_after: o.limits.max_retry_after_us,
        };
        Ok(Self {
            settings,
            classes: o.profiles.into_iter().map(|p| p.name).collect(),
            tenants: tenants.into_iter().map(|t| t.name).collect(),
            zones,
            transport,
        })
    }
}

fn class((i, p): (usize, &Profile)) -> Result<Class, Refused> {
    let refused = |key: &str, reason: String| Refused::new(format!("Profiles[{i}].{key}"), reason);
    let effect = match p.effect.as_str() {
        "safe" => Effect::Safe,
        "unsafe" => Effect::Unsafe,
        "keyed" => {
            let scope = match p.dedup_scope.as_deref() {
                Some("all") => Scope::All,
                Some("zone") => Scope::Zone,
                Some("cell") => Scope::Cell,
                Some(other) => {
                    return Err(refused("DedupScope", format!("unknown DedupScope {other:?}")));
                }
                None => return Err(refused("DedupScope", "is missing: a keyed class needs it".into())),
            };
            Effect::Keyed { scope, window: p.window_us.unwrap_or(0) }
        }
        other => return Err(refused("Effect", format!("unknown Effect {other:?}"))),
    };
    Ok(Class {
        aim: p.aim_us,
        give_up: p.give_up_us,
        worth: p.importance,
        late_worth: p.late_worth.unwrap_or(0.0),
        effect,
        attempts: None,
    })
}
