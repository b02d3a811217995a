//! What is shared with other instances, and what they say. Changes with what instances know together.

use super::ids::*;

/// What the word of other instances makes of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    /// Nothing: the instance decides alone.
    No,
    /// It gets nothing for now.
    Yes,
    /// It rests, and this instance may send it a request to see how it is.
    Trial,
    /// It has rested, and others that tried it were served.
    Over,
}

/// The word of other instances on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What it comes to.
    pub rest: Rest,
    /// From then on it counts as never said.
    pub until: Micros,
}

/// What is shared with other instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sharing {
    /// How attempts end is told, and others' words are followed.
    pub words: bool,
    /// Turns by which an endpoint may be ahead of or behind its weight for keys' sake; 0 is no affinity.
    pub ahead: f64,
}
