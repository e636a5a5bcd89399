//! The settings object of a test deployment as the platform sends it, and a function that changes one value of it.

use serde_json::{json, Value};

/// Valid settings of a deployment with three classes and two tenants.
pub fn valid() -> Value {
    json!({
        "Customers": [{"Name": "kouterzorg", "Portion": 0.79, "QuotaPerS": 94.0},
            {"Name": "scholen-leieland", "Portion": 0.21, "QuotaPerS": 25.0}],
        "Discovery": "automatic",
        "FamilyInfo": {"CountsAlike": true, "FreeLoads": 2.0, "IfCold": "miss", "KeepUs": 9500000,
            "LoadPeriodUs": 10000000, "LoadShare": 0.2, "OrderTimeoutUs": 10000000, "PlacementCalls": true,
            "SaysWarm": true},
        "GroupSize": 1,
        "Limits": {"Cancel": true, "ConnIdleUs": 30000000, "ConnectTimeoutUs": 250000, "MaxAttempts": 5,
            "MaxRetryAfterUs": 1000000, "MayTell": true, "Probes": true, "RetryAfter": false,
            "StreamsPerConn": 32},
        "Ordinal": 0,
        "OverShareWorth": 0.2,
        "Profiles": [
            {"AimUs": 2000000, "DedupScope": "all", "Effect": "safe", "GiveUpUs": 5000000, "Importance": 3.0,
                "LateWorth": 0.2, "Name": "check-score", "WindowUs": 5000000},
            {"AimUs": 1500000, "DedupScope": "cell", "Effect": "keyed", "GiveUpUs": 4000000, "Importance": 5.0,
                "LateWorth": 0.3, "Name": "save-answers", "WindowUs": 8000000},
            {"AimUs": 1500000, "DedupScope": "all", "Effect": "unsafe", "GiveUpUs": 4000000, "Importance": 3.0,
                "LateWorth": 0.2, "Name": "send-mail", "WindowUs": 5000000}],
        "Rules": {"ColdFrom": 0.17, "ColdUs": 18000000, "DrainGraceUs": 500000, "FallMultiple": 4.0,
            "FallUs": 3000000},
        "Zone": "gent-dc1",
        "Zones": ["gent-dc1"]})
}

/// The valid settings with the value at a JSON pointer replaced, or with the key removed if there is no value.
pub fn edited(pointer: &str, value: Option<Value>) -> Value {
    let mut settings = valid();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = settings.pointer_mut(parent).unwrap();
    match (parent, value) {
        (Value::Array(entries), Some(value)) => entries[key.parse::<usize>().unwrap()] = value,
        (Value::Object(entries), Some(value)) => drop(entries.insert(key.into(), value)),
        (Value::Object(entries), None) => drop(entries.remove(key)),
        other => panic!("{other:?}"),
    }
    settings
}
