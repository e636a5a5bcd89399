//! The operator's file, in TOML: listen addresses, host discovery, classes, tenants and limits.

mod ranges;

use std::net::SocketAddr;

use serde::Deserialize;
use wheellink::{Class, Discovery, Effect, LoadBudget, Micros, Scope, Settings, Tenant, WhenCold};
use wheellink_settings::{Deployment, Transport};

use super::{Config, Mode};
use crate::descriptors::Budget;
use crate::dnssd;
use crate::front::invoke::results::ResultLimits;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: SocketAddr,
    control: Option<SocketAddr>,
    #[serde(default = "sockets")]
    sockets: usize,
    #[serde(default = "memory")]
    memory_mb: usize,
    hosts: Hosts,
    #[serde(default)]
    results: Results,
    rollout: Option<super::rollout::Setup>,
    admission: Option<wheellink_admission::Rules>,
    members: Option<crate::membership::Setup>,
    drafts: Option<super::drafts::Setup>,
    turns: Option<super::turns::Setup>,
    accord: Option<crate::accords::Setup>,
    #[serde(default)]
    class: Vec<ClassTable>,
    #[serde(default)]
    tenant: Vec<TenantTable>,
}

fn sockets() -> usize {
    1024
}
fn memory() -> usize {
    192
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Hosts {
    resolver: SocketAddr,
    service: String,
    #[serde(default)]
    zones: Vec<String>,
    zone: Option<String>,
    #[serde(default = "one")]
    activators: u32,
    #[serde(default = "on_miss")]
    on_miss: String,
    keep_ms: Micros,
    #[serde(default = "max_attempts")]
    max_attempts: u32,
    #[serde(default = "retry_after_ms")]
    retry_after_ms: Micros,
    orders: Option<Orders>,
    cold_from: f64,
    cold_ms: Micros,
    fall_multiple: f64,
    fall_ms: Micros,
    #[serde(default = "connect_timeout_ms")]
    connect_timeout_ms: Micros,
    #[serde(default = "idle_ms")]
    idle_ms: Micros,
    #[serde(default = "streams")]
    streams: usize,
    #[serde(default = "order_timeout_ms")]
    order_timeout_ms: Micros,
}

fn one() -> u32 {
    1
}
fn on_miss() -> String {
    "miss".into()
}
fn max_attempts() -> u32 {
    5
}
fn retry_after_ms() -> Micros {
    1_000
}
fn connect_timeout_ms() -> Micros {
    250
}
fn idle_ms() -> Micros {
    30_000
}
fn streams() -> usize {
    32
}
fn order_timeout_ms() -> Micros {
    10_000
}

/// The load budget: at most `free + share * calls` load orders within `period_ms`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Orders {
    free: f64,
    share: f64,
    period_ms: Micros,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Results {
    most: usize,
    megabytes: usize,
    keep_ms: Micros,
}

impl Default for Results {
    fn default() -> Self {
        Self { most: 1000, megabytes: 16, keep_ms: 60_000 }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassTable {
    name: String,
    effect: String,
    scope: Option<String>,
    window_ms: Option<Micros>,
    aim_ms: Micros,
    give_up_ms: Micros,
    deferred_give_up_ms: Option<Micros>,
    #[serde(default = "worth")]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default = "one")]
    lanes: u32,
}

fn worth() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TenantTable {
    name: String,
    quota_per_s: f64,
}

/// Reads the file.
///
/// # Errors
/// The first problem, in one line.
pub fn parse(text: &str, seed: u64) -> Result<Config, String> {
    let file: File = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |span| 1 + text[..span.start.min(text.len())].matches('\n').count());
        format!("line {line}: {}", e.message().trim().replace('\n', " "))
    })?;
    let hosts = &file.hosts;
    let deny = |wrong: bool, problem: &str| if wrong { Err(problem.to_string()) } else { Ok(()) };
    deny(!hosts.resolver.ip().is_loopback(), "hosts.resolver must be a loopback address")?;
    deny(file.sockets < 64, "sockets must be at least 64")?;
    deny(!(16..=1 << 20).contains(&file.memory_mb), "memory_mb must be 16 to 1048576")?;
    deny(hosts.streams == 0 || hosts.activators == 0, "hosts.streams, hosts.activators: at least 1")?;
    ranges::check(&file)?;
    deny(file.results.most == 0 || file.results.megabytes == 0, "results must allow at least one")?;
    file.rollout.as_ref().map_or(Ok(()), super::rollout::Setup::check)?;
    super::check_admission(file.admission.as_ref(), file.sockets)?;
    file.members.as_ref().map_or(Ok(()), crate::membership::Setup::check)?;
    if let Some(drafts) = &file.drafts {
        let classes: Vec<&str> = file.class.iter().map(|c| c.name.as_str()).collect();
        drafts.check(&classes, &file.tenant.iter().map(|t| t.name.as_str()).collect::<Vec<_>>())?;
    }
    file.turns.as_ref().map_or(Ok(()), super::turns::Setup::check)?;
    let mut names: Vec<_> = file.class.iter().map(|c| &c.name).collect();
    names.sort();
    deny(names.windows(2).any(|w| w[0] == w[1]), "two classes have the same name")?;
    for c in &file.class {
        deny(c.give_up_ms < c.aim_ms, &format!("class {}: give_up_ms must not be below aim_ms", c.name))?;
    }
    let settings = Settings {
        routers: hosts.activators,
        classes: file.class.iter().map(class).collect::<Result<_, _>>()?,
        tenants: file.tenant.iter().map(|t| Tenant { quota: t.quota_per_s }).collect(),
        over_share_worth: 1.0,
        zone: zone(hosts),
        discovery: Discovery::Pushed,
        when_cold: match hosts.on_miss.as_str() {
            "miss" => WhenCold::Misses,
            "load" => WhenCold::Loads,
            other => return Err(format!("hosts.on_miss is \"miss\" or \"load\", not {other:?}")),
        },
        keep: hosts.keep_ms * 1000,
        orders: true,
        load_budget: hosts.orders.as_ref().map(|o| LoadBudget {
            free: o.free,
            share: o.share,
            period: o.period_ms * 1000,
        }),
        cancel: true,
        max_attempts: hosts.max_attempts,
        max_retry_after: hosts.retry_after_ms * 1000,
        cold_from: hosts.cold_from,
        cold_for: hosts.cold_ms * 1000,
        fall_multiple: hosts.fall_multiple,
        fall_window: hosts.fall_ms * 1000,
        router_index: 0,
        max_gossip_bytes: 0,
    };
    settings.check().map_err(|e| e.to_string())?;
    let transport = Transport {
        conn_idle: hosts.idle_ms * 1000,
        connect_timeout: hosts.connect_timeout_ms * 1000,
        activators: 1,
        streams: hosts.streams,
        probes: true,
        order_timeout: hosts.order_timeout_ms * 1000,
        reports_found: true,
        reports_overlap: true,
        max_retry_after: settings.max_retry_after,
    };
    let deferred = |c: &ClassTable| c.deferred_give_up_ms.unwrap_or(c.give_up_ms) * 1000;
    let mode = Mode::Operator {
        resolver: hosts.resolver,
        service: dnssd::parse_name(&hosts.service).map_err(|e| format!("hosts.service: {e}"))?,
        bounds: ResultLimits {
            max_results: file.results.most,
            max_bytes: file.results.megabytes << 20,
            retention: file.results.keep_ms * 1000,
        },
        classes: file.class.iter().map(|c| (deferred(c), c.lanes.max(1))).collect(),
    };
    let deployment = Deployment {
        settings,
        classes: file.class.into_iter().map(|c| c.name).collect(),
        tenants: file.tenant.into_iter().map(|t| t.name).collect(),
        zones: file.hosts.zones,
        transport,
    };
    if let Some(accord) = &file.accord {
        // In a rollout two processes would have to vote as one member.
        deny(file.rollout.is_some(), "accord: it cannot be combined with [rollout]")?;
        let (settings, classes) = (deployment.settings.clone(), deployment.classes.clone());
        let base = crate::accords::terms::Base { settings, classes, tenants: deployment.tenants.clone() };
        accord.check(file.members.as_ref(), &base)?;
    }
    Ok(Config {
        source: serde_json::Value::Null,
        control: file.control,
        listen: file.listen,
        seed,
        descriptors: Budget::new(file.sockets).map_err(|e| format!("sockets: {e}"))?,
        memory_bytes: file.memory_mb << 20,
        deployment,
        peers: Err("an operator's file names no peers".into()),
        mode,
        rollout: file.rollout,
        admission: file.admission,
        members: file.members,
        drafts: file.drafts,
        turns: file.turns,
        accord: file.accord,
    })
}

fn zone(hosts: &Hosts) -> Option<u32> {
    let at = hosts.zone.as_ref().and_then(|zone| hosts.zones.iter().position(|z| z == zone));
    at.map(|i| i as u32)
}

fn class(c: &ClassTable) -> Result<Class, String> {
    let effect = match (c.effect.as_str(), c.scope.as_deref()) {
        ("safe", None) => Effect::Safe,
        ("unsafe", None) => Effect::Unsafe,
        ("keyed", scope) => {
            let scope = match scope {
                Some("all") => Scope::All,
                Some("zone") => Scope::Zone,
                Some("cell") => Scope::Cell,
                _ => return Err(format!("class {}: scope is \"all\", \"zone\" or \"cell\"", c.name)),
            };
            let window = c.window_ms.ok_or_else(|| format!("class {}: window_ms is missing", c.name))?;
            Effect::Keyed { scope, window: window * 1000 }
        }
        _ => {
            return Err(format!(
                "class {}: effect is \"safe\", \"unsafe\", or \"keyed\" with a scope",
                c.name
            ))
        }
    };
    Ok(Class {
        aim: c.aim_ms * 1000,
        give_up: c.give_up_ms * 1000,
        worth: c.worth,
        late_worth: c.late_worth,
        effect,
        attempts: None,
    })
}
