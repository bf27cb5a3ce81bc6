//! Stable storage in one file.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};

use crate::MemberId;
use crate::storage::{PersistedState, StableStorage, StorageChange, StorageError};

/// Log entries by index.
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Everything else, by the keys below.
const VALUES_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("rest");
const FORMAT_KEY: &str = "form";
const FLEET_KEY: &str = "fleet";
const NAME_KEY: &str = "name";
const MEMBER_KEY: &str = "member";
const FIRST_KEY: &str = "first";
const TERM_KEY: &str = "term";
const COMMIT_KEY: &str = "decided";
const VOTE_KEY: &str = "vote";
const SNAPSHOT_KEY: &str = "folded";
/// Memory that the database may use as a cache.
const CACHE_BYTES: usize = 1 << 20;
/// Version of the file format.
const FORMAT: u64 = 1;

/// The member that a file belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    pub fleet: String,
    pub name: String,
}

/// An open consensus file.
#[derive(Debug)]
pub struct FileStorage {
    database: Database,
    path: PathBuf,
}

/// What an opened file contains.
#[derive(Debug)]
pub struct OpenedFile {
    pub storage: FileStorage,
    pub member: MemberId,
    pub state: PersistedState,
}

fn io_error(error: impl std::fmt::Display) -> StorageError {
    StorageError::Io(error.to_string())
}

fn corrupt(error: impl std::fmt::Display) -> StorageError {
    StorageError::Corrupt(error.to_string())
}

fn open_error(error: DatabaseError) -> StorageError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => StorageError::InUse,
        DatabaseError::Storage(redb::StorageError::Io(error)) if error.kind() != ErrorKind::InvalidData => {
            io_error(error)
        }
        error => corrupt(error),
    }
}

fn decode_u64(bytes: &[u8]) -> Result<u64, StorageError> {
    bytes.try_into().map(u64::from_le_bytes).map_err(|_| corrupt("a number does not have eight bytes"))
}

impl FileStorage {
    /// Opens the file, or creates it with this member number.
    ///
    /// # Errors
    /// If the file can't be opened, belongs to another member, is corrupt, or is open in another process. An
    /// existing file is never replaced: the member would lose the votes and entries that it has acknowledged.
    pub fn open(path: &Path, owner: &Owner, new_member: MemberId) -> Result<OpenedFile, StorageError> {
        if !path.exists() {
            Self::create(path, owner, new_member)?;
        }
        let database = Database::builder().set_cache_size(CACHE_BYTES).open(path).map_err(open_error)?;
        let storage = Self { database, path: path.to_owned() };
        let (member, state) = storage.read(owner)?;
        Ok(OpenedFile { storage, member, state })
    }

    /// Creates the file under another name and renames it once it is complete, so that a crash in between
    /// leaves nothing that looks like a corrupt file.
    fn create(path: &Path, owner: &Owner, member: MemberId) -> Result<(), StorageError> {
        let temporary = path.with_extension("new");
        match std::fs::remove_file(&temporary) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(io_error(error)),
            _ => {}
        }
        let database = Database::builder().create(&temporary).map_err(open_error)?;
        Self { database, path: temporary.clone() }.initialize(owner, member)?;
        std::fs::rename(&temporary, path).map_err(io_error)?;
        let directory = path.parent().filter(|dir| !dir.as_os_str().is_empty()).unwrap_or(Path::new("."));
        std::fs::File::open(directory).and_then(|directory| directory.sync_all()).map_err(io_error)
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    fn initialize(&self, owner: &Owner, member: MemberId) -> Result<(), StorageError> {
        let transaction = self.database.begin_write().map_err(io_error)?;
        {
            let mut values = transaction.open_table(VALUES_TABLE).map_err(io_error)?;
            values.insert(FORMAT_KEY, FORMAT.to_le_bytes().as_slice()).map_err(io_error)?;
            values.insert(FLEET_KEY, owner.fleet.as_bytes()).map_err(io_error)?;
            values.insert(NAME_KEY, owner.name.as_bytes()).map_err(io_error)?;
            values.insert(MEMBER_KEY, member.to_le_bytes().as_slice()).map_err(io_error)?;
            transaction.open_table(LOG_TABLE).map_err(io_error)?;
        }
        transaction.commit().map_err(io_error)
    }

    fn read(&self, owner: &Owner) -> Result<(MemberId, PersistedState), StorageError> {
        let transaction = self.database.begin_read().map_err(io_error)?;
        let values = transaction.open_table(VALUES_TABLE).map_err(corrupt)?;
        let get = |key: &str| -> Result<Option<Vec<u8>>, StorageError> {
            Ok(values.get(key).map_err(corrupt)?.map(|value| value.value().to_vec()))
        };
        let get_text = |key: &str| -> Result<String, StorageError> {
            let bytes = get(key)?.ok_or_else(|| corrupt(format!("{key} is missing")))?;
            String::from_utf8(bytes).map_err(corrupt)
        };
        let get_number = |key: &str| get(key)?.map_or(Ok(0), |bytes| decode_u64(&bytes));
        let format = get_number(FORMAT_KEY)?;
        if format != FORMAT {
            return Err(corrupt(format!("it has format {format}, this program reads format {FORMAT}")));
        }
        let found = Owner { fleet: get_text(FLEET_KEY)?, name: get_text(NAME_KEY)? };
        if found != *owner {
            let describe = |owner: &Owner| format!("{} of fleet {}", owner.name, owner.fleet);
            return Err(StorageError::ForeignOwner { found: describe(&found), expected: describe(owner) });
        }
        let member = get_number(MEMBER_KEY)?;
        if member == 0 {
            return Err(corrupt("the member number is missing"));
        }
        let mut state = PersistedState {
            first: get_number(FIRST_KEY)?,
            term: get_number(TERM_KEY)?,
            commit: get_number(COMMIT_KEY)?,
            vote: get(VOTE_KEY)?,
            snapshot: get(SNAPSHOT_KEY)?,
            log: Vec::new(),
        };
        let log = transaction.open_table(LOG_TABLE).map_err(corrupt)?;
        for entry in log.iter().map_err(corrupt)? {
            let (index, bytes) = entry.map_err(corrupt)?;
            if index.value() != state.first.max(1) + state.log.len() as u64 {
                return Err(corrupt(format!("log entry {} is out of place", index.value())));
            }
            state.log.push(bytes.value().to_vec());
        }
        Ok((member, state))
    }
}

impl StableStorage for FileStorage {
    fn persist(&mut self, changes: &[StorageChange]) -> Result<(), StorageError> {
        let transaction = self.database.begin_write().map_err(io_error)?;
        {
            let mut log = transaction.open_table(LOG_TABLE).map_err(io_error)?;
            let mut values = transaction.open_table(VALUES_TABLE).map_err(io_error)?;
            let mut set = |key: &str, value: &[u8]| values.insert(key, value).map(|_| ()).map_err(io_error);
            for change in changes {
                match change {
                    StorageChange::WriteLog { from, entries } => {
                        log.retain_in(*from.., |_, _| false).map_err(io_error)?;
                        for (index, entry) in (*from..).zip(entries) {
                            log.insert(index, entry.as_slice()).map_err(io_error)?;
                        }
                    }
                    StorageChange::CompactLog { first, term } => {
                        log.retain_in(..*first, |_, _| false).map_err(io_error)?;
                        set(FIRST_KEY, &first.to_le_bytes())?;
                        set(TERM_KEY, &term.to_le_bytes())?;
                    }
                    StorageChange::Vote(bytes) => set(VOTE_KEY, bytes)?,
                    StorageChange::Commit(index) => set(COMMIT_KEY, &index.to_le_bytes())?,
                    StorageChange::Snapshot(bytes) => set(SNAPSHOT_KEY, bytes)?,
                }
            }
        }
        transaction.commit().map_err(io_error)
    }
}
