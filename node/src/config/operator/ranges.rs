//! Range checks of an operator's file. Errors name the key.

use wheellink::Micros;

use super::{ClassTable, File, Hosts};

/// Longest time that is accepted, about three decades, in milliseconds.
const MAX_TIME_MS: Micros = 1_000_000_000_000;
/// Largest share, rate, worth or multiple that is accepted.
const MAX_NUMBER: f64 = 1e12;

fn refuse(wrong: bool, key: &str, wanted: &str) -> Result<(), String> {
    if wrong {
        return Err(format!("{key} {wanted}"));
    }
    Ok(())
}

fn time(key: &str, min: Micros, time: Micros) -> Result<(), String> {
    let wanted = format!("must be {min} to {MAX_TIME_MS}, not {time}");
    refuse(!(min..=MAX_TIME_MS).contains(&time), key, &wanted)
}

fn number(key: &str, number: f64) -> Result<(), String> {
    let wanted = format!("must be 0 to {MAX_NUMBER:e}, not {number}");
    refuse(!(0.0..=MAX_NUMBER).contains(&number), key, &wanted)
}

fn above_zero(key: &str, value: f64) -> Result<(), String> {
    number(key, value)?;
    refuse(value <= 0.0, key, "must be above 0, not 0")
}

/// Checks all times, shares and rates.
pub(super) fn check(file: &File) -> Result<(), String> {
    check_hosts(&file.hosts)?;
    refuse(file.class.is_empty(), "class", "is missing: there must be one [[class]]")?;
    time("results.keep_ms", 1, file.results.keep_ms)?;
    for class in &file.class {
        check_class(class)?;
    }
    for tenant in &file.tenant {
        above_zero(&format!("tenant {}: quota_per_s", tenant.name), tenant.quota_per_s)?;
    }
    Ok(())
}

fn check_hosts(hosts: &Hosts) -> Result<(), String> {
    time("hosts.connect_timeout_ms", 1, hosts.connect_timeout_ms)?;
    time("hosts.idle_ms", 1, hosts.idle_ms)?;
    time("hosts.order_timeout_ms", 1, hosts.order_timeout_ms)?;
    // 0: hosts are warm as soon as they start.
    time("hosts.cold_ms", 0, hosts.cold_ms)?;
    time("hosts.fall_ms", 1, hosts.fall_ms)?;
    time("hosts.keep_ms", 0, hosts.keep_ms)?;
    time("hosts.retry_after_ms", 0, hosts.retry_after_ms)?;
    let share = (0.0..=1.0).contains(&hosts.cold_from);
    refuse(!share, "hosts.cold_from", &format!("must be 0 to 1, not {}", hosts.cold_from))?;
    above_zero("hosts.fall_multiple", hosts.fall_multiple)?;
    refuse(hosts.max_attempts == 0, "hosts.max_attempts", "must be above 0, not 0")?;
    let Some(orders) = &hosts.orders else { return Ok(()) };
    number("hosts.orders.free", orders.free)?;
    number("hosts.orders.share", orders.share)?;
    time("hosts.orders.period_ms", 0, orders.period_ms)
}

fn check_class(class: &ClassTable) -> Result<(), String> {
    let key = |name: &str| format!("class {}: {name}", class.name);
    time(&key("aim_ms"), 1, class.aim_ms)?;
    time(&key("give_up_ms"), 1, class.give_up_ms)?;
    class.deferred_give_up_ms.map_or(Ok(()), |t| time(&key("deferred_give_up_ms"), 1, t))?;
    if class.effect == "keyed" {
        class.window_ms.map_or(Ok(()), |t| time(&key("window_ms"), 1, t))?;
    }
    number(&key("worth"), class.worth)?;
    number(&key("late_worth"), class.late_worth)
}
