//! Calls to the key-value service on behalf of pools.

use errors::Error;
use kv::Store;
use libs::crossbeam_channel::Sender;
use pool::{StoreAnswer, StoreCall, StoreFailure};
use types::PoolId;

use crate::input::Input;

/// A pool's call to the key-value service. The token identifies the answer.
pub(crate) struct PoolStoreCall {
    pub(crate) pool: PoolId,
    pub(crate) token: u64,
    pub(crate) call: StoreCall,
}

/// Makes a call and passes its answer to the decisions thread.
pub(crate) fn call_store(pool_call: PoolStoreCall, inputs: &Sender<Input>, store: &dyn Store) {
    let result = match &pool_call.call {
        StoreCall::Get { key } => store.get(key).map(|found| match found {
            Some(stored) => StoreAnswer::Found(stored.version, stored.value),
            None => StoreAnswer::Missing,
        }),
        StoreCall::Swap { key, expected, value } => {
            store.compare_and_swap(key, *expected, value).map(StoreAnswer::Swapped)
        }
        StoreCall::Delete { key } => store.delete(key).map(|()| StoreAnswer::Deleted),
    };
    let answer = result.map_err(|error| store_failure(&error));
    // Fails only after the decisions thread has ended.
    inputs.send(Input::Store(pool_call.pool, pool_call.token, answer)).ok();
}

fn store_failure(error: &Error) -> StoreFailure {
    match error {
        Error::VersionConflict(_) => StoreFailure::Conflict,
        Error::Network(_) => StoreFailure::NotSent,
        Error::RateLimited => StoreFailure::Throttled,
        _ => StoreFailure::Unanswered,
    }
}
