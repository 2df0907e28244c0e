//! Writes decisions of roll-outs to the log service, each by a conditional append.

use crate::decision::host::keyed_state::KeyedRecord;
use crate::decision::host::rollout::decider::{AppendOutcome, Decider, DeciderCall};
use crate::host::context::Host;
use crate::kernel::StepError;
use crate::model::log_position::LogPosition;
use crate::model::names::ServiceName;
use crate::model::rollout::{RolloutOrder, RolloutState, RolloutStatus};
use crate::platform::names::STATUS_TOPIC;
use crate::platform::rollouts::{decode_status, encode_status, status_key};
use crate::platform::store::StoreClient;

/// Maximum number of calls for one decision before the situation is looked at again.
const CALLS_MAX: usize = 8;

/// Reads the state of a service's roll-out to the target of an order, and the end of the log.
///
/// # Errors
/// [`StepError`] when the log service gave no usable answer.
async fn read(
    store: &mut StoreClient,
    order: &RolloutOrder,
) -> Result<(Option<RolloutState>, LogPosition), StepError> {
    let snapshot = store.read_newest(STATUS_TOPIC).await?;
    let status = status_of(&order.service, &snapshot.records);
    let state = status.filter(|status| status.target == order.target);
    Ok((state.map(|status| status.state), snapshot.end))
}

fn status_of(service: &ServiceName, records: &[KeyedRecord]) -> Option<RolloutStatus> {
    let key = status_key(service);
    let record = records.iter().find(|record| *record.key == *key)?;
    decode_status(record.value.as_ref()?)
}

/// Writes a state unless the log already has a decision; returns what the log has.
///
/// `overrules` is true for an order that began after the decision in the log.
///
/// # Errors
/// [`StepError`] when it is not known what the log has.
pub async fn write(
    host: &Host,
    order: &RolloutOrder,
    wanted: RolloutState,
    overrules: bool,
) -> Result<RolloutState, StepError> {
    let mut store = StoreClient::new(host.settings.store.address);
    let mut decider = Decider::new(wanted);
    let mut last_error = None;
    for _call in 0..CALLS_MAX {
        match decider.next_call() {
            DeciderCall::Done(state) => return Ok(state),
            DeciderCall::Read => {
                let (state, end) = read(&mut store, order).await?;
                decider.read(state.filter(|_state| !overrules), end);
            }
            DeciderCall::Append { state, end } => {
                let appended = append(&mut store, order, state, end).await;
                decider.appended(match &appended {
                    Ok(true) => AppendOutcome::Appended,
                    Ok(false) => AppendOutcome::Conflict,
                    Err(_error) => AppendOutcome::Unknown,
                });
                last_error = appended.err().or(last_error);
            }
        }
    }
    let error =
        last_error.map_or_else(|| "other nodes write as well".to_owned(), |e| e.to_string());
    Err(StepError::local("write the state of a roll-out", error))
}

async fn append(
    store: &mut StoreClient,
    order: &RolloutOrder,
    state: RolloutState,
    end: LogPosition,
) -> Result<bool, StepError> {
    let status = RolloutStatus {
        state,
        target: order.target.clone(),
    };
    let value = encode_status(&status)
        .map_err(|error| StepError::local("encode the state of a roll-out", error))?;
    let key = status_key(&order.service);
    store.append_at(STATUS_TOPIC, &key, &value, end).await
}
