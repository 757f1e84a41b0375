//! Disk store: one redb file in the data directory.
//!
//! The file is created under a temporary name, synced and then renamed, so that the final name only ever
//! refers to a file that was complete. If that file can't be read, it is damaged, never an interrupted
//! creation.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use redb::backends::FileBackend;
use redb::{Builder, Database, Durability, ReadableDatabase, StorageBackend, TableDefinition};
use storage::{Batch, KeyValuePairs, Operation, Store, StoreError};

const FILE_NAME: &str = "ledger.redb";
/// Name of the file while it is created; it holds nothing of value under this name.
const TEMPORARY_NAME: &str = "ledger.new";
/// Name of a damaged file that was set aside.
const SET_ASIDE_NAME: &str = "ledger.bad";
const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("ledger");
const CACHE_BYTES: usize = 1 << 20;
/// Newest version of redb's file format that the library reads. The library itself reports a file of a newer
/// version as damaged.
const NEWEST_FORMAT_VERSION: u8 = 3;
/// Where a file states its format version, once for each of its two commit slots, according to redb 4's notes
/// on its header.
const FORMAT_VERSION_OFFSETS: [usize; 2] = [64, 192];
const HEADER_BYTES: usize = 256;
const MAGIC: &[u8] = b"redb\x1a\x0a\xa9\x0d\x0a";

/// Operations that a store needs on a directory. Tests provide one that simulates power failures.
pub trait Directory: Send {
    type File: StorageBackend;

    /// Opens a file if it exists.
    fn open(&self, name: &str) -> io::Result<Option<Self::File>>;
    /// Creates an empty file, in place of an existing one of that name.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Renames a file, in place of an existing one of the new name. Durable only after `sync`.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Makes the names in the directory durable.
    fn sync(&self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Debug)]
pub struct FsDirectory(PathBuf);

impl Directory for FsDirectory {
    type File = FileBackend;

    fn open(&self, name: &str) -> io::Result<Option<FileBackend>> {
        match OpenOptions::new().read(true).write(true).open(self.0.join(name)) {
            Ok(file) => FileBackend::new(file).map(Some).map_err(io::Error::other),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn create(&self, name: &str) -> io::Result<FileBackend> {
        let path = self.0.join(name);
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        FileBackend::new(file).map_err(io::Error::other)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}

/// A store in one file of a directory. Each batch is one transaction, synced before the call returns.
pub struct DiskStore<F: Directory = FsDirectory> {
    directory: F,
    /// `None` after a failure: the contents of the disk are unknown then, and the file is rewritten before it
    /// is used.
    database: Option<Database>,
}

impl DiskStore<FsDirectory> {
    /// Opens the store in `dir`, or creates an empty one. Fails with `Damaged` if the file can't be read: it
    /// may hold acknowledged data, so it is not replaced.
    pub fn open(dir: &Path) -> Result<Self, StoreError> {
        fs::create_dir_all(dir).map_err(|e| failed("creating the data directory", &e))?;
        Self::open_in(FsDirectory(dir.to_owned()))
    }

    /// Renames a damaged file, so that the next `open` creates an empty store. The disk then gets a new id,
    /// and nothing that was acknowledged under the old one is expected of it.
    pub fn set_aside(dir: &Path) -> Result<(), StoreError> {
        Self::set_aside_in(&FsDirectory(dir.to_owned()))
    }

    /// Whether a damaged file was ever set aside in `dir`: the disk has then been in use before, even if
    /// nothing has been stored on it since.
    pub fn was_set_aside(dir: &Path) -> bool {
        dir.join(SET_ASIDE_NAME).exists()
    }
}

impl<F: Directory> DiskStore<F> {
    /// Like `open`, in any directory.
    pub fn open_in(directory: F) -> Result<Self, StoreError> {
        let database = open_rewritten(&directory)?;
        Ok(Self { directory, database: Some(database) })
    }

    /// Like `set_aside`, in any directory.
    pub fn set_aside_in(directory: &F) -> Result<(), StoreError> {
        directory.rename(FILE_NAME, SET_ASIDE_NAME).map_err(|e| failed("setting the file aside", &e))?;
        directory.sync().map_err(|e| failed("syncing the directory", &e))
    }

    /// Runs an operation on the database. After any failure the database is closed and its contents are in
    /// doubt.
    fn with_database<T>(
        &mut self, doing: &'static str, work: impl FnOnce(&Database) -> Result<T, redb::Error>,
    ) -> Result<T, StoreError> {
        let database = match self.database.take() {
            Some(database) => database,
            None => open_rewritten(&self.directory)?,
        };
        let result = guarded(doing, || work(&database))?;
        self.database = Some(database);
        Ok(result)
    }
}

impl<F: Directory> Store for DiskStore<F> {
    fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        self.with_database("writing", |database| write(database, batch))
    }

    fn scan(&mut self, from: &[u8], until: &[u8]) -> Result<KeyValuePairs, StoreError> {
        self.with_database("reading", |database| read(database, from, until))
    }
}

impl<F: Directory> fmt::Debug for DiskStore<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DiskStore").field("in_doubt", &self.database.is_none()).finish()
    }
}

/// Reads the existing file, if any, and replaces it by a new file with the same contents. Done at every start
/// and after every failure, since a sync may have failed, in this process or in one that was killed. After a
/// failed sync, the system counts pages as written that are not on the disk: they can still be read, and no
/// later sync writes them.
fn open_rewritten<F: Directory>(directory: &F) -> Result<Database, StoreError> {
    let mut batch = Batch::default();
    if let Some(file) = directory.open(FILE_NAME).map_err(|e| failed("opening", &e))? {
        if let Some(version) = newer_format_version(&file).map_err(|e| failed("opening", &e))? {
            let why = format!(
                "the file has version {version} of the library's format, {NEWEST_FORMAT_VERSION} is read here"
            );
            return Err(StoreError::Failed { operation: "opening", reason: why });
        }
        let database = open_file("opening", file)?;
        let pairs = guarded("reading", || read(&database, &[], &[]))?;
        batch.operations.extend(pairs.into_iter().map(|(key, value)| Operation::Put { key, value }));
    }
    let file = directory.create(TEMPORARY_NAME).map_err(|e| failed("creating the file", &e))?;
    let database = open_file("creating the file", file)?;
    guarded("creating the file", || write(&database, &batch))?;
    directory.rename(TEMPORARY_NAME, FILE_NAME).map_err(|e| failed("renaming the file", &e))?;
    directory.sync().map_err(|e| failed("syncing the directory", &e))?;
    Ok(database)
}

/// The format version of a file that a newer library wrote, or `None` for any other file. As a store is
/// rewritten at each start, such a file states its version in both slots; in one slot alone, it is damage.
fn newer_format_version(file: &impl StorageBackend) -> io::Result<Option<u8>> {
    let mut header = [0; HEADER_BYTES];
    if file.len()? < header.len() as u64 {
        return Ok(None);
    }
    file.read(0, &mut header)?;
    let [first, second] = FORMAT_VERSION_OFFSETS.map(|offset| header[offset]);
    Ok((header.starts_with(MAGIC) && first == second && first > NEWEST_FORMAT_VERSION).then_some(first))
}

fn open_file(doing: &'static str, file: impl StorageBackend) -> Result<Database, StoreError> {
    guarded(doing, || {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
        Ok(builder.create_with_backend(file)?)
    })
}

fn write(database: &Database, batch: &Batch) -> Result<(), redb::Error> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(Durability::Immediate)?;
    {
        let mut table = transaction.open_table(TABLE)?;
        for step in &batch.operations {
            match step {
                Operation::Put { key, value } => {
                    table.insert(&key[..], &value[..])?;
                }
                Operation::Delete { key } => {
                    table.remove(&key[..])?;
                }
                Operation::DeleteRange { from, until } if from < until => {
                    table.retain_in(&from[..]..&until[..], |_, _| false)?;
                }
                Operation::DeleteRange { .. } => {}
            }
        }
    }
    transaction.commit()?;
    Ok(())
}

fn read(database: &Database, from: &[u8], until: &[u8]) -> Result<KeyValuePairs, redb::Error> {
    let table = database.begin_read()?.open_table(TABLE)?;
    let range = if until.is_empty() { table.range(from..)? } else { table.range(from..until.max(from))? };
    range
        .map(|pair| {
            let (key, value) = pair?;
            Ok((key.value().to_vec(), value.value().to_vec()))
        })
        .collect()
}

/// Converts the library's errors, and its panics on a damaged file, to `StoreError`.
fn guarded<T>(doing: &'static str, work: impl FnOnce() -> Result<T, redb::Error>) -> Result<T, StoreError> {
    match catch_unwind(AssertUnwindSafe(work)) {
        Ok(Ok(result)) => Ok(result),
        Ok(Err(redb::Error::Io(error)))
            if !matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
        {
            Err(failed(doing, &error))
        }
        // A file of another version of the library is not damaged: a program with that version can read it.
        Ok(Err(
            error @ (redb::Error::PreviousIo
            | redb::Error::DatabaseAlreadyOpen
            | redb::Error::UpgradeRequired(_)),
        )) => Err(failed(doing, &error)),
        Ok(Err(error)) => Err(StoreError::Damaged { reason: error.to_string() }),
        Err(_) => Err(StoreError::Damaged { reason: format!("panic while {doing}") }),
    }
}

fn failed(doing: &'static str, error: &dyn std::error::Error) -> StoreError {
    StoreError::Failed { operation: doing, reason: error.to_string() }
}
