//! Validation of a settings object. The accepted ranges are wide: a value is rejected, with its key and a reason, only if
//! it would make a decision or a timeout meaningless.

use std::fmt;

use wheellink::Micros;

use crate::{Customer, FamilyInfo, Limits, Options, Profile, Rules};

/// Why a settings object was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Path of the key in the object, such as `Profiles[1].WindowUs`.
    pub key: String,
    /// Why its value is invalid.
    pub reason: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}
impl std::error::Error for InvalidSetting {}

impl InvalidSetting {
    pub(crate) fn new(key: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { key: key.into(), reason: reason.into() }
    }
}

/// Maximum of a time, three decades: sums and small multiples of such times and of a clock still fit in [`Micros`].
const MAX_TIME_US: Micros = 1_000_000_000_000_000;
/// Maximum number of activators that share the hosts.
const MAX_ACTIVATORS: u32 = 1_000_000;
/// Maximum of a share, rate, worth or multiple.
const MAX_NUMBER: f64 = 1e12;

/// Returns an error if the value of `key` is invalid.
fn reject(invalid: bool, key: &str, reason: impl FnOnce() -> String) -> Result<(), InvalidSetting> {
    if invalid {
        return Err(InvalidSetting::new(key, reason()));
    }
    Ok(())
}

/// Checks a time that must not be 0.
fn check_positive_time(key: &str, time: Micros) -> Result<(), InvalidSetting> {
    check_time(key, time)?;
    reject(time == 0, key, || "must be above 0, not 0".into())
}

/// Checks a time that may be 0.
fn check_time(key: &str, time: Micros) -> Result<(), InvalidSetting> {
    reject(time < 0, key, || format!("is a negative time: {time}"))?;
    reject(time > MAX_TIME_US, key, || format!("must be {MAX_TIME_US} microseconds at most, not {time}"))
}

/// Checks a number that may be 0.
fn check_number(key: &str, number: f64) -> Result<(), InvalidSetting> {
    reject(!number.is_finite(), key, || format!("must be a finite number, not {number}"))?;
    reject(number < 0.0, key, || format!("must not be negative, not {number}"))?;
    reject(number > MAX_NUMBER, key, || format!("must be {MAX_NUMBER:e} at most, not {number:e}"))
}

/// Checks a number that must not be 0.
fn check_positive(key: &str, number: f64) -> Result<(), InvalidSetting> {
    check_number(key, number)?;
    reject(number <= 0.0, key, || format!("must be above 0, not {number}"))
}

/// Checks all values that are read.
pub(crate) fn check(options: &Options) -> Result<(), InvalidSetting> {
    let activators = options.group_size;
    reject(activators == 0, "GroupSize", || "must be above 0, not 0".into())?;
    reject(activators > MAX_ACTIVATORS, "GroupSize", || {
        format!("must be {MAX_ACTIVATORS} at most, not {activators}")
    })?;
    options.over_share_worth.map_or(Ok(()), |worth| check_number("OverShareWorth", worth))?;
    check_profiles(&options.profiles)?;
    check_limits(&options.limits)?;
    check_rules(&options.rules)?;
    check_family(&options.family_info)?;
    let mut customers = options.customers.iter().flatten().enumerate();
    customers.try_for_each(|(i, customer)| check_customer(i, customer))
}

fn check_profiles(profiles: &[Profile]) -> Result<(), InvalidSetting> {
    reject(profiles.is_empty(), "Profiles", || "must hold a class".into())?;
    for (i, profile) in profiles.iter().enumerate() {
        let key = |name: &str| format!("Profiles[{i}].{name}");
        let name = &profile.name;
        reject(name.is_empty(), &key("Name"), || "must not be empty".into())?;
        let duplicate = profiles[..i].iter().any(|other| other.name == *name);
        reject(duplicate, &key("Name"), || format!("is another class's name: {name:?}"))?;
        check_positive_time(&key("AimUs"), profile.aim_us)?;
        check_positive_time(&key("GiveUpUs"), profile.give_up_us)?;
        check_number(&key("Importance"), profile.importance)?;
        profile.late_worth.map_or(Ok(()), |worth| check_number(&key("LateWorth"), worth))?;
        if profile.effect == "keyed" {
            let window = profile.window_us.ok_or_else(|| missing(key("WindowUs"), "a keyed class"))?;
            check_positive_time(&key("WindowUs"), window)?;
        }
    }
    Ok(())
}

fn missing(key: String, owner: &str) -> InvalidSetting {
    InvalidSetting::new(key, format!("is missing: {owner} needs it"))
}

fn check_limits(limits: &Limits) -> Result<(), InvalidSetting> {
    reject(limits.max_attempts == 0, "Limits.MaxAttempts", || "must be above 0, not 0".into())?;
    reject(limits.streams_per_conn == Some(0), "Limits.StreamsPerConn", || "must be above 0, not 0".into())?;
    let times =
        [("Limits.ConnIdleUs", limits.conn_idle_us), ("Limits.ConnectTimeoutUs", limits.connect_timeout_us)];
    for (key, time) in times {
        time.map_or(Ok(()), |time| check_positive_time(key, time))?;
    }
    check_time("Limits.MaxRetryAfterUs", limits.max_retry_after_us)
}

fn check_rules(rules: &Rules) -> Result<(), InvalidSetting> {
    let from = rules.cold_from;
    reject(!(0.0..=1.0).contains(&from), "Rules.ColdFrom", || format!("must be 0 to 1, not {from}"))?;
    // 0 is valid: hosts have their full capacity as soon as they start.
    check_time("Rules.ColdUs", rules.cold_us)?;
    check_positive("Rules.FallMultiple", rules.fall_multiple)?;
    check_positive_time("Rules.FallUs", rules.fall_us)
}

fn check_family(family: &FamilyInfo) -> Result<(), InvalidSetting> {
    check_number("FamilyInfo.FreeLoads", family.free_loads)?;
    check_number("FamilyInfo.LoadShare", family.load_share)?;
    // 0 is valid: load orders are not limited.
    check_time("FamilyInfo.LoadPeriodUs", family.load_period_us)?;
    let times =
        [("FamilyInfo.KeepUs", family.keep_us), ("FamilyInfo.OrderTimeoutUs", family.order_timeout_us)];
    for (key, time) in times {
        match time {
            // Without placement calls these times have no effect, so 0 is valid.
            Some(time) if family.placement_calls => check_positive_time(key, time)?,
            Some(time) => check_time(key, time)?,
            None => {}
        }
    }
    Ok(())
}

fn check_customer(index: usize, customer: &Customer) -> Result<(), InvalidSetting> {
    check_positive(&format!("Customers[{index}].QuotaPerS"), customer.quota_per_s)
}
