//! An earlier revision of this repository and today's, held against each other: pinned revisions, their builds, the same
//! histories to both, members of both in one fleet. Changes with what two versions are held to.

pub mod builds;
pub mod feed;
pub mod histories;
pub mod lan;
#[path = "../pairs/recorder/later.rs"]
mod later;
#[path = "../pairs/recorder/lines.rs"]
mod lines;
#[path = "../pairs/recorder/member.rs"]
pub mod member;
pub mod part;
pub mod pins;
#[path = "../pairs/recorder/steward.rs"]
pub mod steward;
pub mod stewards;
pub mod wire;
