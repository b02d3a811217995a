//! Planned outages over time, and the earliest start of a further one.

use std::collections::BTreeMap;

use crate::calendar::Span;

/// Capacity that is away: number of servers, and weight under each limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outage {
    pub(crate) away: i64,
    pub(crate) weights: Vec<i64>,
}

impl Outage {
    pub(crate) fn zero(numbers: usize) -> Self {
        Outage {
            away: 0,
            weights: vec![0; numbers],
        }
    }

    pub(crate) fn add(&mut self, other: &Outage) {
        self.away += other.away;
        for (own, added) in self.weights.iter_mut().zip(&other.weights) {
            *own += added;
        }
    }

    /// The first limit that this and a further outage together exceed, even if the further one does
    /// not count toward it: while any limit is violated, nothing more may go away.
    fn exceeds(&self, added: &Outage, max: &Outage) -> Option<Blocker> {
        if self.away + added.away > max.away {
            return Some(Blocker::TooManyAway);
        }
        let mut sums = self.weights.iter().zip(&added.weights).zip(&max.weights);
        sums.position(|((mine, theirs), most)| mine + theirs > *most)
            .map(Blocker::BelowLimit)
    }
}

/// Why a placement can't start at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blocker {
    /// Too many servers would be away at once.
    TooManyAway,
    /// The weight limit of that number would be violated.
    BelowLimit(usize),
    /// A blackout, or a time for which the blackouts are not known.
    Blackout,
    /// A server is in another window.
    InOtherWindow,
    /// A server is not in the list.
    Unlisted,
}

/// Slots that must start together.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) window: u64,
    /// Indexes of the slots within the window.
    pub(crate) slots: Vec<usize>,
    pub(crate) servers: Vec<String>,
    /// The outage it adds while the servers that are down now are counted as down.
    pub(crate) outage_while_down: Outage,
    /// The outage it adds after that.
    pub(crate) outage_after_repair: Outage,
    /// Earliest and latest start.
    pub(crate) earliest_start_ms: i64,
    pub(crate) latest_start_ms: i64,
    /// Length with overrun, and the part of it that no blackout may overlap.
    pub(crate) span_ms: i64,
    pub(crate) blackout_free_ms: i64,
    /// Whether every server is listed.
    pub(crate) listed: bool,
}

/// Outages from now on.
#[derive(Clone, Debug)]
pub(crate) struct Timeline<'a> {
    /// Times in order, each with the outage from then until the next; the last one is open-ended.
    points: Vec<(i64, Outage)>,
    max: Outage,
    /// Until when the servers that are down now are counted as down.
    down_until_ms: i64,
    occupied: BTreeMap<String, Vec<Span>>,
    blackouts: &'a [Span],
    known_until_ms: i64,
}

impl<'a> Timeline<'a> {
    pub(crate) fn new(
        now_ms: i64,
        max: Outage,
        down_until_ms: i64,
        blackouts: &'a [Span],
        known_until_ms: i64,
    ) -> Self {
        let zero = Outage::zero(max.weights.len());
        let points = vec![
            (now_ms, zero.clone()),
            (down_until_ms.max(now_ms.saturating_add(1)), zero),
        ];
        Timeline {
            points,
            max,
            down_until_ms,
            occupied: BTreeMap::new(),
            blackouts,
            known_until_ms,
        }
    }

    fn split_at(&mut self, at_ms: i64) -> usize {
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

    /// Adds an outage over a time span.
    pub(crate) fn add_outage(&mut self, span: Span, load: &Outage) {
        if span.until_ms <= span.from_ms {
            return;
        }
        let first = self.split_at(span.from_ms);
        let last = self.split_at(span.until_ms);
        for (_, outage) in &mut self.points[first..last] {
            outage.add(load);
        }
    }

    /// Marks a server as occupied, so that it is not placed twice at the same time.
    pub(crate) fn occupy(&mut self, server: &str, span: Span) {
        self.occupied.entry(server.into()).or_default().push(span);
    }

    /// Adds a placement at a start.
    pub(crate) fn add_placement(&mut self, placement: &Placement, start_ms: i64) {
        let end_ms = start_ms.saturating_add(placement.span_ms);
        let repaired_ms = self.down_until_ms.clamp(start_ms, end_ms);
        self.add_outage(
            Span {
                from_ms: start_ms,
                until_ms: repaired_ms,
            },
            &placement.outage_while_down,
        );
        self.add_outage(
            Span {
                from_ms: repaired_ms,
                until_ms: end_ms,
            },
            &placement.outage_after_repair,
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

    /// What prevents a placement at a start, and the first time at which that may have ended.
    fn blocker_at(&self, placement: &Placement, start_ms: i64) -> Option<(Blocker, Option<i64>)> {
        if !placement.listed {
            return Some((Blocker::Unlisted, None));
        }
        let end_ms = start_ms.saturating_add(placement.span_ms);
        let blackout_free_end = start_ms.saturating_add(placement.blackout_free_ms);
        if blackout_free_end > self.known_until_ms {
            return Some((Blocker::Blackout, None));
        }
        let next = self
            .blackouts
            .partition_point(|span| span.until_ms <= start_ms);
        if let Some(span) = self
            .blackouts
            .get(next)
            .filter(|span| span.from_ms < blackout_free_end)
        {
            return Some((Blocker::Blackout, Some(span.until_ms)));
        }
        for server in &placement.servers {
            let spans = self.occupied.get(server).into_iter().flatten();
            let overlapping =
                spans.filter(|span| span.from_ms < end_ms && span.until_ms > start_ms);
            if let Some(until_ms) = overlapping.map(|span| span.until_ms).max() {
                return Some((Blocker::InOtherWindow, Some(until_ms)));
            }
        }
        let first = self
            .points
            .partition_point(|(at, _)| *at <= start_ms)
            .saturating_sub(1);
        // The last obstacle counts: no start before its end is possible.
        let mut blocker = None;
        for (index, (at, load)) in self.points.iter().enumerate().skip(first) {
            if *at >= end_ms {
                break;
            }
            let outage = if *at < self.down_until_ms {
                &placement.outage_while_down
            } else {
                &placement.outage_after_repair
            };
            if let Some(block) = load.exceeds(outage, &self.max) {
                blocker = Some((block, self.points.get(index + 1).map(|(next, _)| *next)));
            }
        }
        blocker
    }

    /// The earliest start from the placement's lower bound on, at most `upper_ms`.
    ///
    /// # Errors
    ///
    /// What prevents the first start that was tried.
    pub(crate) fn earliest_start(
        &self,
        placement: &Placement,
        upper_ms: i64,
    ) -> Result<i64, Blocker> {
        let mut start_ms = placement.earliest_start_ms;
        let mut first_blocker = None;
        while start_ms <= upper_ms {
            match self.blocker_at(placement, start_ms) {
                None => return Ok(start_ms),
                Some((block, next)) => {
                    first_blocker = first_blocker.or(Some(block));
                    match next {
                        // Terminates: each step moves on to the end of another obstacle, of which
                        // there are finitely many.
                        Some(next) if next > start_ms => start_ms = next,
                        _ => break,
                    }
                }
            }
        }
        Err(first_blocker.unwrap_or(Blocker::InOtherWindow))
    }
}
