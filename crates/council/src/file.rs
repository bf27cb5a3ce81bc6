//! A disk that is one file.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition};

use crate::Member;
use crate::disk::{Change, Disk, Fault, Kept};

/// Entries of the log, by their places.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Everything else, by name.
const REST: TableDefinition<&str, &[u8]> = TableDefinition::new("rest");
/// Memory that the file may hold on to.
const CACHE: usize = 1 << 20;
/// The form of the file.
const FORM: u64 = 1;

/// Whose a file is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    pub fleet: String,
    pub name: String,
}

/// A council's file, open.
#[derive(Debug)]
pub struct File {
    base: Database,
    path: PathBuf,
}

fn failed(error: impl std::fmt::Display) -> Fault {
    Fault::Failed(error.to_string())
}

fn damaged(error: impl std::fmt::Display) -> Fault {
    Fault::Damaged(error.to_string())
}

fn unopened(error: DatabaseError) -> Fault {
    match error {
        DatabaseError::DatabaseAlreadyOpen => Fault::InUse,
        DatabaseError::Storage(StorageError::Io(error)) if error.kind() != ErrorKind::InvalidData => {
            failed(error)
        }
        error => damaged(error),
    }
}

fn number(bytes: &[u8]) -> Result<u64, Fault> {
    bytes.try_into().map(u64::from_le_bytes).map_err(|_| damaged("a number is no number"))
}

impl File {
    /// Opens the file, or makes it with that member's number, and tells whose number it is and what was kept.
    ///
    /// # Errors
    /// If it can't be opened, is of another, is damaged, or another process holds it. It is never made anew by itself where
    /// something is there: that would be a member with a shorter memory.
    pub fn open(path: &Path, owner: &Owner, drawn: Member) -> Result<(Self, Member, Kept), Fault> {
        if !path.exists() {
            // Under another name until it is whole: a crash meanwhile leaves nothing that looks like a damaged file.
            let begun = path.with_extension("new");
            match std::fs::remove_file(&begun) {
                Err(error) if error.kind() != ErrorKind::NotFound => return Err(failed(error)),
                _ => {}
            }
            let base = Database::builder().create(&begun).map_err(unopened)?;
            Self { base, path: begun.clone() }.begin(owner, drawn)?;
            std::fs::rename(&begun, path).map_err(failed)?;
            let dir = path.parent().filter(|dir| !dir.as_os_str().is_empty()).unwrap_or(Path::new("."));
            std::fs::File::open(dir).and_then(|dir| dir.sync_all()).map_err(failed)?;
        }
        let base = Database::builder().set_cache_size(CACHE).open(path).map_err(unopened)?;
        let file = Self { base, path: path.to_owned() };
        let (member, kept) = file.read(owner)?;
        Ok((file, member, kept))
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    fn begin(&self, owner: &Owner, drawn: Member) -> Result<(), Fault> {
        let write = self.base.begin_write().map_err(failed)?;
        {
            let mut rest = write.open_table(REST).map_err(failed)?;
            rest.insert("form", FORM.to_le_bytes().as_slice()).map_err(failed)?;
            rest.insert("fleet", owner.fleet.as_bytes()).map_err(failed)?;
            rest.insert("name", owner.name.as_bytes()).map_err(failed)?;
            rest.insert("member", drawn.to_le_bytes().as_slice()).map_err(failed)?;
            write.open_table(LOG).map_err(failed)?;
        }
        write.commit().map_err(failed)
    }

    fn read(&self, owner: &Owner) -> Result<(Member, Kept), Fault> {
        let read = self.base.begin_read().map_err(failed)?;
        let rest = read.open_table(REST).map_err(damaged)?;
        let get = |key: &str| -> Result<Option<Vec<u8>>, Fault> {
            Ok(rest.get(key).map_err(damaged)?.map(|value| value.value().to_vec()))
        };
        let text = |key: &str| -> Result<String, Fault> {
            let bytes = get(key)?.ok_or_else(|| damaged(format!("{key} is missing")))?;
            String::from_utf8(bytes).map_err(damaged)
        };
        let count = |key: &str| get(key)?.map_or(Ok(0), |bytes| number(&bytes));
        let form = count("form")?;
        if form != FORM {
            return Err(damaged(format!("it has form {form}, and this program reads {FORM}")));
        }
        let found = Owner { fleet: text("fleet")?, name: text("name")? };
        if found != *owner {
            let say = |o: &Owner| format!("{} of fleet {}", o.name, o.fleet);
            return Err(Fault::Foreign { found: say(&found), expected: say(owner) });
        }
        let member = count("member")?;
        if member == 0 {
            return Err(damaged("no member's number"));
        }
        let mut kept = Kept {
            first: count("first")?,
            term: count("term")?,
            decided: count("decided")?,
            vote: get("vote")?,
            folded: get("folded")?,
            log: Vec::new(),
        };
        let log = read.open_table(LOG).map_err(damaged)?;
        for entry in log.iter().map_err(damaged)? {
            let (place, bytes) = entry.map_err(damaged)?;
            if place.value() != kept.first.max(1) + kept.log.len() as u64 {
                return Err(damaged(format!("entry {} stands where another belongs", place.value())));
            }
            kept.log.push(bytes.value().to_vec());
        }
        Ok((member, kept))
    }
}

impl Disk for File {
    fn keep(&mut self, changes: &[Change]) -> Result<(), Fault> {
        let write = self.base.begin_write().map_err(failed)?;
        {
            let mut log = write.open_table(LOG).map_err(failed)?;
            let mut rest = write.open_table(REST).map_err(failed)?;
            let mut set = |key: &str, value: &[u8]| rest.insert(key, value).map(|_| ()).map_err(failed);
            for change in changes {
                match change {
                    Change::Log { from, entries } => {
                        log.retain_in(*from.., |_, _| false).map_err(failed)?;
                        for (place, entry) in (*from..).zip(entries) {
                            log.insert(place, entry.as_slice()).map_err(failed)?;
                        }
                    }
                    Change::Trim { first, term } => {
                        log.retain_in(..*first, |_, _| false).map_err(failed)?;
                        set("first", &first.to_le_bytes())?;
                        set("term", &term.to_le_bytes())?;
                    }
                    Change::Vote(bytes) => set("vote", bytes)?,
                    Change::Decided(upto) => set("decided", &upto.to_le_bytes())?,
                    Change::Folded(bytes) => set("folded", bytes)?,
                }
            }
        }
        write.commit().map_err(failed)
    }
}
