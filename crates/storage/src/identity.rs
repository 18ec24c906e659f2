//! Identity of a data folder, by which a replica knows that its disk is new or another node's.

use redb::{Database, ReadableDatabase, TableError};

use crate::error::StoreError;
use crate::tables::IDENTITY;

const IDENTITY_KEY: u8 = 0;

/// Number drawn at random when a data folder is first used. A folder that was lost and made anew has
/// another one, so nobody takes the new store for one that remembers its promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StoreCreationId(pub u128);

/// Whose data folder it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreIdentity {
    /// Name of the node.
    pub node_name: String,
    /// Number of the folder's creation.
    pub creation_id: StoreCreationId,
}

/// The identity that the database holds; `None` when it is new.
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

/// Writes the identity into the transaction that creates the tables.
pub(crate) fn put(
    transaction: &redb::WriteTransaction,
    identity: &StoreIdentity,
) -> Result<(), StoreError> {
    let mut table = transaction.open_table(IDENTITY)?;
    let value = (identity.node_name.as_str(), identity.creation_id.0);
    table.insert(IDENTITY_KEY, value)?;
    Ok(())
}
