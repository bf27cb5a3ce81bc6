//! The council's file: what it keeps over an end, and which files it refuses.

use std::path::Path;

use pewterwharf_council::file::{File, Owner};
use pewterwharf_council::{Change, Council, Disk, Fault, Kept, Machine, Terms};
use serde::{Deserialize, Serialize};

fn owner(name: &str) -> Owner {
    Owner { fleet: "praha".to_owned(), name: name.to_owned() }
}

fn open(path: &Path) -> Result<(File, u64, Kept), Fault> {
    File::open(path, &owner("m1"), 7)
}

fn changes() -> Vec<Change> {
    let entry = |n: u8| vec![n; 3];
    vec![
        Change::Vote(vec![9, 9]),
        Change::Log { from: 1, entries: (1..=6).map(entry).collect() },
        Change::Decided(4),
        Change::Log { from: 5, entries: vec![entry(50)] },
        Change::Folded(vec![1, 2, 3]),
        Change::Trim { first: 3, term: 2 },
    ]
}

#[test]
fn what_was_kept_is_found_and_is_what_the_rule_says() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("council");
    let (mut file, member, kept) = open(&path).expect("it is made");
    assert_eq!((member, &kept), (7, &Kept::default()));
    let mut expected = Kept::default();
    for change in changes() {
        expected.change(&change);
        file.keep(&[change]).expect("it is kept");
    }
    drop(file);
    let (_file, member, kept) = File::open(&path, &owner("m1"), 8).expect("it is there");
    assert_eq!(member, 7, "the number stays with the file");
    assert_eq!(kept, expected);
    assert_eq!((kept.first, kept.log.len(), kept.decided), (3, 3, 4));
}

#[test]
fn files_of_others_and_files_that_are_held_or_damaged_are_refused() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("council");
    let (mut file, ..) = open(&path).expect("it is made");
    file.keep(&changes()).expect("it is kept");
    assert!(matches!(open(&path), Err(Fault::InUse)));
    drop(file);
    let other = File::open(&path, &owner("m2"), 1).expect_err("it is of another");
    assert_eq!(
        other.to_string(),
        "the council's file is of m1 of fleet praha, and this is m2 of fleet praha"
    );
    let fleet = Owner { fleet: "brno".to_owned(), ..owner("m1") };
    assert!(matches!(File::open(&path, &fleet, 1), Err(Fault::Foreign { .. })));
    // Cut short, and overwritten at its begin.
    let whole = std::fs::read(&path).expect("it can be read");
    for damaged in [&whole[..whole.len() / 3], &[0; 4096][..], &[][..]] {
        std::fs::write(&path, damaged).expect("it can be written");
        let told = open(&path);
        assert!(matches!(told, Err(Fault::Damaged(_))), "{:?}", told.map(|f| f.1));
    }
    std::fs::write(&path, &whole).expect("it can be written");
    assert!(open(&path).is_ok());
}

#[test]
fn a_crash_while_the_file_is_made_leaves_nothing_in_its_place() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("council");
    std::fs::write(path.with_extension("new"), b"half of it").expect("it can be written");
    assert_eq!(open(&path).expect("it is made anew").1, 7);
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Sum(u64);

impl Machine for Sum {
    type Order = u64;

    fn carry_out(&mut self, order: &u64) {
        self.0 += order;
    }
}

/// One member is a council of its own: all that was carried out is there after each end, with the log kept short.
#[test]
fn what_was_carried_out_is_there_after_an_end() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("council");
    let mut sum = 0;
    for start in 0..4u64 {
        let (file, me, kept) = open(&path).expect("it opens");
        let terms = Terms { me, members: vec![me], seed: start };
        let mut council: Council<Sum, File> = Council::new(&terms, &kept, file).expect("it begins");
        assert!(kept.log.len() < 1600, "{}", kept.log.len());
        while !council.leads() {
            council.tick();
            assert_eq!(council.words(), []);
        }
        assert_eq!(council.state().0, sum);
        for order in 0..400 {
            council.order(&order).expect("it is taken");
            assert_eq!(council.words(), []);
            sum += order;
        }
        assert_eq!(council.state().0, sum);
    }
}
