//! A coordinator: one replica of the log on which maintenance windows are decided.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agreement;
pub mod core;
pub mod evidence;
