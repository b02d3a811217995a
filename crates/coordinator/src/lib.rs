//! The steward: what only one may decide, decided once. Changes with which parts of the crate others may name.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agreement;
pub mod core;
pub mod evidence;
