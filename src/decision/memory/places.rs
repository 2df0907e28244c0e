//! Which connection closes when a new one finds the limit reached.

use super::progress::Progress;

/// What a connection does.
#[derive(Debug, Clone, Copy)]
pub enum Activity {
    /// No request is being received, running or answered, since a time in µs.
    Idle {
        /// Time, in µs.
        since_us: u64,
    },
    /// A request is being received, or a response is being written and nothing else happens.
    Transferring(Progress),
    /// A request is running.
    Running,
}

/// Chooses the connection that closes for a new one: the one that has been idle for the longest
/// time, else the one whose transfer has stalled for the longest time.
pub fn choose_connection<I: Copy>(
    connections: impl Iterator<Item = (I, Activity)>,
    now_us: u64,
) -> Option<I> {
    let order = |activity| match activity {
        Activity::Idle { since_us } => Some((true, now_us.saturating_sub(since_us))),
        Activity::Transferring(progress) if progress.is_stalled(now_us) => {
            Some((false, progress.stalled_us(now_us)))
        }
        Activity::Transferring(_) | Activity::Running => None,
    };
    let candidates = connections.filter_map(|(id, activity)| Some((order(activity)?, id)));
    let chosen = candidates.max_by_key(|(order, _id)| *order);
    chosen.map(|(_order, id)| id)
}
