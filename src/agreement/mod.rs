//! What all nodes agree on: the configuration, folded from one stream of the platform's log.
//!
//! The fold is deterministic and has neither clock nor sockets. Its state is a function of
//! the records below one offset, whether they were read or adopted through a snapshot.

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
