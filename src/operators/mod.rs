//! The operators' side: questionnaire, generated configuration and administration.

pub mod answers;
pub mod difference;
pub mod generate;
pub mod questionnaire;
