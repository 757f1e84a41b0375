//! Disk store: one redb file in the data directory.
//!
//! The file is made under another name, synced, then renamed, so that the final name stands only for a file
//! that was whole; what can't be read under it is damage, never a beginning that was cut short.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use redb::backends::FileBackend;
use redb::{Builder, Database, Durability, ReadableDatabase, StorageBackend, TableDefinition};
use storage::{Batch, KeyValuePairs, Operation, Store, StoreError};

const NAME: &str = "ledger.redb";
/// The file while it is made; worth nothing under this name.
const UNBORN: &str = "ledger.new";
const ASIDE: &str = "ledger.bad";
const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("ledger");
const CACHE_BYTES: usize = 1 << 20;
/// The library's file format: the newest version that it reads, and where a file names its own, once for each of
/// its two commits; from redb 4's notes on its header. What it says itself of a newer one is that it is damaged.
const NEWEST: u8 = 3;
const VERSIONS: [usize; 2] = [64, 192];
const MAGIC: &[u8] = b"redb\x1a\x0a\xa9\x0d\x0a";

/// The few things a store asks of a directory; tests put one below it that loses power.
pub trait Directory: Send {
    type File: StorageBackend;

    /// Opens a file if there is one.
    fn open(&self, name: &str) -> io::Result<Option<Self::File>>;
    /// Makes a new, empty file in place of any of that name.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Takes the place of any file of the new name; lasting only after `sync`.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Makes the names last.
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

/// A store in one file of a directory. Each batch is one transaction with one sync before it returns.
pub struct DiskStore<F: Directory = FsDirectory> {
    folder: F,
    /// None after a failure: what is on disk is unknown then, and the file is made anew before it is used.
    database: Option<Database>,
}

impl DiskStore<FsDirectory> {
    /// Opens the store in `dir`, or makes an empty one there. Fails with `Damaged` where the file can't be
    /// read: it may hold what was acknowledged, so nothing is begun over it.
    pub fn open(dir: &Path) -> Result<Self, StoreError> {
        fs::create_dir_all(dir).map_err(|e| failed("making the data directory", &e))?;
        Self::open_in(FsDirectory(dir.to_owned()))
    }

    /// Puts a damaged file out of the way, so that the next `open` begins an empty store: the disk then has a
    /// new life, and nothing it promised in the one before is expected of it.
    pub fn set_aside(dir: &Path) -> Result<(), StoreError> {
        Self::set_aside_in(&FsDirectory(dir.to_owned()))
    }

    /// Whether a damaged file was ever put out of the way in `dir`: the disk then has been in use before, even
    /// where nothing has been kept on it since.
    pub fn was_set_aside(dir: &Path) -> bool {
        dir.join(ASIDE).exists()
    }
}

impl<F: Directory> DiskStore<F> {
    /// As `open`, over any folder.
    pub fn open_in(folder: F) -> Result<Self, StoreError> {
        let database = open_anew(&folder)?;
        Ok(Self { folder, database: Some(database) })
    }

    /// As `set_aside`, in any folder.
    pub fn set_aside_in(folder: &F) -> Result<(), StoreError> {
        folder.rename(NAME, ASIDE).map_err(|e| failed("setting the file aside", &e))?;
        folder.sync().map_err(|e| failed("syncing the folder", &e))
    }

    /// Does something with the database; after a failure of any kind it is closed and in doubt.
    fn with<T>(
        &mut self, doing: &'static str, work: impl FnOnce(&Database) -> Result<T, redb::Error>,
    ) -> Result<T, StoreError> {
        let database = match self.database.take() {
            Some(database) => database,
            None => open_anew(&self.folder)?,
        };
        let done = guarded(doing, || work(&database))?;
        self.database = Some(database);
        Ok(done)
    }
}

impl<F: Directory> Store for DiskStore<F> {
    fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        self.with("writing", |database| write(database, batch))
    }

    fn scan(&mut self, from: &[u8], until: &[u8]) -> Result<KeyValuePairs, StoreError> {
        self.with("reading", |database| read(database, from, until))
    }
}

impl<F: Directory> fmt::Debug for DiskStore<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DiskStore").field("in_doubt", &self.database.is_none()).finish()
    }
}

/// Opens what is there and writes it to a new file, which takes its place; or makes an empty one. WriteOutcome at
/// every start and after every failure, since a sync may have failed, in this process or in one that was
/// killed: pages the system then counts as written are not on the disk, can still be read, and no later sync
/// writes them.
fn open_anew<F: Directory>(folder: &F) -> Result<Database, StoreError> {
    let mut batch = Batch::default();
    if let Some(file) = folder.open(NAME).map_err(|e| failed("opening", &e))? {
        if let Some(version) = newer(&file).map_err(|e| failed("opening", &e))? {
            let why =
                format!("the file has version {version} of the library's format, {NEWEST} is read here");
            return Err(StoreError::Failed { operation: "opening", reason: why });
        }
        let database = open_file("opening", file)?;
        let pairs = guarded("reading", || read(&database, &[], &[]))?;
        batch.operations.extend(pairs.into_iter().map(|(key, value)| Operation::Put { key, value }));
    }
    let file = folder.create(UNBORN).map_err(|e| failed("making the file", &e))?;
    let database = open_file("making the file", file)?;
    guarded("making the file", || write(&database, &batch))?;
    folder.rename(UNBORN, NAME).map_err(|e| failed("naming the file", &e))?;
    folder.sync().map_err(|e| failed("syncing the folder", &e))?;
    Ok(database)
}

/// The version of a file that a newer library made. A store is made anew at each start, so that such a file names
/// it in both places; one of them alone is damage.
fn newer(file: &impl StorageBackend) -> io::Result<Option<u8>> {
    let mut head = [0; 256];
    if file.len()? < head.len() as u64 {
        return Ok(None);
    }
    file.read(0, &mut head)?;
    let [first, second] = VERSIONS.map(|at| head[at]);
    Ok((head.starts_with(MAGIC) && first == second && first > NEWEST).then_some(first))
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

/// Turns the library's errors, and its panics over a damaged file, into values.
fn guarded<T>(doing: &'static str, work: impl FnOnce() -> Result<T, redb::Error>) -> Result<T, StoreError> {
    match catch_unwind(AssertUnwindSafe(work)) {
        Ok(Ok(done)) => Ok(done),
        Ok(Err(redb::Error::Io(error)))
            if !matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
        {
            Err(failed(doing, &error))
        }
        // A file of another version of the library is not damaged: it is for a program that can read it.
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
