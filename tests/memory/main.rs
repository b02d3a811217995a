//! The sidecar's memory and descriptors under clients and endpoints that misuse it, over loopback
//! sockets, with the least memory and the most descriptors that a platform configures.

#[path = "../stubs/mod.rs"]
mod stubs;

mod crowd;
mod long_answers;
mod many_fields;
mod one_client;
mod slow_writers;
