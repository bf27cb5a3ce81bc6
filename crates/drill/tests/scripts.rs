//! Tests of the script language: parsing, printing, error messages, random scripts and shrinking.

use insta::assert_snapshot;
use pewterwharf_drill::{Script, draw, shrink};

/// The example in the developers' documentation, unchanged.
const EXAMPLE: &str = r#"(drill "half the fleet is cut off" (mixers 5) (searchers 8) (load 40)
  (at 1s (partition (m1 m2) (m3 m4 m5)))
  (at 2s (hang s3))
  (at 4s (stall m2 3s)) (at 4s (kill m4)) (at 6s (start m4))
  (at 6s (drop (from m1) (to m3)))
  (at 9s (heal))
  (expect (agree (within 10s)))
  (expect (answered 0.9)))"#;

#[test]
fn example_round_trip() {
    let scripts = Script::read(EXAMPLE).expect("it can be parsed");
    let printed = scripts[0].to_string();
    assert_eq!(Script::read(&printed), Ok(scripts));
    assert_snapshot!(printed, @r#"
    (drill "half the fleet is cut off" (mixers 5) (searchers 8) (load 40)
      (at 1s (partition (m1 m2) (m3 m4 m5)))
      (at 2s (hang s3))
      (at 4s (stall m2 3s))
      (at 4s (kill m4))
      (at 6s (start m4))
      (at 6s (drop (from m1) (to m3)))
      (at 9s (heal))
      (expect (agree (within 10s)))
      (expect (answered 0.9)))
    "#);
}

#[test]
fn all_forms_round_trip() {
    let text = r#"(drill "all" (mixers 3) (searchers 2) (load 5)
      (at 1ms (cut m1 m2)) (at 2ms (cut (from m1) (to m2))) (at 3ms (delay m1 m2 200ms)) (at 4ms (delay (from m2) (to m3) 1s))
      (at 5ms (flip m1 m2)) (at 6ms (slow m1 m2 1000)) (at 7ms (refuse m1 m3)) (at 8ms (half-open (from m3) (to m1)))
      (at 9ms (heal m1 m2)) (at 10ms (heal (from m1) (to m2))) (at 11ms (start m1 fresh)) (at 12ms (start m1 kept))
      (at 13ms (term m3)) (at 14ms (twin m2)) (at 15ms (die s1)) (at 16ms (return s1)) (at 17ms (drain s2))
      (at 18ms (lose-discovery)) (at 19ms (lose-discovery m1 m2)) (at 20ms (find-discovery m1))
      (at 21ms (clock m1 ahead 1h)) (at 22ms (clock m2 behind 90s)) (forget 3s) (expect (no-marks (within 4s)))
      (expect (members 3)) (expect (agree)) (expect (aside m2 (within 2s))))"#;
    let scripts = Script::read(text).expect("it can be parsed");
    assert_eq!(scripts[0].steps.len(), 22);
    assert_eq!(Script::read(&scripts[0].to_string()), Ok(scripts));
}

#[test]
fn parse_errors() {
    let error = |text: &str| Script::read(text).expect_err("it is invalid").to_string();
    let action_error = |action: &str| error(&format!("(drill \"x\" (mixers 3)\n  (at 1s {action}))"));
    let errors = [
        error(""),
        error("(drill)"),
        error("(dril \"x\")"),
        error("(drill \"x\" (mixers 30))"),
        error("(drill \"x\" (at soon (kill m1)))"),
        action_error("(kil m1)"),
        action_error("(kill m4)"),
        action_error("(kill s1)"),
        action_error("(kill m1 m2)"),
        action_error("(partition)"),
        action_error("(partition m1 m2)"),
        action_error("(drop m1)"),
        action_error("(drop (from m1) (two m2))"),
        action_error("(delay m1 m2)"),
        action_error("(start m1 old)"),
        action_error("(clock m1 1h)"),
        action_error("(clock m1 off 1h)"),
        error("(drill \"x\" (expect (agreed)))"),
        error("(drill \"x\" (expect (answered 2)))"),
        error("(drill \"x\" (expect (agree (with 2s))))"),
    ];
    assert_snapshot!(errors.join("\n"));
}

#[test]
fn random_scripts() {
    for seed in 0..500 {
        let script = draw(seed);
        assert_eq!(script, draw(seed));
        let text = script.to_string();
        assert_eq!(Script::read(&text), Ok(vec![script]), "{text}");
    }
}

#[test]
fn shrinking() {
    let script = Script::read(EXAMPLE).expect("it can be parsed").remove(0);
    let smallest = shrink(&script, 100, |s| {
        let text = s.to_string();
        text.contains("kill m4") && text.contains("hang s3")
    });
    assert_eq!(smallest.steps.len(), 2, "{smallest}");
}
