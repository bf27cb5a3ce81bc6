//! Reading a mixer's configuration from the simulator's text and from JSON.

use pewterwharf_terms::{MixerConfig, StartupConfig};
use serde_json::json;

#[test]
fn equivalence_of_text_and_json() {
    let text = "services.count=1\nservices.0.name=look_up\nservices.0.slo_ms=800.0\n\
        services.0.hard_limit_ms=1500.0\nservices.0.points=1.0\nservices.0.idempotency=token\n\
        services.0.key_ttl_ms=5000.0\ncustomers.count=2\ncustomers.0.name=a\ncustomers.0.quota_per_s=3.5\n\
        customers.1.name=b\ncustomers.1.quota_per_s=7.0\nfamily_info.positions=3\nfamily_info.in_a_row=1\n\
        family_info.class_need=0.75\nfamily_info.floor_by_class=0.5\nfamily_info.ranges=15\n\
        permissions.cancel=true\npermissions.probing=false\npermissions.parallel_tries=true\n\
        permissions.max_attempts=4\npermissions.retry_after=true\npermissions.max_retry_after_ms=1000.0\n\
        peers_total=3\nzone=1\nzones=north_hall,south\nrules.cold_from=0.16\nrules.warm_after_ms=17000.0\n\
        rules.tip_multiple=4.0\nrules.fall_ms=1000.0\n";
    let json = json!({
        "services": [{"name": "look_up", "slo_ms": 800.0, "hard_limit_ms": 1500.0, "points": 1.0,
            "idempotency": "token", "key_ttl_ms": 5000.0}],
        "customers": [{"name": "a", "quota_per_s": 3.5}, {"name": "b", "quota_per_s": 7.0}],
        "family_info": {"positions": 3, "in_a_row": 1, "class_need": [0.75], "floor_by_class": [0.5],
            "ranges": 15},
        "permissions": {"cancel": true, "probing": false, "parallel_tries": true, "max_attempts": 4,
            "retry_after": true, "max_retry_after_ms": 1000.0},
        "peers_total": 3, "zone": 1, "zones": ["north hall", "south"], "new": null,
        "rules": {"cold_from": 0.16, "warm_after_ms": 17000.0, "tip_multiple": 4.0, "fall_ms": 1000.0},
    });
    let config = MixerConfig::from_text(text).expect("good settings");
    assert_eq!(
        format!("{config:#?}"),
        format!("{:#?}", MixerConfig::from_json(&json).expect("good settings"))
    );
    assert_eq!((config.layout.cells, config.zones.len(), config.customers.len()), (3, 2, 2));
}

/// Settings in the newer format: no probes, polled discovery, an answer floor below the need, and load reports in answers.
fn newer_settings() -> serde_json::Value {
    json!({
        "discovery": "ask", "weight_source": "rough", "worth_by": "work",
        "services": [{"name": "totals", "slo_ms": 2000.0, "hard_limit_ms": 4000.0, "points": 3.0,
            "idempotency": "pure"}],
        "family_info": {"positions": 33, "in_a_row": 3, "class_need": [1.0], "floor_by_class": [0.8],
            "partial_earns": [0.8], "ranges": 33},
        "permissions": {"cancel": true, "probing": false, "parallel_tries": true, "max_attempts": 3,
            "retry_after": false, "max_retry_after_ms": 500.0},
        "report": {"names": ["concurrent", "load_share"], "via": "answers"},
        "peers_total": 82, "zone": 0, "zones": ["a"],
        "rules": {"cold_from": 0.17, "warm_after_ms": 18000.0, "tip_multiple": 4.0, "fall_ms": 1500.0,
            "ask_within_ms": 10000.0},
    })
}

#[test]
fn newer_format_and_older_defaults() {
    let config = MixerConfig::from_json(&newer_settings()).expect("good settings");
    let permissions = &config.permissions;
    assert_eq!(
        (permissions.probe, permissions.resubscribe_within_ms, permissions.retry_after_ms),
        (false, Some(10_000.0), None)
    );
    assert_eq!(
        (
            config.table_types[0].required_weight,
            config.table_types[0].minimum_weight,
            config.load_share_index
        ),
        (1.0, 0.8, Some(1))
    );
    let mut older = newer_settings();
    older["permissions"]["probing"] = json!(true);
    for key in ["discovery", "report", "weight_source", "worth_by"] {
        older.as_object_mut().expect("an object").remove(key);
    }
    let config = MixerConfig::from_json(&older).expect("good settings");
    assert_eq!((config.permissions.resubscribe_within_ms, config.load_share_index), (None, None));
}

#[test]
fn contradictory_settings() {
    let refused = |path: &str, value: serde_json::Value| {
        let mut settings = newer_settings();
        *settings.pointer_mut(path).expect("a key") = value;
        MixerConfig::from_json(&settings).expect_err("refused").to_string()
    };
    let errors = [
        refused("/report/via", json!("probe")),
        refused("/report/via", json!("post")),
        refused("/discovery", json!("poll")),
        refused("/rules/ask_within_ms", json!(null)),
        refused("/rules/ask_within_ms", json!(0.0)),
        refused("/rules/ask_within_ms", json!("soon")),
        refused("/family_info/class_need", json!([0.7])),
        refused("/family_info/floor_by_class", json!([1.2])),
        refused("/family_info/partial_earns", json!([-1.0])),
        refused("/weight_source", json!("heavy")),
        refused("/worth_by", json!("weight")),
        refused("/permissions/probing", json!("perhaps")),
    ];
    let keys = [
        "report.via",
        "report.via",
        "discovery",
        "rules.ask_within_ms",
        "rules.ask_within_ms",
        "rules.ask_within_ms",
        "family_info.floor_by_class",
        "family_info.floor_by_class",
        "family_info.partial_earns",
        "weight_source",
        "worth_by",
        "permissions.probing",
    ];
    for (error, key) in errors.iter().zip(keys) {
        assert!(error.contains(key), "{error:?} does not name {key}");
    }
}

#[test]
fn reload_of_contradictory_settings() {
    let file = |settings: serde_json::Value| {
        json!({"name": "m", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1f", "settings": settings})
            .to_string()
    };
    let start = StartupConfig::read(&file(newer_settings()), |_| None).expect("a good file");
    let mut mixed = newer_settings();
    mixed["report"]["via"] = json!("probe");
    let error = format!("{:#}", start.reload(&file(mixed), |_| None).expect_err("refused"));
    assert!(error.contains("report.via=probe can't go with permissions.probing=false"), "{error}");
    let change = start.reload(&file(newer_settings()), |_| None).expect("a good file");
    assert!(change.needs_restart.is_empty());
}
