//! The consensus file: what it keeps across restarts, and which files it rejects.

use std::path::Path;

use pewterwharf_council::file::{FileStorage, OpenedFile, Owner};
use pewterwharf_council::{
    ConsensusConfig, ConsensusNode, PersistedState, StableStorage, StateMachine, StorageChange, StorageError,
};
use serde::{Deserialize, Serialize};

fn owner(name: &str) -> Owner {
    Owner { fleet: "praha".to_owned(), name: name.to_owned() }
}

fn open(path: &Path) -> Result<OpenedFile, StorageError> {
    FileStorage::open(path, &owner("m1"), 7)
}

fn changes() -> Vec<StorageChange> {
    let entry = |n: u8| vec![n; 3];
    vec![
        StorageChange::Vote(vec![9, 9]),
        StorageChange::WriteLog { from: 1, entries: (1..=6).map(entry).collect() },
        StorageChange::Commit(4),
        StorageChange::WriteLog { from: 5, entries: vec![entry(50)] },
        StorageChange::Snapshot(vec![1, 2, 3]),
        StorageChange::CompactLog { first: 3, term: 2 },
    ]
}

#[test]
fn persisted_state_round_trip() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("council");
    let OpenedFile { mut storage, member, state } = open(&path).expect("it is created");
    assert_eq!((member, &state), (7, &PersistedState::default()));
    let mut expected = PersistedState::default();
    for change in changes() {
        expected.apply(&change);
        storage.persist(&[change]).expect("it is written");
    }
    drop(storage);
    let opened = FileStorage::open(&path, &owner("m1"), 8).expect("it exists");
    assert_eq!(opened.member, 7, "the number belongs to the file");
    assert_eq!(opened.state, expected);
    assert_eq!((opened.state.first, opened.state.log.len(), opened.state.commit), (3, 3, 4));
}

#[test]
fn rejected_files() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("council");
    let mut storage = open(&path).expect("it is created").storage;
    storage.persist(&changes()).expect("it is written");
    assert!(matches!(open(&path), Err(StorageError::InUse)));
    drop(storage);
    let foreign = FileStorage::open(&path, &owner("m2"), 1).expect_err("it belongs to another member");
    assert_eq!(
        foreign.to_string(),
        "the consensus file belongs to m1 of fleet praha, expected m2 of fleet praha"
    );
    let other_fleet = Owner { fleet: "brno".to_owned(), ..owner("m1") };
    assert!(matches!(FileStorage::open(&path, &other_fleet, 1), Err(StorageError::ForeignOwner { .. })));
    // Truncated, zeroed at the beginning, and empty.
    let whole = std::fs::read(&path).expect("it can be read");
    for corrupt in [&whole[..whole.len() / 3], &[0; 4096][..], &[][..]] {
        std::fs::write(&path, corrupt).expect("it can be written");
        let opened = open(&path);
        assert!(matches!(opened, Err(StorageError::Corrupt(_))), "{:?}", opened.map(|opened| opened.member));
    }
    std::fs::write(&path, &whole).expect("it can be written");
    assert!(open(&path).is_ok());
}

#[test]
fn crash_during_creation() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("council");
    std::fs::write(path.with_extension("new"), b"half of it").expect("it can be written");
    assert_eq!(open(&path).expect("it is created").member, 7);
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Sum(u64);

impl StateMachine for Sum {
    type Command = u64;

    fn apply(&mut self, command: &u64) {
        self.0 += command;
    }
}

/// A group of one member: applied commands survive each restart, and the log stays short.
#[test]
fn applied_commands_after_restarts() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("council");
    let mut sum = 0;
    for start in 0..4u64 {
        let OpenedFile { storage, member, state } = open(&path).expect("it opens");
        let config = ConsensusConfig { member, members: vec![member], seed: start };
        let mut node: ConsensusNode<Sum, FileStorage> =
            ConsensusNode::new(&config, &state, storage).expect("it starts");
        assert!(state.log.len() < 1600, "{}", state.log.len());
        while !node.is_leader() {
            node.tick();
            assert_eq!(node.messages(), []);
        }
        assert_eq!(node.state().0, sum);
        for command in 0..400 {
            node.propose(&command).expect("it is accepted");
            assert_eq!(node.messages(), []);
            sum += command;
        }
        assert_eq!(node.state().0, sum);
    }
}
