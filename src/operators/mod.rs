//! The operators' side: questionnaire, generated configuration and administration.

pub mod admin_api;
pub mod answers;
pub mod difference;
pub mod explain;
pub mod generate;
pub mod node_backend;
pub mod node_status;
pub mod questionnaire;
pub mod room;
pub mod status;
