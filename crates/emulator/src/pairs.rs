//! An earlier revision of this repository and today's, held against each other: pinned revisions,
//! their builds, the same histories to both, members of both in one fleet.

pub mod builds;
#[path = "../pairs/recorder/coordinator.rs"]
pub mod coordinator;
mod coordinator_interface;
pub mod coordinators;
pub mod feed;
pub mod histories;
pub mod lan;
#[path = "../pairs/recorder/lines.rs"]
mod lines;
#[path = "../pairs/recorder/member.rs"]
pub mod member;
mod member_interface;
pub mod part;
pub mod pins;
pub mod wire;
