//! The simulator's text and a mixer's JSON give the same terms.

use pewterwharf_terms::Terms;
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
