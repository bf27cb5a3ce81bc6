//! The language of drills: what is read, what is said where it can't be, and scripts by lot.

use insta::assert_snapshot;
use pewterwharf_drill::{Script, draw, shrink};

/// The example of the page for developers, to the letter.
const EXAMPLE: &str = r#"(drill "half the fleet is cut off" (mixers 5) (searchers 8) (load 40)
  (at 1s (partition (m1 m2) (m3 m4 m5)))
  (at 2s (hang s3))
  (at 4s (stall m2 3s)) (at 4s (kill m4)) (at 6s (start m4))
  (at 6s (drop (from m1) (to m3)))
  (at 9s (heal))
  (expect (agree (within 10s)))
  (expect (answered 0.9)))"#;

#[test]
fn the_example_reads_and_is_printed_as_a_script_that_reads_the_same() {
    let read = Script::read(EXAMPLE).expect("it reads");
    let printed = read[0].to_string();
    assert_eq!(Script::read(&printed), Ok(read));
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
fn every_form_reads_and_prints() {
    let text = r#"(drill "all" (mixers 3) (searchers 2) (load 5)
      (at 1ms (cut m1 m2)) (at 2ms (cut (from m1) (to m2))) (at 3ms (delay m1 m2 200ms)) (at 4ms (delay (from m2) (to m3) 1s))
      (at 5ms (flip m1 m2)) (at 6ms (slow m1 m2 1000)) (at 7ms (refuse m1 m3)) (at 8ms (half-open (from m3) (to m1)))
      (at 9ms (heal m1 m2)) (at 10ms (heal (from m1) (to m2))) (at 11ms (start m1 fresh)) (at 12ms (start m1 kept))
      (at 13ms (term m3)) (at 14ms (twin m2)) (at 15ms (die s1)) (at 16ms (return s1)) (at 17ms (drain s2))
      (at 18ms (lose-discovery)) (at 19ms (lose-discovery m1 m2)) (at 20ms (find-discovery m1))
      (at 21ms (clock m1 ahead 1h)) (at 22ms (clock m2 behind 90s)) (forget 3s) (expect (no-marks (within 4s)))
      (expect (members 3)) (expect (agree)) (expect (aside m2 (within 2s))))"#;
    let read = Script::read(text).expect("it reads");
    assert_eq!(read[0].steps.len(), 22);
    assert_eq!(Script::read(&read[0].to_string()), Ok(read));
}

#[test]
fn what_can_t_be_read_is_told_with_its_place_and_what_was_expected() {
    let told = |text: &str| Script::read(text).expect_err("it can't be read").to_string();
    let of = |action: &str| told(&format!("(drill \"x\" (mixers 3)\n  (at 1s {action}))"));
    let faults = [
        told(""),
        told("(drill)"),
        told("(dril \"x\")"),
        told("(drill \"x\" (mixers 30))"),
        told("(drill \"x\" (at soon (kill m1)))"),
        of("(kil m1)"),
        of("(kill m4)"),
        of("(kill s1)"),
        of("(kill m1 m2)"),
        of("(partition)"),
        of("(partition m1 m2)"),
        of("(drop m1)"),
        of("(drop (from m1) (two m2))"),
        of("(delay m1 m2)"),
        of("(start m1 old)"),
        of("(clock m1 1h)"),
        of("(clock m1 off 1h)"),
        told("(drill \"x\" (expect (agreed)))"),
        told("(drill \"x\" (expect (answered 2)))"),
        told("(drill \"x\" (expect (agree (with 2s))))"),
    ];
    assert_snapshot!(faults.join("\n"));
}

#[test]
fn a_seed_draws_the_same_script_each_time_and_each_reads() {
    for seed in 0..500 {
        let script = draw(seed);
        assert_eq!(script, draw(seed));
        let text = script.to_string();
        assert_eq!(Script::read(&text), Ok(vec![script]), "{text}");
    }
}

#[test]
fn what_a_failure_does_not_need_is_left_out() {
    let script = Script::read(EXAMPLE).expect("it reads").remove(0);
    let smallest = shrink(&script, 100, |s| {
        let text = s.to_string();
        text.contains("kill m4") && text.contains("hang s3")
    });
    assert_eq!(smallest.steps.len(), 2, "{smallest}");
}
