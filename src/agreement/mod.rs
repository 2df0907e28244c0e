//! Replicates the configuration to all nodes through one stream of the platform's log.
//!
//! Each node folds the records of the stream into its state. The fold is deterministic and uses
//! neither a clock nor sockets: its state depends only on the records below one offset, whether
//! they were read one by one or adopted as a snapshot.

pub mod activation;
pub mod catch_up;
pub mod change;
pub mod config_fold;
pub mod fold;
pub mod follower;
pub mod members;
pub mod outcome;
pub mod page_relay;
pub mod publish;
pub mod publisher;
pub mod record;
pub mod renewal;
pub mod renewer;
pub mod snapshot;
