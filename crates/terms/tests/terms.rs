//! The simulator's text and a mixer's JSON give the same terms.

use pewterwharf_terms::{Start, Terms};
use serde_json::json;

#[test]
fn text_and_json_are_read_alike() {
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
    let terms = Terms::of_text(text).expect("good settings");
    assert_eq!(format!("{terms:#?}"), format!("{:#?}", Terms::of_json(&json).expect("good settings")));
    assert_eq!((terms.layout.cells, terms.zones.len(), terms.customers.len()), (3, 2, 2));
}

/// Settings of the new shape: no probes, a list that is asked for, a least share under the whole, reports in answers.
fn moved() -> serde_json::Value {
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
fn the_new_shape_is_read_and_the_old_one_keeps_its_defaults() {
    let terms = Terms::of_json(&moved()).expect("good settings");
    let permits = &terms.permits;
    assert_eq!(
        (permits.probe, permits.resubscribe_within_ms, permits.retry_after_ms),
        (false, Some(10_000.0), None)
    );
    assert_eq!(
        (terms.types[0].required_weight, terms.types[0].minimum_weight, terms.busy_at),
        (1.0, 0.8, Some(1))
    );
    let mut old = moved();
    old["permissions"]["probing"] = json!(true);
    for key in ["discovery", "report", "weight_source", "worth_by"] {
        old.as_object_mut().expect("an object").remove(key);
    }
    let terms = Terms::of_json(&old).expect("good settings");
    assert_eq!((terms.permits.resubscribe_within_ms, terms.busy_at), (None, None));
}

#[test]
fn settings_that_mix_the_shapes_are_refused_by_their_key() {
    let refused = |path: &str, value: serde_json::Value| {
        let mut settings = moved();
        *settings.pointer_mut(path).expect("a key") = value;
        Terms::of_json(&settings).expect_err("refused").to_string()
    };
    let words = [
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
    for (said, key) in words.iter().zip(keys) {
        assert!(said.contains(key), "{said:?} does not name {key}");
    }
}

#[test]
fn a_file_that_mixes_the_shapes_changes_nothing_at_a_hang_up() {
    let file = |settings: serde_json::Value| {
        json!({"name": "m", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1f", "settings": settings})
            .to_string()
    };
    let start = Start::read(&file(moved()), |_| None).expect("a good file");
    let mut mixed = moved();
    mixed["report"]["via"] = json!("probe");
    let said = format!("{:#}", start.again(&file(mixed), |_| None).expect_err("refused"));
    assert!(said.contains("report.via=probe can't go with permissions.probing=false"), "{said}");
    let change = start.again(&file(moved()), |_| None).expect("a good file");
    assert!(change.at_restart.is_empty());
}
