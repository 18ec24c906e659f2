//! Identity of a data folder, which reveals a new disk or a disk of another node.

use redb::{Database, ReadableDatabase, TableError};

use crate::error::StoreError;
use crate::tables::IDENTITY;

const IDENTITY_KEY: u8 = 0;

/// Random number, generated when a data folder is first used. A folder that was lost and created again has
/// another one, so the new store can't be mistaken for one that holds the old promises. The run log uses
/// the low 64 bits, as `StoreId`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StoreCreationId(pub u128);

/// Owner and creation of a data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreIdentity {
    /// The node that the data folder belongs to.
    pub node_name: String,
    /// Distinguishes folders that the same node created.
    pub creation_id: StoreCreationId,
}

/// Reads the identity; `None` if the database is new.
pub(crate) fn load(database: &Database) -> Result<Option<StoreIdentity>, StoreError> {
    let transaction = database.begin_read()?;
    let table = match transaction.open_table(IDENTITY) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let stored = table.get(IDENTITY_KEY)?;
    Ok(stored.map(|stored| {
        let (node_name, creation_id) = stored.value();
        StoreIdentity {
            node_name: node_name.to_owned(),
            creation_id: StoreCreationId(creation_id),
        }
    }))
}

/// Writes the identity in the transaction that creates the tables.
pub(crate) fn put(
    transaction: &redb::WriteTransaction,
    identity: &StoreIdentity,
) -> Result<(), StoreError> {
    let mut table = transaction.open_table(IDENTITY)?;
    let value = (identity.node_name.as_str(), identity.creation_id.0);
    table.insert(IDENTITY_KEY, value)?;
    Ok(())
}
