//! What is shared with other instances and with a next life, and what they say. Changes with what instances know
//! together.

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

/// What an instance knew of one endpoint process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recalled {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When its process started, as it was listed.
    pub started: Option<Micros>,
    /// When it was last heard of.
    pub seen: Micros,
    /// Its circuit was open.
    pub open: bool,
    /// Times that it has opened since it was last well.
    pub openings: u32,
    /// Time that it takes for a unit of work, in such units.
    pub slow: f64,
    /// Requests that it might have in flight.
    pub cap: f64,
}
