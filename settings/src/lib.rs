//! The platform's settings object of a deployment. The simulator sends it in its first message, and the activator
//! process reads it from its configuration, with the same keys. Both use this crate to decode and validate it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;

pub use check::InvalidSetting;

use serde::Deserialize;
use wheellink::{
    Class, Discovery, Effect, LoadBudget, Micros, Router, Scope, Settings, SettingsError, Tenant, WhenCold,
};

/// The settings object as decoded from JSON. Unknown keys are ignored.
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

/// Maximum size of a gossip datagram between activators, if `Limits.MayTell` allows gossip.
pub const MAX_GOSSIP_BYTES: usize = 256;

/// Settings of connections, orders and answers. The adapters use them; the decision module does not.
#[derive(Clone, Debug)]
pub struct Transport {
    /// Time after which an idle connection is closed.
    pub conn_idle: Micros,
    /// Time within which a connection must be established.
    pub connect_timeout: Micros,
    /// Number of activators that share the hosts, this one included.
    pub activators: usize,
    /// Maximum number of concurrent attempts per connection.
    pub streams: usize,
    /// Whether hosts may be sent health probes.
    pub probes: bool,
    /// Time after which a load order without an answer has ended.
    pub order_timeout: Micros,
    /// Whether answers report the state of the function's copy; see [`wheellink::Found`].
    pub reports_found: bool,
    /// Whether answers report how many requests for the same function the host held.
    pub reports_overlap: bool,
    /// Maximum wait that a refused client honours, set even if the platform's wire gives clients no retry time
    /// (`Limits.RetryAfter` is false).
    pub max_retry_after: Micros,
}

/// The settings as the library's types, with the names that the wire formats use for the library's indexes.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Settings of the adapters.
    pub transport: Transport,
}

impl Deployment {
    /// Creates a router for this deployment.
    pub fn router(&self, seed: u64) -> Result<Router, SettingsError> {
        Router::new(self.settings.clone(), seed)
    }

    /// Index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// Index of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant == name)
    }

    /// Index of a zone; `None` if the name is absent or unknown.
    pub fn zone(&self, name: Option<&str>) -> Option<u32> {
        zone(&self.zones, name)
    }
}

fn zone(zones: &[String], name: Option<&str>) -> Option<u32> {
    let index = zones.iter().position(|zone| Some(zone.as_str()) == name);
    index.map(|i| i as u32)
}

impl TryFrom<Options> for Deployment {
    type Error = InvalidSetting;

    fn try_from(options: Options) -> Result<Self, InvalidSetting> {
        check::check(&options)?;
        let tenants: Vec<Customer> = options.customers.unwrap_or_default();
        let zones = options.zones.unwrap_or_default();
        let budget = LoadBudget {
            free: options.family_info.free_loads,
            share: options.family_info.load_share,
            period: options.family_info.load_period_us,
        };
        let settings = Settings {
            routers: options.group_size,
            classes: options.profiles.iter().enumerate().map(class).collect::<Result<_, _>>()?,
            tenants: tenants.iter().map(|t| Tenant { quota: t.quota_per_s }).collect(),
            over_share_worth: options.over_share_worth.unwrap_or(1.0),
            zone: zone(&zones, options.zone.as_deref()),
            discovery: match options.discovery.as_str() {
                "automatic" => Discovery::Pushed,
                "subscribe" => Discovery::OnRequest,
                name => return Err(InvalidSetting::new("Discovery", format!("unknown Discovery {name:?}"))),
            },
            when_cold: match options.family_info.if_cold.as_deref() {
                None | Some("load") => WhenCold::Loads,
                Some("miss") => WhenCold::Misses,
                Some(other) => {
                    return Err(InvalidSetting::new("FamilyInfo.IfCold", format!("unknown IfCold {other:?}")))
                }
            },
            keep: options.family_info.keep_us.unwrap_or(0),
            orders: options.family_info.placement_calls,
            load_budget: (budget.period != 0).then_some(budget),
            cancel: options.limits.cancel,
            max_attempts: options.limits.max_attempts,
            max_retry_after: if options.limits.retry_after { options.limits.max_retry_after_us } else { 0 },
            cold_from: options.rules.cold_from,
            cold_for: options.rules.cold_us,
            fall_multiple: options.rules.fall_multiple,
            fall_window: options.rules.fall_us,
            router_index: options.ordinal,
            max_gossip_bytes: if options.limits.may_tell { MAX_GOSSIP_BYTES } else { 0 },
        };
        let transport = Transport {
            conn_idle: options.limits.conn_idle_us.unwrap_or(30_000_000),
            connect_timeout: options.limits.connect_timeout_us.unwrap_or(250_000),
            activators: options.group_size as usize,
            streams: options.limits.streams_per_conn.unwrap_or(32),
            probes: options.limits.probes,
            order_timeout: options.family_info.order_timeout_us.unwrap_or(10_000_000),
            reports_found: options.family_info.says_warm,
            reports_overlap: options.family_info.counts_alike,
            max_retry_after: options.limits.max_retry_after_us,
        };
        Ok(Self {
            settings,
            classes: options.profiles.into_iter().map(|p| p.name).collect(),
            tenants: tenants.into_iter().map(|t| t.name).collect(),
            zones,
            transport,
        })
    }
}

fn class((index, profile): (usize, &Profile)) -> Result<Class, InvalidSetting> {
    let invalid = |key: &str, reason: String| InvalidSetting::new(format!("Profiles[{index}].{key}"), reason);
    let effect = match profile.effect.as_str() {
        "safe" => Effect::Safe,
        "unsafe" => Effect::Unsafe,
        "keyed" => {
            let scope = match profile.dedup_scope.as_deref() {
                Some("all") => Scope::All,
                Some("zone") => Scope::Zone,
                Some("cell") => Scope::Cell,
                Some(other) => {
                    return Err(invalid("DedupScope", format!("unknown DedupScope {other:?}")));
                }
                None => return Err(invalid("DedupScope", "is missing: a keyed class needs it".into())),
            };
            Effect::Keyed { scope, window: profile.window_us.unwrap_or(0) }
        }
        other => return Err(invalid("Effect", format!("unknown Effect {other:?}"))),
    };
    Ok(Class {
        aim: profile.aim_us,
        give_up: profile.give_up_us,
        worth: profile.importance,
        late_worth: profile.late_worth.unwrap_or(0.0),
        effect,
        attempts: None,
    })
}
