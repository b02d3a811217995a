//! Loads over time, and the earliest place for a further one.

use std::collections::BTreeMap;

use crate::calendar::Span;

/// What is away: servers, and weights under each limit's number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) away: i64,
    pub(crate) weights: Vec<i64>,
}

impl Load {
    pub(crate) fn zero(numbers: usize) -> Self {
        Load {
            away: 0,
            weights: vec![0; numbers],
        }
    }

    pub(crate) fn add(&mut self, other: &Load) {
        self.away += other.away;
        for (mine, theirs) in self.weights.iter_mut().zip(&other.weights) {
            *mine += theirs;
        }
    }

    /// The first limit that this and a further load together pass, also one that the further load
    /// has no part in: while any limit is broken, nothing more goes away.
    fn passes(&self, further: &Load, most: &Load) -> Option<Block> {
        if self.away + further.away > most.away {
            return Some(Block::Count);
        }
        let mut sums = self.weights.iter().zip(&further.weights).zip(&most.weights);
        sums.position(|((mine, theirs), most)| mine + theirs > *most)
            .map(Block::Weight)
    }
}

/// What stands against a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Block {
    /// Too many away at once.
    Count,
    /// The limit of that number.
    Weight(usize),
    /// A blackout, or a time of which blackouts are not known.
    Blackout,
    /// The server is in another window.
    Busy,
    /// A server is not listed.
    Unlisted,
}

/// A wish for a place: slots that go together.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) window: u64,
    /// Indexes of the slots within the window.
    pub(crate) slots: Vec<usize>,
    pub(crate) servers: Vec<String>,
    /// What it takes away while those that are down now are counted as such.
    pub(crate) live: Load,
    /// What it takes away after that.
    pub(crate) full: Load,
    /// Earliest and latest start.
    pub(crate) lower_ms: i64,
    pub(crate) upper_ms: i64,
    /// Length with overrun, and the part of it that no blackout may touch.
    pub(crate) span_ms: i64,
    pub(crate) hard_ms: i64,
    /// Whether every server is listed.
    pub(crate) listed: bool,
}

/// Loads from now on.
#[derive(Clone, Debug)]
pub(crate) struct Timeline<'a> {
    /// Moments in order, each with the load from it to the next; the last one's goes on for ever.
    points: Vec<(i64, Load)>,
    most: Load,
    /// Until when those that are down now are counted as such.
    down_until_ms: i64,
    busy: BTreeMap<String, Vec<Span>>,
    blackouts: &'a [Span],
    known_until_ms: i64,
}

impl<'a> Timeline<'a> {
    pub(crate) fn new(
        now_ms: i64,
        most: Load,
        down_until_ms: i64,
        blackouts: &'a [Span],
        known_until_ms: i64,
    ) -> Self {
        let zero = Load::zero(most.weights.len());
        let points = vec![
            (now_ms, zero.clone()),
            (down_until_ms.max(now_ms.saturating_add(1)), zero),
        ];
        Timeline {
            points,
            most,
            down_until_ms,
            busy: BTreeMap::new(),
            blackouts,
            known_until_ms,
        }
    }

    fn cut(&mut self, at_ms: i64) -> usize {
        match self.points.binary_search_by_key(&at_ms, |(at, _)| *at) {
            Ok(index) => index,
            Err(0) => 0,
            Err(index) => {
                let load = self.points[index - 1].1.clone();
                self.points.insert(index, (at_ms, load));
                index
            }
        }
    }

    /// Adds a load for a time.
    pub(crate) fn load(&mut self, span: Span, load: &Load) {
        if span.until_ms <= span.from_ms {
            return;
        }
        let first = self.cut(span.from_ms);
        let last = self.cut(span.until_ms);
        for (_, there) in &mut self.points[first..last] {
            there.add(load);
        }
    }

    /// Keeps a server from being placed twice at once.
    pub(crate) fn occupy(&mut self, server: &str, span: Span) {
        self.busy.entry(server.into()).or_default().push(span);
    }

    /// Puts a fragment at a start.
    pub(crate) fn put(&mut self, placement: &Placement, start_ms: i64) {
        let end_ms = start_ms.saturating_add(placement.span_ms);
        let change = self.down_until_ms.clamp(start_ms, end_ms);
        self.load(
            Span {
                from_ms: start_ms,
                until_ms: change,
            },
            &placement.live,
        );
        self.load(
            Span {
                from_ms: change,
                until_ms: end_ms,
            },
            &placement.full,
        );
        for server in &placement.servers {
            self.occupy(
                server,
                Span {
                    from_ms: start_ms,
                    until_ms: end_ms,
                },
            );
        }
    }

    /// What stands against a fragment at a start, and the first moment at which that may be over.
    fn against(&self, placement: &Placement, start_ms: i64) -> Option<(Block, Option<i64>)> {
        if !placement.listed {
            return Some((Block::Unlisted, None));
        }
        let end_ms = start_ms.saturating_add(placement.span_ms);
        let hard_end = start_ms.saturating_add(placement.hard_ms);
        if hard_end > self.known_until_ms {
            return Some((Block::Blackout, None));
        }
        let after = self
            .blackouts
            .partition_point(|span| span.until_ms <= start_ms);
        if let Some(span) = self
            .blackouts
            .get(after)
            .filter(|span| span.from_ms < hard_end)
        {
            return Some((Block::Blackout, Some(span.until_ms)));
        }
        for server in &placement.servers {
            let spans = self.busy.get(server).into_iter().flatten();
            let hit = spans.filter(|span| span.from_ms < end_ms && span.until_ms > start_ms);
            if let Some(until_ms) = hit.map(|span| span.until_ms).max() {
                return Some((Block::Busy, Some(until_ms)));
            }
        }
        let first = self
            .points
            .partition_point(|(at, _)| *at <= start_ms)
            .saturating_sub(1);
        // The last moment in the way: no start before its end can do.
        let mut found = None;
        for (index, (at, load)) in self.points.iter().enumerate().skip(first) {
            if *at >= end_ms {
                break;
            }
            let mine = if *at < self.down_until_ms {
                &placement.live
            } else {
                &placement.full
            };
            if let Some(block) = load.passes(mine, &self.most) {
                found = Some((block, self.points.get(index + 1).map(|(next, _)| *next)));
            }
        }
        found
    }

    /// The earliest start from the fragment's lower bound on, at most `upper_ms`.
    ///
    /// # Errors
    ///
    /// What stands against the first start that was tried.
    pub(crate) fn place(&self, placement: &Placement, upper_ms: i64) -> Result<i64, Block> {
        let mut start_ms = placement.lower_ms;
        let mut first = None;
        while start_ms <= upper_ms {
            match self.against(placement, start_ms) {
                None => return Ok(start_ms),
                Some((block, next)) => {
                    first = first.or(Some(block));
                    match next {
                        // Each step goes on to a later end of something, of which there are only so
                        // many.
                        Some(next) if next > start_ms => start_ms = next,
                        _ => break,
                    }
                }
            }
        }
        Err(first.unwrap_or(Block::Busy))
    }
}
